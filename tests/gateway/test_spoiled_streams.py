"""Tests of streams in which one byte is spoiled, lost or added, at each offset."""

import asyncio
import re
from collections.abc import Callable, Iterator

import pytest

from persimmonwell.core.forwarding import Ending, Finish, Send
from persimmonwell.gateway._gateway import _match_answer
from persimmonwell.gateway._http_connection import UpstreamConnection
from tests.gateway.test_exchange import RecordingCaller, ScriptedOwner, new_exchange

EVENT_COUNT = 30
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n"
BYTES = (b"\n", b"\r", b":", b"0", b"3", b" ", b"x", b"\x00")
"""Bytes that have a meaning in a stream or in its framing, and some that have none."""
PARTS = 4
"""Tests over which the offsets of one stream are spread, each within its time limit."""

Spoil = Callable[[bytes], bytes]


def event(number: int) -> bytes:
    return b"id: %d\ndata: piece %d.\n\n" % (number, number)


def with_length(events: list[bytes]) -> bytes:
    body = b"".join(events)
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def in_chunks(events: list[bytes]) -> bytes:
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(each), each) for each in events)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def in_small_chunks(events: list[bytes]) -> bytes:
    # The size of such a chunk is one digit, so that one byte can make it the last.
    parts = [each[start : start + 11] for each in events for start in (0, 11)]
    return in_chunks([part for part in parts if part])


def until_close(events: list[bytes]) -> bytes:
    return HEAD + b"\r\n" + b"".join(events)


FRAMINGS = (with_length, in_chunks, in_small_chunks, until_close)


class MemoryTransport(asyncio.Transport):
    """Transport that keeps what is written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.sent = b""
        self._is_closing = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.sent += bytes(data)

    def abort(self) -> None:
        self._is_closing = True

    close = abort

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...

    def is_closing(self) -> bool:
        return self._is_closing

    def get_write_buffer_size(self) -> int:
        return 0


class ConnectingOwner(ScriptedOwner):
    """Owner whose attempts use real upstream connections over memory transports."""

    def acquire_idle(self, address: str, **options: object) -> UpstreamConnection:  # type: ignore[override]
        self.transport = MemoryTransport()
        self.upstream = UpstreamConnection(
            match_answer=_match_answer,
            on_idle=lambda connection: None,
            on_lost=lambda connection: None,
        )
        self.upstream.connection_made(self.transport)
        return self.upstream

    def requested_event(self) -> int:
        """Return the number of the event at which the last attempt has to begin."""
        match = re.search(rb"last-event-id: (\d+)\r\n", self.transport.sent)
        return int(match[1]) + 1 if match else 1


def play(
    framing: Callable[[list[bytes]], bytes], spoils: list[Spoil], *, piece: int
) -> RecordingCaller:
    """Play one attempt for each spoil until the answer ends; then give up."""
    caller, owner = RecordingCaller(), ConnectingOwner()
    exchange = new_exchange(caller, owner, is_stream=True)
    for attempt, spoil in enumerate(spoils, start=1):
        exchange.send(Send(1, attempt, f"u{attempt}", "a:1", None, 9.0, True, None))
        first = owner.requested_event()
        answer = spoil(framing([event(n) for n in range(first, EVENT_COUNT + 1)]))
        for start in range(0, len(answer), piece):
            if owner.transport.is_closing():
                break
            owner.upstream.data_received(answer[start : start + piece])
        if not owner.transport.is_closing():
            owner.upstream.eof_received()
        owner.upstream.connection_lost(None)
        if owner.completed:
            return caller
    exchange.finish(Finish(1, Ending.UPSTREAM_FAILED))
    return caller


def read_events(body: bytes) -> list[tuple[int, bytes]]:
    """Return the id and the data of each event, as callers read a stream.

    Lines may end with a carriage return, and an event without data counts for nothing.
    """
    events, last_id, data = [], -1, None
    for line in re.split(rb"\r\n|\r|\n", body):
        name, _, value = line.partition(b":")
        if name == b"id":
            last_id = int(value) if value.strip().isdigit() else -1
        elif name == b"data":
            data = value.strip() if data is None else data + b"\n" + value.strip()
        elif not line and data is not None:
            events.append((last_id, data))
            data = None
    return events


def spoils_at(offset: int) -> Iterator[Spoil]:
    """Yield each change, loss or addition of one byte, and a cut, at an offset."""
    for byte in BYTES:
        yield lambda data, new=byte: data[:offset] + new + data[offset + 1 :]
        yield lambda data, new=byte: data[:offset] + new + data[offset:]
    yield lambda data: data[:offset] + data[offset + 1 :]
    yield lambda data: data[:offset]


def unspoiled(data: bytes) -> bytes:
    return data


def check(caller: RecordingCaller, framing: object) -> None:
    """Check that a complete answer holds each piece once, and others a first part."""
    events = read_events(caller.body) if caller.status == 200 else []
    ids = [event_id for event_id, _ in events]
    assert ids == list(range(1, len(ids) + 1)), caller.body
    # The data of one event may be spoiled, which nothing in the stream can show.
    spoiled = [n for n, data in events if data != b"piece %d." % n]
    assert len(spoiled) <= 1, caller.body
    is_success = caller.is_complete and caller.status == 200
    if is_success and framing is not until_close:
        assert len(ids) == EVENT_COUNT, caller.body


@pytest.mark.parametrize("part", range(PARTS))
@pytest.mark.parametrize(("attempts", "piece"), [(1, 11), (2, 4096), (3, 11)])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_one_spoiled_byte_loses_and_repeats_no_event(
    framing: Callable[[list[bytes]], bytes], attempts: int, piece: int, part: int
) -> None:
    """Guards against a complete stream without a piece, or with a piece twice.

    Before the spoiled attempt others break off within an event; a sound one follows.
    """
    events = [event(number) for number in range(1, EVENT_COUNT + 1)]
    whole = framing(events)
    # Within the last bytes of the fourth event.
    broken_off = len(framing(events[:4])) - 14
    before: list[Spoil] = [
        lambda data: data[: min(broken_off, len(data) - 1)] for _ in range(attempts - 1)
    ]
    begin = whole.index(b"\r\n\r\n") + 4
    # Each attempt resumes where the last one broke off, so that its answer is shorter.
    length = len(whole) if attempts == 1 else len(whole) // 2

    async def play_all() -> None:
        for offset in range(begin + part, length, PARTS):
            await asyncio.sleep(0)
            for spoil in spoils_at(offset):
                check(play(framing, [*before, spoil], piece=piece), framing)
                spoils = [*before, spoil, unspoiled]
                check(play(framing, spoils, piece=piece), framing)

    asyncio.run(play_all())
