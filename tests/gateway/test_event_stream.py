"""Tests of the parser of event streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

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
    parser = EventStreamParser()
    forwarded, count, position = b"", 0, 0
    for size in sizes * (len(stream) + 1):
        events = parser.feed(stream[position : position + size])
        assert events.is_in_order
        assert not events.data or b"data" in events.data
        forwarded += events.data
        count += events.count
        position += size
    assert not parser.has_partial_event
    assert forwarded + parser.take_comments() == stream
    assert count == sum(kinds)


def test_comments_do_not_count_as_events() -> None:
    """Guards against a stalled stream that stays alive by its comments."""
    parser = EventStreamParser()
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
    parser = EventStreamParser()
    forwarded = b""
    for start in range(0, len(stream), size):
        events = parser.feed(stream[start : start + size])
        forwarded += events.data
        if not events.is_in_order:
            break
    assert not events.is_in_order
    assert forwarded == event(1) + event(2) + event(3)
    assert parser.last_id == b"3"
    parser.begin_attempt()
    assert parser.feed(event(4)).data == event(4)
    assert parser.last_id == b"4"
