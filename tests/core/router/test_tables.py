"""Check single rules of the router with scripted event sequences."""

import re
from typing import Any

import pytest

from persimmonwell.core import InflightCount, Outcome
from persimmonwell.core import router as r
from tests.core.router.harness import FailureKind, Harness, replica, upstream

ONE = (upstream("u1", slots=1),)
TWO = (*ONE, upstream("u2", slots=1))
MODELS = (*ONE, upstream("v1", model="n", slots=1))
FOUR = tuple(upstream(f"u{n}", slots=16) for n in range(1, 5))
SHARED = (upstream("u1", slots=9),)
BOTH = (replica("r1"), replica("r2", "b"))
DRAIN = "first_token f0; tick 1; finish f0; first_token f1; tick 1; finish f1;"
DRAIN = f"arrive f*8 workspace=big; {DRAIN} first_token f2; tick 1; finish f2;"


def _urgent(**values: Any) -> Any:
    return {"ranks": {"urgent": values}}


@pytest.mark.parametrize(
    ("queue_s", "values", "code"),
    [
        (100, {"deadline_s": 20.0}, None),
        (100, {"deadline_s": 7.5}, "deadline_exceeded"),  # Time left to queue only.
        (100, {"deadline_s": 5.0}, "deadline_exceeded"),
        (100, {"deadline_s": 2.0}, "deadline_exceeded"),
        (100, {"deadline_s": 5.0, "model": "n"}, None),
        (100, {"deadline_s": 5.5, "workspace": "small"}, None),
        (3.5, {}, "overloaded"),
        (3.5, {"workspace": "small"}, None),
    ],
)
def test_arrival_is_checked_against_expected_wait(
    queue_s: float, values: dict[str, Any], code: str | None
) -> None:
    """Guards against queueing requests that must time out, and refusing others."""
    harness = Harness(*ONE, **_urgent(queue_s=queue_s))
    harness.run_script(DRAIN)
    harness.arrive("q", **{"workspace": "big", **values})
    assert harness.errors.get("q") == code
    harness.tick(queue_s + 0.1)
    assert not harness.router.waiting_count, "queue time is bounded"


