"""Timer of the time to first token and inter-token latency of one request."""

from bisect import bisect_left
from collections.abc import Callable

import attrs

from persimmonwell.core import Rank

FIRST_TOKEN_BOUNDS_S = (
    *(0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.1, 1.5),
    *(2.0, 3.0, 5.0, 10.0, 30.0, 60.0),
)
"""Upper bucket bounds; 1.1 s is the target of urgent requests."""
TOKEN_GAP_BOUNDS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.037, 0.05),
    *(0.075, 0.1, 0.2, 0.5, 1.0, 2.0),
)
"""Upper bucket bounds; 37 ms is the target of urgent requests."""
TOKENS_PER_FLUSH = 256
"""Limits the delay until the metrics include the tokens of a long answer."""


class HistogramBuckets:
    """Histogram: number of values per bucket, and their sum."""

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def add(self, value: float) -> None:
        """Add one value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

    def merge(self, other: "HistogramBuckets") -> None:
        """Add the counts of another histogram with the same bounds."""
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
    """Latencies of some tokens of one request, from one flush to the next."""

    rank: Rank
    first_token_s: float | None
    """Time to first token; None if flushed earlier or if no token has arrived."""
    gaps: HistogramBuckets


class TokenTimer:
    """Buffer of the token latencies of one request, flushed in batches.

    Latencies are collected in the relaying thread without a lock. Taking the metrics
    lock for each token would make all relaying threads contend for it.
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
        """Record a token that arrived at the given time."""
        if self._last_token_s is None:
            self._first_token_s = now_s - self._started_s
        else:
            self._gaps.add(now_s - self._last_token_s)
        self._last_token_s = now_s
        self._unflushed_tokens += 1
        if self._unflushed_tokens >= TOKENS_PER_FLUSH:
            self.flush()

    def flush(self) -> None:
        """Report the latencies recorded since the last flush."""
        if not self._unflushed_tokens:
            return
        self._on_flush(TokenLatencies(self._rank, self._first_token_s, self._gaps))
        self._first_token_s = None
        self._gaps = HistogramBuckets(TOKEN_GAP_BOUNDS_S)
        self._unflushed_tokens = 0
