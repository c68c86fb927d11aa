"""Stand-in for a replica of the users' platform.

It uses raw sockets because some faults violate HTTP: connection resets, a second
response to one request, or a response without a length.
"""

import contextlib
import json
import math
import socket
import struct
import threading
import time
from collections.abc import Callable
from typing import Any

import attrs

STREAM_EVENTS = 6
EVENT_INTERVAL_S = 0.01
SEALED_HEAD = b"HTTP/1.1 200 OK\r\nResponse-Seal: flood\r\nRequest-Id: %s\r\n"
CHUNKED_HEAD = SEALED_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FLOODS: dict[str, tuple[bytes, bytes]] = {
    "headers": (SEALED_HEAD, b"X-More: 0123456789abcdef\r\n"),
    "header line": (SEALED_HEAD + b"X-Long: ", b"0123456789abcdef"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"),
    "chunk size": (CHUNKED_HEAD, b"0"),
    "chunk extension": (CHUNKED_HEAD + b"5;x=", b"0123456789abcdef"),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-More: 0123456789abcdef\r\n"),
    "unsealed body": (b"HTTP/1.1 200 OK\r\n\r\n", b"0123456789abcdef"),
    "error body": (
        b"HTTP/1.1 500 Error\r\nResponse-Seal: flood\r\n\r\n",
        b"0123456789abcdef",
    ),
    "answer to another": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"10\r\n0123456789abcdef\r\n",
    ),
    "report": (b"HTTP/1.1 200 OK\r\n\r\n", b'{"stalled": [], '),
    "event": (SEALED_HEAD + b"\r\nid: 1\ndata: ", b"0123456789abcdef"),
    "comments": (SEALED_HEAD + b"\r\n", b": still here\n\n"),
}
"""Beginning of a response, and the bytes that are repeated after it without end."""
ENDLESS_BODY = (
    SEALED_HEAD + b"Content-Length: 1000000000000\r\n\r\n",
    b"0123456789abcdef",
)
"""Beginning of a success and its body, which a caller may want to read for long."""
FLOOD_REPEATS = 4096


