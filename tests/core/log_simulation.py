"""Simulation of several hosts over one log, with faults in random order."""

import random
from collections.abc import Callable
from typing import Any

from persimmonwell.core.config import LogRecord

HOSTS = 3


class LogSimulation:
    """Log with retention, and hosts with appends and reads in flight.

    A subclass creates the host states, applies events to them and reports append
    results. The methods named in a script take a host and a random argument.
    """

    new_state: Callable[[int], Any]
    apply: Callable[[int, Any], None]
    append_ended: Callable[[int, Any, bool], None]
    read_event: Callable[[int, tuple[LogRecord, ...]], Any]
    retention_s = 60.0
    max_delay_s = float("inf")
    """Longest time until an append without an answer lands."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.log_available = True
        self.retention_cuts = 0
        self.first_offset = 0
        self.records: list[tuple[Any, float]] = []
        self.appends: list[Any] = [None] * HOSTS
        self.delayed: list[tuple[Any, float]] = []
        self.pending_reads: list[list[Any]] = [[] for _ in range(HOSTS)]
        self.paused = [False] * HOSTS
        self.incarnations = 0
        self.states = [self.new_state(host) for host in range(HOSTS)]

    def start_append(self, host: int, append: Any) -> None:
        assert self.appends[host] is None, "two appends in flight"
        self.appends[host] = append

    def store_append(self, append: Any) -> None:
        records = getattr(append, "records", None) or (append.record,)
        self.records.extend((dict(record), self.now_s) for record in records)

    def append(self, host: int, arg: int) -> None:
        append, self.appends[host] = self.appends[host], None
        if append is None:
            return
        if self.log_available and arg % 4 < 2:
            self.store_append(append)
        elif arg % 4 == 2:
            self.delayed.append((append, self.now_s))
        self.append_ended(host, append, self.log_available and arg % 4 == 0)

    def store_delayed_append(self, host: int, arg: int) -> None:
        if self.delayed:
            append, sent_s = self.delayed.pop(arg % len(self.delayed))
            if self.now_s - sent_s < self.max_delay_s:
                self.store_append(append)

    def read(self, host: int, arg: int) -> None:
        if self.log_available:
            start = self.states[host].fold.next_offset + arg % 4 - 2
            self.pending_reads[host].append(self.read_range(host, start, 1 + arg % 5))

    def read_range(self, host: int, start: int, count: int) -> Any:
        start = max(self.first_offset, start)
        stop = min(len(self.records), start + count)
        records = (LogRecord(o, self.records[o][0]) for o in range(start, stop))
        return self.read_event(host, tuple(records))

    def deliver(self, host: int, arg: int) -> None:
        pending_reads = self.pending_reads[host]
        if pending_reads and not self.paused[host]:
            self.apply(host, pending_reads.pop(arg % len(pending_reads)))

    def read_all(self, host: int) -> None:
        if self.log_available and not self.paused[host]:
            start = self.states[host].fold.next_offset
            self.apply(host, self.read_range(host, start, len(self.records)))

    def restart(self, host: int, arg: int) -> None:
        append, self.appends[host] = self.appends[host], None
        if append is not None and arg % 2:
            self.delayed.append((append, self.now_s))
        self.pending_reads[host], self.paused[host] = [], False
        self.states[host] = self.new_state(host)

    def toggle_log(self, host: int, arg: int) -> None:
        self.log_available = not self.log_available

    def apply_retention(self, host: int, arg: int) -> None:
        limit_s = self.now_s - self.retention_s
        expired = [o for o, record in enumerate(self.records) if record[1] < limit_s]
        first_offset = max(self.first_offset, expired[-1] + 1 if expired else 0)
        self.retention_cuts += first_offset > self.first_offset
        self.first_offset = first_offset

    def end_faults(self) -> None:
        self.log_available, self.paused = True, [False] * HOSTS
        while self.delayed:
            self.store_delayed_append(0, 0)


def run_script(
    simulation: LogSimulation,
    rng: random.Random,
    *,
    common: tuple[str, ...],
    rare: tuple[str, ...],
    steps: int,
    after: Callable[[], None] = lambda: None,
) -> None:
    """Run random steps with random weights, so that some runs lack some faults."""
    weights = [rng.choice((1, 3, 9)) for _ in common]
    weights += [rng.choice((0, 0, 1)) for _ in rare]
    for name in rng.choices((*common, *rare), weights, k=steps):
        getattr(simulation, name)(rng.randrange(HOSTS), rng.randrange(420))
        after()
