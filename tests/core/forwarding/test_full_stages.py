"""Tests of the memory reports of replicas that were short of memory."""

import pytest

from persimmonwell.core.forwarding._full_stages import (
    DRAIN_S,
    MAX_REPORTS,
    MAX_SHARED_REPORTS,
    MEMORY_S,
    FullStages,
    MemoryReport,
)
from tests.core.forwarding.fleets import SIZE, staged_replica
from tests.core.forwarding.pools import make_pool, make_request

CAPACITY = 1000.0
NEED = 10


def usable(stages: FullStages, now_s: float, others: float = 9.0) -> float:
    """Return the layer-tokens that a host may reserve at the replica "a"."""
    return stages.usable_tokens(
        "a",
        capacity=CAPACITY,
        request_tokens=NEED,
        other_hosts=others,
        now_s=now_s,
    )


def full(phase: float = 0.0, used: int = 1000) -> FullStages:
    """Return a state with a report of the replica "a" at 0 s."""
    stages = FullStages()
    stages.record("a", used, 0.0)
    stages.draw_phases(lambda: phase)
    return stages


def test_a_full_replica_is_not_used_until_memory_is_free() -> None:
    """Guards against sends to a replica that refused a moment ago."""
    stages = full()
    assert usable(stages, 0.0) == 0.0
    assert usable(stages, 0.5 * DRAIN_S) > NEED
    assert usable(stages, MEMORY_S) == float("inf")


@pytest.mark.parametrize(
    ("stages", "others", "expected"),
    [
        (full(used=500), 9.0, float("inf")),
        (FullStages(), 9.0, float("inf")),
        (full(), 0.0, float("inf")),
        (full(phase=0.9), 9.0, 0.0),
    ],
    ids=["room", "no report", "lone host", "rounding alone"],
)
def test_a_host_is_held_back_only_by_a_full_replica_that_others_use(
    stages: FullStages, others: float, expected: float
) -> None:
    """Guards against memory that stays free, and a replica that has just refused.

    Paths over few of its layers must not pass by the rounding of a share alone.
    """
    assert usable(stages, 0.0, others) == expected


def test_own_sends_use_up_the_share() -> None:
    """Guards against one host that takes the memory of all of them."""
    stages = full()
    before = usable(stages, 1.0)
    stages.add_own("a", 40)
    assert usable(stages, 1.0) == pytest.approx(before - 40)
    stages.add_own("a", 10_000)
    assert usable(stages, 1.0) == 0.0


def test_hosts_return_to_a_full_replica_one_after_the_other() -> None:
    """Guards against all hosts that send again at the same moment."""
    first_s = []
    for number in range(10):
        stages = full(phase=number / 10)
        times_s = (0.01 * step for step in range(400))
        first_s.append(next(s for s in times_s if usable(stages, s, 199.0) >= NEED))
    assert first_s == sorted(first_s, reverse=True)
    assert len(set(first_s)) == 10


def test_a_wrong_report_holds_a_replica_back_for_no_longer_than_a_full_one() -> None:
    """Guards against a host or a replica that reports more memory than there is."""
    assert usable(full(used=10**15), 0.5 * DRAIN_S) > NEED
    (report,) = full(used=10**18).newest(0.0)
    assert report.layer_tokens <= 1 << 48
    (report,) = full(used=-5).newest(0.0)
    assert report.layer_tokens == 0


def test_a_newer_report_of_a_peer_replaces_an_older_one() -> None:
    """Guards against an old report that hides that a replica has room again."""
    stages = full()
    stages.merge(MemoryReport("a", 100, 0.5), 1.0)
    assert usable(stages, 1.0) == float("inf")
    stages.merge(MemoryReport("a", 1000, 0.9), 1.0)
    assert usable(stages, 1.0) == float("inf")


