"""A slow download leaves a connection behind on which no answer is read any more."""

import signal
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from lab import Lab, Replica, route  # noqa: E402

ROUTES = [
    route("export", "safe", "desk", timeout_ms=20000, target_latency_ms=4000),
]
SERVICES = [{"name": "desk", "health_path": "/health", "max_connections": 96}]
EXPORT_BYTES = 12_000_000
READ_BYTES, READ_PAUSE_S = 65536, 0.012
"""A client that reads some 5 MB a second."""


def download(lab, name, result):
    """Fetch a long answer and read it steadily, more slowly than it is written."""
    request_id = lab.new_id()
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
    connection.settimeout(20.0)
    connection.connect(lab.addresses[name])
    head = (
        f"GET /export/all?size={EXPORT_BYTES} HTTP/1.1\r\nHost: desk.example\r\n"
        f"Request-Id: {request_id}\r\nDeadline-Remaining: 20000\r\n"
        "Connection: close\r\n\r\n"
    )
    lab.record.write(f"sent {name} GET /export/all id={request_id} (slow reader)")
    connection.sendall(head.encode())
    received = 0
    while data := connection.recv(READ_BYTES):
        received += len(data)
        time.sleep(READ_PAUSE_S)
    connection.close()
    lab.record.write(f"answered id={request_id}, {received} bytes with the framing")
    result.append(received)


def main():
    """Run the case and return the exit status."""
    with Lab(HERE) as lab:
        lab.put_config(3, ROUTES, SERVICES)
        replicas = [Replica(lab, f"i-{z}", "desk", z) for z in ("za", "zb", "zc")]
        lab.start_hosts()
        lab.wait_ready()
        stopped = "a-1"
        received = []
        threads = [
            threading.Thread(
                target=download, args=(lab, stopped, received), daemon=True
            )
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        if min(received) < EXPORT_BYTES:
            lab.record.write("a long answer was cut")
            return 2
        sent = {}

        def ask():
            client = lab.client(stopped)
            at_s = lab.record.now_s()
            sent_id, status, _ = client.request(
                "GET", "/export/1?size=800", deadline_ms=18000
            )
            sent[sent_id] = (at_s, lab.record.now_s(), status)
            client.close()

        threads = [threading.Thread(target=ask, daemon=True) for _ in range(10)]
        for thread in threads:
            thread.start()
        time.sleep(1.0)
        term_s = lab.record.now_s()
        if lab.trouble:
            lab.record.write(f"SIGTERM to {stopped}")
            lab.processes[stopped].send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        broken = []
        for sent_id, (at_s, end_s, status) in sent.items():
            answered = [r.answered[sent_id] for r in replicas if sent_id in r.answered]
            if answered:
                lab.record.write(
                    f"id={sent_id} sent {at_s:.2f}, answered by its replica"
                    f" {answered[0]:.2f}, ended {end_s:.2f} with {status}"
                )
            if status == 0 and answered and answered[0] < term_s + 8.0 * 5 / 6:
                broken.append(
                    f"LOST {sent_id}: its replica had answered at {answered[0]:.2f},"
                    f" the connection ended without an answer at {end_s:.2f}"
                )
        return lab.finish(broken)


if __name__ == "__main__":
    sys.exit(main())
