"""Forward TCP connections on loopback and misbehave on demand."""

import select
import socket
import threading
import time

CHUNK = 65536


class FaultyProxy:
    """Hold a loopback proxy in front of one address.

    Modes: pass, delay (0.2 s a chunk), silent (nothing is passed on), one_way (answers
    are lost), reset (connections end at once).
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.mode = "pass"

    @property
    def address(self) -> str:
        """Return the bound address, numeric IP and port."""
        host, port = self._listener.getsockname()[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Serve until closed."""
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop taking connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._carry, args=(caller,), daemon=True).start()

    def _carry(self, caller: socket.socket) -> None:
        try:
            with caller, socket.create_connection(self._target, timeout=2) as server:
                pairs = {caller: server, server: caller}
                while True:
                    ready, _, _ = select.select(list(pairs), [], [], 0.1)
                    if self.mode == "reset":
                        return
                    for end in ready:
                        if not self._pass_on(end, pairs[end], end is server):
                            return
        except OSError:
            return

    def _pass_on(
        self, source: socket.socket, sink: socket.socket, is_answer: bool
    ) -> bool:
        data = source.recv(CHUNK)
        if not data:
            return False
        if self.mode == "delay":
            time.sleep(0.2)
        lost = self.mode == "silent" or (self.mode == "one_way" and is_answer)
        if not lost:
            sink.sendall(data)
        return True
