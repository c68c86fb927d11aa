"""A crash among mixed cards makes the planner of the duty's holder run for ever."""

import itertools
import sys
import threading
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from engines import Engine  # noqa: E402
from lab import Lab, Replica, route  # noqa: E402

LAYERS, LOAD_S = 6, 14.0
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
    "layer_mb": 12000.0,
    "kinds": [
        {"name": "h100", "mb": 72000.0, "pace": 1.4, "read_x": 1.0},
        {"name": "a100s", "mb": 36000.0, "pace": 3.1, "read_x": 3.2},
        {"name": "l4", "mb": 21600.0, "pace": 16.0, "read_x": 8.2},
        {"name": "t4", "mb": 14400.0, "pace": 15.0, "read_x": 15.0},
    ],
}
"""The cards and the engine of the sites, with a model of 6 layers of 12 GB."""
BOOK_TIMEOUT_S = 1.2
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
        max_attempts=2,
    ),
    route("book", "unsafe", "desk"),
]
SERVICES = [
    {"name": "model", "health_path": "/health", "max_connections": 1058}
    | {"engine": ENGINE},
    {"name": "desk", "health_path": "/health", "max_connections": 96},
]


def talk(lab, host, counts):
    """Read one stream as the pages' clients do: they leave after a gap of 2 s."""
    request_id = lab.new_id()
    headers = {
        "Host": "desk.example",
        "Request-Id": request_id,
        "Deadline-Remaining": "20000",
        "Model": "m",
        "Token-Count": "760,174",
        "Prompt-Prefix": f"5c1e07a2:40,{request_id[:8]}:720",
    }
    connection = HTTPConnection(*lab.addresses[host], timeout=2.0)
    status, events = 0, 0
    try:
        connection.request("POST", "/talk/1", b"x" * 700, headers)
        response = connection.getresponse()
        status = response.status
        while data := response.read1(65536):
            events += data.count(b"\n\n")
    except (OSError, HTTPException) as error:
        lab.record.write(f"stream {request_id} at {host}: {type(error).__name__}")
    connection.close()
    counts.append((lab.record.now_s(), host, status, events))


def main():
    """Run the case and return the exit status."""
    with Lab(HERE) as lab:
        lab.put_config(3, ROUTES, SERVICES)
        Replica(lab, "d-za", "desk", "za")
        Replica(lab, "d-zb", "desk", "zb")

        def add(number, kind):
            name = f"i-{number:02d}"
            lab.record.write(f"{name} ({kind}) starts")
            more = {"kind": kind, "layers": LAYERS, "load_s": LOAD_S}
            return Engine(lab, name, "model", "za", **more)

        cards = ("l4", "t4", "a100s", "h100", "h100")
        engines = [add(n, kind) for n, kind in enumerate(cards)]
        lab.start_hosts()
        lab.wait_ready()

        def is_placed():
            held = {e.name: e.layers for e in engines if e.is_alive}
            covered = {n for span in held.values() if span for n in range(*span)}
            return len(covered) == LAYERS and not any(
                e.is_busy for e in engines if e.is_alive
            )

        def wait_placed(what, limit_s=30.0):
            end_s = time.monotonic() + limit_s
            while not is_placed():
                if time.monotonic() > end_s:
                    lab.record.write(f"not placed: {what}")
                    sys.exit(2)
                time.sleep(0.1)
            held = {e.name: (e.kind, e.layers) for e in engines if e.is_alive}
            lab.record.write(f"placed after {what}: {held}")

        wait_placed("the start")
        stop = threading.Event()
        streams, bookings = [], []
        rounds = itertools.cycle(lab.hosts)

        def keep_talking():
            while not stop.is_set():
                talk(lab, next(rounds), streams)
                stop.wait(0.2)

        def keep_booking(host):
            client = lab.client(host)
            while not stop.is_set():
                at_s = lab.record.now_s()
                sent_id, status, _ = client.request("POST", "/book/1", body=b"lane")
                bookings.append((at_s, lab.record.now_s(), host, status))
                stop.wait(0.3)

        threads = [
            threading.Thread(target=keep_talking, daemon=True) for _ in range(16)
        ]
        threads += [
            threading.Thread(target=keep_booking, args=(name,), daemon=True)
            for name in lab.hosts
        ]
        for thread in threads:
            thread.start()
        time.sleep(4.0)
        if lab.trouble:
            engines[3].crash()
            time.sleep(6.0)
            wait_placed("the loss of i-03")
            time.sleep(2.0)
            engines.append(add(5, "h100"))
            time.sleep(2.0)
            wait_placed("the start of i-05")
            time.sleep(4.0)
            engines[2].crash()
        crash_s = lab.record.now_s()
        time.sleep(15.0)
        stop.set()
        for thread in threads:
            thread.join()
        late = [row for row in bookings if row[0] > crash_s and row[1] - row[0] > 1.2]
        unanswered = [row for row in late if row[1] - row[0] > BOOK_TIMEOUT_S + 0.5]
        for name in lab.hosts:
            mine = [row for row in bookings if row[2] == name and row[0] > crash_s]
            answered = sum(1 for row in mine if row[3])
            lab.record.write(
                f"{name}: ready={lab.is_ready(name)}, bookings after the last crash:"
                f" {len(mine)}, answered: {answered}"
            )
        served = sum(1 for at_s, _, status, _ in streams if status == 200)
        lab.record.write(f"streams with a 200: {served} of {len(streams)}")
        broken = []
        if len(unanswered) * 2 > len(late):
            broken = [
                f"CONFIG a booking sent at {sent_s:.2f} through {host} had no answer"
                f" {end_s - sent_s:.2f} s later; timeout_ms is 1200"
                for sent_s, end_s, host, _ in unanswered
            ]
        return lab.finish(broken)


if __name__ == "__main__":
    sys.exit(main())
