"""Stand-in for clients that respect no limits: raw sockets that send without end.

Number of clients, connections, bytes and time of a crowd are bounded.
"""

import selectors
import socket
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

import attrs

from standins.platform_config import API_KEY, HOST

SLICE_BYTES = 65_536
"""Bytes of one send call, so that all clients of a crowd make progress together."""
QUIET_S = 2.0
"""Time without a byte sent or received after which the clients are taken as stalled;
a host that parses one-byte chunks reads from each client less than once a second."""
MAX_SENDING_S = 10.0
"""Bound on the time in which a crowd sends, where a test sets no other."""
REOPEN_S = 0.1
"""Time after which a client whose connection was closed opens the next one."""
UNREAD_BUFFER_BYTES = 4096
"""Receive buffer of a client that does not read, so that the kernel keeps little of
the answers for it."""
POLL_INTERVAL_S = 0.1
SOURCES = tuple(f"127.0.0.{number}" for number in range(1, 9))
"""Addresses of the clients; the first one is also that of the ordinary callers."""

Address = tuple[str, int]


@attrs.frozen
class Script:
    """Bytes that one client sends: a head, and a block that is repeated."""

    head: bytes = b""
    block: bytes = b""
    repeats: int = 0
    reads: bool = True
    """Whether the client reads what the host answers."""
    read_bytes: int = SLICE_BYTES
    """Bytes of one read; the rest stays in the kernel until the next read."""
    read_pause_s: float = 0.0
    """Time between two reads."""
    awaits_answer: bool = False
    """Whether the client waits for an answer after it has sent everything."""
    connections: int = 1
    """Connections that the client opens, one after the other as the host closes them;
    one that was not established does not count."""
    reopen_s: float = REOPEN_S
    send_bytes: int = SLICE_BYTES
    """Bytes of one send call."""
    send_pause_s: float = 0.0
    """Time between two send calls."""


def request_head(path: str, *headers: str) -> bytes:
    """Return the head of a request that a route of the test configuration serves."""
    lines = (
        *(f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Api-Key: {API_KEY}"),
        *("Request-Id: crowd", "Deadline-Remaining: 60000", *headers),
    )
    return "\r\n".join((*lines, "\r\n")).encode()


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk of a body with chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Client:
    """One client with its current connection and its position in the script."""

    def __init__(self, target: Address, source: str, script: Script) -> None:
        self.script = script
        self.socket: socket.socket | None = None
        self._target = target
        self._source = source
        self.used_connections = 0
        self._has_answer = False
        self.reopen_s = 0.0
        """Time from which the client may open its next connection."""
        self.resume_s = 0.0
        """Time from which the client may read again."""
        self.is_paused = False
        self.resume_send_s = 0.0
        """Time from which the client may send again."""
        self.is_send_paused = False
        self._restart()

    def _restart(self) -> None:
        self._pending = memoryview(self.script.head)
        self._repeats_left = self.script.repeats
        self._is_connected = False

    @property
    def has_sent(self) -> bool:
        """Return whether nothing is left to send on the current connection."""
        return self._is_connected and not self._pending and not self._repeats_left

    @property
    def is_finished(self) -> bool:
        """Return whether the client has done what its script demands."""
        if self.socket is None:
            return self.used_connections >= self.script.connections
        return self.has_sent and (self._has_answer or not self.script.awaits_answer)

    def open(self) -> socket.socket | None:
        """Open the next connection; return None if that fails."""
        self._restart()
        self.socket = socket.socket()
        if not self.script.reads or self.script.read_pause_s:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES
            )
        try:
            self.socket.bind((self._source, 0))
            self.socket.setblocking(False)
            self.socket.connect_ex(self._target)
        except OSError:
            self.close()
        return self.socket

    def close(self) -> None:
        """Close the current connection."""
        if self.socket is not None:
            self.used_connections += self._is_connected
            self.reopen_s = time.monotonic() + self.script.reopen_s
            self.is_paused = False
            self.is_send_paused = False
            self.socket.close()
            self.socket = None

    def send(self) -> int:
        """Send the next bytes; return how many the network took.

        Raises BlockingIOError, or another OSError if the connection is closed.
        """
        assert self.socket is not None
        if not self._pending and self._repeats_left:
            self._repeats_left -= 1
            self._pending = memoryview(self.script.block)
        count = self.socket.send(self._pending[: self.script.send_bytes])
        self._pending = self._pending[count:]
        self._is_connected = True
        if self.script.send_pause_s:
            self.resume_send_s = time.monotonic() + self.script.send_pause_s
        return count

    def receive(self) -> int:
        """Read what the host sent; return how many bytes, 0 at the end of the stream.

        Raises BlockingIOError, or another OSError if the connection is closed.
        """
        assert self.socket is not None
        count = len(self.socket.recv(self.script.read_bytes))
        self._has_answer |= count > 0
        if self.script.read_pause_s:
            self.resume_s = time.monotonic() + self.script.read_pause_s
        return count