def test_a_report_that_goes_round_expires() -> None:
    """Guards against hosts that pass a report on and on and each make it newer."""
    one, two = FullStages(), FullStages()
    one.record("a", 1000, 0.0)
    now_s = 0.0
    while now_s < 3 * MEMORY_S:
        for sender, receiver in ((one, two), (two, one)):
            for report in sender.newest(now_s):
                receiver.merge(report, now_s + 0.1)
            now_s += 0.125
        one.expire(now_s)
        two.expire(now_s)
    assert not one.replica_ids and not two.replica_ids


def test_reports_are_bounded() -> None:
    """Guards against memory and datagrams that grow with the reports of peers."""
    stages = FullStages()
    for number in range(2 * MAX_REPORTS):
        stages.merge(MemoryReport(f"r{number}", 900, 0.0), 0.001 * number)
    assert len(stages.replica_ids) == MAX_REPORTS
    newest = stages.newest(1.0)
    assert len(newest) == MAX_SHARED_REPORTS
    assert newest[0].replica_id == f"r{2 * MAX_REPORTS - 1}"
    stages.merge(MemoryReport("old", 900, MEMORY_S), 1.0)
    assert "old" not in stages.replica_ids


def test_a_time_that_goes_back_does_no_harm() -> None:
    """Guards against an age below 0, which peers would reject, and lasting holds."""
    stages = full()
    (report,) = stages.newest(-5.0)
    assert report.age_s == 0.0
    assert usable(stages, -5.0) == 0.0
    stages.record("a", 1000, -5.0)
    stages.expire(MEMORY_S)
    assert not stages.replica_ids


def test_peers_avoid_a_stage_that_refused_another_host() -> None:
    """Guards against hosts that are refused in turn by the same full stage."""
    chains = [
        staged_replica(f"{name}{start}", "za", start, stop, kind)
        for name, kind in (("a", "h100"), ("b", "a100s"))
        for start, stop in ((0, 10), (10, 20))
    ]
    chains += [staged_replica("c20", "za", 20, 50), staged_replica("c50", "za", 50, 80)]
    pool = make_pool(*chains)
    for peer in range(9):
        pool.loads.set_peer_loads(f"h{peer}", {}, 9.0, zone_reported_s=0.0)
    before = pool.choose_path(make_request(SIZE), 0.1)
    assert before is not None and before.first_stage.replica_id == "a0"
    pool.loads.full_stages.merge(MemoryReport("a0", 10**9, 0.05), 0.1)
    after = pool.choose_path(make_request(SIZE, key=2), 0.1)
    assert after is not None and after.first_stage.replica_id == "b0"


def test_a_replica_that_restarts_is_not_taken_for_full() -> None:
    """Guards against a report of an earlier start that holds back an empty replica."""
    first, second = (
        staged_replica("a0", "za", 0, 40),
        staged_replica("a40", "za", 40, 80),
    )
    pool = make_pool(first, second)
    for peer in range(9):
        pool.loads.set_peer_loads(f"h{peer}", {}, 9.0, zone_reported_s=0.0)
    pool.loads.full_stages.record("a0", 10**9, 0.0)
    assert pool.choose_path(make_request(SIZE), 0.1) is None
    again = staged_replica("a0", "za", 0, 40, started_at_ms=5)
    make_pool(again, second, pool=pool)
    assert pool.choose_path(make_request(SIZE, key=2), 0.2) is not None


def test_a_refusal_of_another_host_makes_the_expected_sends_count() -> None:
    """Guards against hosts that all have to be refused before they hold back."""
    chains = [
        staged_replica(f"{name}{start}", "za", start, stop)
        for name in ("a", "b")
        for start, stop in ((0, 40), (40, 80))
    ]
    trust = []
    for is_reported in (False, True):
        pool = make_pool(*chains)
        for peer in range(9):
            pool.loads.set_peer_loads(f"h{peer}", {}, 9.0, zone_reported_s=0.0)
        if is_reported:
            pool.loads.full_stages.merge(MemoryReport("a0", 10**9, 0.05), 0.1)
        for key in range(2):
            assert pool.choose_path(make_request(SIZE, key=key), 0.1) is not None
        trust.append(pool.loads.shared._trust(0.1))
    assert trust[0] < 0.5 < trust[1]
