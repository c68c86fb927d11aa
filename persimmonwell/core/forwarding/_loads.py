"""Load of each replica, counted over this host's and its peers' sends."""

from collections import defaultdict
from collections.abc import Mapping

import attrs

UNTRACKED_USAGE_TTL_S = 1.5
"""Time for which KV memory that no host accounts for counts as used: attempts whose
caller or answer was lost end within about that time."""

MAX_PEERS = 4096
"""Peers whose loads are kept, those that reported last."""
MAX_PEER_LOADS = 131_072
"""Loads that are kept over all peers, some 35 MB: the 128 loads in a report of each of
1,000 hosts. Anyone can send reports in the names of any number of hosts."""


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


class LoadTable:
    """Loads by replica id, from this host's sends and from the peers' reports."""

    def __init__(self) -> None:
        self._local: dict[str, ReplicaLoad] = {}
        self._peers: dict[str, _PeerLoads] = {}
        """Loads by peer, the one that reported first at the beginning."""
        self._peer_load_count = 0
        self._peer_totals: dict[str, ReplicaLoad] | None = {}
        """Sums over the peers; None when they have to be recomputed."""
        self._untracked: dict[str, _Untracked] = {}

    @property
    def local(self) -> Mapping[str, ReplicaLoad]:
        """Return the loads that this host's requests cause."""
        return self._local

    def total(self, replica_id: str) -> ReplicaLoad:
        """Return the load of a replica over all hosts."""
        local = self._local.get(replica_id)
        if self._peer_totals is None:
            self._peer_totals = self._sum_peers()
        others = self._peer_totals.get(replica_id)
        if local is None or others is None:
            return local or others or ReplicaLoad()
        return ReplicaLoad(
            local.requests + others.requests, local.layer_tokens + others.layer_tokens
        )

    def record_report(self, replica_id: str, kv_used: int, now_s: float) -> None:
        """Record the layer-tokens a replica uses beyond what all hosts account for."""
        extra = max(0, kv_used - self.total(replica_id).layer_tokens)
        self._untracked[replica_id] = _Untracked(extra, now_s + UNTRACKED_USAGE_TTL_S)

    def used_layer_tokens(self, replica_id: str, now_s: float) -> int:
        """Return the layer-tokens that are reserved or used without a known request."""
        taken = self.total(replica_id).layer_tokens
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

    def remove(self, replica_id: str, layer_tokens: int) -> None:
        """Remove one request and its reservation."""
        load = self._local.get(replica_id, ReplicaLoad())
        if load.requests <= 1:
            self._local.pop(replica_id, None)
            return
        self._local[replica_id] = ReplicaLoad(
            load.requests - 1, load.layer_tokens - layer_tokens
        )

    def set_peer_loads(
        self, peer: str, loads: Mapping[str, ReplicaLoad], until_s: float
    ) -> None:
        """Replace the loads that a peer reported, valid until until_s."""
        self._drop_peer(peer)
        self._peers[peer] = _PeerLoads(loads, until_s)
        self._peer_load_count += len(loads)
        while len(self._peers) > MAX_PEERS or self._peer_load_count > MAX_PEER_LOADS:
            self._drop_peer(next(iter(self._peers)))
        self._peer_totals = None

    def _drop_peer(self, peer: str) -> None:
        dropped = self._peers.pop(peer, None)
        if dropped is not None:
            self._peer_load_count -= len(dropped.loads)

    def expire_peers(self, now_s: float) -> None:
        """Drop the loads of peers whose last report has expired."""
        gone = [peer for peer, state in self._peers.items() if now_s > state.until_s]
        for peer in gone:
            self._drop_peer(peer)
            self._peer_totals = None

    def _sum_peers(self) -> dict[str, ReplicaLoad]:
        requests: dict[str, int] = defaultdict(int)
        tokens: dict[str, int] = defaultdict(int)
        for state in self._peers.values():
            for replica_id, load in state.loads.items():
                requests[replica_id] += load.requests
                tokens[replica_id] += load.layer_tokens
        return {key: ReplicaLoad(requests[key], tokens[key]) for key in requests}
