"""Stand-ins and helpers for the review's scripts; standard library only.

A small deployment on loopback: entry hosts (the project's program, started with the
command of the deploy file), the platform's store, replicas of services, clients.
"""

import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
"""bounds.drain_ms of the sites."""
CONFIG_APPLY_S = 2.0
"""bounds.config_apply_ms of the sites."""


class Record:
    """Lines of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.start_s = time.monotonic()

    def now_s(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.start_s

    def write(self, text):
        """Write one line."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


# The platform's store


class Store:
    """Keyed topics of the platform's store, as PROTOCOL.md describes them."""

    def __init__(self, ip="127.0.0.1"):
        self._topics = {}
        self._changed = threading.Condition()
        self._members = {}
        self._generation = 0
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *arguments):
                pass

            def _reply(self, status, data):
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def _handle(self):
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length)
                name = parts.path.removeprefix("/persimmonwell/log-")
                call = getattr(store, "_on_" + name, None)
                if call is None:
                    self._reply(404, {})
                else:
                    self._reply(*call(query, body))

            do_GET = do_POST = _handle

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                pass

        self._server = Server((ip, 0), Handler)
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, topic, key, value):
        """Append a record; return the moment of the acknowledgement."""
        if value is None:
            value = b""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        with self._changed:
            self._topics.setdefault(topic, []).append((key, value))
            self._changed.notify_all()
            return time.monotonic()

    def _on_newest(self, query, body):
        with self._changed:
            records = self._topics.get(query["topic"], [])
            newest = {key: n for n, (key, _) in enumerate(records)}
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(records[n][1]).decode(),
                    "offset": n,
                }
                for key, n in sorted(newest.items())
                if records[n][1] and key > query.get("after", "")
            ]
            answer = {"items": items[:500], "has_more": len(items) > 500}
            return 200, {**answer, "end": len(records)}

    def _on_read(self, query, body):
        start = int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._topics.get(query["topic"], [])) > start, wait_s
            )
            records = self._topics.get(query["topic"], [])
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start : start + 500]:
                name = key.encode()
                content = bytes((len(name),)) + name + value
                data += struct.pack(">I", len(content)) + content
            return 200, data

    def _on_join(self, query, body):
        call = json.loads(body)
        now_s = time.monotonic()
        with self._changed:
            members = self._members.setdefault(call["group"], {})
            for member in [m for m, until_s in members.items() if until_s < now_s]:
                del members[member]
                self._generation += 1
            if call["member"] not in members:
                self._generation += 1
            members[call["member"]] = now_s + call["ttl_ms"] / 1000
            is_owner = next(iter(members)) == call["member"]
            parts = [[topic, 0, 0] for topic in call["topics"] if is_owner]
            return 200, {
                "generation": self._generation,
                "ttl_ms": call["ttl_ms"],
                "parts": parts,
            }

    def _on_leave(self, query, body):
        call = json.loads(body)
        with self._changed:
            members = self._members.setdefault(call["group"], {})
            if members.pop(call["member"], None) is not None:
                self._generation += 1
            return 200, {"generation": self._generation}


# Replicas


