"""A heartbeat without an answer is carried out after its replica began to leave."""

import os
import signal
import socket
import sys
import threading
import time
from pathlib import Path

from review.common2.replica import Replica, head
from review.common2.site import HOST, KEY, config, route, start_hosts
from review.common2.store import Store

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = Path(__file__).with_name("record.txt")
HEARTBEAT_S = 1.2
DRAIN_S = 2.0
WORK_S = 0.4
BOOKERS = 12
LEAVE_AT_S = 3.2
"""Time from the heartbeat without an answer to the report of the leaving replica: the
store has been without disruption for stable_window_ms."""
LATE_AT_S = 5.7
"""Time after which that heartbeat is carried out; the pages name 1 to 6 s."""
EXIT_AT_S = 6.9
"""Time of the replica's exit, 3.7 s after its report."""


class Site:
    """Store, two replicas of a plain service, one host, and what they saw."""

    def __init__(self) -> None:
        self.lines: list[tuple[float, str]] = []
        self.start_s = time.monotonic()
        self.runs: list[tuple[float, str, str]] = []
        self.outcomes: dict[str, str] = {}
        self.store = Store()
        self.leaving = Replica("i-leaving", "desk", self._runner("i-leaving"))
        self.other = Replica("i-other", "desk", self._runner("i-other"))
        self.other.keep_registered(self.store)
        routes = [route("book", "unsafe", "desk", max_attempts=1, timeout_ms=2500)]
        service = {"name": "desk", "health_path": "/health", "max_connections": 96}
        self.store.put("keyed.op", "config", config(1, routes, [service]))

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.start_s

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((self.now_s(), text))

    def beat(self, **values: object) -> dict:
        """Write a heartbeat of the leaving replica and return it."""
        entry = self.leaving.entry(**values)
        self.write(entry)
        return entry

    def write(self, entry: dict) -> None:
        """Carry a write of the leaving replica out."""
        self.store.put("keyed.servers", self.leaving.replica_id, entry)
        self.note(f"store has sequence {entry['sequence']}: {entry['state']}")

    def _runner(self, replica_id: str):
        def run(connection: socket.socket, request) -> bool:
            request.read_body()
            self.runs.append((self.now_s(), replica_id, request.request_id))
            self.note(f"{replica_id} runs {request.request_id}")
            time.sleep(WORK_S)
            headers = {"Request-Id": request.request_id, "Response-Seal": "seal"}
            headers["Content-Length"] = "800"
            connection.sendall(head(200, headers) + b"x" * 800)
            return True

        return run

    def book(self, host, number: int, stop: threading.Event) -> None:
        """Book again and again over one kept connection."""
        count = 0
        while not stop.is_set():
            try:
                with socket.create_connection((host.ip, host.port), 2.0) as sock:
                    sock.settimeout(3.0)
                    while not stop.is_set():
                        count += 1
                        request_id = f"b{number}-{count}"
                        self.outcomes[request_id] = "closed"
                        lines = [
                            "POST /book/1 HTTP/1.1",
                            f"Host: {HOST}",
                            f"Request-Id: {request_id}",
                            f"Api-Key: {KEY}",
                            "Deadline-Remaining: 2500",
                            f"Content-Length: {len(request_id)}",
                        ]
                        text = "\r\n".join(lines) + "\r\n\r\n" + request_id
                        sock.sendall(text.encode())
                        self.outcomes[request_id] = _read_status(sock)
            except OSError:
                continue


def _read_status(sock: socket.socket) -> str:
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(65_536)
        if not part:
            raise ConnectionError("closed")
        data += part
    top, _, body = data.partition(b"\r\n\r\n")
    size = 0
    for line in top.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            size = int(value)
    while len(body) < size:
        part = sock.recv(65_536)
        if not part:
            raise ConnectionError("closed")
        body += part
    return top.split()[1].decode()


def play(site: Site, host) -> float:
    """Play the leaving of a replica and return when the store accepted its report."""
    stop = threading.Event()
    bookers = [
        threading.Thread(target=site.book, args=(host, n, stop)) for n in range(BOOKERS)
    ]
    for booker in bookers:
        booker.start()
    time.sleep(HEARTBEAT_S)
    begin_s = site.now_s()
    late = None
    if TROUBLE:
        late = site.leaving.entry()
        site.note(f"sequence {late['sequence']} gets no answer from the store")
    else:
        site.beat()
    accepted_s = 0.0
    next_beat_s = begin_s + HEARTBEAT_S
    while (now_s := site.now_s()) < begin_s + EXIT_AT_S:
        if not accepted_s and now_s >= begin_s + LEAVE_AT_S:
            site.beat(state="draining")
            accepted_s = site.now_s()
            next_beat_s = accepted_s + HEARTBEAT_S
        if now_s >= next_beat_s:
            site.beat(state="draining" if accepted_s else "ready")
            next_beat_s += HEARTBEAT_S
        if late is not None and now_s >= begin_s + LATE_AT_S:
            site.write(late)
            late = None
        time.sleep(0.005)
    site.leaving.exit()
    site.store.put("keyed.servers", site.leaving.replica_id, None)
    site.note("the replica has ended, and its entry is removed")
    time.sleep(2.0)
    stop.set()
    for booker in bookers:
        booker.join()
    return accepted_s


def main() -> int:
    """Return the exit status of the case."""
    # The time limit of run.sh ends the hosts as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    site = Site()
    site.beat()
    (host,) = start_hosts(1, site.store.address)
    try:
        host.wait_until_ready()
        # stable_window_ms pass, with heartbeats, before the day begins.
        for _ in range(3):
            site.beat()
            time.sleep(HEARTBEAT_S)
        site.beat()
        accepted_s = play(site, host)
    except TimeoutError as error:
        site.note(str(error))
        return 2
    finally:
        host.close()
        site.leaving.close()
        site.other.close()
        text = [f"{at_s:8.3f} s  {line}" for at_s, line in site.lines]
        RECORD.write_text("\n".join(text) + "\n")
    late = [
        (at_s, request_id)
        for at_s, replica_id, request_id in site.runs
        if replica_id == "i-leaving" and at_s > accepted_s + DRAIN_S
    ]
    cut = [request_id for _, request_id in late if site.outcomes[request_id] != "200"]
    summary = [
        f"trouble: {TROUBLE}; the store accepted the report at {accepted_s:.3f} s",
        f"bookings that reached the leaving replica {DRAIN_S} s later: {len(late)}",
        f"of these without a success: {len(cut)}",
    ]
    summary += [
        f"  {at_s:8.3f} s  {request_id}: {site.outcomes[request_id]}"
        for at_s, request_id in late
    ]
    with RECORD.open("a") as record:
        record.write("\n".join(summary) + "\n")
    print("\n".join(summary))
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
