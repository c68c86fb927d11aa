"""HTTP/1.1 server connection of one caller: reading, order of requests, time-outs."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Protocol

from persimmonwell.core.forwarding import CallerLimits
from persimmonwell.core.resources import (
    RECEIVE_BUFFER_BYTES,
    UPLOAD_BUFFER_BYTES,
    BodyCharge,
    CallerPolicy,
    MemoryBudget,
    Pacer,
    RefusalReason,
    SocketBuffers,
)
from persimmonwell.gateway._caller_answers import (
    AnswerWriter,
    encode_answer_head,
    encode_chunk,
)
from persimmonwell.gateway._caller_charges import (
    COVERED_HELD_BYTES,
    CallerCharges,
    close_all,
)
from persimmonwell.gateway._caller_refusals import (
    Discard,
    Rejection,
    build_rejection,
)
from persimmonwell.gateway._caller_requests import RawRequest, RequestParser
from persimmonwell.gateway._request_body import (
    UPLOAD_READ_BYTES,
    RequestBody,
    UploadBuffers,
)
from persimmonwell.gateway._socket_options import (
    MAX_READ_BYTES,
    set_buffer_sizes,
    set_read_size,
    set_socket_options,
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
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
END_OF_HEAD = b"\r\n\r\n"
_TOO_LARGE = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class RequestHandler(Protocol):
    """Receiver of the connection events of one request."""

    def caller_left(self) -> None:
        """Stop all work for the request, since the caller closed its connection."""

    def set_upstream_paused(self, paused: bool) -> None:
        """Pause or resume reading from the upstream as the caller's buffer fills."""


