"""Soak test: gateway processes under load with randomly injected faults.

Faults are killed, paused and reloaded hosts, faulty replicas and store connections,
configuration changes, draining replicas, a store that comes back from an older copy,
hosts that start while the store is down, spoiled bytes of streams, odd registry entries
and odd numbers in callers' headers. Callers keep their connections open until
a request fails. Checked are at-most-once execution of unsafe requests, complete
answers, recovery, and the propagation of configuration versions and draining replicas.

Run: python -m standins.soak --seed 1 --seeds 50 --seconds 6 --hosts 4
"""

import argparse
import http.client
import math
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from standins.gateway_process import GatewayProcess
from standins.log import Log, LogCopy
from standins.platform_config import API_KEY, HOST, config, free_ports, route
from standins.replica import STREAM_EVENTS, Arrival, PlatformReplica, Spoil

HOSTS = 4
"""Two hosts of a zone read the store for the others; four hosts cover both kinds."""
CALLERS = 6
PROPAGATION_LIMIT_S = 2.5
"""Time after which a host must know a new version or a draining replica while the
store answers: the required 2 s plus a margin for a loaded test machine."""
READY_TIMEOUT_S = 15.0
START_WITHOUT_STORE_S = 8.0
"""Time in which a host that starts without the store has its peers' state: the start
of a process on a loaded machine, and some reports of the peers."""
START_WITHOUT_STORE_SHARE = 0.1
"""Share of the faults that are followed by a start without the store."""
REPLICA_FAULTS: tuple[dict[str, Any], ...] = (
    *({"reset": True}, {"garbage": True}, {"cut_body": True}, {"error": True}),
    *({"shed": True}, {"extra": "now"}, {"extra": "late"}, {"unframed": True}),
    *({"reset_at": 3}, {"delay_s": 0.3}),
)
STATEMENT_SHARE = 0.25
"""Share of the faults that are followed by a statement of a replica."""
SPOIL_SHARE = 0.5
"""Share of the faults that are followed by odd bytes from outside."""
SPOILED_OFFSETS = (*range(11), -2, -1)
"""Offsets of an event that its id and the names of its fields take, and of its end. A
byte within the data shows nowhere in a stream."""
SPOILING_BYTES = b"\n\r:;09 xd\x00\xff"
ODD_ENTRIES: tuple[dict[str, Any], ...] = (
    *({"address": "127.0.0.1:8²"}, {"address": "127.0.0.1:" + "9" * 5000}),
    *({"address": "127.0.0.1:65536"}, {"born": 1 << 70}, {"slots": "8"}),
    *({"layers": [{"from": 9, "to": 1 << 70}]}, {"state": "odd"}, {"service": None}),
)
"""Fields in which an entry of another writer differs from a sound one."""
ODD_HEADERS = (
    *(("Length-Hint", "inf"), ("Deadline-Remaining", "nan"), ("Token-Count", "1,-1")),
    *(("Token-Count", "9" * 300 + ",1"), ("Last-Event-Id", "9" * 300)),
)
HOLD_OFF = "1.5"
"""Retry-After of a replica that turns requests away."""
MAX_HELD_OFF_ARRIVALS = 2
DRAIN_S = 2.0
MAX_LISTED = 5
"""Violations of one kind that are listed."""
MAX_IDLE_S = 1.6
"""Idle time of a connection that callers use again: four fifths of the limit."""
MAX_COPIES = 12
"""Copies of the store, one each 0.1 to 0.6 s; a restore loses a few seconds."""
STORE_MODES = ("delay", "silent", "one_way", "reset")


@attrs.frozen
class Answer:
    """Response to one request; status 0 for a broken connection."""

    request_id: str
    route: str
    status: int
    headers: dict[str, str]
    body: bytes


_Connections = dict[str, tuple[http.client.HTTPConnection, float]]
"""Open connections of one caller by host IP, each with the time of its last use."""


@attrs.frozen
class _Sent:
    host_ip: str
    at_s: float


