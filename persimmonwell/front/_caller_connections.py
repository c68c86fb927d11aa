"""Connections of one port: their number, the progress of their requests, their end."""

import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from enum import Enum, auto
from functools import partial
from typing import Any

from cheroot import errors
from cheroot.makefile import StreamReader, StreamWriter
from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest

from persimmonwell._exceptions import OverloadedError
from persimmonwell.core.resources import (
    CallerPolicy,
    ConnectionTable,
    Progress,
    RefusalReason,
    choose_stalled,
)
from persimmonwell.front._caller_memory import BodyReservation, CallerMemory

MAX_HEADER_LINES = 256
"""Header lines of a request; each costs ten times the bytes of a short line."""
READ_BYTES = 65_536
"""Part of a body that is read at once; cheroot's reader reserves all that is asked for
before the first byte arrives."""
DISCARD_SLICE_BYTES = 65_536
FULL_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nPersimmonwell-Outcome: not-run\r\n"
    b"Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
"""Answer to a connection for which there is no room; it is written unread."""


class Phase(Enum):
    """What a connection does."""

    WAITING = auto()
    """It has no request, and no thread."""
    QUEUED = auto()
    """Bytes of a request have arrived, and it waits for a thread."""
    READING = auto()
    """A thread reads its request."""
    RUNNING = auto()
    """A thread runs its request or writes the answer."""


class _ObservedIO(socket.SocketIO):
    """Socket stream that records what its connection receives."""

    def __init__(self, connection: "CallerConnection", sock: Any) -> None:
        super().__init__(sock, "rb")
        self._connection = connection

    def readinto(self, buffer: Any) -> int | None:
        """Read bytes; raise TimeoutError if the host has ended the transfer."""
        count = super().readinto(buffer)
        if count:
            self._connection.record_received(count)
        elif self._connection.is_timed_out:
            raise TimeoutError("timed out")
        return count


class _Reader(StreamReader):
    """Buffered reader of a connection."""

    def __init__(
        self, connection: "CallerConnection", sock: Any, mode: str, size: int
    ) -> None:
        super().__init__(sock, mode, size)
        self._raw = _ObservedIO(connection, sock)


class _HeaderReader(HeaderReader):
    """Header reader that drops header names with underscores.

    WSGI maps underscores and hyphens to the same key, so such a header could pass
    as another one. cheroot's own reader for this case expects str names and fails
    on the bytes that it is given.
    """

    def _allow_header(self, key_name: bytes) -> bool:
        return b"_" not in key_name


class _HeaderLines:
    """Lines of one head, bounded in number."""

    def __init__(self, lines: Any) -> None:
        self._lines = lines
        self._count = 0

    def readline(self) -> bytes:
        """Return the next line; raise MaxSizeExceeded if there are too many."""
        self._count += 1
        if self._count > MAX_HEADER_LINES:
            raise errors.MaxSizeExceeded
        return bytes(self._lines.readline())


FULL_PAUSE_S = 0.001
"""Pause of the thread that accepts after it has closed a connection for a new one.
Without it, clients that come back at once were accepted faster than threads read."""


class CallerRequest(HTTPRequest):
    """Request whose head is bounded, and whose memory is credited back at its end."""

    header_reader = _HeaderReader()

    def read_request_headers(self) -> bool:
        """Read the headers; raise MaxSizeExceeded if there are too many."""
        self.rfile = _HeaderLines(self.rfile)
        return bool(super().read_request_headers())  # type: ignore[no-untyped-call]

    def respond(self) -> None:
        """Run the request and write the answer."""
        try:
            super().respond()
        finally:
            self.conn.release_body()

    def send_headers(self) -> None:
        """Write the head of the answer.

        cheroot would read the rest of a refused body into memory to keep the
        connection.
        """
        if getattr(self.rfile, "remaining", 0) > 0:
            self.close_connection = True
            self.conn.has_unread_body = True
        super().send_headers()


