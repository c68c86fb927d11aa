"""Admission queue of one target (a model or service) over all ranks."""

import heapq
import math
from collections.abc import Mapping

import attrs

from persimmonwell._exceptions import (
    DeadlineExceededError,
    OverloadedError,
    PersimmonwellError,
)
from persimmonwell.core._types import Rank
from persimmonwell.core.admission._estimates import DispatchRateMeter, ServiceTimes
from persimmonwell.core.admission._fair import FairQueue, QueueEntry
from persimmonwell.core.admission._floors import RankFloors
from persimmonwell.core.admission._limits import Limits
from persimmonwell.core.config import RankConfig

EVICTION_LOAD_RATIO = 2.0
"""A full queue evicts another workspace's entry only if that workspace has at least
this multiple of the arrival's queued requests per weight."""


@attrs.frozen
class Queued:
    """Result for a queued entry, with the entry evicted to make room for it."""

    evicted: QueueEntry | None = None


@attrs.frozen
class Refused:
    """Result for an entry that was not queued."""

    error: PersimmonwellError


class AdmissionQueue:
    """Queued requests of one target, bounded in entries and expected wait."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._ranks: Mapping[Rank, RankConfig] = {}
        self._queues = {rank: FairQueue() for rank in Rank}
        self._rate_meters = {rank: DispatchRateMeter() for rank in Rank}
        self._blocked: list[tuple[float, Rank, str]] = []
        self.floors = RankFloors()
        self.service_times = ServiceTimes()

    def __len__(self) -> int:
        """Return the number of queued requests of all ranks."""
        return sum(len(queue) for queue in self._queues.values())

    def size(self, rank: Rank) -> int:
        """Return the number of queued requests of a rank."""
        return len(self._queues[rank])

    def configure(self, ranks: Mapping[Rank, RankConfig]) -> None:
        """Set floors and bounds, and unblock the workspaces that reached a limit."""
        self._ranks = ranks
        self.floors.configure({rank: ranks[rank].floor for rank in ranks})
        for queue in self._queues.values():
            queue.unblock_all()

    def offer(
        self, entry: QueueEntry, *, weight: float, output_tokens: int, now_s: float
    ) -> Queued | Refused:
        """Queue an entry unless it would miss its deadline or the queue is full."""
        error = self._admission_error(entry, output_tokens, now_s)
        if error is not None:
            return Refused(error)
        queue = self._queues[entry.rank]
        queue.push(entry, weight)
        if len(queue) <= self._ranks[entry.rank].queue_entries:
            return Queued()
        victim = self.select_victim(entry)
        queue.remove(victim)
        if victim is entry:
            return Refused(OverloadedError(entry.rank.name.lower(), "queue full"))
        return Queued(evicted=victim)

    def select_victim(self, arrival: QueueEntry) -> QueueEntry:
        """Return the entry to refuse when the queue is full: the arrival or another."""
        queue = self._queues[arrival.rank]
        most_loaded = queue.newest_of_most_loaded()
        own_load = queue.load_of(arrival.workspace)
        if most_loaded is None or most_loaded.workspace == arrival.workspace:
            return arrival
        if queue.load_of(most_loaded.workspace) < EVICTION_LOAD_RATIO * own_load:
            return arrival
        return most_loaded

    def newest_of_most_loaded(self, rank: Rank) -> QueueEntry | None:
        """Return the newest entry of the workspace with most entries per weight."""
        return self._queues[rank].newest_of_most_loaded()

    def expected_wait_s(self, workspace: str, rank: Rank, now_s: float) -> float:
        """Return the expected queue time of a new request of a workspace."""
        queue = self._queues[rank]
        limited_s = self._limits.rate_wait_s(workspace, now_s)
        if queue.head() is None:
            return limited_s
        rate = self._rate_meters[rank].tokens_per_s(now_s)
        if rate is None:
            return limited_s
        return max(limited_s, queue.tokens_ahead(workspace) / rate)

    def _admission_error(
        self, entry: QueueEntry, output_tokens: int, now_s: float
    ) -> PersimmonwellError | None:
        remaining_s = entry.deadline_s - now_s
        if remaining_s <= 0:
            return DeadlineExceededError(deadline_ms=remaining_s * 1000)
        # Without a queue nothing is refused: only running requests update the
        # measured times, so one slow measurement would refuse all traffic for good.
        wait_s = self.expected_wait_s(entry.workspace, entry.rank, now_s)
        if wait_s <= 0:
            return None
        if wait_s + self.service_times.expected_s(output_tokens, now_s) > remaining_s:
            return DeadlineExceededError(deadline_ms=remaining_s * 1000)
        if wait_s > self._ranks[entry.rank].queue_s:
            name = entry.rank.name.lower()
            return OverloadedError(name, "queue too long", retry_after_s=wait_s)
        return None

    def head(self, rank: Rank, now_s: float) -> QueueEntry | None:
        """Return the next entry of a rank whose workspace is within its limits.

        Workspaces over a limit are blocked until the limit allows a dispatch.
        """
        while self._blocked and self._blocked[0][0] <= now_s:
            _, blocked_rank, workspace = heapq.heappop(self._blocked)
            self._queues[blocked_rank].unblock(workspace)
        queue = self._queues[rank]
        while (entry := queue.head()) is not None:
            wait_s = self._limits.wait_s(entry.workspace, now_s)
            if wait_s <= 0:
                return entry
            queue.block(entry.workspace)
            if wait_s < math.inf:
                item = (now_s + wait_s, rank, entry.workspace)
                heapq.heappush(self._blocked, item)
        return None

    def dispatch(self, entry: QueueEntry, now_s: float) -> None:
        """Remove the head of its rank for dispatch, charging its estimated tokens."""
        self._queues[entry.rank].dispatch(entry)
        self._rate_meters[entry.rank].record_dispatched(entry.cost_tokens, now_s)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry without dispatch; do nothing when it is not queued."""
        self._queues[entry.rank].remove(entry)

    def correct_charge(self, entry: QueueEntry, actual_tokens: int) -> None:
        """Replace the charged estimate of an ended request by its actual tokens."""
        surplus = actual_tokens - entry.cost_tokens
        if not surplus:
            return
        self._queues[entry.rank].correct_charge(entry.workspace, surplus)
        waiting = [rank for rank in Rank if len(self._queues[rank])]
        self.floors.charge(entry.rank, surplus, waiting)

    def unblock(self, workspace: str) -> bool:
        """Make a workspace eligible again; return whether it was blocked."""
        return any([queue.unblock(workspace) for queue in self._queues.values()])

    def update_backlog(self, now_s: float) -> None:
        """Tell the dispatch rate meters which ranks are backlogged after a round."""
        for rank, queue in self._queues.items():
            # A queue that holds only blocked workspaces says nothing about capacity.
            self._rate_meters[rank].set_backlogged(queue.head() is not None, now_s)

    def backlogged_s(self, rank: Rank, now_s: float) -> float:
        """Return the longest backlogged time of this and the more urgent ranks."""
        return max(self._rate_meters[r].backlogged_s(now_s) for r in Rank if r <= rank)
