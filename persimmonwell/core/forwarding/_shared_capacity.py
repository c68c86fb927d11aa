"""Sends of other hosts that their load reports do not show yet.

Hosts choose from reports that are 0.2 to 3.5 s old. Those with the same reports find
the same replicas least loaded, and together exceed the room there. The other hosts of
an availability zone get like requests from the same load balancer, so that each host
expects of them what it did itself since their last reports.
"""

import math
from collections.abc import Callable, Mapping

import attrs

MAX_REPORT_AGE_S = 4.0
"""Longest time over which own sends count; by then most of those requests ended."""
PEER_EXPIRY_S = 20.0
"""Time without a report after which a host no longer counts. A host behind a partition
or with lost datagrams still sends to the replicas of the zone."""
MAX_ZONE_PEERS = 1024
"""Peers of the availability zone that are counted, those that reported last. Anyone can
send reports in the names of any number of hosts."""
PRIOR_REQUESTS = 8
"""Requests that are added to those of each host when hosts are compared, about the
stages of one path: before the reports show more, each host counts as equally busy."""
COST_SPREAD = 0.2
"""Range of the random factor on the costs of a choice, with many hosts and old reports.
Without it, hosts with the same reports take the same one of equal paths; a larger one
does not make the load more even."""
OLD_REPORT_S = 2.0
"""Mean age of the reports from which COST_SPREAD applies in full."""
MANY_HOSTS = 10
"""Other hosts with which half of COST_SPREAD applies."""
RAMP_S = 2.0
"""Time in which a replica that has joined takes its share. All hosts learn of it at
about the same time, and it looks least loaded to each of them."""
MIN_TRUST = 0.1
"""Part of the expected sends that takes up memory and slots even if the own growth may
be chance. With 1.0, one send in excess seems like one of each host, the fast chains
look full, and in calm times the chosen chains are up to half slower."""
REFUSAL_MEMORY_S = 3.0
"""Time over which a refusal for want of memory shows that the hosts send too much."""
MIN_GROWTH = 0.02
"""Net growth in requests below which the entry of a replica is dropped."""


def cost_factor(spread: float, draw: Callable[[], float]) -> float:
    """Return a random factor on a cost, in a range of spread around 1.

    draw returns a random number from 0 to 1; it is not called without a spread.
    """
    return 1.0 + spread * (draw() - 0.5) if spread else 1.0


@attrs.define
class _Growth:
    requests: float = 0.0
    layer_tokens: float = 0.0


@attrs.frozen
class ExpectedLoad:
    """Load that the other hosts are expected to add at one replica."""

    requests: float = 0.0
    """Requests that count in the order of the choice."""
    layer_tokens: float = 0.0
    """Layer-tokens that count as used."""
    used_slots: float = 0.0


