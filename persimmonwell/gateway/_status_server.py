"""HTTP server of the readiness, control and metrics ports.

Whoever reaches these ports may send or leave unread whatever he likes, so all that one
connection can hold is bounded: a head, one answer, and the time for each of them.
"""

import asyncio
from collections.abc import Callable
from functools import lru_cache

import httptools

from persimmonwell.core.resources import Charge, ConnectionTable, Pacer
from persimmonwell.platform import mask_keys

MAX_HEAD_BYTES = 8192
"""Bytes of one request, empty lines before it included. Probes send some 100."""
REQUEST_TIMEOUT_S = 5.0
"""Time from the first byte of a request to its last one; probes send it at once."""
IDLE_TIMEOUT_S = 30.0
"""Time without a request after which a connection is closed."""
UNREAD_ANSWER_TIMEOUT_S = 10.0
"""Time for a client to take an answer; a peer gives up after one second."""
MAX_CONNECTIONS = 32
"""Connections of one port. The platform, the metrics collector and the peers that start
at the same time hold a few; for a new one the oldest idle one is closed."""
ACCEPTS_PER_TURN = 8
"""Connections accepted in one turn of the event loop. A request is read two turns after
its connection was accepted; until then, at most half of MAX_CONNECTIONS may follow."""
ANSWERS_PER_TURN = 4
"""Pipelined requests of one connection that are answered in one turn of the event loop.
90 clients with buffers full of them held it for more than a second a turn."""
SLICE_BYTES = 65_536
"""Part of an answer that is handed to the transport, which keeps a copy of it."""
MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""Bytes of unsent answers of one port, twice the largest state that a peer accepts."""
ANSWER_VALIDITY_S = 0.1
"""Time for which an answer that is costly to build is used again."""

MAX_CONFIG_BYTES = 1024 * 1024
"""Size of a configuration that is shown, some 3,000 routes. The event loop builds the
answer, once for each version."""

Answer = tuple[int, bytes]


@lru_cache(maxsize=1)
def answer_config(document: bytes) -> Answer:
    """Return the answer with the configuration in force, without its API keys."""
    if not document:
        return 503, b'{"error": {"message": "no configuration is in force"}}'
    if len(document) <= MAX_CONFIG_BYTES:
        masked = mask_keys(document)
        if len(masked) <= MAX_CONFIG_BYTES:
            return 200, masked
    return 503, b'{"error": {"message": "the configuration is too large to be shown"}}'


class RecentAnswer:
    """Answer that is built again only after ANSWER_VALIDITY_S."""

    def __init__(
        self, build: Callable[[], bytes], *, clock: Callable[[], float]
    ) -> None:
        self._build = build
        self._clock = clock
        self._body = b""
        self._built_s = float("-inf")

    def read(self) -> bytes:
        """Return the answer, which all connections share."""
        now_s = self._clock()
        if now_s - self._built_s >= ANSWER_VALIDITY_S:
            self._body = self._build()
            self._built_s = now_s
        return self._body


class StatusServer:
    """Connections of one port, whose requests are answered from their target alone."""

    def __init__(
        self,
        answer: Callable[[str], Answer],
        *,
        clock: Callable[[], float],
        on_terminated: Callable[[str], None],
        charge: Charge,
        pacer: Pacer | None = None,
    ) -> None:
        self.answer = answer
        self._charge = charge
        """What the connections hold, which is never refused for lack of memory."""
        self.pacer = pacer or Pacer()
        self.on_terminated = on_terminated
        """Receives the reason for which the server closed a connection."""
        self._clock = clock
        self._connections = ConnectionTable[StatusServerConnection](
            bound=MAX_CONNECTIONS,
            is_idle=lambda connection: connection.is_idle,
            may_be_evicted=lambda connection: True,
        )

    @property
    def connection_count(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Return the size of the answers that were not handed to a transport yet."""
        return sum(connection.unsent_bytes for connection in self._connections)

    def update_charge(self) -> None:
        """Charge the buffers of the connections and the answers that they hold.

        Connections share an answer that is used again, so each is counted once.
        """
        held = list(self._connections)
        answers = {id(body): len(body) for c in held if (body := c.held_answer)}
        size = sum(connection.buffered_bytes for connection in held)
        self._charge.force(size + sum(answers.values()))

    def create_connection(self) -> "StatusServerConnection":
        """Return the protocol instance of a new connection."""
        return StatusServerConnection(self)

    def close(self) -> None:
        """Abort all connections."""
        for connection in self._connections:
            connection.abort()

    def connection_opened(self, connection: "StatusServerConnection") -> None:
        """Count a connection; close the one that has been idle for the longest."""
        admission = self._connections.add(connection, self._clock())
        if admission.evicted is not None:
            self.on_terminated("status_full")
            admission.evicted.abort()
        self.update_charge()

    def connection_closed(self, connection: "StatusServerConnection") -> None:
        """Forget a closed connection."""
        self._connections.remove(connection)
        self.update_charge()

    def record_progress(self, connection: "StatusServerConnection") -> None:
        """Record that a connection transferred data."""
        self._connections.record_progress(connection)

    def make_room(self, connection: "StatusServerConnection") -> None:
        """Abort other connections while too many bytes of answers are unsent.

        The first one is the one whose client has gone longest without reading.
        """
        excess = self.unsent_bytes - MAX_UNSENT_BYTES
        for other in self._connections:
            if excess <= 0:
                return
            if other is not connection and other.unsent_bytes:
                excess -= other.unsent_bytes
                self.on_terminated("status_unread")
                other.abort()


