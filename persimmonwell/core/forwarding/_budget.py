"""Bound repeated sends by a share of the requests in a sliding window."""

from collections import deque

BUCKETS = 20
"""Parts of the window that are dropped one at a time."""
SAFE_SHARE = 0.7
"""Part of the allowance that hosts use; the rest covers an unknown host."""


class SendBudget:
    """Hold the first and repeated sends of one service in the window."""

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        self.configure(ratio=ratio, slack=slack, window_s=window_s)
        self._buckets: deque[list[float]] = deque()

    def configure(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Change the bounds; what was counted before holds against them."""
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

    def requested(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._current(now_s)[1] += 1

    def has_left(self, now_s: float, *, hosts: int) -> bool:
        """Return whether this host may send one more repeat."""
        self._current(now_s)
        requests = sum(bucket[1] for bucket in self._buckets)
        repeats = sum(bucket[2] for bucket in self._buckets)
        allowed = self._ratio * requests + self._slack / max(1, hosts)
        return repeats + 1 <= SAFE_SHARE * allowed

    def repeated(self, now_s: float) -> None:
        """Count a repeated send."""
        self._current(now_s)[2] += 1

    def try_repeat(self, now_s: float, *, hosts: int) -> bool:
        """Count a repeated send, or return False when none is left."""
        if not self.has_left(now_s, hosts=hosts):
            return False
        self.repeated(now_s)
        return True
