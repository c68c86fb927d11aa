"""Choose the chain of upstreams for a request."""

import random
from collections import defaultdict
from collections.abc import Mapping

import attrs

from persimmonwell.core._types import (
    Chain,
    InflightCount,
    LayerRange,
    LinkCapacity,
    ModelRequest,
    Stage,
    Upstream,
)


@attrs.frozen
class NoRoute:
    """Report that no chain can start now."""

    reason: str
    covered: bool = False
    """Whether live upstreams cover the model and are only saturated."""


class ChainRouter:
    """Hold the upstreams of each model and the requests in flight at each."""

    def __init__(self, *, seed: int, availability_zone: str) -> None:
        self._random = random.Random(seed)
        self._availability_zone = availability_zone
        self._by_start: dict[str, dict[int, list[Upstream]]] = {}
        self._layers: Mapping[str, int] = {}
        self._inflight: dict[str, int] = defaultdict(int)

    def update_fleet(
        self,
        upstreams: tuple[Upstream, ...],
        links: tuple[LinkCapacity, ...],
        layers_by_model: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Replace the set of upstreams."""
        by_start: dict[str, dict[int, list[Upstream]]] = {}
        for upstream in upstreams:
            if upstream.leaving:
                continue
            starts = by_start.setdefault(upstream.model, {})
            starts.setdefault(upstream.layers.start, []).append(upstream)
        self._by_start = by_start
        self._layers = layers_by_model

    def choose(
        self,
        request: ModelRequest,
        now_s: float,
        *,
        excluded: frozenset[str] = frozenset(),
    ) -> Chain | NoRoute:
        """Return a chain that covers every layer, or the reason there is none."""
        total = self._layers.get(request.model, 0)
        stages = self._extend(request.model, 0, total, excluded, free_only=True)
        if stages:
            return Chain(stages=stages)
        if self._extend(request.model, 0, total, excluded, free_only=False):
            return NoRoute(reason="every chain is saturated", covered=True)
        return NoRoute(reason="live upstreams do not cover every layer")

    def _extend(
        self,
        model: str,
        boundary: int,
        total: int,
        excluded: frozenset[str],
        *,
        free_only: bool,
    ) -> tuple[Stage, ...] | None:
        if boundary == total:
            return ()
        candidates = [
            u
            for u in self._by_start.get(model, {}).get(boundary, ())
            if u.upstream_id not in excluded
            and u.layers.stop <= total
            and not (free_only and self._inflight[u.upstream_id] >= u.slots)
        ]
        self._random.shuffle(candidates)
        candidates.sort(key=lambda u: self._inflight[u.upstream_id] / u.slots)
        for upstream in candidates:
            stop = upstream.layers.stop
            rest = self._extend(model, stop, total, excluded, free_only=free_only)
            if rest is not None:
                return (_stage_of(upstream), *rest)
        return None

    def started(self, chain: Chain, *, tokens: int, now_s: float) -> None:
        """Count a request in flight at every upstream of the chain."""
        for upstream_id in chain.upstream_ids:
            self._inflight[upstream_id] += 1

    def finished(self, chain: Chain, *, now_s: float) -> None:
        """Stop counting a request at every upstream of the chain."""
        for upstream_id in chain.upstream_ids:
            self._inflight[upstream_id] -= 1

    def progressed(self, chain: Chain, *, tokens: int, now_s: float) -> None:
        """Ignore progress; backlog is counted in requests."""

    def first_token(self, chain: Chain, *, latency_s: float, now_s: float) -> None:
        """Ignore latency; health is not tracked."""

    def token_gap(self, chain: Chain, *, gap_s: float, now_s: float) -> None:
        """Ignore latency; health is not tracked."""

    def upstream_failed(self, upstream_id: str, *, now_s: float) -> None:
        """Ignore a failure; health is not tracked."""

    def upstream_succeeded(self, upstream_id: str, *, now_s: float) -> None:
        """Ignore a success; health is not tracked."""

    def load_reported(
        self, upstream_id: str, *, running: int, queued: int, age_s: float, now_s: float
    ) -> None:
        """Ignore a load report; only requests of this host are counted."""

    def cache_reported(
        self,
        upstream_id: str,
        *,
        sequence: int,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
    ) -> None:
        """Ignore a cache event; prefixes are not tracked."""

    def peer_inflight(
        self, host_id: str, counts: tuple[InflightCount, ...], *, now_s: float
    ) -> None:
        """Ignore peers; only requests of this host are counted."""

    def inflight(self) -> tuple[InflightCount, ...]:
        """Return the requests in flight at each upstream, largest first."""
        counts = sorted(self._inflight.items(), key=lambda item: (-item[1], item[0]))
        return tuple(InflightCount(name, count) for name, count in counts if count)

    def probes_due(self, now_s: float) -> tuple[str, ...]:
        """Return no upstream; nothing is ejected."""
        return ()

    def probe_result(
        self, upstream_id: str, *, succeeded: bool, latency_s: float, now_s: float
    ) -> None:
        """Ignore a probe; health is not tracked."""

    def tokens_per_s(self, model: str, now_s: float) -> float:
        """Return the throughput of the scarcest layer boundary."""
        starts = self._by_start.get(model, {})
        sums = [sum(u.tokens_per_s for u in found) for found in starts.values()]
        return min(sums, default=0.0)

    def free_slots(self, model: str) -> int:
        """Return the free slots of the scarcest layer boundary."""
        starts = self._by_start.get(model, {})
        free = [
            sum(max(0, u.slots - self._inflight[u.upstream_id]) for u in found)
            for found in starts.values()
        ]
        return min(free, default=0)


def _stage_of(upstream: Upstream) -> Stage:
    layers = LayerRange(upstream.layers.start, upstream.layers.stop)
    return Stage(upstream.upstream_id, upstream.address, layers)
