"""Estimates of the requests in flight and the token backlog of each upstream."""

import math
import random
from collections import defaultdict, deque
from collections.abc import Iterable

import attrs

from persimmonwell.core._types import Chain, InflightCount

REPORT_TTL_S = 5.0
"""Age at which a load report is discarded."""
PEER_TTL_S = 5.0
"""Silence after which the counts of a peer are discarded."""
OWN_HISTORY_ENTRIES = 64
"""Past own counts kept per upstream, to look up the one at the time of a report."""


@attrs.define(eq=False)
class UpstreamLoad:
    """Estimated load of one upstream."""

    own_requests: int = 0
    """Requests of this host in flight there."""
    backlog_tokens: float = 0.0
    """Tokens still to generate for this host's requests."""
    reported_others: int = 0
    """Requests of other hosts at the time of the last load report."""
    reported_queued: int = 0
    """Requests of any host queued in the engine at that time."""
    report_taken_s: float = float("-inf")
    peer_requests: int = 0
    """Requests of other hosts by their published counts."""
    own_history: deque[tuple[float, int]] = attrs.field(
        factory=lambda: deque(maxlen=OWN_HISTORY_ENTRIES)
    )
    own_at_count: int = 0
    """Own requests in flight when the requests of other hosts were last counted."""
    rounding_offset: float = 0.0
    """Drawn from 0 to 1 at each count, so that hosts round their shares differently."""
    other_requests: int = 0
    """Estimated requests of other hosts."""
    total_requests: int = 0
    """Estimated requests in flight of all hosts."""

    def update_estimates(self) -> None:
        """Update the estimates after one of the counts changed.

        A load report includes hosts that this one does not hear from; the peers'
        counts are newer. Both count the same requests, so the larger one is used.
        """
        self.other_requests = max(self.reported_others, self.peer_requests)
        self.total_requests = self.own_requests + self.other_requests

    def free_for_host(self, limit: int, *, host_count: int) -> int:
        """Return how many more requests this host should start.

        Each host takes its share of the slots that were free at the last count, or
        gives up its share of an excess. If all hosts took every free slot, they would
        overfill the upstream until the next report and leave it idle afterwards.
        Fractions of a slot are rounded at random, so that the hosts together take
        about as many slots as were free. While the engine has no queue, each host may
        use an equal share of all slots, so that a host that starts late is not starved.
        """
        free_at_count = limit - self.own_at_count - self.other_requests
        host_part = math.floor(free_at_count / host_count + self.rounding_offset)
        allowed = self.own_at_count + host_part
        if not self.reported_queued:
            allowed = max(allowed, limit // host_count)
        return min(limit, allowed) - self.own_requests

    def add_own(self, change: int, now_s: float) -> None:
        """Add a change to the own requests in flight."""
        self.own_requests += change
        self.own_history.append((now_s, self.own_requests))
        self.update_estimates()

    def own_requests_at(self, time_s: float) -> int:
        """Return the number of own requests in flight at a past time."""
        for changed_s, own in reversed(self.own_history):
            if changed_s <= time_s:
                return own
        return (
            self.own_history[0][1]
            if len(self.own_history) == OWN_HISTORY_ENTRIES
            else 0
        )

    def mean_concurrency(self, tokens: int) -> float:
        """Return the mean number of requests running beside one of this many tokens."""
        return self.other_requests + min(
            self.own_requests, self.backlog_tokens / max(1, tokens)
        )


@attrs.define(eq=False)
class _ChainLoad:
    """Requests and tokens that one chain has in flight."""

    requests: int = 0
    tokens: float = 0.0
    progressed_s: float | None = None
    """Time of the last progress; None after the number of requests changed."""


@attrs.define(eq=False)
class _PeerCounts:
    received_s: float
    requests: dict[str, int]


class InflightTracker:
    """Load estimates of all upstreams, from own requests, load reports and peers."""

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)
        self._loads: dict[str, UpstreamLoad] = defaultdict(UpstreamLoad)
        self._chains: dict[tuple[str, ...], _ChainLoad] = {}
        self._peers: dict[str, _PeerCounts] = {}

    @property
    def peer_count(self) -> int:
        """Return the number of peers heard from within PEER_TTL_S."""
        return len(self._peers)

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream as an object that is updated in place."""
        return self._loads[upstream_id]

    def record_start(self, chain: Chain, *, tokens: int, now_s: float) -> None:
        """Count a new request once at every upstream of its chain."""
        chain_load = self._chains.setdefault(chain.upstream_ids, _ChainLoad())
        chain_load.requests += 1
        chain_load.progressed_s = None
        chain_load.tokens += tokens
        for upstream_id in set(chain.upstream_ids):
            load = self._loads[upstream_id]
            load.backlog_tokens += tokens
            load.add_own(1, now_s)

    def record_progress(
        self, chain: Chain, *, tokens: int, now_s: float
    ) -> float | None:
        """Reduce the backlog by generated tokens; return their mean gap, in seconds.

        The gap is known from the second progress on, and only while the chain runs a
        single request, since progress is not reported per request.
        """
        chain_load = self._chains.get(chain.upstream_ids)
        if chain_load is None or tokens <= 0:
            return None
        self._reduce_backlog(chain, chain_load, min(tokens, chain_load.tokens))
        previous_s, chain_load.progressed_s = chain_load.progressed_s, now_s
        if previous_s is None or chain_load.requests != 1:
            return None
        return (now_s - previous_s) / tokens

    def record_finish(self, chain: Chain, *, now_s: float) -> bool:
        """Stop counting a request; return False if the chain has none in flight.

        The backlog is not tracked per request, so it is reduced by the mean of the
        requests on the chain, which is exact for the last one.
        """
        chain_load = self._chains.get(chain.upstream_ids)
        if chain_load is None:
            return False
        self._reduce_backlog(chain, chain_load, chain_load.tokens / chain_load.requests)
        chain_load.requests -= 1
        chain_load.progressed_s = None
        if not chain_load.requests:
            del self._chains[chain.upstream_ids]
        for upstream_id in set(chain.upstream_ids):
            load = self._loads[upstream_id]
            load.add_own(-1, now_s)
            if not load.own_requests:
                load.backlog_tokens = 0.0
        return True

    def _reduce_backlog(
        self, chain: Chain, chain_load: _ChainLoad, tokens: float
    ) -> None:
        chain_load.tokens -= tokens
        for upstream_id in set(chain.upstream_ids):
            load = self._loads[upstream_id]
            load.backlog_tokens = max(0.0, load.backlog_tokens - tokens)

    def apply_load_report(
        self, upstream_id: str, *, running: int, queued: int, age_s: float, now_s: float
    ) -> None:
        """Apply a load report; own requests included in it are subtracted."""
        load = self._loads[upstream_id]
        taken_s = now_s - age_s
        if taken_s < load.report_taken_s:
            return
        load.report_taken_s = taken_s
        load.own_at_count = load.own_requests_at(taken_s)
        load.rounding_offset = self._random.random()
        load.reported_others = max(0, running + queued - load.own_at_count)
        load.reported_queued = queued
        load.update_estimates()

    def apply_peer_inflight(
        self, host_id: str, counts: Iterable[InflightCount], *, now_s: float
    ) -> set[str]:
        """Replace the counts of one peer; return the affected upstreams."""
        requests = {c.upstream_id: max(0, c.requests) for c in counts}
        affected = self._drop_peer(host_id) | set(requests)
        self._peers[host_id] = _PeerCounts(now_s, requests)
        for upstream_id, count in requests.items():
            load = self._loads[upstream_id]
            load.peer_requests += count
            if load.peer_requests > load.other_requests:
                load.own_at_count = load.own_requests
                load.rounding_offset = self._random.random()
            load.update_estimates()
        return affected

    def _drop_peer(self, host_id: str) -> set[str]:
        peer = self._peers.pop(host_id, None)
        if peer is None:
            return set()
        for upstream_id, count in peer.requests.items():
            load = self._loads[upstream_id]
            load.peer_requests -= count
            load.update_estimates()
        return set(peer.requests)

    def expire(self, now_s: float) -> set[str]:
        """Discard outdated reports and peer counts; return the affected upstreams."""
        affected: set[str] = set()
        for host_id in tuple(self._peers):
            if self._peers[host_id].received_s < now_s - PEER_TTL_S:
                affected |= self._drop_peer(host_id)
        for upstream_id, load in self._loads.items():
            known = load.reported_others or load.reported_queued
            changed = known or load.own_at_count != load.own_requests
            if changed and load.report_taken_s < now_s - REPORT_TTL_S:
                # Restarts the count without a report; else the own share cannot grow.
                load.own_at_count = load.own_requests
                load.reported_others = load.reported_queued = 0
                load.update_estimates()
                affected.add(upstream_id)
        return affected

    def drop_unlisted(self, upstream_ids: set[str]) -> None:
        """Drop upstreams that are not listed and have nothing in flight."""
        for upstream_id in tuple(self._loads):
            load = self._loads[upstream_id]
            known = upstream_id in upstream_ids
            if not (known or load.own_requests or load.peer_requests):
                del self._loads[upstream_id]

    def inflight_counts(self) -> tuple[InflightCount, ...]:
        """Return this host's requests in flight by upstream, largest count first."""
        busy = [
            (load.own_requests, key)
            for key, load in self._loads.items()
            if load.own_requests
        ]
        busy.sort(key=lambda entry: (-entry[0], entry[1]))
        return tuple(InflightCount(key, own) for own, key in busy)
