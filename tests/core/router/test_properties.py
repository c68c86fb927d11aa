"""Check what must hold after any sequence of events."""

from collections import Counter, deque

from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core import Rank
from persimmonwell.core.router import BlameLearned, Dispatch, FailureKind, ProbeResult
from tests.core.router.harness import Harness, replica, upstream

FLEET = tuple(upstream(name) for name in ("u1", "u2", "u3")) + (
    upstream("v1", model="n"),
)
REPLICAS = (replica("r1"), replica("r2", "b"))
LIMIT = {"queue_entries": 6, "waiting_threads": 8, "queue_s": 20}
RANKS = {"urgent": LIMIT, "normal": {**LIMIT, "floor": 0.2}, "batch": LIMIT}
number = st.integers(0, 10_000)
events = st.lists(st.tuples(st.integers(0, 12), number, number), max_size=120)


def _apply(harness: Harness, index: int, kind: int, a: int, b: int) -> None:
    running = sorted(harness.running)
    chosen = running[a % len(running)] if running else None
    rank = Rank(b % 3)
    workspace = ("big", "small", "w")[a % 3]
    if kind <= 2:
        harness.arrive(
            f"q{index}",
            workspace=workspace,
            rank=rank,
            model="mmmn"[a % 4],
            digest=f"d{b % 40}",
            max_tokens=1 + a % 50,
            deadline_s=harness.now_s + b % 30,
        )
    elif kind == 3:
        harness.call(f"c{index}", workspace=workspace, rank=rank, repeatable=b % 2 == 0)
    elif kind in (4, 5) and chosen:
        harness.finish(chosen, 1)
    elif kind in (6, 7) and chosen:
        harness.fail(chosen, tuple(FailureKind)[b % len(FailureKind)], tokens=b % 3)
    elif kind == 8 and chosen and chosen.startswith("q"):
        harness.first_token(chosen)
    elif kind == 9:
        live = sorted(harness.works.keys() - harness.ended.keys())
        if live:
            harness.cancel(live[a % len(live)])
    elif kind == 10:
        harness.tick((a % 7) * 0.3)
    elif kind == 11:
        harness.handle(ProbeResult(f"u{a % 3 + 1}", b % 2 == 0, 0.01))
    elif kind == 12 and a % 4 == 0:
        harness.put_fleet(FLEET[b % 2 :], REPLICAS[: 1 + b % 2], hosts=1 + b % 3)
    elif kind == 12:
        harness.handle(BlameLearned(f"d{b % 40}", f"z{a % 2}"))


@given(events)
def test_any_event_sequence_keeps_every_promise(
    steps: list[tuple[int, int, int]],
) -> None:
    """Guards against lost or doubled ends, false not-run claims and lost work.

    The harness checks each decision; this test checks the bounds after each
    event, and that everything ends once upstreams answer again.
    """
    harness = Harness(
        upstreams=FLEET,
        replicas=REPLICAS,
        ranks=RANKS,
        workspaces={"big": {"max_concurrency": 5}, "small": {"weight": 2}, "w": {}},
    )
    for index, (kind, a, b) in enumerate(steps):
        _apply(harness, index, kind, a, b)
        _check_bounds(harness)
    harness.put_fleet(FLEET, REPLICAS)
    # Ten seconds are half the queue time, so expiry does not hide lost wake-ups.
    for _ in range(200):
        for name in sorted(harness.running):
            harness.finish(name, 1)
        harness.tick(0.05)
    assert harness.ended.keys() == harness.works.keys()
    assert not harness.running
    assert not harness.router.inflight_counts


def _check_bounds(harness: Harness) -> None:
    """Count what was never dispatched; resumed requests were charged before."""
    sent = {decision.request_id for decision in harness.dispatches}
    fresh = [
        work
        for name, work in harness.works.items()
        if name not in harness.ended and name not in sent
    ]
    by_rank = Counter(work.rank for work in fresh)
    assert all(count <= LIMIT["waiting_threads"] for count in by_rank.values())
    for length in harness.router.queue_lengths:
        own = sum(1 for w in fresh if w.rank is length.rank)
        resumed = harness.router.waiting - len(fresh)
        assert length.waiting <= min(LIMIT["queue_entries"], own) + resumed
    places = Counter(harness.place(name) for name in harness.running)
    assert all(places[u.upstream_id] <= u.slots for u in FLEET)