class Replica:
    """Replica of a service without a pipeline; it registers itself in the store.

    answer_bytes is the length of a sound answer's body; work_s how long a request runs.
    """

    def __init__(self, lab, name, service, zone, *, work_s=0.03, slots=6):
        self._lab = lab
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self.slots = work_s, slots
        self.state = "ready"
        self.runs = []
        """Time, request id, headers, path of each request that it ran."""
        self.answered = {}
        """Time at which the whole answer was written, by request id."""
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._stopped = threading.Event()
        self._open = set()
        self._socket = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        self.beat()
        threading.Thread(target=self._beat_often, daemon=True).start()

    def entry(self):
        """Return the registry entry."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "born": self._born,
            "sequence": self._sequence,
        }

    def beat(self):
        """Write the entry; return the time of the store's acknowledgement."""
        self._sequence += 1
        return self._lab.store.put("keyed.servers", self.name, self.entry())

    def _beat_often(self):
        while not self._stopped.wait(HEARTBEAT_S):
            self.beat()

    def drain(self):
        """Report draining; return the time of the acknowledgement."""
        self.state = "draining"
        return self.beat()

    def leave(self):
        """Remove the entry and end: the process is gone, its connections are reset."""
        self._stopped.set()
        self._lab.store.put("keyed.servers", self.name, None)
        self._end()

    def _end(self):
        self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        self._open.add(connection)
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            file = connection.makefile("rb")
            while self._serve_one(connection, file):
                pass
        except (OSError, ValueError):
            pass
        finally:
            self._open.discard(connection)
            connection.close()

    def _serve_one(self, connection, file):
        line = file.readline().decode("latin-1")
        if not line.strip():
            return False
        method, path, _ = line.split(" ", 2)
        headers = {}
        while text := file.readline().decode("latin-1").strip():
            name, _, value = text.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = file.read(int(headers.get("content-length", "0")))
        if path in ("/persimmonwell/report", "/persimmonwell/order"):
            if headers.get("expect-instance", self.name) != self.name:
                self._write(connection, 421, {"Instance-Id": self.name}, b"")
            else:
                self.control(connection, method, path, body)
            return True
        request_id = headers.get("request-id", "")
        if not request_id:
            self._write(connection, 400, {"Not-Executed": "1"}, b"")
            return True
        echo = {"Request-Id": request_id}
        if headers.get("expect-instance", self.name) != self.name:
            self._write(connection, 421, {**echo, "Instance-Id": self.name}, b"")
            return True
        self.run(connection, method, path, headers, body, echo)
        return True

    def control(self, connection, method, path, body):
        """Answer a report or an order; a plain service has neither."""
        self._write(connection, 400, {"Not-Executed": "1"}, b"")

    def run(self, connection, method, path, headers, body, echo):
        """Run a request and answer it."""
        now_s = self._lab.record.now_s()
        self.runs.append((now_s, echo["Request-Id"], headers, path))
        self._lab.record.write(
            f"run {self.name} {method} {path} id={echo['Request-Id']}"
            f" tenant={headers.get('tenant')}"
        )
        time.sleep(self.work_s)
        seal = {"Response-Seal": f"seal-{self.name}", "Keep-Alive": "timeout=10"}
        size = int(path.rpartition("size=")[2]) if "size=" in path else 800
        self._write(connection, 200, {**echo, **seal}, b"x" * size)
        self.answered[echo["Request-Id"]] = self._lab.record.now_s()

    def _write(self, connection, status, headers, body):
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


# The deployment


def route(name, kind, service, **values):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 150,
        "priority": 0,
        "service": service,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "auth_exempt": False,
        "sticky": False,
        "stream_resume": False,
        **values,
    }


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
HOSTS = (("a-1", "za"), ("a-2", "za"), ("b-1", "zb"), ("c-1", "zc"))
"""Four entry hosts in three zones, as on the small sites."""


