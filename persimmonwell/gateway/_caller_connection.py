"""HTTP/1.1 server connection: parses callers' requests and writes their answers."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Protocol

import attrs
import httptools

from persimmonwell.core.forwarding import CallerLimits, Ending
from persimmonwell.core.resources import (
    RECEIVE_BUFFER_BYTES,
    UPLOAD_BUFFER_BYTES,
    BodyCharge,
    CallerPolicy,
    Charge,
    MemoryBudget,
    ProgressCharge,
    RefusalReason,
    SocketBuffers,
)
from persimmonwell.gateway._http_connection import (
    MAX_READ_BYTES,
    set_buffer_sizes,
    set_read_size,
    set_socket_options,
)
from persimmonwell.gateway._request_body import (
    COVERED_BODY_BYTES,
    UPLOAD_READ_BYTES,
    Content,
    RequestBody,
    Resource,
    UploadBuffers,
)
from persimmonwell.platform import decode_request_id, local_answer_headers

MAX_PIPELINED_REQUESTS = 4
"""Pipelined requests that wait on one connection before reading is paused."""
FEED_BYTES = 4096
"""Largest part that is parsed at once, so that few requests are parsed too many."""
BASE_CHARGE_BYTES = 6144
"""Charged for each connection: its objects, the head of a small request and its body.
Idle connections take 5 to 6 KB on CPython 3.11."""
MAX_PARTS_A_TURN = 256
"""Body parts that are parsed before other connections have their turn. 120 clients with
chunks of one byte held the event loop for a second a turn."""
SMALL_PART_BYTES = 64
SMALL_PARTS_DELAY_S = 0.05
"""Delay of a connection whose chunks are smaller than SMALL_PART_BYTES in the mean; a
byte in them costs a thousand times the CPU time of one in large chunks."""
COVERED_HEAD_BYTES = 4096
"""Memory of a head that the base charge covers."""
HEADER_OBJECT_BYTES = 160
"""Memory of one header beside its bytes: a tuple and two objects."""
COVERED_HELD_BYTES = 4096
"""Unparsed bytes and waiting requests that the base charge covers."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
END_OF_HEAD = b"\r\n\r\n"

RawHeaders = Sequence[tuple[bytes, bytes]]


@attrs.frozen
class RawRequest:
    """Request of a caller as parsed from the connection."""

    method: str
    target: str
    host: str
    headers: RawHeaders
    """Header names are in lower case."""
    body: Content
    has_body: bool
    resources: tuple[Resource, ...] = ()
    """Charges of a large head and of the body, and its buffer."""


