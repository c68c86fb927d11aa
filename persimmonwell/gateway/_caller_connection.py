"""HTTP/1.1 server connection: parses callers' requests and writes their answers."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Protocol

import attrs
import httptools

from persimmonwell.core.forwarding import CallerLimits
from persimmonwell.gateway._http_connection import set_socket_options

WRITE_HIGH_WATER_BYTES = 65_536
"""Unsent bytes to one caller above which reading from its upstream is paused."""
MAX_PIPELINED_REQUESTS = 4
"""Pipelined requests that wait on one connection before reading is paused."""
MAX_DISCARDED_BODY_BYTES = 1_048_576
"""Bytes over the size limit that are read before the connection is closed; a caller
that is still sending would lose the answer 413 to the reset."""

RawHeaders = Sequence[tuple[bytes, bytes]]


@attrs.frozen
class RawRequest:
    """Request of a caller as parsed from the connection."""

    method: str
    target: str
    host: str
    headers: RawHeaders
    """Header names are in lower case."""
    body: bytes
    has_body: bool


class RequestHandler(Protocol):
    """Receiver of the connection events of one request."""

    def caller_left(self) -> None:
        """Stop all work for the request, since the caller closed its connection."""

    def set_upstream_paused(self, paused: bool) -> None:
        """Pause or resume reading from the upstream as the caller's buffer fills."""