class CallerConnection(HTTPConnection):
    """Connection with what is known about its request."""

    RequestHandlerClass = CallerRequest

    def __init__(self, server: Any, sock: Any, makefile: Any = None) -> None:
        super().__init__(server, sock, partial(_open_file, self))
        self._connections: CallerConnections = server.caller_connections
        self.phase = Phase.WAITING
        self.progress = Progress(time.monotonic())
        self.is_counted = False
        self.has_waited_for_data = False
        self.is_evicted = False
        self.is_timed_out = False
        """Whether the host has ended the transfer of the request."""
        self.is_closed = False
        self.has_unread_body = False
        self.body: BodyReservation | None = None

    def record_received(self, count: int) -> None:
        """Record bytes of the request."""
        self._connections.record_received(self, count)

    def communicate(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        if not self._connections.begin_request(self):
            return False
        is_kept = bool(super().communicate())  # type: ignore[no-untyped-call]
        self.release_body()
        return is_kept and self._connections.end_request(self)

    def read_body(self, read: Callable[[int], bytes], length: int) -> bytes:
        """Return a body of an announced length, or less if the client ends it.

        Waits until there is memory for it; raise OverloadedError if there is none.
        """
        if not length:
            return b""
        self.body = body = self._connections.reserve(self, length)
        data = bytearray()
        while len(data) < length:
            part = read(min(READ_BYTES, length - len(data)))
            if not part:
                break
            data += part
            body.add_received(len(part))
        body.end_receiving()
        return bytes(data)

    def release_body(self) -> None:
        """Credit the memory of the request's body back."""
        body, self.body = self.body, None
        if body is not None:
            body.close()

    def run_request(self) -> None:
        """Record that the request has arrived and runs from now on."""
        self._connections.run_request(self)

    def shut_down(self) -> None:
        """End the connection without closing its descriptor, from any thread."""
        _shutdown(self.socket, socket.SHUT_RDWR)

    def time_out(self) -> None:
        """End the transfer of the request; the client gets 408."""
        self.is_timed_out = True
        self.has_unread_body = True
        _shutdown(self.socket, socket.SHUT_RD)

    def close(self) -> None:
        """Close the connection once; after a refusal, let the client read that."""
        if not self._connections.forget(self):
            return
        self.release_body()
        if self.has_unread_body and not self.is_evicted:
            self._discard(self._connections.policy)
        super().close()

    def _discard(self, policy: CallerPolicy) -> None:
        """Read and drop what the client still sends, within bounds.

        The system resets a connection that is closed with unread bytes, and the client
        loses the refusal.
        """
        _shutdown(self.socket, socket.SHUT_WR)
        end_s = time.monotonic() + policy.discard_s
        left = policy.discard_bytes
        with suppress(OSError, ValueError):
            while left > 0 and (wait_s := end_s - time.monotonic()) > 0:
                self.socket.settimeout(wait_s)
                count = len(self.socket.recv(DISCARD_SLICE_BYTES))
                if not count:
                    return
                left -= count


def _open_file(
    connection: CallerConnection, sock: Any, mode: str, size: int = -1
) -> Any:
    if "r" in mode:
        return _Reader(connection, sock, mode, size)
    return StreamWriter(sock, mode, size)


def _shutdown(sock: Any, how: int) -> None:
    # The method of a TLS socket would end its encryption for the thread that uses it.
    with suppress(OSError, ValueError):
        socket.socket.shutdown(sock, how)


class CallerConnections:
    """Open connections of one port, bounded in number; used by all its threads."""

    def __init__(
        self,
        *,
        bound: int,
        memory: CallerMemory,
        count_ended: Callable[[str], None],
    ) -> None:
        self.memory = memory
        self.policy = memory.policy
        self._count_ended = count_ended
        self._lock = threading.Lock()
        self._table: ConnectionTable[CallerConnection] = ConnectionTable(
            bound=bound,
            is_idle=lambda connection: connection.phase is Phase.WAITING,
            may_be_evicted=self._may_be_evicted,
            address_of=lambda connection: connection.remote_addr or "",
        )
        self._reading: set[CallerConnection] = set()
        self._may_evict_reading = False
        """Whether a thread reads a request that may be closed."""

    def __len__(self) -> int:
        """Return how many connections are open."""
        with self._lock:
            return len(self._table)

    def _may_be_evicted(self, connection: CallerConnection) -> bool:
        """Return whether a connection may be closed for a new one.

        One that waits for a thread is older than those that threads read from, and
        comes after them: clients that never end a request otherwise keep all threads.
        """
        if connection.phase is Phase.QUEUED:
            return not self._may_evict_reading
        return connection.phase is not Phase.RUNNING

    def admit(self, connection: CallerConnection) -> bool:
        """Count a new connection; return False after refusing it for lack of room."""
        with self._lock:
            self._may_evict_reading = not all(c.is_evicted for c in self._reading)
            admission = self._table.add(connection, time.monotonic())
            evicted = [c for c in (admission.evicted, admission.aborted) if c]
            queued = [c for c in evicted if c.phase is Phase.QUEUED]
            for other in evicted:
                other.is_evicted = True
        for other in evicted:
            # The selector or the thread that has the others closes them.
            if other in queued:
                other.close()
            else:
                other.shut_down()
        if admission.is_admitted:
            if evicted:
                self._count_ended("callers_full")
                time.sleep(FULL_PAUSE_S)
            return True
        self._count_ended("callers_full")
        with suppress(OSError, ValueError):
            connection.socket.setblocking(False)
            connection.socket.send(FULL_RESPONSE)
        connection.close()
        return False

    def queue(self, connection: CallerConnection) -> bool:
        """Record that a connection waits for a thread; return False if it is ended."""
        with self._lock:
            if connection.is_evicted:
                return False
            connection.phase = Phase.QUEUED
            self._table.record_progress(connection)
            return True

    def begin_request(self, connection: CallerConnection) -> bool:
        """Record that a thread reads a request; return False if it is ended."""
        with self._lock:
            if connection.is_evicted or connection.is_closed:
                return False
            connection.phase = Phase.READING
            connection.progress = Progress(time.monotonic())
            self._reading.add(connection)
            return True

    def run_request(self, connection: CallerConnection) -> None:
        """Record that the request of a connection has arrived."""
        with self._lock:
            connection.phase = Phase.RUNNING
            self._reading.discard(connection)
            self._table.record_progress(connection)

    def end_request(self, connection: CallerConnection) -> bool:
        """Record that a connection has no request; return False if it is ended."""
        with self._lock:
            self._reading.discard(connection)
            connection.phase = Phase.WAITING
            self._table.record_progress(connection)
            return not connection.is_evicted

    def record_received(self, connection: CallerConnection, count: int) -> None:
        """Record bytes of a request."""
        with self._lock:
            connection.progress.add(count, time.monotonic())
            self._table.record_progress(connection)

    def forget(self, connection: CallerConnection) -> bool:
        """Record that a connection is closed; return False if it was before."""
        with self._lock:
            was_closed, connection.is_closed = connection.is_closed, True
            self._reading.discard(connection)
            self._table.remove(connection)
            return not was_closed

    def end_slow(self, *, waiting: int) -> None:
        """End requests that arrive too slowly, and stalled ones if others wait.

        `waiting` is the number of requests that wait for a thread.
        """
        now_s = time.monotonic()
        policy = self.policy
        with self._lock:
            reading = [c for c in self._reading if not c.is_timed_out]
            slow = [
                connection
                for connection in reading
                if connection.progress.is_below(
                    policy.min_body_bytes_per_s, policy.body_window_s, now_s
                )
            ]
            # A body that waits for memory is not read, and has another bound.
            idle_s = {
                c: self._stalled_s(c.progress, now_s)
                for c in reading
                if not c.progress.is_paused
            }
        stalled = choose_stalled(idle_s, needed=waiting, stall_s=policy.stall_s)
        for connection in {*slow, *stalled}:
            connection.time_out()
            self._count_ended(RefusalReason.SLOW_BODY.value)

    def _stalled_s(self, progress: Progress, now_s: float) -> float:
        """Return the time without progress; single bytes are no progress.

        Clients that send a byte now and then would otherwise hold all threads.
        """
        idle_s, observed_s = progress.idle_s(now_s), progress.observed_s(now_s)
        is_slow = progress.bytes_per_s(now_s) < self.policy.min_body_bytes_per_s
        if is_slow and observed_s >= self.policy.stall_s:
            return max(idle_s, self.policy.stall_s)
        return idle_s

    def reserve(self, connection: CallerConnection, length: int) -> BodyReservation:
        """Return the memory of a body, after waiting for it if there is none.

        Raise OverloadedError if the wait is too long or too many bodies wait.
        """
        with self._lock:
            connection.progress.pause(time.monotonic())
        address = connection.remote_addr or ""

        def end() -> None:
            connection.time_out()
            self._count_ended(RefusalReason.NO_MEMORY.value)

        try:
            return self.memory.reserve(address, length, end)
        except OverloadedError:
            self._count_ended(RefusalReason.NO_MEMORY.value)
            raise
        finally:
            with self._lock:
                connection.progress.resume(time.monotonic())