@attrs.frozen
class _Rejection:
    """Answer to a request that is not accepted, after which the connection closes."""

    status: HTTPStatus
    headers: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""


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
        on_progress: Callable[["CallerConnection"], None] = lambda caller: None,
        on_refused: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._limits = limits
        self._on_request = on_request
        self._is_draining = is_draining
        self._on_open_change = on_open_change
        self._budget = budget or MemoryBudget()
        self._policy = policy or CallerPolicy()
        self._buffers = buffers or UploadBuffers()
        self._socket_buffers = socket_buffers or SocketBuffers()
        self._has_upload_buffer = False
        """Whether the kernel's receive buffer has the size for an upload."""
        self._on_progress = on_progress
        self._on_refused = on_refused
        self._address = ""
        self._base_charge = self._budget.open_charge("connections")
        self._held_charge: Charge | None = None
        """Unparsed bytes and waiting requests above what the base charge covers."""
        self._kernel_charge: Charge | None = None
        """Bytes that the kernel may receive while reading is paused."""
        self._answer_charge: Charge | None = None
        """Bytes of the answer that the exchange holds back."""
        self._unread_charge: ProgressCharge | None = None
        """Bytes of answers that the caller does not take."""
        self._request_resources: tuple[Resource, ...] = ()
        """What the request that is being answered holds."""
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._handler: RequestHandler | None = None
        self._is_answering = False
        """Whether a request is answered, or waits for the ones before it."""
        self._has_open_request = False
        self._pipelined: deque[RawRequest] = deque()
        self._unparsed = b""
        self._parsed_bytes = 0
        """Bytes of `_unparsed` that were parsed."""
        self._parts = 0
        """Body parts that were parsed in this turn."""
        self._is_reading_paused = False
        self._is_write_paused = False
        self._written_bytes = 0
        self._taken_bytes = 0
        self._taken_s = 0.0
        """When the caller last took bytes of its answers, as far as was checked."""
        self._is_lingering = False
        self._discarded_bytes = 0
        self._is_refused_at_accept = False
        self._body: RequestBody | None = None
        self._head_charge: Charge | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._reset_message()
        self._last_data_s = 0.0
        self._accepted_s = 0.0
        self._has_answered = False
        self._is_last_request = False
        """Whether the caller asked to close after the last request it sent."""
        self._is_close_announced = False
        self._rejection: _Rejection | None = None
        """Answer owed to a malformed request behind the ones that are answered."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received, queued or answered."""
        return not (self._is_answering or self._has_more_requests or self._is_lingering)

    @property
    def may_be_evicted(self) -> bool:
        """Return whether no answer is in progress that the caller reads."""
        if not self._is_answering:
            return True
        return self._is_unread(self._policy.stall_s)

    @property
    def _accepts_requests(self) -> bool:
        """Return whether further bytes of the caller can still be a request."""
        return not (
            self._is_close_announced
            or self._is_last_request
            or self._is_lingering
            or self._rejection is not None
        )

    @property
    def _may_hold(self) -> bool:
        """Return whether anything may have to wait before it is parsed or answered."""
        return bool(
            self._unparsed
            or self._pipelined
            or self._body is not None
            or self._held_charge is not None
            or self._is_write_paused
        )

    @property
    def _may_parse(self) -> bool:
        """Return whether another request may be read behind those that wait."""
        return len(self._pipelined) < MAX_PIPELINED_REQUESTS and not (
            self._is_write_paused
        )

    @property
    def _has_more_requests(self) -> bool:
        """Return whether another request, or a part of one, follows the current one."""
        return bool(
            self._pipelined
            or self._is_receiving
            or self._rejection is not None
            or (self._unparsed and not self._is_last_request)
        )

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = None
        self._small_body = b""
        self._announced_bytes: int | None = 0
        self._head_charge = None
        self._has_body = False
        self._expects_continue = False
        self._framing_bytes = 0
        """Received bytes of the request since the last byte of its body."""
        self._is_receiving = False
        self._in_body = False

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket up and start the idle time-out."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport)
        sizes = self._socket_buffers
        set_buffer_sizes(
            transport.get_extra_info("socket"),
            receive_bytes=RECEIVE_BUFFER_BYTES,
            send_bytes=sizes.send_bytes,
        )
        transport.set_write_buffer_limits(high=sizes.unsent_bytes)
        peer = transport.get_extra_info("peername")
        self._address = str(peer[0]) if isinstance(peer, tuple) else ""
        self._base_charge.force(BASE_CHARGE_BYTES)
        self._on_open_change(self, True)
        self._accepted_s = self._taken_s = asyncio.get_running_loop().time()
        if self._is_refused_at_accept:
            self._write_refusal_at_accept()
            return
        self._set_timer(self._limits().idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse what is received, as far as requests may be read."""
        if self._is_lingering:
            self._discard(len(data))
            return
        if not self._accepts_requests:
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
        self._parts = 0
        while self._unparsed and self._accepts_requests and self._may_parse:
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
            if self._parts > MAX_PARTS_A_TURN and self._unparsed:
                parsed_bytes = self._parsed_bytes - turn_start
                is_small = parsed_bytes < self._parts * SMALL_PART_BYTES
                delay_s = SMALL_PARTS_DELAY_S if is_small else 0.0
                asyncio.get_running_loop().call_later(delay_s, self._continue)
                break
        if self._unparsed and not self._accepts_requests:
            self._drop_unparsed()
        if self._may_hold or self._is_reading_paused:
            self._update_reading()

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
        if self._transport is None or self._is_lingering:
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
        # Bodies that wait are bounded in number, and what is unread of an upload that
        # has room is charged with it.
        is_charged = not (covers_unparsed or is_waiting)
        has_room = self._charge_unread(is_blocked and is_charged)
        if self._pipelined:
            held_bytes += sum(_memory_of(request) for request in self._pipelined)
        if not has_room or (
            (held_bytes > COVERED_HELD_BYTES or self._held_charge is not None)
            and not self._hold(held_bytes)
        ):
            # What still arrives is discarded.
            is_blocked = False
        if self._transport is None or self._is_lingering:
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

    def _hold(self, count: int) -> bool:
        """Charge held bytes; without room, refuse the requests that wait."""
        if self._held_charge is None:
            self._held_charge = self._budget.open_charge("pipelines")
        if count > COVERED_HELD_BYTES:
            if self._body is not None and self._body.is_waiting:
                # The number of waiting bodies is bounded, and refusing one that waits
                # for its first room would defeat the wait.
                self._held_charge.force(count)
                return True
            if self._held_charge.resize(count):
                return True
            self._refuse_waiting()
        self._close_held_charge()
        return not self._is_lingering and self._rejection is None

    def _charge_unread(self, is_paused: bool) -> bool:
        """Charge what the kernel may receive meanwhile; without room, refuse."""
        if not is_paused:
            if self._kernel_charge is not None:
                self._kernel_charge.close()
                self._kernel_charge = None
            return True
        if self._kernel_charge is None:
            self._kernel_charge = self._budget.open_charge("unread")
            if not self._kernel_charge.grow(RECEIVE_BUFFER_BYTES):
                self._refuse_waiting()
                self._charge_unread(False)
                return False
        return True

    def _refuse_waiting(self) -> None:
        """Refuse the requests that wait and the one that is received, as not run."""
        for request in self._pipelined:
            _close_all(request.resources)
        self._pipelined.clear()
        self._refuse_for_memory()

    def _close_held_charge(self) -> None:
        if self._held_charge is not None:
            self._held_charge.close()
            self._held_charge = None

    def _feed(self, data: bytes) -> None:
        """Feed the parser; reject malformed requests and oversized heads."""
        self._framing_bytes += len(data)
        if not self._is_receiving and not self._is_answering:
            self._is_receiving = True
            self._set_timer(self._limits().header_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.NOT_IMPLEMENTED)
        except httptools.HttpParserCallbackError as error:
            # A fault of the host, not of the request; nothing is promised about it.
            self._abort_after_error(error)
        except httptools.HttpParserError:
            if not self._is_last_request:
                self._reject(HTTPStatus.BAD_REQUEST)
        else:
            if self._is_receiving:
                self._check_size()

    def _check_size(self) -> None:
        """Reject what exceeds the limits, and charge a head that is not small."""
        if not self._accepts_requests:
            return
        limits = self._limits()
        body = self._body
        if body is not None and body.received_bytes > limits.max_body_bytes:
            self._reject(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, RefusalReason.BODY_TOO_LARGE
            )
            return
        if self._framing_bytes > limits.max_header_bytes:
            self._reject(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                RefusalReason.HEAD_TOO_LARGE,
            )
            return
        if self._in_body:
            return
        head_bytes = self._framing_bytes + len(self._headers) * HEADER_OBJECT_BYTES
        if head_bytes > COVERED_HEAD_BYTES:
            if self._head_charge is None:
                self._head_charge = self._budget.open_charge("heads", is_small=True)
            if not self._head_charge.resize(max(head_bytes, self._head_charge.size)):
                self._refuse_for_memory()

    def _abort_after_error(self, error: Exception) -> None:
        asyncio.get_running_loop().call_exception_handler(
            {"message": "a caller's request failed", "exception": error}
        )
        self._drop_unparsed()
        self._abort()

    def _drop_unparsed(self) -> None:
        self._unparsed, self._parsed_bytes = b"", 0

    def pause_writing(self) -> None:
        """Pause the upstream of the current request: the write buffer is full."""
        self._is_write_paused = True
        if self._unread_charge is None and self._transport is not None:
            now_s = asyncio.get_running_loop().time()
            self._unread_charge = self._budget.open_transfer(
                "answers", now_s, on_ended=lambda is_stalled: self._end_unread()
            )
            self._unread_charge.force(self._transport.get_write_buffer_size())
        if self._handler is not None:
            self._handler.set_upstream_paused(True)

    def resume_writing(self) -> None:
        """Resume the upstream of the current request, or start the next one."""
        self._is_write_paused = False
        self._close_unread_charge()
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
            _close_all(request.resources)
        self._pipelined.clear()
        self._drop_unparsed()
        self._drop_message()
        self._on_open_change(self, False)
        try:
            if handler is not None:
                handler.caller_left()
        finally:
            self._release_request()
            self._close_unread_charge()
            self._close_held_charge()
            self._charge_unread(False)
            self._base_charge.close()

    def _close_unread_charge(self) -> None:
        if self._unread_charge is not None:
            self._unread_charge.close()
            self._unread_charge = None

    def _release_request(self) -> None:
        """Credit back what the request and its answer took."""
        if self._request_resources:
            _close_all(self._request_resources)
            self._request_resources = ()
        if self._answer_charge is not None:
            self._answer_charge.close()
            self._answer_charge = None

    def _drop_message(self) -> None:
        """Drop the message that is being received, with its charges."""
        body, head_charge = self._body, self._head_charge
        self._reset_message()
        if body is not None:
            body.close()
        if head_charge is not None:
            head_charge.close()

    # httptools

    def on_message_begin(self) -> None:
        """Record that a request is received; the state of the last one was reset."""
        self._is_receiving = not self._is_lingering and self._rejection is None

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers of a body are not forwarded."""
        if not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Refuse a body that is too large, or else ask for its room."""
        self._in_body = True
        self._framing_bytes = 0
        for name, value in self._headers:
            if name == b"content-length":
                self._announced_bytes = int(value)
                self._has_body = True
            elif name == b"transfer-encoding":
                self._announced_bytes = None
                self._has_body = True
            elif name == b"expect" and value.lower() == b"100-continue":
                self._expects_continue = True
        announced_bytes = self._announced_bytes
        if announced_bytes is not None:
            if announced_bytes > self._limits().max_body_bytes:
                self._reject(
                    HTTPStatus.REQUEST_ENTITY_TOO_LARGE, RefusalReason.BODY_TOO_LARGE
                )
                return
            if announced_bytes <= COVERED_BODY_BYTES:
                self._send_continue()
                return
        if self._open_body().make_room(0):
            self._send_continue()

    def _open_body(self) -> RequestBody:
        self._body = RequestBody(
            announced_bytes=self._announced_bytes,
            max_bytes=self._limits().max_body_bytes,
            buffers=self._buffers,
            open_charge=self._open_body_charge,
            clock=asyncio.get_running_loop().time,
        )
        return self._body

    def _send_continue(self) -> None:
        """Answer `Expect: 100-continue`, if the body may be sent now."""
        if self._expects_continue and not self._is_answering:
            self._expects_continue = False
            self._write(CONTINUE)

    def _open_body_charge(self) -> BodyCharge:
        loop = asyncio.get_running_loop()
        return self._budget.open_body(
            self._address,
            loop.time(),
            on_granted=self._schedule_body,
            on_refused=self._refuse_for_memory,
            on_ended=self._end_body,
        )

    def _schedule_body(self) -> None:
        # Room may be granted while another connection parses.
        asyncio.get_running_loop().call_soon(self._resume_body)

    def _resume_body(self) -> None:
        """Receive a body that has got room."""
        if self._body is None or self._body.is_waiting or not self._accepts_requests:
            return
        self._last_data_s = asyncio.get_running_loop().time()
        if not self._is_answering:
            self._set_timer(self._limits().idle_timeout_s)
        self._send_continue()
        self._parse()

    def _end_body(self, is_stalled: bool) -> None:
        """End a body whose room others wait for."""
        if is_stalled:
            self._reject(HTTPStatus.REQUEST_TIMEOUT, RefusalReason.SLOW_BODY)
        else:
            self._refuse_for_memory()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._framing_bytes = 0
        self._parts += 1
        if self._body is not None:
            self._body.add(data)
        elif len(data) == self._announced_bytes:
            self._small_body = data
        elif not self._is_lingering and self._rejection is None:
            self._open_body().add(data)

    def on_message_complete(self) -> None:
        """Validate the request; start it, or queue it behind the current one."""
        if self._is_lingering or self._rejection is not None:
            return
        host_headers = [value for name, value in self._headers if name == b"host"]
        body, head_charge, has_body = self._body, self._head_charge, self._has_body
        max_body_bytes = self._limits().max_body_bytes
        if body is not None and body.received_bytes > max_body_bytes:
            self._reject(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, RefusalReason.BODY_TOO_LARGE
            )
            return
        if len(host_headers) != 1 or not self._url.startswith(b"/"):
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        content: Content = self._small_body
        resources: tuple[Resource, ...] = ()
        if body is not None:
            if self._has_upload_buffer and self._transport is not None:
                self._set_upload_buffer(False)
            content, resources = body.complete()
        if head_charge is not None:
            resources += (head_charge,)
        request = RawRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            host=host_headers[0].decode("latin-1"),
            headers=tuple(self._headers),
            body=content,
            has_body=has_body,
            resources=resources,
        )
        self._reset_message()
        if not self._parser.should_keep_alive():
            self._is_last_request = True
        if self._is_answering or self._pipelined or self._is_write_paused:
            self._is_answering = True
            self._pipelined.append(request)
            return
        self._start_request(request)

    def _start_request(self, request: RawRequest) -> None:
        if self._transport is None or self._transport.is_closing():
            _close_all(request.resources)
            return
        self._cancel_timer()
        self._is_answering = True
        self._has_open_request = True
        self._request_resources = request.resources
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
        self._write(head + body)
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
        self._write(head + _encode_chunk(data))

    def write_data(self, data: bytes | bytearray) -> None:
        """Write another chunk of the answer that was begun."""
        # Written out, since it is called for each event of a stream.
        transport = self._transport
        if transport is not None and not transport.is_closing():
            chunk = _encode_chunk(data)
            self._written_bytes += len(chunk)
            transport.write(chunk)

    def end_answer(self) -> None:
        """Write the last chunk of the answer that was begun."""
        self._write(b"0\r\n\r\n")
        self._finish_answer()

    def hold_answer_bytes(self, count: int, *, is_forced: bool = False) -> bool:
        """Charge the bytes of the answer that are held back in total.

        Without room, False is returned and the charge stays as it is, unless it is
        forced.
        """
        if not self._has_open_request:
            # The request has ended, and with it what its answer held back.
            return True
        if self._answer_charge is None:
            self._answer_charge = self._budget.open_charge("held_answers")
        if is_forced:
            self._answer_charge.force(count)
            return True
        return self._answer_charge.resize(count)

    def abort_answer(self) -> None:
        """Abort the connection, so that the caller sees a truncated answer."""
        self._has_open_request = self._is_answering = False
        self._handler = None
        self._release_request()
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
        phrase = HTTPStatus(status).phrase if status in _KNOWN_STATUSES else "Unknown"
        lines = [f"HTTP/1.1 {status} {phrase}".encode()]
        lines += [name + b": " + value for name, value in headers]
        may_close = self._is_last_request or self._is_draining()
        if may_close and not self._has_more_requests:
            self._is_close_announced = True
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n"

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._written_bytes += len(data)
            self._transport.write(data)

    def _finish_answer(self) -> None:
        self._handler = None
        self._has_open_request = self._is_answering = False
        self._release_request()
        if self._transport is None or self._transport.is_closing():
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
        if self._transport is None or self._transport.is_closing():
            return
        if not self._has_open_request:
            if self._pipelined:
                if not self._is_write_paused:
                    self._start_request(self._pipelined.popleft())
            elif self._rejection is not None:
                self._write_rejection(self._rejection)
                return
        if self._accepts_requests:
            self._parse()
        if (
            not self._is_answering
            and not self._unparsed
            and not self._is_lingering
            and self._timer is None
        ):
            self._await_request()

    def _await_request(self) -> None:
        """Set the time-out of the next request; close after the last one."""
        if self._transport is None:
            return
        if self._is_receiving:
            self._set_timer(self._limits().header_timeout_s)
        elif self._is_close_announced or self._is_last_request or self._is_draining():
            # The head of a long answer may have been sent before the host began to
            # stop; a further request on the connection would be broken off.
            self._transport.close()
        else:
            self._set_timer(self._limits().idle_timeout_s)

    # Refusals

    def _refuse_for_memory(self) -> None:
        """Refuse the message that is being received, as not run."""
        self._reject(HTTPStatus.SERVICE_UNAVAILABLE, RefusalReason.NO_MEMORY)

    def _reject(self, status: HTTPStatus, reason: RefusalReason | None = None) -> None:
        """Answer an unacceptable request with an error status and close.

        The requests before it are answered first.
        """
        if self._is_lingering or self._rejection is not None:
            return
        if reason is not None:
            self._on_refused(reason.value)
        self._drop_unparsed()
        request_id = decode_request_id(self._headers)
        rejection = _Rejection(status)
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            headers = local_answer_headers(request_id, self._policy.retry_after_s)
            rejection = _Rejection(status, headers, _OVERLOADED_BODY)
        elif request_id:
            rejection = _Rejection(status, local_answer_headers(request_id, None))
        self._drop_message()
        if self._is_answering:
            self._rejection = rejection
            return
        self._write_rejection(rejection)

    def _write_rejection(self, rejection: _Rejection) -> None:
        self._rejection = None
        self._is_last_request = True
        head = self._encode_head(rejection.status, rejection.headers)
        self._write(
            head + b"content-length: %d\r\n\r\n" % len(rejection.body) + rejection.body
        )
        self._linger()

    def _linger(self) -> None:
        """Shut the sending side down and discard what the client still sends.

        A close with unread bytes resets the connection, and the client may lose the
        answer.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._is_lingering = True
        self._drop_unparsed()
        self._close_held_charge()
        self._charge_unread(False)
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

    def _discard(self, count: int) -> None:
        self._discarded_bytes += count
        if self._discarded_bytes > self._policy.discard_bytes:
            self._abort()

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
        self._is_last_request = True
        headers = local_answer_headers("", self._policy.retry_after_s)
        head = self._encode_head(HTTPStatus.SERVICE_UNAVAILABLE, headers)
        length = b"content-length: %d\r\n\r\n" % len(_OVERLOADED_BODY)
        self._write(head + length + _OVERLOADED_BODY)
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
        unsent_bytes = self._transport.get_write_buffer_size()
        taken_bytes = self._written_bytes - unsent_bytes
        if not unsent_bytes or taken_bytes != self._taken_bytes:
            if unsent_bytes:
                self._on_progress(self)
            if self._unread_charge is not None:
                taken_since = max(0, taken_bytes - self._taken_bytes)
                self._unread_charge.progress.add(taken_since, now_s)
            self._taken_bytes, self._taken_s = taken_bytes, now_s
        elif now_s - self._taken_s >= self._policy.unread_answer_s:
            self._end_unread()
            return
        if self._unread_charge is not None:
            self._unread_charge.force(unsent_bytes)
        if self._body is not None and self._body.is_too_slow(self._policy, now_s):
            self._reject(HTTPStatus.REQUEST_TIMEOUT, RefusalReason.SLOW_BODY)

    def _is_unread(self, unread_s: float) -> bool:
        if self._transport is None or not self._transport.get_write_buffer_size():
            return False
        return asyncio.get_running_loop().time() - self._taken_s >= unread_s

    def _end_unread(self) -> None:
        """Abort a connection whose caller takes no bytes."""
        self._on_refused(RefusalReason.UNREAD_ANSWER.value)
        self._close_unread_charge()
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
        if self._is_lingering:
            self._abort()
            return
        if self._is_answering:
            return
        if self._is_receiving and not self._in_body:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif self._is_receiving:
            limit_s = self._limits().idle_timeout_s
            silent_s = asyncio.get_running_loop().time() - self._last_data_s
            if self._body is not None and self._body.is_waiting:
                # The host itself does not read; see BodyCharge for the limit.
                self._set_timer(limit_s)
            elif silent_s >= limit_s:
                self._reject(HTTPStatus.REQUEST_TIMEOUT, RefusalReason.SLOW_BODY)
            else:
                self._set_timer(limit_s - silent_s)
        elif self._transport is not None:
            self._transport.close()


_KNOWN_STATUSES = frozenset(HTTPStatus)
_OVERLOADED_BODY = b'{"error":"%b"}' % Ending.OVERLOADED.value.encode()


def _close_all(resources: Iterable[Resource]) -> None:
    for resource in resources:
        resource.close()


def _memory_of(request: RawRequest) -> int:
    """Return the memory of a waiting request that has no charge of its own."""
    memory = HEADER_OBJECT_BYTES * (4 + len(request.headers)) + len(request.target)
    memory += sum(len(name) + len(value) for name, value in request.headers)
    return memory + (0 if request.resources else len(request.body))


def _encode_chunk(data: bytes | bytearray) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)  # type: ignore[str-format]