@given(st.lists(st.tuples(number, number), max_size=60))
def test_no_request_waits_beside_free_capacity(steps: list[tuple[int, int]]) -> None:
    """Guards against a missed wake-up: waiting implies every slot is taken."""
    harness = Harness(upstreams=FLEET, ranks=RANKS)
    for index, (a, b) in enumerate(steps):
        running = sorted(harness.running)
        if a % 3 and running:
            (harness.finish if a % 2 else harness.cancel)(running[b % len(running)])
        else:
            harness.arrive(f"q{index}", rank=Rank(b % 3), model="mn"[a % 2])
        places = Counter(harness.place(name) for name in harness.running)
        for model in ("m", "n"):
            full = all(
                places[u.upstream_id] == u.slots for u in FLEET if u.model == model
            )
            waits = sum(
                q.waiting
                for q in harness.router.queue_lengths
                if q.target == f"model:{model}"
            )
            assert full or not waits


costs = st.lists(st.integers(1, 200), min_size=30, max_size=90)


@given(costs, st.floats(0.0, 0.5), st.floats(0.0, 0.4))
def test_each_rank_keeps_its_floor(
    sizes: list[int], normal: float, batch: float
) -> None:
    """Guards against a surge of more urgent work that takes a rank's floor."""
    floors = {"normal": {"floor": normal}, "batch": {"floor": batch}}
    harness = Harness(upstreams=(upstream("u1", slots=1),), ranks=floors)
    harness.arrive("first")
    for index, size in enumerate(sizes):
        for rank in Rank:
            name = f"{rank.name}{index}"
            harness.arrive(name, rank=rank, prompt_tokens=0, max_tokens=size)
    harness.dispatches.clear()
    tokens: Counter[Rank] = Counter()
    for _ in sizes:
        harness.finish(next(iter(harness.running)))
        work = harness.works[harness.dispatches[-1].request_id]
        tokens[work.rank] += work.estimated_tokens
        total = sum(tokens.values())
        for rank, floor in ((Rank.NORMAL, normal), (Rank.BATCH, batch)):
            assert tokens[rank] >= floor * total - max(sizes) - 1e-6


def test_unused_floor_is_lent_and_debt_is_bounded() -> None:
    """Guards against capacity held idle for, or saved up by, an empty rank."""
    ranks = {"normal": {"floor": 0.5}, "batch": {"floor": 0.4}}
    harness = Harness(upstreams=(upstream("u1", slots=1),), ranks=ranks)
    for index in range(41):
        harness.arrive(f"u{index}")
    for _ in range(20):
        harness.finish(next(iter(harness.running)))
    harness.dispatches.clear()
    for index in range(10):
        harness.arrive(f"n{index}", rank=Rank.NORMAL)
    for _ in range(10):
        harness.finish(next(iter(harness.running)))
    normal = [d for d in harness.dispatches if d.request_id.startswith("n")]
    assert 4 <= len(normal) <= 6


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2)), max_size=60))
def test_differs_from_first_come_first_served_only_in_order(
    arrivals: list[tuple[int, int]],
) -> None:
    """Guards against lost throughput, and against urgent work served later.

    Every request runs for 4 steps. The naive router is a queue before 3 slots.
    """
    plain = {"floor": 0.0, "queue_s": 10_000}
    ranks = {"urgent": plain, "normal": plain, "batch": plain}
    harness = Harness(upstreams=(upstream("u1", slots=3),), ranks=ranks)
    naive_queue: deque[str] = deque()
    naive_slots: dict[str, int] = {}
    naive_start: dict[str, int] = {}
    started: dict[str, int] = {}
    pending = deque(enumerate(arrivals))
    due = 0
    for step in range(400):
        harness.now_s = float(step)
        for name in [n for n, s in naive_slots.items() if s + 4 <= step]:
            del naive_slots[name]
        for name in [n for n in harness.running if started[n] + 4 <= step]:
            harness.finish(name)
            _note_starts(harness, started, step)
        while pending and due + pending[0][1][0] <= step:
            index, (gap, rank) = pending.popleft()
            due += gap
            harness.arrive(f"q{index}", rank=Rank(rank))
            _note_starts(harness, started, step)
            naive_queue.append(f"q{index}")
        while naive_queue and len(naive_slots) < 3:
            name = naive_queue.popleft()
            naive_slots[name] = naive_start[name] = step
        assert len(harness.running) == len(naive_slots)
    kept = {n for n in started if harness.works[n].rank is Rank.URGENT}
    assert started.keys() == naive_start.keys() and not harness.errors
    assert all(started[name] <= naive_start[name] for name in kept)


def _note_starts(harness: Harness, started: dict[str, int], step: int) -> None:
    for decision in harness.dispatches:
        assert isinstance(decision, Dispatch)
        started.setdefault(decision.request_id, step)
