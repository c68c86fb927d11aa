"""Baseline router: random chains in arrival order, with retries on any failure."""

import random
from collections import defaultdict

from persimmonwell._exceptions import DeadlineExceededError, UpstreamFailedError
from persimmonwell.core import (
    Chain,
    LayerRange,
    ModelRequest,
    Outcome,
    Rank,
    Stage,
    Upstream,
)
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.router import (
    AttemptFinished,
    ConfigChanged,
    Dispatch,
    FleetChanged,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RouterDecision,
    RouterEvent,
    StageFailed,
)

MAX_ATTEMPTS = 10


class NaiveRouter:
    """Router without admission control, load balancing or health tracking."""

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)
        self._config = FleetConfig()
        self._by_start: dict[tuple[str, int], list[Upstream]] = {}
        self._active: dict[str, tuple[ModelRequest, int]] = {}

    def handle(self, event: RouterEvent, now_s: float) -> tuple[RouterDecision, ...]:
        """Apply one event and return decisions."""
        match event:
            case ConfigChanged(config):
                self._config = config
            case FleetChanged(upstreams, _, _):
                self._set_fleet(upstreams)
            case RequestArrived(request):
                self._active[request.request_id] = (request, 0)
                return self._dispatch(request.request_id, 0)
            case AttemptFinished(request_id, _, _) | RequestCancelled(request_id):
                self._active.pop(request_id, None)
            case StageFailed(request_id, attempt, upstream_id, failure, tokens):
                entry = self._active.get(request_id)
                if entry is None or entry[1] != attempt:
                    return ()
                if attempt >= MAX_ATTEMPTS:
                    del self._active[request_id]
                    error = UpstreamFailedError(upstream_id, failure.value)
                    return (Refuse(request_id, error, Outcome.MAY_HAVE_RUN),)
                return self._dispatch(request_id, tokens)
        return ()

    def _set_fleet(self, upstreams: tuple[Upstream, ...]) -> None:
        by_start: dict[tuple[str, int], list[Upstream]] = defaultdict(list)
        for upstream in upstreams:
            if not upstream.leaving:
                by_start[(upstream.model, upstream.layers.start)].append(upstream)
        self._by_start = by_start

    def _dispatch(self, request_id: str, tokens: int) -> tuple[RouterDecision, ...]:
        request, attempt = self._active[request_id]
        chain = self._random_chain(request.model)
        if chain is None:
            del self._active[request_id]
            return (Refuse(request_id, DeadlineExceededError(0), Outcome.NOT_RUN),)
        self._active[request_id] = (request, attempt + 1)
        return (Dispatch(request_id, attempt + 1, chain, tokens, Rank.NORMAL),)

    def _random_chain(self, model: str) -> Chain | None:
        total = self._config.models[model].layers
        boundary, stages = 0, []
        while boundary < total:
            candidates = self._by_start.get((model, boundary), [])
            if not candidates:
                return None
            chosen = self._random.choice(candidates)
            layers = LayerRange(chosen.layers.start, chosen.layers.stop)
            stages.append(Stage(chosen.upstream_id, chosen.address, layers))
            boundary = chosen.layers.stop
        return Chain(stages=tuple(stages))
