"""Runs a daemon process beside stand-ins and reads its CPU and memory use."""

import selectors
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

import psutil
import urllib3

from standins.processes import HostProcess, ProcessGroup, wait_for
from tests.fleet import SmallFleet

HTTP = urllib3.PoolManager(maxsize=8, retries=False)
MEGABYTE = 1e6
READ_BYTES = 1 << 16


class CountingProxy:
    """TCP proxy on loopback that counts requests and bytes by request path.

    The path excludes the query string; bytes before the first request count as
    "other".
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.bytes: Counter[str] = Counter()
        self.requests: Counter[str] = Counter()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def reset(self) -> None:
        """Clear the counters."""
        self.bytes.clear()
        self.requests.clear()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            backend = socket.create_connection(self._target)
            request_path = ["other"]
            for source, sink in ((client, backend), (backend, client)):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, source is client, request_path),
                    daemon=True,
                ).start()

    def _forward(
        self,
        source: socket.socket,
        sink: socket.socket,
        from_client: bool,
        request_path: list[str],
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if from_client and data.startswith((b"GET ", b"POST ")):
                    path = data.split(b" ", 2)[1].split(b"?")[0].decode()
                    request_path[0] = path
                    self.requests[path] += 1
                self.bytes[request_path[0]] += len(data)
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class DaemonTestbed:
    """Platform stand-ins, engine processes and the daemon process under test."""

    def __init__(self) -> None:
        self.fleet = SmallFleet(zones=6)
        self.group = ProcessGroup()
        self._folder = tempfile.TemporaryDirectory()
        self.fleet.log.start()
        self.fleet.hosts.start()
        self.log_proxy = CountingProxy(self.fleet.log.server.address)
        self.list_proxy = CountingProxy(self.fleet.hosts.server.address)
        self.host: HostProcess | None = None

    def close(self) -> None:
        """Terminate the processes and close the stand-ins."""
        self.group.close()
        self.log_proxy.close()
        self.list_proxy.close()
        self.fleet.close()
        self._folder.cleanup()

    def add_list_entries(self, entries: list[dict[str, Any]]) -> None:
        """Add entries to the host list."""
        for entry in entries:
            self.fleet.hosts.put(entry)

    def start_host(
        self, *, threads: int, version: int, list_interval_s: float = 1.0
    ) -> float:
        """Start the daemon; return the seconds until a config version is in force."""
        settings = self.fleet.settings_document("z0", "host-000")
        settings["callers"]["threads"] = threads
        settings["platform"] = {
            "log_url": f"http://{self.log_proxy.address}",
            "host_list_url": f"http://{self.list_proxy.address}",
            "host_list_interval_s": list_interval_s,
        }
        settings["drain_timeout_s"] = 1
        started_s = time.monotonic()
        self.host = self.group.start_host(settings, Path(self._folder.name))
        url = f"http://{self.host.operators}/config"
        wait_for(
            lambda: HTTP.request("GET", url).json().get("version") == version, "config"
        )
        return time.monotonic() - started_s

    def rss_mb(self) -> float:
        """Return the daemon's resident memory, MB."""
        return float(self._process().memory_info().rss) / MEGABYTE

    def cpu_s(self) -> float:
        """Return the daemon's user and system CPU time, seconds."""
        times = self._process().cpu_times()
        return float(times.user + times.system)

    def threads(self) -> int:
        """Return the daemon's number of threads."""
        return int(self._process().num_threads())

    def _process(self) -> psutil.Process:
        assert self.host is not None
        return psutil.Process(self.host.process.pid)


def import_rss_mb() -> float:
    """Return the resident memory of a process after the daemon's imports, MB."""
    code = (
        "import psutil, persimmonwell.daemon;print(psutil.Process().memory_info().rss)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    return int(done.stdout) / MEGABYTE


class StreamClients:
    """Streaming clients, read by one thread that counts tokens without parsing."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._selector = selectors.DefaultSelector()
        self._stopping = False
        self.tokens = 0
        self.finished = 0
        self.refused = 0
        self._thread = threading.Thread(target=self._read_responses, daemon=True)
        self._thread.start()

    def send(self, model: str, prompt: str, max_tokens: int) -> None:
        """Send one streaming request."""
        body = (
            f'{{"model":"{model}","prompt":"{prompt}",'
            f'"max_tokens":{max_tokens},"stream":true}}'
        )
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
            "Content-Type: application/json\r\nPersimmonwell-Workspace: workspace-001"
            "\r\nPersimmonwell-Rank: urgent\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        connection = socket.create_connection(self._address)
        connection.sendall((head + body).encode())
        self._selector.register(connection, selectors.EVENT_READ)

    def close(self) -> None:
        """Stop reading and close the open connections."""
        self._stopping = True
        self._thread.join()
        for key in list(self._selector.get_map().values()):
            key.fileobj.close()  # type: ignore[union-attr]
        self._selector.close()

    def _read_responses(self) -> None:
        while not self._stopping:
            for key, _ in self._selector.select(0.05):
                connection = key.fileobj
                assert isinstance(connection, socket.socket)
                try:
                    data = connection.recv(READ_BYTES)
                except OSError:
                    data = b""
                self.tokens += data.count(b'"choices"')
                self.refused += data.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5"))
                if not data:
                    self.finished += 1
                    self._selector.unregister(connection)
                    connection.close()
