"""Simulation of several hosts that share one log, with random faults and order."""

import random
from collections.abc import Callable
from typing import Any

from persimmonwell.core.config import LogRecord

HOSTS = 3


class LogSimulation:
    """Log with retention, and per host a state, an append in flight and pending reads.

    A subclass creates the states, applies events to them and reports append results.
    """

    new_state: Callable[[int], Any]
    apply: Callable[[int, Any], None]
    append_ended: Callable[[int, Any, bool], None]
    make_read_event: Callable[[int, tuple[LogRecord, ...]], Any]
    retention_s = 60.0
    max_delay_s = float("inf")
    """Longest time after which an append without an answer is still committed."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.log_available = True
        self.truncations = 0
        self.first_offset = 0
        self.records: list[tuple[Any, float]] = []
        self.appends_in_flight: list[Any] = [None] * HOSTS
        self.delayed_appends: list[tuple[Any, float]] = []
        self.pending_reads: list[list[Any]] = [[] for _ in range(HOSTS)]
        self.paused = [False] * HOSTS
        self.incarnations = 0
        self.states = [self.new_state(host) for host in range(HOSTS)]

    def start_append(self, host: int, append: Any) -> None:
        assert self.appends_in_flight[host] is None, "two appends in flight"
        self.appends_in_flight[host] = append

    def commit(self, append: Any) -> None:
        records = getattr(append, "records", None) or (append.record,)
        self.records.extend((dict(record), self.now_s) for record in records)

    def append(self, host: int, arg: int) -> None:
        append, self.appends_in_flight[host] = self.appends_in_flight[host], None
        if append is None:
            return
        if self.log_available and arg % 4 < 2:
            self.commit(append)
        elif arg % 4 == 2:
            self.delayed_appends.append((append, self.now_s))
        self.append_ended(host, append, self.log_available and arg % 4 == 0)

    def commit_delayed(self, host: int, arg: int) -> None:
        if self.delayed_appends:
            append, sent_s = self.delayed_appends.pop(arg % len(self.delayed_appends))
            if self.now_s - sent_s < self.max_delay_s:
                self.commit(append)

    def read(self, host: int, arg: int) -> None:
        if self.log_available:
            start = self.states[host].fold.next_offset + arg % 4 - 2
            self.pending_reads[host].append(self.make_read(host, start, 1 + arg % 5))

    def make_read(self, host: int, start: int, count: int) -> Any:
        start = max(self.first_offset, start)
        stop = min(len(self.records), start + count)
        records = (LogRecord(o, self.records[o][0]) for o in range(start, stop))
        return self.make_read_event(host, tuple(records))

    def deliver(self, host: int, arg: int) -> None:
        pending = self.pending_reads[host]
        if pending and not self.paused[host]:
            self.apply(host, pending.pop(arg % len(pending)))

    def read_all(self, host: int) -> None:
        if self.log_available and not self.paused[host]:
            start = self.states[host].fold.next_offset
            self.apply(host, self.make_read(host, start, len(self.records)))

    def restart(self, host: int, arg: int) -> None:
        append, self.appends_in_flight[host] = self.appends_in_flight[host], None
        if append is not None and arg % 2:
            self.delayed_appends.append((append, self.now_s))
        self.pending_reads[host], self.paused[host] = [], False
        self.states[host] = self.new_state(host)

    def toggle_log(self, host: int, arg: int) -> None:
        self.log_available = not self.log_available

    def truncate(self, host: int, arg: int) -> None:
        limit_s = self.now_s - self.retention_s
        expired_offsets = [
            o for o, record in enumerate(self.records) if record[1] < limit_s
        ]
        first_offset = max(
            self.first_offset, expired_offsets[-1] + 1 if expired_offsets else 0
        )
        self.truncations += first_offset > self.first_offset
        self.first_offset = first_offset

    def end_faults(self) -> None:
        self.log_available, self.paused = True, [False] * HOSTS
        while self.delayed_appends:
            self.commit_delayed(0, 0)


def run_random_steps(
    simulation: LogSimulation,
    rng: random.Random,
    *,
    common: tuple[str, ...],
    rare: tuple[str, ...],
    steps: int,
    after: Callable[[], None] = lambda: None,
) -> None:
    """Run random steps.

    The weight of each step is drawn as well, so that some runs lack a kind of fault.
    """
    weights = [rng.choice((1, 3, 9)) for _ in common]
    weights += [rng.choice((0, 0, 1)) for _ in rare]
    for name in rng.choices((*common, *rare), weights, k=steps):
        getattr(simulation, name)(rng.randrange(HOSTS), rng.randrange(420))
        after()
