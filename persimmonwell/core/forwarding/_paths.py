"""Shortest-path choice of the pipeline stages that run a request to a model.

Several hosts send to the same stages. A path is used only while every stage has KV
memory for the whole request, so that no engine has to preempt a request.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable
from copy import copy

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


class StageTable:
    """What a search of a path needs of a set of replicas, apart from their loads.

    It is built when the registry or the excluded replicas change and serves any number
    of searches.
    """

    def __init__(self, replicas: Iterable[Replica], spec: EngineSpec) -> None:
        kinds = dict(spec.accelerators)
        self.spec = spec
        self.replicas: list[Replica] = []
        self.starts: list[int] = []
        self.stops: list[int] = []
        self.step_factors: list[float] = []
        self.capacities: list[float] = []
        """Layer-tokens that may be reserved."""
        self.slots: list[int] = []
        for replica in replicas:
            kind = kinds.get(replica.accelerator)
            if kind is None or replica.layers is None or replica.layers.count <= 0:
                continue
            room_mb = kind.memory_mb - replica.layers.count * spec.layer_mb
            self.replicas.append(replica)
            self.starts.append(replica.layers.start)
            self.stops.append(min(replica.layers.stop, spec.layers))
            self.step_factors.append(kind.step_factor)
            self.capacities.append(
                RESERVABLE_KV_SHARE * room_mb / spec.kv_mb_per_layer_token
            )
            self.slots.append(min(spec.slots, replica.slots or spec.slots))
        context = (spec.typical_prompt_tokens + spec.typical_output_tokens / 2) / 1000
        self.ms_per_request = (
            spec.step_ms_per_sequence + spec.step_ms_per_1k_context * context
        )
        self.boundaries = sorted({0, *self.starts, *self.stops})
        """Layers at which a stage may begin or end."""
        position = {layer: index for index, layer in enumerate(self.boundaries)}
        self.boundary_ranges = [
            (position[start], position[stop])
            for start, stop in zip(self.starts, self.stops, strict=True)
        ]
        """Indices of the boundaries at which each replica's layers start and stop."""

    def with_kept_share(self, share: float) -> "StageTable":
        """Return a table that shares all but the capacities, of which share is left."""
        table = copy(self)
        table.capacities = [(1.0 - share) * tokens for tokens in self.capacities]
        return table


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
    if first_stage is not None:
        replicas = (
            replica
            for replica in replicas
            if replica.replica_id != first_stage.replica_id
        )
    table = StageTable(replicas, spec)
    return search_path(
        table,
        size,
        loads=loads,
        now_s=now_s,
        first_stage=first_stage,
        slowness=slowness,
    )


def search_path(
    table: StageTable,
    size: GenerationSize,
    *,
    loads: LoadTable,
    now_s: float,
    first_stage: Stage | None = None,
    slowness: Callable[[str], float] = lambda replica_id: 1.0,
) -> PipelinePath | None:
    """Return the fastest path over the replicas of a table; see find_path.

    The replica of a given first_stage is not in the table.
    """
    spec = table.spec
    tokens = size.expected_tokens(spec.typical_output_tokens)
    used_slots, layer_ms, free = _measure_loads(table, loads, now_s, slowness, tokens)
    start = 0 if first_stage is None else first_stage.stop
    boundaries = table.boundaries
    if start not in boundaries:
        # No replica holds layers that end or start there.
        boundaries = sorted({start, *boundaries})
    first = boundaries.index(start)
    is_extended = len(boundaries) > len(table.boundaries)
    covering = _covering(table, layer_ms, first if is_extended else None)
    times: list[float] = [float("inf")] * len(boundaries)
    arrivals: list[tuple[int, int]] = [(-1, -1)] * len(boundaries)
    """Index of the boundary before and of the replica between."""
    times[first] = 0.0
    hop_ms = spec.hop_delay_ms
    for index in range(first, len(boundaries)):
        time_ms = times[index]
        if time_ms == float("inf"):
            continue
        boundary = boundaries[index]
        arrived_by = arrivals[index][1]
        # The fastest replica reaches some boundaries, a slower one only matters
        # beyond them.
        following = index + 1
        for number, last in covering[index]:
            if last < following or number == arrived_by:
                continue
            if boundary == 0 and used_slots[number] >= table.slots[number]:
                continue
            per_layer_ms = layer_ms[number]
            free_tokens = free[number]
            while following <= last:
                count = boundaries[following] - boundary
                if count * tokens > free_tokens:
                    break
                reached_ms = time_ms + count * per_layer_ms + hop_ms
                if reached_ms < times[following]:
                    times[following] = reached_ms
                    arrivals[following] = (index, number)
                following += 1
    return _backtrack(table, boundaries, times, arrivals, first_stage)


