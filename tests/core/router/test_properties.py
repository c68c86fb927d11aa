"""Property tests of router invariants over random event sequences."""

from collections import Counter, deque

from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core import Rank
from persimmonwell.core.router import BlameReceived, FailureKind, ProbeResult
from tests.core.router.harness import Harness, replica, upstream

FLEET = (*(upstream(f"u{n}") for n in (1, 2, 3)), upstream("v1", model="n"))
REPLICAS = (replica("r1"), replica("r2", "b"))
LIMIT = {"queue_entries": 6, "waiting_threads": 8, "queue_s": 20}
RANKS = {"urgent": LIMIT, "normal": {**LIMIT, "floor": 0.2}, "batch": LIMIT}
number = st.integers(0, 10_000)
events = st.lists(st.tuples(st.integers(0, 12), number, number), max_size=120)


def _apply(harness: Harness, index: int, kind: int, a: int, b: int) -> None:
    running = sorted(harness.running)
    chosen = running[a % len(running)] if running else ""
    work = {"workspace": ("big", "small", "w")[a % 3], "rank": Rank(b % 3)}
    if kind <= 2:
        tokens, deadline_s = 1 + a % 50, harness.now_s + b % 30
        work |= {"max_tokens": tokens, "deadline_s": deadline_s}
        harness.arrive(f"q{index}", model="mmmn"[a % 4], digest=f"d{b % 40}", **work)
    elif kind == 3:
        harness.call(f"c{index}", repeatable=b % 2 == 0, **work)
    elif kind in (4, 5) and chosen:
        harness.finish(chosen)
    elif kind in (6, 7) and chosen:
        harness.fail(chosen, tuple(FailureKind)[b % len(FailureKind)], tokens=b % 3)
    elif kind == 8 and chosen.startswith("q"):
        harness.first_token(chosen)
    elif kind == 9 and (live := sorted(harness.requests.keys() - harness.ended.keys())):
        harness.cancel(live[a % len(live)])
    elif kind == 10:
        harness.tick((a % 7) * 0.3)
    elif kind == 11:
        harness.handle(ProbeResult(f"u{a % 3 + 1}", b % 2 == 0, 0.01))
    elif kind == 12 and a % 4 == 0:
        harness.set_fleet(FLEET[b % 2 :], REPLICAS[: 1 + b % 2], hosts=1 + b % 3)
    elif kind == 12:
        harness.handle(BlameReceived(f"d{b % 40}", f"z{a % 2}"))


@given(events)
def test_invariants_hold_after_any_event_sequence(
    steps: list[tuple[int, int, int]],
) -> None:
    """Guards against requests that end twice or never, and false not-run outcomes.

    The harness checks each decision. This test checks the bounds after each event,
    and that every request ends once the upstreams answer again.
    """
    workspaces = {"big": {"max_concurrency": 5}, "small": {"weight": 2}, "w": {}}
    harness = Harness(*FLEET, replicas=REPLICAS, ranks=RANKS, workspaces=workspaces)
    for index, (kind, a, b) in enumerate(steps):
        _apply(harness, index, kind, a, b)
        _check_bounds(harness)
    harness.set_fleet(FLEET, REPLICAS)
    # Ten seconds are half of queue_s, so that expiry cannot hide a missed wake-up.
    for _ in range(200):
        for name in sorted(harness.running):
            harness.finish(name)
        harness.tick(0.05)
    assert harness.ended.keys() == harness.requests.keys()
    assert not harness.running and not harness.router.inflight_counts


def _check_bounds(harness: Harness) -> None:
    """Check the queue and slot bounds; requests waiting to resume are exempt."""
    known = harness.ended.keys() | harness.first_dispatch_s.keys()
    fresh = Counter(w.rank for name, w in harness.requests.items() if name not in known)
    assert all(count <= LIMIT["waiting_threads"] for count in fresh.values())
    resumed = harness.router.waiting_count - sum(fresh.values())
    for length in harness.router.queue_lengths:
        assert length.waiting <= LIMIT["queue_entries"] + resumed
    running_by_upstream = Counter(harness.upstream_of(name) for name in harness.running)
    assert all(running_by_upstream[u.upstream_id] <= u.slots for u in FLEET)


@given(st.lists(st.tuples(number, number), max_size=60))
def test_no_request_waits_beside_free_capacity(steps: list[tuple[int, int]]) -> None:
    """Guards against a missed wake-up: requests wait only if all slots are taken."""
    harness = Harness(*FLEET, ranks=RANKS)
    for index, (a, b) in enumerate(steps):
        running = sorted(harness.running)
        if a % 3 and running:
            (harness.finish if a % 2 else harness.cancel)(running[b % len(running)])
        else:
            harness.arrive(f"q{index}", rank=Rank(b % 3), model="mn"[a % 2])
        running_by_upstream = Counter(
            harness.upstream_of(name) for name in harness.running
        )
        for queue in harness.router.queue_lengths:
            own = [u for u in FLEET if queue.target == f"model:{u.model}"]
            full = all(running_by_upstream[u.upstream_id] == u.slots for u in own)
            assert full or not queue.waiting


