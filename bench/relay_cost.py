"""CPU time of a gateway process for a relayed event and for a plain request.

The process runs between stand-ins on loopback; only its own CPU time is counted.
Run: python -m bench.relay_cost
"""

import http.client
import os
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

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
EVENTS_PER_STREAM = (10, 310)
EVENT_INTERVAL_S = 0.004
IDLE_S = 3.0


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _send_request(connection: http.client.HTTPConnection, path: str, name: str) -> None:
    headers = {"Host": HOST, "Api-Key": API_KEY, "Request-Id": name}
    headers["Deadline-Remaining"] = "20000"
    connection.request("POST", path, body=b"x" * 200, headers=headers)
    answer = connection.getresponse()
    answer.read()
    if answer.status != 200:
        raise RuntimeError(f"{path} answered {answer.status}, expected 200")


def _send_requests(port: int, path: str, count: int) -> None:
    """Send requests over CONNECTIONS connections in parallel."""

    def run_connection(number: int) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30.0)
        for index in range(number, count, CONNECTIONS):
            _send_request(connection, path, f"{number}-{index}")
        connection.close()

    threads = [
        threading.Thread(target=run_connection, args=(n,)) for n in range(CONNECTIONS)
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
            _send_request(connection, "/look/x", "ready")
            return
        except (OSError, RuntimeError):
            if time.monotonic() > deadline_s:
                raise
            time.sleep(0.2)
        finally:
            connection.close()


def _measure(process: psutil.Process, port: int, replica: PlatformReplica) -> None:
    before_s = _cpu_s(process)
    time.sleep(IDLE_S)
    idle_share = (_cpu_s(process) - before_s) / IDLE_S

    def cost_s(workload: Callable[[], None]) -> float:
        start_s, cpu_s = time.monotonic(), _cpu_s(process)
        workload()
        return _cpu_s(process) - cpu_s - idle_share * (time.monotonic() - start_s)

    plain_s = cost_s(lambda: _send_requests(port, "/look/x", PLAIN_REQUESTS))
    streams_s = []
    for events in EVENTS_PER_STREAM:
        replica.stream_events = events
        streams_s.append(cost_s(lambda: _send_requests(port, "/talk/x", STREAMS)))
    per_event_s = (
        (streams_s[1] - streams_s[0])
        / STREAMS
        / (EVENTS_PER_STREAM[1] - EVENTS_PER_STREAM[0])
    )
    print(f"idle: {idle_share * 100:.2f}% of a core")
    print(f"plain request: {plain_s / PLAIN_REQUESTS * 1e6:.0f} us")
    print(f"relayed event: {per_event_s * 1e6:.0f} us")
    print(f"threads: {process.num_threads()}")


def main() -> None:
    """Start the gateway process and its stand-ins and print the costs."""
    store = Log()
    store.put_key("keyed.op", "config", config(1))
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
