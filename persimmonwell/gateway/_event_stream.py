"""Incremental parser of event streams that forwards only complete events."""

import re

import attrs

from persimmonwell.core.forwarding import EventPlace, StreamPosition

_EVENT = re.compile(
    rb"(?:(?:(?!id:|data:)[a-z-]*:[^\r\n]*)?\n)*?"
    rb"id: ?(0|[1-9]\d{0,14})\n"
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
    is_in_order: bool


class EventStreamParser:
    """Splits a stream into complete events, up to one that is out of order.

    It buffers the incomplete event at the end, and a first event whose id the next one
    has to confirm. Comments are held until the next event, so that a stalled stream
    that only sends comments does not count as active.
    """

    def __init__(self, position: StreamPosition) -> None:
        self._position = position
        self._partial_event: bytes | bytearray = b""
        self._held = b""
        """Comments after the last event, with a first event that is held."""

    @property
    def ends_within_event(self) -> bool:
        """Return whether an event of the stream so far was not forwarded."""
        return bool(self._partial_event) or self._position.has_held_event

    @property
    def held_bytes(self) -> int:
        """Return how many bytes wait for the end of an event."""
        return len(self._partial_event) + len(self._held)

    def begin_attempt(self) -> None:
        """Discard an incomplete event, as the next attempt sends it again."""
        self._partial_event = self._held = b""
        self._position.begin_attempt()

    def take_comments(self) -> bytes:
        """Return the comments after the last event and forget them."""
        comments, self._held = self._held, b""
        return comments

    def _add_event(self, event: bytes, event_id: int) -> CompleteEvents:
        """Add one complete event while nothing is held."""
        place = self._position.place(event_id)
        if place is EventPlace.NEXT:
            return CompleteEvents(event, 1, True)
        if place is EventPlace.HELD:
            self._held = event
        return CompleteEvents(b"", 0, place is EventPlace.HELD)

    def feed(self, data: bytes) -> CompleteEvents:
        """Add a piece of the stream and return the events that are complete now.

        Events up to one that is malformed or out of order are returned, and that one
        and later ones are not: the next attempt resumes after the last event that was
        returned.
        """
        if (
            not (self._partial_event or self._held)
            and data.endswith(b"\n\n")
            and data.count(b"\n\n") == 1
        ):
            # The usual case; a replica sends each event as it is generated.
            match = _EVENT.fullmatch(data, 0, len(data) - 2)
            if match is not None:
                return self._add_event(data, int(match[1]))
        searched = max(0, len(self._partial_event) - 1)
        received: bytes | bytearray = data
        if self._partial_event:
            # One growing buffer, since the event may arrive byte by byte.
            received = self._partial_event
            if not isinstance(received, bytearray):
                received = bytearray(received)
            received += data
        end = received.rfind(b"\n\n", searched)
        if end < 0:
            self._partial_event = received
            return CompleteEvents(b"", 0, True)
        complete = bytes(received[: end + 2])
        self._partial_event = bytes(received[end + 2 :])
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
            place = self._position.place(int(match[1]))
            if place is EventPlace.NEXT:
                count += 1
                end_of_events = position
            elif place is EventPlace.MISPLACED:
                in_order = False
                break
        events = self._held + complete[:end_of_events] if count else b""
        if not in_order:
            self._partial_event = self._held = b""
        elif count:
            self._held = complete[end_of_events:]
        else:
            self._held += complete
        return CompleteEvents(events, count, in_order)
