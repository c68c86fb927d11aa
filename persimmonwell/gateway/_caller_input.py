"""Reading from one caller: turns of the event loop, slices, pauses, room for bodies."""

import asyncio
from collections import deque
from typing import Protocol

from persimmonwell.core.resources import (
    RECEIVE_BUFFER_BYTES,
    UPLOAD_BUFFER_BYTES,
    Pacer,
)
from persimmonwell.gateway._caller_answers import AnswerWriter
from persimmonwell.gateway._caller_charges import COVERED_HELD_BYTES, CallerCharges
from persimmonwell.gateway._caller_refusals import Discard
from persimmonwell.gateway._caller_requests import (
    RawRequest,
    RequestParser,
    RequestReceiver,
)
from persimmonwell.gateway._caller_time_outs import CallerTimeOuts
from persimmonwell.gateway._request_body import UPLOAD_READ_BYTES, RequestBody
from persimmonwell.gateway._socket_options import (
    MAX_READ_BYTES,
    set_buffer_sizes,
    set_read_size,
)

MAX_PIPELINED_REQUESTS = 4
"""Pipelined requests that wait on one connection before reading is paused."""
FEED_BYTES = 4096
"""Largest part that is parsed at once, so that few requests are parsed too many."""
MAX_PARTS_A_TURN = 256
"""Parts that are parsed before other connections have their turn. 120 clients with
chunks of one byte held the event loop for a second a turn, and 60 clients with
pipelined requests for unknown routes for more than ten seconds."""
SMALL_PART_BYTES = 64
"""Mean size of parts below which a connection is paced; a byte in chunks of one byte
costs a thousand times the CPU time of one in large chunks."""
END_OF_HEAD = b"\r\n\r\n"


