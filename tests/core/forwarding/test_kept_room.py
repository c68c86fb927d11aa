"""Tests of the memory that a request leaves to others in its own zone."""

import pytest

from persimmonwell.core.forwarding._kept_room import (
    SHORT_SPARE_SHARE,
    URGENT_MEMORY_S,
    SeenPriorities,
    kept_at_home,
)
from tests.core.forwarding.fleets import SIZE
from tests.core.forwarding.pools import make_request


@pytest.mark.parametrize(
    ("is_retry", "is_partial", "is_less_urgent", "spare_share", "leaves_room"),
    [
        (True, False, False, 0.2, True),
        (True, False, True, SHORT_SPARE_SHARE, False),
        (True, True, True, 0.2, False),
        (False, False, False, 0.2, False),
        (False, False, True, 0.2, True),
    ],
    ids=["retry", "without shortage", "interrupted", "new", "less urgent"],
)
def test_late_and_less_urgent_requests_leave_room_while_memory_is_short(
    is_retry: bool,
    is_partial: bool,
    is_less_urgent: bool,
    spare_share: float,
    leaves_room: bool,
) -> None:
    """Guards against late or less urgent answers in the place of others in time.

    Interrupted streams go first, and without a shortage nobody is held back.
    """
    active = make_request(SIZE)
    active.is_caller_retry = is_retry
    active.has_partial_answer = is_partial
    kept = kept_at_home(active, spare_share, has_more_urgent=is_less_urgent)
    assert (kept > 0.0) == leaves_room


@pytest.mark.parametrize(
    ("service", "priority", "after_s", "has_more_urgent"),
    [
        ("model", 2, 1.0, True),
        ("model", 1, 1.0, False),
        ("other", 2, 1.0, False),
        ("model", 2, URGENT_MEMORY_S, False),
    ],
    ids=["less urgent", "as urgent", "other service", "long ago"],
)
def test_room_is_left_where_more_urgent_requests_come(
    service: str, priority: int, after_s: float, has_more_urgent: bool
) -> None:
    """Guards against memory that is left unused for requests that never come."""
    priorities = SeenPriorities()
    priorities.record("model", 1, 0.0)
    assert priorities.record(service, priority, after_s) == has_more_urgent
