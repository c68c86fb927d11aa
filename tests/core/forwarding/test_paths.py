"""Tests of the choice of pipeline stages and of the load table."""

import pytest

from persimmonwell.core.forwarding import (
    GenerationSize,
    LoadTable,
    PipelinePath,
    Replica,
    Stage,
    find_path,
)
from tests.core.forwarding.fleets import ENGINE, SIZE, staged_replica


def find(
    *replicas: Replica,
    loads: LoadTable | None = None,
    size: GenerationSize = SIZE,
    first_stage: Stage | None = None,
) -> PipelinePath | None:
    return find_path(
        replicas,
        ENGINE,
        size,
        loads=loads or LoadTable(),
        now_s=0.0,
        first_stage=first_stage,
    )


def as_tuples(path: PipelinePath | None) -> list[tuple[str, int, int]]:
    return [(p.replica_id, p.start, p.stop) for p in path.stages] if path else []


FRONT = staged_replica("front", "za", 0, 30)
BACK = staged_replica("back", "za", 30, 80, "a100s")


@pytest.mark.parametrize(
    ("replicas", "expected"),
    [
        pytest.param((FRONT,), [], id="gap-at-the-end"),
        pytest.param((BACK,), [], id="gap-at-the-start"),
        pytest.param(
            (
                staged_replica("a", "za", 0, 30),
                staged_replica("b", "za", 25, 55),
                staged_replica("c", "za", 50, 80),
            ),
            [("a", 0, 30), ("b", 30, 50), ("c", 50, 80)],
            id="overlap-runs-once",
        ),
        pytest.param(
            (staged_replica("a", "za", 0, 40), staged_replica("b", "za", 40, 80, "l4")),
            [],
            id="full",
        ),
        pytest.param(
            (
                staged_replica("a", "za", 0, 30),
                staged_replica("m", "za", 10, 20),
                staged_replica("b", "za", 30, 60),
                staged_replica("c", "za", 60, 80),
            ),
            [("a", 0, 30), ("b", 30, 60), ("c", 60, 80)],
            id="fewest-hops",
        ),
    ],
)
def test_each_layer_runs_once_in_order(
    replicas: tuple[Replica, ...], expected: list[tuple[str, int, int]]
) -> None:
    """Guards against tokens computed without a layer, or with one twice."""
    path = find(*replicas)
    if expected and path is not None:
        borders = [stage.stop for stage in path.stages]
        assert [stage.start for stage in path.stages] == [0, *borders[:-1]]
        assert borders[-1] == ENGINE.layers
        assert len(as_tuples(path)) == len(expected)
    else:
        assert as_tuples(path) == expected


def test_a_stage_without_memory_for_the_request_is_skipped() -> None:
    """Guards against a request that an engine preempts during its stream."""
    replicas = (staged_replica("a", "za", 0, 30), staged_replica("b", "za", 30, 60))
    last, copy = staged_replica("c", "za", 60, 80), staged_replica("d", "za", 60, 80)
    loads = LoadTable()
    path = find(*replicas, last, copy, loads=loads)
    assert path is not None
    taken = path.stages[-1].replica_id
    loads.add(taken, 10**9)
    second = find(*replicas, last, copy, loads=loads)
    assert second is not None
    assert second.stages[-1].replica_id != taken
    for name in ("c", "d"):
        loads.add(name, 10**9)
    assert find(*replicas, last, copy, loads=loads) is None


def test_untracked_memory_counts_as_used_until_it_expires() -> None:
    """Guards against sends to a stage whose memory abandoned requests still use."""
    loads = LoadTable()
    replicas = (staged_replica("a", "za", 0, 30), staged_replica("b", "za", 30, 55))
    last = staged_replica("c", "za", 55, 80)
    loads.record_report("b", 10**9, 0.0)
    assert find(*replicas, last, loads=loads) is None
    later = find_path((*replicas, last), ENGINE, SIZE, loads=loads, now_s=2.0)
    assert later is not None


def test_the_less_loaded_copy_is_chosen() -> None:
    """Guards against one copy that gets all requests while the other one idles."""
    loads = LoadTable()
    replicas = (staged_replica("a", "za", 0, 30), staged_replica("b", "za", 30, 55))
    copies = (staged_replica("c", "za", 55, 80), staged_replica("d", "za", 55, 80))
    for _ in range(10):
        path = find(*replicas, *copies, loads=loads)
        assert path is not None
        for stage in path.stages:
            loads.add(stage.replica_id, 100)
    assert loads.total("c").requests == loads.total("d").requests == 5


def test_a_rerouted_request_keeps_its_first_stage() -> None:
    """Guards against a reroute order that the first replica has to refuse."""
    entry, middle = staged_replica("a", "za", 0, 30), staged_replica("b", "za", 20, 55)
    tail, spare = staged_replica("c", "za", 55, 80), staged_replica("d", "za", 25, 55)
    first_stage = Stage("a", entry.address, 0, 30)
    path = find(entry, spare, tail, first_stage=first_stage)
    assert path is not None
    assert path.stages[0] == first_stage
    assert as_tuples(path)[1:] == [("d", 30, 55), ("c", 55, 80)]
    assert find(entry, middle, first_stage=first_stage) is None


def test_a_first_stage_without_free_slots_is_skipped() -> None:
    """Guards against requests that queue at a replica whose slots are all used."""
    loads = LoadTable()
    stages = (staged_replica("a", "za", 0, 30), staged_replica("b", "za", 30, 55))
    last = staged_replica("c", "za", 55, 80)
    for _ in range(96):
        loads.add("a", 0)
    assert find(*stages, last, loads=loads) is None


@pytest.mark.parametrize("age_s", [1.0, 3.0])
def test_loads_of_a_silent_peer_expire(age_s: float) -> None:
    """Guards against memory that stays reserved for a host that has stopped."""
    loads, other = LoadTable(), LoadTable()
    other.add("a", 500)
    loads.set_peer_loads("host-2", other.local, 2.0)
    loads.expire_peers(age_s)
    assert loads.total("a").layer_tokens == (500 if age_s < 2.0 else 0)
