"""Run several hosts' states over one log with faults, in drawn order."""

import random
from collections.abc import Callable
from typing import Any

from persimmonwell.core.config import LogRecord

HOSTS = 3


class LogWorld:
    """Hold a log with retention, appends in flight, reads under way and states.

    A subclass creates states, applies events to them and reports append results.
    """

    new_state: Callable[[int], Any]
    apply: Callable[[int, Any], None]
    append_ended: Callable[[int, Any, bool], None]
    slice: Callable[[int, tuple[LogRecord, ...]], Any]
    retention_s = 60.0
    max_delay_s = float("inf")
    """Longest time until an append without an answer lands."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.up = True
        self.cuts = 0
        self.first = 0
        self.records: list[tuple[Any, float]] = []
        self.appends: list[Any] = [None] * HOSTS
        self.delayed: list[tuple[Any, float]] = []
        self.slices: list[list[Any]] = [[] for _ in range(HOSTS)]
        self.paused = [False] * HOSTS
        self.incarnations = 0
        self.states = [self.new_state(host) for host in range(HOSTS)]

    def start_append(self, host: int, append: Any) -> None:
        assert self.appends[host] is None, "two appends in flight"
        self.appends[host] = append

    def land(self, append: Any) -> None:
        records = getattr(append, "records", None) or (append.record,)
        self.records.extend((dict(record), self.now_s) for record in records)

    def append(self, host: int, arg: int) -> None:
        append, self.appends[host] = self.appends[host], None
        if append is None:
            return
        if self.up and arg % 4 < 2:
            self.land(append)
        elif arg % 4 == 2:
            self.delayed.append((append, self.now_s))
        self.append_ended(host, append, self.up and arg % 4 == 0)

    def land_delayed(self, host: int, arg: int) -> None:
        if self.delayed:
            append, sent_s = self.delayed.pop(arg % len(self.delayed))
            if self.now_s - sent_s < self.max_delay_s:
                self.land(append)

    def read(self, host: int, arg: int) -> None:
        if self.up:
            start = self.states[host].fold.next_offset + arg % 4 - 2
            self.slices[host].append(self.part(host, start, 1 + arg % 5))

    def part(self, host: int, start: int, count: int) -> Any:
        start = max(self.first, start)
        stop = min(len(self.records), start + count)
        records = (LogRecord(o, self.records[o][0]) for o in range(start, stop))
        return self.slice(host, tuple(records))

    def deliver(self, host: int, arg: int) -> None:
        slices = self.slices[host]
        if slices and not self.paused[host]:
            self.apply(host, slices.pop(arg % len(slices)))

    def read_all(self, host: int) -> None:
        if self.up and not self.paused[host]:
            start = self.states[host].fold.next_offset
            self.apply(host, self.part(host, start, len(self.records)))

    def restart(self, host: int, arg: int) -> None:
        append, self.appends[host] = self.appends[host], None
        if append is not None and arg % 2:
            self.delayed.append((append, self.now_s))
        self.slices[host], self.paused[host] = [], False
        self.states[host] = self.new_state(host)

    def toggle_log(self, host: int, arg: int) -> None:
        self.up = not self.up

    def cut(self, host: int, arg: int) -> None:
        limit_s = self.now_s - self.retention_s
        old = [o for o, record in enumerate(self.records) if record[1] < limit_s]
        first = max(self.first, old[-1] + 1 if old else 0)
        self.cuts += first > self.first
        self.first = first

    def end_faults(self) -> None:
        self.up, self.paused = True, [False] * HOSTS
        while self.delayed:
            self.land_delayed(0, 0)


def run_script(
    world: LogWorld,
    rng: random.Random,
    *,
    common: tuple[str, ...],
    rare: tuple[str, ...],
    steps: int,
    after: Callable[[], None] = lambda: None,
) -> None:
    """Run steps whose mix is drawn too, so that some runs lack a fault."""
    weights = [rng.choice((1, 3, 9)) for _ in common]
    weights += [rng.choice((0, 0, 1)) for _ in rare]
    for name in rng.choices((*common, *rare), weights, k=steps):
        getattr(world, name)(rng.randrange(HOSTS), rng.randrange(420))
        after()
