"""Hold the requests of one service that wait for room.

Load pattern: bursts of the least and of the most urgent work. Requests wait in the
order of their rank, and one that would wait longer than its caller stays is refused
on arrival.
"""

from collections import deque
from collections.abc import Iterator

from persimmonwell.core.forwarding._active import ActiveRequest

RATE_WINDOW_S = 2.0
"""Interval over which the service's rate of sends is measured."""
LONG_RATE_WINDOW_S = 8.0
LEAST_RATE_PER_S = 1.0
"""Assumed while too few sends have been seen to tell."""


class WaitingLine:
    """Hold waiting requests by rank, and the moments of the last sends."""

    def __init__(self) -> None:
        self._waiting: list[ActiveRequest] = []
        self._sends: deque[float] = deque()

    def __iter__(self) -> Iterator[ActiveRequest]:
        """Iterate over a copy, the most urgent request first."""
        return iter(list(self._waiting))

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def add(self, active: ActiveRequest) -> None:
        """Let a request wait."""
        self._waiting.append(active)
        self._waiting.sort(key=lambda each: each.rank)

    def discard(self, active: ActiveRequest) -> None:
        """Take a request out, if it waits."""
        if active in self._waiting:
            self._waiting.remove(active)

    def ahead_of(self, active: ActiveRequest) -> int:
        """Return how many requests wait that are more urgent."""
        return sum(1 for other in self._waiting if other.rank < active.rank)

    def sent(self, now_s: float) -> None:
        """Note a send of the service."""
        self._sends.append(now_s)

    def expected_wait_s(self, active: ActiveRequest, now_s: float) -> float:
        """Return how long a request would wait at the measured rate."""
        return self.ahead_of(active) / max(self._rate_per_s(now_s), LEAST_RATE_PER_S)

    def _rate_per_s(self, now_s: float) -> float:
        """Return the sends per second, the higher of two windows.

        A stage that moves stops all sends for a second or two; the longer window
        keeps callers from being refused for that.
        """
        while self._sends and self._sends[0] < now_s - LONG_RATE_WINDOW_S:
            self._sends.popleft()
        recent = sum(1 for sent_s in self._sends if sent_s >= now_s - RATE_WINDOW_S)
        return max(recent / RATE_WINDOW_S, len(self._sends) / LONG_RATE_WINDOW_S)
