"""Check leases over random interleavings, clocks, faults and restarts."""

import random
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonwell.core.config import LogRecord
from persimmonwell.core.leases import (
    AppendLease,
    Holding,
    LeaseAppendEnded,
    LeaseFold,
    LeaseLimits,
    LeasesRead,
    LeasesState,
    LeasesTick,
    LeasesWanted,
    may_send,
)

HOSTS = 3
NAME = "coach"
LIMITS = LeaseLimits()
RETENTION_S = 40.0
MAX_DELAY_S = 15.0
"""Longest time until an append without an answer lands."""


@attrs.define
class Clock:
    """Run at its own rate, with its own origin."""

    rate: float
    origin_s: float

    def at(self, true_s: float) -> float:
        return self.origin_s + self.rate * true_s


@attrs.frozen
class Effect:
    """Hold one order at the upstream: sent and last possible effect, true time."""

    host: int
    fence: int
    sent_s: float
    last_s: float


class World:
    """Hold hosts, a log with retention, and the orders that upstreams got."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.true_s = 0.0
        self.up = True
        self.records: list[tuple[dict[str, Any], float]] = []
        self.first = 0
        self.incarnations = 0
        spread = LIMITS.clock_rate_bound / 2
        self.clocks = [
            Clock(1 + rng.uniform(-spread, spread), rng.uniform(0, 1e4))
            for _ in range(HOSTS)
        ]
        self.paused = [False] * HOSTS
        self.appends: list[AppendLease | None] = [None] * HOSTS
        self.delayed: list[tuple[AppendLease, float]] = []
        self.slices: list[list[LeasesRead]] = [[] for _ in range(HOSTS)]
        self.effects: list[Effect] = []
        self.states: list[LeasesState] = []
        for host in range(HOSTS):
            self.states.append(self.new_state(host))

    def new_state(self, host: int) -> LeasesState:
        self.incarnations += 1
        state = LeasesState(
            host_id=f"h{host}", incarnation=f"i{self.incarnations}", limits=LIMITS
        )
        wanted = LeasesWanted(frozenset({NAME}))
        state.handle(wanted, self.clocks[host].at(self.true_s))
        return state

    def apply(self, host: int, event: Any) -> None:
        now_s = self.clocks[host].at(self.true_s)
        for decision in self.states[host].handle(event, now_s):
            if isinstance(decision, AppendLease):
                assert self.appends[host] is None, "two appends in flight"
                self.appends[host] = decision

    def slice(self, host: int, records: tuple[LogRecord, ...]) -> LeasesRead:
        read_s = self.clocks[host].at(self.true_s)
        return LeasesRead(self.first, len(self.records), records, read_s)

    def check_one_holder(self) -> None:
        valid = [
            host
            for host, state in enumerate(self.states)
            if state.may_send(
                NAME,
                checks_fencing=True,
                timeout_s=0.0,
                now_s=self.clocks[host].at(self.true_s),
            )
        ]
        assert len(valid) <= 1, "two leases are valid at once"

    def tick(self, host: int, arg: int) -> None:
        if not self.paused[host]:
            self.apply(host, LeasesTick())

    def append(self, host: int, arg: int) -> None:
        append, self.appends[host] = self.appends[host], None
        if append is None:
            return
        if arg % 5 == 0:
            self.delayed.append((append, self.true_s))
        elif self.up and arg % 5 != 1:
            self.records.append((dict(append.record), self.true_s))
        self.apply(host, LeaseAppendEnded(append.name))

    def land_delayed(self, host: int, arg: int) -> None:
        if self.delayed:
            append, sent_s = self.delayed.pop(arg % len(self.delayed))
            if self.true_s - sent_s < MAX_DELAY_S:
                self.records.append((dict(append.record), self.true_s))

    def read(self, host: int, arg: int) -> None:
        if self.up:
            start = max(self.first, self.states[host].fold.next_offset + arg % 4 - 2)
            stop = min(len(self.records), start + 1 + arg % 5)
            part = tuple(LogRecord(o, self.records[o][0]) for o in range(start, stop))
            self.slices[host].append(self.slice(host, part))

    def deliver(self, host: int, arg: int) -> None:
        slices = self.slices[host]
        if slices and not self.paused[host]:
            self.apply(host, slices.pop(arg % len(slices)))

    def order(self, host: int, arg: int) -> None:
        timeout_s = (1.0, LIMITS.order_timeout_s)[arg % 2]
        now_s = self.clocks[host].at(self.true_s)
        state = self.states[host]
        if self.paused[host] or not state.may_send(
            NAME, checks_fencing=False, timeout_s=timeout_s, now_s=now_s
        ):
            return
        holding = state.holding(NAME)
        assert holding is not None
        last_s = self.true_s + timeout_s
        new = Effect(host, holding.fence, self.true_s, last_s)
        for other in self.effects:
            if other.fence != new.fence:
                assert other.last_s < new.sent_s, "orders of two holders overlap"
                assert other.fence < new.fence, "an older holder's order came last"
            else:
                assert other.host == new.host, "one token for two holders"
        self.effects.append(new)

    def advance(self, host: int, arg: int) -> None:
        self.true_s += (0.1, 0.5, 1.0, 2.0, 4.0)[arg % 5]

    def pause(self, host: int, arg: int) -> None:
        self.paused[host] = not self.paused[host]

    def restart(self, host: int, arg: int) -> None:
        append, self.appends[host] = self.appends[host], None
        if append is not None and arg % 2:
            self.delayed.append((append, self.true_s))
        self.slices[host] = []
        self.paused[host] = False
        self.states[host] = self.new_state(host)

    def toggle_log(self, host: int, arg: int) -> None:
        self.up = not self.up

    def cut(self, host: int, arg: int) -> None:
        limit_s = self.true_s - RETENTION_S
        old = [o for o, record in enumerate(self.records) if record[1] < limit_s]
        self.first = max(self.first, old[-1] + 1 if old else 0)


COMMON = (
    World.tick,
    World.append,
    World.read,
    World.deliver,
    World.order,
    World.advance,
)
RARE = (
    World.pause,
    World.restart,
    World.toggle_log,
    World.cut,
    World.land_delayed,
)


def round_of_work(world: World) -> None:
    """Let every host tick, append, read everything and try an order."""
    for host in range(HOSTS):
        world.tick(host, 0)
        world.append(host, 2)
    for host in range(HOSTS):
        start = max(world.first, world.states[host].fold.next_offset)
        records = tuple(
            LogRecord(o, world.records[o][0]) for o in range(start, len(world.records))
        )
        if world.up and not world.paused[host]:
            world.apply(host, world.slice(host, records))
        world.order(host, 1)


@settings(max_examples=150)
@given(st.integers(0, 2**32))
def test_orders_of_two_holders_never_overlap(seed: int) -> None:
    """Guards against two holders at an unchecked upstream and a stuck lease."""
    rng = random.Random(seed)
    world = World(rng)
    weights = [rng.choice((1, 3, 9)) for _ in COMMON]
    weights += [rng.choice((0, 0, 1)) for _ in RARE]
    rounds = rng.choice((0.02, 0.1, 0.5))
    for step in rng.choices((*COMMON, *RARE), weights, k=500):
        step(world, rng.randrange(HOSTS), rng.randrange(60))
        world.check_one_holder()
        if rng.random() < rounds:
            round_of_work(world)
    world.up, world.paused = True, [False] * HOSTS
    while world.delayed:
        world.land_delayed(0, 0)
    for _ in range(120):
        world.cut(0, 0)
        world.advance(0, 2)
        round_of_work(world)
        world.check_one_holder()
    assert world.effects and world.effects[-1].last_s >= world.true_s - 10.0
    holders = {state.fold.holder(NAME) for state in world.states}
    assert len(holders) == 1, "the folds differ"


@pytest.mark.parametrize(
    ("checks_fencing", "now_s", "allowed"),
    [
        (False, 4.9, False),
        (False, 5.0, True),
        (False, 15.0, True),
        (False, 15.1, False),
        (True, 0.0, True),
        (True, 19.9, True),
        (True, 20.0, False),
    ],
)
def test_when_an_order_may_be_sent(
    checks_fencing: bool, now_s: float, allowed: bool
) -> None:
    """Guards against an order that a lapsed or too young lease sends."""
    holding = Holding(fence=1, until_s=20.0, unchecked_from_s=5.0)
    assert allowed is may_send(
        holding, checks_fencing=checks_fencing, timeout_s=5.0, now_s=now_s
    )


def test_lease_counts_from_before_the_append() -> None:
    """Guards against a lease that a slow log makes longer for its holder."""
    state = LeasesState(host_id="h", incarnation="i", limits=LIMITS)
    state.handle(LeasesWanted(frozenset({NAME})), 0.0)
    (append,) = state.handle(LeasesRead(0, 0, (), 100.0), 100.0)
    assert isinstance(append, AppendLease)
    read = LeasesRead(0, 1, (LogRecord(0, append.record),), 107.0)
    state.handle(read, 107.0)
    holding = state.holding(NAME)
    wait_s = (LIMITS.ttl_s + LIMITS.order_timeout_s) * (1 + LIMITS.clock_rate_bound)
    assert holding == Holding(0, 100.0 + LIMITS.ttl_s, 107.0 + wait_s)


def test_host_behind_a_cut_reaches_the_same_holder() -> None:
    """Guards against a renewal that hides a take it had not seen."""

    def record(host: str, as_of: int, holder: Any, **kind: Any) -> dict[str, Any]:
        base = {"type": "lease", "record_id": f"{host}{as_of}", "name": NAME}
        ids = {"host": host, "incarnation": host, "ttl_s": 10.0, "first": 0}
        fences = {"renews": None, "supersedes": None, **kind}
        return {**base, **ids, "as_of": as_of, "holder": holder, **fences}

    log = (
        record("h", 0, None),
        record("h", 1, [0, 0, 10.0], renews=0),
        {"type": "other"},
        record("x", 2, [0, 1, 10.0], supersedes=0),
        record("h", 3, [0, 1, 10.0], renews=0),
    )
    records = tuple(LogRecord(offset, data) for offset, data in enumerate(log))
    for first in range(4):
        fold = LeaseFold()
        fold.read(first, records[first:])
        holder = fold.holder(NAME)
        assert holder is not None and (holder.fence, holder.host) == (3, "x")
