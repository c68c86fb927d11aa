"""A spoiled byte in one event's id makes the host resume the stream past its pieces."""

import itertools
import sys
import threading
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from engines import Engine  # noqa: E402
from lab import Lab, route  # noqa: E402

LAYERS, LOAD_S, EVENTS = 8, 2.0, 30
ENGINE = {
    "slots": 96,
    "kv_token_bytes": 1180000,
    "step_ms": 0.85,
    "per_seq_ms": 0.00764,
    "context_per_k": 0.01024,
    "read_per_s": 196000.0,
    "usual": {"prompt": 772, "answer": 174},
    "models": [{"name": "m", "pace": 1.0, "load_s": LOAD_S}],
    "layers": LAYERS,
    "layer_mb": 1750.0,
    "kinds": [{"name": "h100", "mb": 72000.0, "pace": 1.4, "read_x": 1.0}],
}
ROUTES = [
    route(
        "talk",
        "stream",
        "model",
        timeout_ms=20000,
        target_latency_ms=500,
        stream_resume=True,
        sticky=True,
        gap_aim_ms=200,
    )
]
SERVICES = [
    {"name": "model", "health_path": "/health", "max_connections": 1058}
    | {"engine": ENGINE}
]
SPOIL_EVERY = 50
"""One of so many answers of a faulty replica is spoiled, as with x = 0.02."""
SPOILED_EVENT = 12
FAULT_S, PAUSE_S, ROUNDS = 5.0, 4.0, 6
"""Length of the disruption, the time to the next one, and how often it comes."""


class SpoilingEngine(Engine):
    """Model replica that spoils one byte in some of its answers."""

    is_faulty = False
    streams = 0

    def run(self, connection, method, path, headers, body, echo):
        """Stream as usual, through a connection that may spoil a byte."""
        self.streams += self.is_faulty
        if self.is_faulty and self.streams % SPOIL_EVERY == SPOIL_EVERY // 2:
            self._lab.record.write(f"{self.name} spoils id={echo['Request-Id']}")
            connection = _SpoilingConnection(connection)
        super().run(connection, method, path, headers, body, echo)


class _SpoilingConnection:
    def __init__(self, connection):
        self._connection = connection

    def sendall(self, data):
        """Send data; the first digit of one id, 12, becomes 22."""
        right, wrong = b"\nid: %d\n" % SPOILED_EVENT, b"\nid: 22\n"
        self._connection.sendall(data.replace(right, wrong))


def talk(lab, host, results):
    """Read one stream to its end, or to its break."""
    request_id = lab.new_id()
    headers = {
        "Host": "desk.example",
        "Request-Id": request_id,
        "Deadline-Remaining": "20000",
        "Model": "m",
        "Token-Count": "760,60",
        "Prompt-Prefix": f"5c1e07a2:40,{request_id[:8]}:720",
    }
    connection = HTTPConnection(*lab.addresses[host], timeout=2.0)
    status, data, is_whole = 0, b"", False
    try:
        connection.request("POST", "/talk/1", b"x" * 700, headers)
        response = connection.getresponse()
        status = response.status
        while part := response.read1(65536):
            data += part
        is_whole = True
    except (OSError, HTTPException) as error:
        lab.record.write(f"stream id={request_id} at {host}: {type(error).__name__}")
    connection.close()
    ids = [int(line[4:]) for line in data.split(b"\n") if line.startswith(b"id: ")]
    lab.record.write(
        f"answered {status} id={request_id} at {host}, events {len(ids)},"
        f" {'complete' if is_whole else 'broken off'}"
    )
    results.append((request_id, host, status, ids, is_whole))


def main():
    """Run the case and return the exit status."""
    with Lab(HERE) as lab:
        lab.put_config(3, ROUTES, SERVICES)
        more = {"kind": "h100", "layers": LAYERS, "load_s": LOAD_S, "events": EVENTS}
        zones = ("za", "za", "zb", "zb", "zc", "zc")
        engines = [
            SpoilingEngine(lab, f"i-{n}", "model", zone, **more)
            for n, zone in enumerate(zones)
        ]
        lab.start_hosts()
        lab.wait_ready()
        end_s = time.monotonic() + 20.0
        while not all(engine.layers == (0, LAYERS) for engine in engines):
            if time.monotonic() > end_s:
                lab.record.write("the layers are not placed")
                return 2
            time.sleep(0.1)
        results = []
        stop = threading.Event()
        rounds = itertools.cycle(lab.hosts)

        def keep_talking():
            while not stop.is_set():
                talk(lab, next(rounds), results)

        threads = [
            threading.Thread(target=keep_talking, daemon=True) for _ in range(32)
        ]
        for thread in threads:
            thread.start()
        for _ in range(ROUNDS):
            time.sleep(PAUSE_S)
            # Two of six replicas.
            engines[0].is_faulty = engines[3].is_faulty = lab.trouble
            time.sleep(FAULT_S)
            engines[0].is_faulty = engines[3].is_faulty = False
        stop.set()
        for thread in threads:
            thread.join()
        whole = [row for row in results if row[2] == 200 and row[4]]
        lab.record.write(f"complete streams: {len(whole)} of {len(results)}")
        if not whole:
            return 2
        broken = [
            f"ORDER {request_id} through {host} ended as complete with the events {ids}"
            for request_id, host, _, ids, _ in whole
            if ids != list(range(1, EVENTS + 1))
        ]
        return lab.finish(broken)


if __name__ == "__main__":
    sys.exit(main())
