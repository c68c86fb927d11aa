"""Load of each replica, counted over this host's and its peers' sends."""

from collections.abc import Mapping

import attrs

from persimmonwell.core.forwarding._full_stages import FullStages
from persimmonwell.core.forwarding._shared_capacity import SharedCapacity
from persimmonwell.core.forwarding._zone_reports import ZoneReports

UNTRACKED_USAGE_TTL_S = 1.5
"""Time for which KV memory that no host accounts for counts as used: attempts whose
caller or answer was lost end within about that time."""

MAX_PEERS = 4096
"""Peers whose loads are kept, those that reported last."""
MAX_PEER_LOADS = 131_072
"""Loads that are kept over all peers, some 50 MB: the 128 loads in a report of each of
1,000 hosts. Anyone can send reports in the names of any number of hosts."""
NAME_CHARACTERS = 64
"""Characters of a replica id that count like a further load; ids of 320 characters took
128 MB of a host of 100 MB."""

REPORT_AGE_TTL_S = 0.1
"""Time for which the mean age of the reports is kept. To compute it for each request
takes 5 us with 30 hosts and 29 us with 340."""


@attrs.frozen
class ReplicaLoad:
    """Requests in flight and reserved layer-tokens at one replica."""

    requests: int = 0
    layer_tokens: int = 0


@attrs.frozen
class _Untracked:
    layer_tokens: int
    until_s: float


@attrs.define
class _PeerLoads:
    loads: Mapping[str, ReplicaLoad]
    until_s: float
    zone_requests: int
    """Requests at all replicas, 0 for a peer of another availability zone."""


