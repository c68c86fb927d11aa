"""Order the queued requests of one rank by start-time fair queueing."""

import heapq
from collections import OrderedDict

import attrs

from persimmonwell.core._types import Rank

SPARE_RECORDS = 64
"""Stale heap items and idle flows kept before a sweep removes them."""


@attrs.frozen
class Entry:
    """Describe one queued request."""

    request_id: str
    workspace: str
    rank: Rank
    cost_tokens: int
    """Estimate charged at dispatch and corrected on completion."""
    deadline_s: float


@attrs.define
class _Flow:
    """Hold the queued requests of one workspace."""

    weight: float
    start_tag: float
    """Virtual time at which the oldest entry starts, tokens per weight."""
    entries: OrderedDict[str, Entry] = attrs.field(factory=OrderedDict)
    tokens: int = 0
    stamp: int = 0
    """Number of the valid heap item; 0 when the flow must not be served."""

    @property
    def load(self) -> float:
        return len(self.entries) / self.weight


class FairQueue:
    """Hold one rank's queue; every operation takes O(log workspaces)."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._ready: list[tuple[float, int, str]] = []
        self._by_load: list[tuple[float, str]] = []
        self._virtual = 0.0
        self._last_finish = 0.0
        self._stamp = 0
        self._size = 0
        self._tokens = 0
        self._active = 0
        self._active_weight = 0.0

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._size

    @property
    def tokens(self) -> int:
        """Return the tokens of all queued requests."""
        return self._tokens

    def load_of(self, workspace: str) -> float:
        """Return the queued requests of a workspace per unit of weight."""
        flow = self._flows.get(workspace)
        return 0.0 if flow is None else flow.load

    def tokens_ahead(self, workspace: str) -> float:
        """Return the tokens dispatched before a new entry of a workspace."""
        if not self._size:
            return 0.0
        # At most one entry of each other workspace starts before the first one.
        ahead = self._tokens / self._size * self._active
        flow = self._flows.get(workspace)
        if flow is not None and flow.entries:
            ahead += flow.tokens * self._active_weight / flow.weight
        return min(float(self._tokens), ahead)

    def push(self, entry: Entry, weight: float) -> None:
        """Add an entry behind the workspace's others."""
        flow = self._flows.get(entry.workspace)
        if flow is None:
            flow = self._flows[entry.workspace] = _Flow(weight, self._virtual)
        if flow.entries:
            self._active_weight += weight - flow.weight
        else:
            self._active += 1
            self._active_weight += weight
            flow.start_tag = max(flow.start_tag, self._virtual)
        flow.weight = weight
        flow.entries[entry.request_id] = entry
        flow.tokens += entry.cost_tokens
        self._size += 1
        self._tokens += entry.cost_tokens
        if len(flow.entries) == 1:
            self._schedule(entry.workspace, flow)
        heapq.heappush(self._by_load, (-flow.load, entry.workspace))
        if len(self._by_load) > 2 * self._active + SPARE_RECORDS:
            self._sweep()

    def head(self) -> Entry | None:
        """Return the entry to dispatch next, or None."""
        while self._ready:
            _, stamp, workspace = self._ready[0]
            flow = self._flows.get(workspace)
            if flow is not None and flow.stamp == stamp:
                return next(iter(flow.entries.values()))
            heapq.heappop(self._ready)
        return None

    def take(self, entry: Entry) -> None:
        """Remove the head for dispatch and charge its estimate."""
        flow = self._flows[entry.workspace]
        self._virtual = max(self._virtual, flow.start_tag)
        flow.start_tag += entry.cost_tokens / flow.weight
        self._last_finish = max(self._last_finish, flow.start_tag)
        self._drop(entry, flow)
        if flow.entries:
            self._schedule(entry.workspace, flow)

    def remove(self, entry: Entry) -> None:
        """Remove an entry that is not dispatched; do nothing when it is gone."""
        flow = self._flows.get(entry.workspace)
        if flow is not None and entry.request_id in flow.entries:
            self._drop(entry, flow)

    def correct(self, workspace: str, tokens: int) -> None:
        """Charge tokens that a dispatched request used beyond its estimate.

        A negative number is a refund. It takes a workspace to the front of the
        order at most: a charge may have been forgiven in an idle time before.
        """
        flow = self._flows.get(workspace)
        if flow is None or not tokens:
            return
        corrected = flow.start_tag + tokens / flow.weight
        flow.start_tag = max(corrected, min(flow.start_tag, self._virtual))
        self._last_finish = max(self._last_finish, flow.start_tag)
        if flow.stamp:
            self._schedule(workspace, flow)

    def park(self, workspace: str) -> None:
        """Pass over a workspace until it is unparked."""
        self._flows[workspace].stamp = 0

    def unpark(self, workspace: str) -> bool:
        """Serve a parked workspace again, without credit for the pause.

        Return whether it was parked.
        """
        flow = self._flows.get(workspace)
        if flow is None or not flow.entries or flow.stamp:
            return False
        flow.start_tag = max(flow.start_tag, self._virtual)
        self._schedule(workspace, flow)
        return True

    def unpark_all(self) -> None:
        """Serve every parked workspace again."""
        for workspace in self._flows:
            self.unpark(workspace)

    def newest_of_largest(self) -> Entry | None:
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

    def _drop(self, entry: Entry, flow: _Flow) -> None:
        del flow.entries[entry.request_id]
        flow.tokens -= entry.cost_tokens
        self._size -= 1
        self._tokens -= entry.cost_tokens
        if not flow.entries:
            flow.stamp = 0
            self._active -= 1
            self._active_weight -= flow.weight
            if not self._active:
                # Nobody waited, so what was served so far hurt nobody.
                self._virtual = max(self._virtual, self._last_finish)
                self._active_weight = 0.0
            if len(self._flows) > 2 * self._active + SPARE_RECORDS:
                self._forget_idle()

    def _schedule(self, workspace: str, flow: _Flow) -> None:
        self._stamp += 1
        flow.stamp = self._stamp
        heapq.heappush(self._ready, (flow.start_tag, flow.stamp, workspace))
        if len(self._ready) > 2 * self._active + SPARE_RECORDS:
            self._ready = [
                (flow.start_tag, flow.stamp, name)
                for name, flow in self._flows.items()
                if flow.stamp
            ]
            heapq.heapify(self._ready)

    def _sweep(self) -> None:
        self._by_load = [
            (-flow.load, name) for name, flow in self._flows.items() if flow.entries
        ]
        heapq.heapify(self._by_load)

    def _forget_idle(self) -> None:
        # An idle flow behind virtual time restarts at virtual time anyway.
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.entries or flow.start_tag > self._virtual
        }