CONFIGS: dict[str, Any] = {
    "plain": {},
    "small_queue": _urgent(queue_entries=4),
    "long_wait": _urgent(queue_s=60),
    "few_threads": {"ranks": {"batch": {"waiting_threads": 3}}},
    "high_floor": {"ranks": {"normal": {"floor": 0.5}}},
    "token_rate": {"workspaces": {"w": {"tokens_per_s": 40}}, **_urgent(queue_s=60)},
    "one_each": {"workspaces": {"w": {"max_concurrency": 1}}, **_urgent(queue_s=5)},
    "no_retry": {"retry": {"ratio": 0.0}},
    "empty_service": {"services": {"t": {}}},
}
FLEETS: dict[str, Any] = {"ONE": ONE, "TWO": TWO, "MODELS": MODELS, "FOUR": FOUR}
FLEETS |= {"SHARED": SHARED, "NONE": ()}
# Each title states the rule that its script checks; Harness.run_script describes the
# steps.
RULES = """\
a full queue evicts from the largest workspace, not from a small one | ONE | small_queue
  arrive b*6 workspace=big; refused b5; arrive s1 workspace=small; refused b4 b5;
  arrive s2 workspace=small; refused b4 b5 s2
waiting threads are bounded over all targets | MODELS | few_threads
  arrive m*5 rank=batch; refused m4; arrive n*2 rank=batch model=n; runs m0 n0;
  refused m3 m4; arrive u; refused m3 m4
a duplicate request id is ignored | ONE | plain
  arrive a; arrive a; waiting 0; runs a
new upstreams serve the queue at once | ONE | plain
  arrive a b; runs a; fleet u1 u2; runs a b
a drained upstream gets no new work | ONE | plain
  arrive a b; cancel a; runs b; fleet u1 leaving=yes; finish b; arrive c
  deadline_s=1; runs; tick 1.1; refused c
a removed model refuses its waiting requests | MODELS | plain
  arrive a b model=n; remove n; refused b; finish a; arrive c model=n; refused b c;
  tick 0; arrive d model=n; refused b c d
models do not block each other | MODELS | plain
  arrive m*9; arrive n model=n; runs m0 n; finish m0; runs m1 n
unused tokens are refunded to the rate limit | FOUR | token_rate
  arrive a max_tokens=990; arrive b; runs a; finish a tokens=1; arrive c; runs b c
unused tokens are refunded to the workspace | ONE | plain
  arrive b*3 workspace=big max_tokens=990; arrive s*9 workspace=small; finish b0
  tokens=10; runs s0; finish s0; finish b1 tokens=10; runs s1; finish s1; runs b2
unused tokens are refunded to the rank | ONE | high_floor
  arrive u*9; arrive n*3 rank=normal max_tokens=990; finish u0; finish u1; runs n0;
  finish n0 tokens=10; runs u2; finish u2; runs n1
retries of refused requests are shed under overload | TWO | long_wait
  arrive q*4; tick 1.5; fail q0 busy; refused q0
resumes are not shed under overload | TWO | long_wait
  arrive q*4; tick 1.5; fail q0 timeout 1; refused
a resume waits no longer than its rank allows | TWO | plain
  arrive a b c; fail a timeout 1; runs b c; tick 1.9; waiting 1; tick 0.2; refused a
an upstream that was busy is tried again | TWO | plain
  arrive a b; fail a busy; runs b; tick 0.5; runs b; tick 0.6; runs a b
the only upstream is tried again at once | ONE | plain
  arrive a; fail a timeout; runs a
no retry past the deadline | FOUR | plain
  arrive s; first_token s; tick 9; finish s; arrive q deadline_s=12; fail q timeout
  1; refused q
the first failure of an upstream takes no retry budget | FOUR | no_retry
  arrive q; fail q not-sent; runs q; fail q not-sent; refused q
a resume after new tokens takes no retry budget | FOUR | no_retry
  arrive q; fail q timeout 1; fail q timeout 2; runs q; fail q timeout 2; refused q
isolated suspects do not block other requests | SHARED | plain
  arrive a b; kill u1; runs a; arrive b2 digest=b; arrive c; runs a c; first_token
  a; runs a b b2 c
a request behind held ones is resumed | SHARED | plain
  arrive a b c d e f g; kill u1; runs a; arrive z; fail z timeout; tick 0; tick 0;
  runs a z
a workspace at its limit does not make the target look slow | TWO | one_each
  arrive a*3; tick 1; finish a0; tick 3.5; arrive x*3 workspace=x; refused
a limit over two models starts a request of the other one | MODELS | one_each
  arrive a; arrive b model=n; runs a; finish a; runs b
a digest that lost two upstreams is quarantined | FOUR | plain
  arrive q; fail q lost; probe 0 fails; tick 3; fail q lost; runs; probe 1 fails;
  refused q
upstreams that do not answer probes count as lost | FOUR | plain
  arrive q; fail q lost; fail q lost; runs; tick 0.6; refused q
upstreams that left the fleet count as lost | FOUR | plain
  arrive q; fail q lost; fail q lost; runs; fleet u9; refused q
a broken connection is not a lost upstream | FOUR | plain
  arrive q; fail q lost; fail q lost; probe 1 fails; runs; probe 0 answers; runs q
blame from other hosts ends running and waiting requests | ONE | plain
  arrive a b digest=p; blame p z1; blame p z1; refused; blame p z2; refused a b;
  arrive c digest=p; refused a b c
a call that may have run is not repeated | NONE | plain
  call a b c d repeatable=no; fail a lost; fail b timeout; fail c invalid-answer;
  fail d busy; refused a b c d; runs
a non-repeatable call that was not sent is retried | NONE | plain
  call a repeatable=no; fail a not-sent; runs a; fail a not-sent; runs a
a repeatable call is retried | NONE | plain
  call a; fail a lost; runs a; finish a; call b; fail b timeout; runs b
a busy replica gets fewer calls | NONE | plain
  call c*33; waiting 1; fail c0 busy; waiting 2
a failed last replica gets one call at a time | NONE | plain
  call a; fail a not-sent; runs a; call b; runs a; finish a; runs b
a service without replicas refuses after the queue time | ONE | empty_service
  call a service=t; waiting 1; tick 2.1; refused a
"""


@pytest.mark.parametrize(
    "rule", re.split(r"\n(?=\S)", RULES.strip()), ids=lambda r: r.partition(" |")[0]
)
def test_rule(rule: str) -> None:
    """Guards against a violation of the rule that the title states."""
    title, _, script = rule.partition("\n")
    _, fleet, config = title.split(" | ")
    harness = Harness(*FLEETS[fleet], replicas=BOTH[:1], **CONFIGS[config])
    harness.run_script(script)