costs = st.lists(st.integers(1, 200), min_size=30, max_size=90)


@given(costs, st.floats(0.0, 0.5), st.floats(0.0, 0.4))
def test_each_rank_keeps_its_floor(
    sizes: list[int], normal: float, batch: float
) -> None:
    """Guards against more urgent requests that use up the floor of another rank."""
    floors = {"normal": {"floor": normal}, "batch": {"floor": batch}}
    harness = Harness(upstream("u1", slots=1), ranks=floors)
    harness.arrive("first")
    for index, size in enumerate(sizes):
        for rank in Rank:
            name = f"{rank.name}{index}"
            harness.arrive(name, rank=rank, prompt_tokens=0, max_tokens=size)
    tokens: Counter[Rank] = Counter()
    for _ in sizes:
        harness.finish(harness.any_running())
        work = harness.requests[harness.any_running()]
        tokens[work.rank] += work.estimated_tokens
        for rank, floor in ((Rank.NORMAL, normal), (Rank.BATCH, batch)):
            kept = floor * sum(tokens.values()) - max(sizes)
            assert tokens[rank] >= kept - 1e-6


@given(costs, st.sampled_from((0.5, 1.0, 3.0)), st.integers(1, 4))
def test_backlogged_workspaces_share_by_weight(
    sizes: list[int], weight: float, flood: int
) -> None:
    """Guards against a share that depends on how much a workspace asks for."""
    weights = {"big": 1.0, "small": weight}
    workspaces = {name: {"weight": value} for name, value in weights.items()}
    harness = Harness(upstream("u1", slots=1), workspaces=workspaces)
    for index, size in enumerate(sizes):
        for copy in range(flood):
            work = {"prompt_tokens": 0, "max_tokens": size}
            harness.arrive(f"{index}.{copy}", workspace="big", **work)
        harness.arrive(f"s{index}", workspace="small", **work)
    served = dict.fromkeys(weights, 0.0)
    bound = max(sizes) * (1 + sum(1 / value for value in weights.values()))
    for _ in range(len(sizes) // 4):
        work = harness.requests[harness.any_running()]
        served[work.workspace] += work.max_tokens / weights[work.workspace]
        assert abs(served["big"] - served["small"]) <= bound
        harness.finish(harness.any_running())


def test_unused_floor_is_lent_and_not_saved_up() -> None:
    """Guards against capacity held idle for, or saved up by, an empty rank."""
    ranks = {"normal": {"floor": 0.5}, "batch": {"floor": 0.4}}
    harness = Harness(upstream("u1", slots=1), ranks=ranks)
    for index in range(41):
        harness.arrive(f"u{index}")
    for _ in range(20):
        harness.finish(harness.any_running())
    for index in range(10):
        harness.arrive(f"n{index}", rank=Rank.NORMAL)
    for _ in range(10):
        harness.finish(harness.any_running())
    assert 4 <= sum(name.startswith("n") for name in harness.first_dispatch_s) <= 6


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2)), max_size=60))
def test_differs_from_first_come_first_served_only_in_order(
    arrivals: list[tuple[int, int]],
) -> None:
    """Guards against lost throughput, and against urgent work served later.

    Every request runs for 4 steps. The naive router is a queue before 3 slots.
    """
    plain = {"floor": 0.0, "queue_s": 10_000}
    ranks = {"urgent": plain, "normal": plain, "batch": plain}
    harness = Harness(upstream("u1", slots=3), ranks=ranks)
    queue: deque[str] = deque()
    running: dict[str, int] = {}
    start: dict[str, int] = {}
    pending, due = deque(enumerate(arrivals)), 0
    for step in range(400):
        harness.now_s = float(step)
        running = {name: begun for name, begun in running.items() if begun + 4 > step}
        for name in [
            n for n in harness.running if harness.first_dispatch_s[n] + 4 <= step
        ]:
            harness.finish(name)
        while pending and due + pending[0][1][0] <= step:
            index, (gap, rank) = pending.popleft()
            due += gap
            harness.arrive(f"q{index}", rank=Rank(rank))
            queue.append(f"q{index}")
        while queue and len(running) < 3:
            running[queue[0]] = start[queue[0]] = step
            queue.popleft()
        assert len(harness.running) == len(running)
    assert harness.first_dispatch_s.keys() == start.keys() and not harness.errors
    urgent = (n for n in start if harness.requests[n].rank is Rank.URGENT)
    assert all(harness.first_dispatch_s[name] <= start[name] for name in urgent)