@attrs.frozen
class ReceivedRequest:
    """HTTP request as the replica received it; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class Spoil:
    """One byte of an event that a replica sends in place of another one."""

    event: int
    offset: int
    """Offset in the event; a negative one counts from its end."""
    byte: int

    def apply(self, event: bytes) -> bytes:
        """Return the event with the byte."""
        spoiled = bytearray(event)
        spoiled[self.offset] = self.byte
        return bytes(spoiled)


@attrs.frozen
class Arrival:
    """Request that reached a replica, with what its answer states."""

    at_s: float
    request_id: str
    is_leaving: bool
    hold_off_s: float | None


class PlatformReplica:
    """HTTP server of one replica with injectable faults.

    Faults: shed (503 without running the request), shed_once, hold_off (text of the
    Retry-After of refusals), leaving (all answers state that it leaves), error (status
    500), status (of the answer to a plain request that it runs), reset_at (event number
    at which the stream resets), stall_at (event number, for stall_s), comments_at
    (event number before which only comments follow), extra (a second response follows
    "now" or "late"), copy_late_s (a second copy of the response follows after this
    time), unframed (no Content-Length), garbage (not HTTP), delay_s, cut_body (resets
    within the body), alive (False: reports time out), reset (resets without a
    response), flood (a key of FLOODS or "body", until the caller closes), report_flood
    (the same in response to one report request), deadly_part (id of a prompt part; the
    replica crashes when it begins to answer a request with it, and starts again after
    restart_s, if that is given), deadly_after (events or, for a plain body, bytes
    that are sent before that crash, at the end of the answer at the latest; None, the
    default, for none but a stream's head), limit (requests a second that its answers
    state, as text), repeat_refusal (each refusal is written once more when the next
    request arrives on its connection; "unnamed" leaves its request id out), spoil (a
    Spoil: one byte of one event of each stream), cut_head (closes within the head,
    after so many of its lines), resume_answer (bytes that answer the resumption of a
    stream, before a close), raw_answer (bytes that answer any request, before a
    close, or a reset with raw_reset), pad_bytes (number of zero bytes in front of the
    body of a plain answer).
    """

    def __init__(self, replica_id: str, *, service: str, zone: str) -> None:
        self.replica_id = replica_id
        self.service = service
        self.zone = zone
        self.faults: dict[str, Any] = {}
        self.received: list[ReceivedRequest] = []
        self.received_at_s: list[float] = []
        self.arrivals: list[Arrival] = []
        self.orders: list[dict[str, Any]] = []
        self.connections = 0
        self.flooded_bytes = 0
        """Bytes of floods that the network took."""
        self.is_flooding = False
        self.broken_connections = 0
        """Number of connections that failed while a request was read or answered."""
        self.stalled: dict[str, str] = {}
        """Address of the stalled stage by request id, as listed in reports."""
        self.layers: dict[str, int] | None = None
        self.stream_events = STREAM_EVENTS
        self.event_interval_s = EVENT_INTERVAL_S
        self.work_s = 0.0
        """Time before each answer, unless the fault delay_s is set."""
        self.serves_reports = True
        """Whether the replica answers report requests; plain services do not."""
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=128)
        self._address: tuple[str, int] = self._socket.getsockname()[:2]
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._crash_lock = threading.Lock()
        self._is_closed = False
        self.started_at_ms = int(time.time() * 1000)
        self.crashed_at_s: list[float] = []
        self.on_restart: Callable[[], None] = lambda: None
        self._open_connections: set[socket.socket] = set()
        self._refusals: dict[socket.socket, bytes] = {}
        """Refusals that are written once more, by connection."""

    @property
    def address(self) -> str:
        """Bound address as numeric IP and port."""
        host, port = self._address
        return f"{host}:{port}"

    def entry(self, **values: Any) -> dict[str, Any]:
        """Return the replica's registry entry, with some fields replaced."""
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
        """Start serving in a background thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop accepting and reset all open connections."""
        with self._crash_lock:
            self._is_closed = True
            self._stop_serving()

    def _stop_serving(self) -> None:
        with contextlib.suppress(OSError):
            # Without it a thread in accept() takes one more connection.
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        connections = list(self._open_connections)
        self._open_connections.clear()
        for connection in connections:
            with contextlib.suppress(OSError):
                # A thread that reads it would keep it open.
                connection.shutdown(socket.SHUT_RDWR)
            _reset_connection(connection)

    def _crash(self) -> None:
        """Drop all connections, and start again later if restart_s is set."""
        with self._crash_lock:
            if self._is_closed or self._socket.fileno() < 0:
                return
            self.crashed_at_s.append(time.monotonic())
            self._stop_serving()
            restart_s = self.faults.get("restart_s")
            if restart_s is not None:
                timer = threading.Timer(restart_s, self._restart)
                timer.daemon = True
                timer.start()

    def _restart(self) -> None:
        with self._crash_lock:
            if self._is_closed:
                return
            self._socket = socket.create_server(self._address, backlog=128)
            self.started_at_ms = int(time.time() * 1000)
        threading.Thread(target=self._accept, daemon=True).start()
        self.on_restart()

    def _accept(self) -> None:
        listener = self._socket
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with self._crash_lock:
                if listener.fileno() < 0:
                    # It was accepted while the replica crashed.
                    _reset_connection(connection)
                    return
                self.connections += 1
                self._open_connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            file = connection.makefile("rb")
            while (request := _read_request(file)) is not None:
                # Between the resets of a crash no other connection is answered.
                if connection not in self._open_connections:
                    break
                if not self._handle_request(connection, request):
                    break
        except (OSError, ValueError):
            self.broken_connections += 1
        finally:
            self._open_connections.discard(connection)
            self._refusals.pop(connection, None)
            connection.close()

    def _handle_request(
        self, connection: socket.socket, request: ReceivedRequest
    ) -> bool:
        leaving = self._leaving_header()
        if request.target == "/persimmonwell/report":
            if self.faults.get("alive") is False:
                time.sleep(2.0)
                return False
            if not self.serves_reports:
                # A plain service has no report path and rejects the missing request id.
                headers = {"Not-Executed": "1", **leaving}
                connection.sendall(_build_response(400, headers, b""))
                return True
            if self.faults.pop("report_flood", None):
                return self._flood(connection, "report", "")
            connection.sendall(
                _build_response(200, leaving, json.dumps(self._report()).encode())
            )
            return True
        if request.target == "/persimmonwell/order":
            self.orders.append(json.loads(request.body))
            connection.sendall(_build_response(202, leaving, b"{}"))
            return True
        return self._run_request(connection, request)

    def _leaving_header(self) -> dict[str, str]:
        return {"Server-Leaving": "1"} if self.faults.get("leaving") else {}

    def _report(self) -> dict[str, Any]:
        rows = [{"id": k, "address": v} for k, v in self.stalled.items()]
        report = {"stage": "both", "busy": False, "sequence": len(self.orders)}
        return {**report, "kv_used": 0, "kv_total": 10**9, "stalled": rows}

    def _run_request(self, connection: socket.socket, request: ReceivedRequest) -> bool:
        if (refusal := self._refusals.pop(connection, None)) is not None:
            connection.sendall(refusal)
        request_id = request.headers.get("request-id", "")
        leaving = self._leaving_header()
        response_headers = {
            "Request-Id": request_id,
            "Response-Seal": f"seal-{self.replica_id}",
            **leaving,
        }
        if limit := self.faults.get("limit"):
            response_headers["Server-Limit"] = limit
        if request.headers.get("expect-instance") != self.replica_id:
            connection.sendall(
                _build_response(421, {"Instance-Id": self.replica_id}, b"")
            )
            return True
        is_shed = bool(self.faults.get("shed") or self.faults.pop("shed_once", None))
        stated_s = self.faults.get("hold_off") if is_shed else None
        self.arrivals.append(
            Arrival(
                at_s=time.monotonic(),
                request_id=request_id,
                is_leaving=bool(self.faults.get("leaving")),
                hold_off_s=_finite_seconds(stated_s),
            )
        )
        if is_shed:
            refusal = {"Not-Executed": "1", "Request-Id": request_id}
            refusal |= leaving
            if (hold_off := self.faults.get("hold_off")) is not None:
                refusal["Retry-After"] = hold_off
            answer = _build_response(503, refusal, b"")
            connection.sendall(answer)
            self._schedule_copy(connection, answer)
            if repeat := self.faults.get("repeat_refusal"):
                if repeat == "unnamed":
                    answer = _build_response(503, {"Not-Executed": "1"}, b"")
                self._refusals[connection] = answer
            return True
        self.received.append(request)
        self.received_at_s.append(time.monotonic())
        time.sleep(self.faults.get("delay_s", self.work_s))
        if self.faults.get("garbage"):
            connection.sendall(b"this is not HTTP\r\n\r\n")
            return False
        if self.faults.get("reset"):
            _reset_connection(connection)
            return False
        if (line_count := self.faults.get("cut_head")) is not None:
            head = _build_response(200, response_headers, b"").split(b"\r\n")
            connection.sendall(b"\r\n".join(head[:line_count]))
            return False
        if (raw := self.faults.get("raw_answer")) is not None:
            connection.sendall(raw.replace(b"%s", request_id.encode()))
            if self.faults.get("raw_reset"):
                _reset_connection(connection)
            return bool(self.faults.get("raw_kept"))
        if flood := self.faults.get("flood"):
            return self._flood(connection, flood, request_id)
        if "hop-count" not in request.headers and self._has_deadly_part(request):
            if self.faults.get("deadly_after"):
                part = _build_response(200, response_headers, b"x" * 99)
                connection.sendall(part[: -99 + self.faults["deadly_after"]])
                time.sleep(0.02)
            self._crash()
            return False
        if "hop-count" in request.headers:
            return self._stream(connection, request, response_headers)
        body = bytes(self.faults.get("pad_bytes", 0))
        body += f"{self.replica_id} {request.method} {request.target}".encode()
        status = self.faults.get("status", 500 if self.faults.get("error") else 200)
        if self.faults.get("unframed"):
            answer = _build_head(status, response_headers) + b"\r\n" + body
            connection.sendall(answer)
            return False
        answer = _build_response(status, response_headers, body)
        if self.faults.get("cut_body"):
            connection.sendall(answer[:-3])
            _reset_connection(connection)
            return False
        extra = self.faults.get("extra")
        if extra == "now":
            answer += answer
        connection.sendall(answer)
        self._schedule_copy(connection, answer)
        if extra == "late":
            # Read by the client as the response to its next request on this connection.
            self.faults.pop("extra")
            time.sleep(0.05)
            connection.sendall(
                _build_response(
                    200, {**response_headers, "Request-Id": "other"}, b"foreign"
                )
            )
        return True

    def _schedule_copy(self, connection: socket.socket, answer: bytes) -> None:
        delay_s = self.faults.pop("copy_late_s", None)
        if delay_s is not None:
            threading.Timer(delay_s, _send_quietly, (connection, answer)).start()

    def _flood(self, connection: socket.socket, flood: str, request_id: str) -> bool:
        head, repeated = ENDLESS_BODY if flood == "body" else FLOODS[flood]
        connection.sendall(head.replace(b"%s", request_id.encode()))
        block = repeated * FLOOD_REPEATS
        self.is_flooding = True
        try:
            while True:
                connection.sendall(block)
                self.flooded_bytes += len(block)
        finally:
            self.is_flooding = False

    def _stream(
        self,
        connection: socket.socket,
        request: ReceivedRequest,
        response_headers: dict[str, str],
    ) -> bool:
        if "last-event-id" in request.headers and "resume_answer" in self.faults:
            connection.sendall(self.faults["resume_answer"])
            return False
        response_headers = {**response_headers, "Content-Type": "text/event-stream"}
        chunked = {**response_headers, "Transfer-Encoding": "chunked"}
        connection.sendall(_build_head(200, chunked) + b"\r\n")
        deadly_after = self.faults.get("deadly_after")
        is_deadly = self._has_deadly_part(request)
        if is_deadly and deadly_after is None:
            time.sleep(0.02)
            self._crash()
            return False
        first = int(request.headers.get("last-event-id", "0")) + 1
        request_id = request.headers.get("request-id", "")
        for number in range(first, self.stream_events + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            spoil = self.faults.get("spoil")
            if spoil is not None and number == spoil.event:
                event = spoil.apply(event)
            if is_deadly and number == first + deadly_after:
                time.sleep(0.02)
                self._crash()
                return False
            if number == self.faults.get("reset_at"):
                connection.sendall(_chunk(event[:-7]))
                time.sleep(0.02)
                _reset_connection(connection)
                return False
            if number == self.faults.get("stall_at"):
                time.sleep(self.faults.get("stall_s", 3.0))
            if number == self.faults.get("comments_at"):
                while True:
                    connection.sendall(_chunk(b": still here\n\n"))
                    time.sleep(0.1)
            connection.sendall(_chunk(event))
            time.sleep(self.event_interval_s)
        if is_deadly:
            self._crash()
            return False
        connection.sendall(b"0\r\n\r\n")
        return True

    def _has_deadly_part(self, request: ReceivedRequest) -> bool:
        part_id = self.faults.get("deadly_part")
        prefix = request.headers.get("prompt-prefix", "")
        return part_id in [entry.partition(":")[0] for entry in prefix.split(",")]


def _read_request(file: Any) -> ReceivedRequest | None:
    line = file.readline().decode("latin-1")
    if not line.strip():
        return None
    method, target, _ = line.split(" ", 2)
    headers: dict[str, str] = {}
    while (line := file.readline().decode("latin-1").strip()) != "":
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = file.read(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body)


def _build_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n").encode("latin-1")


def _build_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    length = {"Content-Length": str(len(body))}
    return _build_head(status, {**headers, **length}) + b"\r\n" + body


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _finite_seconds(text: str | None) -> float | None:
    try:
        seconds = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0 else None


def _send_quietly(connection: socket.socket, data: bytes) -> None:
    try:
        connection.sendall(data)
    except OSError:
        return


def _reset_connection(connection: socket.socket) -> None:
    """Close a connection with a TCP reset: SO_LINGER with a zero timeout."""
    linger = struct.pack("ii", 1, 0)
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
    except OSError:
        return
