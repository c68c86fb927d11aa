"""Test leases over random interleavings, clocks, faults and restarts."""

import random
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonwell.core import leases as ls
from persimmonwell.core.config import LogRecord
from tests.core.log_simulation import HOSTS, LogSimulation, run_script

NAME = "coach"
LIMITS = ls.LeaseLimits()


@attrs.define
class Clock:
    """Clock of one host, with its own rate and origin."""

    rate: float
    origin_s: float

    def at(self, true_s: float) -> float:
        return self.origin_s + self.rate * true_s


@attrs.frozen
class OrderEffect:
    """Order at the upstream: its send and its last possible effect, in true time."""

    host: int
    fence: int
    sent_s: float
    last_s: float


class LeasesSimulation(LogSimulation):
    """Simulated hosts with clocks of their own, and the orders that upstreams got.

    now_s is the true time.
    """

    retention_s = 40.0
    max_delay_s = 15.0

    def __init__(self, rng: random.Random) -> None:
        spread = LIMITS.clock_rate_bound / 2
        self.clocks = [
            Clock(1 + rng.uniform(-spread, spread), rng.uniform(0, 1e4))
            for _ in range(HOSTS)
        ]
        self.effects: list[OrderEffect] = []
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

    def read_event(self, host: int, records: tuple[LogRecord, ...]) -> ls.LeasesRead:
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
        holding = state.held_lease(NAME)
        assert holding is not None
        last_s = self.now_s + timeout_s
        new = OrderEffect(host, holding.fence, self.now_s, last_s)
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
RARE = ("pause", "restart", "toggle_log", "apply_retention", "store_delayed_append")


@settings(max_examples=150)
@given(st.integers(0, 2**32))
def test_orders_of_two_holders_never_overlap(seed: int) -> None:
    """Guards against orders of two holders at an upstream that does not check fencing
    tokens, and against a lease that nobody can take.
    """
    rng = random.Random(seed)
    simulation = LeasesSimulation(rng)
    round_probability = rng.choice((0.02, 0.1, 0.5))

    def after() -> None:
        simulation.check_one_holder()
        if rng.random() < round_probability:
            simulation.round()

    run_script(simulation, rng, common=COMMON, rare=RARE, steps=500, after=after)
    simulation.end_faults()
    for _ in range(120):
        simulation.apply_retention(0, 0)
        simulation.advance(0, 2)
        simulation.round()
        simulation.check_one_holder()
    assert (
        simulation.effects and simulation.effects[-1].last_s >= simulation.now_s - 10.0
    )
    holders = {state.fold.holder(NAME) for state in simulation.states}
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
    """Guards against an order under a lease that has expired or is too new."""
    holding = ls.HeldLease(fence=1, until_s=20.0, unfenced_from_s=5.0)
    assert allowed is ls.may_send(
        holding, checks_fencing=checks_fencing, timeout_s=5.0, now_s=now_s
    )


def test_lease_counts_from_before_the_append() -> None:
    """Guards against a holder that counts its lease from a late answer of the log."""
    state = ls.LeasesState(host_id="h", incarnation="i", limits=LIMITS)
    state.handle(ls.LeasesWanted(frozenset({NAME})), 0.0)
    (append,) = state.handle(ls.LeasesRead(0, 0, (), 100.0), 100.0)
    assert isinstance(append, ls.AppendLease)
    read = ls.LeasesRead(0, 1, (LogRecord(0, append.record),), 107.0)
    state.handle(read, 107.0)
    holding = state.held_lease(NAME)
    wait_s = (LIMITS.ttl_s + LIMITS.order_timeout_s) * (1 + LIMITS.clock_rate_bound)
    assert holding == ls.HeldLease(0, 100.0 + LIMITS.ttl_s, 107.0 + wait_s)


def lease_record(host: str, as_of: int, holder: Any, **kind: Any) -> dict[str, Any]:
    base = {"type": "lease", "record_id": f"{host}{as_of}", "name": NAME}
    ids = {"host": host, "incarnation": host, "ttl_s": 10.0, "first": 0}
    fences = {"renews": None, "supersedes": None, **kind}
    return {**base, **ids, "as_of": as_of, "holder": holder, **fences}


TAKE_AND_RENEW = (
    lease_record("h", 0, None),
    lease_record("h", 1, [0, 0, 10.0], renews=0),
)
TAKEOVER_LOG = (
    *TAKE_AND_RENEW,
    {"type": "other"},
    lease_record("x", 2, [0, 1, 10.0], supersedes=0),
    lease_record("h", 3, [0, 1, 10.0], renews=0),
)


@pytest.mark.parametrize(
    ("log", "first", "fence", "known"),
    [
        *[(TAKEOVER_LOG, first, 3, True) for first in range(4)],
        (TAKEOVER_LOG, 4, None, False),
        (
            (*TAKE_AND_RENEW, lease_record("x", 1, [0, 0, 10.0], supersedes=0)),
            0,
            0,
            True,
        ),
        (
            (*TAKE_AND_RENEW, lease_record("x", 2, [0, 1, 10.0], supersedes=0)),
            0,
            2,
            True,
        ),
        (
            (*TAKE_AND_RENEW, lease_record("x", 1, [0, 0, 10.0], supersedes=0)),
            2,
            None,
            False,
        ),
    ],
)
def test_holder_from_part_of_the_log(
    log: Any, first: int, fence: int | None, known: bool
) -> None:
    """Guards against a take-over despite a renewal that the taker had not read.

    Also guards against a holder derived from a record whose as_of offset is past
    retention.
    """
    fold = ls.LeaseFold()
    fold.apply_records(first, [LogRecord(o, log[o]) for o in range(first, len(log))])
    holder = fold.holder(NAME)
    assert (holder and holder.fence, fold.is_known(NAME)) == (fence, known)
