"""Tests of the share of a plain service's slots that one host uses."""

import attrs
import pytest

from persimmonwell.core.forwarding import GenerationSize, LoadTable, ReplicaLoad
from persimmonwell.core.forwarding._slot_shares import (
    OVERBOOKING,
    PRESSED_S,
    ServiceLoad,
    SlotShares,
)
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from tests.core.forwarding.fleets import desk_replica
from tests.core.forwarding.pools import make_pool, make_request

SIZE = GenerationSize(1, 1)
ANSWER_S = 0.07
FULL = ServiceLoad(slots=18, replicas=3, own=1, others=17, hosts=30, report_age_s=0.4)


def sends(shares: SlotShares, load: ServiceLoad, *, is_unsafe: bool) -> int:
    """Return the sends that a host may make within 10 s."""
    count = 0
    for number in range(1000):
        now_s = number / 100
        shares.update(load, now_s)
        for _ in range(2):
            if shares.may_send(is_unsafe=is_unsafe, now_s=now_s):
                shares.record_send("d0", is_unsafe=is_unsafe)
                count += 1
    return count


def make_shares() -> SlotShares:
    shares = SlotShares()
    shares.record_answer(ANSWER_S, 0.0)
    return shares


@pytest.mark.parametrize("hosts", [2, 30, 65])
def test_the_shares_of_all_hosts_are_what_the_slots_serve(hosts: int) -> None:
    """Guards against hosts that together send more than the slots can take."""
    load = attrs.evolve(FULL, own=18 // hosts, others=18, hosts=hosts)
    sent = sends(make_shares(), load, is_unsafe=False)
    assert hosts * (sent - 3) <= OVERBOOKING * 10.0 * 18 / ANSWER_S


def test_a_host_with_half_of_the_load_gets_half_of_the_slots() -> None:
    """Guards against equal shares where one host has most of the callers."""
    load = attrs.evolve(FULL, own=9, others=9)
    assert sends(make_shares(), load, is_unsafe=False) >= 10.0 * 7.5 / ANSWER_S


@pytest.mark.parametrize("hosts", [30, 65])
def test_a_filling_queue_makes_no_host_look_busier(hosts: int) -> None:
    """Guards against all hosts that take more than an equal part at the same time.

    Each has four requests in flight within a second, and the reports are older.
    """
    load = attrs.evolve(FULL, own=0, others=18, hosts=hosts, report_age_s=2.5)
    shares = make_shares()
    shares.update(load, 0.0)
    for number in range(1, 11):
        shares.update(attrs.evolve(load, own=number * 4 // 10), number / 10)
    equal_per_s = 18 / ANSWER_S / hosts
    assert shares.rate_per_s == pytest.approx(equal_per_s)


@pytest.mark.parametrize(
    ("zone_reports_s", "other_reports_s", "age_s"),
    [
        ((), (), 0.0),
        ((9.0, 9.5), (), 0.75),
        ((), (8.0, 7.0), 2.5),
        ((9.5, 9.5), (8.0, 7.0), 1.5),
    ],
    ids=["alone", "own zone", "other zones", "both"],
)
def test_the_reports_of_all_zones_have_a_mean_age(
    zone_reports_s: tuple[float, ...], other_reports_s: tuple[float, ...], age_s: float
) -> None:
    """Guards against the age of the zone's reports, which are newer than the others."""
    loads = LoadTable()
    for number, at_s in enumerate(zone_reports_s):
        loads.set_peer_loads(f"near-{number}", {}, 20.0, zone_reported_s=at_s)
    for number, at_s in enumerate(other_reports_s):
        loads.set_peer_loads(f"far-{number}", {}, 20.0)
        loads.zone_reports.record(f"far-{number}", f"z{number}", at_s)
    assert loads.mean_report_age_s(10.0) == pytest.approx(age_s)


def test_without_pressure_nothing_is_held_back() -> None:
    """Guards against waits in calm times."""
    calm = attrs.evolve(FULL, own=0, others=8)
    assert sends(make_shares(), calm, is_unsafe=False) == 2000


def test_slow_answers_show_pressure_before_the_reports_do() -> None:
    """Guards against a surge that fills the replicas' queues until reports arrive."""
    shares = make_shares()
    for _ in range(5):
        shares.record_answer(ANSWER_S, 0.0)
    for _ in range(2):
        shares.record_answer(3 * ANSWER_S, 1.0)
    assert shares.is_pressed(1.0)
    assert not shares.is_pressed(1.1 + PRESSED_S)


def test_reads_leave_one_slot_until_a_request_that_must_not_be_repeated_has_it() -> (
    None
):
    """Guards against reads in the last slot, and against two slots that stay empty."""
    shares = make_shares()
    shares.record_unsafe(0.0)
    assert shares.kept_slots("d0", 0.0) == 0
    shares.update(FULL, 0.0)
    assert shares.kept_slots("d0", 0.0) == 1
    shares.record_send("d0", is_unsafe=True)
    assert shares.kept_slots("d0", 0.0) == 0
    shares.record_end("d0", is_unsafe=True)
    assert shares.kept_slots("d0", 0.0) == 1
    assert shares.kept_slots("d0", 10.0) == 0


def make_full_pool(own: int, reported: int, reported_s: float) -> UpstreamPool:
    """Return a pool that knows the usual duration of an answer, with one replica."""
    pool = make_pool(desk_replica("d0", slots=6))
    # The sends that a host may make are saved up from its first choice on.
    pool.choose_replica(make_request(SIZE, route_name="look"), 0.0)
    pool.loads.set_peer_loads(
        "h1", {"d0": ReplicaLoad(reported)}, 10.0, zone_reported_s=reported_s
    )
    for key in range(own):
        active = make_request(SIZE, key=key, route_name="look")
        active.replica_id = "d0"
        pool.reserve(active)
        pool.slot_shares("desk").record_answer(ANSWER_S, 0.0)
    return pool


@pytest.mark.parametrize(
    ("own", "reported", "age_s", "is_sent"),
    [(6, 0, 0.0, False), (2, 4, 0.0, False), (2, 4, 1.0, True), (2, 3, 0.0, True)],
    ids=["own sends", "a new report", "an old report", "room"],
)
def test_a_replica_whose_slots_are_known_to_be_taken_gets_nothing(
    own: int, reported: int, age_s: float, is_sent: bool
) -> None:
    """Guards against full replicas, and slots empty because of an old report."""
    pool = make_full_pool(own, reported, reported_s=5.0 - age_s)
    active = make_request(SIZE, key=9, route_name="look")
    assert (pool.choose_replica(active, 5.0) is not None) == is_sent
