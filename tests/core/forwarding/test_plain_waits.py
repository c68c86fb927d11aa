"""Tests of the time that plain requests may wait at the host."""

import attrs
import pytest

from persimmonwell.core.forwarding import Ending, Finish, GenerationSize, Send
from persimmonwell.core.forwarding._plain_waits import max_plain_wait_s
from tests.core.forwarding.fleets import desk_replica, make_router, request
from tests.core.forwarding.pools import make_request

OBJECTIVE_S = 0.5


@pytest.mark.parametrize(
    ("changes", "answer_s", "expected_s"),
    [
        ({}, 0.1, 0.4),
        ({}, None, 0.25),
        ({}, 0.6, 0.0),
        ({"is_caller_retry": True}, 0.1, 0.5),
        ({"deadline_s": 0.2}, 0.1, 0.14),
        ({"possible_runs": 1}, 0.1, 1.4),
    ],
    ids=["timely", "unknown", "slow", "returning", "deadline", "may have run"],
)
def test_a_request_waits_while_its_answer_can_be_in_time(
    changes: dict[str, float], answer_s: float | None, expected_s: float
) -> None:
    """Guards against answers that are all late, since all requests wait as long."""
    active = make_request(GenerationSize(1, 1), route_name="look")
    active = attrs.evolve(active, **changes)  # type: ignore[arg-type]
    assert max_plain_wait_s(active, answer_s) == pytest.approx(expected_s)


def test_a_request_that_would_be_late_is_refused_on_arrival() -> None:
    """Guards against callers that wait in vain, and learn no time to come back."""
    router = make_router(desk_replica("d0", slots=1))
    (send,) = router.request_arrived(0, request("look"), 0.0)
    assert isinstance(send, Send)
    router.answer_completed(0, 1, 0.2)
    ends = []
    for key in range(1, 6):
        ends += router.request_arrived(key, request("look"), 0.2)
    refused = [end for end in ends if isinstance(end, Finish)]
    assert refused
    for end in refused:
        assert end.ending is Ending.OVERLOADED
        # Two that wait and one that runs, of 0.2 s each.
        assert 0.4 <= end.retry_after_s <= 2.0
