"""Tests of refusals in load surges: who may wait, and when callers may come back."""

import attrs
import pytest

from persimmonwell.core.forwarding import (
    Ending,
    Finish,
    ForwardingRouter,
    GenerationSize,
)
from persimmonwell.core.forwarding._overload import QUIET_S, Overload
from tests.core.forwarding.fleets import make_router, request, staged_replica

SLOTS = 3
FULL = attrs.evolve(staged_replica("a", "za", 0, 80, "h100"), slots=SLOTS)
OBJECTIVE_S = 0.5
DEADLINE_S = 20.0


def refusals(decisions: tuple[object, ...]) -> list[Finish]:
    return [d for d in decisions if isinstance(d, Finish)]


def make_full_router() -> ForwardingRouter:
    """Return a router whose only replica takes no further request."""
    router = make_router(FULL)
    for number in range(SLOTS):
        router.loads.add("a", number)
    return router


@pytest.mark.parametrize(
    ("is_overloaded", "size", "is_caller_retry", "first_s", "waits_s", "refused_s"),
    [
        (True, None, False, None, OBJECTIVE_S / 2 - 0.05, OBJECTIVE_S / 2 + 0.05),
        (True, None, False, 0.1, 0.3, 0.45),
        (True, None, False, 0.4, OBJECTIVE_S / 2 - 0.05, OBJECTIVE_S / 2 + 0.05),
        (False, None, False, None, 1.0, None),
        (True, GenerationSize(4000, 1000), False, None, 0.9, None),
        (True, None, True, None, 1.0, None),
    ],
    ids=["late", "fast", "slow", "without refusals", "large", "caller retry"],
)
def test_a_stream_waits_in_an_overload_only_for_a_timely_answer(
    is_overloaded: bool,
    size: GenerationSize | None,
    is_caller_retry: bool,
    first_s: float | None,
    waits_s: float,
    refused_s: float | None,
) -> None:
    """Guards against surges in which all answers are late, since all callers wait.

    The time that is left depends on how soon first events come. Without refusals a
    pause of a second, such as a relocation, refuses nobody. The largest requests find
    room less often, and a retry is not refused at once again.
    """
    router = make_full_router()
    if first_s is not None:
        router._services["model"].first_events.record(first_s)
    if is_caller_retry:
        router.caller_retries.record_refusal("d", retry_s=0.0, now_s=0.0)
    if is_overloaded:
        router._services["model"].overload.record_refusal(0.0)
    caller = request("urgent", digest="d") if is_caller_retry else request("urgent")
    if size is not None:
        caller = request("urgent", size=size)
    assert router.request_arrived(1, caller, 0.0) == ()
    assert refusals(router.tick(waits_s)) == []
    if refused_s is not None:
        (refused,) = refusals(router.tick(refused_s))
        assert refused.ending is Ending.OVERLOADED


def test_callers_of_a_surge_are_spread_over_the_time_after_it() -> None:
    """Guards against callers that come back while the surge lasts, all at once."""
    router = make_full_router()
    now_s, retries_s = 0.0, []
    for key in range(200):
        now_s = key * 0.02
        decisions = router.request_arrived(key, request("urgent"), now_s)
        decisions += router.tick(now_s)
        retries_s += [(now_s, refused.retry_after_s) for refused in refusals(decisions)]
    late_s = [retry_s for at_s, retry_s in retries_s if at_s > 2.0]
    assert len(late_s) > 50
    assert min(late_s) > 3.0
    assert max(late_s) <= DEADLINE_S / 3
    assert max(late_s) - min(late_s) > 1.0


@pytest.mark.parametrize(("pause_s", "expected_s"), [(0.5, 1.1), (QUIET_S + 0.1, 0.1)])
def test_an_overload_ends_after_a_time_without_refusals(
    pause_s: float, expected_s: float
) -> None:
    """Guards against long deferrals because of a surge that is over."""
    overload = Overload()
    overload.record_refusal(0.0)
    overload.record_refusal(pause_s)
    end_s = overload.expected_end_s(pause_s, send_rate_per_s=10.0)
    assert end_s == pytest.approx(expected_s, abs=0.11)


def test_a_stopping_host_defers_callers_only_briefly() -> None:
    """Guards against callers of a planned stop that wait although others serve."""
    router = make_full_router()
    router._services["model"].overload.record_refusal(0.0)
    router.request_arrived(1, request("urgent"), 0.0)
    router.stop_arrivals()
    (refused,) = refusals(router.refuse_waiting(1.0))
    assert refused.retry_after_s <= 0.75
