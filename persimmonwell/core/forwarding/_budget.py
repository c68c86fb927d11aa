"""Retry budget of one service, measured over a sliding window."""

from collections import deque

BUCKETS = 20
"""Slices of the sliding window that expire one at a time."""
USABLE_SHARE = 0.7
"""Part of the budget that a host spends; the rest covers hosts it does not know of."""


class RetryBudget:
    """Limit retries to a ratio of the window's requests plus a slack for the fleet."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.configure(ratio=ratio, slack=slack, window_s=window_s)
        self._buckets: deque[list[float]] = deque()

    def configure(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Replace the limits; requests and retries already counted stay counted."""
        self._ratio = ratio
        self._slack = slack
        self._bucket_s = window_s / BUCKETS

    def _current(self, now_s: float) -> list[float]:
        start_s = now_s - now_s % self._bucket_s
        while self._buckets and self._buckets[0][0] <= start_s - (
            BUCKETS * self._bucket_s
        ):
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1][0] != start_s:
            self._buckets.append([start_s, 0.0, 0.0])
        return self._buckets[-1]

    def record_request(self, now_s: float) -> None:
        """Count a caller's request, which adds to the budget."""
        self._current(now_s)[1] += 1

    def allows_retry(self, now_s: float, *, host_count: int) -> bool:
        """Return whether this host may send one more retry.

        host_count hosts share the slack.
        """
        self._current(now_s)
        requests = sum(bucket[1] for bucket in self._buckets)
        repeats = sum(bucket[2] for bucket in self._buckets)
        allowed = self._ratio * requests + self._slack / max(1, host_count)
        return repeats + 1 <= USABLE_SHARE * allowed

    def record_retry(self, now_s: float) -> None:
        """Count a retry."""
        self._current(now_s)[2] += 1

    def try_consume(self, now_s: float, *, host_count: int) -> bool:
        """Count a retry and return True, or return False when the budget is spent."""
        if not self.allows_retry(now_s, host_count=host_count):
            return False
        self.record_retry(now_s)
        return True
