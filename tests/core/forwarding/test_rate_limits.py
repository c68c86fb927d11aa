"""Tests of the rate limits that replicas state in their answers."""

import pytest

from persimmonwell.core.forwarding import RateLimitChanged, Send, StatedLimit
from persimmonwell.core.forwarding._rate_limits import LIMIT_TTL_S, ReplicaRateLimits
from tests.core.forwarding.fleets import desk_replica, make_router, request


def stated(
    rate_per_s: float | None, *, started_at_ms: int = 1, age_s: float = 0.0
) -> StatedLimit:
    return StatedLimit("a", started_at_ms, rate_per_s, age_s)


@pytest.mark.parametrize(
    ("statements", "in_force"),
    [
        pytest.param([], None, id="none"),
        pytest.param([stated(2.0)], 2.0, id="one"),
        pytest.param([stated(2.0), stated(None)], None, id="taken back"),
        pytest.param([stated(2.0), stated(None, age_s=5.0)], 2.0, id="late answer"),
        pytest.param(
            [stated(2.0), stated(None, started_at_ms=2, age_s=5.0)],
            None,
            id="restarted replica",
        ),
        pytest.param(
            [stated(None), stated(3.0, age_s=0.5), stated(1.0)], 1.0, id="lowered"
        ),
    ],
)
def test_the_newest_statement_of_the_newest_start_is_in_force(
    statements: list[StatedLimit], in_force: float | None
) -> None:
    """Guards against a limit that an answer sent earlier takes back or brings back."""
    limits = ReplicaRateLimits()
    for number, statement in enumerate(statements):
        limits.record(statement, 10.0 + number)
    assert limits.rate_per_s("a") == in_force


def test_a_limit_that_is_not_repeated_is_dropped() -> None:
    """Guards against a limit that outlives the trouble of its replica."""
    limits = ReplicaRateLimits()
    limits.record(stated(2.0), 0.0)
    limits.expire(LIMIT_TTL_S - 0.1, lambda replica_id, started_at_ms: True)
    assert limits.rate_per_s("a") == 2.0
    limits.expire(LIMIT_TTL_S, lambda replica_id, started_at_ms: True)
    assert limits.rate_per_s("a") is None


def test_changes_of_a_limit_are_reported_once() -> None:
    """Guards against limits that the logs do not show, and against a line an answer."""
    router = make_router(desk_replica("a"))
    (send,) = router.request_arrived(1, request("look"), 0.0)
    assert isinstance(send, Send)
    assert router.limit_stated(1, 1, 1.5, 0.1) == (RateLimitChanged("a", 1.5),)
    assert router.limit_stated(1, 1, 1.5, 0.2) == ()
    assert router.limit_stated(1, 1, None, 0.3) == (RateLimitChanged("a", None),)
