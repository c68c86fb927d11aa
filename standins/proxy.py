"""TCP proxy on loopback with injectable network faults."""

import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterable

RECV_BYTES = 65536
POLL_INTERVAL_S = 0.1
"""Longest time until a change of the mode resets an idle connection."""

Filter = Callable[[bytes, bool], Iterable[tuple[float, bytes]]]
"""Returns what is forwarded in place of bytes that arrived from the caller, or from the
server if the flag is set: pieces, each with a time to wait before it. It raises OSError
to close the connection."""


def forward_unchanged(data: bytes, from_server: bool) -> Iterable[tuple[float, bytes]]:
    """Forward all bytes at once."""
    return ((0.0, data),)


class FaultyProxy:
    """Forwards connections to one target according to its mode.

    Modes: pass, delay (0.2 s per chunk), silent (drops data in both directions),
    one_way (drops data from the target only), reset (closes connections).
    open_filter returns the filter of a new connection.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.mode = "pass"
        self.open_filter: Callable[[], Filter] = lambda: forward_unchanged

    @property
    def address(self) -> str:
        """Bound address as numeric IP and port."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Start serving in a background thread."""
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._relay, args=(caller,), daemon=True).start()

    def _relay(self, caller: socket.socket) -> None:
        try:
            with (
                caller,
                socket.create_connection(self._target, timeout=2) as server,
                # select() takes no descriptors above 1,023.
                selectors.DefaultSelector() as selector,
            ):
                for each in (caller, server):
                    each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(caller, selectors.EVENT_READ, server)
                selector.register(server, selectors.EVENT_READ, caller)
                change = self.open_filter()
                while True:
                    ready = [key for key, _ in selector.select(POLL_INTERVAL_S)]
                    if self.mode == "reset":
                        return
                    for key in ready:
                        source = caller if key.fileobj is caller else server
                        from_server = source is server
                        if not self._relay_chunk(source, key.data, from_server, change):
                            return
        except OSError:
            return

    def _relay_chunk(
        self,
        source: socket.socket,
        sink: socket.socket,
        from_server: bool,
        change: Filter,
    ) -> bool:
        data = source.recv(RECV_BYTES)
        if not data:
            return False
        if self.mode == "delay":
            time.sleep(0.2)
        is_dropped = self.mode == "silent" or (self.mode == "one_way" and from_server)
        if not is_dropped:
            for pause_s, piece in change(data, from_server):
                time.sleep(pause_s)
                sink.sendall(piece)
        return True
