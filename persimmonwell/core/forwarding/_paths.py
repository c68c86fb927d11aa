"""Shortest-path choice of the pipeline stages that run a request to a model.

Several hosts send to the same stages. A path is used only while every stage has KV
memory for the whole request, so that no engine has to preempt a request.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

import attrs

from persimmonwell.core.forwarding._loads import LoadTable
from persimmonwell.core.forwarding._model import EngineSpec, GenerationSize, Replica

RESERVABLE_KV_SHARE = 0.92
"""Share of the KV memory that may be reserved; the rest covers peers' sends that their
reports do not show yet."""
MAX_STAGES = 32
"""Longest path that engines accept."""
DEFAULT_SIZE = GenerationSize(prompt_tokens=1024, max_output_tokens=256)
"""Size assumed for a request that does not state its tokens."""


@attrs.frozen
class Stage:
    """Range of layers that one replica runs for a request, the end exclusive."""

    replica_id: str
    address: str
    start: int
    stop: int


@attrs.frozen
class PipelinePath:
    """Stages of one request in pipeline order, with the predicted decode step time."""

    stages: tuple[Stage, ...]
    step_ms: float

    @property
    def first_stage(self) -> Stage:
        """Return the stage whose replica receives the request."""
        return self.stages[0]


@attrs.frozen
class _Candidate:
    replica: Replica
    start: int
    stop: int
    per_layer_ms: float
    free_layer_tokens: float


def find_path(
    replicas: Iterable[Replica],
    spec: EngineSpec,
    size: GenerationSize,
    *,
    loads: LoadTable,
    now_s: float,
    first_stage: Stage | None = None,
    slowness: Callable[[str], float] = lambda replica_id: 1.0,
) -> PipelinePath | None:
    """Return the fastest path with memory for the request, or None.

    A given first_stage is kept. slowness returns the factor on a replica's step times.
    """
    tokens = size.expected_tokens(spec.typical_output_tokens)
    candidates = _list_candidates(replicas, spec, loads, now_s, slowness)
    start = 0
    if first_stage is not None:
        start = first_stage.stop
        candidates = [
            candidate
            for candidate in candidates
            if candidate.replica.replica_id != first_stage.replica_id
        ]
    by_start: dict[int, list[_Candidate]] = defaultdict(list)
    boundaries = sorted(
        {start}
        | {candidate.start for candidate in candidates}
        | {candidate.stop for candidate in candidates}
    )
    for boundary in boundaries:
        by_start[boundary] = [
            candidate
            for candidate in candidates
            if candidate.start <= boundary < candidate.stop
        ]
    best: dict[int, tuple[float, int, _Candidate | None]] = {start: (0.0, start, None)}
    for boundary in boundaries:
        current = best.get(boundary)
        if current is None:
            continue
        for candidate in by_start[boundary]:
            if candidate is current[2] or (
                boundary == 0 and _is_full(candidate, spec, loads)
            ):
                continue
            for stop in boundaries:
                if stop <= boundary or stop > candidate.stop:
                    continue
                if (stop - boundary) * tokens > candidate.free_layer_tokens:
                    continue
                time_ms = (
                    current[0]
                    + (stop - boundary) * candidate.per_layer_ms
                    + spec.hop_delay_ms
                )
                previous = best.get(stop)
                if previous is None or time_ms < previous[0]:
                    best[stop] = (time_ms, boundary, candidate)
    path = _backtrack(best, spec, start)
    if path is None or first_stage is None:
        return path
    return PipelinePath((first_stage, *path.stages), path.step_ms)


def _is_full(candidate: _Candidate, spec: EngineSpec, loads: LoadTable) -> bool:
    slots = min(spec.slots, candidate.replica.slots or spec.slots)
    return loads.total(candidate.replica.replica_id).requests >= slots


def _list_candidates(
    replicas: Iterable[Replica],
    spec: EngineSpec,
    loads: LoadTable,
    now_s: float,
    slowness: Callable[[str], float],
) -> list[_Candidate]:
    kinds = dict(spec.accelerators)
    candidates = []
    for replica in replicas:
        kind = kinds.get(replica.accelerator)
        if kind is None or replica.layers is None or replica.layers.count <= 0:
            continue
        factor = slowness(replica.replica_id)
        load = loads.total(replica.replica_id)
        room_mb = kind.memory_mb - replica.layers.count * spec.layer_mb
        capacity = RESERVABLE_KV_SHARE * room_mb / spec.kv_mb_per_layer_token
        context = (spec.typical_prompt_tokens + spec.typical_output_tokens / 2) / 1000
        pass_ms = spec.step_ms + load.requests * (
            spec.step_ms_per_sequence + spec.step_ms_per_1k_context * context
        )
        candidates.append(
            _Candidate(
                replica=replica,
                start=replica.layers.start,
                stop=min(replica.layers.stop, spec.layers),
                per_layer_ms=factor * kind.step_factor * pass_ms / spec.layers,
                free_layer_tokens=capacity
                - loads.used_layer_tokens(replica.replica_id, now_s),
            )
        )
    return candidates


def _backtrack(
    best: Mapping[int, tuple[float, int, _Candidate | None]],
    spec: EngineSpec,
    first_layer: int,
) -> PipelinePath | None:
    if spec.layers not in best:
        return None
    stages: list[Stage] = []
    position = spec.layers
    while position > first_layer:
        _, start, candidate = best[position]
        assert candidate is not None
        replica = candidate.replica
        stages.append(Stage(replica.replica_id, replica.address, start, position))
        position = start
    stages.reverse()
    if len({stage.replica_id for stage in stages}) != len(stages):
        return None
    if len(stages) > MAX_STAGES:
        return None
    return PipelinePath(tuple(stages), best[spec.layers][0])