class CallerConnection(asyncio.Protocol):
    """Connection of one caller, which answers pipelined requests in order."""

    def __init__(
        self,
        *,
        limits: Callable[[], CallerLimits],
        on_request: Callable[["CallerConnection", RawRequest], RequestHandler | None],
        is_draining: Callable[[], bool],
        on_open_change: Callable[["CallerConnection", bool], None],
    ) -> None:
        self._limits = limits
        self._on_request = on_request
        self._is_draining = is_draining
        self._on_open_change = on_open_change
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._handler: RequestHandler | None = None
        self._is_answering = False
        self._pipelined: deque[RawRequest] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self._reset_message()
        self._last_data_s = 0.0
        self._accepted_s = 0.0
        self._has_answered = False
        self._is_last_request = False
        """Whether the caller asked to close after the last request it sent."""
        self._is_close_announced = False
        self._rejection: HTTPStatus | None = None
        """Status owed to a malformed request behind the ones that are answered."""

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received, queued or answered."""
        return not self._is_answering and not self._has_more_requests

    @property
    def _accepts_requests(self) -> bool:
        """Return whether further bytes of the caller can still be a request."""
        return not (
            self._is_close_announced
            or self._is_last_request
            or self._rejection is not None
        )

    @property
    def _has_more_requests(self) -> bool:
        """Return whether another request, or a part of one, follows the current one."""
        return bool(
            self._pipelined or self._is_receiving or self._rejection is not None
        )

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
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
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._on_open_change(self, True)
        self._accepted_s = asyncio.get_running_loop().time()
        self._set_timer(self._limits().idle_timeout_s)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; reject malformed requests and oversized heads."""
        if not self._accepts_requests:
            return
        self._last_data_s = asyncio.get_running_loop().time()
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
            if not self._is_receiving:
                return
            if self._framing_bytes > self._limits().max_header_bytes:
                self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            elif self._body_bytes > (
                self._limits().max_body_bytes + MAX_DISCARDED_BODY_BYTES
            ):
                self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def _abort_after_error(self, error: Exception) -> None:
        asyncio.get_running_loop().call_exception_handler(
            {"message": "a caller's request failed", "exception": error}
        )
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Pause the upstream of the current request: the write buffer is full."""
        if self._handler is not None:
            self._handler.set_upstream_paused(True)

    def resume_writing(self) -> None:
        """Resume the upstream of the current request."""
        if self._handler is not None:
            self._handler.set_upstream_paused(False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the current request and drop the pipelined ones."""
        self._cancel_timer()
        handler, self._handler = self._handler, None
        self._pipelined.clear()
        self._on_open_change(self, False)
        if handler is not None:
            handler.caller_left()

    # httptools

    def on_message_begin(self) -> None:
        """Reset the state of the previous request."""
        framing_bytes = self._framing_bytes
        self._reset_message()
        self._framing_bytes = framing_bytes
        self._is_receiving = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Answer `Expect: 100-continue`, if the body may be sent now."""
        self._in_body = True
        self._framing_bytes = 0
        expects_continue = any(
            name == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )
        if expects_continue and self._transport is not None and not self._is_answering:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; one over the size limit is not kept."""
        self._framing_bytes = 0
        self._body_bytes += len(data)
        if self._body_bytes > self._limits().max_body_bytes:
            self._body.clear()
            return
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Validate the request; start it, or queue it behind the current one."""
        header_names = {name for name, _ in self._headers}
        host_headers = [value for name, value in self._headers if name == b"host"]
        too_large = self._body_bytes > self._limits().max_body_bytes
        keep_alive = self._parser.should_keep_alive()
        method = self._parser.get_method().decode("latin-1")
        request = RawRequest(
            method=method,
            target=self._url.decode("latin-1"),
            host=host_headers[0].decode("latin-1") if len(host_headers) == 1 else "",
            headers=tuple(self._headers),
            body=b"".join(self._body),
            has_body=bool(header_names & {b"content-length", b"transfer-encoding"}),
        )
        self._reset_message()
        if too_large:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        if len(host_headers) != 1 or not request.target.startswith("/"):
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        if not keep_alive:
            self._is_last_request = True
        if self._is_answering or self._pipelined:
            self._pipelined.append(request)
            if (
                len(self._pipelined) >= MAX_PIPELINED_REQUESTS
                and self._transport is not None
            ):
                self._transport.pause_reading()
            return
        self._start_request(request)

    def _start_request(self, request: RawRequest) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._cancel_timer()
        self._is_answering = True
        handler = self._on_request(self, request)
        if self._is_answering:
            self._handler = handler

    # Answers

    def write_answer(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Write a complete answer."""
        head = self._encode_head(status, headers) + b"content-length: %d\r\n\r\n" % len(
            body
        )
        self._write(head + body)
        self._finish_answer()

    def begin_answer(
        self, status: int, headers: Iterable[tuple[bytes, bytes]], data: bytes
    ) -> None:
        """Write the head of a chunked answer and its first chunk."""
        head = (
            self._encode_head(status, headers) + b"transfer-encoding: chunked\r\n\r\n"
        )
        self._write(head + _encode_chunk(data))

    def write_data(self, data: bytes) -> None:
        """Write another chunk of the answer that was begun."""
        self._write(_encode_chunk(data))

    def end_answer(self) -> None:
        """Write the last chunk of the answer that was begun."""
        self._write(b"0\r\n\r\n")
        self._finish_answer()

    def abort_answer(self) -> None:
        """Abort the connection, so that the caller sees a truncated answer."""
        self._is_answering = False
        self._handler = None
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
            self._transport.write(data)

    def _finish_answer(self) -> None:
        self._handler = None
        self._is_answering = False
        if self._transport is None or self._transport.is_closing():
            return
        if self._pipelined:
            request = self._pipelined.popleft()
            self._transport.resume_reading()
            # Scheduled rather than called, so that a long pipeline does not recurse.
            self._is_answering = True
            asyncio.get_running_loop().call_soon(self._start_request, request)
            return
        if self._rejection is not None:
            self._write_rejection(self._rejection)
            return
        self._has_answered = True
        if self._is_receiving:
            self._set_timer(self._limits().header_timeout_s)
        elif self._is_close_announced or self._is_last_request or self._is_draining():
            # The head of a long answer may have been sent before the host began to
            # stop; a further request on the connection would be broken off.
            self._transport.close()
        else:
            self._set_timer(self._limits().idle_timeout_s)

    def _reject(self, status: HTTPStatus) -> None:
        """Answer an unacceptable request with an error status and close.

        The requests before it are answered first.
        """
        self._is_receiving = False
        if self._is_answering:
            self._rejection = status
            return
        self._write_rejection(status)

    def _write_rejection(self, status: HTTPStatus) -> None:
        self._rejection = None
        self._is_last_request = True
        self._write(self._encode_head(status, ()) + b"content-length: 0\r\n\r\n")
        if self._transport is not None:
            self._transport.close()

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
        if self._is_answering:
            return
        if self._is_receiving and not self._in_body:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif self._is_receiving:
            limit_s = self._limits().idle_timeout_s
            silent_s = asyncio.get_running_loop().time() - self._last_data_s
            if silent_s >= limit_s:
                self._reject(HTTPStatus.REQUEST_TIMEOUT)
            else:
                self._set_timer(limit_s - silent_s)
        elif self._transport is not None:
            self._transport.close()


_KNOWN_STATUSES = frozenset(HTTPStatus)


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
