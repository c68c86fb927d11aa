"""Check fair queueing, floors, limits and wait estimates on their own."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core import Rank
from persimmonwell.core.admission import DrainMeter, Entry, FairQueue, Limits
from persimmonwell.core.config import WorkspaceConfig

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}
sizes = st.integers(1, 100)


def _entry(name: str, workspace: str, tokens: int) -> Entry:
    return Entry(name, workspace, Rank.NORMAL, tokens, 1e9)


class _NaiveQueue:
    """Find the workspace with the lowest start tag by looking at all of them."""

    def __init__(self) -> None:
        self.virtual = self.last = 0.0
        self.tags = dict.fromkeys(WEIGHTS, 0.0)
        self.lists: dict[str, list[Entry]] = {name: [] for name in WEIGHTS}

    def push(self, entry: Entry) -> None:
        if not any(self.lists.values()):
            self.virtual = max(self.virtual, self.last)
        if not self.lists[entry.workspace]:
            old = self.tags[entry.workspace]
            self.tags[entry.workspace] = max(self.virtual, old)
        self.lists[entry.workspace].append(entry)

    def take(self, entry: Entry) -> None:
        assert self.lists[entry.workspace].pop(0) is entry
        self.virtual = max(self.virtual, self.tags[entry.workspace])
        self.tags[entry.workspace] += entry.cost_tokens / WEIGHTS[entry.workspace]
        self.last = max(self.last, self.tags[entry.workspace])


steps = st.tuples(st.integers(0, 4), st.sampled_from("abc"), sizes)


@given(st.lists(steps, min_size=30, max_size=60))
def test_fair_queue_matches_a_naive_scan(steps: list[tuple[int, str, int]]) -> None:
    """Guards against a heap that serves a stale or wrong workspace."""
    queue, naive = FairQueue(), _NaiveQueue()
    for index, (kind, workspace, tokens) in enumerate(steps):
        if kind <= 1:
            entry = _entry(str(index), workspace, tokens)
            queue.push(entry, WEIGHTS[workspace])
            naive.push(entry)
        elif kind == 2 and naive.lists[workspace]:
            place = tokens % len(naive.lists[workspace])
            queue.remove(naive.lists[workspace].pop(place))
        elif kind == 3 and naive.tags[workspace]:
            queue.correct(workspace, -tokens)
            old, used = naive.tags[workspace], tokens / WEIGHTS[workspace]
            naive.tags[workspace] = max(old - used, min(old, naive.virtual))
        loads = {n: len(e) / WEIGHTS[n] for n, e in naive.lists.items() if e}
        head, largest = queue.head(), queue.newest_of_largest()
        assert len(queue) == sum(map(len, naive.lists.values()))
        if head is None or largest is None:
            assert not loads
            continue
        lowest = min(naive.tags[name] for name in loads)
        assert naive.tags[head.workspace] == pytest.approx(lowest)
        assert loads[largest.workspace] == max(loads.values())
        assert largest is naive.lists[largest.workspace][-1]
        if kind == 4:
            queue.take(head)
            naive.take(head)


def test_idle_flows_and_stale_heap_items_are_dropped() -> None:
    """Guards against memory that grows with every workspace ever seen."""
    queue = FairQueue()
    for index in range(5000):
        entry = _entry(str(index), f"w{index}", 1)
        queue.push(entry, 1.0)
        (queue.remove if index % 2 else queue.take)(entry)
    assert max(map(len, (queue._flows, queue._ready, queue._by_load))) < 200


@given(st.lists(st.tuples(sizes, st.floats(0.0, 0.5), st.booleans()), min_size=9))
def test_token_rate_holds_over_time(steps: list[tuple[int, float, bool]]) -> None:
    """Guards against a burst, a large request or a refund that exceeds the rate."""
    limits, now_s, spent = Limits(), 0.0, 0
    limits.configure({"w": WorkspaceConfig("w", tokens_per_s=100.0)}, 2)
    for tokens, gap_s, runs in steps:
        now_s += gap_s
        if limits.wait_s("w", now_s) == 0:
            limits.started("w", tokens, now_s)
            limits.finished("w", 0 if runs else tokens)
            spent += tokens if runs else 0
        assert spent <= 50 * (now_s + 1) + 100
    wait_s = limits.wait_s("w", now_s)
    assert limits.wait_s("w", now_s + wait_s) == 0


def test_drain_rate_counts_only_backlogged_time() -> None:
    """Guards against a quiet time that makes a fast target look slow."""
    meter = DrainMeter()
    meter.drained(10_000, 0.0)
    meter.settle(True, 100.0)
    assert meter.tokens_per_s(100.1) is None
    for step in range(1, 21):
        meter.drained(50, 100.0 + step * 0.1)
    meter.settle(False, 102.0)
    assert meter.tokens_per_s(110.0) == pytest.approx(500, rel=0.05)
    meter.settle(True, 120.0)
    assert meter.tokens_per_s(120.1) is None
