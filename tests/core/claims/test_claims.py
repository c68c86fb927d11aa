"""Check claims over random interleavings of hosts, log, faults and restarts."""

import random
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonwell._exceptions import KeyReusedError
from persimmonwell.core import Outcome
from persimmonwell.core.claims import (
    AppendClaims,
    CallFinished,
    CallResult,
    ClaimAnswered,
    ClaimDecision,
    ClaimFold,
    ClaimKey,
    ClaimLimits,
    ClaimRefused,
    ClaimRequested,
    ClaimsAppended,
    ClaimsAppendUncertain,
    ClaimsEvent,
    ClaimsRead,
    ClaimsState,
    ClaimsTick,
    ClaimWon,
)
from persimmonwell.core.config import LogRecord

RETENTION_S = 60.0
HOSTS = 3
KEYS = tuple(ClaimKey("w", "booking", name) for name in ("a", "b"))


@attrs.define
class Sent:
    request: ClaimRequested
    claim_id: str
    at_s: float


class World:
    """Hold hosts, a log with retention, and everything that ran."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.up = True
        self.cuts = 0
        self.records: list[tuple[dict[str, Any], float]] = []
        self.first = 0
        self.states: list[ClaimsState] = []
        self.appends: list[AppendClaims | None] = [None] * HOSTS
        self.delayed: list[AppendClaims] = []
        self.slices: list[list[ClaimsRead]] = [[] for _ in range(HOSTS)]
        self.won: list[list[ClaimWon]] = [[] for _ in range(HOSTS)]
        self.running: list[list[Sent]] = [[] for _ in range(HOSTS)]
        self.sent: list[Sent] = []
        self.requests: dict[str, ClaimRequested] = {}
        self.arrived_s: dict[str, float] = {}
        self.answers: dict[str, ClaimDecision | Outcome] = {}
        self.incarnations = 0
        self.live: dict[int, str] = {}
        for host in range(HOSTS):
            self.states.append(self.new_state(host))

    def new_state(self, host: int) -> ClaimsState:
        incarnation = f"i{self.incarnations}"
        self.incarnations += 1
        self.live[host] = incarnation
        return ClaimsState(
            host_id=f"h{host}", incarnation=incarnation, limits=ClaimLimits()
        )

    def apply(self, host: int, event: ClaimsEvent) -> None:
        for decision in self.states[host].handle(event, self.now_s):
            match decision:
                case AppendClaims():
                    assert self.appends[host] is None, "two appends in flight"
                    self.appends[host] = decision
                case ClaimWon():
                    self.won[host].append(decision)
                case ClaimAnswered(request_id, _, result):
                    self.check_answered(self.requests[request_id], result)
                    self.answers[request_id] = decision
                case ClaimRefused():
                    self.answers[decision.request_id] = decision
                    if decision.outcome is Outcome.NOT_RUN:
                        body_matters = isinstance(decision.error, KeyReusedError)
                        self.check_not_run(decision.request_id, body_matters)

    def check_answered(self, request: ClaimRequested, result: CallResult) -> None:
        origin = [s for s in self.sent if s.claim_id.encode() == result.body]
        assert [s.request.key for s in origin] == [request.key]
        assert origin[0].request.digest == request.digest

    def check_not_run(self, request_id: str, body_matters: bool) -> None:
        request = self.requests[request_id]
        for sent in self.sent:
            same = sent.request.key == request.key and (
                not body_matters or sent.request.digest == request.digest
            )
            before = sent.at_s < self.arrived_s[request_id]
            assert not (same and before and self.landings(sent.claim_id)), (
                "not-run after a run under the same key"
            )
            assert sent.request.request_id != request_id

    def landings(self, claim_id: str) -> list[int]:
        return [
            offset
            for offset, (data, _) in enumerate(self.records)
            if offset >= self.first
            and (data["type"], data["claim_id"]) == ("claim", claim_id)
        ]

    def request(self, host: int, arg: int) -> None:
        key = KEYS[arg % 2]
        request_id = f"r{len(self.requests)}"
        is_first = all(r.key != key for r in self.requests.values())
        request = ClaimRequested(
            request_id=request_id,
            key=key,
            digest="other" if arg % 7 == 3 else "same",
            deadline_s=self.now_s + (4.0, 20.0, 90.0)[arg % 3],
            first_attempt=is_first and arg % 5 != 0,
        )
        self.requests[request_id] = request
        self.arrived_s[request_id] = self.now_s
        self.now_s += 0.001
        self.apply(host, request)

    def land(self, append: AppendClaims) -> None:
        for record in append.records:
            self.records.append((dict(record), self.now_s))

    def append(self, host: int, arg: int) -> None:
        append, self.appends[host] = self.appends[host], None
        if append is None:
            return
        if self.up and arg % 4 == 0:
            self.land(append)
            self.apply(host, ClaimsAppended(append.batch_id))
            return
        if self.up and arg % 4 == 1:
            self.land(append)
        elif arg % 4 == 2:
            self.delayed.append(append)
        self.apply(host, ClaimsAppendUncertain(append.batch_id))

    def land_delayed(self, host: int, arg: int) -> None:
        if self.delayed:
            self.land(self.delayed.pop(arg % len(self.delayed)))

    def read(self, host: int, arg: int) -> None:
        if not self.up:
            return
        start = max(self.first, self.states[host].fold.next_offset + arg % 4 - 2)
        stop = min(len(self.records), start + 1 + arg % 5)
        records = tuple(LogRecord(o, self.records[o][0]) for o in range(start, stop))
        self.slices[host].append(ClaimsRead(self.first, records, self.now_s))

    def deliver(self, host: int, arg: int) -> None:
        if self.slices[host]:
            slices = self.slices[host]
            self.apply(host, slices.pop(arg % len(slices)))

    def send(self, host: int, arg: int) -> None:
        if not self.won[host]:
            return
        won = self.won[host].pop(arg % len(self.won[host]))
        if self.now_s >= won.send_before_s or arg % 6 == 1:
            self.check_not_run(won.request_id, False)
            self.answers[won.request_id] = Outcome.NOT_RUN
            self.apply(host, CallFinished(won.claim_id, None))
            return
        landings = self.landings(won.claim_id)
        for earlier in self.sent:
            if earlier.request.key == self.requests[won.request_id].key:
                before = [o for o in self.landings(earlier.claim_id) if o < landings[0]]
                assert not before, "two dispatches of one retained key"
        assert won.request_id not in self.answers
        request = self.requests[won.request_id]
        sent = Sent(request, won.claim_id, self.now_s)
        self.sent.append(sent)
        self.running[host].append(sent)

    def finish(self, host: int, arg: int) -> None:
        if self.running[host]:
            sent = self.running[host].pop(arg % len(self.running[host]))
            result = CallResult(200, Outcome.COMPLETE, (), sent.claim_id.encode())
            self.answers[sent.request.request_id] = Outcome.COMPLETE
            self.apply(host, CallFinished(sent.claim_id, result))

    def advance(self, host: int, arg: int) -> None:
        self.now_s += (0.05, 0.3, 1.0, 6.0, 35.0)[arg % 5]
        for number in range(HOSTS):
            self.apply(number, ClaimsTick())

    def restart(self, host: int, arg: int) -> None:
        append = self.appends[host]
        if append is not None and arg % 2:
            self.delayed.append(append)
        self.appends[host] = None
        self.slices[host], self.won[host], self.running[host] = [], [], []
        self.states[host] = self.new_state(host)

    def toggle_log(self, host: int, arg: int) -> None:
        self.up = not self.up

    def cut(self, host: int, arg: int) -> None:
        old = [o for o, r in enumerate(self.records) if r[1] < self.now_s - RETENTION_S]
        first = max(self.first, (old[-1] + 1) if old else 0)
        self.cuts += first > self.first
        self.first = first

    def settle(self) -> None:
        """End every fault and let all hosts finish their work."""
        self.up = True
        while self.delayed:
            self.land(self.delayed.pop())
        for _ in range(40):
            for host in range(HOSTS):
                self.append(host, 0)
                while self.won[host]:
                    self.send(host, 0)
                while self.running[host]:
                    self.finish(host, 0)
            for host in range(HOSTS):
                start = max(self.first, self.states[host].fold.next_offset)
                records = tuple(
                    LogRecord(o, self.records[o][0])
                    for o in range(start, len(self.records))
                )
                self.apply(host, ClaimsRead(self.first, records, self.now_s))
            self.advance(0, 3)


RARE = (World.restart, World.toggle_log, World.cut, World.land_delayed)
COMMON = (
    World.request,
    World.append,
    World.read,
    World.deliver,
    World.send,
    World.finish,
    World.advance,
)


def run_script(world: World, seed: int) -> None:
    """Run 200 steps whose mix is drawn too, so that some runs lack a fault."""
    rng = random.Random(seed)
    weights = [rng.choice((1, 3, 9)) for _ in COMMON]
    weights += [rng.choice((0, 0, 1)) for _ in RARE]
    for step in rng.choices((*COMMON, *RARE), weights, k=200):
        step(world, rng.randrange(HOSTS), rng.randrange(420))


def reference_winner(world: World, key: ClaimKey) -> str | None:
    """Return the winner from the whole log at once, in the obvious way."""
    data = [record for record, _ in world.records]
    released = {r["claim_id"] for r in data if r["type"] == "released"}
    for r in data:
        own_key = ClaimKey(*(r.get(n, "") for n in ("workspace", "service", "key")))
        if r["type"] == "claim" and own_key == key and r["claim_id"] not in released:
            return str(r["claim_id"])
    return None


@settings(max_examples=400)
@given(st.integers(0, 2**32))
def test_at_most_one_dispatch_and_true_outcomes(seed: int) -> None:
    """Guards against a second dispatch, a false not-run and a stuck key."""
    world = World()
    run_script(world, seed)
    world.settle()
    if world.cuts:
        return
    for key in KEYS:
        expected = reference_winner(world, key)
        for state in world.states:
            winner = state.fold.winner(key)
            assert (winner.claim_id if winner else None) == expected
            if winner is not None and winner.result is None:
                # Only a lost incarnation may leave a key without a result.
                assert winner.incarnation not in world.live.values()
    for state in world.states:
        assert state.idle


def single(now_s: float = 0.0, **changes: Any) -> tuple[ClaimsState, ClaimRequested]:
    state = ClaimsState(host_id="h", incarnation="i")
    request = ClaimRequested("r", KEYS[0], "d", now_s + 60.0, first_attempt=True)
    return state, attrs.evolve(request, **changes)


@pytest.mark.parametrize(
    ("first_attempt", "outcome"),
    [(True, Outcome.NOT_RUN), (False, Outcome.MAY_HAVE_RUN)],
)
def test_lost_append_in_an_outage_is_withdrawn(
    first_attempt: bool, outcome: Outcome
) -> None:
    """Guards against a claim that blocks its key after a refusal."""
    state, request = single(first_attempt=first_attempt)
    (append,) = state.handle(request, 0.0)
    assert isinstance(append, AppendClaims)
    state.handle(ClaimsAppendUncertain(append.batch_id), 2.0)
    (again,) = state.handle(ClaimsTick(), 2.2)
    assert isinstance(again, AppendClaims) and again.records == append.records
    state.handle(ClaimsAppendUncertain(again.batch_id), 4.2)
    refused, release = state.handle(ClaimsTick(), 5.0)
    assert isinstance(refused, ClaimRefused) and refused.outcome is outcome
    assert refused.error.code == "claims_unavailable"
    assert isinstance(release, AppendClaims)
    assert [record["type"] for record in release.records] == ["released"]


def test_outage_owes_few_withdrawals() -> None:
    """Guards against one withdrawal per refused call of a long outage."""
    state, request = single()
    owed, now_s = 0, 0.0
    for number in range(200):
        arrived = attrs.evolve(
            request,
            request_id=f"r{number}",
            key=ClaimKey("w", "s", str(number)),
            deadline_s=now_s + 60.0,
        )
        for event in (arrived, ClaimsTick()):
            for decision in state.handle(event, now_s):
                if isinstance(decision, AppendClaims):
                    owed = max(owed, len(decision.records))
                    event_lost = ClaimsAppendUncertain(decision.batch_id)
                    state.handle(event_lost, now_s + 0.1)
        now_s += 0.5
    assert owed <= 12


@pytest.mark.parametrize("size", [4096, 4097])
@pytest.mark.parametrize("fill", [b"x", b"\xff"])
def test_result_body_limit(size: int, fill: bytes) -> None:
    """Guards against a recorded body that is cut or altered."""
    world = World()
    world.request(0, 1)
    world.append(0, 0)
    for host in (0, 1):
        world.read(host, 6)
        world.deliver(host, 0)
    claim_id = world.won[0][0].claim_id
    body = fill * size
    result = CallResult(201, Outcome.COMPLETE, (("Location", "/b/1"),), body)
    world.apply(0, CallFinished(claim_id, result))
    world.now_s += 1
    world.apply(0, ClaimsTick())
    world.append(0, 0)
    world.read(1, 6)
    world.deliver(1, 0)
    winner = world.states[1].fold.winner(KEYS[1])
    assert winner is not None
    kept = body if size <= 4096 else None
    assert winner.result == attrs.evolve(result, body=kept)


def test_retention_bounds_memory() -> None:
    """Guards against claims kept past the log's retention."""
    world = World()
    for number in range(50):
        world.request(0, number)
        world.append(0, 0)
        world.advance(0, 0)
    world.settle()
    world.now_s += 2 * RETENTION_S
    world.cut(0, 0)
    world.settle()
    assert world.states[1].fold.key_count == 0
    assert world.states[1].fold.next_offset == len(world.records)


