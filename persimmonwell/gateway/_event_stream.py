"""Incremental parser of event streams that forwards only complete events."""

import re

import attrs

_EVENT = re.compile(
    rb"(?:(?:(?!id:|data:)[a-z-]*:[^\r\n]*)?\n)*?"
    rb"id: ?(0|[1-9]\d*)\n"
    rb"data(?::[^\r\n]*)?"
    rb"(?:\n(?:data|event|retry)(?::[^\r\n]*)?)*"
)
"""One event: comments and further fields, one id in its shortest form, then the data.

Two events whose separator was spoiled look like one with a second id, or with a line
of another name after the data, and do not match.
"""
_COMMENT = re.compile(rb"(?:(?::[^\r\n]*)?(?:\n|\Z))*")


@attrs.frozen
class CompleteEvents:
    """Events that became complete with one piece of a stream."""

    data: bytes
    count: int
    last_id: bytes | None
    is_in_order: bool


class EventStreamParser:
    """Splits a stream into complete events and checks the order of their ids.

    It buffers the incomplete event at the end and keeps the id of the last complete
    one, at which another attempt resumes. Comments are held until the next event, so
    that a stalled stream that only sends comments does not count as active.
    """

    def __init__(self, *, last_id: str | None = None) -> None:
        self._partial_event = b""
        self._comments = b""
        self.last_id = last_id.encode("latin-1", "replace") if last_id else None
        """Id of the last complete event, at first that of the caller's last one."""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the stream so far ends within an event."""
        return bool(self._partial_event)

    @property
    def held_bytes(self) -> int:
        """Return how many bytes wait for the end of an event."""
        return len(self._partial_event) + len(self._comments)

    def begin_attempt(self) -> None:
        """Discard an incomplete event, as the next attempt sends it again."""
        self._partial_event = self._comments = b""

    def take_comments(self) -> bytes:
        """Return the comments after the last event and forget them."""
        comments, self._comments = self._comments, b""
        return comments

    def feed(self, data: bytes) -> CompleteEvents:
        """Add a piece of the stream and return the events that are complete now.

        Events up to one that is malformed or out of order are returned, and that one
        and later ones are not: the next attempt resumes after the last event that was
        returned.
        """
        searched = max(0, len(self._partial_event) - 1)
        data = self._partial_event + data if self._partial_event else data
        end = data.rfind(b"\n\n", searched)
        if end < 0:
            self._partial_event = data
            return CompleteEvents(b"", 0, self.last_id, True)
        complete, self._partial_event = data[: end + 2], data[end + 2 :]
        count = 0
        in_order = True
        position = end_of_events = 0
        for event in complete[:-2].split(b"\n\n"):
            position += len(event) + 2
            match = _EVENT.fullmatch(event)
            if match is None:
                # An error's text, for example, is no part of the stream.
                in_order = _COMMENT.fullmatch(event) is not None
                if in_order:
                    continue
                break
            in_order = _is_next_id(self.last_id, match[1])
            if not in_order:
                break
            count += 1
            end_of_events = position
            self.last_id = match[1]
        events = self._comments + complete[:end_of_events] if count else b""
        if not in_order:
            self._partial_event = self._comments = b""
        elif count:
            self._comments = complete[end_of_events:]
        else:
            self._comments += complete
        return CompleteEvents(events, count, self.last_id, in_order)


def _is_next_id(last_id: bytes | None, event_id: bytes) -> bool:
    """Return whether an id follows the last one; only numeric ids are compared."""
    if last_id is None or not last_id.isdigit():
        return True
    return int(event_id) == int(last_id) + 1
