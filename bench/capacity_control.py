"""Cost of gossip, configuration and membership at several fleet sizes."""

import json
import time
from typing import Any

import attrs

from bench.capacity_fleet import (
    HOST_SIZES,
    TARGET_WORKSPACES,
    UPSTREAM_SIZES,
    WORKSPACE_SIZES,
    build_document,
    build_entry_hosts,
    build_host_list,
    build_list_entries,
    build_patch_record,
    build_weight_patch,
)
from bench.slopes import Slope, fit_line, time_us
from persimmonwell.core import InflightCount
from persimmonwell.core._fleet import HostList, parse_host_list
from persimmonwell.core.config import ConfigFold, LogRecord, verify_snapshot
from persimmonwell.core.control import (
    CONFIG_STREAM,
    ControlEvent,
    ControlState,
    ControlTick,
    HostListRead,
    InflightObserved,
    PeerMessageReceived,
    RecordsRead,
    SendToPeer,
)
from persimmonwell.core.membership import Members, choose_log_readers
from persimmonwell.peers import decode_message, encode_message

STEP_S = 0.05505
"""Just above the daemon's tick, so that 20 steps cover the 1.1 s interval."""
WARMUP_STEPS = 110
MEASURED_STEPS = 360
"""About 20 s, which covers one pull of the member list at 340 hosts."""
SAMPLED_HOSTS = 4
WIRE_OVERHEAD_BYTES = 54 + 9
"""Added to each message: Ethernet, IP and TCP headers and the ZeroMQ frame."""
INFLIGHT_COUNTS = tuple(InflightCount(f"u{number}", 9) for number in range(40))


@attrs.define
class _ResourceUse:
    """CPU time, bytes and messages of one host."""

    cpu_s: float = 0.0
    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0


