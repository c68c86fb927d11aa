"""Admission queue of one target (a model or service) over all priority classes."""

import heapq
import math
from collections import defaultdict
from collections.abc import Mapping
from typing import Generic, Protocol

import attrs

from persimmonwell._exceptions import (
    DeadlineExceededError,
    OverloadedError,
    PersimmonwellError,
)
from persimmonwell.core.admission._classes import ClassQueues
from persimmonwell.core.admission._entries import ClassT, IdT, QueueEntry
from persimmonwell.core.admission._estimates import DispatchRateMeter, ServiceTimes
from persimmonwell.core.admission._floors import ClassFloors
from persimmonwell.core.admission._limits import Limits

EVICTION_LOAD_RATIO = 2.0
"""A full queue evicts another workspace's entry only if that workspace has at least
this multiple of the arrival's queued requests per weight."""


class ClassBounds(Protocol):
    """Floor and bounds of one priority class."""

    @property
    def name(self) -> str:
        """Return the name in error messages."""

    @property
    def floor(self) -> float:
        """Return the share of tokens reserved while more urgent classes wait."""

    @property
    def queue_s(self) -> float:
        """Return the longest time in the queue."""

    @property
    def queue_entries(self) -> int:
        """Return the highest number of queued entries."""


@attrs.frozen
class Queued(Generic[ClassT, IdT]):
    """Result for a queued entry, with the entry evicted to make room for it."""

    evicted: QueueEntry[ClassT, IdT] | None = None


@attrs.frozen
class Refused:
    """Result for an entry that was not queued."""

    error: PersimmonwellError


