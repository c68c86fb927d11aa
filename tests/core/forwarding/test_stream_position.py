"""Tests of the position in a stream of events."""

import pytest

from persimmonwell.core.forwarding import EventPlace, StreamPosition

NEXT, HELD, MISPLACED = EventPlace.NEXT, EventPlace.HELD, EventPlace.MISPLACED


@pytest.mark.parametrize(
    ("last_id", "event_ids", "places", "resume_after"),
    [
        (None, (1, 2, 3), (NEXT, NEXT, NEXT), 3),
        (None, (1, 3), (NEXT, MISPLACED), 1),
        (None, (1, 1), (NEXT, MISPLACED), 1),
        (None, (7, 8, 9), (HELD, NEXT, NEXT), 9),
        (None, (7, 2), (HELD, MISPLACED), None),
        (None, (0, 1, 2), (HELD, NEXT, NEXT), 2),
        (None, (7,), (HELD,), None),
        (4, (5, 6), (NEXT, NEXT), 6),
        (4, (6,), (MISPLACED,), 4),
        (4, (1,), (MISPLACED,), 4),
        (0, (1,), (NEXT,), 1),
    ],
)
def test_only_confirmed_ids_move_the_position(
    last_id: int | None,
    event_ids: tuple[int, ...],
    places: tuple[EventPlace, ...],
    resume_after: int | None,
) -> None:
    """Guards against a resumption after a spoiled id, which skips or repeats events."""
    position = StreamPosition(last_id)
    assert tuple(position.place(event_id) for event_id in event_ids) == places
    assert position.last_id == resume_after


def test_next_attempt_begins_without_the_held_event() -> None:
    """Guards against an id of one attempt that confirms an event of another one."""
    position = StreamPosition()
    assert position.place(7) is HELD and position.has_held_event
    position.begin_attempt()
    assert not position.has_held_event
    assert position.place(8) is HELD
    position.begin_attempt()
    assert position.place(1) is NEXT