class Soak:
    """One soak run, whose faults and requests are drawn from the seed."""

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        folder: Path,
        host_count: int = HOSTS,
        starts_without_store: bool = True,
        states: bool = True,
        spoils: bool = True,
    ) -> None:
        self._random = random.Random(seed)
        # Drawn apart, so that the other faults of a seed stay as they are.
        self._start_random = random.Random(f"{seed} starts")
        self._starts_without_store = starts_without_store
        self._statement_random = random.Random(f"{seed} statements")
        self._states = states
        self._spoil_random = random.Random(f"{seed} spoils")
        self._spoils = spoils
        self._sent: dict[str, _Sent] = {}
        """Host and time of each request by its id."""
        self._disrupted_s: dict[str, list[float]] = defaultdict(list)
        """Times at which a host was started or paused, by its IP."""
        self._restarted_s: dict[str, list[float]] = defaultdict(list)
        """Times of the starts of replicas that had stated that they leave, by id."""
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
            GatewayProcess(folder, number, ports) for number in range(1, host_count + 1)
        ]
        self._incarnations: Counter[str] = Counter()
        """Number of starts by host IP; versions are compared within one incarnation."""
        self._served_versions: dict[tuple[str, int], int] = {}
        """Newest version whose route was served, by host IP and incarnation."""
        self._violations: list[str] = []
        """Violations that were seen while faults were injected."""
        self._version = 1
        """Newest configuration version that the operator wrote."""
        self._copies: list[LogCopy] = []
        self._stop = threading.Event()

    def run(self) -> list[str]:
        """Inject faults under load; return the violations that were found."""
        self.store.start()
        self.store.put_key("keyed.op", "config", config(1))
        for replica in self.replicas:
            replica.serves_reports = replica.service == "model"
            if replica.serves_reports:
                replica.layers = {"from": 0, "to": 8, "version": 1}
            replica.start()
            self._register(replica)
        try:
            for host in self.hosts:
                host.configure(self.store.server.address)
                self._start(host)
            if not self._wait_ready():
                return ["hosts were not ready after the start"]
            callers = [
                threading.Thread(target=self._run_caller, args=(number,))
                for number in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            self._inject_faults()
            self._stop.set()
            for caller in callers:
                caller.join()
            return (
                self._request_violations()
                + self._statement_violations()
                + self._recovery_violations()
                + self._propagation_violations()
            )
        finally:
            self._close()

    def _start(self, host: GatewayProcess) -> None:
        self._incarnations[host.ip] += 1
        self._disrupted_s[host.ip].append(time.monotonic())
        host.start()

    def _close(self) -> None:
        self._stop.set()
        for host in self.hosts:
            host.close()
        for replica in self.replicas:
            replica.close()
        self.store.close()

    # Faults

    def _inject_faults(self) -> None:
        end_s = time.monotonic() + self._seconds
        actions = (
            self._kill_host,
            self._terminate_host,
            self._pause_host,
            self._set_replica_fault,
            self._set_store_fault,
            self._append_config_version,
            self._reload_host,
            self._drain_and_restore_replica,
            self._restore_store,
        )
        while time.monotonic() < end_s:
            self._copies = [*self._copies, self.store.copy()][-MAX_COPIES:]
            self._random.choice(actions)()
            if self._states and self._statement_random.random() < STATEMENT_SHARE:
                self._state_on_replica()
            if self._spoils and self._spoil_random.random() < SPOIL_SHARE:
                self._spoil()
            if self._start_random.random() < START_WITHOUT_STORE_SHARE:
                self._start_without_store()
            time.sleep(self._random.uniform(0.1, 0.5))
        for replica in self.replicas:
            replica.faults.clear()
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            if host.proxy is not None:
                host.proxy.mode = "pass"

    def _kill_host(self) -> None:
        host = self._random.choice(self.hosts)
        host.stop(signal.SIGKILL)
        self._start(host)

    def _start_without_store(self) -> None:
        """Kill a host while the store is down; its peers hand over their state."""
        if not self._starts_without_store:
            return
        host = self._start_random.choice(self.hosts)
        self.store.faults["down"] = True
        host.stop(signal.SIGKILL)
        others = [other for other in self.hosts if other is not host]
        has_ready_peer = any(other.is_ready() for other in others)
        self._start(host)
        end_s = time.monotonic() + START_WITHOUT_STORE_S
        while has_ready_peer and not host.is_ready():
            if time.monotonic() > end_s:
                self._violations.append(f"{host.ip} is not ready without the store")
                break
            time.sleep(0.1)
        self.store.faults["down"] = False

    def _terminate_host(self) -> None:
        host = self._random.choice(self.hosts)
        host.stop(signal.SIGTERM)
        self._start(host)

    def _pause_host(self) -> None:
        host = self._random.choice(self.hosts)
        host.signal(signal.SIGSTOP)
        time.sleep(self._random.uniform(0.1, 1.0))
        host.signal(signal.SIGCONT)
        self._disrupted_s[host.ip].append(time.monotonic())

    def _reload_host(self) -> None:
        self._random.choice(self.hosts).signal(signal.SIGHUP)

    def _set_replica_fault(self) -> None:
        replica = self._random.choice(self.replicas)
        replica.faults.clear()
        replica.faults.update(self._random.choice(REPLICA_FAULTS))

    def _state_on_replica(self) -> None:
        """Let a desk replica state that it leaves, or when to come back."""
        replica = self._statement_random.choice(self.replicas[:2])
        replica.faults.clear()
        if self._statement_random.random() < 0.5:
            replica.faults.update(shed=True, hold_off=HOLD_OFF)
            return
        replica.faults["leaving"] = True
        time.sleep(self._statement_random.uniform(0.0, 2 * DRAIN_S))
        replica.faults.clear()
        replica.started_at_ms = int(time.time() * 1000)
        self._restarted_s[replica.replica_id].append(time.monotonic())
        self._register(replica)

    def _spoil(self) -> None:
        """Spoil a byte of each stream of a replica, or write an odd entry or header."""
        rng = self._spoil_random
        kind = rng.choice(("stream", "entry", "header"))
        if kind == "stream":
            event = rng.randint(1, STREAM_EVENTS)
            offset, byte = rng.choice(SPOILED_OFFSETS), rng.choice(SPOILING_BYTES)
            replica = rng.choice(self.replicas[2:])
            replica.faults.clear()
            replica.faults["spoil"] = Spoil(event, offset, byte)
        elif kind == "entry":
            entry = self.replicas[0].entry(**rng.choice(ODD_ENTRIES))
            self.store.put_key("keyed.servers", f"odd-{rng.randint(1, 3)}", entry)
        else:
            self._send_odd_header(rng.choice(self.hosts), rng.choice(ODD_HEADERS))

    def _send_odd_header(self, host: GatewayProcess, header: tuple[str, str]) -> None:
        """Check that a host in service answers a request with an odd number by 400."""
        starts = self._incarnations[host.ip]
        is_ready = host.is_ready()
        answer = self._send(host, "look", "odd", headers=dict([header]))
        if is_ready and starts == self._incarnations[host.ip] and answer.status != 400:
            self._violations.append(f"{host.ip} answers {answer.status} to {header[0]}")

    def _set_store_fault(self) -> None:
        proxy = self._random.choice(self.hosts).proxy
        if proxy is not None:
            proxy.mode = self._random.choice((*STORE_MODES, "pass"))

    def _append_config_version(self) -> int:
        """Write a configuration with one more route; return its version."""
        self._version += 1
        self._write_config()
        return self._version

    def _write_config(self) -> None:
        document = config(self._version)
        document["routes"] += [
            route(f"v{added_version}", "safe", "desk")
            for added_version in range(2, self._version + 1)
        ]
        self.store.put_key("keyed.op", "config", document)

    def _restore_store(self) -> None:
        """Restore the store; the operator and the replicas write theirs again.

        As many versions as were lost may follow, so that the store ends where it did.
        """
        end_offset = len(self.store.records("keyed.op"))
        self.store.faults["down"] = True
        time.sleep(self._random.uniform(0.0, 0.3))
        self.store.restore(self._random.choice(self._copies))
        self.store.faults["down"] = False
        self._write_config()
        while (
            len(self.store.records("keyed.op")) < end_offset
            and self._random.random() < 0.8
        ):
            self._append_config_version()
        for replica in self.replicas:
            self._register(replica)

    def _drain_and_restore_replica(self) -> None:
        """Mark one of the two service replicas as draining, then as ready again."""
        replica = self._random.choice(self.replicas[:2])
        self._register(replica, state="draining")
        time.sleep(self._random.uniform(0.1, 0.5))
        self._register(replica)

    def _register(self, replica: PlatformReplica, **values: Any) -> None:
        entry = replica.entry(sequence=2, born=replica.started_at_ms, **values)
        self.store.put_key("keyed.servers", replica.replica_id, entry)

    # Callers

    def _run_caller(self, number: int) -> None:
        rng = random.Random(self._seed * 100 + number)
        connections: _Connections = {}
        count = 0
        while not self._stop.is_set():
            count += 1
            name = rng.choice(("book", "look", "talk"))
            host = rng.choice(self.hosts)
            request_id = f"{number}-{count}"
            self.answers.append(self._send(host, name, request_id, connections))
            if number == 0:
                self._check_version(host, f"version-{count}")
            time.sleep(0.01)
        for connection, _ in connections.values():
            connection.close()

    def _check_version(self, host: GatewayProcess, request_id: str) -> None:
        """Record a violation if a host no longer serves a version it has served."""
        incarnation = (host.ip, self._incarnations[host.ip])
        version = self._version
        if version < 2:
            return
        served_version = self._served_versions.get(incarnation, 0)
        if self._send(host, f"v{version}", request_id).status == 200:
            self._served_versions[incarnation] = max(served_version, version)
        elif served_version >= 2:
            answer = self._send(host, f"v{served_version}", f"{request_id}-again")
            if answer.status == 404 and incarnation[1] == self._incarnations[host.ip]:
                self._violations.append(
                    f"{host.ip} no longer serves version {served_version}"
                )

    def _send(
        self,
        host: GatewayProcess,
        name: str,
        request_id: str,
        kept_connections: _Connections | None = None,
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send one request, on the kept connection to the host if there is one."""
        connections = {} if kept_connections is None else kept_connections
        connection, used_s = connections.pop(host.ip, (None, 0.0))
        if connection is not None and time.monotonic() - used_s > MAX_IDLE_S:
            connection.close()
            connection = None
        if connection is None:
            port = host.ports["front"]
            connection = http.client.HTTPConnection(host.ip, port, timeout=4.0)
        values = {"Host": HOST, "Api-Key": API_KEY, "Request-Id": request_id}
        values = {**values, "Deadline-Remaining": "3000", **(headers or {})}
        self._sent[request_id] = _Sent(host.ip, time.monotonic())
        try:
            path = f"/{name}/{request_id}"
            connection.request("POST", path, body=b"x", headers=values)
            answer = connection.getresponse()
            response_headers = {
                name.lower(): value for name, value in answer.getheaders()
            }
            received = Answer(
                request_id, name, answer.status, response_headers, answer.read()
            )
        except (OSError, http.client.HTTPException):
            connection.close()
            return Answer(request_id, name, 0, {}, b"")
        if kept_connections is None:
            connection.close()
        else:
            connections[host.ip] = (connection, time.monotonic())
        return received

    # Checks

    def _execution_counts(self) -> Counter[str]:
        return Counter(
            received.headers.get("request-id", "")
            for replica in self.replicas
            for received in replica.received
        )

    def _propagation_violations(self) -> list[str]:
        """Check that all hosts see a new version and a draining replica in time."""
        time.sleep(PROPAGATION_LIMIT_S)
        violations = self._version_violations()
        self._append_config_version()
        draining_replica, _ = self.replicas[:2]
        self._register(draining_replica, state="draining")
        time.sleep(PROPAGATION_LIMIT_S)
        received_before = len(draining_replica.received)
        violations += self._version_violations()
        if len(draining_replica.received) > received_before:
            violations.append(
                f"{draining_replica.replica_id} received requests while draining"
            )
        return violations

    def _version_violations(self) -> list[str]:
        if self._version < 2:
            return []
        return [
            f"{host.ip} does not serve version {self._version} in time"
            for host in self.hosts
            for number in range(4)
            if self._send(host, f"v{self._version}", f"{host.ip}-{number}").status
            != 200
        ]

    def _request_violations(self) -> list[str]:
        runs = self._execution_counts()
        violations = list(self._violations)
        for answer in self.answers:
            name, executions = answer.request_id, runs[answer.request_id]
            if answer.route == "book" and executions > 1:
                violations.append(f"{name}: a booking ran {executions} times")
            if (
                answer.status in (429, 503, 408, 421)
                and answer.route == "book"
                and executions
            ):
                violations.append(
                    f"{name}: answered as not run but ran {executions} times"
                )
            if answer.status == 200 and not _is_complete(answer):
                violations.append(f"{name}: wrong answer {answer.body[:60]!r}")
            if answer.status in (401, 404):
                violations.append(f"{name}: unexpectedly denied with {answer.status}")
        return violations

    def _statement_violations(self) -> list[str]:
        """Check that hosts obey what replicas stated to them."""
        violations = []
        for replica in self.replicas:
            for stated in replica.arrivals:
                if stated.request_id not in self._sent:
                    continue
                later = self._arrivals_after(replica, stated)
                if stated.is_leaving and later:
                    violations.append(f"{replica.replica_id} leaves but got {later[0]}")
                held_off = [
                    arrival
                    for arrival in later
                    if stated.hold_off_s is not None
                    and 0.5 < arrival.at_s - stated.at_s < stated.hold_off_s
                ]
                if len(held_off) > MAX_HELD_OFF_ARRIVALS:
                    violations.append(
                        f"{replica.replica_id} wants nothing but got {held_off[0]}"
                    )
        return violations[:MAX_LISTED]

    def _arrivals_after(
        self, replica: PlatformReplica, stated: Arrival
    ) -> list[Arrival]:
        """Return what one host sent to a replica after one of its statements.

        A request that was sent within DRAIN_S after the statement of a leaving replica
        does not count, nor one after a new start of the replica or the host.
        """
        host_ip = self._sent[stated.request_id].host_ip
        restarts_s = self._restarted_s[replica.replica_id] + self._disrupted_s[host_ip]
        end_s = min(
            (at_s for at_s in restarts_s if at_s > stated.at_s), default=math.inf
        )
        from_s = stated.at_s + (DRAIN_S if stated.is_leaving else 0.0)
        return [
            arrival
            for arrival in replica.arrivals
            if (sent := self._sent.get(arrival.request_id)) is not None
            and sent.host_ip == host_ip
            and sent.at_s > from_s
            and arrival.at_s < end_s
        ]

    def _wait_ready(self) -> bool:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            answers = [self._send(host, "look", "ready") for host in self.hosts]
            if all(answer.status == 200 for answer in answers):
                return True
            time.sleep(0.2)
        return False

    def _recovery_violations(self) -> list[str]:
        return [] if self._wait_ready() else ["hosts not ready after the faults"]


def _is_complete(answer: Answer) -> bool:
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
    """Run the seeds in order; return 1 if there was a violation."""
    parser = argparse.ArgumentParser(description="Soak test of gateway processes.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--hosts", type=int, default=HOSTS)
    parser.add_argument("--logs", type=Path, help="folder for the hosts' logs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            if options.logs is not None:
                folder = options.logs / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            soak = Soak(
                seed=seed,
                seconds=options.seconds,
                folder=folder,
                host_count=options.hosts,
            )
            violations = soak.run()
        counts = Counter(answer.status for answer in soak.answers)
        print(
            f"seed {seed}: {dict(counts)}; violated: {violations or 'none'}",
            flush=True,
        )
        failed += bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
