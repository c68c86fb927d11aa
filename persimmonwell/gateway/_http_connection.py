"""HTTP/1.1 client connection to one upstream."""

import asyncio
import re
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

import httptools

from persimmonwell.core.resources import (
    SMALL_BODY_BYTES,
    UPLOAD_BUFFER_BYTES,
)
from persimmonwell.gateway._socket_options import (
    TCP_USER_TIMEOUT_MS,
    set_buffer_sizes,
    set_socket_options,
)

MAX_SKIPPED_ANSWERS = 2
"""Answers to earlier requests that are skipped while one request waits."""
MAX_SKIPPED_BYTES = 262_144
"""Body bytes of skipped answers while one request waits."""
BODY_SLICE_BYTES = 262_144
"""Largest part of a request body that is handed to the transport at once."""
WRITE_HIGH_WATER_BYTES = 65_536
"""Unsent bytes to one upstream above which no further slice of a body is written."""
MAX_FRAMING_BYTES = 65_536
"""Bytes without a byte of a body: heads, chunk sizes with their extensions, trailers. A
faulty replica may send them without end."""
MIN_STATUS = 100
MAX_STATUS = 599
"""Range of the status codes; a head with another one is no answer (RFC 9110, 15)."""
MIN_FINAL_STATUS = 200
"""Lower ones are interim: they have no body, and the answer follows."""

_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")

RawHeaders = Sequence[tuple[bytes, bytes]]


class AnswerMatch(Enum):
    """What the request id in the head of an answer says."""

    SAME_REQUEST = "same_request"
    OTHER_REQUEST = "other_request"
    UNNAMED = "unnamed"
    JOINED = "joined"
    """The head holds the bytes of two answers."""


MatchAnswer = Callable[[int, RawHeaders, str], AnswerMatch]
"""Compares the status and the headers of an answer with the id of a request."""


class AnswerHandler(Protocol):
    """Receiver of the parts of one answer."""

    def on_head(self, status: int, headers: RawHeaders) -> None:
        """Receive the status and the headers."""

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_end(self, *, is_framed: bool) -> None:
        """Receive the end of a complete answer; an unframed one ends by a close."""

    def on_broken(self, detail: str) -> None:
        """Receive the failure of a connection before the answer was complete."""