class InputReceiver(RequestReceiver, Protocol):
    """Connection whose input is read."""

    is_answering: bool
    """Whether a request is answered, or waits for the ones before it."""

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait and the one that is received, as not run."""

    def proceed(self) -> None:
        """Go on with what waits behind the answers that the caller has taken."""


class CallerInput:
    """Bytes of one caller that are received, and how far they are parsed.

    Bytes are parsed up to the end of one message at a time. What follows is kept
    unparsed, with reading paused, while MAX_PIPELINED_REQUESTS requests wait, while
    the caller takes no answers, or while a body waits for room.
    """

    __slots__ = (
        "_charges",
        "_discard",
        "_has_upload_buffer",
        "_is_paced",
        "_is_reading_paused",
        "_pacer",
        "_parsed_bytes",
        "_parser",
        "_pipelined",
        "_receiver",
        "_time_outs",
        "_writer",
        "transport",
        "unparsed",
    )

    def __init__(
        self,
        receiver: InputReceiver,
        *,
        parser: RequestParser,
        pipelined: deque[RawRequest],
        writer: AnswerWriter,
        charges: CallerCharges,
        discard: Discard,
        time_outs: CallerTimeOuts,
        pacer: Pacer,
    ) -> None:
        self._receiver = receiver
        self._parser = parser
        self._pipelined = pipelined
        """Parsed requests that wait; the receiver adds and takes them."""
        self._writer = writer
        self._charges = charges
        self._discard = discard
        self._time_outs = time_outs
        self._pacer = pacer
        self._is_paced = False
        """Whether parsing goes on only when the pacer permits it."""
        self._has_upload_buffer = False
        """Whether the kernel's receive buffer has the size for an upload."""
        self._is_reading_paused = False
        self.transport: asyncio.Transport | None = None
        self.unparsed = b""
        self._parsed_bytes = 0
        """Bytes of `unparsed` that were parsed."""

    @property
    def _may_hold(self) -> bool:
        """Return whether anything may have to wait before it is parsed or answered."""
        return bool(
            self.unparsed
            or self._pipelined
            or self._parser.body is not None
            or self._charges.has_held
            or self._writer.is_paused
        )

    @property
    def _may_parse(self) -> bool:
        """Return whether another request may be read behind those that wait."""
        return len(self._pipelined) < MAX_PIPELINED_REQUESTS and not (
            self._writer.is_paused
        )

    def add(self, data: bytes) -> None:
        """Parse what is received, as far as requests may be read."""
        self._time_outs.last_data_s = asyncio.get_running_loop().time()
        if (
            len(data) <= FEED_BYTES
            and not self._may_hold
            and data.count(END_OF_HEAD) <= 1
        ):
            # The usual case: at most one request ends, and nothing waits.
            self._feed(data)
            if self._may_hold or self._is_reading_paused:
                self._update_reading()
            return
        body = self._parser.body
        if body is not None and self._is_steady(body, len(data)):
            self._feed(data)
            if self._parser.body is not body and self._may_hold:
                self._update_reading()
            return
        if self.unparsed:
            data = self.unparsed[self._parsed_bytes :] + data
        self.unparsed, self._parsed_bytes = data, 0
        self.parse()

    def _is_steady(self, body: RequestBody, count: int) -> bool:
        """Return whether a part of an upload changes nothing about what may be read.

        Most parts of an upload do not; the checks of parse were 2% of its instructions.
        """
        return (
            body.has_room_for(count)
            and self._has_upload_buffer
            and not self.unparsed
            and not self._pipelined
            and not self._is_reading_paused
            and not self._is_paced
            and not self._charges.has_held
            and not self._writer.is_paused
        )

    def parse(self) -> None:
        """Feed the parser up to the end of one message at a time."""
        receiver = self._receiver
        turn_start = self._parsed_bytes
        start_s = asyncio.get_running_loop().time()
        self._parser.parts = 0
        while self.unparsed and receiver.accepts_requests and self._may_parse:
            if self._is_paced:
                break
            end = self._end_of_slice()
            if end == self._parsed_bytes:
                break
            data, start = self.unparsed, self._parsed_bytes
            if end < len(data):
                self._parsed_bytes = end
            else:
                self.drop()
            if start or end < len(data):
                data = data[start:end]
            self._feed(data)
            parts = self._parser.parts
            if parts > MAX_PARTS_A_TURN and self.unparsed:
                parsed_bytes = self._parsed_bytes - turn_start
                is_small = parsed_bytes < parts * SMALL_PART_BYTES
                self._end_turn(start_s, is_small=is_small)
                break
        if self.unparsed and not receiver.accepts_requests:
            self.drop()
        if self._may_hold or self._is_reading_paused:
            self._update_reading()

    def drop(self) -> None:
        """Drop what is not parsed."""
        self.unparsed, self._parsed_bytes = b"", 0

    def _feed(self, data: bytes) -> None:
        if not self._parser.is_receiving and not self._receiver.is_answering:
            self._parser.is_receiving = True
            self._time_outs.await_head()
        self._parser.feed(data)

    def _end_of_slice(self) -> int:
        """Return up to where the parser is fed next; where it stands without room."""
        start, size = self._parsed_bytes, len(self.unparsed)
        body = self._parser.body
        if body is not None and not body.is_chunked:
            end = min(size, start + body.unreceived_bytes)
        else:
            end = min(size, start + FEED_BYTES)
            first = self.unparsed.find(END_OF_HEAD, start, end) + len(END_OF_HEAD)
            # A small request with its body is fed at once.
            if first >= len(END_OF_HEAD) and (
                body is not None or self.unparsed.find(END_OF_HEAD, first, end) >= 0
            ):
                end = first
        if body is not None and not body.make_room(end - start):
            return start
        return end

    # Turns of the event loop

    def _end_turn(self, start_s: float, *, is_small: bool) -> None:
        """Let other connections have their turn before the rest is parsed."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        delay_s = self._pacer.delay_s(now_s - start_s, now_s) if is_small else 0.0
        self._is_paced = True
        loop.call_later(delay_s, self._begin_turn)

    def _begin_turn(self) -> None:
        """Parse on; the client has not been silent while it was not its turn."""
        self._is_paced = False
        self._time_outs.last_data_s = asyncio.get_running_loop().time()
        self._receiver.proceed()

    # Room for bodies

    def schedule_body(self) -> None:
        """Receive a body that has got room, outside of the call that granted it."""
        # Room may be granted while another connection parses.
        asyncio.get_running_loop().call_soon(self._resume_body)

    def _resume_body(self) -> None:
        body = self._parser.body
        if body is None or body.is_waiting or not self._receiver.accepts_requests:
            return
        self._time_outs.last_data_s = asyncio.get_running_loop().time()
        if not self._receiver.is_answering:
            self._time_outs.await_request()
        self._receiver.body_admitted()
        self.parse()

    def end_upload(self) -> None:
        """Give the kernel's room for an upload back, at the end of a request."""
        if self._has_upload_buffer and self.transport is not None:
            self._set_upload_buffer(False)

    def _set_upload_buffer(self, is_upload: bool) -> None:
        """Give the kernel room for an upload that is charged, or take it back."""
        assert self.transport is not None
        self._has_upload_buffer = is_upload
        size = UPLOAD_BUFFER_BYTES if is_upload else RECEIVE_BUFFER_BYTES
        sock = self.transport.get_extra_info("socket")
        set_buffer_sizes(sock, receive_bytes=size, window_bytes=size // 2)
        body = self._parser.body
        is_announced = body is not None and not body.is_chunked
        read_bytes = UPLOAD_READ_BYTES if is_upload and is_announced else MAX_READ_BYTES
        set_read_size(self.transport, read_bytes)

    # Pauses of reading

    def _update_reading(self) -> None:
        """Pause reading while nothing more may be parsed, and charge what is held."""
        if self.transport is None or self._discard.is_active:
            return
        body = self._parser.body
        covers_unparsed = body is not None and body.covers_unparsed
        if covers_unparsed and not self._has_upload_buffer:
            self._set_upload_buffer(True)
        is_waiting = body is not None and body.is_waiting
        # A caller that takes no answers is read until it sends another request.
        is_full = bool(self._pipelined) and not self._may_parse
        is_blocked = bool(self.unparsed) or is_waiting or is_full
        held_bytes = 0
        if not covers_unparsed:
            held_bytes = len(self.unparsed) - self._parsed_bytes
        if self._pipelined:
            held_bytes += sum(request.uncharged_bytes for request in self._pipelined)
        # Bodies that wait are bounded in number, and what is unread of an upload that
        # has room is charged with it.
        is_charged = not (covers_unparsed or is_waiting)
        if not self._hold(held_bytes, is_reading_paused=is_blocked and is_charged):
            # What still arrives is discarded.
            is_blocked = False
        if self._discard.is_active or is_blocked == self._is_reading_paused:
            return
        self._is_reading_paused = is_blocked
        # A refusal for memory may have dropped the body.
        body = self._parser.body
        if body is not None:
            body.set_paused(is_blocked)
        if is_blocked:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _hold(self, count: int, *, is_reading_paused: bool) -> bool:
        """Charge held bytes; without room, refuse the requests that wait."""
        receiver = self._receiver
        if not self._charges.set_reading_paused(is_reading_paused):
            receiver.refuse_waiting()
            return False
        if count <= COVERED_HELD_BYTES and not self._charges.has_held:
            return True
        # The number of waiting bodies is bounded, and refusing one that waits for its
        # first room would defeat the wait.
        body = self._parser.body
        is_waiting = body is not None and body.is_waiting
        if self._charges.hold(count, is_forced=is_waiting):
            return count > COVERED_HELD_BYTES or not receiver.is_refusing
        receiver.refuse_waiting()
        self._charges.release_held()
        return not receiver.is_refusing

    # After a refusal

    def discard_rest(self) -> None:
        """Shut the sending side down and discard what the client still sends."""
        if self.transport is None or self.transport.is_closing():
            return
        self._discard.is_active = True
        self.drop()
        self._charges.release_held()
        self._charges.set_reading_paused(False)
        try:
            self.transport.write_eof()
        except OSError:
            # The client has closed or reset the connection.
            self.transport.abort()
            return
        if self._is_reading_paused:
            self._is_reading_paused = False
            self.transport.resume_reading()
        self._time_outs.await_rest()