def landed(append: AppendClaims, first: int, read_s: float) -> ClaimsRead:
    records = tuple(LogRecord(first + i, r) for i, r in enumerate(append.records))
    return ClaimsRead(0, records, read_s)


@pytest.mark.parametrize(("read_s", "won"), [(29.0, True), (30.0, False)])
def test_old_claim_is_not_sent(read_s: float, won: bool) -> None:
    """Guards against a send after retention may have dropped the claim."""
    _, request = single()
    limits = ClaimLimits(record_timeout_s=60.0, send_limit_s=30.0)
    state = ClaimsState(host_id="h", incarnation="i", limits=limits)
    (append,) = state.handle(request, 0.0)
    assert isinstance(append, AppendClaims)
    state.handle(ClaimsAppended(append.batch_id), read_s)
    decision = state.handle(landed(append, 0, read_s), read_s)[0]
    if won:
        assert isinstance(decision, ClaimWon) and decision.send_before_s == 30.0
    else:
        assert isinstance(decision, ClaimRefused)
        assert decision.outcome is Outcome.NOT_RUN


def test_key_is_free_on_this_host_before_its_withdrawal_is_read() -> None:
    """Guards against a repeat that waits for this host's own withdrawal."""
    state, request = single()
    (append,) = state.handle(request, 0.0)
    assert isinstance(append, AppendClaims)
    state.handle(ClaimsAppended(append.batch_id), 0.1)
    (won,) = state.handle(landed(append, 0, 0.1), 0.1)
    assert isinstance(won, ClaimWon)
    repeat = attrs.evolve(request, request_id="again")
    state.handle(repeat, 0.2)
    (both,) = state.handle(CallFinished(won.claim_id, None), 0.2)
    assert isinstance(both, AppendClaims)
    assert [record["type"] for record in both.records] == ["released", "claim"]
    assert isinstance(state.handle(landed(both, 1, 0.3), 0.3)[0], ClaimWon)


