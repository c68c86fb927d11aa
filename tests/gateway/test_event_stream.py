"""Tests of the parser of event streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.forwarding import StreamPosition
from persimmonwell.gateway._event_stream import EventStreamParser

COMMENT = b": still here\n\n"


def event(number: int) -> bytes:
    return b"id: %d\ndata: %d\n\n" % (number, number)


@given(st.lists(st.booleans(), max_size=12), st.lists(st.integers(1, 9), min_size=1))
def test_parts_of_any_size_give_the_same_bytes(
    kinds: list[bool], sizes: list[int]
) -> None:
    """Guards against bytes that are lost, repeated or forwarded too early."""
    numbers = iter(range(1, 20))
    blocks = [event(next(numbers)) if is_event else COMMENT for is_event in kinds]
    stream = b"".join(blocks)
    parser = EventStreamParser(StreamPosition())
    forwarded, count, position = b"", 0, 0
    for size in sizes * (len(stream) + 1):
        events = parser.feed(stream[position : position + size])
        assert events.is_in_order
        assert not events.data or b"data" in events.data
        forwarded += events.data
        count += events.count
        position += size
    assert not parser.ends_within_event
    assert forwarded + parser.take_comments() == stream
    assert count == sum(kinds)


def test_comments_do_not_count_as_events() -> None:
    """Guards against a stalled stream that stays alive by its comments."""
    parser = EventStreamParser(StreamPosition())
    assert parser.feed(COMMENT * 3).count == 0
    assert parser.held_bytes == 3 * len(COMMENT)
    assert parser.feed(event(1)).data == COMMENT * 3 + event(1)
    parser.feed(COMMENT)
    parser.begin_attempt()
    assert parser.take_comments() == b""


@pytest.mark.parametrize("odd_id", [b"22", b"1", b"3"])
@pytest.mark.parametrize("size", [1, 7, 1000])
def test_stream_resumes_after_the_last_event_that_was_forwarded(
    odd_id: bytes, size: int
) -> None:
    """Guards against pieces missing or sent twice after an event with a spoiled id."""
    odd = event(4).replace(b"id: 4", b"id: " + odd_id)
    stream = b"".join((event(1), event(2), event(3), odd, event(5)))
    position = StreamPosition()
    parser = EventStreamParser(position)
    forwarded = b""
    for start in range(0, len(stream), size):
        events = parser.feed(stream[start : start + size])
        forwarded += events.data
        if not events.is_in_order:
            break
    assert not events.is_in_order
    assert forwarded == event(1) + event(2) + event(3)
    assert position.last_id == 3
    parser.begin_attempt()
    assert parser.feed(event(4)).data == event(4)
    assert position.last_id == 4


MALFORMED_EVENTS = {
    "spoiled name of the id": b"xd: 4\ndata: 4\n\n",
    "id as a comment": b":id: 4\ndata: 4\n\n",
    "no id": b"data: 4\n\n",
    "no number": b"id: 4x\ndata: 4\n\n",
    "id without end": b"id: " + b"4" * 5000 + b"\ndata: 4\n\n",
    "leading zero": b"id: 04\ndata: 4\n\n",
    "no data": b"id: 4\n\n",
    "spoiled name of the data": b"id: 4\nxata: 4\n\n",
    "two ids": b"id: 4\nid: 4\ndata: 4\n\n",
    "spoiled separator": b"id: 4\ndata: 4\n:id: 5\ndata: 5\n\n",
    "carriage return as separator": b"id: 4\ndata: 4\n\rid: 5\ndata: 5\n\n",
    "text": b"out of memory\n\n",
}


@pytest.mark.parametrize("odd", MALFORMED_EVENTS.values(), ids=MALFORMED_EVENTS)
def test_malformed_event_ends_the_attempt_before_it_is_forwarded(odd: bytes) -> None:
    """Guards against an event that is forwarded although the next attempt repeats it.

    The event after it no longer follows the last id, so that the stream was resumed
    before the event whose data the caller had.
    """
    position = StreamPosition()
    parser = EventStreamParser(position)
    events = parser.feed(event(1) + event(2) + event(3) + odd + event(5))
    assert not events.is_in_order
    assert events.data == event(1) + event(2) + event(3)
    assert position.last_id == 3


def test_event_with_further_fields_is_forwarded() -> None:
    """Guards against a sound stream that ends at a change of the weights."""
    parser = EventStreamParser(StreamPosition())
    first = b": hello\nweight-versions: 7\nid: 1\ndata: a\ndata: b\nevent: token\n\n"
    assert parser.feed(first + event(2)).data == first + event(2)


@pytest.mark.parametrize("first", [0, 7, 12])
@pytest.mark.parametrize("size", [1, 1000])
def test_first_event_with_an_odd_id_waits_for_the_next_one(
    first: int, size: int
) -> None:
    """Guards against a stream resumed after an id that nothing but its event shows."""
    spoiled = event(1).replace(b"id: 1", b"id: %d" % first)
    for second, is_confirmed in ((2, False), (first + 1, True)):
        position = StreamPosition()
        parser = EventStreamParser(position)
        stream = COMMENT + spoiled + COMMENT + event(second)
        forwarded = b""
        for start in range(0, len(stream), size):
            events = parser.feed(stream[start : start + size])
            forwarded += events.data
        assert events.is_in_order == is_confirmed
        assert forwarded == (stream if is_confirmed else b"")
        assert position.last_id == (second if is_confirmed else None)


def test_stream_that_ends_with_an_unconfirmed_event_ends_within_an_event() -> None:
    """Guards against a stream whose only event has a spoiled id and looks complete."""
    parser = EventStreamParser(StreamPosition())
    assert parser.feed(event(7)).data == b""
    assert parser.ends_within_event


def test_an_event_in_many_parts_equals_the_whole() -> None:
    """Guards against a short way for whole events that decides otherwise."""
    stream = b": c\n\n" + b"".join(
        b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5)
    )
    spoiled = stream.replace(b"id: 3", b"id: 9")
    late = b"id: 7\ndata: x\n\nid: 8\ndata: y\n\nid: 8\ndata: z\n\n"
    for data in (stream, spoiled, late):
        outcomes = set()
        for parts in (
            [event + b"\n\n" for event in data.split(b"\n\n")[:-1]],
            [bytes([byte]) for byte in data],
        ):
            parser = EventStreamParser(StreamPosition())
            forwarded, in_order = b"", True
            for part in parts:
                if in_order:
                    events = parser.feed(part)
                    forwarded += events.data
                    in_order = events.is_in_order
            outcomes.add((forwarded, in_order, parser.ends_within_event))
        assert len(outcomes) == 1