class Lab:
    """Deployment with its processes; use as a context manager."""

    def __init__(self, folder, hosts=HOSTS):
        # An ended script still ends its processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
        self.folder = Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.folder / "record.txt")
        self.record.write(f"trouble={int(self.trouble)}")
        self.store = Store()
        self.hosts = dict(hosts)
        self.processes = {}
        self.addresses = {}
        self._ready = {}
        self._temporary = tempfile.TemporaryDirectory()
        self._ids = 0
        self._lock = threading.Lock()
        # Loopback addresses of this run alone, so that runs do not meet.
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"

    def __enter__(self):
        """Return the deployment."""
        return self

    def __exit__(self, *error):
        """End all processes that were started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._temporary.cleanup()

    def put_config(self, version, routes, services, **values):
        """Write a configuration; return the time of the acknowledgement."""
        document = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": LIMITS,
            **values,
        }
        self.record.write(f"operator: configuration {json.dumps(document)}")
        return self.store.put("keyed.op", "config", document)

    def start_hosts(self):
        """Start the entry hosts with the command of the deploy file."""
        first = self._free_ports()
        ips = {name: f"{self._net}.{n}" for n, name in enumerate(self.hosts, start=1)}
        seeds = ",".join(f"{ip}:{first + 2}" for ip in list(ips.values())[:3])
        for name, zone in self.hosts.items():
            ip = ips[name]
            fields = {
                "node": f"front-{name}",
                "role": "gateway",
                "machine_class": "front",
                "serves": "front,control",
                "ip": ip,
                "zone": zone,
                "region": "r",
                "listen.front": f"{ip}:{first}",
                "listen.ready_addr": f"{ip}:{first + 1}",
                "listen.control": f"{ip}:{first + 2}",
                "internal_ports": f"{first + 3},{first + 18}",
                "seeds": seeds,
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
                "platform.address": self.store.address,
                "platform.form": "log",
                "platform.parts": "12",
            }
            path = Path(self._temporary.name) / f"{name}.conf"
            text = "".join(f"{key}={value}\n" for key, value in fields.items())
            path.write_text(text, encoding="utf-8")
            self._start(name, path)
            self.addresses[name] = (ip, first)
            self._ready[name] = (ip, first + 1)

    def _start(self, name, settings):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {k: v for k, v in os.environ.items() if k in kept}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["PERSIMMONWELL_NODE_FILE"] = str(settings)
        log = open(Path(self._temporary.name) / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
        )
        log.close()

    def log_of(self, name):
        """Return what a host wrote."""
        path = Path(self._temporary.name) / f"{name}.log"
        return path.read_text("utf-8", "replace")

    def _free_ports(self):
        while True:
            first = random.randrange(20000, 30000)
            try:
                for number in range(first, first + 6):
                    socket.create_server((f"{self._net}.1", number)).close()
                return first
            except OSError:
                continue

    def is_ready(self, name):
        """Return whether a host says that it is ready."""
        connection = HTTPConnection(*self._ready[name], timeout=1.0)
        try:
            connection.request("GET", "/persimmonwell/ready")
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def wait_ready(self, names=None, limit_s=20.0):
        """Wait until hosts are ready; exit with 2 if they do not become so."""
        end_s = time.monotonic() + limit_s
        waiting = set(names or self.hosts)
        while waiting:
            waiting = {name for name in waiting if not self.is_ready(name)}
            if waiting and time.monotonic() > end_s:
                self.record.write(f"not ready: {sorted(waiting)}")
                sys.exit(CANNOT_RUN)
            time.sleep(0.05)
        self.record.write("all hosts are ready")

    def new_id(self):
        """Return a new request id."""
        with self._lock:
            self._ids += 1
            return f"{self._ids:08x}{random.randrange(1 << 32):08x}"

    def client(self, host):
        """Return a client's kept connection to a host."""
        return Client(self, host)

    def finish(self, broken, held_text="the rule held"):
        """Write the verdict and return the exit status."""
        for line in broken:
            self.record.write(f"BROKEN {line}")
        self.record.write(held_text if not broken else f"{len(broken)} violations")
        return BROKEN if broken else HELD


class Client:
    """Client with one kept connection, which sends one request at a time."""

    def __init__(self, lab, host):
        self._lab, self.host = lab, host
        self._connection = None

    def request(self, method, path, *, key=None, deadline_ms=2500, body=b"", **more):
        """Send a request; return its id, status (0 without an answer), and body."""
        lab = self._lab
        request_id = lab.new_id()
        headers = {
            "Host": "desk.example",
            "Request-Id": request_id,
            "Deadline-Remaining": str(deadline_ms),
            **more,
        }
        if key is not None:
            headers["Api-Key"] = key
        lab.record.write(f"sent {self.host} {method} {path} id={request_id} key={key}")
        status, answer, detail = 0, b"", ""
        try:
            if self._connection is None:
                ip, port = lab.addresses[self.host]
                self._connection = HTTPConnection(ip, port, timeout=1.0)
                self._connection.connect()
            self._connection.sock.settimeout(deadline_ms / 1000 + 0.5)
            self._connection.request(method, path, body or None, headers)
            response = self._connection.getresponse()
            answer = response.read()
            status = response.status
            if response.will_close:
                self.close()
        except (OSError, HTTPException) as error:
            detail = f" {type(error).__name__}"
            self.close()
        lab.record.write(
            f"answered {status} id={request_id} bytes={len(answer)}{detail}"
        )
        return request_id, status, answer

    def close(self):
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