def _measure_loads(
    table: StageTable,
    loads: LoadTable,
    now_s: float,
    slowness: Callable[[str], float],
    tokens: int,
) -> tuple[list[float], list[float], list[float]]:
    """Return used slots, the time of one layer and free layer-tokens by replica.

    They count what the other hosts are expected to send. tokens are those of the
    request.
    """
    spec = table.spec
    step_ms, ms_per_request, layers = spec.step_ms, table.ms_per_request, spec.layers
    loads.update_expected(now_s)
    expected = loads.shared.expected
    full_stages = loads.full_stages
    reported = full_stages.replica_ids
    other_hosts = loads.shared.busy_peers
    used_slots: list[float] = []
    layer_ms = []
    free = []
    for replica, step_factor, capacity in zip(
        table.replicas, table.step_factors, table.capacities, strict=True
    ):
        replica_id = replica.replica_id
        count: float = loads.requests(replica_id)
        slots: float = count
        free_tokens = capacity - loads.used_layer_tokens(replica_id, now_s)
        if (more := expected.get(replica_id)) is not None:
            count += more.requests
            slots += more.used_slots
            free_tokens -= more.layer_tokens
        if replica_id in reported:
            assert replica.layers is not None
            usable = full_stages.usable_tokens(
                replica_id,
                capacity=capacity,
                request_tokens=replica.layers.count * tokens,
                other_hosts=other_hosts,
                now_s=now_s,
            )
            if usable < free_tokens:
                free_tokens = usable
                # The hosts together send too much, whichever of them was refused.
                loads.shared.record_refusal(full_stages.reported_s(replica_id))
        pass_ms = step_ms + count * ms_per_request
        used_slots.append(slots)
        layer_ms.append(slowness(replica_id) * step_factor * pass_ms / layers)
        free.append(free_tokens)
    if loads.shared.has_joined:
        mean_ms = sum(used_slots) / max(1, len(used_slots)) * ms_per_request
        for number, replica in enumerate(table.replicas):
            share = loads.shared.ramp_share(replica.replica_id, now_s)
            if share > 0.0:
                factor = slowness(replica.replica_id) * table.step_factors[number]
                layer_ms[number] += share * factor * mean_ms / layers
    return used_slots, layer_ms, free


def _covering(
    table: StageTable, layer_ms: list[float], inserted: int | None
) -> list[list[tuple[int, int]]]:
    """Return by boundary the replicas that hold the layer after it, fastest first.

    Each comes with the index of the boundary at which its layers end. inserted is the
    index of a boundary that is not in the table.
    """
    size = len(table.boundaries) + (inserted is not None)
    covering: list[list[tuple[int, int]]] = [[] for _ in range(size)]
    ranges = table.boundary_ranges
    for number in sorted(range(len(layer_ms)), key=layer_ms.__getitem__):
        begin, end = ranges[number]
        if inserted is not None:
            begin += begin >= inserted
            end += end >= inserted
        entry = (number, end)
        for index in range(begin, end):
            covering[index].append(entry)
    return covering


def _backtrack(
    table: StageTable,
    boundaries: list[int],
    times: list[float],
    arrivals: list[tuple[int, int]],
    first_stage: Stage | None,
) -> PipelinePath | None:
    layers = table.spec.layers
    index = bisect_left(boundaries, layers)
    if index == len(boundaries) or boundaries[index] != layers:
        return None
    if times[index] == float("inf"):
        return None
    step_ms = times[index]
    stages: list[Stage] = []
    while arrivals[index][1] >= 0:
        before, number = arrivals[index]
        replica = table.replicas[number]
        stages.append(
            Stage(
                replica.replica_id,
                replica.address,
                boundaries[before],
                boundaries[index],
            )
        )
        index = before
    stages.reverse()
    if len({stage.replica_id for stage in stages}) != len(stages):
        return None
    if len(stages) > MAX_STAGES:
        return None
    if first_stage is not None:
        stages.insert(0, first_stage)
    return PipelinePath(tuple(stages), step_ms)
