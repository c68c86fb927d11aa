"""Choose the chain of upstreams for a request."""

import random
from collections import defaultdict

import attrs

from persimmonwell.core._types import Chain, LayerRange, Stage, Upstream


@attrs.frozen
class NoRoute:
    """Report that the usable upstreams do not cover the model."""

    reason: str


class ChainRouter:
    """Hold the upstreams of each model and the requests in flight at each."""

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)
        self._by_start: dict[str, dict[int, list[Upstream]]] = {}
        self._upstreams: dict[str, Upstream] = {}
        self._inflight: dict[str, int] = defaultdict(int)

    def update_fleet(self, upstreams: tuple[Upstream, ...]) -> None:
        """Replace the set of upstreams."""
        by_start: dict[str, dict[int, list[Upstream]]] = {}
        for upstream in upstreams:
            if upstream.leaving:
                continue
            starts = by_start.setdefault(upstream.model, {})
            starts.setdefault(upstream.layers.start, []).append(upstream)
        self._by_start = by_start
        self._upstreams = {u.upstream_id: u for u in upstreams}

    def choose(
        self,
        model: str,
        total_layers: int,
        *,
        excluded: frozenset[str] = frozenset(),
    ) -> Chain | NoRoute:
        """Return a chain that covers every layer, or the reason there is none."""
        stages = self._extend(model, 0, total_layers, excluded)
        if stages is None:
            return NoRoute(reason="live upstreams do not cover every layer")
        return Chain(stages=stages)

    def _extend(
        self, model: str, boundary: int, total: int, excluded: frozenset[str]
    ) -> tuple[Stage, ...] | None:
        if boundary == total:
            return ()
        candidates = [
            u
            for u in self._by_start.get(model, {}).get(boundary, ())
            if u.upstream_id not in excluded
            and u.layers.stop <= total
            and self._inflight[u.upstream_id] < u.slots
        ]
        self._random.shuffle(candidates)
        candidates.sort(key=lambda u: self._inflight[u.upstream_id] / u.slots)
        for upstream in candidates:
            rest = self._extend(model, upstream.layers.stop, total, excluded)
            if rest is not None:
                return (_stage_of(upstream), *rest)
        return None

    def started(self, chain: Chain) -> None:
        """Count a request in flight at every upstream of the chain."""
        for upstream_id in chain.upstream_ids:
            self._inflight[upstream_id] += 1

    def finished(self, chain: Chain) -> None:
        """Stop counting a request at every upstream of the chain."""
        for upstream_id in chain.upstream_ids:
            self._inflight[upstream_id] -= 1


def _stage_of(upstream: Upstream) -> Stage:
    layers = LayerRange(upstream.layers.start, upstream.layers.stop)
    return Stage(upstream.upstream_id, upstream.address, layers)
