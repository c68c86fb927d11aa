"""Tests of the expected sends of other hosts, alone and within the choice."""

import attrs
import pytest

from persimmonwell.core.forwarding import LoadTable, ReplicaLoad
from persimmonwell.core.forwarding._shared_capacity import (
    PEER_EXPIRY_S,
    RAMP_S,
    SharedCapacity,
)
from tests.core.forwarding.fleets import SIZE, desk_replica, staged_replica
from tests.core.forwarding.pools import make_pool, make_request


def send(shared: SharedCapacity, requests: int = 1, tokens: int = 100) -> None:
    """Record own requests at the replica "a"."""
    for _ in range(requests):
        shared.count_request(1)
        shared.add("a", 1, tokens)


def expected_requests(shared: SharedCapacity, now_s: float, **loads: int) -> float:
    """Return the expected requests at the replica "a"."""
    values = {"own_requests": 0, "peer_requests": 0, **loads}
    shared.update(now_s, **values)
    load = shared.expected.get("a")
    return load.requests if load is not None else 0.0


def reported(peers: int, at_s: float = 0.0) -> SharedCapacity:
    """Return a state with a report of each peer, and a refusal 0.5 s later."""
    shared = SharedCapacity()
    for number in range(peers):
        shared.record_report(f"host-{number}", at_s)
    shared.record_refusal(at_s + 0.5)
    return shared


def test_a_host_without_peers_expects_nothing() -> None:
    """Guards against a lone host that holds back from its own replicas."""
    shared = SharedCapacity()
    shared.update(0.0, own_requests=0, peer_requests=0)
    send(shared, 5)
    assert expected_requests(shared, 0.1, own_requests=5) == 0.0


def test_own_sends_since_the_reports_are_expected_of_each_peer() -> None:
    """Guards against hosts with the same reports that all fill the same replica."""
    shared = reported(9)
    shared.update(0.5, own_requests=0, peer_requests=0)
    send(shared, 2)
    assert expected_requests(shared, 0.5, own_requests=2) == pytest.approx(18.0)
    assert shared.expected["a"].layer_tokens == pytest.approx(1800.0)


def test_few_sends_say_little_about_the_other_hosts() -> None:
    """Guards against slow chains in calm times because of one send in excess."""
    shared = SharedCapacity()
    for number in range(9):
        shared.record_report(f"host-{number}", 0.0)
    shared.update(0.5, own_requests=0, peer_requests=0)
    send(shared)
    assert expected_requests(shared, 0.5, own_requests=1) == pytest.approx(9.0)
    assert shared.expected["a"].used_slots < 1.0
    assert shared.expected["a"].layer_tokens < 100.0
    send(shared, 49)
    assert expected_requests(shared, 0.5, own_requests=50) == pytest.approx(450.0)
    assert shared.expected["a"].used_slots > 0.5 * 450.0
    shared.record_refusal(0.5)
    shared.update(0.5, own_requests=50, peer_requests=0)
    assert shared.expected["a"].used_slots == pytest.approx(450.0)


def test_with_fresh_reports_nothing_is_expected() -> None:
    """Guards against a choice that is not by least load although reports are new."""
    shared = reported(9)
    shared.update(0.0, own_requests=0, peer_requests=0)
    send(shared, 2)
    for number in range(9):
        shared.record_report(f"host-{number}", 0.5)
    assert expected_requests(shared, 0.5, own_requests=2) == 0.0


def test_own_requests_that_end_are_not_expected_of_peers() -> None:
    """Guards against phantom sends in a steady state, where ends balance sends."""
    shared = reported(9)
    shared.update(0.5, own_requests=2, peer_requests=18)
    send(shared)
    shared.count_request(-1)
    shared.add("a", -1, -100)
    assert expected_requests(shared, 0.5, own_requests=2, peer_requests=18) == 0.0
    for _ in range(2):
        shared.count_request(-1)
        shared.add("a", -1, -100)
    assert expected_requests(shared, 0.5, own_requests=0, peer_requests=18) == 0.0