@pytest.mark.parametrize(
    ("read_s", "outcome"),
    [(0.3, Outcome.NOT_RUN), (0.15, Outcome.MAY_HAVE_RUN)],
)
def test_reused_key_is_judged_on_a_current_read(
    read_s: float, outcome: Outcome
) -> None:
    """Guards against not-run from a view older than the request."""
    state, request = single()
    (append,) = state.handle(request, 0.0)
    assert isinstance(append, AppendClaims)
    state.handle(landed(append, 0, 0.1), 0.1)
    other = attrs.evolve(request, request_id="other", digest="x")
    assert state.handle(other, 0.2) == ()
    decisions = state.handle(ClaimsRead(0, (), read_s), 0.4)
    decisions += state.handle(ClaimsTick(), 5.2)
    refused = [d for d in decisions if isinstance(d, ClaimRefused)]
    assert [(r.error.code, r.outcome) for r in refused] == [
        ("idempotency_key_reused", outcome)
    ]


def test_repeated_record_keeps_its_claim_past_the_first_cut() -> None:
    """Guards against hosts that disagree on a claim recorded twice."""
    record = {"type": "claim", "claim_id": "c", "workspace": "w", "service": "s"}
    record.update(key="k", digest="d", host="h", incarnation="i")
    early, late = ClaimFold(), ClaimFold()
    records = tuple(LogRecord(offset, dict(record)) for offset in range(3))
    early.read(0, records)
    early.read(2, ())
    late.read(2, records[2:])
    for fold in (early, late):
        winner = fold.winner(ClaimKey("w", "s", "k"))
        assert winner is not None and winner.claim_id == "c"
        fold.read(3, ())
        assert fold.key_count == 0