class Crowd:
    """Clients that send at the same time and keep their connections open afterwards.

    They send, and open new connections, until wait() is called and each has sent
    everything, or all of them stall, or max_sending_s is over. From then on they only
    read, until the close.
    """

    def __init__(
        self,
        targets: Sequence[Address],
        scripts: Sequence[Script],
        count: int,
        sources: Sequence[str] = SOURCES,
        max_sending_s: float = MAX_SENDING_S,
    ) -> None:
        """Spread count clients over targets, addresses, and over scripts in turn."""
        self._clients = [
            _Client(
                targets[number % len(targets)],
                sources[number % len(sources)],
                scripts[number // len(targets) % len(scripts)],
            )
            for number in range(count)
        ]
        self.received_bytes = 0
        """Bytes of all answers that the clients have read."""
        self._max_sending_s = max_sending_s
        self._selector = selectors.DefaultSelector()
        self._may_end = threading.Event()
        self._has_ended = threading.Event()
        self._is_closing = threading.Event()
        self._moved_s = 0.0
        """Time of the last byte that was sent or received."""
        self._thread = threading.Thread(target=self._run, daemon=True)

    @property
    def connection_count(self) -> int:
        """Return how many connections were established and closed again."""
        return sum(client.used_connections for client in self._clients)

    @property
    def is_sending(self) -> bool:
        """Return whether the clients still send or open connections."""
        return not self._has_ended.is_set()

    def start(self) -> None:
        """Start to send in a background thread."""
        self._thread.start()

    def wait(self) -> None:
        """Wait until the clients send no more."""
        self._moved_s = time.monotonic()
        self._may_end.set()
        self._has_ended.wait()

    def close(self) -> None:
        """Close all connections."""
        self._is_closing.set()
        self._thread.join()

    def _run(self) -> None:
        try:
            start_s = self._moved_s = time.monotonic()
            while not self._is_closing.is_set() and not self._is_over(start_s):
                self._open_connections()
                self._serve()
            for key in list(self._selector.get_map().values()):
                self._stop_sending(key.data)
            self._has_ended.set()
            while not self._is_closing.is_set():
                self._serve()
        finally:
            self._has_ended.set()
            for client in self._clients:
                client.close()
            self._selector.close()

    def _is_over(self, start_s: float) -> bool:
        now_s = time.monotonic()
        is_stalled = now_s - self._moved_s > QUIET_S
        has_sent = is_stalled or all(client.is_finished for client in self._clients)
        is_late = now_s - start_s > self._max_sending_s
        return is_late or (self._may_end.is_set() and has_sent)

    def _open_connections(self) -> None:
        now_s = time.monotonic()
        for client in self._clients:
            if client.socket is None and not client.is_finished:
                if now_s >= client.reopen_s and (opened := client.open()) is not None:
                    reads = selectors.EVENT_READ if client.script.reads else 0
                    events = selectors.EVENT_WRITE | reads
                    self._selector.register(opened, events, client)

    def _resume_readers(self) -> None:
        """Let the clients read again whose pause is over."""
        now_s = time.monotonic()
        for client in self._clients:
            if client.socket is not None and client.is_paused:
                if now_s < client.resume_s:
                    continue
                client.is_paused = False
                self._selector.register(client.socket, selectors.EVENT_READ, client)

    def _resume_senders(self) -> None:
        """Let the clients send again whose pause is over."""
        now_s = time.monotonic()
        for client in self._clients:
            if client.is_send_paused and now_s >= client.resume_send_s:
                client.is_send_paused = False
                reads = selectors.EVENT_READ if client.script.reads else 0
                events = selectors.EVENT_WRITE | reads
                self._selector.modify(client.socket, events, client)

    def _serve(self) -> None:
        self._resume_readers()
        self._resume_senders()
        ready = self._selector.select(POLL_INTERVAL_S)
        if not ready:
            # A selector without descriptors returns at once.
            self._is_closing.wait(POLL_INTERVAL_S / 10)
        for key, events in ready:
            try:
                self._move_bytes(key.data, events)
            except BlockingIOError:
                continue
            except OSError:
                self._selector.unregister(key.fileobj)
                key.data.close()
            else:
                self._pause_reader(key.data, events)

    def _pause_reader(self, client: _Client, events: int) -> None:
        """Take a client that has sent everything from the selector until it resumes."""
        if events == selectors.EVENT_READ and client.script.read_pause_s:
            client.is_paused = True
            self._selector.unregister(client.socket)

    def _move_bytes(self, client: _Client, events: int) -> None:
        """Read and send; raises OSError if the connection is closed or blocks."""
        if events & selectors.EVENT_READ:
            if not (count := client.receive()):
                raise ConnectionResetError("closed by the host")
            self.received_bytes += count
            self._moved_s = time.monotonic()
        if events & selectors.EVENT_WRITE:
            if client.send():
                self._moved_s = time.monotonic()
            if client.has_sent:
                self._stop_sending(client)
            elif client.script.send_pause_s:
                client.is_send_paused = True
                self._selector.modify(client.socket, selectors.EVENT_READ, client)

    def _stop_sending(self, client: _Client) -> None:
        assert client.socket is not None
        client.is_send_paused = False
        if client.script.reads:
            self._selector.modify(client.socket, selectors.EVENT_READ, client)
        else:
            self._selector.unregister(client.socket)


@contextmanager
def running_crowd(
    targets: Sequence[Address],
    *scripts: Script,
    count: int,
    sources: Sequence[str] = SOURCES,
    max_sending_s: float = MAX_SENDING_S,
) -> Iterator[Crowd]:
    """Provide a crowd that sends, and close it afterwards."""
    crowd = Crowd(targets, scripts, count, sources, max_sending_s)
    crowd.start()
    try:
        yield crowd
    finally:
        crowd.close()