class LoadTable:
    """Loads by replica id, from this host's sends and from the peers' reports.

    The sums are updated with each report and send: adding up the reports of 57 hosts at
    each choice would take longer than the choice itself.
    """

    def __init__(self) -> None:
        self._local: dict[str, ReplicaLoad] = {}
        self._peers: dict[str, _PeerLoads] = {}
        """Loads by peer, the one that reported first at the beginning."""
        self.peer_load_bound = MAX_PEER_LOADS
        self._peer_load_count = 0
        self._totals: dict[str, tuple[int, int]] = {}
        """Requests and layer-tokens over all hosts."""
        self._untracked: dict[str, _Untracked] = {}
        self._own_requests = 0
        self._zone_requests = 0
        """Requests of the peers of the availability zone, at all replicas."""
        self.shared = SharedCapacity()
        self.full_stages = FullStages()
        self.zone_reports = ZoneReports()
        self._report_age_s = 0.0
        self._report_age_computed_s = float("-inf")

    @property
    def local(self) -> Mapping[str, ReplicaLoad]:
        """Return the loads that this host's requests cause."""
        return self._local

    @property
    def host_count(self) -> int:
        """Return the hosts whose loads are known, with this one."""
        return 1 + len(self._peers)

    def mean_report_age_s(self, now_s: float) -> float:
        """Return the mean age of the last reports of the hosts of all zones.

        It is at most REPORT_AGE_TTL_S old.
        """
        others = self.host_count - 1
        if not others:
            return 0.0
        if not 0.0 <= now_s - self._report_age_computed_s < REPORT_AGE_TTL_S:
            near_s = self.shared.report_age_s(now_s) or 0.0
            far_s = self.zone_reports.overall_mean_age_s(now_s)
            near_share = min(1.0, self.shared.peer_count / others)
            self._report_age_s = near_share * near_s + (1.0 - near_share) * far_s
            self._report_age_computed_s = now_s
        return self._report_age_s

    def total(self, replica_id: str) -> ReplicaLoad:
        """Return the load of a replica over all hosts."""
        return ReplicaLoad(*self._totals.get(replica_id, (0, 0)))

    def update_expected(self, now_s: float) -> None:
        """Compute what the other hosts send that their reports do not show yet."""
        self.shared.update(
            now_s,
            own_requests=self._own_requests,
            peer_requests=self._zone_requests,
        )

    def requests(self, replica_id: str) -> int:
        """Return the requests in flight at a replica over all hosts."""
        return self._totals.get(replica_id, (0, 0))[0]

    def record_report(self, replica_id: str, kv_used: int, now_s: float) -> None:
        """Record the layer-tokens a replica uses beyond what all hosts account for."""
        self.full_stages.record(replica_id, kv_used, now_s)
        extra = max(0, kv_used - self._totals.get(replica_id, (0, 0))[1])
        self._untracked[replica_id] = _Untracked(extra, now_s + UNTRACKED_USAGE_TTL_S)

    def used_layer_tokens(self, replica_id: str, now_s: float) -> int:
        """Return the layer-tokens that are reserved or used without a known request."""
        taken = self._totals.get(replica_id, (0, 0))[1]
        untracked = self._untracked.get(replica_id)
        if untracked is None:
            return taken
        if now_s >= untracked.until_s:
            del self._untracked[replica_id]
            return taken
        return taken + untracked.layer_tokens

    def add(self, replica_id: str, layer_tokens: int) -> None:
        """Add one request and its reservation."""
        load = self._local.get(replica_id, ReplicaLoad())
        self._local[replica_id] = ReplicaLoad(
            load.requests + 1, load.layer_tokens + layer_tokens
        )
        self.full_stages.add_own(replica_id, layer_tokens)
        self._change_own(replica_id, 1, layer_tokens)

    def remove(self, replica_id: str, layer_tokens: int) -> None:
        """Remove one request and its reservation."""
        load = self._local.get(replica_id)
        if load is None:
            return
        if load.requests <= 1:
            del self._local[replica_id]
            self._change_own(replica_id, -load.requests, -load.layer_tokens)
            return
        self._local[replica_id] = ReplicaLoad(
            load.requests - 1, load.layer_tokens - layer_tokens
        )
        self._change_own(replica_id, -1, -layer_tokens)

    def set_peer_loads(
        self,
        peer: str,
        loads: Mapping[str, ReplicaLoad],
        until_s: float,
        *,
        zone_reported_s: float | None = None,
    ) -> None:
        """Replace the loads that a peer reported, valid until until_s.

        zone_reported_s is the time of the report of a peer of this host's availability
        zone, None for the other peers.
        """
        self._drop_peer(peer)
        zone_requests = 0
        if zone_reported_s is not None:
            self.shared.record_report(peer, zone_reported_s)
            zone_requests = sum(load.requests for load in loads.values())
        self._peers[peer] = _PeerLoads(dict(loads), until_s, zone_requests)
        self._zone_requests += zone_requests
        self._peer_load_count += _count_loads(loads)
        for replica_id, load in loads.items():
            self._change_total(replica_id, load.requests, load.layer_tokens)
        while (
            len(self._peers) > MAX_PEERS or self._peer_load_count > self.peer_load_bound
        ):
            self._drop_peer(next(iter(self._peers)))

    def expire_peers(self, now_s: float) -> None:
        """Drop what peers and replicas reported and what has expired since."""
        gone = [peer for peer, state in self._peers.items() if now_s > state.until_s]
        for peer in gone:
            self._drop_peer(peer)
        for replica_id, untracked in list(self._untracked.items()):
            if now_s >= untracked.until_s:
                del self._untracked[replica_id]
        self.shared.expire(now_s)
        self.full_stages.expire(now_s)
        self.zone_reports.expire(now_s)

    def _drop_peer(self, peer: str) -> None:
        state = self._peers.pop(peer, None)
        if state is not None:
            self._zone_requests -= state.zone_requests
            self._peer_load_count -= _count_loads(state.loads)
            for replica_id, load in state.loads.items():
                self._change_total(replica_id, -load.requests, -load.layer_tokens)

    def _change_own(self, replica_id: str, requests: int, layer_tokens: int) -> None:
        self._own_requests += requests
        self.shared.add(replica_id, requests, layer_tokens)
        self._change_total(replica_id, requests, layer_tokens)

    def _change_total(self, replica_id: str, requests: int, layer_tokens: int) -> None:
        known = self._totals.get(replica_id)
        if known is not None:
            requests += known[0]
            layer_tokens += known[1]
        if requests or layer_tokens:
            self._totals[replica_id] = (requests, layer_tokens)
        else:
            self._totals.pop(replica_id, None)


def _count_loads(loads: Mapping[str, ReplicaLoad]) -> int:
    """Return the number of loads, in which long ids count several times."""
    return len(loads) + sum(len(replica_id) // NAME_CHARACTERS for replica_id in loads)