@pytest.mark.parametrize(
    ("expected", "live", "concurrency", "share"),
    [(1, 1, 8, 8), (2, 1, 8, 4), (2, 4, 9, 2), (4, 1, 2, 1)],
)
def test_limits_hold_over_all_hosts(
    expected: int, live: int, concurrency: int, share: int
) -> None:
    """Guards against hosts that each grant the whole limit, even when partitioned."""
    limits = {"w": {"max_concurrency": concurrency}, "x": {"tokens_per_s": 40}}
    ranks = {"urgent": {"queue_s": 60}}
    harness = Harness(*FOUR, hosts=expected, workspaces=limits, ranks=ranks)
    harness.set_fleet(FOUR, hosts=live)
    for index in range(12):
        harness.arrive(f"w{index}")
        harness.arrive(f"x{index}", workspace="x", max_tokens=30)
    own = [name for name in harness.running if name.startswith("w")]
    assert len(own) == share
    harness.finish(own[0])
    assert f"w{share}" in harness.running, "the end of a request starts the next"
    harness.tick(1.0)
    for _ in range(9):
        harness.tick(1.0)
    spent = 40 * sum(name.startswith("x") for name in harness.first_dispatch_s)
    rate = 40 / max(expected, live)
    assert 10 * rate <= spent <= 11 * rate + 40


def _kinds(decisions: Any) -> set[str]:
    return {d.kind if isinstance(d, r.RecordEvent) else "" for d in decisions}


@pytest.mark.parametrize(
    ("kinds", "recorded", "outcome"),
    [
        ((FailureKind.NOT_SENT,), "retried", None),
        ((FailureKind.BUSY,), "retried", None),
        ((FailureKind.LOST,), "resumed", None),
        ((FailureKind.TIMEOUT, FailureKind.BUSY), "resumed", None),
        (
            (
                FailureKind.NOT_SENT,
                FailureKind.BUSY,
                FailureKind.NOT_SENT,
                FailureKind.BUSY,
            ),
            "refused",
            Outcome.NOT_RUN,
        ),
        (
            (
                FailureKind.NOT_SENT,
                FailureKind.TIMEOUT,
                FailureKind.BUSY,
                FailureKind.BUSY,
            ),
            "refused",
            Outcome.MAY_HAVE_RUN,
        ),
    ],
)
def test_failed_attempts(
    kinds: tuple[FailureKind, ...], recorded: str, outcome: Outcome | None
) -> None:
    """Guards against wrong outcomes, unlimited attempts and lost tokens."""
    harness = Harness(*FOUR)
    assert _kinds(harness.arrive("q")) >= {"received", "admitted", "dispatched"}
    for tokens, kind in enumerate(kinds, start=1):
        decisions = harness.fail("q", kind, tokens)
    assert recorded in _kinds(decisions)
    assert harness.ended.get("q") is outcome
    upstream_ids = [d.chain.upstream_ids[0] for d in harness.dispatches]
    assert len(set(upstream_ids)) == len(upstream_ids), "a failed upstream is avoided"
    if outcome is None:
        last = harness.dispatches[-1]
        assert (last.attempt, last.resume_index) == (len(kinds) + 1, len(kinds))


def test_crash_of_full_upstream_resumes_all_requests_at_once() -> None:
    """Guards against a retry budget that limits resumes after a crash."""
    fleet = tuple(upstream(f"u{n}", slots=200) for n in range(1, 5))
    harness = Harness(*fleet, retry={"ratio": 0.01})
    for index in range(400):
        harness.arrive(f"q{index}")
        harness.first_token(f"q{index}")
    lost_requests = harness.kill("u1", tokens=1)
    resumed = [d for d in harness.dispatches if d.attempt == 2]
    assert len(lost_requests) == 100 and {d.request_id for d in resumed} == set(
        lost_requests
    )
    assert not any(d.delay_s for d in resumed) and not harness.errors
    assert harness.router.retry_budget == 50, "resumes take no retry budget"


def test_busy_upstreams_cannot_cause_a_retry_storm() -> None:
    """Guards against more retries of refused requests than ratio and burst allow."""
    harness = Harness(*FOUR)
    for index in range(60):
        harness.arrive(f"q{index}")
        while f"q{index}" in harness.running:
            harness.fail(f"q{index}", FailureKind.BUSY)
    assert 60 + 10 <= len(harness.dispatches) <= 60 + 10 + 6 + 1
    assert set(harness.ended.values()) == {Outcome.NOT_RUN}