def test_lost_datagrams_make_a_host_spread_more() -> None:
    """Guards against a host that hears nothing and keeps to one replica."""
    heard, unheard = reported(9), reported(9)
    for shared in (heard, unheard):
        shared.update(0.5, own_requests=0, peer_requests=0)
        send(shared, 2)
    for number in range(9):
        heard.record_report(f"host-{number}", 0.75)
    assert expected_requests(unheard, 1.0) > expected_requests(heard, 1.0)


def test_a_silent_zone_is_counted_until_its_hosts_are_forgotten() -> None:
    """Guards against a host that takes itself for alone behind a short partition."""
    shared = reported(4)
    shared.expire(PEER_EXPIRY_S - 1.0)
    shared.record_refusal(PEER_EXPIRY_S - 1.0)
    shared.update(PEER_EXPIRY_S - 1.0, own_requests=0, peer_requests=0)
    send(shared)
    assert expected_requests(shared, PEER_EXPIRY_S - 1.0) == pytest.approx(4.0)
    shared.expire(PEER_EXPIRY_S + 1.0)
    assert expected_requests(shared, PEER_EXPIRY_S + 1.0) == 0.0


def test_hosts_of_other_zones_are_not_counted() -> None:
    """Guards against a zone that holds back for hosts that use their own zone."""
    loads = LoadTable()
    loads.set_peer_loads("far", {"b": ReplicaLoad(5, 50)}, 9.0)
    loads.update_expected(0.0)
    loads.add("a", 100)
    loads.update_expected(0.1)
    assert not loads.shared.expected


def test_the_age_of_the_reports_is_that_of_the_peers_heard_of() -> None:
    """Guards against a gauge that fails on a host that has not heard of any peer."""
    assert SharedCapacity().report_age_s(5.0) is None
    shared = reported(3)
    shared.record_report("host-0", 0.75)
    assert shared.report_age_s(1.0) == pytest.approx(0.75)


def test_idle_peers_are_expected_to_send_little() -> None:
    """Guards against one busy host that leaves its idle zone's replicas unused."""
    shared = reported(9)
    shared.update(0.5, own_requests=800, peer_requests=0)
    send(shared, 2)
    expected = expected_requests(shared, 0.5, own_requests=802, peer_requests=0)
    assert expected < 2.0


def test_a_quiet_host_expects_at_most_its_own_sends_of_each_peer() -> None:
    """Guards against one send that makes a replica look full to a quiet host."""
    shared = reported(9)
    shared.update(0.5, own_requests=0, peer_requests=9000)
    send(shared)
    loads = {"own_requests": 1, "peer_requests": 9000}
    assert expected_requests(shared, 0.5, **loads) == pytest.approx(9.0)


def test_old_reports_of_short_requests_count_for_little() -> None:
    """Guards against a choice by requests that ended since the report."""
    shared = reported(9)
    assert shared.valid_share(0.1, 1.0) < 0.01
    assert shared.valid_share(100.0, 1.0) > 0.95
    assert shared.valid_share(None, 1.0) == 1.0
    assert SharedCapacity().valid_share(0.1, 1.0) == 1.0


def test_the_random_part_of_a_choice_is_small_with_few_hosts_or_fresh_reports() -> None:
    """Guards against a random choice where the loads are known."""
    assert SharedCapacity().cost_spread(9.0) == 0.0
    assert reported(56).cost_spread(0.0) == 0.0
    assert reported(1).cost_spread(0.125) < 0.002
    assert reported(56).cost_spread(2.0) > 0.15


def test_a_clock_that_steps_back_changes_nothing_for_good() -> None:
    """Guards against expected sends that grow or stay when times are out of order."""
    shared = reported(3, at_s=10.0)
    shared.update(10.5, own_requests=0, peer_requests=0)
    send(shared)
    assert expected_requests(shared, 9.0) <= 3.0
    assert expected_requests(shared, 40.0) == pytest.approx(0.0, abs=0.1)


def test_expected_sends_fade_without_further_updates_of_a_replica() -> None:
    """Guards against a replica that is avoided for long because of an old burst."""
    shared = reported(9)
    shared.update(0.5, own_requests=0, peer_requests=0)
    send(shared, 10)
    assert expected_requests(shared, 30.0) == 0.0
    assert not shared._growth


