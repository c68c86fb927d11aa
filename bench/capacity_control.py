"""Measure gossip, configuration and membership at several fleet sizes."""

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
    build_patch,
    list_entries,
    patch_record,
)
from bench.slopes import Slope, fit, time_us
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
"""Just above the daemon's tick, so that 20 steps reach the interval of 1.1 s."""
SETTLE_STEPS = 110
COUNTED_STEPS = 360
"""20 s: covers one pull of the members at 340 hosts."""
SAMPLED = 4
FRAME_BYTES = 54 + 9
"""Added to each message on the wire: Ethernet, IP and TCP headers, ZeroMQ frame."""
CHAIN_IDS = tuple(InflightCount(f"u{number}", 9) for number in range(40))


@attrs.define
class _Use:
    """Count what one host spends."""

    cpu_s: float = 0.0
    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0


class Mesh:
    """Hold control states on a virtual clock that exchange encoded messages."""

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
        self.sampled = {e.host_id: _Use() for e in self.entries[:SAMPLED]}
        self._sent: list[tuple[str, str, bytes]] = []
        first = LogRecord(0, patch_record(0, build_document(10)))
        for host_id in self.hosts:
            self.tell(host_id, HostListRead(HostList(0.0, entry_hosts=self.entries)))
            self.tell(host_id, RecordsRead(CONFIG_STREAM, 0, 1, (first,)))

    def tell(self, host_id: str, event: ControlEvent) -> None:
        """Hand in an event and encode the messages that follow from it."""
        started_s = time.thread_time()
        for decision in self.hosts[host_id].handle(event, self.now_s):
            if isinstance(decision, SendToPeer):
                data = encode_message(decision.message)
                self._sent.append((host_id, decision.host_id, data))
        if host_id in self.sampled:
            self.sampled[host_id].cpu_s += time.thread_time() - started_s

    def step(self) -> None:
        """Let the clock advance; hosts outside the sample tick every second step."""
        self._step += 1
        self.now_s = self._step * STEP_S
        listed = HostListRead(HostList(0.0, entry_hosts=self.entries))
        for number, host_id in enumerate(self.hosts):
            if self._step % 18 == number % 18:
                self.tell(host_id, listed)
            if self._step % 10 == 0:
                self.tell(host_id, InflightObserved(CHAIN_IDS, 264))
            if host_id in self.sampled or self._step % 2 == 0:
                self.tell(host_id, ControlTick())
        while self._sent:
            sent, self._sent = self._sent, []
            for sender, receiver, data in sent:
                self._deliver(sender, receiver, data)

    def _deliver(self, sender: str, receiver: str, data: bytes) -> None:
        size = len(data) + FRAME_BYTES
        if sender in self.sampled:
            self.sampled[sender].sent_bytes += size
            self.sampled[sender].messages += 1
        use = self.sampled.get(receiver)
        started_s = time.thread_time()
        message = decode_message(data)
        if use is not None:
            use.cpu_s += time.thread_time() - started_s
            use.received_bytes += size
            use.messages += 1
        self.tell(receiver, PeerMessageReceived(message))

    def spread_s(self) -> float:
        """Return the time until a change read in one zone is in force everywhere."""
        began_s = self.now_s
        record = LogRecord(1, build_patch(1, 1, 9.0))
        for host_id in choose_log_readers(
            self.entries[0].availability_zone, self.entries
        ):
            self.tell(host_id, RecordsRead(CONFIG_STREAM, 0, 2, (record,)))
        while any(h.config.version < 2 for h in self.hosts.values()):
            self.step()
            if self.now_s - began_s > 30.0:
                raise RuntimeError("the change did not reach every host in 30 s")
        return self.now_s - began_s


def measure_gossip(seed: int) -> list[Slope]:
    """Return the cost of heartbeats and the spread of a change against hosts."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for count in HOST_SIZES:
        mesh = Mesh(count)
        for _ in range(SETTLE_STEPS):
            mesh.step()
        for host_id in mesh.sampled:
            mesh.sampled[host_id] = _Use()
        for _ in range(COUNTED_STEPS):
            mesh.step()
        uses, seconds = list(mesh.sampled.values()), COUNTED_STEPS * STEP_S
        per_s = 1 / seconds / len(uses)
        figures = {
            ("heartbeat bytes sent and received", "B/s"): per_s
            * sum(u.sent_bytes + u.received_bytes for u in uses),
            ("peer messages", "1/s"): per_s * sum(u.messages for u in uses),
            ("CPU of the control state with its codec", "% of a core"): 100
            * per_s
            * sum(u.cpu_s for u in uses),
            ("spread of a change read in one zone", "s"): mesh.spread_s(),
        }
        for name, value in figures.items():
            points.setdefault(name, []).append((count, value))
    return [
        fit(name, values, size_unit="host", cost_unit=unit)
        for (name, unit), values in points.items()
    ]


def _folded(workspaces: int, patches: int) -> ConfigFold:
    fold = ConfigFold()
    fold.apply(LogRecord(0, patch_record(0, build_document(workspaces))))
    for number in range(1, patches):
        record = build_patch(number, number % workspaces, 1 + number)
        fold.apply(LogRecord(number, record))
    return fold


def _size(record: Any) -> int:
    return len(json.dumps(record, separators=(",", ":")))


def measure_config(seed: int) -> list[Slope]:
    """Return fold costs and record sizes against the configured workspaces."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    for count in WORKSPACE_SIZES:
        fold = _folded(count, 513)
        began, started_s = fold.next_offset, time.thread_time()
        for offset in range(began, began + 50):
            fold.apply(LogRecord(offset, build_patch(offset, offset % count, offset)))
        fold_ms = (time.thread_time() - started_s) / 50 * 1e3
        if fold.version != began + 50:
            raise RuntimeError("a patch of the measurement was not accepted")
        snapshot = fold.snapshot_record()
        figures = {
            ("fold of a patch", "ms"): fold_ms,
            ("patch record", "bytes"): _size(build_patch(began, count - 1, 7)),
            ("document", "bytes"): _size(fold.document),
            ("snapshot record with 512 ids", "bytes"): _size(snapshot),
            ("verification of a snapshot", "ms"): time_us(
                lambda record=snapshot: verify_snapshot(record), repeats=5
            )
            / 1e3,
        }
        for name, value in figures.items():
            points.setdefault(name, []).append((count, value))
    return [
        fit(name, values, size_unit="workspace", cost_unit=unit)
        for (name, unit), values in points.items()
    ]


def measure_membership(seed: int) -> list[Slope]:
    """Return the cost of one reading of the host list against upstreams."""
    points: dict[tuple[str, str], list[tuple[float, float]]] = {}
    hosts_of = dict(zip(UPSTREAM_SIZES, (4, 100, 340), strict=True))
    for count in UPSTREAM_SIZES:
        listed = build_host_list(count, hosts_of[count], seed)
        members = Members()
        members.apply_host_list(listed, 0.0)
        entries = list_entries(count, hosts_of[count], seed)
        text = json.dumps({"as_of": 0, "hosts": entries})
        config = _folded(TARGET_WORKSPACES, 1).config
        figures = {
            ("host list on the wire", "bytes"): float(len(text)),
            ("parse of the host list", "ms"): time_us(
                lambda data=text: parse_host_list(json.loads(data)), repeats=5
            )
            / 1e3,
            ("membership after an unchanged list", "ms"): time_us(
                lambda m=members, hosts=listed: m.apply_host_list(hosts, 1.0), repeats=5
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
        fit(name, values, size_unit="upstream", cost_unit=unit)
        for (name, unit), values in points.items()
    ]
