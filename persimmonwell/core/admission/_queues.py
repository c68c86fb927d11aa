"""Hold the queue of one model or service over all ranks."""

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
from persimmonwell.core.admission._estimates import DrainMeter, ServiceTimes
from persimmonwell.core.admission._fair import Entry, FairQueue
from persimmonwell.core.admission._floors import RankFloors
from persimmonwell.core.admission._limits import Limits
from persimmonwell.core.config import RankConfig

FAR_OVER_SHARE = 2.0
"""Ratio of queued requests per weight at which a workspace makes room."""


@attrs.frozen
class Queued:
    """Report an entry that waits, and the entry that made room for it."""

    evicted: Entry | None = None


@attrs.frozen
class Refused:
    """Report an entry that was not queued."""

    error: PersimmonwellError


class AdmissionQueue:
    """Hold the waiting requests of one target, bounded in entries and time."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._ranks: Mapping[Rank, RankConfig] = {}
        self._queues = {rank: FairQueue() for rank in Rank}
        self._meters = {rank: DrainMeter() for rank in Rank}
        self._parked: list[tuple[float, Rank, str]] = []
        self.floors = RankFloors()
        self.times = ServiceTimes()

    def __len__(self) -> int:
        """Return the number of waiting requests of all ranks."""
        return sum(len(queue) for queue in self._queues.values())

    def size(self, rank: Rank) -> int:
        """Return the number of waiting requests of a rank."""
        return len(self._queues[rank])

    def configure(self, ranks: Mapping[Rank, RankConfig]) -> None:
        """Set floors and bounds, and look again at workspaces over a limit."""
        self._ranks = ranks
        self.floors.configure({rank: ranks[rank].floor for rank in ranks})
        for queue in self._queues.values():
            queue.unpark_all()

    def offer(
        self, entry: Entry, *, weight: float, output_tokens: int, now_s: float
    ) -> Queued | Refused:
        """Queue an entry unless its deadline cannot be met or there is no room."""
        error = self._late(entry, output_tokens, now_s)
        if error is not None:
            return Refused(error)
        queue = self._queues[entry.rank]
        queue.push(entry, weight)
        if len(queue) <= self._ranks[entry.rank].queue_entries:
            return Queued()
        victim = self.victim(entry)
        queue.remove(victim)
        if victim is entry:
            return Refused(OverloadedError(entry.rank.name.lower(), "queue full"))
        return Queued(evicted=victim)

    def victim(self, arrival: Entry) -> Entry:
        """Return the entry to refuse so that the queue stays within its bound."""
        queue = self._queues[arrival.rank]
        largest = queue.newest_of_largest()
        own = queue.load_of(arrival.workspace)
        if largest is None or largest.workspace == arrival.workspace:
            return arrival
        if queue.load_of(largest.workspace) < FAR_OVER_SHARE * own:
            return arrival
        return largest

    def largest(self, rank: Rank) -> Entry | None:
        """Return the newest entry of the workspace furthest over its share."""
        return self._queues[rank].newest_of_largest()

    def wait_s(self, workspace: str, rank: Rank, now_s: float) -> float:
        """Return the expected time in the queue of a new request."""
        queue = self._queues[rank]
        limited_s = self._limits.rate_wait_s(workspace, now_s)
        if queue.head() is None:
            return limited_s
        rate = self._meters[rank].tokens_per_s(now_s)
        if rate is None:
            return limited_s
        return max(limited_s, queue.tokens_ahead(workspace) / rate)

    def _late(
        self, entry: Entry, output_tokens: int, now_s: float
    ) -> PersimmonwellError | None:
        left_s = entry.deadline_s - now_s
        if left_s <= 0:
            return DeadlineExceededError(deadline_ms=left_s * 1000)
        # Without a queue nothing is refused: only a running request renews the
        # measured times, so stale slow ones would refuse all traffic for good.
        wait_s = self.wait_s(entry.workspace, entry.rank, now_s)
        if wait_s <= 0:
            return None
        if wait_s + self.times.expected_s(output_tokens, now_s) > left_s:
            return DeadlineExceededError(deadline_ms=left_s * 1000)
        if wait_s > self._ranks[entry.rank].queue_s:
            name = entry.rank.name.lower()
            return OverloadedError(name, "queue too long", retry_after_s=wait_s)
        return None

    def head(self, rank: Rank, now_s: float) -> Entry | None:
        """Return the next entry of a rank whose workspace is within its limits."""
        while self._parked and self._parked[0][0] <= now_s:
            _, parked_rank, workspace = heapq.heappop(self._parked)
            self._queues[parked_rank].unpark(workspace)
        queue = self._queues[rank]
        while (entry := queue.head()) is not None:
            wait_s = self._limits.wait_s(entry.workspace, now_s)
            if wait_s <= 0:
                return entry
            queue.park(entry.workspace)
            if wait_s < math.inf:
                item = (now_s + wait_s, rank, entry.workspace)
                heapq.heappush(self._parked, item)
        return None

    def take(self, entry: Entry, now_s: float) -> None:
        """Remove the head of its rank for dispatch."""
        self._queues[entry.rank].take(entry)
        self._meters[entry.rank].drained(entry.cost_tokens, now_s)

    def remove(self, entry: Entry) -> None:
        """Remove an entry that is not dispatched; do nothing when it is gone."""
        self._queues[entry.rank].remove(entry)

    def correct(self, entry: Entry, actual_tokens: int) -> None:
        """Replace the charged estimate of a finished request by its tokens."""
        surplus = actual_tokens - entry.cost_tokens
        if not surplus:
            return
        self._queues[entry.rank].correct(entry.workspace, surplus)
        waiting = [rank for rank in Rank if len(self._queues[rank])]
        self.floors.charge(entry.rank, surplus, waiting)

    def unpark(self, workspace: str) -> bool:
        """Look again at a workspace; return whether it had reached a limit."""
        return any([queue.unpark(workspace) for queue in self._queues.values()])

    def settle(self, now_s: float) -> None:
        """Report the end of a dispatch round to the drain meters."""
        for rank, queue in self._queues.items():
            # A queue of workspaces over their limits says nothing of capacity.
            self._meters[rank].settle(queue.head() is not None, now_s)

    def backlogged_s(self, rank: Rank, now_s: float) -> float:
        """Return how long this or a more urgent rank has been waiting."""
        return max(self._meters[r].backlogged_s(now_s) for r in Rank if r <= rank)
