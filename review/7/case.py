"""A zone of 23 hosts loses two of them while replicas are replaced."""

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
HOSTS = 23
"""Those of the zone riga-a of daugava-remit-grown."""
DRAIN_S = 3.0
"""Its drain_ms."""
EXIT_S = 3.5
"""Time from the report of a leaving replica to its exit."""
REPLACED = 12
"""Replicas that are replaced in each wave, 48 in all: 0.47 of the site's 102."""
REPLACE_S = 1.0 / 6.0
"""Pause between two of them: 6 in a second (`x` = 6, `gap_s` = 1)."""
LOSS_AFTER_S = 1.1
"""Time from the begin of a wave to the loss of the two hosts, in its middle."""
DARK_S = 3.5
WAVES_AT_S = (6.0, 22.0, 38.0, 54.0)
END_S = 62.0
WORK_S = 0.2
PAUSE_S = 0.1
"""Pause of a client between two bookings; there is one client for each host."""


class Site:
    """Store, replicas of a plain service that are replaced, hosts, and clients."""

    def __init__(self) -> None:
        self.lines: list[tuple[float, str]] = []
        self.start_s = time.monotonic()
        self.runs: list[tuple[float, str, str]] = []
        self.outcomes: dict[str, str] = {}
        self.accepted_s: dict[str, float] = {}
        self.stop = threading.Event()
        self.store = Store()
        self._count = 0
        self.replicas: list[Replica] = []
        for _ in range(8):
            self.add_replica()
        routes = [route("book", "unsafe", "desk", max_attempts=1, timeout_ms=1212)]
        service = {"name": "desk", "health_path": "/health", "max_connections": 450}
        self.store.put("keyed.op", "config", config(1, routes, [service]))

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.start_s

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append((self.now_s(), text))

    def add_replica(self) -> None:
        """Start a replica, which reports every 1.2 s."""
        self._count += 1
        name = f"i-{self._count}"
        replica = Replica(name, "desk", self._runner(name), zone="riga-a")
        self.replicas.append(replica)
        replica.keep_registered(self.store)

    def replace_replicas(self) -> None:
        """Replace one replica after the other: the new one first."""
        for _ in range(REPLACED):
            self.add_replica()
            old = self.replicas.pop(0)
            old.state = "draining"
            old.report(self.store)
            self.accepted_s[old.replica_id] = self.now_s()
            self.note(f"store accepts that {old.replica_id} leaves")
            threading.Timer(EXIT_S, self._end, (old,)).start()
            time.sleep(REPLACE_S)

    def _end(self, replica: Replica) -> None:
        replica.exit()
        self.store.put("keyed.servers", replica.replica_id, None)
        self.note(f"{replica.replica_id} has ended")

    def _runner(self, replica_id: str):
        def run(connection: socket.socket, request) -> bool:
            request.read_body()
            self.runs.append((self.now_s(), replica_id, request.request_id))
            time.sleep(WORK_S)
            headers = {"Request-Id": request.request_id, "Response-Seal": "seal"}
            headers["Content-Length"] = "8"
            connection.sendall(head(200, headers) + b"x" * 8)
            return True

        return run

    def book(self, host) -> None:
        """Book again and again at one host, over kept connections."""
        count = 0
        while not self.stop.wait(PAUSE_S):
            try:
                with socket.create_connection((host.ip, host.port), 1.0) as sock:
                    sock.settimeout(2.0)
                    while not self.stop.wait(PAUSE_S):
                        count += 1
                        request_id = f"{host.name}-{count}"
                        self.outcomes[request_id] = "closed"
                        lines = [
                            "POST /book/1 HTTP/1.1",
                            f"Host: {HOST}",
                            f"Request-Id: {request_id}",
                            f"Api-Key: {KEY}",
                            "Deadline-Remaining: 1212",
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


def play(site: Site, hosts: list) -> dict[str, list[tuple[float, float]]]:
    """Play the day and return when each host was dark."""
    threads = [threading.Thread(target=site.book, args=(host,)) for host in hosts]
    for thread in threads:
        thread.start()
    dark: dict[str, list[tuple[float, float]]] = {host.name: [] for host in hosts}
    begin_s = site.now_s()
    for at_s in WAVES_AT_S:
        time.sleep(max(0.0, begin_s + at_s - site.now_s()))
        threading.Thread(target=site.replace_replicas).start()
        time.sleep(LOSS_AFTER_S)
        if not TROUBLE:
            continue
        # The two that read the store for their zone: the first ones by name.
        lost = sorted(hosts, key=lambda host: host.name)[:2]
        for host in lost:
            host.process.send_signal(signal.SIGKILL)
        from_s = site.now_s()
        site.note("lost: " + ", ".join(host.name for host in lost))
        time.sleep(DARK_S)
        for host in lost:
            host.process.wait()
            host.start()
            dark[host.name].append((from_s, site.now_s()))
        site.note("the lost hosts start again")
    time.sleep(max(0.0, begin_s + END_S - site.now_s()))
    site.stop.set()
    for thread in threads:
        thread.join()
    return dark


def main() -> int:
    """Return the exit status of the case."""
    # The time limit of run.sh ends the hosts as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    site = Site()
    hosts = start_hosts(
        HOSTS,
        site.store.address,
        zone="riga-a",
        **{
            "limits.memory_mb": "200",
            "limits.max_fds": "4100",
            "bounds.drain_ms": "3000",
            "bounds.stable_window_ms": "4000",
            "bounds.config_apply_ms": "3000",
        },
    )
    try:
        for host in hosts:
            host.wait_until_ready()
        time.sleep(4.0)
        dark = play(site, hosts)
    except TimeoutError as error:
        site.note(str(error))
        return 2
    finally:
        site.stop.set()
        for host in hosts:
            host.close()
        for replica in site.replicas:
            replica.close()
        text = [f"{at_s:8.3f} s  {line}" for at_s, line in site.lines]
        RECORD.write_text("\n".join(text) + "\n")

    def in_touch(name: str, at_s: float) -> bool:
        # 4 s after the start of its process, with 2 s for the start itself.
        return not any(from_s <= at_s <= to_s + 6.0 for from_s, to_s in dark[name])

    late = []
    for at_s, replica_id, request_id in site.runs:
        accepted_s = site.accepted_s.get(replica_id)
        host_name = request_id.rpartition("-")[0]
        if accepted_s is None or not in_touch(host_name, at_s):
            continue
        if at_s > accepted_s + DRAIN_S:
            late.append((at_s, at_s - accepted_s, replica_id, request_id))
    cut = [row for row in late if site.outcomes[row[3]] != "200"]
    summary = [
        f"trouble: {TROUBLE}; {len(site.runs)} bookings ran",
        f"on a leaving replica over {DRAIN_S} s after its report: {len(late)}",
        f"of these without a success: {len(cut)}",
    ]
    summary += [
        f"  {at_s:8.3f} s  {age_s:.3f} s after it, {replica_id} runs {request_id}: "
        f"{site.outcomes[request_id]}"
        for at_s, age_s, replica_id, request_id in late[:40]
    ]
    with RECORD.open("a") as record:
        record.write("\n".join(summary) + "\n")
    print("\n".join(summary))
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
