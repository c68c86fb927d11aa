"""Stand in for a replica of the users' platform, over raw sockets.

Raw sockets, because a replica also breaks HTTP: it resets, sends a second answer or
one without a length.
"""

import json
import socket
import struct
import threading
import time
from typing import Any

import attrs

STREAM_EVENTS = 6
EVENT_INTERVAL_S = 0.01


@attrs.frozen
class Received:
    """Hold one request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class PlatformReplica:
    """Hold one replica's answers and faults.

    Faults: shed (answer 503, not run), error (status 500), reset_at (event at which
    the stream resets), stall_at, extra (a second answer follows), unframed (no
    length), garbage, delay_s, cut_body (a reset within the body), alive (False: no
    answer to reports), reset (no answer at all).
    """

    def __init__(self, replica_id: str, *, service: str, zone: str) -> None:
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.faults: dict[str, Any] = {}
        self.received: list[Received] = []
        self.orders: list[dict[str, Any]] = []
        self.connections = 0
        self.broken = 0
        """Requests whose connection closed while their answer was sent."""
        self.stalled: dict[str, str] = {}
        self.layers: dict[str, int] | None = None
        self.stream_events = STREAM_EVENTS
        self.event_interval_s = EVENT_INTERVAL_S
        self.has_reports = True
        """Whether it serves a model; plain services have no reports."""
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._open: set[socket.socket] = set()

    @property
    def address(self) -> str:
        """Return the bound address, numeric IP and port."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    def entry(self, **values: Any) -> dict[str, Any]:
        """Return the replica's entry in the registry."""
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        if self.layers is not None:
            entry |= {"kind": "big", "layers": self.layers}
        return {**entry, **values}

    def start(self) -> None:
        """Serve until closed."""
        self._thread.start()

    def close(self) -> None:
        """Stop serving and drop all connections."""
        self._socket.close()
        for connection in list(self._open):
            _reset(connection)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.connections += 1
            self._open.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = connection.makefile("rb")
        try:
            while (request := _read_request(file)) is not None:
                if not self._answer(connection, request):
                    break
        except (OSError, ValueError):
            self.broken += 1
        finally:
            self._open.discard(connection)
            connection.close()

    def _answer(self, connection: socket.socket, request: Received) -> bool:
        if request.target == "/persimmonwell/report":
            if self.faults.get("alive") is False:
                time.sleep(2.0)
                return False
            if not self.has_reports:
                # A plain service knows no reports and misses the request's id.
                connection.sendall(_plain(400, {"Not-Executed": "1"}, b""))
                return True
            connection.sendall(_plain(200, {}, json.dumps(self._report()).encode()))
            return True
        if request.target == "/persimmonwell/order":
            self.orders.append(json.loads(request.body))
            connection.sendall(_plain(202, {}, b"{}"))
            return True
        return self._run(connection, request)

    def _report(self) -> dict[str, Any]:
        rows = [{"id": k, "address": v} for k, v in self.stalled.items()]
        report = {"stage": "both", "busy": False, "sequence": len(self.orders)}
        return {**report, "kv_used": 0, "kv_total": 10**9, "stalled": rows}

    def _run(self, connection: socket.socket, request: Received) -> bool:
        request_id = request.headers.get("request-id", "")
        head = {"Request-Id": request_id, "Response-Seal": f"seal-{self.replica_id}"}
        if request.headers.get("expect-instance") != self.replica_id:
            connection.sendall(_plain(421, {"Instance-Id": self.replica_id}, b""))
            return True
        if self.faults.get("shed"):
            connection.sendall(_plain(503, {"Not-Executed": "1"}, b""))
            return True
        self.received.append(request)
        time.sleep(self.faults.get("delay_s", 0.0))
        if self.faults.get("garbage"):
            connection.sendall(b"this is not HTTP\r\n\r\n")
            return False
        if self.faults.get("reset"):
            _reset(connection)
            return False
        if "hop-count" in request.headers:
            return self._stream(connection, request, head)
        body = f"{self.replica_id} {request.method} {request.target}".encode()
        status = 500 if self.faults.get("error") else 200
        if self.faults.get("unframed"):
            answer = _head(status, head) + b"\r\n" + body
            connection.sendall(answer)
            return False
        answer = _plain(status, head, body)
        if self.faults.get("cut_body"):
            connection.sendall(answer[:-3])
            _reset(connection)
            return False
        extra = self.faults.get("extra")
        if extra == "now":
            answer += answer
        connection.sendall(answer)
        if extra == "late":
            # Arrives where the next request on this connection expects its answer.
            self.faults.pop("extra")
            time.sleep(0.05)
            connection.sendall(_plain(200, {**head, "Request-Id": "other"}, b"foreign"))
        return True

    def _stream(
        self, connection: socket.socket, request: Received, head: dict[str, str]
    ) -> bool:
        head = {**head, "Content-Type": "text/event-stream"}
        chunked = {**head, "Transfer-Encoding": "chunked"}
        connection.sendall(_head(200, chunked) + b"\r\n")
        first = int(request.headers.get("last-event-id", "0")) + 1
        request_id = request.headers["request-id"]
        for number in range(first, self.stream_events + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            if number == self.faults.get("reset_at"):
                connection.sendall(_chunk(event[:-7]))
                time.sleep(0.02)
                _reset(connection)
                return False
            if number == self.faults.get("stall_at"):
                time.sleep(3.0)
            connection.sendall(_chunk(event))
            time.sleep(self.event_interval_s)
        connection.sendall(b"0\r\n\r\n")
        return True


def _read_request(file: Any) -> Received | None:
    line = file.readline().decode("latin-1")
    if not line.strip():
        return None
    method, target, _ = line.split(" ", 2)
    headers: dict[str, str] = {}
    while (line := file.readline().decode("latin-1").strip()) != "":
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = file.read(int(headers.get("content-length", "0")))
    return Received(method, target, headers, body)


def _head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n").encode("latin-1")


def _plain(status: int, headers: dict[str, str], body: bytes) -> bytes:
    length = {"Content-Length": str(len(body))}
    return _head(status, {**headers, **length}) + b"\r\n" + body


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _reset(connection: socket.socket) -> None:
    """Close a connection so that the peer sees a reset."""
    option = struct.pack("ii", 1, 0)
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
        connection.close()
    except OSError:
        return
