"""Measure what control costs: convergence, heartbeat bytes and CPU.

Run with python -m bench.control_cost [hosts ...]; one loop, no sockets.
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
DELAY_S = 0.004  # One way: above 0.25 ms between zones, with time to send.
ZONES = 6
WARM_UP_S, MEASURED_S = 20.0, 30.0
LIST_S = 5.0  # A daemon reads the list each second.


class Loop:
    """Hold control states and the messages on their way."""

    def __init__(self, count: int) -> None:
        self.now_s = 0.0
        self.sent, self.cpu_s = Counter[str](), Counter[str]()
        self.in_force: dict[str, int] = {}
        self.leaving_known: set[str] = set()
        self._list_s = self.list_cpu_s = 0.0
        self._order = 0
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
        self.listed = HostList(0.0, self.upstreams, (), entries)
        counts = tuple(InflightCount(u.upstream_id, 9) for u in self.upstreams[:5])
        for host_id in self.hosts:
            self.tell(host_id, control.HostListRead(self.listed))
            self.tell(host_id, control.InflightObserved(counts, 45))
            self.tell(host_id, control.RecordsRead(control.CONFIG_STREAM, 0, 0, ()))

    def tell(self, host_id: str, event: control.ControlEvent) -> None:
        """Hand an event to a host and send what it decides."""
        for decision in self.hosts[host_id].handle(event, self.now_s):
            if isinstance(decision, control.SendToPeer):
                frame = encode_message(decision.message)
                self.sent[type(decision.message).__name__] += len(frame)
                self._order += 1
                arrival = (self.now_s + DELAY_S, self._order)
                heapq.heappush(self._queue, (*arrival, decision.host_id, frame))
            elif isinstance(decision, control.PutConfigInForce):
                self.in_force[host_id] = decision.config.version
            elif isinstance(decision, control.UpdateFleet):
                if decision.upstreams[0].leaving:
                    self.leaving_known.add(host_id)

    def run(self, seconds: float) -> None:
        """Advance the clock by ticks and deliver what arrives between them."""
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            tick_s = self.now_s + TICK_S
            while self._queue and self._queue[0][0] <= tick_s:
                self.now_s, _, host_id, frame = heapq.heappop(self._queue)
                began_s = time.process_time()
                message = decode_message(frame)
                self.tell(host_id, control.PeerMessageReceived(message))
                if isinstance(message, Heartbeat):
                    self.cpu_s["spent"] += time.process_time() - began_s
                    self.cpu_s["beats"] += 1
            self.now_s = tick_s
            for host_id in self.hosts:
                self.tell(host_id, control.ControlTick())
            if tick_s >= self._list_s:
                self._list_s = tick_s + LIST_S
                self.read_lists()

    def read_lists(self) -> None:
        """Let every host read an equal copy of the host list."""
        copies = tuple(attrs.evolve(u) for u in self.listed.upstreams)
        event = control.HostListRead(attrs.evolve(self.listed, upstreams=copies))
        began_s = time.process_time()
        for host_id in self.hosts:
            self.tell(host_id, event)
        self.list_cpu_s = (time.process_time() - began_s) / len(self.hosts)


def measure(count: int) -> None:
    """Print the figures of one fleet size."""
    loop = Loop(count)
    loop.run(WARM_UP_S)
    loop.sent, loop.cpu_s = Counter(), Counter()
    cpu_s = time.process_time()
    loop.run(MEASURED_S)
    cpu_s = (time.process_time() - cpu_s) / (MEASURED_S * count)
    list_ms = 1e3 * loop.list_cpu_s
    sent = {k: v / (MEASURED_S * count) for k, v in loop.sent.items()}
    patch = {"type": "patch", "schema": 1, "id": "p", "base_version": 0, "merge": {}}
    record = LogRecord(0, {**patch, "author": "op"})
    began_s = loop.now_s
    loop.tell("host-0000", control.RecordsRead(control.CONFIG_STREAM, 0, 1, (record,)))
    while sum(v == 1 for v in loop.in_force.values()) < count:
        loop.run(TICK_S)
    config_s, began_s = loop.now_s - began_s, loop.now_s
    gone = (attrs.evolve(loop.upstreams[0], leaving=True), *loop.upstreams[1:])
    loop.tell(
        "host-0001", control.HostListRead(attrs.evolve(loop.listed, upstreams=gone))
    )
    loop.listed = attrs.evolve(loop.listed, upstreams=())
    while len(loop.leaving_known) < count:
        loop.run(TICK_S)
    leaving_s, began_s = loop.now_s - began_s, loop.now_s
    hosts = loop.hosts.values()
    while any(sum(v.version for v in c.host_versions) < count for c in hosts):
        loop.run(1.0)
    per_beat_us = 1e6 * loop.cpu_s["spent"] / max(1, loop.cpu_s["beats"])
    print(f"{count} hosts: sent B/s per host", {k: round(v) for k, v in sent.items()})
    print(f"  sent and received {2 * sum(sent.values()):.0f} B/s per host")
    print(f"  heartbeat handled in {per_beat_us:.0f} us CPU, decoding included")
    print(
        f"  all of control {100 * cpu_s:.2f} % of a core per host, and {list_ms:.2f} ms"
    )
    print(f"  in force on all after {config_s:.2f} s, leaving after {leaving_s:.2f} s")
    print(f"  versions of all known everywhere after {loop.now_s - began_s:.0f} s more")


if __name__ == "__main__":
    for size in [int(text) for text in sys.argv[1:]] or [4, 40, 340]:
        measure(size)