class SharedCapacity:
    """Expected sends of the zone's other hosts since their last reports.

    What is expected at a replica is the net growth of this host's own load there over
    the mean age of the reports, times the number of other hosts, each weighted by how
    busy it is. Without reports their age grows, so that own sends count for longer.
    """

    def __init__(self) -> None:
        self._growth: dict[str, _Growth] = {}
        self._reported_s: dict[str, float] = {}
        """Time of the last report by peer of the availability zone."""
        self._request_growth = 0.0
        self._sends = 0.0
        """Net growth of the own requests and sends, fading like the growth."""
        self._refused_s = float("-inf")
        self._joined_s: dict[str, float] = {}
        self._updated_s = float("-inf")
        self._expected: dict[str, ExpectedLoad] = {}
        self._busy_peers = 0.0

    @property
    def expected(self) -> Mapping[str, ExpectedLoad]:
        """Return the expected loads by replica id, as of the last update."""
        return self._expected

    @property
    def peer_count(self) -> int:
        """Return the other hosts of the availability zone that are counted."""
        return len(self._reported_s)

    def report_age_s(self, now_s: float) -> float | None:
        """Return the mean age of the zone's last reports, None without any."""
        return self._mean_age_s(now_s) if self._reported_s else None

    @property
    def busy_peers(self) -> float:
        """Return the other hosts of the zone, counted by how busy they are.

        It is as of the last update.
        """
        return self._busy_peers

    def record_report(self, peer: str, now_s: float) -> None:
        """Record that a peer of the availability zone reported its loads."""
        self._reported_s[peer] = now_s
        if len(self._reported_s) > MAX_ZONE_PEERS:
            del self._reported_s[
                min(self._reported_s, key=self._reported_s.__getitem__)
            ]

    def cost_spread(self, now_s: float) -> float:
        """Return the range of the random factor on costs, 0 for a host without peers.

        The fresher the reports and the fewer the hosts, the more of the choice is by
        least load alone.
        """
        peers = len(self._reported_s)
        if not peers:
            return 0.0
        age = min(1.0, self._mean_age_s(now_s) / OLD_REPORT_S)
        return COST_SPREAD * age * peers / (peers + MANY_HOSTS)

    def valid_share(self, duration_s: float | None, now_s: float) -> float:
        """Return the part of the reported requests that is still in flight.

        Requests take duration_s on average, None if that is not known.
        """
        if not self._reported_s or not duration_s:
            return 1.0
        return math.exp(-self._mean_age_s(now_s) / duration_s)

    def record_join(self, replica_id: str, now_s: float) -> None:
        """Record that a replica joined or returned, or holds other layers now."""
        self._joined_s[replica_id] = now_s

    def ramp_share(self, replica_id: str, now_s: float) -> float:
        """Return the part of the mean load that a replica counts for beyond its own.

        It is 1 when the replica joins and 0 after RAMP_S. Only the order of the choice
        depends on it, so that the only replica for some layers is used at once.
        """
        joined_s = self._joined_s.get(replica_id)
        if joined_s is None:
            return 0.0
        if now_s - joined_s >= RAMP_S:
            del self._joined_s[replica_id]
            return 0.0
        return 1.0 - max(0.0, now_s - joined_s) / RAMP_S

    def count_request(self, change: int) -> None:
        """Count an own request that begins, 1, or ends, -1."""
        self._request_growth += change
        self._sends += max(0, change)

    def record_refusal(self, now_s: float) -> None:
        """Record that a replica was short of memory for a request of any host."""
        self._refused_s = max(now_s, self._refused_s)

    def add(self, replica_id: str, requests: int, layer_tokens: int) -> None:
        """Add a change of this host's own load at a replica."""
        growth = self._growth.get(replica_id)
        if growth is None:
            growth = self._growth[replica_id] = _Growth()
        growth.requests += requests
        growth.layer_tokens += layer_tokens

    @property
    def has_joined(self) -> bool:
        """Return whether a replica has joined within RAMP_S."""
        return bool(self._joined_s)

    def expire(self, now_s: float) -> None:
        """Drop the peers that have been silent for long, and past joins."""
        for peer, reported_s in list(self._reported_s.items()):
            if now_s - reported_s > PEER_EXPIRY_S:
                del self._reported_s[peer]
        for replica_id in list(self._joined_s):
            self.ramp_share(replica_id, now_s)

    def update(self, now_s: float, *, own_requests: int, peer_requests: int) -> None:
        """Let old changes fade and compute the expected loads.

        The arguments are the requests that this host and the peers of the zone have at
        all replicas.
        """
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = max(now_s, self._updated_s)
        kept_share = self._kept_share(elapsed_s, now_s)
        self._request_growth *= kept_share
        self._sends *= kept_share
        faded = []
        total_growth = 0.0
        for replica_id, growth in self._growth.items():
            growth.requests *= kept_share
            growth.layer_tokens *= kept_share
            total_growth += growth.requests
            if abs(growth.requests) < MIN_GROWTH:
                faded.append(replica_id)
        for replica_id in faded:
            del self._growth[replica_id]
        others = self._count_others(own_requests - total_growth, peer_requests)
        self._busy_peers = others
        trust = self._trust(now_s)
        self._expected = {
            replica_id: ExpectedLoad(
                requests=others * growth.requests,
                layer_tokens=others * trust * max(0.0, growth.layer_tokens),
                used_slots=others * trust * growth.requests,
            )
            for replica_id, growth in self._growth.items()
            if growth.requests > 0.0
        }

    def _count_others(self, own_requests: float, peer_requests: int) -> float:
        """Return the other hosts of the zone, counted by how busy they are.

        own_requests is the number at the time of the peers' reports.
        """
        peers = len(self._reported_s)
        busy = (peer_requests + PRIOR_REQUESTS * peers) / (
            max(0.0, own_requests) + PRIOR_REQUESTS
        )
        # Without the bound, a host with few requests would expect many of each peer
        # for every one that it sends.
        return min(peers, busy)

    def _trust(self, now_s: float) -> float:
        """Return the part of the expected sends that takes up memory and slots.

        Sends and ends that vary by chance, by about the root of their number, say
        nothing about the other hosts. Growth beyond that does, and so does a recent
        refusal. In a steady state there are as many ends as sends.
        """
        trust = MIN_TRUST
        if self._request_growth > 0.0:
            chance = math.sqrt(2.0 * max(0.0, self._sends)) / self._request_growth
            trust = max(trust, 1.0 - chance)
        refused_ago_s = max(0.0, now_s - self._refused_s)
        return max(trust, math.exp(-refused_ago_s / REFUSAL_MEMORY_S))

    def _kept_share(self, elapsed_s: float, now_s: float) -> float:
        """Return the part of an earlier change that the reports do not show yet."""
        if not self._reported_s:
            return 0.0
        age_s = self._mean_age_s(now_s)
        return math.exp(-elapsed_s / age_s) if age_s > 0.0 else 0.0

    def _mean_age_s(self, now_s: float) -> float:
        """Return the mean age of the last reports of the peers."""
        age_s = now_s - sum(self._reported_s.values()) / len(self._reported_s)
        return max(0.0, min(MAX_REPORT_AGE_S, age_s))
