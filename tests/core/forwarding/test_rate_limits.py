"""Tests of the rate limits that replicas state in their answers."""

import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.forwarding import RateLimitChanged, Replica, Send
from persimmonwell.core.forwarding._rate_limits import (
    BURST_S,
    LIMIT_TTL_S,
    ReplicaRateLimits,
)
from tests.core.forwarding.fleets import desk_replica, make_router, request

REPLICA = attrs.evolve(desk_replica("a", zone="za"), started_at_ms=1)
RESTARTED = attrs.evolve(REPLICA, started_at_ms=2)
STEP_S = 0.05


def make_limits(zone: str = "za", seed: int = 0) -> ReplicaRateLimits:
    return ReplicaRateLimits(availability_zone=zone, rng=random.Random(seed))


@pytest.mark.parametrize(
    ("statements", "in_force"),
    [
        pytest.param([], None, id="none"),
        pytest.param([(REPLICA, 2.0)], 2.0, id="one"),
        pytest.param([(REPLICA, 2.0), (REPLICA, None)], None, id="taken back"),
        pytest.param([(REPLICA, 2.0), (RESTARTED, None)], None, id="restarted"),
        pytest.param([(REPLICA, 2.0), (REPLICA, 1.0)], 1.0, id="lowered"),
    ],
)
def test_the_newest_statement_is_in_force(
    statements: list[tuple[Replica, float | None]], in_force: float | None
) -> None:
    """Guards against a limit that is kept after the replica changed it."""
    limits = make_limits()
    for number, (replica, rate_per_s) in enumerate(statements):
        limits.record(replica, rate_per_s, 10.0 + number)
    assert limits.rate_per_s("a") == in_force


def test_a_limit_that_is_not_repeated_is_dropped() -> None:
    """Guards against a limit that outlives the trouble of its replica."""
    limits = make_limits()
    limits.record(REPLICA, 2.0, 0.0)
    limits.expire(LIMIT_TTL_S - 0.1, lambda replica_id, started_at_ms: True)
    assert limits.rate_per_s("a") == 2.0
    limits.expire(LIMIT_TTL_S, lambda replica_id, started_at_ms: True)
    assert limits.rate_per_s("a") is None


@given(
    st.floats(0.5, 200.0),
    st.dictionaries(st.sampled_from(["za", "zb", "zc"]), st.integers(1, 16)),
    st.integers(0, 1000),
)
def test_all_hosts_together_keep_to_a_limit(
    rate_per_s: float, hosts_by_zone: dict[str, int], seed: int
) -> None:
    """Guards against hosts that each keep to a limit which they share."""
    zones = [zone for zone, count in hosts_by_zone.items() for _ in range(count)]
    hosts = [make_limits(zone, seed + number) for number, zone in enumerate(zones)]
    for host in hosts:
        host.set_hosts(hosts_by_zone)
        host.record(REPLICA, rate_per_s, 0.0)
    window_s, sent = 4.0, 0
    for step in range(int(window_s / STEP_S)):
        for host in hosts:
            while host.may_send(REPLICA, step * STEP_S):
                host.record_send("a")
                sent += 1
    assert sent <= rate_per_s * (window_s + BURST_S) + len(hosts)


def test_the_hosts_of_a_zone_get_most_of_a_limit() -> None:
    """Guards against a replica that idles while its zone has work for it."""
    limits = make_limits()
    limits.set_hosts({"za": 1, "zb": 2, "zc": 1})
    limits.record(REPLICA, 10.0, 0.0)
    sent = 0
    for step in range(200):
        if limits.may_send(REPLICA, step * STEP_S):
            limits.record_send("a")
            sent += 1
    assert sent >= 0.8 * 10.0 * 200 * STEP_S


def test_changes_of_a_limit_are_reported_once() -> None:
    """Guards against limits that the logs do not show, and against a line an answer."""
    router = make_router(desk_replica("a"))
    (send,) = router.request_arrived(1, request("look"), 0.0)
    assert isinstance(send, Send)
    assert router.limit_stated(1, 1, 1.5, 0.1) == (RateLimitChanged("a", 1.5),)
    assert router.limit_stated(1, 1, 1.5, 0.2) == ()
    assert router.limit_stated(1, 1, None, 0.3) == (RateLimitChanged("a", None),)
    router.limit_stated(1, 1, 2.5, 0.4)
    router.answer_completed(1, 1, 0.5)
    assert RateLimitChanged("a", None) in router.tick(0.5 + LIMIT_TTL_S)
