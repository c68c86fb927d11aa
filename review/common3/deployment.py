"""Stand-ins of a small deployment: store, replicas, clients, hosts as processes.

Only the standard library is used. All addresses are loopback addresses. The stand-ins
speak what PROTOCOL.md says; what one of them does otherwise is set by the case.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
HOST = "lanes.example"
KEY = "k0f3a9c2d1"
TENANT = "hule930"
LAYERS = 80
HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 3.0
ZONES = ("muscat-a", "muscat-b", "muscat-c")
LOAD_S = 1.0
STARTED_S = time.monotonic()


def now_s() -> float:
    """Return the seconds since the start of the script."""
    return time.monotonic() - STARTED_S


_taken_ports: set[int] = set()


def free_port(ip: str = "127.0.0.1", count: int = 1) -> int:
    """Return the first of some free ports, for TCP and UDP.

    They come from a range of this process, so that cases may run beside each other.
    """
    first = 20_000 + os.getpid() % 100 * 100
    while True:
        port = random.randrange(first, first + 101 - count)
        numbers = range(port, port + count)
        try:
            for number in numbers:
                with (
                    socket.socket() as tcp,
                    socket.socket(type=socket.SOCK_DGRAM) as udp,
                ):
                    tcp.bind((ip, number))
                    udp.bind((ip, number))
        except OSError:
            continue
        if _taken_ports.isdisjoint(numbers):
            _taken_ports.update(numbers)
            return port


class Record:
    """Lines about what was sent, answered and run, for record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")

    def line(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{now_s():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line, and print it too."""
        self.line(text)
        print(text, flush=True)


@dataclass
class Request:
    """Request as a server received it; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the request id."""
        return self.headers.get("request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store, as far as the system uses it."""

    def __init__(self) -> None:
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._members: dict[str, dict[str, float]] = {}
        self._generation = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start serving."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def put(self, topic: str, key: str, document: Any) -> None:
        """Append a record; None removes the key."""
        value = b"" if document is None else json.dumps(document).encode()
        self._topics.setdefault(topic, []).append((key, value))
        asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self._answer(request)
                writer.write(encode_answer(status, {}, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, bytes]:
        path, _, query_text = request.target.partition("?")
        query = dict(parse_qsl(query_text))
        call = path.rpartition("/")[2]
        records = self._topics.setdefault(query.get("topic", ""), [])
        if call == "log-newest":
            newest = {key: offset for offset, (key, _) in enumerate(records)}
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(records[offset][1]).decode(),
                    "offset": offset,
                }
                for key, offset in sorted(newest.items())
                if records[offset][1] and key > query.get("after", "")
            ]
            answer = {"items": items, "has_more": False, "end": len(records)}
            return 200, json.dumps(answer).encode()
        if call == "log-read":
            start = int(query["from"])
            wait_s = int(query.get("wait_ms", "0")) / 1000
            if wait_s and len(records) <= start:
                async with self._changed:
                    try:
                        await asyncio.wait_for(
                            self._changed.wait_for(lambda: len(records) > start), wait_s
                        )
                    except TimeoutError:
                        pass
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes((len(key),)) + key.encode() + value
                data += struct.pack(">I", len(content)) + content
            return 200, data
        document = json.loads(request.body)
        members = self._members.setdefault(document["group"], {})
        if call == "log-leave":
            if members.pop(document["member"], None) is not None:
                self._generation += 1
            return 200, json.dumps({"generation": self._generation}).encode()
        if call == "log-join":
            for name, until_s in list(members.items()):
                if until_s < now_s():
                    del members[name]
                    self._generation += 1
            if document["member"] not in members:
                self._generation += 1
            members[document["member"]] = now_s() + document["ttl_ms"] / 1000
            is_owner = next(iter(members)) == document["member"]
            parts = [[topic, 0, 0] for topic in document["topics"] if is_owner]
            answer = {"generation": self._generation, "parts": parts}
            return 200, json.dumps(answer).encode()
        return 400, b"{}"


def stream_head(replica: "Replica", request: Request) -> bytes:
    """Return the head of a stream in chunks."""
    headers = {
        **replica.sealed(request),
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode()


Behaviour = Callable[["Replica", Request, asyncio.StreamWriter], Awaitable[bool]]


class Replica:
    """A replica of a service, which registers itself in the store.

    `behave` answers a request that is run, and returns whether the connection is kept.
    """

    def __init__(
        self,
        site: "Site",
        replica_id: str,
        *,
        service: str,
        zone: str,
        slots: int,
        behave: Behaviour,
        kind: str = "",
    ) -> None:
        self.site = site
        self.id = replica_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.kind = kind
        self.behave = behave
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.extra_headers: dict[str, str] = {}
        self.state = "ready"
        self.beats = True
        self.active = 0
        self.is_up = False
        self._reset()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None

    def _reset(self) -> None:
        self.born = int(time.time() * 1000)
        self.heartbeat = 0
        self.layers: tuple[int, int] | None = None
        self.busy = False
        self.orders = 0

    async def start(self) -> None:
        """Start serving and registering."""
        self._reset()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.is_up = True
        self._beat = asyncio.create_task(self._beat_on())

    def entry(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.heartbeat += 1
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.heartbeat,
            "born": self.born,
        }
        if self.kind:
            entry["kind"] = self.kind
            entry["busy"] = self.busy
            if self.layers is not None:
                start, stop = self.layers
                entry["layers"] = {"from": start, "to": stop, "version": 1}
        return entry

    def register(self) -> None:
        """Write a heartbeat."""
        self.site.store.put("keyed.servers", self.id, self.entry())

    async def _beat_on(self) -> None:
        while True:
            if self.beats:
                self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, back_s: float | None) -> None:
        """Drop all connections with a reset; start again, empty, after back_s."""
        if not self.is_up:
            return
        self.stop()
        self.site.record.line(f"{self.id} crashes")
        if back_s is not None:
            asyncio.get_running_loop().call_later(
                back_s, lambda: asyncio.create_task(self._come_back())
            )

    async def _come_back(self) -> None:
        if not self.site.is_closing:
            await self.start()
            self.site.record.line(f"{self.id} is back")

    def stop(self) -> None:
        """End the replica at once."""
        self.is_up = False
        self.active = 0
        if self._server is not None:
            self._server.close()
        if self._beat is not None:
            self._beat.cancel()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_up:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._handle(request, writer):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        expected = request.headers.get("expect-instance")
        if expected is not None and expected != self.id:
            writer.write(encode_answer(421, {"Instance-Id": self.id}, b""))
            return True
        if request.target == "/persimmonwell/report" and self.kind:
            writer.write(encode_answer(200, self.extra_headers, self._report()))
            return True
        if request.target == "/persimmonwell/order" and self.kind:
            status = self._take_order(json.loads(request.body))
            writer.write(encode_answer(status, self.extra_headers, b"{}"))
            return True
        if not request.id:
            headers = {"Not-Executed": "1", **self.extra_headers}
            writer.write(encode_answer(400, headers, b""))
            return True
        self.site.record.line(f"{self.id} gets {request.id} {request.target}")
        answer = {"Request-Id": request.id, **self.extra_headers}
        hops = request.headers.get("hop-count", "")
        if self.kind and not self._holds(hops):
            writer.write(encode_answer(421, {**answer, "At-Server": self.address}, b""))
            return True
        if self.active >= self.slots:
            headers = {**answer, "Not-Executed": "1", "At-Server": self.address}
            writer.write(encode_answer(503, headers, b""))
            return True
        self.site.runs.append((now_s(), self.id, request))
        self.active += 1
        born = self.born
        try:
            return await self.behave(self, request, writer)
        finally:
            if self.born == born:
                self.active = max(0, self.active - 1)

    def _holds(self, hops: str) -> bool:
        first = hops.split(",")[0]
        _, _, span = first.partition("=")
        if self.layers is None or not span:
            return False
        start, stop = map(int, span.split("-"))
        return self.layers[0] <= start and stop <= self.layers[1]

    def _report(self) -> bytes:
        report = {
            "stage": "both",
            "models": [],
            "busy": self.busy,
            "sequence": self.orders,
            "queued": 0,
            "active": self.active,
            "kv_used": 0,
            "kv_total": 4_000_000,
            "handles": 0,
            "pace": 1,
            "stalled": [],
        }
        return json.dumps(report).encode()

    def _take_order(self, order: dict[str, Any]) -> int:
        if order.get("op") != "place":
            return 404
        wanted = (order["from"], order["to"])
        if self.layers == wanted:
            return 200
        if self.busy or order.get("expect", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.busy = True
        self.layers = None
        self.site.record.line(f"{self.id} loads layers {wanted}")
        asyncio.get_running_loop().call_later(LOAD_S, self._loaded, wanted, self.born)
        return 202

    def _loaded(self, wanted: tuple[int, int], born: int) -> None:
        if self.born == born and self.is_up:
            self.busy = False
            self.layers = wanted
            self.register()

    def sealed(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer of this replica."""
        return {
            "Request-Id": request.id,
            "Response-Seal": f"{self.id}.{request.id}",
            **self.extra_headers,
        }


@dataclass
class Answer:
    """What a client got for one request."""

    request_id: str
    sent_s: float
    status: int = 0
    """0 for a connection that ended without the head of an answer."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    first_s: float | None = None
    """When the first part of the body arrived."""
    ended_s: float = 0.0

    @property
    def is_served(self) -> bool:
        """Return whether this is a complete success with a seal."""
        return (
            self.is_complete and self.status == 200 and "response-seal" in self.headers
        )


class GatewayHost:
    """One machine: the program of the deploy file, as a process."""

    def __init__(self, site: "Site", number: int, zone: str) -> None:
        self.site = site
        self.zone = zone
        self.ip = f"127.0.0.{10 + number}"
        self.name = f"front-{zone}-{number}"
        self.settings = site.folder / f"{self.name}.conf"
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(self, store: str) -> None:
        """Write the settings file, with the bounds of the small site."""
        ports = self.site.ports
        fields = {
            "node": self.name,
            "role": "gateway",
            "machine_class": "front",
            "serves": "front,control",
            "ip": self.ip,
            "zone": self.zone,
            "region": "muscat",
            "listen.front": f"{self.ip}:{ports['front']}",
            "listen.ready_addr": f"{self.ip}:{ports['ready']}",
            "listen.control": f"{self.ip}:{ports['control']}",
            "internal_ports": f"{ports['inner']},{ports['inner'] + 9}",
            "seeds": ",".join(
                f"{host.ip}:{ports['control']}" for host in self.site.hosts[:3]
            ),
            "bootstrap": "true",
            "limits.memory_mb": "300",
            "limits.max_fds": "4200",
            "heartbeat_ms": "1200",
            "bounds.stable_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.retry_budget_slack": "196",
            "bounds.stall_ms": "2500",
            "platform.address": store,
            "platform.form": "log",
        }
        text = "\n".join(f"{name}={value}" for name, value in fields.items())
        self.settings.write_text(text + "\n", encoding="utf-8")

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PERSIMMONWELL_NODE_FILE"] = str(self.settings)
        with (self.site.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *("python3", "-m", "persimmonwell.gateway_process"),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the host answers the question of the platform with 200."""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.site.ports["ready"]
            )
            writer.write(b"GET /persimmonwell/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Site:
    """A small deployment on loopback addresses."""

    def __init__(self, record: Record, *, host_zones: tuple[str, ...] = ZONES) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="persimmonwell-"))
        self.store = Store()
        self.ports = {
            "front": free_port(),
            "ready": free_port(),
            "control": free_port(),
            "inner": free_port(count=10),
        }
        self.hosts: list[GatewayHost] = []
        self.hosts += [
            GatewayHost(self, number, zone) for number, zone in enumerate(host_zones)
        ]
        self.replicas: list[Replica] = []
        self.runs: list[tuple[float, str, Request]] = []
        """Requests that replicas began to work on."""
        self.answers: list[Answer] = []
        self.is_closing = False
        self._numbers = itertools.count(1)

    def new_id(self, label: str) -> str:
        """Return a new request id."""
        return f"{label}-{next(self._numbers):05d}"

    async def start(self, document: dict[str, Any]) -> None:
        """Start everything; return when all hosts are ready and layers are placed."""
        await self.store.start()
        self.store.put("keyed.op", "config", document)
        for replica in self.replicas:
            await replica.start()
        for host in self.hosts:
            host.write_settings(self.store.address)
            await host.start()
        until_s = now_s() + 30
        while now_s() < until_s:
            is_placed = all(r.layers is not None for r in self.replicas if r.kind)
            if is_placed and all([await host.is_ready() for host in self.hosts]):
                self.record.line("all hosts are ready")
                await asyncio.sleep(2.0)
                return
            await asyncio.sleep(0.2)
        raise TimeoutError("the deployment did not get ready")

    async def close(self) -> None:
        """End all processes that were started."""
        self.is_closing = True
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGTERM)
        for host in self.hosts:
            if host.process is None:
                continue
            try:
                await asyncio.wait_for(host.process.wait(), 9.0)
            except TimeoutError:
                host.send_signal(signal.SIGKILL)
                await host.process.wait()
        for replica in self.replicas:
            replica.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def send(
        self,
        host: GatewayHost,
        method: str,
        path: str,
        headers: dict[str, str],
        *,
        body: bytes = b"",
        label: str = "r",
        patience_s: float = 20.0,
    ) -> Answer:
        """Send one request on a new connection and read its answer."""
        request_id = self.new_id(label)
        answer = Answer(request_id, now_s())
        self.answers.append(answer)
        self.record.line(f"client sends {request_id} {method} {path} to {host.name}")
        lines = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Remaining": str(int(patience_s * 1000)),
            "Api-Key": KEY,
            **headers,
        }
        if method == "POST":
            lines["Content-Length"] = str(len(body))
        head = f"{method} {path} HTTP/1.1\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        try:
            async with asyncio.timeout(patience_s):
                reader, writer = await asyncio.open_connection(
                    host.ip, self.ports["front"]
                )
                try:
                    writer.write(head.encode("latin-1") + b"\r\n" + body)
                    await read_answer(reader, answer)
                finally:
                    writer.transport.abort()
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ) as error:
            self.record.line(f"client: {request_id} ends with {type(error).__name__}")
        answer.ended_s = now_s()
        self.record.line(
            f"client gets for {request_id} status {answer.status}"
            f" complete={answer.is_complete} bytes={len(answer.body)}"
        )
        return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer with a length or in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            answer.headers[name.strip().lower()] = value.strip()
    if "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        answer.first_s = now_s()
    else:
        while size := int((await reader.readline()).strip() or b"x", 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if answer.first_s is None:
                answer.first_s = now_s()
        await reader.readline()
    answer.is_complete = True


def route(name: str, kind: str, service: str, **values: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    is_stream = kind == "stream"
    base = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 20_000 if is_stream else 1200,
        "target_latency_ms": 500 if is_stream else 150,
        "priority": 0 if is_stream else 2,
        "service": service,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "auth_exempt": False,
        "sticky": is_stream,
        "stream_resume": is_stream,
    }
    if is_stream:
        base["gap_aim_ms"] = 200
    return {**base, **values}


def config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the operator's configuration."""
    engine = {
        "slots": 96,
        "kv_token_bytes": 590_000,
        "step_ms": 0.85,
        "per_seq_ms": 0.004,
        "context_per_k": 0.005,
        "read_per_s": 196_000.0,
        "usual": {"prompt": 760, "answer": 172},
        "models": [{"name": "m0", "load_s": LOAD_S}],
        "layers": LAYERS,
        "layer_mb": 1750.0,
        "kinds": [{"name": "whole", "mb": 200_000.0, "pace": 1.4, "read_x": 1.0}],
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "coach-model",
                "health_path": "/health",
                "max_connections": 1058,
                "engine": engine,
            },
            {"name": "lane-desk", "health_path": "/health", "max_connections": 96},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


def run_case(play: Callable[[Record, bool], Awaitable[int]], folder: Path) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if neither."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.say(f"disruption: {'yes' if has_trouble else 'no'}")
    if not (ROOT / "target" / "deps").is_dir():
        record.say("target/deps is missing: build first")
        sys.exit(2)
    try:
        status = asyncio.run(play(record, has_trouble))
    except Exception as error:
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        status = 2
    record.say(f"exit status {status}")
    sys.exit(status)