class CallerConnection(asyncio.Protocol):
    """Connection of one caller, which answers pipelined requests in order.

    Bytes are parsed up to the end of one message at a time. What follows is kept
    unparsed, with reading paused, while MAX_PIPELINED_REQUESTS requests wait, while
    the caller takes no answers, or while a body waits for room.
    """

    def __init__(
        self,
        *,
        limits: Callable[[], CallerLimits],
        on_request: Callable[["CallerConnection", RawRequest], RequestHandler | None],
        is_draining: Callable[[], bool],
        on_open_change: Callable[["CallerConnection", bool], None],
        budget: MemoryBudget | None = None,
        policy: CallerPolicy | None = None,
        buffers: UploadBuffers | None = None,
        socket_buffers: SocketBuffers | None = None,
        pacer: Pacer | None = None,
        on_progress: Callable[["CallerConnection"], None] = lambda caller: None,
        on_refused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._limits = limits
        self._on_request = on_request
        self._is_draining = is_draining
        self._on_open_change = on_open_change
        self._budget = budget or MemoryBudget()
        self._policy = policy or CallerPolicy()
        self._socket_buffers = socket_buffers or SocketBuffers()
        self._pacer = pacer or Pacer()
        self._is_paced = False
        """Whether parsing goes on only when the pacer permits it."""
        self._has_upload_buffer = False
        """Whether the kernel's receive buffer has the size for an upload."""
        self._on_progress = on_progress
        self._on_refused = on_refused
        self.address = ""
        self._transport: asyncio.Transport | None = None
        self._charges = CallerCharges(self._budget)
        self._writer = AnswerWriter()
        self._discard = Discard(self._policy)
        self._parser = RequestParser(
            self,
            limits=limits,
            budget=self._budget,
            buffers=buffers or UploadBuffers(),
            open_body_charge=self._open_body_charge,
        )
        self._handler: RequestHandler | None = None
        self._is_answering = False
        """Whether a request is answered, or waits for the ones before it."""
        self._has_open_request = False
        self._pipelined: deque[RawRequest] = deque()
        self._unparsed = b""
        self._parsed_bytes = 0
        """Bytes of `_unparsed` that were parsed."""
        self._is_reading_paused = False
        self._is_refused_at_accept = False
        self._timer: asyncio.TimerHandle | None = None
        self._last_data_s = 0.0
        self._accepted_s = 0.0
        self._has_answered = False
        self._is_close_announced = False
        self._rejection: Rejection | None = None
        """Answer owed to a malformed request behind the ones that are answered."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received, queued or answered."""
        return not (
            self._is_answering or self._has_more_requests or self._discard.is_active
        )

    @property
    def may_be_evicted(self) -> bool:
        """Return whether no answer is in progress that the caller reads."""
        if not self._is_answering:
            return True
        now_s = asyncio.get_running_loop().time()
        return self._writer.is_unread(self._policy.stall_s, now_s)

    @property
    def is_refusing(self) -> bool:
        """Return whether the message that is parsed is refused already."""
        return self._discard.is_active or self._rejection is not None

    @property
    def accepts_requests(self) -> bool:
        """Return whether further bytes of the caller can still be a request."""
        return not (
            self._is_close_announced or self._parser.is_last_request or self.is_refusing
        )

    @property
    def _body(self) -> RequestBody | None:
        """Return the body that is being received."""
        return self._parser.body

    @property
    def _may_hold(self) -> bool:
        """Return whether anything may have to wait before it is parsed or answered."""
        return bool(
            self._unparsed
            or self._pipelined
            or self._body is not None
            or self._charges.has_held
            or self._writer.is_paused
        )

    @property
    def _may_parse(self) -> bool:
        """Return whether another request may be read behind those that wait."""
        return len(self._pipelined) < MAX_PIPELINED_REQUESTS and not (
            self._writer.is_paused
        )

    @property
    def _has_more_requests(self) -> bool:
        """Return whether another request, or a part of one, follows the current one."""
        return bool(
            self._pipelined
            or self._parser.is_receiving
            or self._rejection is not None
            or (self._unparsed and not self._parser.is_last_request)
        )

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up and start the idle time-out."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = self._writer.transport = transport
        set_socket_options(transport)
        sizes = self._socket_buffers
        set_buffer_sizes(
            transport.get_extra_info("socket"),
            receive_bytes=RECEIVE_BUFFER_BYTES,
            send_bytes=sizes.send_bytes,
        )
        transport.set_write_buffer_limits(high=sizes.unsent_bytes)
        peer = transport.get_extra_info("peername")
        self.address = str(peer[0]) if isinstance(peer, tuple) else ""
        self._charges.open()
        self._on_open_change(self, True)
        self._accepted_s = asyncio.get_running_loop().time()
        self._writer.taken_s = self._accepted_s
        if self._is_refused_at_accept:
            self._write_refusal_at_accept()
            return
        self._set_timer(self._limits().idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse what is received, as far as requests may be read."""
        if self._discard.is_active:
            if not self._discard.add(len(data)):
                self._abort()
            return
        if not self.accepts_requests:
            return
        self._on_progress(self)
        self._last_data_s = asyncio.get_running_loop().time()
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
        if self._unparsed:
            data = self._unparsed[self._parsed_bytes :] + data
        self._unparsed, self._parsed_bytes = data, 0
        self._parse()

    def _parse(self) -> None:
        """Feed the parser up to the end of one message at a time."""
        turn_start = self._parsed_bytes
        start_s = asyncio.get_running_loop().time()
        self._parser.parts = 0
        while self._unparsed and self.accepts_requests and self._may_parse:
            if self._is_paced:
                break
            end = self._end_of_slice()
            if end == self._parsed_bytes:
                break
            data, start = self._unparsed, self._parsed_bytes
            if end < len(data):
                self._parsed_bytes = end
            else:
                self._drop_unparsed()
            if start or end < len(data):
                data = data[start:end]
            self._feed(data)
            parts = self._parser.parts
            if parts > MAX_PARTS_A_TURN and self._unparsed:
                parsed_bytes = self._parsed_bytes - turn_start
                is_small = parsed_bytes < parts * SMALL_PART_BYTES
                self._end_turn(start_s, is_small=is_small)
                break
        if self._unparsed and not self.accepts_requests:
            self._drop_unparsed()
        if self._may_hold or self._is_reading_paused:
            self._update_reading()

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
        self._last_data_s = asyncio.get_running_loop().time()
        self._continue()

    def _end_of_slice(self) -> int:
        """Return up to where the parser is fed next; where it stands without room."""
        start, size = self._parsed_bytes, len(self._unparsed)
        body = self._body
        if body is not None and not body.is_chunked:
            end = min(size, start + body.unreceived_bytes)
        else:
            end = min(size, start + FEED_BYTES)
            first = self._unparsed.find(END_OF_HEAD, start, end) + len(END_OF_HEAD)
            # A small request with its body is fed at once.
            if first >= len(END_OF_HEAD) and (
                body is not None or self._unparsed.find(END_OF_HEAD, first, end) >= 0
            ):
                end = first
        if body is not None and not body.make_room(end - start):
            return start
        return end

    def _update_reading(self) -> None:
        """Pause reading while nothing more may be parsed, and charge what is held."""
        if self._transport is None or self._discard.is_active:
            return
        covers_unparsed = self._body is not None and self._body.covers_unparsed
        if covers_unparsed and not self._has_upload_buffer:
            self._set_upload_buffer(True)
        is_waiting = self._body is not None and self._body.is_waiting
        # A caller that takes no answers is read until it sends another request.
        is_full = bool(self._pipelined) and not self._may_parse
        is_blocked = bool(self._unparsed) or is_waiting or is_full
        held_bytes = 0
        if not covers_unparsed:
            held_bytes = len(self._unparsed) - self._parsed_bytes
        if self._pipelined:
            held_bytes += sum(request.uncharged_bytes for request in self._pipelined)
        # Bodies that wait are bounded in number, and what is unread of an upload that
        # has room is charged with it.
        is_charged = not (covers_unparsed or is_waiting)
        if not self._hold(held_bytes, is_reading_paused=is_blocked and is_charged):
            # What still arrives is discarded.
            is_blocked = False
        if self._transport is None or self._discard.is_active:
            return
        if is_blocked == self._is_reading_paused:
            return
        self._is_reading_paused = is_blocked
        if self._body is not None:
            self._body.set_paused(is_blocked)
        if is_blocked:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _set_upload_buffer(self, is_upload: bool) -> None:
        """Give the kernel room for an upload that is charged, or take it back."""
        assert self._transport is not None
        self._has_upload_buffer = is_upload
        size = UPLOAD_BUFFER_BYTES if is_upload else RECEIVE_BUFFER_BYTES
        sock = self._transport.get_extra_info("socket")
        set_buffer_sizes(sock, receive_bytes=size)
        is_announced = self._body is not None and not self._body.is_chunked
        read_bytes = UPLOAD_READ_BYTES if is_upload and is_announced else MAX_READ_BYTES
        set_read_size(self._transport, read_bytes)

    def _hold(self, count: int, *, is_reading_paused: bool) -> bool:
        """Charge held bytes; without room, refuse the requests that wait."""
        if not self._charges.set_reading_paused(is_reading_paused):
            self._refuse_waiting()
            return False
        if count <= COVERED_HELD_BYTES and not self._charges.has_held:
            return True
        # The number of waiting bodies is bounded, and refusing one that waits for its
        # first room would defeat the wait.
        is_waiting = self._body is not None and self._body.is_waiting
        if self._charges.hold(count, is_forced=is_waiting):
            return count > COVERED_HELD_BYTES or not self.is_refusing
        self._refuse_waiting()
        self._charges.release_held()
        return not self.is_refusing

    def _refuse_waiting(self) -> None:
        """Refuse the requests that wait and the one that is received, as not run."""
        for request in self._pipelined:
            close_all(request.resources)
        self._pipelined.clear()
        self.refuse_for_memory()

    def _feed(self, data: bytes) -> None:
        if not self._parser.is_receiving and not self._is_answering:
            self._parser.is_receiving = True
            self._set_timer(self._limits().header_timeout_s)
        self._parser.feed(data)

    def fail(self, error: Exception) -> None:
        """Report a fault of the host and abort the connection."""
        asyncio.get_running_loop().call_exception_handler(
            {"message": "a caller's request failed", "exception": error}
        )
        self._drop_unparsed()
        self._abort()

    def _drop_unparsed(self) -> None:
        self._unparsed, self._parsed_bytes = b"", 0

    def pause_writing(self) -> None:
        """Pause the upstream of the current request: the write buffer is full."""
        self._writer.is_paused = True
        if self._transport is not None:
            self._charges.open_unread(
                self._writer.unsent_bytes,
                asyncio.get_running_loop().time(),
                on_ended=lambda is_stalled: self._end_unread(),
            )
        if self._handler is not None:
            self._handler.set_upstream_paused(True)

    def resume_writing(self) -> None:
        """Resume the upstream of the current request, or start the next one."""
        self._writer.is_paused = False
        self._charges.close_unread()
        self._on_progress(self)
        if self._handler is not None:
            self._handler.set_upstream_paused(False)
        asyncio.get_running_loop().call_soon(self._continue)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request and drop the pipelined ones."""
        self._cancel_timer()
        handler, self._handler = self._handler, None
        self._has_open_request = False
        for request in self._pipelined:
            close_all(request.resources)
        self._pipelined.clear()
        self._drop_unparsed()
        self._parser.drop_message()
        self._on_open_change(self, False)
        try:
            if handler is not None:
                handler.caller_left()
        finally:
            self._charges.close()

    # Requests

    def body_admitted(self) -> None:
        """Answer `Expect: 100-continue`, if the body may be sent now."""
        if self._parser.expects_continue and not self._is_answering:
            self._parser.expects_continue = False
            self._writer.write(CONTINUE)

    def _open_body_charge(self) -> BodyCharge:
        loop = asyncio.get_running_loop()
        return self._budget.open_body(
            self.address,
            loop.time(),
            on_granted=self._schedule_body,
            on_refused=self.refuse_for_memory,
            on_ended=self._end_body,
        )

    def _schedule_body(self) -> None:
        # Room may be granted while another connection parses.
        asyncio.get_running_loop().call_soon(self._resume_body)

    def _resume_body(self) -> None:
        """Receive a body that has got room."""
        if self._body is None or self._body.is_waiting or not self.accepts_requests:
            return
        self._last_data_s = asyncio.get_running_loop().time()
        if not self._is_answering:
            self._set_timer(self._limits().idle_timeout_s)
        self.body_admitted()
        self._parse()

    def _end_body(self, is_stalled: bool) -> None:
        """End a body whose room others wait for."""
        if is_stalled:
            self.reject(HTTPStatus.REQUEST_TIMEOUT, RefusalReason.SLOW_BODY)
        else:
            self.refuse_for_memory()

    def request_parsed(self, request: RawRequest) -> None:
        """Start a request, or queue it behind the current one."""
        if self._has_upload_buffer and self._transport is not None:
            self._set_upload_buffer(False)
        if self._is_answering or self._pipelined or self._writer.is_paused:
            self._is_answering = True
            self._pipelined.append(request)
            return
        self._start_request(request)

    def _start_request(self, request: RawRequest) -> None:
        if not self._writer.is_open:
            close_all(request.resources)
            return
        self._cancel_timer()
        self._is_answering = True
        self._has_open_request = True
        self._charges.begin_request(request.resources)
        handler = self._on_request(self, request)
        if self._has_open_request:
            self._handler = handler

    # Answers

    def write_answer(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes | bytearray,
    ) -> None:
        """Write a complete answer."""
        head = self._encode_head(status, headers) + b"content-length: %d\r\n\r\n" % len(
            body
        )
        self._writer.write(head + body)
        self._finish_answer()

    def begin_answer(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        data: bytes | bytearray,
    ) -> None:
        """Write the head of a chunked answer and its first chunk."""
        head = (
            self._encode_head(status, headers) + b"transfer-encoding: chunked\r\n\r\n"
        )
        self._writer.write(head + encode_chunk(data))

    def write_data(self, data: bytes | bytearray) -> None:
        """Write another chunk of the answer that was begun."""
        self._writer.write(encode_chunk(data))

    def end_answer(self) -> None:
        """Write the last chunk of the answer that was begun."""
        self._writer.write(b"0\r\n\r\n")
        self._finish_answer()

    def hold_answer_bytes(self, count: int, *, is_forced: bool = False) -> bool:
        """Charge the bytes of the answer that are held back in total.

        Without room, False is returned and the charge stays as it is, unless it is
        forced.
        """
        if not self._has_open_request:
            # The request has ended, and with it what its answer held back.
            return True
        return self._charges.hold_answer(count, is_forced=is_forced)

    def abort_answer(self) -> None:
        """Abort the connection, so that the caller sees a truncated answer."""
        self._has_open_request = self._is_answering = False
        self._handler = None
        self._charges.end_request()
        if self._transport is not None:
            self._transport.abort()

    def close_idle(self, *, min_idle_s: float) -> None:
        """Close the connection if it is idle.

        The first request of a connection that was just accepted may be on its way, so
        such a connection has to be idle for min_idle_s.
        """
        idle_s = asyncio.get_running_loop().time() - self._accepted_s
        is_new = not self._has_answered and idle_s < min_idle_s
        if self.is_idle and not is_new and self._transport is not None:
            self._transport.close()

    def _encode_head(
        self, status: int, headers: Iterable[tuple[bytes, bytes]]
    ) -> bytes:
        may_close = self._parser.is_last_request or self._is_draining()
        is_last = may_close and not self._has_more_requests
        if is_last:
            self._is_close_announced = True
        return encode_answer_head(status, headers, is_last=is_last)

    def _finish_answer(self) -> None:
        self._handler = None
        self._has_open_request = self._is_answering = False
        self._charges.end_request()
        if not self._writer.is_open:
            return
        self._has_answered = True
        if self._pipelined or self._rejection is not None or self._unparsed:
            # Scheduled rather than called, so that a long pipeline does not recurse.
            self._is_answering = bool(self._pipelined)
            asyncio.get_running_loop().call_soon(self._continue)
            return
        self._await_request()

    def _continue(self) -> None:
        """Go on with what waits behind the answers that the caller has taken."""
        if not self._writer.is_open:
            return
        if not self._has_open_request:
            if self._pipelined:
                if not self._writer.is_paused:
                    self._start_request(self._pipelined.popleft())
            elif self._rejection is not None:
                self._write_rejection(self._rejection)
                return
        if self.accepts_requests:
            self._parse()
        if (
            not self._is_answering
            and not self._unparsed
            and not self._discard.is_active
            and self._timer is None
        ):
            self._await_request()

    def _await_request(self) -> None:
        """Set the time-out of the next request; close after the last one."""
        if self._transport is None:
            return
        if self._parser.is_receiving:
            self._set_timer(self._limits().header_timeout_s)
        elif (
            self._is_close_announced
            or self._parser.is_last_request
            or self._is_draining()
        ):
            # The head of a long answer may have been sent before the host began to
            # stop; a further request on the connection would be broken off.
            self._transport.close()
        else:
            self._set_timer(self._limits().idle_timeout_s)

    # Refusals

    def refuse_for_memory(self) -> None:
        """Refuse the message that is being received, as not run."""
        self.reject(HTTPStatus.SERVICE_UNAVAILABLE, RefusalReason.NO_MEMORY)

    def reject(self, status: HTTPStatus, reason: RefusalReason | None = None) -> None:
        """Answer an unacceptable request with an error status and close.

        The requests before it are answered first.
        """
        if self.is_refusing:
            return
        if reason is not None:
            self._on_refused(reason.value)
        self._drop_unparsed()
        rejection = build_rejection(status, self._parser.request_id, self._policy)
        if self._body is not None and status is not _TOO_LARGE:
            self._discard.rest_bytes = self._body.max_rest_bytes
        self._parser.drop_message()
        if self._is_answering:
            self._rejection = rejection
            return
        self._write_rejection(rejection)

    def _write_rejection(self, rejection: Rejection) -> None:
        self._rejection = None
        self._write_last_answer(rejection)
        self._linger()

    def _write_last_answer(self, rejection: Rejection) -> None:
        self._parser.is_last_request = True
        head = self._encode_head(rejection.status, rejection.headers)
        length = b"content-length: %d\r\n\r\n" % len(rejection.body)
        self._writer.write(head + length + rejection.body)

    def _linger(self) -> None:
        """Shut the sending side down and discard what the client still sends."""
        if self._transport is None or self._transport.is_closing():
            return
        self._discard.is_active = True
        self._drop_unparsed()
        self._charges.release_held()
        self._charges.set_reading_paused(False)
        try:
            self._transport.write_eof()
        except OSError:
            # The client has closed or reset the connection.
            self._abort()
            return
        if self._is_reading_paused:
            self._is_reading_paused = False
            self._transport.resume_reading()
        self._set_timer(self._policy.discard_s)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def refuse_at_accept(self) -> None:
        """Answer a new connection with a refusal, and close it."""
        self._is_refused_at_accept = True
        if self._transport is not None:
            self._write_refusal_at_accept()

    def _write_refusal_at_accept(self) -> None:
        assert self._transport is not None
        self._cancel_timer()
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self._write_last_answer(build_rejection(status, "", self._policy))
        self._transport.close()

    def evict(self) -> None:
        """Close the connection for the sake of others; nothing is promised."""
        if self._transport is None:
            return
        if self.is_idle and not self._transport.get_write_buffer_size():
            self._transport.close()
        else:
            self._transport.abort()

    # Progress

    def check_progress(self, now_s: float) -> None:
        """End answers that nobody reads and bodies that come in too slowly.

        Called about once a second.
        """
        if self._transport is None:
            return
        taken_bytes = self._writer.take_progress(now_s)
        if taken_bytes is not None:
            if self._writer.unsent_bytes:
                self._on_progress(self)
            self._charges.add_taken(taken_bytes, now_s)
        elif self._writer.is_unread(self._policy.unread_answer_s, now_s):
            self._end_unread()
            return
        self._charges.resize_unread(self._writer.unsent_bytes)
        if self._body is not None and self._body.is_too_slow(self._policy, now_s):
            self.reject(HTTPStatus.REQUEST_TIMEOUT, RefusalReason.SLOW_BODY)

    def _end_unread(self) -> None:
        """Abort a connection whose caller takes no bytes."""
        self._on_refused(RefusalReason.UNREAD_ANSWER.value)
        self._charges.close_unread()
        self._abort()

    # Time-outs

    def _set_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        self._timer = None
        if self._discard.is_active:
            self._abort()
            return
        if self._is_answering:
            return
        if self._parser.is_receiving and not self._parser.in_body:
            self.reject(HTTPStatus.REQUEST_TIMEOUT)
        elif self._parser.is_receiving:
            limit_s = self._limits().idle_timeout_s
            silent_s = asyncio.get_running_loop().time() - self._last_data_s
            if self._body is not None and self._body.is_waiting:
                # The host itself does not read; see BodyCharge for the limit.
                self._set_timer(limit_s)
            elif silent_s >= limit_s:
                self.reject(HTTPStatus.REQUEST_TIMEOUT, RefusalReason.SLOW_BODY)
            else:
                self._set_timer(limit_s - silent_s)
        elif self._transport is not None:
            self._transport.close()
