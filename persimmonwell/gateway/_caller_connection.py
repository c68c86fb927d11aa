"""Read callers' requests and write answers on an event loop."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Protocol

import attrs
import httptools

from persimmonwell.core.forwarding import CallerLimits
from persimmonwell.gateway._http_connection import set_socket_options

HIGH_WATER_BYTES = 65_536
"""Unsent bytes to one caller above which its upstream is not read."""
MAX_PIPELINED = 4
"""Requests of one connection that are kept while another one runs."""

RawHeaders = Sequence[tuple[bytes, bytes]]


@attrs.frozen
class RawRequest:
    """Hold one request as it was read."""

    method: str
    target: str
    host: str
    headers: RawHeaders
    """Names are in lower case."""
    body: bytes
    has_body: bool


class RequestHandler(Protocol):
    """Follow one request until its answer is complete."""

    def caller_left(self) -> None:
        """Stop all work for the request."""

    def caller_paused(self, paused: bool) -> None:
        """Hold the upstream while the caller reads too slowly."""


class CallerConnection(asyncio.Protocol):
    """Hold one caller's connection and its requests in order."""

    def __init__(
        self,
        *,
        limits: Callable[[], CallerLimits],
        begin: Callable[["CallerConnection", RawRequest], RequestHandler | None],
        is_draining: Callable[[], bool],
        on_change: Callable[["CallerConnection", bool], None],
    ) -> None:
        self._limits = limits
        self._begin = begin
        self._is_draining = is_draining
        self._on_change = on_change
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._handler: RequestHandler | None = None
        self._busy = False
        self._pending: deque[RawRequest] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._reset_message()
        self._close_after = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is read or answered."""
        return not self._busy and not self._reading and not self._pending

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._reading = False
        self._in_body = False

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport)
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        self._on_change(self, True)
        self._set_timer(self._limits().idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._close_after and not self._busy:
            return
        if not self._in_body:
            self._head_bytes += len(data)
        if not self._reading and not self._busy:
            self._reading = True
            self._set_timer(self._limits().header_timeout_s)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(HTTPStatus.NOT_IMPLEMENTED)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError):
            self._fail(HTTPStatus.BAD_REQUEST)
        else:
            if (
                self._reading
                and not self._in_body
                and self._head_bytes > self._limits().max_header_bytes
            ):
                self._fail(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def pause_writing(self) -> None:
        """Hold the upstream of the request in progress."""
        if self._handler is not None:
            self._handler.caller_paused(True)

    def resume_writing(self) -> None:
        """Let the upstream go on."""
        if self._handler is not None:
            self._handler.caller_paused(False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the request in progress."""
        self._cancel_timer()
        handler, self._handler = self._handler, None
        self._pending.clear()
        self._on_change(self, False)
        if handler is not None:
            handler.caller_left()

    # httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        head_bytes = self._head_bytes
        self._reset_message()
        self._head_bytes = head_bytes
        self._reading = True

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head and go on to the body."""
        self._in_body = True
        self._head_bytes = 0
        expects = any(
            name == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )
        if expects and self._transport is not None and not self._busy:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a piece of the body within the limit."""
        self._body_bytes += len(data)
        if self._body_bytes > self._limits().max_body_bytes:
            self._body.clear()
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Start the request, or keep it until the one before has its answer."""
        names = {name for name, _ in self._headers}
        hosts = [value for name, value in self._headers if name == b"host"]
        too_large = self._body_bytes > self._limits().max_body_bytes
        keep_alive = self._parser.should_keep_alive()
        method = self._parser.get_method().decode("latin-1")
        request = RawRequest(
            method=method,
            target=self._url.decode("latin-1"),
            host=hosts[0].decode("latin-1") if len(hosts) == 1 else "",
            headers=tuple(self._headers),
            body=b"".join(self._body),
            has_body=bool(names & {b"content-length", b"transfer-encoding"}),
        )
        self._reset_message()
        if too_large:
            self._fail(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        if len(hosts) != 1 or not request.target.startswith("/"):
            self._fail(HTTPStatus.BAD_REQUEST)
            return
        if not keep_alive:
            self._close_after = True
        if self._busy or self._pending:
            self._pending.append(request)
            if len(self._pending) >= MAX_PIPELINED and self._transport is not None:
                self._transport.pause_reading()
            return
        self._start(request)

    def _start(self, request: RawRequest) -> None:
        self._cancel_timer()
        self._busy = True
        handler = self._begin(self, request)
        if self._busy:
            self._handler = handler

    # Answers

    def write_answer(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a complete answer."""
        head = self._head(status, headers) + b"content-length: %d\r\n\r\n" % len(body)
        self._write(head + body)
        self._done()

    def begin_answer(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], data: bytes
    ) -> None:
        """Write the head of an answer of unknown length and its first piece."""
        head = self._head(status, headers) + b"transfer-encoding: chunked\r\n\r\n"
        self._write(head + _chunk(data))

    def write_data(self, data: bytes) -> None:
        """Write another piece of the answer that began."""
        self._write(_chunk(data))

    def end_answer(self) -> None:
        """Complete the answer that began."""
        self._write(b"0\r\n\r\n")
        self._done()

    def break_answer(self) -> None:
        """Close the connection so that the answer cannot look complete."""
        self._busy = False
        self._handler = None
        if self._transport is not None:
            self._transport.abort()

    def close_idle(self) -> None:
        """Close the connection if no request is on it."""
        if self.is_idle and self._transport is not None:
            self._transport.close()

    def _head(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
        phrase = HTTPStatus(status).phrase if status in _STATUSES else "Unknown"
        lines = [f"HTTP/1.1 {status} {phrase}".encode()]
        lines += [name + b": " + value for name, value in headers]
        if self._close_after or self._is_draining():
            self._close_after = True
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n"

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def _done(self) -> None:
        self._handler = None
        self._busy = False
        if self._transport is None or self._transport.is_closing():
            return
        if self._close_after:
            self._transport.close()
            return
        if self._pending:
            request = self._pending.popleft()
            self._transport.resume_reading()
            # On the loop, so that a long pipeline does not nest calls.
            self._busy = True
            asyncio.get_running_loop().call_soon(self._start, request)
            return
        if self._reading:
            self._set_timer(self._limits().header_timeout_s)
        else:
            self._set_timer(self._limits().idle_timeout_s)

    def _fail(self, status: HTTPStatus) -> None:
        """Answer a request that cannot be read and close."""
        self._close_after = True
        self._reading = False
        if self._busy:
            self._pending.clear()
            return
        self._write(self._head(status, ()) + b"content-length: 0\r\n\r\n")
        if self._transport is not None:
            self._transport.close()

    # Time

    def _set_timer(self, delay_s: float) -> None:
        self._cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._time_out)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _time_out(self) -> None:
        if self._busy:
            return
        if self._reading and not self._in_body:
            self._fail(HTTPStatus.REQUEST_TIMEOUT)
        elif self._reading:
            self._set_timer(self._limits().idle_timeout_s)
        elif self._transport is not None:
            self._transport.close()


_STATUSES = frozenset(HTTPStatus)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
