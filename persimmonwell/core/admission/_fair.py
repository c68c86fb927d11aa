"""Start-time fair queueing of the requests of one rank, by workspace."""

import heapq
from collections import OrderedDict

import attrs

from persimmonwell.core._types import Rank

COMPACTION_SLACK_ITEMS = 64
"""Stale heap items and idle flows that may accumulate before compaction."""


@attrs.frozen
class QueueEntry:
    """One queued request."""

    request_id: str
    workspace: str
    rank: Rank
    cost_tokens: int
    """Estimated tokens, charged at dispatch and corrected on completion."""
    deadline_s: float


@attrs.define
class _Flow:
    """Queued requests of one workspace, oldest first."""

    weight: float
    start_tag: float
    """Start tag of the oldest entry: virtual time, in tokens per unit of weight."""
    entries: OrderedDict[str, QueueEntry] = attrs.field(factory=OrderedDict)
    tokens: int = 0
    heap_item_id: int = 0
    """Id of the flow's valid item in the start-tag heap; 0 while empty or blocked."""

    @property
    def load(self) -> float:
        return len(self.entries) / self.weight


class FairQueue:
    """Fair queue of one rank; push, dispatch and removal take O(log workspaces)."""

    def __init__(self) -> None:
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
        if flow is not None and flow.entries:
            ahead += flow.tokens * self._backlogged_weight / flow.weight
        return min(float(self._tokens), ahead)

    def push(self, entry: QueueEntry, weight: float) -> None:
        """Append an entry to its workspace's flow and set the flow's weight."""
        flow = self._flows.get(entry.workspace)
        if flow is None:
            flow = self._flows[entry.workspace] = _Flow(weight, self._virtual_time)
        if flow.entries:
            self._backlogged_weight += weight - flow.weight
        else:
            self._backlogged_flows += 1
            self._backlogged_weight += weight
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.weight = weight
        flow.entries[entry.request_id] = entry
        flow.tokens += entry.cost_tokens
        self._size += 1
        self._tokens += entry.cost_tokens
        if len(flow.entries) == 1:
            self._schedule(entry.workspace, flow)
        heapq.heappush(self._by_load, (-flow.load, entry.workspace))
        if len(self._by_load) > 2 * self._backlogged_flows + COMPACTION_SLACK_ITEMS:
            self._compact_by_load()

    def head(self) -> QueueEntry | None:
        """Return the entry to dispatch next, or None when no flow can be served."""
        while self._by_start_tag:
            _, heap_item_id, workspace = self._by_start_tag[0]
            flow = self._flows.get(workspace)
            if flow is not None and flow.heap_item_id == heap_item_id:
                return next(iter(flow.entries.values()))
            heapq.heappop(self._by_start_tag)
        return None

    def dispatch(self, entry: QueueEntry) -> None:
        """Remove the head for dispatch and charge its estimated tokens."""
        flow = self._flows[entry.workspace]
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += entry.cost_tokens / flow.weight
        self._max_finish_tag = max(self._max_finish_tag, flow.start_tag)
        self._remove_entry(entry, flow)
        if flow.entries:
            self._schedule(entry.workspace, flow)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry without a charge; do nothing when it is not queued."""
        flow = self._flows.get(entry.workspace)
        if flow is not None and entry.request_id in flow.entries:
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
        if flow is None or not flow.entries or flow.heap_item_id:
            return False
        flow.start_tag = max(flow.start_tag, self._virtual_time)
        self._schedule(workspace, flow)
        return True

    def unblock_all(self) -> None:
        """Make every blocked workspace eligible again."""
        for workspace in self._flows:
            self.unblock(workspace)

    def newest_of_most_loaded(self) -> QueueEntry | None:
        """Return the newest entry of the workspace with most entries per weight."""
        while self._by_load:
            load, workspace = self._by_load[0]
            flow = self._flows.get(workspace)
            if flow is not None and flow.entries:
                if flow.load == -load:
                    return next(reversed(flow.entries.values()))
                if flow.load < -load:
                    heapq.heapreplace(self._by_load, (-flow.load, workspace))
                    continue
            heapq.heappop(self._by_load)
        return None

    def _remove_entry(self, entry: QueueEntry, flow: _Flow) -> None:
        del flow.entries[entry.request_id]
        flow.tokens -= entry.cost_tokens
        self._size -= 1
        self._tokens -= entry.cost_tokens
        if not flow.entries:
            flow.heap_item_id = 0
            self._backlogged_flows -= 1
            self._backlogged_weight -= flow.weight
            if not self._backlogged_flows:
                # With an empty queue, past service delayed nobody and is forgiven.
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
            self._by_start_tag = [
                (flow.start_tag, flow.heap_item_id, name)
                for name, flow in self._flows.items()
                if flow.heap_item_id
            ]
            heapq.heapify(self._by_start_tag)

    def _compact_by_load(self) -> None:
        self._by_load = [
            (-flow.load, name) for name, flow in self._flows.items() if flow.entries
        ]
        heapq.heapify(self._by_load)

    def _discard_idle_flows(self) -> None:
        # An idle flow behind virtual time would restart at virtual time anyway.
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.entries or flow.start_tag > self._virtual_time
        }
