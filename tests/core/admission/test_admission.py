"""Unit tests of fair queueing, workspace limits and dispatch rates."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core import Rank
from persimmonwell.core.admission import (
    ClassFloors,
    ClassQueues,
    DispatchRateMeter,
    FairQueue,
    Limits,
    QueueEntry,
)
from persimmonwell.core.config import WorkspaceConfig

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}
sizes = st.integers(1, 100)


def _entry(name: str, workspace: str, tokens: int) -> QueueEntry:
    return QueueEntry(name, workspace, Rank.NORMAL, tokens, 1e9)


class _NaiveQueue:
    """Reference fair queue that scans all workspaces for the lowest start tag."""

    def __init__(self) -> None:
        self.virtual_time = self.max_finish_tag = 0.0
        self.tags = dict.fromkeys(WEIGHTS, 0.0)
        self.lists: dict[str, list[QueueEntry]] = {name: [] for name in WEIGHTS}

    def push(self, entry: QueueEntry) -> None:
        if not any(self.lists.values()):
            self.virtual_time = max(self.virtual_time, self.max_finish_tag)
        if not self.lists[entry.workspace]:
            old = self.tags[entry.workspace]
            self.tags[entry.workspace] = max(self.virtual_time, old)
        self.lists[entry.workspace].append(entry)

    def dispatch(self, entry: QueueEntry) -> None:
        assert self.lists[entry.workspace].pop(0) is entry
        self.virtual_time = max(self.virtual_time, self.tags[entry.workspace])
        self.tags[entry.workspace] += entry.cost_tokens / WEIGHTS[entry.workspace]
        self.max_finish_tag = max(self.max_finish_tag, self.tags[entry.workspace])


steps = st.tuples(st.integers(0, 4), st.sampled_from("abc"), sizes)


@given(st.lists(steps, min_size=30, max_size=60))
def test_fair_queue_matches_a_naive_scan(steps: list[tuple[int, str, int]]) -> None:
    """Guards against stale heap items that select the wrong workspace."""
    queue, naive = FairQueue(), _NaiveQueue()
    for index, (kind, workspace, tokens) in enumerate(steps):
        if kind <= 1:
            entry = _entry(str(index), workspace, tokens)
            queue.push(entry, WEIGHTS[workspace])
            naive.push(entry)
        elif kind == 2 and naive.lists[workspace]:
            position = tokens % len(naive.lists[workspace])
            queue.remove(naive.lists[workspace].pop(position))
        elif kind == 3 and naive.tags[workspace]:
            queue.correct_charge(workspace, -tokens)
            old, used = naive.tags[workspace], tokens / WEIGHTS[workspace]
            naive.tags[workspace] = max(old - used, min(old, naive.virtual_time))
        loads = {n: len(e) / WEIGHTS[n] for n, e in naive.lists.items() if e}
        head, largest = queue.head(), queue.newest_of_most_loaded()
        assert len(queue) == sum(map(len, naive.lists.values()))
        if head is None or largest is None:
            assert not loads
            continue
        lowest = min(naive.tags[name] for name in loads)
        assert naive.tags[head.workspace] == pytest.approx(lowest)
        assert loads[largest.workspace] == max(loads.values())
        assert largest is naive.lists[largest.workspace][-1]
        if kind == 4:
            queue.dispatch(head)
            naive.dispatch(head)


def test_idle_flows_and_stale_heap_items_are_discarded() -> None:
    """Guards against memory that grows with the number of workspaces ever seen."""
    queue = FairQueue()
    for index in range(5000):
        entry = _entry(str(index), f"w{index}", 1)
        queue.push(entry, 1.0)
        (queue.remove if index % 2 else queue.dispatch)(entry)
    assert max(map(len, (queue._flows, queue._by_start_tag, queue._by_load))) < 200


@given(st.lists(st.tuples(sizes, st.floats(0.0, 0.5), st.booleans()), min_size=9))
def test_token_rate_holds_over_time(steps: list[tuple[int, float, bool]]) -> None:
    """Guards against a burst, a large request or a refund that exceeds the rate."""
    limits, now_s, spent = Limits(), 0.0, 0
    limits.configure({"w": WorkspaceConfig("w", tokens_per_s=100.0)}, 2)
    for tokens, gap_s, runs in steps:
        now_s += gap_s
        if limits.wait_s("w", now_s) == 0:
            limits.record_started("w", tokens, now_s)
            limits.record_finished("w", 0 if runs else tokens)
            spent += tokens if runs else 0
        assert spent <= 50 * (now_s + 1) + 100
    wait_s = limits.wait_s("w", now_s)
    assert limits.wait_s("w", now_s + wait_s) == 0


def test_dispatch_rate_counts_only_backlogged_time() -> None:
    """Guards against idle time that lowers the dispatch rate of a fast target."""
    meter = DispatchRateMeter()
    meter.record_dispatched(10_000, 0.0)
    meter.set_backlogged(True, 100.0)
    assert meter.tokens_per_s(100.1) is None
    for step in range(1, 21):
        meter.record_dispatched(50, 100.0 + step * 0.1)
    meter.set_backlogged(False, 102.0)
    assert meter.tokens_per_s(110.0) == pytest.approx(500, rel=0.05)
    meter.set_backlogged(True, 120.0)
    assert meter.tokens_per_s(120.1) is None


Class = tuple[int, str]


def _in_class(name: str, key: Class, workspace: str = "a") -> QueueEntry[Class, str]:
    return QueueEntry(name, workspace, key, 10, 1e9)


def test_classes_are_any_ordered_keys_created_on_demand() -> None:
    """Guards against a second queue for callers without the daemon's ranks."""
    queues = ClassQueues[Class, str](ClassFloors())
    for name, key in (("1", (2, "x")), ("2", (0, "y")), ("3", (1, "")), ("4", (0, ""))):
        queues[key].push(_in_class(name, key), 1.0)
    assert queues.backlogged() == [(0, ""), (0, "y"), (1, ""), (2, "x")]
    assert [entry.request_id for entry in queues.in_order()] == ["4", "2", "3", "1"]
    assert queues.count_ahead(_in_class("5", (1, ""), "b")) == 3


def test_default_floors_of_many_classes_are_bounded_in_all() -> None:
    """Guards against floors that take the capacity of the most urgent class."""
    queues = ClassQueues[int, int](
        ClassFloors(default=0.05, total=0.1, is_prepaid=True)
    )
    for number in range(11 * 1000):
        queues[number % 11].push(QueueEntry(number, "a", number % 11, 10, 1e9), 1.0)
    count = dict.fromkeys(range(11), 0)
    for _ in range(900):
        entry = next(queues.in_order())
        key = entry.priority_class
        queues.floors.charge(key, entry.cost_tokens, queues.backlogged())
        queues[key].dispatch(entry)
        count[key] += 1
    assert 800 <= count[0] <= 820
    assert all(8 <= count[key] <= 10 for key in range(1, 11))


def test_an_entry_of_higher_precedence_goes_first_in_its_workspace() -> None:
    """Guards against a removal that takes another entry out of the order."""
    queue = FairQueue[int, str]()
    entries = {}
    for name, precedence in (("1", 2.0), ("2", 1.0), ("3", 2.0), ("4", 0.0)):
        entry = QueueEntry(name, "a", 0, 10, 1e9, precedence=(precedence,))
        entries[name] = entry
        queue.push(entry, 1.0)
    assert [entry.request_id for entry in queue.in_order()] == ["4", "2", "1", "3"]
    queue.remove(entries["1"])
    queue.dispatch(entries["2"])
    assert [entry.request_id for entry in queue.in_order()] == ["4", "3"]
