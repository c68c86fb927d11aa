"""Events of replays of routers: virtual time, ticks and late load reports.

Reports arrive as from the datagrams of a fleet: every 0.25 s a host sends to 4 peers of
its zone and to 2 others, in rotation.
"""

import heapq
import random
from collections.abc import Callable, Iterator, Sequence
from itertools import count
from typing import Any

import attrs

from persimmonwell.core.forwarding import ForwardingRouter

TICK_S = 0.05
DATAGRAM_INTERVAL_S = 0.25
ZONE_PEERS = 4
OTHER_PEERS = 2


@attrs.define(eq=False)
class RouterEvents:
    """Events in order of their times, with those that every replay of routers has."""

    routers: Sequence[ForwardingRouter]
    zones: Sequence[str]
    """Availability zone of each router."""
    rng: random.Random
    execute: Callable[[float, int, tuple[Any, ...]], None]
    """Carries out the decisions of a router at a time."""
    loss: float
    """Share of the reports that are lost."""
    unreachable_zone: str | None = None
    """Zone whose hosts exchange no reports with those of the others."""
    report_age: float = 1.0
    """Factor on the intervals of the reports."""
    _events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = (
        attrs.field(factory=list, init=False)
    )
    _numbers: Iterator[int] = attrs.field(factory=count, init=False)

    def at(self, at_s: float, call: Callable[..., None], *arguments: Any) -> None:
        """Call with the time and the arguments at a time; ties keep their order."""
        heapq.heappush(self._events, (at_s, next(self._numbers), call, arguments))

    def add_reports_and_ticks(self) -> None:
        """Add the first report of each pair of hosts and the first ticks."""
        for source in range(len(self.zones)):
            for target in range(len(self.zones)):
                if source != target:
                    interval_s = self._interval_s(source, target)
                    at_s = self.rng.random() * interval_s
                    self.at(at_s, self._report, source, target, interval_s)
            self.at(self.rng.random() * TICK_S, self._tick, source)

    def run(self, end_s: float) -> None:
        """Handle the events before end_s."""
        while self._events and self._events[0][0] < end_s:
            now_s, _, call, arguments = heapq.heappop(self._events)
            call(now_s, *arguments)

    def _interval_s(self, source: int, target: int) -> float:
        peers = sum(zone == self.zones[source] for zone in self.zones)
        if self.zones[source] == self.zones[target]:
            turns = (peers - 1) / ZONE_PEERS
        else:
            turns = (len(self.zones) - peers) / OTHER_PEERS
        return DATAGRAM_INTERVAL_S * max(1.0, turns) * self.report_age

    def _tick(self, now_s: float, number: int) -> None:
        self.execute(now_s, number, self.routers[number].tick(now_s))
        self.at(now_s + TICK_S, self._tick, number)

    def _report(
        self, now_s: float, source: int, target: int, interval_s: float
    ) -> None:
        self.at(now_s + interval_s, self._report, source, target, interval_s)
        zones = (self.zones[source], self.zones[target])
        is_near = zones[0] == zones[1]
        is_cut = not is_near and self.unreachable_zone in zones
        if is_cut or self.rng.random() < self.loss:
            return
        loads = self.routers[target].loads
        loads.set_peer_loads(
            f"host-{source}",
            self.routers[source].loads.local,
            now_s + 2.5 * interval_s,
            zone_reported_s=now_s if is_near else None,
        )
        if not is_near:
            loads.zone_reports.record(f"host-{source}", zones[0], now_s)
