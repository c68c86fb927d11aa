"""Faults of a soak run, drawn from its seed."""

import random
import signal
import time
from typing import Any

from standins.gateway_process import GatewayProcess
from standins.replica import STREAM_EVENTS, Spoil
from standins.soak_load import SoakLoad
from standins.soak_site import SoakSite

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
MAX_COPIES = 12
"""Copies of the store, one each 0.1 to 0.6 s; a restore loses a few seconds."""
STORE_MODES = ("delay", "silent", "one_way", "reset")
SURGE_SHARE = 0.4
"""Share of the faults that are followed by a load surge."""
SURGE_S = (0.5, 1.5)
"""Shortest and longest duration of a load surge."""
STATED_LEAVING_S = 4.0
"""Longest time after which a replica that stated that it leaves starts anew."""


class FaultInjector:
    """Sources of the faults; each kind that was added later has its own.

    The faults of a seed then stay as they are.
    """

    def __init__(
        self,
        *,
        seed: int,
        site: SoakSite,
        load: SoakLoad,
        starts_without_store: bool,
        states: bool,
        spoils: bool,
        surges: bool,
    ) -> None:
        self._random = random.Random(seed)
        self._start_random = random.Random(f"{seed} starts")
        self._statement_random = random.Random(f"{seed} statements")
        self._spoil_random = random.Random(f"{seed} spoils")
        self._surge_random = random.Random(f"{seed} surges")
        self._starts_without_store = starts_without_store
        self._states = states
        self._spoils = spoils
        self._surges = surges
        self._site = site
        self._load = load
        self.violations: list[str] = []
        """Violations that were seen while faults were injected."""

    def run(self, seconds: float) -> None:
        """Inject faults for a time, then end all of them."""
        end_s = time.monotonic() + seconds
        actions = (
            self._kill_host,
            self._terminate_host,
            self._pause_host,
            self._set_replica_fault,
            self._set_store_fault,
            self._site.append_config_version,
            self._reload_host,
            self._drain_and_restore_replica,
            self._restore_store,
        )
        while time.monotonic() < end_s:
            copies = [*self._site.copies, self._site.store.copy()]
            self._site.copies = copies[-MAX_COPIES:]
            self._random.choice(actions)()
            if self._states and self._statement_random.random() < STATEMENT_SHARE:
                self._state_on_replica()
            if self._spoils and self._spoil_random.random() < SPOIL_SHARE:
                self._spoil()
            if self._surges and self._surge_random.random() < SURGE_SHARE:
                self._load.surge(self._surge_random.uniform(*SURGE_S))
            if self._start_random.random() < START_WITHOUT_STORE_SHARE:
                self._start_without_store()
            time.sleep(self._random.uniform(0.1, 0.5))
        for replica in self._site.replicas:
            replica.faults.clear()
        for host in self._site.hosts:
            host.signal(signal.SIGCONT)
            if host.proxy is not None:
                host.proxy.mode = "pass"

    def _kill_host(self) -> None:
        host = self._random.choice(self._site.hosts)
        host.stop(signal.SIGKILL)
        self._site.start_host(host)

    def _start_without_store(self) -> None:
        """Kill a host while the store is down; its peers hand over their state."""
        if not self._starts_without_store:
            return
        host = self._start_random.choice(self._site.hosts)
        self._site.store.faults["down"] = True
        host.stop(signal.SIGKILL)
        others = [other for other in self._site.hosts if other is not host]
        has_ready_peer = any(other.is_ready() for other in others)
        self._site.start_host(host)
        end_s = time.monotonic() + START_WITHOUT_STORE_S
        while has_ready_peer and not host.is_ready():
            if time.monotonic() > end_s:
                self.violations.append(f"{host.ip} is not ready without the store")
                break
            time.sleep(0.1)
        self._site.store.faults["down"] = False

    def _terminate_host(self) -> None:
        host = self._random.choice(self._site.hosts)
        host.stop(signal.SIGTERM)
        self._site.start_host(host)

    def _pause_host(self) -> None:
        host = self._random.choice(self._site.hosts)
        host.signal(signal.SIGSTOP)
        time.sleep(self._random.uniform(0.1, 1.0))
        host.signal(signal.SIGCONT)
        self._site.disrupted_s[host.ip].append(time.monotonic())

    def _reload_host(self) -> None:
        self._random.choice(self._site.hosts).signal(signal.SIGHUP)

    def _set_replica_fault(self) -> None:
        replica = self._random.choice(self._site.replicas)
        replica.faults.clear()
        replica.faults.update(self._random.choice(REPLICA_FAULTS))

    def _state_on_replica(self) -> None:
        """Let a desk replica state that it leaves, or when to come back."""
        replica = self._statement_random.choice(self._site.replicas[:2])
        replica.faults.clear()
        if self._statement_random.random() < 0.5:
            replica.faults.update(shed=True, hold_off=HOLD_OFF)
            return
        replica.faults["leaving"] = True
        time.sleep(self._statement_random.uniform(0.0, STATED_LEAVING_S))
        replica.faults.clear()
        replica.started_at_ms = int(time.time() * 1000)
        self._site.restarted_s[replica.replica_id].append(time.monotonic())
        self._site.register(replica)

    def _spoil(self) -> None:
        """Spoil a byte of each stream of a replica, or write an odd entry or header."""
        rng = self._spoil_random
        kind = rng.choice(("stream", "entry", "header"))
        if kind == "stream":
            event = rng.randint(1, STREAM_EVENTS)
            offset, byte = rng.choice(SPOILED_OFFSETS), rng.choice(SPOILING_BYTES)
            replica = rng.choice(self._site.replicas[2:])
            replica.faults.clear()
            replica.faults["spoil"] = Spoil(event, offset, byte)
        elif kind == "entry":
            entry = self._site.replicas[0].entry(**rng.choice(ODD_ENTRIES))
            self._site.store.put_key("keyed.servers", f"odd-{rng.randint(1, 3)}", entry)
        else:
            self._send_odd_header(rng.choice(self._site.hosts), rng.choice(ODD_HEADERS))

    def _send_odd_header(self, host: GatewayProcess, header: tuple[str, str]) -> None:
        """Check that a host in service answers a request with an odd number by 400."""
        starts = self._site.incarnations[host.ip]
        is_ready = host.is_ready()
        answer = self._load.send(host, "look", "odd", headers=dict([header]))
        has_run_on = starts == self._site.incarnations[host.ip]
        if is_ready and has_run_on and answer.status != 400:
            self.violations.append(f"{host.ip} answers {answer.status} to {header[0]}")

    def _set_store_fault(self) -> None:
        proxy = self._random.choice(self._site.hosts).proxy
        if proxy is not None:
            proxy.mode = self._random.choice((*STORE_MODES, "pass"))

    def _restore_store(self) -> None:
        """Restore the store; the operator and the replicas write theirs again.

        As many versions as were lost may follow, so that the store ends where it did.
        """
        end_offset = len(self._site.store.records("keyed.op"))
        self._site.store.faults["down"] = True
        time.sleep(self._random.uniform(0.0, 0.3))
        self._site.store.restore(self._random.choice(self._site.copies))
        self._site.store.faults["down"] = False
        self._site.write_config()
        while (
            len(self._site.store.records("keyed.op")) < end_offset
            and self._random.random() < 0.8
        ):
            self._site.append_config_version()
        for replica in self._site.replicas:
            self._site.register(replica)

    def _drain_and_restore_replica(self) -> None:
        """Mark one of the two service replicas as draining, then as ready again."""
        replica = self._random.choice(self._site.replicas[:2])
        self._site.register(replica, state="draining")
        time.sleep(self._random.uniform(0.1, 0.5))
        self._site.register(replica)
