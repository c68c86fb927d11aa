"""Measure time to first token and inter-token latency of one request."""

from bisect import bisect_left
from collections.abc import Callable

import attrs

from persimmonwell.core import Rank

FIRST_TOKEN_BOUNDS_S = (
    *(0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.1, 1.5),
    *(2.0, 3.0, 5.0, 10.0, 30.0, 60.0),
)
"""Upper bounds; 1.1 s is the target of urgent requests."""
TOKEN_GAP_BOUNDS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.037, 0.05),
    *(0.075, 0.1, 0.2, 0.5, 1.0, 2.0),
)
"""Upper bounds; 37 ms is the target of urgent requests."""
TOKENS_PER_FLUSH = 256
"""Bounds the delay until the metrics show the gaps of a long answer."""


class HistogramBuckets:
    """Hold how many values fell between successive upper bounds."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Count one value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def merge(self, other: "HistogramBuckets") -> None:
        """Add the counts of another object with the same bounds."""
        for index, count in enumerate(other.counts):
            self.counts[index] += count
        self.total += other.total

    def copy(self) -> "HistogramBuckets":
        """Return an independent copy."""
        copied = HistogramBuckets(self.bounds)
        copied.merge(self)
        return copied


@attrs.frozen
class TokenLatencies:
    """Hold the times of some tokens of one request."""

    rank: Rank
    first_token_s: float | None
    """Time to first token; None when it was flushed before or never came."""
    gaps: HistogramBuckets


class TokenTimer:
    """Hold the token times of one request until they are flushed.

    Tokens are counted in the relaying thread alone. Taking the lock of the
    metrics for each token would make all relaying threads wait for one another.
    """

    def __init__(
        self,
        rank: Rank,
        *,
        started_s: float,
        on_flush: Callable[[TokenLatencies], None],
    ) -> None:
        self._rank = rank
        self._started_s = started_s
        self._on_flush = on_flush
        self._last_token_s: float | None = None
        self._first_token_s: float | None = None
        self._gaps = HistogramBuckets(TOKEN_GAP_BOUNDS_S)
        self._unflushed_tokens = 0

    def record_token(self, now_s: float) -> None:
        """Count one token."""
        if self._last_token_s is None:
            self._first_token_s = now_s - self._started_s
        else:
            self._gaps.add(now_s - self._last_token_s)
        self._last_token_s = now_s
        self._unflushed_tokens += 1
        if self._unflushed_tokens >= TOKENS_PER_FLUSH:
            self.flush()

    def flush(self) -> None:
        """Hand over everything counted since the last time."""
        if not self._unflushed_tokens:
            return
        self._on_flush(TokenLatencies(self._rank, self._first_token_s, self._gaps))
        self._first_token_s = None
        self._gaps = HistogramBuckets(TOKEN_GAP_BOUNDS_S)
        self._unflushed_tokens = 0
