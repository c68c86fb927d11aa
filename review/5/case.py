"""An entry of another writer stops every host from reading the registry."""

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
from lab import DRAIN_S, Lab, Replica, route  # noqa: E402

ROUTES = [route("book", "unsafe", "desk"), route("look", "safe", "desk")]
SERVICES = [{"name": "desk", "health_path": "/health", "max_connections": 96}]
FOREIGN = {
    "service": "desk",
    "address": "127.0.0.1:8\u00b20",
    "zone": "za",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
}
"""The port is not a number."""


def main():
    """Run the case and return the exit status."""
    with Lab(HERE) as lab:
        lab.put_config(3, ROUTES, SERVICES)
        replicas = [Replica(lab, f"i-{z}", "desk", z) for z in ("za", "zb", "zc")]
        leaving = replicas[1]
        lab.start_hosts()
        lab.wait_ready()
        time.sleep(4.0)
        sent = {}
        stop = threading.Event()

        def press(name):
            client = lab.client(name)
            while not stop.wait(0.05):
                for method, path in (("POST", "/book/1"), ("GET", "/look/1")):
                    body = b"lane 4" if method == "POST" else b""
                    at_s = lab.record.now_s()
                    sent_id, status, _ = client.request(method, path, body=body)
                    sent[sent_id] = (at_s, name, method, status)
            client.close()

        threads = [
            threading.Thread(target=press, args=(name,), daemon=True)
            for name in lab.hosts
        ]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        if lab.trouble:
            lab.store.put("keyed.servers", "x-other-1", FOREIGN)
            lab.record.write(f"another writer: x-other-1 {FOREIGN}")
        time.sleep(3.0)
        acknowledged_s = leaving.drain() - lab.record.start_s
        lab.record.write(f"the store acknowledged that {leaving.name} is draining")
        # It serves on for drain_ms and some seconds, then it ends.
        time.sleep(DRAIN_S + 4.0)
        leaving.leave()
        lab.record.write(f"{leaving.name} has left")
        time.sleep(2.0)
        stop.set()
        for thread in threads:
            thread.join()
        if not any(status == 200 for _, _, _, status in sent.values()):
            lab.record.write("the deployment does not serve")
            return 2
        broken = [
            f"DRAIN {request_id} through {sent[request_id][1]} reached {leaving.name}"
            f" {at_s - acknowledged_s:.2f} s after the acknowledgement"
            for at_s, request_id, _, _ in leaving.runs
            if at_s > acknowledged_s + DRAIN_S
        ]
        lost = [
            (request_id, status)
            for request_id, (_, _, method, status) in sent.items()
            if method == "POST" and status not in (200, 503)
        ]
        lab.record.write(f"POST requests without an answer of a replica: {len(lost)}")
        return lab.finish(broken)


if __name__ == "__main__":
    sys.exit(main())
