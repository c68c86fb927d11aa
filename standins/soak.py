"""Run real forwarding hosts, inject faults from outside and check the promises.

Run: python -m standins.soak --seed 1 --seeds 50 --seconds 6
"""

import argparse
import http.client
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

import attrs

from standins.log import Log
from standins.platform_config import HOST, KEY, config, free_ports, node_file, route
from standins.proxy import FaultyProxy
from standins.replica import STREAM_EVENTS, PlatformReplica

HOSTS = 4
"""Two of a zone's hosts read the store for the others, which also have to be tested."""
CALLERS = 6
NEWS_S = 2.5
"""Time after which a host must know a version or a leaving replica while the store
answers it: the 2 s of the rules and what a loaded machine takes to run the test."""
READY_LIMIT_S = 15.0
REPLICA_FAULTS: tuple[dict[str, Any], ...] = (
    *({"reset": True}, {"garbage": True}, {"cut_body": True}, {"error": True}),
    *({"shed": True}, {"extra": "now"}, {"extra": "late"}, {"unframed": True}),
    *({"reset_at": 3}, {"delay_s": 0.3}),
)
STORE_MODES = ("delay", "silent", "one_way", "reset")


@attrs.frozen
class Answer:
    """Hold what a caller saw of one request; status 0 for a broken connection."""

    request_id: str
    route: str
    status: int
    headers: dict[str, str]
    body: bytes


class _HostProcess:
    """Hold one host's process, its settings and its way to the store."""

    def __init__(self, folder: Path, number: int, ports: dict[str, int]) -> None:
        self.ip = f"127.0.0.{number}"
        self.ports = ports
        self.path = folder / f"host-{number}.conf"
        self.log = folder / f"host-{number}.log"
        self.proxy: FaultyProxy | None = None
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "persimmonwell.gateway_process"],
                env={**os.environ, "PERSIMMONWELL_NODE_FILE": str(self.path)},
                stdout=output,
                stderr=output,
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self, number: int) -> None:
        self.signal(signal.SIGCONT)
        self.signal(number)
        if self.process is not None:
            self.process.wait(timeout=10.0)


