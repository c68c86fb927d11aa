"""Priority queue of the requests of one service that wait for capacity.

Bursts may consist of the least or the most urgent work. Requests are served by
priority, and one whose expected wait exceeds its limit is refused on arrival.
"""

from collections import deque
from collections.abc import Iterator

from persimmonwell.core.forwarding._active import ActiveRequest

RATE_WINDOW_S = 2.0
"""Interval over which the service's send rate is measured."""
LONG_RATE_WINDOW_S = 8.0
MIN_RATE_PER_S = 1.0
"""Lower bound, used while too few sends have been measured."""


class RequestQueue:
    """Waiting requests in queue order, and the times of the last sends."""

    def __init__(self) -> None:
        self._requests: list[ActiveRequest] = []
        self._send_times_s: deque[float] = deque()

    def __iter__(self) -> Iterator[ActiveRequest]:
        """Iterate over a copy, the most urgent request first."""
        return iter(list(self._requests))

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._requests)

    def add(self, active: ActiveRequest) -> None:
        """Add a request at the place of its priority."""
        self._requests.append(active)
        self._requests.sort(key=lambda request: request.queue_order)

    def discard(self, active: ActiveRequest) -> None:
        """Remove a request if it is queued."""
        if active in self._requests:
            self._requests.remove(active)

    def count_ahead_of(self, active: ActiveRequest) -> int:
        """Return how many queued requests are served before this one."""
        return sum(
            1 for other in self._requests if other.queue_order < active.queue_order
        )

    def record_send(self, now_s: float) -> None:
        """Record a send of the service for the rate."""
        self._send_times_s.append(now_s)
        self._drop_old_sends(now_s)

    def expected_wait_s(self, active: ActiveRequest, now_s: float) -> float:
        """Return how long a request would wait at the measured send rate."""
        return self.count_ahead_of(active) / max(
            self._rate_per_s(now_s), MIN_RATE_PER_S
        )

    def _rate_per_s(self, now_s: float) -> float:
        """Return the sends per second, the higher rate of two windows.

        The relocation of a stage stops all sends for a second or two; the longer
        window prevents refusals because of that.
        """
        self._drop_old_sends(now_s)
        recent = sum(
            1 for sent_s in self._send_times_s if sent_s >= now_s - RATE_WINDOW_S
        )
        return max(recent / RATE_WINDOW_S, len(self._send_times_s) / LONG_RATE_WINDOW_S)

    def _drop_old_sends(self, now_s: float) -> None:
        while self._send_times_s and self._send_times_s[0] < now_s - LONG_RATE_WINDOW_S:
            self._send_times_s.popleft()
