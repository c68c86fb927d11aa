"""Position of the stream of events that one caller gets, over all its attempts.

It answers an event whose id was spoiled on its way: what follows is left to another
upstream, which resumes after the last event that the caller has.
"""

from enum import Enum

FIRST_EVENT_ID = 1
"""Id of the first event of a stream."""


class EventPlace(Enum):
    """Where an event stands in a stream."""

    NEXT = "next"
    """It follows the last event, and confirms a held one."""
    HELD = "held"
    """It begins the stream with another id, which the next event has to confirm."""
    MISPLACED = "misplaced"
    """Events before it are missing, or it was forwarded already."""


class StreamPosition:
    """Checks the order of event ids and keeps the id after which to resume.

    Only ids that an adjacent event confirms count, so that no attempt resumes after an
    id that was spoiled.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        """Id of the last event that the caller has, None before the first one."""
        self._held_id: int | None = None

    @property
    def has_held_event(self) -> bool:
        """Return whether the first event waits for the one that confirms its id."""
        return self._held_id is not None

    def begin_attempt(self) -> None:
        """Forget a held event, as the next attempt sends it again."""
        self._held_id = None

    def place(self, event_id: int) -> EventPlace:
        """Return where an event stands, and move on to it if it is the next one."""
        previous_id = self.last_id if self._held_id is None else self._held_id
        if previous_id is None:
            if event_id != FIRST_EVENT_ID:
                self._held_id = event_id
                return EventPlace.HELD
        elif event_id != previous_id + 1:
            return EventPlace.MISPLACED
        self._held_id = None
        self.last_id = event_id
        return EventPlace.NEXT
