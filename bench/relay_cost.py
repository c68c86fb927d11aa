"""CPU time of a gateway process for a plain request, a relayed event and an upload.

The process runs between stand-ins on loopback; only its own CPU time is counted.
Run: python -m bench.relay_cost

With `perf` installed, instructions are counted too, which depend less on what else the
machine does. To measure another commit, run the file of this one beside a worktree:
cd WORKTREE && PYTHONPATH=. python THIS_CLONE/bench/relay_cost.py
"""

import http.client
import math
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

import attrs
import psutil

from standins.log import Log
from standins.platform_config import (
    API_KEY,
    HOST,
    LAYERS,
    config,
    free_ports,
    node_file,
)
from standins.replica import PlatformReplica

PLAIN_REQUESTS = 1500
STREAMS = 24
CONNECTIONS = 8
UPLOADS = 40
UPLOAD_BYTES = 4 * 1024 * 1024
PARALLEL_UPLOADS = (1, 4)
EVENTS_PER_STREAM = (10, 310)
EVENT_INTERVAL_S = 0.004
IDLE_S = 3.0
PERF = shutil.which("perf")
PERF_START_S = 0.3
"""Time in which perf attaches to the process."""
SMALL_BODY = b"x" * 200


@attrs.frozen
class Usage:
    """What a process used over some time."""

    elapsed_s: float
    cpu_s: float
    instructions: float
    """Instructions outside of the kernel; NaN where perf cannot count them."""

    def __sub__(self, other: "Usage") -> "Usage":
        """Return the difference."""
        return Usage(
            self.elapsed_s - other.elapsed_s,
            self.cpu_s - other.cpu_s,
            self.instructions - other.instructions,
        )

    def scaled(self, factor: float) -> "Usage":
        """Return a multiple."""
        return Usage(
            self.elapsed_s * factor, self.cpu_s * factor, self.instructions * factor
        )

    def __str__(self) -> str:
        """Return the CPU time and the instructions."""
        return f"{self.cpu_s * 1e6:.1f} us, {self.instructions:.0f} instructions"


def _cpu_s(pid: int) -> float:
    """Return the CPU time of all threads of a process, to the nanosecond."""
    # The clock of another process on Linux; /proc has hundredths of a second.
    return time.clock_gettime((~pid << 3) | 2)


def _measure_use(pid: int, workload: Callable[[], None]) -> Usage:
    """Return what a process uses while a workload runs."""
    with tempfile.NamedTemporaryFile("r", encoding="utf-8") as output:
        perf: subprocess.Popen[bytes] | None = None
        if PERF is not None:
            events = ["-e", "instructions:u", "-x", ",", "-o", output.name]
            perf = subprocess.Popen([PERF, "stat", *events, "-p", str(pid)])
            time.sleep(PERF_START_S)
        start_s, cpu_s = time.monotonic(), _cpu_s(pid)
        workload()
        elapsed_s, cpu_s = time.monotonic() - start_s, _cpu_s(pid) - cpu_s
        instructions = math.nan
        if perf is not None:
            perf.send_signal(signal.SIGINT)
            perf.wait()
            rows = [line.split(",") for line in output.read().splitlines()]
            counts = [row[0] for row in rows if "instructions:u" in row]
            if counts and counts[0].isdigit():
                instructions = float(counts[0])
    return Usage(elapsed_s, cpu_s, instructions)


def _send_request(
    connection: http.client.HTTPConnection, path: str, name: str, body: bytes
) -> None:
    headers = {"Host": HOST, "Api-Key": API_KEY, "Request-Id": name}
    headers["Deadline-Remaining"] = "20000"
    connection.request("POST", path, body=body, headers=headers)
    answer = connection.getresponse()
    answer.read()
    if answer.status != 200:
        raise RuntimeError(f"{path} answered {answer.status}, expected 200")


def _send_requests(
    port: int,
    path: str,
    count: int,
    *,
    body: bytes = SMALL_BODY,
    connections: int = CONNECTIONS,
) -> None:
    """Send requests over several connections in parallel."""

    def run_connection(number: int) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30.0)
        for index in range(number, count, connections):
            _send_request(connection, path, f"{number}-{index}", body)
        connection.close()

    threads = [
        threading.Thread(target=run_connection, args=(n,)) for n in range(connections)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _write_settings(folder: Path, store: str) -> tuple[Path, int]:
    ports = free_ports()
    path = folder / "node.conf"
    text = node_file(ip="127.0.0.1", ports=ports, store=store)
    path.write_text(text, encoding="utf-8")
    return path, ports["front"]


def _wait_ready(port: int) -> None:
    deadline_s = time.monotonic() + 20.0
    while True:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
        try:
            _send_request(connection, "/look/x", "ready", SMALL_BODY)
            return
        except (OSError, RuntimeError):
            if time.monotonic() > deadline_s:
                raise
            time.sleep(0.2)
        finally:
            connection.close()


def _measure(process: psutil.Process, port: int, replica: PlatformReplica) -> None:
    idle = _measure_use(process.pid, lambda: time.sleep(IDLE_S))

    def cost(workload: Callable[[], None]) -> Usage:
        used = _measure_use(process.pid, workload)
        return used - idle.scaled(used.elapsed_s / idle.elapsed_s)

    plain = cost(lambda: _send_requests(port, "/look/x", PLAIN_REQUESTS))
    streams = []
    for events in EVENTS_PER_STREAM:
        replica.stream_events = events
        streams.append(cost(lambda: _send_requests(port, "/talk/x", STREAMS)))
    events = STREAMS * (EVENTS_PER_STREAM[1] - EVENTS_PER_STREAM[0])
    print(f"idle: {idle.cpu_s / idle.elapsed_s * 100:.2f}% of a core")
    print(f"plain request: {plain.scaled(1 / PLAIN_REQUESTS)}")
    print(f"relayed event: {(streams[1] - streams[0]).scaled(1 / events)}")
    for count in PARALLEL_UPLOADS:
        send = partial(_send_requests, body=bytes(UPLOAD_BYTES), connections=count)
        upload = cost(partial(send, port, "/look/x", UPLOADS))
        print(f"4 MB upload, {count} at once: {upload.scaled(1 / UPLOADS)}")
    print(f"threads: {process.num_threads()}")


def main() -> None:
    """Start the gateway process and its stand-ins and print the costs."""
    store = Log()
    document = config(1)
    document["limits"]["max_body_bytes"] = UPLOAD_BYTES
    store.put_key("keyed.op", "config", document)
    store.start()
    plain = PlatformReplica("desk-1", service="desk", zone="za")
    model = PlatformReplica("model-1", service="model", zone="za")
    model.layers = {"from": 0, "to": LAYERS, "version": 1}
    model.event_interval_s = EVENT_INTERVAL_S
    for replica in (plain, model):
        replica.start()
        entry = replica.entry(slots=96)
        store.put_key("keyed.servers", replica.replica_id, entry)
    with tempfile.TemporaryDirectory() as folder:
        path, port = _write_settings(Path(folder), store.server.address)
        process = subprocess.Popen(
            [sys.executable, "-m", "persimmonwell.gateway_process"],
            env={**os.environ, "PERSIMMONWELL_NODE_FILE": str(path)},
            stdout=subprocess.DEVNULL,
        )
        try:
            _wait_ready(port)
            _measure(psutil.Process(process.pid), port, model)
        finally:
            process.kill()
            process.wait()
            for replica in (plain, model):
                replica.close()
            store.close()


if __name__ == "__main__":
    main()