def test_a_report_lower_than_the_own_sends_does_not_lower_them() -> None:
    """Guards against a lying or early report that hides this host's own sends."""
    loads = LoadTable()
    for _ in range(3):
        loads.add("a", 100)
    loads.record_report("a", 0, 0.0)
    loads.set_peer_loads("p", {"a": ReplicaLoad(0, 0)}, 9.0, zone_reported_s=0.0)
    assert loads.requests("a") == 3
    assert loads.used_layer_tokens("a", 0.1) == 300


def chain(name: str) -> tuple[attrs.AttrsInstance, ...]:
    """Return the replicas of one path over all layers."""
    return tuple(
        staged_replica(f"{name}{start}", "za", start, stop)
        for start, stop in ((0, 30), (30, 55), (55, 80))
    )


def test_hosts_with_the_same_reports_use_both_of_two_equal_paths() -> None:
    """Guards against hosts that together send more to a path than fits."""
    used = []
    for host in range(10):
        pool = make_pool(*chain("a"), *chain("b"))
        for peer in range(9):
            pool.loads.set_peer_loads(f"h{peer}", {}, 9.0, zone_reported_s=0.0)
        pool.loads.shared.record_refusal(0.5)
        for number in range(4):
            active = make_request(SIZE, key=10 * host + number)
            active.path = pool.choose_path(active, 0.5)
            assert active.path is not None
            pool.reserve(active)
            used.append(active.path.first_stage.replica_id)
    assert used.count("a0") == used.count("b0") == 20


def test_the_only_path_is_used_however_much_is_expected() -> None:
    """Guards against requests that wait although the memory is free as reported."""
    pool = make_pool(*chain("a"))
    for peer in range(9):
        pool.loads.set_peer_loads(f"h{peer}", {}, 9.0, zone_reported_s=0.0)
    pool.loads.shared.record_refusal(0.5)
    active = make_request(SIZE)
    active.path = pool.choose_path(active, 0.5)
    assert active.path is not None
    pool.reserve(active)
    assert pool.choose_path(make_request(SIZE, key=2), 0.5) is not None


@pytest.mark.parametrize("kind", ["joined", "returned"])
def test_a_new_replica_is_ramped_up(kind: str) -> None:
    """Guards against all hosts that send to a replica once it joins or returns."""
    old = [desk_replica(f"d{number}", slots=50) for number in range(3)]
    pool = make_pool(*old)
    for replica in old:
        pool.loads.set_peer_loads(
            f"h-{replica.replica_id}", {replica.replica_id: ReplicaLoad(10, 0)}, 99.0
        )
    assert pool.choose_replica(make_request(SIZE, route_name="look"), 0.0) is not None
    if kind == "joined":
        new = desk_replica("new", slots=50)
    else:
        new = attrs.evolve(old[0], started_at_ms=1)
        pool.loads.set_peer_loads(f"h-{new.replica_id}", {}, 99.0)
    rest = [replica for replica in old if replica.replica_id != new.replica_id]
    make_pool(*rest, new, pool=pool)
    shares = []
    for now_s in (0.0, RAMP_S):
        chosen = []
        for number in range(9):
            active = make_request(SIZE, key=number, route_name="look")
            replica = pool.choose_replica(active, now_s)
            assert replica is not None
            active.replica_id = replica.replica_id
            pool.reserve(active)
            chosen.append(replica.replica_id)
        shares.append(chosen.count(new.replica_id))
    assert shares[0] < 9
    assert shares[1] > shares[0]


def test_the_only_replica_of_some_layers_is_used_when_it_joins() -> None:
    """Guards against a zone that waits for the ramp of a stage it lacks."""
    first, second, third = chain("a")
    pool = make_pool(first, third)
    assert pool.choose_path(make_request(SIZE), 0.0) is None
    make_pool(first, second, third, pool=pool)
    assert pool.choose_path(make_request(SIZE), 0.1) is not None