class Soak:
    """Hold one seeded run."""

    def __init__(self, *, seed: int, seconds: float, folder: Path) -> None:
        self._random = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self.store = Log()
        self.answers: list[Answer] = []
        self.replicas = [
            PlatformReplica("desk-1", service="desk", zone="za"),
            PlatformReplica("desk-2", service="desk", zone="za"),
            PlatformReplica("model-1", service="model", zone="za"),
            PlatformReplica("model-2", service="model", zone="za"),
        ]
        ports = free_ports()
        self.hosts = [
            _HostProcess(folder, number, ports) for number in range(1, HOSTS + 1)
        ]
        self._incarnations: Counter[str] = Counter()
        """Starts by host, so that versions are compared within one life."""
        self._known: dict[tuple[str, int], int] = {}
        """Newest version whose route a host's incarnation has served."""
        self._reverted: list[str] = []
        self._stop = threading.Event()

    def run(self) -> list[str]:
        """Play the faults under load; return the promises that were broken."""
        self.store.start()
        self.store.put_key("keyed.op", "config", config(1))
        for replica in self.replicas:
            replica.has_reports = replica.service == "model"
            if replica.has_reports:
                replica.layers = {"from": 0, "to": 8, "version": 1}
            replica.start()
            self.store.put_key("keyed.servers", replica.replica_id, replica.entry())
        try:
            for host in self.hosts:
                self._configure(host)
                self._start(host)
            if not self._wait_ready():
                return ["hosts were not ready in time"]
            callers = [
                threading.Thread(target=self._call, args=(number,))
                for number in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            self._inject()
            self._stop.set()
            for caller in callers:
                caller.join()
            return self._broken() + self._unrecovered() + self._late_news()
        finally:
            self._close()

    def _start(self, host: _HostProcess) -> None:
        self._incarnations[host.ip] += 1
        host.start()

    def _configure(self, host: _HostProcess) -> None:
        host.proxy = FaultyProxy(self.store.server.address)
        host.proxy.start()
        text = node_file(
            ip=host.ip,
            ports=host.ports,
            store=host.proxy.address,
            node=f"host-{host.ip}",
            seeds=f"127.0.0.1:{host.ports['ready']}",
            **{"bounds.grace_s": "3"},
        )
        host.path.write_text(text, encoding="utf-8")

    def _close(self) -> None:
        self._stop.set()
        for host in self.hosts:
            host.stop(signal.SIGKILL)
            if host.proxy is not None:
                host.proxy.close()
        for replica in self.replicas:
            replica.close()
        self.store.close()

    # Faults

    def _inject(self) -> None:
        end_s = time.monotonic() + self._seconds
        actions = (
            self._kill,
            self._terminate,
            self._pause,
            self._fault_replica,
            self._fault_store,
            self._change_config,
            self._hang_up,
            self._leave_and_return,
        )
        while time.monotonic() < end_s:
            self._random.choice(actions)()
            time.sleep(self._random.uniform(0.1, 0.5))
        for replica in self.replicas:
            replica.faults.clear()
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            if host.proxy is not None:
                host.proxy.mode = "pass"

    def _kill(self) -> None:
        host = self._random.choice(self.hosts)
        host.stop(signal.SIGKILL)
        self._start(host)

    def _terminate(self) -> None:
        host = self._random.choice(self.hosts)
        host.stop(signal.SIGTERM)
        self._start(host)

    def _pause(self) -> None:
        host = self._random.choice(self.hosts)
        host.signal(signal.SIGSTOP)
        time.sleep(self._random.uniform(0.1, 1.0))
        host.signal(signal.SIGCONT)

    def _hang_up(self) -> None:
        self._random.choice(self.hosts).signal(signal.SIGHUP)

    def _fault_replica(self) -> None:
        replica = self._random.choice(self.replicas)
        replica.faults.clear()
        replica.faults.update(self._random.choice(REPLICA_FAULTS))

    def _fault_store(self) -> None:
        proxy = self._random.choice(self.hosts).proxy
        if proxy is not None:
            proxy.mode = self._random.choice((*STORE_MODES, "pass"))

    def _change_config(self) -> int:
        """Add a route to the last version's; return the new version."""
        version = len(self.store.records("keyed.op")) + 1
        added = [route(f"v{each}", "safe", "desk") for each in range(2, version + 1)]
        document = config(version)
        document["routes"] += added
        self.store.put_key("keyed.op", "config", document)
        return version

    def _leave_and_return(self) -> None:
        """Drain one of two replicas, then start it again."""
        replica = self._random.choice(self.replicas[:2])
        name = replica.replica_id
        entry = replica.entry(state="draining")
        self.store.put_key("keyed.servers", name, entry)
        time.sleep(self._random.uniform(0.1, 0.5))
        self.store.put_key("keyed.servers", name, replica.entry(sequence=2))

    # Callers

    def _call(self, number: int) -> None:
        rng = random.Random(self._seed * 100 + number)
        count = 0
        while not self._stop.is_set():
            count += 1
            name = rng.choice(("book", "look", "talk"))
            host = rng.choice(self.hosts)
            self.answers.append(self._ask(host, name, f"{number}-{count}"))
            if number == 0:
                self._check_version(host, f"version-{count}")
            time.sleep(0.01)

    def _check_version(self, host: _HostProcess, request_id: str) -> None:
        """Note a host that served a version and then only knows an older one."""
        life = (host.ip, self._incarnations[host.ip])
        version = len(self.store.records("keyed.op"))
        if version < 2:
            return
        known = self._known.get(life, 0)
        if self._ask(host, f"v{version}", request_id).status == 200:
            self._known[life] = max(known, version)
        elif known >= 2:
            answer = self._ask(host, f"v{known}", f"{request_id}-again")
            if answer.status == 404 and life[1] == self._incarnations[host.ip]:
                self._reverted.append(f"{host.ip} went back from version {known}")

    def _ask(self, host: _HostProcess, name: str, request_id: str) -> Answer:
        port = host.ports["front"]
        connection = http.client.HTTPConnection(host.ip, port, timeout=4.0)
        headers = {"Host": HOST, "Api-Key": KEY, "Request-Id": request_id}
        headers["Deadline-Remaining"] = "3000"
        try:
            path = f"/{name}/{request_id}"
            connection.request("POST", path, body=b"x", headers=headers)
            answer = connection.getresponse()
            found = {name.lower(): value for name, value in answer.getheaders()}
            return Answer(request_id, name, answer.status, found, answer.read())
        except (OSError, http.client.HTTPException):
            return Answer(request_id, name, 0, {}, b"")
        finally:
            connection.close()

    # Promises

    def _runs(self) -> Counter[str]:
        return Counter(
            received.headers.get("request-id", "")
            for replica in self.replicas
            for received in replica.received
        )

    def _late_news(self) -> list[str]:
        """Check that all hosts know a new version and a leaving replica in time."""
        version = self._change_config()
        leaving, staying = self.replicas[:2]
        entry = leaving.entry(state="draining")
        self.store.put_key("keyed.servers", leaving.replica_id, entry)
        time.sleep(NEWS_S)
        before = len(leaving.received)
        late = [
            f"{host.ip} does not know version {version}"
            for host in self.hosts
            for number in range(4)
            if self._ask(host, f"v{version}", f"{host.ip}-{number}").status != 200
        ]
        if len(leaving.received) > before:
            late.append(f"{leaving.replica_id} got requests after it had left")
        return late

    def _broken(self) -> list[str]:
        runs = self._runs()
        broken = list(self._reverted)
        for answer in self.answers:
            name, ran = answer.request_id, runs[answer.request_id]
            if answer.route == "book" and ran > 1:
                broken.append(f"{name}: a booking ran {ran} times")
            if answer.status in (429, 503, 408, 421) and answer.route == "book" and ran:
                broken.append(f"{name}: told not to have run, ran {ran} times")
            if answer.status == 200 and not _is_whole(answer):
                broken.append(f"{name}: wrong answer {answer.body[:60]!r}")
            if answer.status in (401, 404):
                broken.append(f"{name}: denied with {answer.status}")
        return broken

    def _wait_ready(self) -> bool:
        limit_s = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < limit_s:
            answers = [self._ask(host, "look", "ready") for host in self.hosts]
            if all(answer.status == 200 for answer in answers):
                return True
            time.sleep(0.2)
        return False

    def _unrecovered(self) -> list[str]:
        return [] if self._wait_ready() else ["hosts did not recover after the faults"]


def _is_whole(answer: Answer) -> bool:
    if answer.headers.get("request-id") != answer.request_id:
        return False
    if answer.route == "talk":
        events = [
            f"id: {number}\ndata: {answer.request_id} {number}\n\n"
            for number in range(1, STREAM_EVENTS + 1)
        ]
        return answer.body == "".join(events).encode()
    return answer.body.endswith(f" POST /{answer.route}/{answer.request_id}".encode())


def main() -> int:
    """Run the seeds in order; return 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description="Soak real forwarding hosts.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--logs", type=Path, help="keep the hosts' logs in here")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            if options.logs is not None:
                folder = options.logs / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            soak = Soak(seed=seed, seconds=options.seconds, folder=folder)
            broken = soak.run()
        counts = Counter(answer.status for answer in soak.answers)
        print(f"seed {seed}: {dict(counts)}; broken: {broken or 'none'}", flush=True)
        failed += bool(broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
