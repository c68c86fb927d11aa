"""Tests of the memory that a request leaves to others in its own zone."""

import pytest

from persimmonwell.core.forwarding._kept_room import SHORT_SPARE_SHARE, kept_at_home
from tests.core.forwarding.fleets import SIZE
from tests.core.forwarding.pools import make_request


@pytest.mark.parametrize(
    ("is_retry", "has_partial_answer", "spare_share", "leaves_room"),
    [
        (True, False, 0.2, True),
        (True, False, SHORT_SPARE_SHARE, False),
        (True, True, 0.2, False),
        (False, False, 0.2, False),
    ],
    ids=["retry", "without shortage", "interrupted", "new"],
)
def test_callers_retries_leave_room_while_memory_is_short(
    is_retry: bool, has_partial_answer: bool, spare_share: float, leaves_room: bool
) -> None:
    """Guards against late answers that take the place of answers in time.

    Interrupted streams go first, and without a shortage nobody is held back.
    """
    active = make_request(SIZE)
    active.is_caller_retry = is_retry
    active.has_partial_answer = has_partial_answer
    assert (kept_at_home(active, spare_share) > 0.0) == leaves_room
