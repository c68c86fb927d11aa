"""Simple choice of a path, against which the product's faster one is compared."""

from collections.abc import Iterable

from persimmonwell.core.forwarding import (
    EngineSpec,
    GenerationSize,
    LoadTable,
    PipelinePath,
    Replica,
    Stage,
)
from persimmonwell.core.forwarding._paths import MAX_STAGES, RESERVABLE_KV_SHARE


def find_path_simply(
    replicas: Iterable[Replica],
    spec: EngineSpec,
    size: GenerationSize,
    *,
    loads: LoadTable,
    now_s: float,
    first_stage: Stage | None = None,
    slowness: dict[str, float],
) -> PipelinePath | None:
    """Try each replica from each boundary to each later one that it holds."""
    tokens = size.expected_tokens(spec.typical_output_tokens)
    context = (spec.typical_prompt_tokens + spec.typical_output_tokens / 2) / 1000
    request_ms = spec.step_ms_per_sequence + spec.step_ms_per_1k_context * context
    usable = [
        replica
        for replica in replicas
        if spec.accelerator(replica.accelerator) is not None
        and replica.layers is not None
        and replica.layers.count > 0
        and (first_stage is None or replica.replica_id != first_stage.replica_id)
    ]
    start = first_stage.stop if first_stage is not None else 0
    boundaries = {start}
    for replica in usable:
        assert replica.layers is not None
        boundaries |= {replica.layers.start, min(replica.layers.stop, spec.layers)}
    best: dict[int, tuple[float, int, Replica | None]] = {start: (0.0, start, None)}
    for boundary in sorted(boundaries):
        if boundary not in best:
            continue
        for replica in usable:
            kind = spec.accelerator(replica.accelerator)
            assert kind is not None and replica.layers is not None
            load = loads.total(replica.replica_id)
            slots = min(spec.slots, replica.slots or spec.slots)
            if replica is best[boundary][2] or replica.layers.start > boundary:
                continue
            if boundary == 0 and load.requests >= slots:
                continue
            pass_ms = spec.step_ms + load.requests * request_ms
            factor = slowness.get(replica.replica_id, 1.0)
            layer_ms = factor * kind.step_factor * pass_ms / spec.layers
            room_mb = kind.memory_mb - replica.layers.count * spec.layer_mb
            capacity = RESERVABLE_KV_SHARE * room_mb / spec.kv_mb_per_layer_token
            free = capacity - loads.used_layer_tokens(replica.replica_id, now_s)
            for stop in sorted(boundaries):
                if not boundary < stop <= min(replica.layers.stop, spec.layers):
                    continue
                if (stop - boundary) * tokens > free:
                    continue
                time_ms = best[boundary][0] + (stop - boundary) * layer_ms
                time_ms += spec.hop_delay_ms
                if stop not in best or time_ms < best[stop][0]:
                    best[stop] = (time_ms, boundary, replica)
    if spec.layers not in best:
        return None
    stages: list[Stage] = []
    position = spec.layers
    while position > start:
        _, before, found = best[position]
        assert found is not None
        stages.insert(0, Stage(found.replica_id, found.address, before, position))
        position = before
    if len({stage.replica_id for stage in stages}) != len(stages):
        return None
    if len(stages) > MAX_STAGES:
        return None
    head = (first_stage,) if first_stage is not None else ()
    return PipelinePath((*head, *stages), best[spec.layers][0])
