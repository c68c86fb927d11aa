"""Convergence time, heartbeat traffic and CPU use of the control state.

Run with python -m bench.control_cost [hosts ...]. All hosts run in one thread on a
virtual clock, without sockets.
"""

import heapq
import sys
import time
from collections import Counter

import attrs

from persimmonwell.core import control
from persimmonwell.core._fleet import EntryHost, HostList
from persimmonwell.core._types import LayerRange, Upstream
from persimmonwell.core.config import LogRecord
from persimmonwell.core.membership import Heartbeat
from persimmonwell.core.router import InflightCount
from persimmonwell.peers import decode_message, encode_message

TICK_S = 0.05
ONE_WAY_DELAY_S = 0.004  # Network delay between zones, 0.25 ms, plus time to send.
ZONES = 6
WARMUP_S, MEASURED_S = 20.0, 30.0
HOST_LIST_INTERVAL_S = 5.0  # A daemon reads it every second.


class ControlSimulation:
    """Control states on a virtual clock and the messages in flight between them."""

    def __init__(self, count: int) -> None:
        self.now_s = 0.0
        self.sent_bytes, self.cpu_s = Counter[str](), Counter[str]()
        self.config_versions: dict[str, int] = {}
        self.hosts_seeing_leaving: set[str] = set()
        self._next_list_read_s = self.list_cpu_s = 0.0
        self._sequence = 0
        self._queue: list[tuple[float, int, str, bytes]] = []
        entries = tuple(
            EntryHost(f"host-{n:04}", f"10.0.{n}.1:7003", f"zone-{n % ZONES}")
            for n in range(count)
        )
        self.upstreams = tuple(
            Upstream(f"engine-{n:04}", f"10.9.{n}.1:80", "z", "m", LayerRange(0, 8))
            for n in range(4 * count)
        )
        self.hosts = {
            e.host_id: control.ControlState(
                host_id=e.host_id,
                availability_zone=e.availability_zone,
                address=e.address,
                incarnation=1_796_000_000_000,
            )
            for e in entries
        }
        self.host_list = HostList(0.0, self.upstreams, (), entries)
        counts = tuple(InflightCount(u.upstream_id, 9) for u in self.upstreams[:5])
        for host_id in self.hosts:
            self.handle_event(host_id, control.HostListRead(self.host_list))
            self.handle_event(host_id, control.InflightObserved(counts, 45))
            self.handle_event(
                host_id, control.RecordsRead(control.CONFIG_STREAM, 0, 0, ())
            )

    def handle_event(self, host_id: str, event: control.ControlEvent) -> None:
        """Apply an event to a host and carry out its decisions."""
        for decision in self.hosts[host_id].handle(event, self.now_s):
            if isinstance(decision, control.SendToPeer):
                frame = encode_message(decision.message)
                self.sent_bytes[type(decision.message).__name__] += len(frame)
                self._sequence += 1
                arrival = (self.now_s + ONE_WAY_DELAY_S, self._sequence)
                heapq.heappush(self._queue, (*arrival, decision.host_id, frame))
            elif isinstance(decision, control.PutConfigInForce):
                self.config_versions[host_id] = decision.config.version
            elif isinstance(decision, control.UpdateFleet):
                if decision.upstreams[0].leaving:
                    self.hosts_seeing_leaving.add(host_id)

    def run(self, seconds: float) -> None:
        """Advance the clock tick by tick and deliver the messages that are due."""
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            tick_s = self.now_s + TICK_S
            while self._queue and self._queue[0][0] <= tick_s:
                self.now_s, _, host_id, frame = heapq.heappop(self._queue)
                began_s = time.process_time()
                message = decode_message(frame)
                self.handle_event(host_id, control.PeerMessageReceived(message))
                if isinstance(message, Heartbeat):
                    self.cpu_s["spent"] += time.process_time() - began_s
                    self.cpu_s["beats"] += 1
            self.now_s = tick_s
            for host_id in self.hosts:
                self.handle_event(host_id, control.ControlTick())
            if tick_s >= self._next_list_read_s:
                self._next_list_read_s = tick_s + HOST_LIST_INTERVAL_S
                self.read_lists()

    def read_lists(self) -> None:
        """Deliver an equal copy of the host list to every host and time it."""
        copied_upstreams = tuple(attrs.evolve(u) for u in self.host_list.upstreams)
        event = control.HostListRead(
            attrs.evolve(self.host_list, upstreams=copied_upstreams)
        )
        began_s = time.process_time()
        for host_id in self.hosts:
            self.handle_event(host_id, event)
        self.list_cpu_s = (time.process_time() - began_s) / len(self.hosts)


def measure(count: int) -> None:
    """Print the figures for one fleet size."""
    simulation = ControlSimulation(count)
    simulation.run(WARMUP_S)
    simulation.sent_bytes, simulation.cpu_s = Counter(), Counter()
    cpu_s = time.process_time()
    simulation.run(MEASURED_S)
    cpu_s = (time.process_time() - cpu_s) / (MEASURED_S * count)
    list_ms = 1e3 * simulation.list_cpu_s
    sent_bytes = {k: v / (MEASURED_S * count) for k, v in simulation.sent_bytes.items()}
    patch = {"type": "patch", "schema": 1, "id": "p", "base_version": 0, "merge": {}}
    record = LogRecord(0, {**patch, "author": "op"})
    began_s = simulation.now_s
    simulation.handle_event(
        "host-0000", control.RecordsRead(control.CONFIG_STREAM, 0, 1, (record,))
    )
    while sum(v == 1 for v in simulation.config_versions.values()) < count:
        simulation.run(TICK_S)
    config_s, began_s = simulation.now_s - began_s, simulation.now_s
    leaving_upstreams = (
        attrs.evolve(simulation.upstreams[0], leaving=True),
        *simulation.upstreams[1:],
    )
    simulation.handle_event(
        "host-0001",
        control.HostListRead(
            attrs.evolve(simulation.host_list, upstreams=leaving_upstreams)
        ),
    )
    simulation.host_list = attrs.evolve(simulation.host_list, upstreams=())
    while len(simulation.hosts_seeing_leaving) < count:
        simulation.run(TICK_S)
    leaving_s, began_s = simulation.now_s - began_s, simulation.now_s
    hosts = simulation.hosts.values()
    while any(sum(v.version for v in c.host_versions) < count for c in hosts):
        simulation.run(1.0)
    per_heartbeat_us = (
        1e6 * simulation.cpu_s["spent"] / max(1, simulation.cpu_s["beats"])
    )
    print(
        f"{count} hosts: sent B/s per host",
        {k: round(v) for k, v in sent_bytes.items()},
    )
    print(f"  sent and received {2 * sum(sent_bytes.values()):.0f} B/s per host")
    print(f"  heartbeat handled in {per_heartbeat_us:.0f} us CPU, decoding included")
    print(
        f"  all of control {100 * cpu_s:.2f} % of a core per host, and {list_ms:.2f} ms"
    )
    print(f"  in force on all after {config_s:.2f} s, leaving after {leaving_s:.2f} s")
    print(
        "  versions of all known everywhere after "
        f"{simulation.now_s - began_s:.0f} s more"
    )


if __name__ == "__main__":
    for size in [int(text) for text in sys.argv[1:]] or [4, 40, 340]:
        measure(size)
