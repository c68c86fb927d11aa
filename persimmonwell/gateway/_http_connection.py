"""Exchange HTTP/1.1 messages with upstreams on an event loop."""

import asyncio
import socket
from collections.abc import Callable, Sequence
from typing import Protocol

import httptools

CONNECT_TIMEOUT_S = 0.5
"""Far above the round trip inside a region; a lost opening packet is sent again only
after a second, so another upstream is the better choice."""
USER_TIMEOUT_MS = 3000
"""Unacknowledged bytes end a connection whose peer lost power or is cut off."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_SKIPPED_ANSWERS = 2
"""Answers to earlier requests that are passed over on one connection."""

RawHeaders = Sequence[tuple[bytes, bytes]]


class AnswerHandler(Protocol):
    """Take the parts of one answer."""

    def on_head(self, status: int, headers: RawHeaders) -> None:
        """Take status and headers."""

    def on_data(self, data: bytes) -> None:
        """Take a piece of the body."""

    def on_end(self, *, is_framed: bool) -> None:
        """Take the end of a complete answer; unframed ones end by a close."""

    def on_broken(self, detail: str) -> None:
        """Take the end of a connection before the answer was complete."""


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Detect peers that vanished and send small messages at once."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


class UpstreamConnection(asyncio.Protocol):
    """Hold one connection, which carries one request at a time."""

    def __init__(
        self,
        *,
        answers_other: Callable[[int, RawHeaders, str], bool],
        on_idle: Callable[["UpstreamConnection"], None],
        on_lost: Callable[["UpstreamConnection"], None],
    ) -> None:
        self._answers_other = answers_other
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._handler: AnswerHandler | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._request_id = ""
        self._skipping = False
        self._skipped = 0
        self._in_message = False
        self._is_framed = True
        self._reusable = True
        self._got_eof = False
        self.address = ""
        self.uses = 0
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None

    @property
    def is_open(self) -> bool:
        """Return whether requests can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the connection up."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_socket_options(transport)

    def send(self, data: bytes, request_id: str, handler: AnswerHandler) -> None:
        """Send one request; the handler gets the answer."""
        assert self._transport is not None and self._handler is None
        self._handler = handler
        self._request_id = request_id
        self._skipped = 0
        self.uses += 1
        self._transport.write(data)

    def abort(self) -> None:
        """Drop the connection; the handler is not called any more."""
        self._handler = None
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self._handler = None
        if self._transport is not None:
            self._transport.close()

    def pause_reading(self) -> None:
        """Stop taking data until resume_reading."""
        if self.is_open and self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Take data again."""
        if self.is_open and self._transport is not None:
            self._transport.resume_reading()

    # asyncio

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._handler is None:
            # Bytes that belong to no request, such as a second answer.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as error:
            self._break(f"no HTTP: {type(error).__name__}")
        except httptools.HttpParserUpgrade:
            self._break("protocol upgrade")

    def eof_received(self) -> bool:
        """Note an orderly end, which completes an answer without a length."""
        self._got_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the answer in progress."""
        handler, self._handler = self._handler, None
        self._on_lost(self)
        if handler is None:
            return
        if exc is None and self._got_eof and self._in_message and not self._is_framed:
            handler.on_end(is_framed=False)
            return
        handler.on_broken(type(exc).__name__ if exc is not None else "closed")

    def _break(self, detail: str) -> None:
        handler, self._handler = self._handler, None
        self.abort()
        if handler is not None:
            handler.on_broken(detail)

    # httptools

    def on_message_begin(self) -> None:
        """Start an answer."""
        if self._handler is None:
            self._reusable = False
            return
        self._headers = []
        self._in_message = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on, or skip an answer to another request."""
        status = self._parser.get_status_code()
        if self._handler is None or status < 200:
            return
        self._in_message = True
        names = {name.lower() for name, _ in self._headers}
        self._is_framed = bool(names & {b"content-length", b"transfer-encoding"})
        self._skipping = self._answers_other(status, self._headers, self._request_id)
        if self._skipping:
            self._skipped += 1
            if not self._is_framed or self._skipped > MAX_SKIPPED_ANSWERS:
                raise ValueError("an answer to another request")
            return
        self._handler.on_head(status, self._headers)

    def on_body(self, data: bytes) -> None:
        """Pass a piece of the body on."""
        if self._handler is not None and not self._skipping:
            self._handler.on_data(data)

    def on_message_complete(self) -> None:
        """End the answer and offer the connection for the next request."""
        if not self._in_message:
            return
        self._in_message = False
        if self._skipping:
            self._skipping = False
            return
        handler, self._handler = self._handler, None
        if handler is None:
            return
        transport = self._transport
        # A replica that answered early still reads the rest of the request body.
        unsent = transport is None or transport.get_write_buffer_size() > 0
        keep = self._parser.should_keep_alive() and self._is_framed and not unsent
        asyncio.get_running_loop().call_soon(self._settle, keep)
        handler.on_end(is_framed=self._is_framed)

    def _settle(self, keep: bool) -> None:
        if keep and self._reusable and self.is_open and self._handler is None:
            self._on_idle(self)
        elif self._handler is None:
            self.close()


class ConnectionPool:
    """Hold idle connections by address."""

    def __init__(
        self,
        *,
        answers_other: Callable[[int, RawHeaders, str], bool],
        clock: Callable[[], float],
        default_idle_s: float,
    ) -> None:
        self._answers_other = answers_other
        self._clock = clock
        self._default_idle_s = default_idle_s
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0
        """Connections made since the start."""

    def take_idle(
        self, address: str, *, max_idle_s: float
    ) -> UpstreamConnection | None:
        """Return the connection that idled least, if any idled short enough."""
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            idle_s = self._clock() - connection.idle_since_s
            if not connection.is_open:
                continue
            if idle_s > min(max_idle_s, self._limit_s(connection)):
                connection.close()
                continue
            return connection
        return None

    def _limit_s(self, connection: UpstreamConnection) -> float:
        # A margin for the request's way to a replica that closes at its limit.
        stated_s = connection.keep_alive_s
        return self._default_idle_s if stated_s is None else max(0.0, stated_s - 0.5)

    async def connect(self, address: str) -> UpstreamConnection:
        """Open a connection; raise OSError or TimeoutError."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(
                    answers_other=self._answers_other,
                    on_idle=self._put_idle,
                    on_lost=self._forget,
                ),
                host,
                int(port),
            )
        connection.address = address
        return connection

    def _put_idle(self, connection: UpstreamConnection) -> None:
        connection.idle_since_s = self._clock()
        self._idle.setdefault(connection.address, []).append(connection)

    def _forget(self, connection: UpstreamConnection) -> None:
        connections = self._idle.get(connection.address, [])
        if connection in connections:
            connections.remove(connection)

    def close_expired(self) -> None:
        """Close connections that idled for longer than their limit."""
        for address, connections in list(self._idle.items()):
            for connection in list(connections):
                idle_s = self._clock() - connection.idle_since_s
                if idle_s > self._limit_s(connection) or not connection.is_open:
                    connections.remove(connection)
                    connection.close()
            if not connections:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