class StatusServerConnection(asyncio.BufferedProtocol):
    """Connection that takes one request after the other.

    Nothing is read while an answer is unsent, so that a client that does not read gets
    one answer and the next request is not even parsed.
    """

    def __init__(self, server: StatusServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray(MAX_HEAD_BYTES)
        self._received_bytes = 0
        self._unsent = memoryview(b"")
        self._is_answering = False
        self._is_paced = False
        """Whether the next request is answered only when the pacer permits it."""
        self._is_writing_paused = False
        self._closes_after_answer = False
        self._timer: asyncio.TimerHandle | None = None
        self._url = b""
        self._has_body = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return not self._is_answering and not self._received_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return the size of the part of the answer that the transport did not take."""
        return len(self._unsent)

    @property
    def held_answer(self) -> bytes:
        """Return the whole answer of which a part is unsent, empty without one."""
        return self._unsent.obj if self._unsent else b""  # type: ignore[return-value]

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the buffers to read and to send."""
        size = len(self._buffer)
        if self._is_writing_paused and self._transport is not None:
            size += self._transport.get_write_buffer_size()
        return size

    def abort(self) -> None:
        """Close the connection without sending the rest of an answer."""
        self._unsent = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()

    # asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle time-out."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # The transport reports when it has sent everything.
        transport.set_write_buffer_limits(high=0)
        self._server.connection_opened(self)
        self._set_timer(IDLE_TIMEOUT_S, self._close_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the time-out."""
        self._unsent = memoryview(b"")
        if self._timer is not None:
            self._timer.cancel()
        self._server.connection_closed(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the free part of the buffer; a full one has closed the connection."""
        return memoryview(self._buffer)[self._received_bytes :]

    def buffer_updated(self, nbytes: int) -> None:
        """Answer the complete requests in the buffer."""
        if self.is_idle:
            self._set_timer(REQUEST_TIMEOUT_S, self._end_slow_request)
        self._received_bytes += nbytes
        self._answer_requests()
        self._server.record_progress(self)

    def pause_writing(self) -> None:
        """Record that the transport has unsent data."""
        self._is_writing_paused = True
        self._server.update_charge()

    def resume_writing(self) -> None:
        """Send the next part of the answer, and then answer the next request."""
        self._is_writing_paused = False
        self._send()
        self._answer_requests()
        self._server.update_charge()
        self._server.record_progress(self)

    # Requests

    def _answer_requests(self) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for _ in range(ANSWERS_PER_TURN):
            if self._is_answering or self._is_paced or not self._is_open:
                return
            head = self._take_head()
            if head is None:
                return
            self._answer(head)
        if self._received_bytes and not self._is_answering and self._transport:
            now_s = loop.time()
            delay_s = self._server.pacer.delay_s(now_s - start_s, now_s)
            self._is_paced = True
            self._transport.pause_reading()
            loop.call_later(delay_s, self._begin_turn)

    def _begin_turn(self) -> None:
        """Answer the requests that waited for the turns of other connections."""
        self._is_paced = False
        if self._is_open and self._transport is not None:
            self._transport.resume_reading()
            self._answer_requests()

    @property
    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def _take_head(self) -> bytes | None:
        """Remove the first request from the buffer; return None if it is incomplete."""
        received = bytes(self._buffer[: self._received_bytes])
        begin = len(received) - len(received.lstrip(b"\r\n"))
        end = received.find(b"\r\n\r\n", begin)
        if end < 0:
            if self._received_bytes == MAX_HEAD_BYTES:
                self._terminate("status_head")
            return None
        end += 4
        rest = received[end:]
        self._buffer[: len(rest)] = rest
        self._received_bytes = len(rest)
        return received[begin:end]

    def _answer(self, head: bytes) -> None:
        self._url = b""
        self._has_body = False
        parser = httptools.HttpRequestParser(self)
        try:
            parser.feed_data(head)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._terminate("status_malformed")
            return
        if self._has_body:
            self._terminate("status_body")
            return
        status, body = self._server.answer(self._url.decode("latin-1"))
        self._closes_after_answer = not parser.should_keep_alive()
        self._is_answering = True
        self._set_timer(UNREAD_ANSWER_TIMEOUT_S, self._end_unread_answer)
        reason = b"OK" if status == 200 else b"Unavailable"
        lines = (
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
        )
        first = lines % (status, reason, len(body)) + body[:SLICE_BYTES]
        self._unsent = memoryview(body)[SLICE_BYTES:]
        if self._unsent:
            self._server.make_room(self)
        self._write(first)
        self._send()
        if self._is_answering and self._transport is not None:
            self._transport.pause_reading()

    # httptools

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Find out whether a body follows."""
        if name.lower() == b"transfer-encoding" or (
            name.lower() == b"content-length" and value.strip() != b"0"
        ):
            self._has_body = True

    # Answers

    def _write(self, data: bytes | memoryview) -> None:
        if self._is_open and self._transport is not None:
            self._transport.write(data)

    def _send(self) -> None:
        """Send the answer as far as the client reads it."""
        if not self._is_answering:
            return
        while self._unsent and not self._is_writing_paused:
            part = self._unsent[:SLICE_BYTES]
            self._unsent = self._unsent[SLICE_BYTES:]
            self._write(part)
        if self._is_writing_paused or self._transport is None:
            return
        self._is_answering = False
        if self._closes_after_answer:
            self._transport.close()
        elif self._received_bytes:
            self._set_timer(REQUEST_TIMEOUT_S, self._end_slow_request)
        else:
            self._set_timer(IDLE_TIMEOUT_S, self._close_idle)
        if not self._is_paced:
            self._transport.resume_reading()

    # Time-outs

    def _set_timer(self, delay_s: float, on_timeout: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, on_timeout)

    def _close_idle(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def _end_slow_request(self) -> None:
        self._terminate("status_slow")

    def _end_unread_answer(self) -> None:
        self._terminate("status_unread")

    def _terminate(self, reason: str) -> None:
        self._server.on_terminated(reason)
        self.abort()
