"""Count the work that this host and its peers have sent to each replica."""

from collections import defaultdict
from collections.abc import Mapping

import attrs

UNTRACKED_MEMORY_S = 1.5
"""Time for which memory that no host's requests explain counts as taken: runs whose
caller or answer was lost end within about that time."""


@attrs.frozen
class ReplicaLoad:
    """Hold the requests and the reserved layer-tokens at one replica."""

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
    """Hold loads by replica, from own sends and from the peers' reports."""

    def __init__(self) -> None:
        self._own: dict[str, ReplicaLoad] = {}
        self._peers: dict[str, _PeerLoads] = {}
        self._from_peers: dict[str, ReplicaLoad] | None = {}
        """Sums over the peers, None until they are worked out again."""
        self._untracked: dict[str, _Untracked] = {}

    @property
    def own(self) -> Mapping[str, ReplicaLoad]:
        """Return the loads that this host sent."""
        return self._own

    def of(self, replica_id: str) -> ReplicaLoad:
        """Return the load of all hosts at a replica."""
        own = self._own.get(replica_id)
        if self._from_peers is None:
            self._from_peers = self._sum_peers()
        others = self._from_peers.get(replica_id)
        if own is None or others is None:
            return own or others or ReplicaLoad()
        return ReplicaLoad(
            own.requests + others.requests, own.layer_tokens + others.layer_tokens
        )

    def reported(self, replica_id: str, kv_used: int, now_s: float) -> None:
        """Compare a replica's used memory with what the hosts know of."""
        extra = max(0, kv_used - self.of(replica_id).layer_tokens)
        self._untracked[replica_id] = _Untracked(extra, now_s + UNTRACKED_MEMORY_S)

    def taken_layer_tokens(self, replica_id: str, now_s: float) -> int:
        """Return the memory that is reserved, or used by requests of no host."""
        taken = self.of(replica_id).layer_tokens
        untracked = self._untracked.get(replica_id)
        if untracked is None:
            return taken
        if now_s >= untracked.until_s:
            del self._untracked[replica_id]
            return taken
        return taken + untracked.layer_tokens

    def add(self, replica_id: str, layer_tokens: int) -> None:
        """Count one request that is sent."""
        load = self._own.get(replica_id, ReplicaLoad())
        self._own[replica_id] = ReplicaLoad(
            load.requests + 1, load.layer_tokens + layer_tokens
        )

    def remove(self, replica_id: str, layer_tokens: int) -> None:
        """Count one request that ended."""
        load = self._own.get(replica_id, ReplicaLoad())
        if load.requests <= 1:
            self._own.pop(replica_id, None)
            return
        self._own[replica_id] = ReplicaLoad(
            load.requests - 1, load.layer_tokens - layer_tokens
        )

    def peer_reported(
        self, peer: str, loads: Mapping[str, ReplicaLoad], until_s: float
    ) -> None:
        """Replace what a peer sent; it holds until the given moment."""
        self._peers[peer] = _PeerLoads(loads, until_s)
        self._from_peers = None

    def expire_peers(self, now_s: float) -> None:
        """Forget peers whose report no longer holds."""
        gone = [peer for peer, state in self._peers.items() if now_s > state.until_s]
        for peer in gone:
            del self._peers[peer]
            self._from_peers = None

    def _sum_peers(self) -> dict[str, ReplicaLoad]:
        requests: dict[str, int] = defaultdict(int)
        tokens: dict[str, int] = defaultdict(int)
        for state in self._peers.values():
            for replica_id, load in state.loads.items():
                requests[replica_id] += load.requests
                tokens[replica_id] += load.layer_tokens
        return {key: ReplicaLoad(requests[key], tokens[key]) for key in requests}
