"""Start-time fair queueing of the requests of one priority class, by workspace."""

import heapq
import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from typing import Any, Generic

import attrs

from persimmonwell.core.admission._entries import ClassT, IdT, QueueEntry

COMPACTION_SLACK_ITEMS = 64
"""Stale heap items and idle flows that may accumulate before compaction."""
MAX_SCALE_EXPONENT = 50.0
"""Time constants after which the scaled tags are converted to a new base, long before
the exponential overflows."""
MIN_KEPT_TOKENS = 1.0
"""Service of an idle workspace below which it is forgotten with the next new base."""

_Item = tuple[tuple[float, ...], int, Any]
"""Precedence, number of the arrival and entry; the first two are unique."""


@attrs.define
class _Flow:
    """Queued requests of one workspace, in order of precedence."""

    weight: float
    start_tag: float
    """Start tag of the first entry: virtual time, in tokens per unit of weight."""
    items: list[_Item] = attrs.field(factory=list)
    by_id: dict[Any, _Item] = attrs.field(factory=dict)
    tokens: int = 0
    heap_item_id: int = 0
    """Id of the flow's valid item in the start-tag heap; 0 while empty or blocked."""

    @property
    def load(self) -> float:
        return len(self.items) / self.weight


class FairQueue(Generic[ClassT, IdT]):
    """Fair queue of one priority class.

    Push, dispatch and removal take O(log workspaces). Without a memory_s, past service
    is forgotten as soon as the queue is empty. With one, it is kept and decays with
    this time constant, so that service before a backlog, or by other hosts, counts in
    it. Instead of decaying all tags, the service is scaled up as time passes.
    """

    def __init__(self, *, memory_s: float | None = None) -> None:
        self._memory_s = memory_s
        self._base_s: float | None = None
        self._scale = 1.0
        """Tag units of one token of service at the time of the last charge."""
        self._arrivals = 0
        self._flows: dict[str, _Flow] = {}
        self._by_start_tag: list[tuple[float, int, str]] = []
        self._by_load: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._max_finish_tag = 0.0
        self._last_heap_item_id = 0
        self._size = 0
        self._tokens = 0
        self._backlogged_flows = 0
        self._backlogged_weight = 0.0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._size

    @property
    def tokens(self) -> int:
        """Return the estimated tokens of all queued requests."""
        return self._tokens

    def load_of(self, workspace: str) -> float:
        """Return the number of queued requests of a workspace per unit of weight."""
        flow = self._flows.get(workspace)
        return 0.0 if flow is None else flow.load

    def tokens_ahead(self, workspace: str) -> float:
        """Estimate the tokens dispatched before a new entry of a workspace."""
        if not self._size:
            return 0.0
        # At most one entry of each other workspace starts before the first one.
        ahead = self._tokens / self._size * self._backlogged_flows
        flow = self._flows.get(workspace)
        if flow is not None and flow.items:
            ahead += flow.tokens * self._backlogged_weight / flow.weight
        return min(float(self._tokens), ahead)

    def push(self, entry: QueueEntry[ClassT, IdT], weight: float) -> None:
        """Add an entry to its workspace's flow and set the flow's weight."""
        flow = self._flows.get(entry.workspace)
        if flow is None:
            flow = self._flows[entry.workspace] = _Flow(weight, self._virtual_time)
        if flow.items:
            self._backlogged_weight += weight - flow.weight
        else:
            self._backlogged_flows += 1
            self._backlogged_weight += weight
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.weight = weight
        self._arrivals += 1
        item = flow.by_id[entry.request_id] = (
            entry.precedence,
            self._arrivals,
            entry,
        )
        if not flow.items or flow.items[-1] < item:
            flow.items.append(item)
        else:
            insort(flow.items, item)
        flow.tokens += entry.cost_tokens
        self._size += 1
        self._tokens += entry.cost_tokens
        if len(flow.items) == 1:
            self._schedule(entry.workspace, flow)
        heapq.heappush(self._by_load, (-flow.load, entry.workspace))
        if len(self._by_load) > 2 * self._backlogged_flows + COMPACTION_SLACK_ITEMS:
            self._compact_by_load()

    def head(self) -> QueueEntry[ClassT, IdT] | None:
        """Return the entry to dispatch next, or None when no flow can be served."""
        while self._by_start_tag:
            _, heap_item_id, workspace = self._by_start_tag[0]
            flow = self._flows.get(workspace)
            if flow is not None and flow.heap_item_id == heap_item_id:
                return _entry_at(flow, 0)
            heapq.heappop(self._by_start_tag)
        return None

    def in_order(self) -> Iterator[QueueEntry[ClassT, IdT]]:
        """Yield entries in dispatch order while the caller may dispatch them.

        An entry that is still queued when the next one is asked for is passed over:
        the following ones come as if it had been dispatched, and it keeps its turn.
        """
        order = [
            (flow.start_tag, flow.heap_item_id, 0, 0, workspace)
            for workspace, flow in self._flows.items()
            if flow.heap_item_id
        ]
        heapq.heapify(order)
        while order:
            _, item_id, passed, passed_tokens, workspace = heapq.heappop(order)
            flow = self._flows.get(workspace)
            if flow is None or passed >= len(flow.items):
                continue
            entry = _entry_at(flow, passed)
            yield entry
            if entry.request_id in flow.by_id:
                passed += 1
                passed_tokens += entry.cost_tokens
            if passed < len(flow.items):
                tag = flow.start_tag + passed_tokens * self._scale / flow.weight
                item = (tag, item_id, passed, passed_tokens, workspace)
                heapq.heappush(order, item)

    def count_ahead(self, entry: QueueEntry[ClassT, IdT]) -> int:
        """Estimate how many entries are dispatched before one, queued or not.

        It is 0 only if there are none.
        """
        if not self._size:
            return 0
        flow = self._flows.get(entry.workspace)
        start_tag, ahead = self._virtual_time, 0
        if flow is not None:
            item = flow.by_id.get(entry.request_id)
            if item is not None:
                ahead = bisect_left(flow.items, item)
            else:
                ahead = bisect_right(flow.items, (entry.precedence, math.inf))
            if flow.items:
                start_tag = flow.start_tag
                tokens = flow.tokens * ahead / len(flow.items)
                start_tag += tokens * self._scale / flow.weight
            else:
                start_tag = max(start_tag, flow.start_tag)
        for other in self._flows.values():
            if other is flow or not other.items or other.start_tag > start_tag:
                continue
            # One starts at the tag, and each later one by a mean cost after it.
            mean = other.tokens / len(other.items) * self._scale / other.weight
            more = (start_tag - other.start_tag) / mean if mean else math.inf
            ahead += int(min(len(other.items), 1 + more))
        return ahead

    def dispatch(self, entry: QueueEntry[ClassT, IdT], now_s: float = 0.0) -> None:
        """Remove an entry for dispatch and charge its estimated tokens.

        An entry behind the head is dispatched when the ones before it cannot be.
        """
        scale = self._advance(now_s)
        flow = self._flows[entry.workspace]
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += entry.cost_tokens * scale / flow.weight
        self._max_finish_tag = max(self._max_finish_tag, flow.start_tag)
        is_eligible = flow.heap_item_id > 0
        self._remove_entry(entry, flow)
        if flow.items and is_eligible:
            self._schedule(entry.workspace, flow)

    def charge(self, workspace: str, tokens: float, now_s: float) -> None:
        """Charge service outside the queue: without a wait, or by another host."""
        scale = self._advance(now_s)
        flow = self._flows.get(workspace)
        if flow is None:
            flow = self._flows[workspace] = _Flow(1.0, 0.0)
        flow.start_tag += tokens * scale / flow.weight
        if flow.heap_item_id:
            self._schedule(workspace, flow)

    def remove(self, entry: QueueEntry[ClassT, IdT]) -> None:
        """Remove an entry without a charge; do nothing when it is not queued."""
        flow = self._flows.get(entry.workspace)
        if flow is not None and entry.request_id in flow.by_id:
            self._remove_entry(entry, flow)

    def correct_charge(self, workspace: str, tokens: int) -> None:
        """Charge tokens that a dispatched request used beyond its estimate.

        A negative number is a refund. It moves the start tag no further back than
        virtual time, because the original charge may already have been dropped
        while the workspace was idle.
        """
        flow = self._flows.get(workspace)
        if flow is None or not tokens:
            return
        corrected = flow.start_tag + tokens / flow.weight
        flow.start_tag = max(corrected, min(flow.start_tag, self._virtual_time))
        self._max_finish_tag = max(self._max_finish_tag, flow.start_tag)
        if flow.heap_item_id:
            self._schedule(workspace, flow)

    def block(self, workspace: str) -> None:
        """Exclude a workspace from dispatch until it is unblocked."""
        self._flows[workspace].heap_item_id = 0

    def unblock(self, workspace: str) -> bool:
        """Make a blocked workspace eligible again, without credit for the pause.

        Return whether it was blocked.
        """
        flow = self._flows.get(workspace)
        if flow is None or not flow.items or flow.heap_item_id:
            return False
        flow.start_tag = max(flow.start_tag, self._virtual_time)
        self._schedule(workspace, flow)
        return True

    def unblock_all(self) -> None:
        """Make every blocked workspace eligible again."""
        for workspace in self._flows:
            self.unblock(workspace)

    def newest_of_most_loaded(self) -> QueueEntry[ClassT, IdT] | None:
        """Return the last entry of the workspace with most entries per weight."""
        while self._by_load:
            load, workspace = self._by_load[0]
            flow = self._flows.get(workspace)
            if flow is not None and flow.items:
                if flow.load == -load:
                    return _entry_at(flow, -1)
                if flow.load < -load:
                    heapq.heapreplace(self._by_load, (-flow.load, workspace))
                    continue
            heapq.heappop(self._by_load)
        return None

    def _advance(self, now_s: float) -> float:
        """Return the scale of service at this time; see the class."""
        if self._memory_s is None:
            return self._scale
        if self._base_s is None:
            self._base_s = now_s
        exponent = (now_s - self._base_s) / self._memory_s
        if exponent > MAX_SCALE_EXPONENT:
            self._rebase(math.exp(-exponent))
            self._base_s, exponent = now_s, 0.0
        self._scale = math.exp(exponent)
        return self._scale

    def _rebase(self, factor: float) -> None:
        self._virtual_time *= factor
        self._max_finish_tag *= factor
        for flow in self._flows.values():
            flow.start_tag *= factor
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.items or flow.start_tag > MIN_KEPT_TOKENS
        }
        self._rebuild_start_tags()

    def _remove_entry(self, entry: QueueEntry[ClassT, IdT], flow: _Flow) -> None:
        item = flow.by_id.pop(entry.request_id)
        del flow.items[bisect_left(flow.items, item)]
        flow.tokens -= entry.cost_tokens
        self._size -= 1
        self._tokens -= entry.cost_tokens
        if not flow.items:
            flow.heap_item_id = 0
            self._backlogged_flows -= 1
            self._backlogged_weight -= flow.weight
            if not self._backlogged_flows:
                if self._memory_s is None:
                    # With an empty queue, past service delayed nobody.
                    self._virtual_time = max(self._virtual_time, self._max_finish_tag)
                self._backlogged_weight = 0.0
            if len(self._flows) > 2 * self._backlogged_flows + COMPACTION_SLACK_ITEMS:
                self._discard_idle_flows()

    def _schedule(self, workspace: str, flow: _Flow) -> None:
        self._last_heap_item_id += 1
        flow.heap_item_id = self._last_heap_item_id
        heapq.heappush(
            self._by_start_tag, (flow.start_tag, flow.heap_item_id, workspace)
        )
        if (
            len(self._by_start_tag)
            > 2 * self._backlogged_flows + COMPACTION_SLACK_ITEMS
        ):
            self._rebuild_start_tags()

    def _rebuild_start_tags(self) -> None:
        self._by_start_tag = [
            (flow.start_tag, flow.heap_item_id, name)
            for name, flow in self._flows.items()
            if flow.heap_item_id
        ]
        heapq.heapify(self._by_start_tag)

    def _compact_by_load(self) -> None:
        self._by_load = [
            (-flow.load, name) for name, flow in self._flows.items() if flow.items
        ]
        heapq.heapify(self._by_load)

    def _discard_idle_flows(self) -> None:
        # An idle flow behind virtual time would restart at virtual time anyway.
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.items or flow.start_tag > self._virtual_time
        }


def _entry_at(flow: _Flow, index: int) -> QueueEntry[Any, Any]:
    entry: QueueEntry[Any, Any] = flow.items[index][2]
    return entry
