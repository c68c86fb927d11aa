"""HTTP server connection for the readiness and metrics ports."""

import asyncio
from collections.abc import Callable

import httptools

IDLE_TIMEOUT_S = 30.0
Answer = tuple[int, bytes]


class StatusServerConnection(asyncio.Protocol):
    """Connection whose requests are answered at once, from their target alone."""

    def __init__(self, answer: Callable[[str], Answer]) -> None:
        self._answer = answer
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle time-out."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._restart_timer()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(IDLE_TIMEOUT_S, self._transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the idle time-out."""
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a malformed request closes the connection."""
        self._restart_timer()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._transport is not None:
                self._transport.close()

    def on_message_begin(self) -> None:
        """Reset the request target."""
        self._url = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_message_complete(self) -> None:
        """Write the answer, and close the connection without keep-alive."""
        status, body = self._answer(self._url.decode("latin-1"))
        reason = b"OK" if status == 200 else b"Unavailable"
        head = b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\n" % (status, reason)
        if self._transport is not None:
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            self._transport.write(head + length + body)
            if not self._parser.should_keep_alive():
                self._transport.close()
