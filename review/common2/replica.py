"""Stand-in for a replica of a plain service, on raw sockets."""

import contextlib
import socket
import threading
import time


class Request:
    """Head of a request; the body is read on demand."""

    def __init__(self, method: str, target: str, headers: dict, reader) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self._reader = reader
        self.rest = int(headers.get("content-length", "0"))

    @property
    def request_id(self) -> str:
        """Return the id, empty for calls without one."""
        return self.headers.get("request-id", "")

    def read_body(self, count: int = -1) -> bytes:
        """Read all of the body that is left, or a part of it."""
        size = self.rest if count < 0 else min(count, self.rest)
        data = self._reader.read(size)
        self.rest -= len(data)
        return data


def head(status: int, headers: dict) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Replica:
    """One replica; run(connection, request) answers what is to be run."""

    def __init__(
        self, replica_id: str, service: str, run, *, zone: str = "muscat-a"
    ) -> None:
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.state = "ready"
        self._run = run
        self._beats = 0
        self._stop = threading.Event()
        self._connections: set[socket.socket] = set()
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.born = int(time.time() * 1000)
        threading.Thread(target=self._accept, daemon=True).start()

    def entry(self, **values: object) -> dict:
        """Return the entry in the store."""
        self._beats += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 96,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self._beats,
            "born": self.born,
            **values,
        }

    def report(self, store) -> None:
        """Write the entry."""
        store.put("keyed.servers", self.replica_id, self.entry())

    def keep_registered(self, store) -> None:
        """Write the entry every 1.2 s until close."""

        def beat() -> None:
            while not self._stop.is_set():
                self.report(store)
                self._stop.wait(1.2)

        threading.Thread(target=beat, daemon=True).start()

    def close(self) -> None:
        """Stop the heartbeats and accept no further connection."""
        self._stop.set()
        self._socket.close()

    def exit(self) -> None:
        """End as a process does: all connections are closed, also those in use."""
        self.close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = connection.makefile("rb")
        self._connections.add(connection)
        try:
            with contextlib.suppress(OSError, ValueError), connection:
                while (request := self._read(reader)) is not None:
                    if not self._answer(connection, request):
                        return
                    request.read_body()
        finally:
            self._connections.discard(connection)

    def _read(self, reader) -> Request | None:
        line = reader.readline().decode("latin-1")
        if not line.strip():
            return None
        method, target, _ = line.split(" ", 2)
        headers = {}
        while (line := reader.readline().decode("latin-1").strip()) != "":
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return Request(method, target, headers, reader)

    def _answer(self, connection: socket.socket, request: Request) -> bool:
        expected = request.headers.get("expect-instance", self.replica_id)
        size = {"Content-Length": "0"}
        if expected != self.replica_id:
            request.read_body()
            named = {"Request-Id": request.request_id}
            instance = {"Instance-Id": self.replica_id}
            connection.sendall(head(421, {**named, **instance, **size}))
            return True
        if not request.request_id:
            request.read_body()
            connection.sendall(head(400, {"Not-Executed": "1", **size}))
            return True
        return self._run(connection, request)
