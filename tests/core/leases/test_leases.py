"""Check leases over random interleavings, clocks, faults and restarts."""

import random
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonwell.core import leases as ls
from persimmonwell.core.config import LogRecord
from tests.core.log_simulation import HOSTS, LogSimulation, run_random_steps

NAME = "coach"
LIMITS = ls.LeaseLimits()


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


class World(LogSimulation):
    """Hold the hosts' clocks and the orders that upstreams got; now_s is true."""

    retention_s = 40.0
    max_delay_s = 15.0

    def __init__(self, rng: random.Random) -> None:
        spread = LIMITS.clock_rate_bound / 2
        self.clocks = [
            Clock(1 + rng.uniform(-spread, spread), rng.uniform(0, 1e4))
            for _ in range(HOSTS)
        ]
        self.effects: list[Effect] = []
        super().__init__()

    def clock_s(self, host: int) -> float:
        return self.clocks[host].at(self.now_s)

    def new_state(self, host: int) -> ls.LeasesState:
        self.incarnations += 1
        state = ls.LeasesState(
            host_id=f"h{host}", incarnation=f"i{self.incarnations}", limits=LIMITS
        )
        state.handle(ls.LeasesWanted(frozenset({NAME})), self.clock_s(host))
        return state

    def apply(self, host: int, event: Any) -> None:
        for decision in self.states[host].handle(event, self.clock_s(host)):
            if isinstance(decision, ls.AppendLease):
                self.start_append(host, decision)

    def append_ended(self, host: int, append: ls.AppendLease, confirmed: bool) -> None:
        self.apply(host, ls.LeaseAppendEnded(append.name))

    def make_read_event(
        self, host: int, records: tuple[LogRecord, ...]
    ) -> ls.LeasesRead:
        read_s = self.clock_s(host)
        return ls.LeasesRead(self.first_offset, len(self.records), records, read_s)

    def check_one_holder(self) -> None:
        valid = [
            host
            for host, state in enumerate(self.states)
            if state.may_send(
                NAME, checks_fencing=True, timeout_s=0.0, now_s=self.clock_s(host)
            )
        ]
        assert len(valid) <= 1, "two leases are valid at once"

    def tick(self, host: int, arg: int) -> None:
        if not self.paused[host]:
            self.apply(host, ls.LeasesTick())

    def order(self, host: int, arg: int) -> None:
        timeout_s = (1.0, LIMITS.order_timeout_s)[arg % 2]
        now_s = self.clock_s(host)
        state = self.states[host]
        if self.paused[host] or not state.may_send(
            NAME, checks_fencing=False, timeout_s=timeout_s, now_s=now_s
        ):
            return
        holding = state.holding(NAME)
        assert holding is not None
        last_s = self.now_s + timeout_s
        new = Effect(host, holding.fence, self.now_s, last_s)
        for other in self.effects:
            if other.fence != new.fence:
                assert other.last_s < new.sent_s, "orders of two holders overlap"
                assert other.fence < new.fence, "an older holder's order came last"
            else:
                assert other.host == new.host, "one token for two holders"
        self.effects.append(new)

    def advance(self, host: int, arg: int) -> None:
        self.now_s += (0.1, 0.5, 1.0, 2.0, 4.0)[arg % 5]

    def pause(self, host: int, arg: int) -> None:
        self.paused[host] = not self.paused[host]

    def round(self) -> None:
        """Let every host tick, append, read everything and try an order."""
        for host in range(HOSTS):
            self.tick(host, 0)
            self.append(host, 0)
        for host in range(HOSTS):
            self.read_all(host)
            self.order(host, 1)


COMMON = ("tick", "append", "read", "deliver", "order", "advance")
RARE = ("pause", "restart", "toggle_log", "truncate", "commit_delayed")


@settings(max_examples=150)
@given(st.integers(0, 2**32))
def test_orders_of_two_holders_never_overlap(seed: int) -> None:
    """Guards against two holders at an unchecked upstream and a stuck lease."""
    rng = random.Random(seed)
    world = World(rng)
    rounds = rng.choice((0.02, 0.1, 0.5))

    def after() -> None:
        world.check_one_holder()
        if rng.random() < rounds:
            world.round()

    run_random_steps(world, rng, common=COMMON, rare=RARE, steps=500, after=after)
    world.end_faults()
    for _ in range(120):
        world.truncate(0, 0)
        world.advance(0, 2)
        world.round()
        world.check_one_holder()
    assert world.effects and world.effects[-1].last_s >= world.now_s - 10.0
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
    holding = ls.Holding(fence=1, until_s=20.0, unchecked_from_s=5.0)
    assert allowed is ls.may_send(
        holding, checks_fencing=checks_fencing, timeout_s=5.0, now_s=now_s
    )


def test_lease_counts_from_before_the_append() -> None:
    """Guards against a lease that a slow log makes longer for its holder."""
    state = ls.LeasesState(host_id="h", incarnation="i", limits=LIMITS)
    state.handle(ls.LeasesWanted(frozenset({NAME})), 0.0)
    (append,) = state.handle(ls.LeasesRead(0, 0, (), 100.0), 100.0)
    assert isinstance(append, ls.AppendLease)
    read = ls.LeasesRead(0, 1, (LogRecord(0, append.record),), 107.0)
    state.handle(read, 107.0)
    holding = state.holding(NAME)
    wait_s = (LIMITS.ttl_s + LIMITS.order_timeout_s) * (1 + LIMITS.clock_rate_bound)
    assert holding == ls.Holding(0, 100.0 + LIMITS.ttl_s, 107.0 + wait_s)


def record(host: str, as_of: int, holder: Any, **kind: Any) -> dict[str, Any]:
    base = {"type": "lease", "record_id": f"{host}{as_of}", "name": NAME}
    ids = {"host": host, "incarnation": host, "ttl_s": 10.0, "first": 0}
    fences = {"renews": None, "supersedes": None, **kind}
    return {**base, **ids, "as_of": as_of, "holder": holder, **fences}


TAKE = (record("h", 0, None), record("h", 1, [0, 0, 10.0], renews=0))
HIDDEN = (
    *TAKE,
    {"type": "other"},
    record("x", 2, [0, 1, 10.0], supersedes=0),
    record("h", 3, [0, 1, 10.0], renews=0),
)


@pytest.mark.parametrize(
    ("log", "first", "fence", "known"),
    [
        *[(HIDDEN, first, 3, True) for first in range(4)],
        (HIDDEN, 4, None, False),
        ((*TAKE, record("x", 1, [0, 0, 10.0], supersedes=0)), 0, 0, True),
        ((*TAKE, record("x", 2, [0, 1, 10.0], supersedes=0)), 0, 2, True),
        ((*TAKE, record("x", 1, [0, 0, 10.0], supersedes=0)), 2, None, False),
    ],
)
def test_holder_from_part_of_the_log(
    log: Any, first: int, fence: int | None, known: bool
) -> None:
    """Guards against a take over an unread renewal, and against a guess from a
    record whose basis was cut away."""
    fold = ls.LeaseFold()
    fold.read(first, [LogRecord(o, log[o]) for o in range(first, len(log))])
    holder = fold.holder(NAME)
    assert (holder and holder.fence, fold.is_known(NAME)) == (fence, known)
