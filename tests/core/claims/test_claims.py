"""Check claims over random interleavings of hosts, log, faults and restarts."""

import random
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonwell._exceptions import KeyReusedError
from persimmonwell.core import Outcome
from persimmonwell.core import claims as cl
from persimmonwell.core.config import LogRecord
from tests.core.log_simulation import HOSTS, LogSimulation, run_random_steps

KEYS = tuple(cl.ClaimKey("w", "booking", name) for name in ("a", "b"))


@attrs.define
class Sent:
    request: cl.ClaimRequested
    claim_id: str
    at_s: float


class World(LogSimulation):
    """Hold everything that was asked and that ran."""

    def __init__(self) -> None:
        self.won: list[list[cl.ClaimWon]] = [[] for _ in range(HOSTS)]
        self.running: list[list[Sent]] = [[] for _ in range(HOSTS)]
        self.sent: list[Sent] = []
        self.requests: dict[str, cl.ClaimRequested] = {}
        self.arrived_s: dict[str, float] = {}
        self.answered: set[str] = set()
        self.live: dict[int, str] = {}
        super().__init__()

    def new_state(self, host: int) -> cl.ClaimsState:
        self.incarnations += 1
        self.live[host] = f"i{self.incarnations}"
        return cl.ClaimsState(host_id=f"h{host}", incarnation=self.live[host])

    def append_ended(self, host: int, append: cl.AppendClaims, confirmed: bool) -> None:
        event = cl.ClaimsAppended if confirmed else cl.ClaimsAppendUncertain
        self.apply(host, event(append.batch_id))

    def make_read_event(
        self, host: int, records: tuple[LogRecord, ...]
    ) -> cl.ClaimsRead:
        return cl.ClaimsRead(self.first_offset, records, self.now_s)

    def apply(self, host: int, event: cl.ClaimsEvent) -> None:
        for decision in self.states[host].handle(event, self.now_s):
            match decision:
                case cl.AppendClaims():
                    self.start_append(host, decision)
                case cl.ClaimWon():
                    self.won[host].append(decision)
                case cl.ClaimAnswered(request_id, _, result):
                    self.check_answered(self.requests[request_id], result)
                    self.answered.add(request_id)
                case cl.ClaimRefused():
                    self.answered.add(decision.request_id)
                    if decision.outcome is Outcome.NOT_RUN:
                        body_matters = isinstance(decision.error, KeyReusedError)
                        self.check_not_run(decision.request_id, body_matters)

    def check_answered(self, request: cl.ClaimRequested, result: cl.CallResult) -> None:
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
            if offset >= self.first_offset
            and (data["type"], data["claim_id"]) == ("claim", claim_id)
        ]

    def request(self, host: int, arg: int) -> None:
        key = KEYS[arg % 2]
        request_id = f"r{len(self.requests)}"
        is_first = all(r.key != key for r in self.requests.values())
        request = cl.ClaimRequested(
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

    def send(self, host: int, arg: int) -> None:
        if not self.won[host]:
            return
        won = self.won[host].pop(arg % len(self.won[host]))
        if self.now_s >= won.send_before_s or arg % 6 == 1:
            self.check_not_run(won.request_id, False)
            self.answered.add(won.request_id)
            self.apply(host, cl.CallFinished(won.claim_id, None))
            return
        landings = self.landings(won.claim_id)
        for earlier in self.sent:
            if earlier.request.key == self.requests[won.request_id].key:
                before = [o for o in self.landings(earlier.claim_id) if o < landings[0]]
                assert not before, "two dispatches of one retained key"
        assert won.request_id not in self.answered
        request = self.requests[won.request_id]
        sent = Sent(request, won.claim_id, self.now_s)
        self.sent.append(sent)
        self.running[host].append(sent)

    def finish(self, host: int, arg: int) -> None:
        if self.running[host]:
            sent = self.running[host].pop(arg % len(self.running[host]))
            result = cl.CallResult(200, Outcome.COMPLETE, (), sent.claim_id.encode())
            self.answered.add(sent.request.request_id)
            self.apply(host, cl.CallFinished(sent.claim_id, result))

    def advance(self, host: int, arg: int) -> None:
        self.now_s += (0.05, 0.3, 1.0, 6.0, 35.0)[arg % 5]
        for number in range(HOSTS):
            self.apply(number, cl.ClaimsTick())

    def restart(self, host: int, arg: int) -> None:
        self.won[host], self.running[host] = [], []
        super().restart(host, arg)

    def settle(self) -> None:
        """End every fault and let all hosts finish their work."""
        self.end_faults()
        for _ in range(40):
            for host in range(HOSTS):
                self.append(host, 0)
                while self.won[host]:
                    self.send(host, 0)
                while self.running[host]:
                    self.finish(host, 0)
            for host in range(HOSTS):
                self.read_all(host)
            self.advance(0, 3)


COMMON = ("request", "append", "read", "deliver", "send", "finish", "advance")
RARE = ("restart", "toggle_log", "truncate", "commit_delayed")


def reference_winner(world: World, key: cl.ClaimKey) -> str | None:
    """Return the winner from the whole log at once, in the obvious way."""
    data = [record for record, _ in world.records]
    released = {r["claim_id"] for r in data if r["type"] == "released"}
    for r in data:
        own_key = cl.ClaimKey(*(r.get(n, "") for n in ("workspace", "service", "key")))
        if r["type"] == "claim" and own_key == key and r["claim_id"] not in released:
            return str(r["claim_id"])
    return None


@settings(max_examples=400)
@given(st.integers(0, 2**32))
def test_at_most_one_dispatch_and_true_outcomes(seed: int) -> None:
    """Guards against a second dispatch, a false not-run and a stuck key."""
    world = World()
    run_random_steps(world, random.Random(seed), common=COMMON, rare=RARE, steps=200)
    world.settle()
    if world.truncations:
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


REQUEST = cl.ClaimRequested("r", KEYS[0], "d", 60.0, first_attempt=True)


def placed(limits: Any = None, **changes: Any) -> tuple[cl.ClaimsState, Any]:
    """Return a state and the append of its first claim, made at time 0."""
    state = cl.ClaimsState(host_id="h", incarnation="i", limits=limits)
    (append,) = state.handle(attrs.evolve(REQUEST, **changes), 0.0)
    return state, append


@pytest.mark.parametrize(
    ("first_attempt", "outcome"),
    [(True, Outcome.NOT_RUN), (False, Outcome.MAY_HAVE_RUN)],
)
def test_lost_append_in_an_outage_is_withdrawn(
    first_attempt: bool, outcome: Outcome
) -> None:
    """Guards against a claim that blocks its key after a refusal."""
    state, append = placed(first_attempt=first_attempt)
    state.handle(cl.ClaimsAppendUncertain(append.batch_id), 2.0)
    (again,) = state.handle(cl.ClaimsTick(), 2.2)
    assert isinstance(again, cl.AppendClaims) and again.records == append.records
    state.handle(cl.ClaimsAppendUncertain(again.batch_id), 4.2)
    refused, release = state.handle(cl.ClaimsTick(), 5.0)
    assert isinstance(refused, cl.ClaimRefused) and refused.outcome is outcome
    assert refused.error.code == "claims_unavailable"
    assert isinstance(release, cl.AppendClaims)
    assert [record["type"] for record in release.records] == ["released"]


def test_outage_owes_few_withdrawals() -> None:
    """Guards against one withdrawal per refused call of a long outage."""
    state = cl.ClaimsState(host_id="h", incarnation="i")
    owed, now_s = 0, 0.0
    for number in range(200):
        arrived = attrs.evolve(
            REQUEST,
            request_id=f"r{number}",
            key=cl.ClaimKey("w", "s", str(number)),
            deadline_s=now_s + 60.0,
        )
        for event in (arrived, cl.ClaimsTick()):
            for decision in state.handle(event, now_s):
                if isinstance(decision, cl.AppendClaims):
                    owed = max(owed, len(decision.records))
                    event_lost = cl.ClaimsAppendUncertain(decision.batch_id)
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
    result = cl.CallResult(201, Outcome.COMPLETE, (("Location", "/b/1"),), body)
    world.apply(0, cl.CallFinished(claim_id, result))
    world.now_s += 1
    world.apply(0, cl.ClaimsTick())
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
    world.now_s += 2 * world.retention_s
    world.truncate(0, 0)
    world.settle()
    assert world.states[1].fold.key_count == 0
    assert world.states[1].fold.next_offset == len(world.records)


def landed(append: cl.AppendClaims, first: int, read_s: float) -> cl.ClaimsRead:
    records = tuple(LogRecord(first + i, r) for i, r in enumerate(append.records))
    return cl.ClaimsRead(0, records, read_s)


@pytest.mark.parametrize(("read_s", "won"), [(29.0, True), (30.0, False)])
def test_old_claim_is_not_sent(read_s: float, won: bool) -> None:
    """Guards against a send after retention may have dropped the claim."""
    limits = cl.ClaimLimits(record_timeout_s=60.0, send_limit_s=30.0)
    state, append = placed(limits)
    state.handle(cl.ClaimsAppended(append.batch_id), read_s)
    decision = state.handle(landed(append, 0, read_s), read_s)[0]
    if won:
        assert isinstance(decision, cl.ClaimWon) and decision.send_before_s == 30.0
    else:
        assert isinstance(decision, cl.ClaimRefused)
        assert decision.outcome is Outcome.NOT_RUN


def test_key_is_free_on_this_host_before_its_withdrawal_is_read() -> None:
    """Guards against a repeat that waits for this host's own withdrawal."""
    state, append = placed()
    state.handle(cl.ClaimsAppended(append.batch_id), 0.1)
    (won,) = state.handle(landed(append, 0, 0.1), 0.1)
    assert isinstance(won, cl.ClaimWon)
    repeat = attrs.evolve(REQUEST, request_id="again")
    state.handle(repeat, 0.2)
    (both,) = state.handle(cl.CallFinished(won.claim_id, None), 0.2)
    assert isinstance(both, cl.AppendClaims)
    assert [record["type"] for record in both.records] == ["released", "claim"]
    assert isinstance(state.handle(landed(both, 1, 0.3), 0.3)[0], cl.ClaimWon)


@pytest.mark.parametrize(
    ("read_s", "outcome"), [(0.3, Outcome.NOT_RUN), (0.15, Outcome.MAY_HAVE_RUN)]
)
def test_reused_key_is_judged_on_a_current_read(
    read_s: float, outcome: Outcome
) -> None:
    """Guards against not-run from a view older than the request."""
    state, append = placed()
    state.handle(landed(append, 0, 0.1), 0.1)
    other = attrs.evolve(REQUEST, request_id="other", digest="x")
    assert state.handle(other, 0.2) == ()
    decisions = state.handle(cl.ClaimsRead(0, (), read_s), 0.4)
    decisions += state.handle(cl.ClaimsTick(), 5.2)
    refused = [d for d in decisions if isinstance(d, cl.ClaimRefused)]
    assert [(r.error.code, r.outcome) for r in refused] == [
        ("idempotency_key_reused", outcome)
    ]


def test_repeated_record_keeps_its_claim_past_the_first_cut() -> None:
    """Guards against hosts that disagree on a claim recorded twice."""
    record = {"type": "claim", "claim_id": "c", "workspace": "w", "service": "s"}
    record.update(key="k", digest="d", host="h", incarnation="i")
    early, late = cl.ClaimFold(), cl.ClaimFold()
    records = tuple(LogRecord(offset, dict(record)) for offset in range(3))
    early.read(0, records)
    early.read(2, ())
    late.read(2, records[2:])
    for fold in (early, late):
        winner = fold.winner(cl.ClaimKey("w", "s", "k"))
        assert winner is not None and winner.claim_id == "c"
        fold.read(3, ())
        assert fold.key_count == 0


JSON = st.recursive(
    st.none() | st.integers() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=3),
)
NAMES = "type claim_id workspace service key digest host incarnation status outcome"
GARBAGE = st.dictionaries(
    st.sampled_from((*NAMES.split(), "headers", "body", "body_base64")),
    JSON | st.sampled_from(("claim", "result", "released", "complete", "c")),
)


@given(st.lists(GARBAGE, max_size=12))
def test_malformed_records_are_skipped(log: Any) -> None:
    """Guards against a record that stops the fold of every host."""
    fold = cl.ClaimFold()
    change = fold.read(0, [LogRecord(o, data) for o, data in enumerate(log)])
    assert fold.next_offset == len(log)
    for key in change.keys:
        fold.winner(key)