class AdmissionQueue(Generic[ClassT, IdT]):
    """Queued requests of one target, bounded in entries and expected wait."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._bounds: Mapping[ClassT, ClassBounds] = {}
        self.floors = ClassFloors[ClassT]()
        self._queues = ClassQueues[ClassT, IdT](self.floors)
        self._rate_meters: dict[ClassT, DispatchRateMeter] = defaultdict(
            DispatchRateMeter
        )
        self._blocked: list[tuple[float, ClassT, str]] = []
        self.service_times = ServiceTimes()

    def __len__(self) -> int:
        """Return the number of queued requests of all classes."""
        return len(self._queues)

    def size(self, key: ClassT) -> int:
        """Return the number of queued requests of a class."""
        return len(self._queues[key])

    def configure(self, bounds: Mapping[ClassT, ClassBounds]) -> None:
        """Set floors and bounds, and unblock the workspaces that reached a limit."""
        self._bounds = bounds
        self.floors.configure({key: bounds[key].floor for key in bounds})
        for _, queue in self._queues.items():
            queue.unblock_all()

    def offer(
        self,
        entry: QueueEntry[ClassT, IdT],
        *,
        weight: float,
        output_tokens: int,
        now_s: float,
    ) -> Queued[ClassT, IdT] | Refused:
        """Queue an entry unless it would miss its deadline or the queue is full."""
        error = self._admission_error(entry, output_tokens, now_s)
        if error is not None:
            return Refused(error)
        queue, bounds = (
            self._queues[entry.priority_class],
            self._bounds[entry.priority_class],
        )
        queue.push(entry, weight)
        if len(queue) <= bounds.queue_entries:
            return Queued()
        victim = self.select_victim(entry)
        queue.remove(victim)
        if victim is entry:
            return Refused(OverloadedError(bounds.name, "queue full"))
        return Queued(evicted=victim)

    def select_victim(
        self, arrival: QueueEntry[ClassT, IdT]
    ) -> QueueEntry[ClassT, IdT]:
        """Return the entry to refuse when the queue is full: the arrival or another."""
        queue = self._queues[arrival.priority_class]
        most_loaded = queue.newest_of_most_loaded()
        own_load = queue.load_of(arrival.workspace)
        if most_loaded is None or most_loaded.workspace == arrival.workspace:
            return arrival
        if queue.load_of(most_loaded.workspace) < EVICTION_LOAD_RATIO * own_load:
            return arrival
        return most_loaded

    def newest_of_most_loaded(self, key: ClassT) -> QueueEntry[ClassT, IdT] | None:
        """Return the newest entry of the workspace with most entries per weight."""
        return self._queues[key].newest_of_most_loaded()

    def expected_wait_s(self, workspace: str, key: ClassT, now_s: float) -> float:
        """Return the expected queue time of a new request of a workspace."""
        queue = self._queues[key]
        limited_s = self._limits.rate_wait_s(workspace, now_s)
        if queue.head() is None:
            return limited_s
        rate = self._rate_meters[key].tokens_per_s(now_s)
        if rate is None:
            return limited_s
        return max(limited_s, queue.tokens_ahead(workspace) / rate)

    def _admission_error(
        self, entry: QueueEntry[ClassT, IdT], output_tokens: int, now_s: float
    ) -> PersimmonwellError | None:
        remaining_s = entry.deadline_s - now_s
        if remaining_s <= 0:
            return DeadlineExceededError(deadline_ms=remaining_s * 1000)
        # Without a queue nothing is refused: only running requests update the
        # measured times, so one slow measurement would refuse all traffic for good.
        wait_s = self.expected_wait_s(entry.workspace, entry.priority_class, now_s)
        if wait_s <= 0:
            return None
        if wait_s + self.service_times.expected_s(output_tokens, now_s) > remaining_s:
            return DeadlineExceededError(deadline_ms=remaining_s * 1000)
        bounds = self._bounds[entry.priority_class]
        if wait_s > bounds.queue_s:
            return OverloadedError(bounds.name, "queue too long", retry_after_s=wait_s)
        return None

    def head(self, key: ClassT, now_s: float) -> QueueEntry[ClassT, IdT] | None:
        """Return the next entry of a class whose workspace is within its limits.

        Workspaces over a limit are blocked until the limit allows a dispatch.
        """
        while self._blocked and self._blocked[0][0] <= now_s:
            _, blocked_class, workspace = heapq.heappop(self._blocked)
            self._queues[blocked_class].unblock(workspace)
        queue = self._queues[key]
        while (entry := queue.head()) is not None:
            wait_s = self._limits.wait_s(entry.workspace, now_s)
            if wait_s <= 0:
                return entry
            queue.block(entry.workspace)
            if wait_s < math.inf:
                item = (now_s + wait_s, key, entry.workspace)
                heapq.heappush(self._blocked, item)
        return None

    def dispatch(self, entry: QueueEntry[ClassT, IdT], now_s: float) -> None:
        """Remove the head of its class for dispatch, charging its estimated tokens."""
        self._queues[entry.priority_class].dispatch(entry, now_s)
        self._rate_meters[entry.priority_class].record_dispatched(
            entry.cost_tokens, now_s
        )

    def remove(self, entry: QueueEntry[ClassT, IdT]) -> None:
        """Remove an entry without dispatch; do nothing when it is not queued."""
        self._queues[entry.priority_class].remove(entry)

    def correct_charge(
        self, entry: QueueEntry[ClassT, IdT], actual_tokens: int
    ) -> None:
        """Replace the charged estimate of an ended request by its actual tokens."""
        surplus = actual_tokens - entry.cost_tokens
        if not surplus:
            return
        self._queues[entry.priority_class].correct_charge(entry.workspace, surplus)
        self.floors.charge(entry.priority_class, surplus, self._queues.backlogged())

    def unblock(self, workspace: str) -> bool:
        """Make a workspace eligible again; return whether it was blocked."""
        return any([queue.unblock(workspace) for _, queue in self._queues.items()])

    def update_backlog(self, now_s: float) -> None:
        """Tell the dispatch rate meters which classes are backlogged after a round."""
        for key, queue in self._queues.items():
            # A queue that holds only blocked workspaces says nothing about capacity.
            self._rate_meters[key].set_backlogged(queue.head() is not None, now_s)

    def backlogged_s(self, key: ClassT, now_s: float) -> float:
        """Return the longest backlogged time of this and the more urgent classes."""
        return max(
            (
                meter.backlogged_s(now_s)
                for other, meter in self._rate_meters.items()
                if not key < other
            ),
            default=0.0,
        )