class UpstreamConnection(asyncio.Protocol):
    """Connection to an upstream, which carries one request at a time."""

    def __init__(
        self,
        *,
        match_answer: MatchAnswer,
        on_idle: Callable[["UpstreamConnection"], None],
        on_lost: Callable[["UpstreamConnection"], None],
    ) -> None:
        self._match_answer = match_answer
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._handler: AnswerHandler | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._reason = b""
        self._request_id = ""
        self._is_skipping = False
        self._skipped_count = 0
        self._skipped_bytes = 0
        self._framing_bytes = 0
        self._in_message = False
        self._is_framed = True
        self._is_reusable = True
        self._received_eof = False
        self._unsent_body: memoryview | None = None
        self._is_write_paused = False
        self.address = ""
        self.use_count = 0
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the transport is connected and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport, user_timeout_ms=TCP_USER_TIMEOUT_MS)

    def send(
        self,
        data: bytes,
        request_id: str,
        handler: AnswerHandler,
        body: bytes | bytearray | memoryview = b"",
    ) -> None:
        """Send one request, whose answer goes to the handler.

        The body is written in slices, as fast as the upstream takes them.
        """
        assert self._transport is not None and self._handler is None
        self._handler = handler
        self._request_id = request_id
        self._skipped_count = self._skipped_bytes = self._framing_bytes = 0
        self.use_count += 1
        self._transport.write(data)
        if body:
            self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
            if len(body) > SMALL_BODY_BYTES:
                # Charged with the upload; see RequestBody.
                sock = self._transport.get_extra_info("socket")
                set_buffer_sizes(sock, send_bytes=UPLOAD_BUFFER_BYTES)
            self._unsent_body = memoryview(body)
            self._write_body()

    def _write_body(self) -> None:
        """Write slices of the body until the write buffer is full."""
        while self._unsent_body is not None and not self._is_write_paused:
            if self._transport is None or self._transport.is_closing():
                self._unsent_body = None
                return
            part = self._unsent_body[:BODY_SLICE_BYTES]
            rest = self._unsent_body[BODY_SLICE_BYTES:]
            self._unsent_body = rest if rest else None
            self._transport.write(part)

    def abort(self) -> None:
        """Abort the connection without further calls of the handler."""
        self._handler = None
        self._unsent_body = None
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self._handler = None
        self._unsent_body = None
        if self._transport is not None:
            self._transport.close()

    def pause_reading(self) -> None:
        """Pause the transport until resume_reading is called."""
        if self.is_open and self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume the transport."""
        if self.is_open and self._transport is not None:
            self._transport.resume_reading()

    # asyncio

    def data_received(self, data: bytes) -> None:
        """Feed the parser; data without a request in progress aborts the connection."""
        if self._handler is None:
            # The data belongs to no request; it may be an unsolicited second answer.
            self.abort()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as error:
            cause = error.__context__ or error
            reason = cause if isinstance(cause, ValueError) else type(error).__name__
            self._fail(f"no valid answer: {reason}")
        except httptools.HttpParserUpgrade:
            self._fail("protocol upgrade")
        else:
            if self._framing_bytes > MAX_FRAMING_BYTES and self._handler is not None:
                self._fail(f"{self._framing_bytes} bytes without an answer")

    def pause_writing(self) -> None:
        """Stop writing the body: the write buffer is full."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Continue writing the body."""
        self._is_write_paused = False
        self._write_body()

    def eof_received(self) -> bool:
        """Record the end of the stream, which completes an answer without a length."""
        self._received_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end or the failure of the answer in progress."""
        handler, self._handler = self._handler, None
        self._unsent_body = None
        self._on_lost(self)
        if handler is None:
            return
        if (
            exc is None
            and self._received_eof
            and self._in_message
            and not self._is_framed
        ):
            handler.on_end(is_framed=False)
            return
        handler.on_broken(type(exc).__name__ if exc is not None else "closed")

    def _fail(self, detail: str) -> None:
        handler, self._handler = self._handler, None
        self.abort()
        if handler is not None:
            handler.on_broken(detail)

    # httptools

    def on_message_begin(self) -> None:
        """Reset the headers; an unsolicited answer rules out reuse."""
        if self._handler is None:
            self._is_reusable = False
            return
        self._headers = []
        self._reason = b""
        self._in_message = False

    def on_status(self, reason: bytes) -> None:
        """Add a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Hand the head to the handler, or skip an answer to another request."""
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise ValueError(f"status {status:03}")
        _check_not_joined(self._reason)
        for _, value in self._headers:
            _check_not_joined(value)
        if self._handler is None or status < MIN_FINAL_STATUS:
            return
        self._in_message = True
        names = {name.lower() for name, _ in self._headers}
        self._is_framed = bool(names & {b"content-length", b"transfer-encoding"})
        match = self._match_answer(status, self._headers, self._request_id)
        if match is AnswerMatch.JOINED:
            raise ValueError("two answers in one head")
        if match is AnswerMatch.UNNAMED and self.use_count > 1:
            # It may repeat the answer to an earlier request, such as a refusal.
            raise ValueError("an answer without a request id")
        self._is_skipping = match is AnswerMatch.OTHER_REQUEST
        if self._is_skipping:
            self._skipped_count += 1
            if not self._is_framed or self._skipped_count > MAX_SKIPPED_ANSWERS:
                raise ValueError("an answer to another request")
            return
        self._handler.on_head(status, self._headers)

    def on_body(self, data: bytes) -> None:
        """Hand a part of the body to the handler."""
        self._framing_bytes = 0
        if self._handler is None:
            return
        if not self._in_message:
            raise ValueError("an interim answer with a body")
        if not self._is_skipping:
            self._handler.on_data(data)
            return
        self._skipped_bytes += len(data)
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise ValueError("a long answer to another request")

    def on_message_complete(self) -> None:
        """End the answer and return the connection to the pool, if it is reusable."""
        if not self._in_message:
            return
        self._in_message = False
        if self._is_skipping:
            self._is_skipping = False
            return
        handler, self._handler = self._handler, None
        if handler is None:
            return
        transport = self._transport
        # A replica may answer before it has read the whole request body.
        has_unsent_data = (
            transport is None
            or self._unsent_body is not None
            or transport.get_write_buffer_size() > 0
        )
        self._unsent_body = None
        may_reuse = (
            self._parser.should_keep_alive() and self._is_framed and not has_unsent_data
        )
        asyncio.get_running_loop().call_soon(self._release, may_reuse)
        handler.on_end(is_framed=self._is_framed)

    def _release(self, may_reuse: bool) -> None:
        if may_reuse and self._is_reusable and self.is_open and self._handler is None:
            # The caller of the last answer may have paused it, and is gone.
            self.resume_reading()
            self._on_idle(self)
        elif self._handler is None:
            self.close()


def _check_not_joined(text: bytes) -> None:
    """Raise ValueError for a part of a head that was cut before another answer.

    The next status line becomes a part of the value or the phrase that was cut.
    """
    if _STATUS_LINE.search(text):
        raise ValueError("two answers in one head")