def test_crashing_request_is_quarantined_after_two_upstreams() -> None:
    """Guards against a third crashed upstream, and against refusing other requests."""
    harness = Harness(*FOUR)
    for name in (*(f"i{index}" for index in range(12)), "p"):
        harness.arrive(name)
    first = harness.kill(harness.upstream_of("p"))
    probes = [d for d in harness.decisions if isinstance(d, r.Probe)]
    assert len(probes) == 1, "one probe per lost upstream"
    suspects = [name for name in first if name in harness.running]
    upstream_ids = {harness.upstream_of(name) for name in suspects}
    assert len(first) > 3 and len(upstream_ids) == len(suspects), (
        "suspects run on separate upstreams"
    )
    harness.tick(0.6)
    while "p" not in harness.running:
        harness.first_token(next(n for n in suspects if n in harness.running))
    second = harness.upstream_of("p")
    harness.now_s = 5.0
    harness.kill(second)
    harness.arrive("p2", digest="p", deadline_s=1e6)
    assert not {"p", "p2"} & harness.running.keys(), "held until the loss is confirmed"
    decisions = harness.handle(r.ProbeResult(second, False, 0.1))
    blames = [d for d in decisions if isinstance(d, r.AnnounceBlame)]
    assert {b.digest for b in blames} == {"p"} and len(blames) == 2
    harness.arrive("p3", digest="p")
    expected = {"p": Outcome.MAY_HAVE_RUN, "p2": Outcome.NOT_RUN, "p3": Outcome.NOT_RUN}
    assert harness.ended == expected
    for _ in range(40):
        for name in tuple(harness.running):
            harness.finish(name)
        harness.tick(0.05)
    assert set(harness.errors) == set(expected) and not harness.router.suspects
    harness.handle(r.QuarantineCleared("p"))
    harness.arrive("p4", digest="p")
    assert "p4" in harness.running


def test_non_repeatable_calls_avoid_failed_replicas() -> None:
    """Guards against a non-repeatable call sent to a replica that just failed.

    Other calls stay within the availability zone of the host.
    """
    harness = Harness(replicas=BOTH)
    harness.run_script("call a; fail a lost; call b repeatable=no; call c")
    assert [harness.upstream_of(name) for name in "abc"] == ["r2", "r2", "r1"]


def test_targets_alternate_under_common_limit() -> None:
    """Guards against serving only one model of a workspace at its limit."""
    harness = Harness(*MODELS, **CONFIGS["one_each"])
    harness.run_script("arrive a*20; arrive b*20 model=n")
    for _ in range(20):
        harness.finish(harness.any_running())
    assert 7 <= sum(name.startswith("a") for name in harness.first_dispatch_s) <= 14


def test_expiry_heap_stays_bounded() -> None:
    """Guards against memory that grows with each cancelled request."""
    harness = Harness(*ONE)
    harness.arrive("first")
    for index in range(2000):
        harness.run_script(f"arrive q{index}; cancel q{index}")
    assert len(harness.router._state.active_requests._expiries) < 1000


def test_fleet_events_reach_chain_router(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against latencies, loads and probe results that never reach routing."""
    harness = Harness(*FOUR)
    chains = harness.router._state.chains
    seen: dict[str, Any] = {}
    calls = "record_first_token record_token_gap record_progress apply_load_report"
    calls += " apply_cache_event apply_peer_inflight apply_probe_result"
    for call in calls.split():
        take = lambda *given, _name=call, **named: seen.update({_name: named})  # noqa: E731
        monkeypatch.setattr(chains, call, take)
    monkeypatch.setattr(chains, "probes_due", lambda now_s: ("u1", "gone"))
    harness.arrive("q")
    harness.now_s = 0.5
    harness.first_token("q")
    harness.first_token("q")
    harness.handle(r.TokensProgressed("q", 1, 4))
    harness.now_s = 1.4
    harness.finish("q")
    harness.handle(r.LoadReported("u1", 1, 2, 0.1))
    harness.handle(r.CacheReported("u1", 1, (1,), ()))
    harness.handle(r.PeerInflight("h2", (InflightCount("u1", 3),)))
    harness.handle(r.ProbeResult("u1", True, 0.1))
    assert seen.keys() == set(calls.split())
    assert seen["record_first_token"]["latency_s"] == pytest.approx(0.5)
    assert seen["record_token_gap"]["gap_s"] == pytest.approx(0.1)
    assert r.Probe("u1", "u1:1") in harness.tick()
