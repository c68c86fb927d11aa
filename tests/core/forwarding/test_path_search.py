"""Tests that the search of a path and the sums of the loads equal simple ones."""

import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.forwarding import (
    GenerationSize,
    HeldLayers,
    LoadTable,
    Replica,
    ReplicaLoad,
    Stage,
    find_path,
)
from tests.core.forwarding.fleets import ENGINE, SIZE, staged_replica
from tests.core.forwarding.pools import make_pool, make_request
from tests.core.forwarding.reference_paths import find_path_simply

KINDS = ("h100", "a100s", "l4", "t4", "unknown")


@st.composite
def stages(draw: st.DrawFn) -> list[Replica]:
    """Return replicas whose ranges of layers often meet."""
    count = draw(st.integers(2, 24))
    found = []
    for number in range(count):
        start = draw(st.sampled_from((0, 0, 10, 20, 25, 30, 40, 50, 55, 60, 70, 79)))
        length = draw(st.sampled_from((0, 1, 5, 10, 20, 30, 60)))
        replica = staged_replica(f"r{number}", "za", start, start + length)
        found.append(
            attrs.evolve(
                replica,
                accelerator=draw(st.sampled_from(KINDS)),
                slots=draw(st.sampled_from((0, 2, 96))),
                layers=draw(st.sampled_from((replica.layers, replica.layers, None))),
            )
        )
    # Few random fleets hold all layers.
    for start in draw(st.sampled_from(((), (0, 20, 40, 60), (0, 25, 45, 70)))):
        found.append(staged_replica(f"whole{start}", "za", start, start + 25, "a100s"))
    return draw(st.permutations(found))


@given(
    replicas=stages(),
    seed=st.integers(0, 10**6),
    layer_mb=st.sampled_from((100.0, 600.0, 1750.0)),
    prompt_tokens=st.sampled_from((0, 1, 800, 5000)),
    first_stop=st.sampled_from((None, None, 7, 20, 25)),
)
def test_the_fast_search_finds_the_path_of_the_simple_one(
    replicas: list[Replica],
    seed: int,
    layer_mb: float,
    prompt_tokens: int,
    first_stop: int | None,
) -> None:
    """Guards against a faster search that misses paths, memory or slots."""
    rng = random.Random(seed)
    loads = LoadTable()
    for replica in replicas:
        for _ in range(rng.randint(0, 4)):
            loads.add(replica.replica_id, rng.choice((0, 1000, 20_000, 300_000)))
    slowness = {r.replica_id: rng.choice((1.0, 1.0, 2.5)) for r in replicas}
    first_stage = None
    if first_stop is not None:
        first_stage = Stage(replicas[0].replica_id, "10.0.0.1:80", 0, first_stop)
    spec = attrs.evolve(ENGINE, layer_mb=layer_mb)
    size = GenerationSize(prompt_tokens, 200)
    expected = find_path_simply(
        replicas,
        spec,
        size,
        loads=loads,
        now_s=0.0,
        first_stage=first_stage,
        slowness=slowness,
    )
    found = find_path(
        replicas,
        spec,
        size,
        loads=loads,
        now_s=0.0,
        first_stage=first_stage,
        slowness=slowness.__getitem__,
    )
    assert found == expected


@given(seed=st.integers(0, 10**6))
def test_the_sums_of_the_loads_equal_sums_over_all_hosts(seed: int) -> None:
    """Guards against a reservation that stays counted, or is taken away twice."""
    rng = random.Random(seed)
    loads, held = LoadTable(), []
    reports: dict[str, tuple[dict[str, ReplicaLoad], float]] = {}
    for step in range(60):
        event = rng.randrange(4)
        replica_id = rng.choice("abc")
        if event == 0:
            held.append((replica_id, rng.randint(0, 50)))
            loads.add(*held[-1])
        elif event == 1 and held:
            loads.remove(*held.pop(rng.randrange(len(held))))
        elif event == 2:
            report = {
                name: ReplicaLoad(rng.randint(0, 3), rng.randint(0, 9)) for name in "ab"
            }
            peer = rng.choice(("p", "q"))
            reports[peer] = (report, step + 5.0)
            loads.set_peer_loads(peer, report, step + 5.0)
        else:
            loads.expire_peers(float(step))
            reports = {p: row for p, row in reports.items() if step <= row[1]}
        for name in "abc":
            own = [tokens for holder, tokens in held if holder == name]
            others = [report.get(name, ReplicaLoad()) for report, _ in reports.values()]
            total = loads.total(name)
            assert total.requests == len(own) + sum(load.requests for load in others)
            assert total.requests == loads.requests(name)
            assert total.layer_tokens == sum(own) + sum(
                load.layer_tokens for load in others
            )


def test_a_report_that_changes_after_it_was_taken_counts_as_taken() -> None:
    """Guards against sums that drift when the sender's table is reused."""
    loads, report = LoadTable(), {"a": ReplicaLoad(2, 20)}
    loads.set_peer_loads("p", report, 1.0)
    report["a"] = ReplicaLoad(9, 90)
    loads.expire_peers(2.0)
    assert loads.total("a") == ReplicaLoad(0, 0)


def full_chain(prefix: str, slots: int = 96) -> tuple[Replica, ...]:
    """Return the replicas of one path over all layers."""
    return tuple(
        attrs.evolve(staged_replica(f"{prefix}{start}", "za", start, stop), slots=slots)
        for start, stop in ((0, 30), (30, 55), (55, 80))
    )


@pytest.mark.parametrize("change", ["moved", "removed", "draining", "ejected"])
def test_the_kept_table_follows_each_change_of_a_replica(change: str) -> None:
    """Guards against a send to a stage that moved, left or is excluded."""
    first, second = full_chain("a"), full_chain("b")
    pool = make_pool(*first, *second)
    before = pool.choose_path(make_request(SIZE), 0.0)
    assert before is not None
    lost = before.stages[1].replica_id
    replicas = {replica.replica_id: replica for replica in (*first, *second)}
    if change == "ejected":
        pool.eject(lost, 0.0)
    elif change == "removed":
        del replicas[lost]
    elif change == "draining":
        replicas[lost] = attrs.evolve(replicas[lost], is_draining=True)
    else:
        replicas[lost] = attrs.evolve(replicas[lost], layers=HeldLayers(0, 25))
    if change != "ejected":
        make_pool(*replicas.values(), pool=pool)
    after = pool.choose_path(make_request(SIZE), 0.1)
    assert after is not None
    assert lost not in {stage.replica_id for stage in after.stages}