class GossipSimulation:
    """Control states of many hosts that exchange encoded messages on a virtual clock.

    Resource use is recorded for the first SAMPLED_HOSTS hosts only.
    """

    def __init__(self, count: int) -> None:
        self.now_s = 0.0
        self._step = 0
        self.entries = build_entry_hosts(count)
        self.hosts = {
            e.host_id: ControlState(
                host_id=e.host_id,
                availability_zone=e.availability_zone,
                address=e.address,
                incarnation=1_800_000_000_000,
            )
            for e in self.entries
        }
        self.sampled_use = {
            e.host_id: _ResourceUse() for e in self.entries[:SAMPLED_HOSTS]
        }
        self._outbox: list[tuple[str, str, bytes]] = []
        config_record = LogRecord(0, build_patch_record(0, build_document(10)))
        for host_id in self.hosts:
            self.handle_event(
                host_id, HostListRead(HostList(0.0, entry_hosts=self.entries))
            )
            self.handle_event(
                host_id, RecordsRead(CONFIG_STREAM, 0, 1, (config_record,))
            )

    def handle_event(self, host_id: str, event: ControlEvent) -> None:
        """Apply an event to a host and queue the encoded messages that it sends."""
        started_s = time.thread_time()
        for decision in self.hosts[host_id].handle(event, self.now_s):
            if isinstance(decision, SendToPeer):
                data = encode_message(decision.message)
                self._outbox.append((host_id, decision.host_id, data))
        if host_id in self.sampled_use:
            self.sampled_use[host_id].cpu_s += time.thread_time() - started_s

    def step(self) -> None:
        """Advance the clock by one step; unsampled hosts tick every second step."""
        self._step += 1
        self.now_s = self._step * STEP_S
        list_read = HostListRead(HostList(0.0, entry_hosts=self.entries))
        for number, host_id in enumerate(self.hosts):
            if self._step % 18 == number % 18:
                self.handle_event(host_id, list_read)
            if self._step % 10 == 0:
                self.handle_event(host_id, InflightObserved(INFLIGHT_COUNTS, 264))
            if host_id in self.sampled_use or self._step % 2 == 0:
                self.handle_event(host_id, ControlTick())
        while self._outbox:
            outgoing, self._outbox = self._outbox, []
            for sender, receiver, data in outgoing:
                self._deliver(sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        size = len(data) + WIRE_OVERHEAD_BYTES
        if sender in self.sampled_use:
            self.sampled_use[sender].sent_bytes += size
            self.sampled_use[sender].messages += 1
        use = self.sampled_use.get(receiver)
        started_s = time.thread_time()
        message = decode_message(data)
        if use is not None:
            use.cpu_s += time.thread_time() - started_s
            use.received_bytes += size
            use.messages += 1
        self.handle_event(receiver, PeerMessageReceived(message))

    def propagation_s(self) -> float:
        """Return the time until a patch read in one zone is in force on all hosts.

        Raises RuntimeError after 30 s of virtual time.
        """
        began_s = self.now_s
        record = LogRecord(1, build_weight_patch(1, 1, 9.0))
        for host_id in choose_log_readers(
            self.entries[0].availability_zone, self.entries
        ):
            self.handle_event(host_id, RecordsRead(CONFIG_STREAM, 0, 2, (record,)))
        while any(h.config.version < 2 for h in self.hosts.values()):
            self.step()
            if self.now_s - began_s > 30.0:
                raise RuntimeError(
                    "configuration patch not in force on all hosts after 30 s"
                )
        return self.now_s - began_s


def measure_gossip(seed: int) -> list[Slope]:
    """Return heartbeat cost and patch propagation time by number of hosts."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for count in HOST_SIZES:
        simulation = GossipSimulation(count)
        for _ in range(WARMUP_STEPS):
            simulation.step()
        for host_id in simulation.sampled_use:
            simulation.sampled_use[host_id] = _ResourceUse()
        for _ in range(MEASURED_STEPS):
            simulation.step()
        uses, seconds = list(simulation.sampled_use.values()), MEASURED_STEPS * STEP_S
        per_s = 1 / seconds / len(uses)
        figures = {
            ("heartbeat bytes sent and received", "B/s"): per_s
            * sum(u.sent_bytes + u.received_bytes for u in uses),
            ("peer messages", "1/s"): per_s * sum(u.messages for u in uses),
            ("CPU of the control state with its codec", "% of a core"): 100
            * per_s
            * sum(u.cpu_s for u in uses),
            ("spread of a change read in one zone", "s"): simulation.propagation_s(),
        }
        for name, value in figures.items():
            points.setdefault(name, []).append((count, value))
    return [
        fit_line(name, values, size_unit="host", cost_unit=unit)
        for (name, unit), values in points.items()
    ]


def _build_fold(workspaces: int, patches: int) -> ConfigFold:
    fold = ConfigFold()
    fold.apply(LogRecord(0, build_patch_record(0, build_document(workspaces))))
    for number in range(1, patches):
        record = build_weight_patch(number, number % workspaces, 1 + number)
        fold.apply(LogRecord(number, record))
    return fold


def _json_bytes(record: Any) -> int:
    return len(json.dumps(record, separators=(",", ":")))


def measure_config(seed: int) -> list[Slope]:
    """Return fold time and record sizes by number of configured workspaces."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for count in WORKSPACE_SIZES:
        fold = _build_fold(count, 513)
        first_offset, started_s = fold.next_offset, time.thread_time()
        for offset in range(first_offset, first_offset + 50):
            fold.apply(
                LogRecord(offset, build_weight_patch(offset, offset % count, offset))
            )
        fold_ms = (time.thread_time() - started_s) / 50 * 1e3
        if fold.version != first_offset + 50:
            raise RuntimeError("the configuration fold rejected a benchmark patch")
        snapshot = fold.snapshot_record()
        figures = {
            ("fold of a patch", "ms"): fold_ms,
            ("patch record", "bytes"): _json_bytes(
                build_weight_patch(first_offset, count - 1, 7)
            ),
            ("document", "bytes"): _json_bytes(fold.document),
            ("snapshot record with 512 ids", "bytes"): _json_bytes(snapshot),
            ("verification of a snapshot", "ms"): time_us(
                lambda record=snapshot: verify_snapshot(record), repeats=5
            )
            / 1e3,
        }
        for name, value in figures.items():
            points.setdefault(name, []).append((count, value))
    return [
        fit_line(name, values, size_unit="workspace", cost_unit=unit)
        for (name, unit), values in points.items()
    ]


def measure_membership(seed: int) -> list[Slope]:
    """Return the cost of processing one host list by number of upstreams."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    hosts_by_upstreams = dict(zip(UPSTREAM_SIZES, (4, 100, 340), strict=True))
    for count in UPSTREAM_SIZES:
        host_list = build_host_list(count, hosts_by_upstreams[count], seed)
        members = Members()
        members.apply_host_list(host_list, 0.0)
        entries = build_list_entries(count, hosts_by_upstreams[count], seed)
        text = json.dumps({"as_of": 0, "hosts": entries})
        config = _build_fold(TARGET_WORKSPACES, 1).config
        figures = {
            ("host list on the wire", "bytes"): float(len(text)),
            ("parse of the host list", "ms"): time_us(
                lambda data=text: parse_host_list(json.loads(data)), repeats=5
            )
            / 1e3,
            ("membership after an unchanged list", "ms"): time_us(
                lambda m=members, hosts=host_list: m.apply_host_list(hosts, 1.0),
                repeats=5,
            )
            / 1e3,
            ("current upstreams from membership", "ms"): time_us(
                lambda m=members, c=config: m.current_members(c), repeats=5
            )
            / 1e3,
        }
        for name, value in figures.items():
            points.setdefault(name, []).append((count, value))
    return [
        fit_line(name, values, size_unit="upstream", cost_unit=unit)
        for (name, unit), values in points.items()
    ]
