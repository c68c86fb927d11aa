"""Estimates of queue waits and service times from this host's own measurements."""

import math

RATE_TIME_CONSTANT_S = 5.0
"""Decay of the dispatch rate; a shorter one follows single requests."""
MIN_BACKLOGGED_S = 0.5
"""Backlogged time needed before a dispatch rate is reported."""
MEASUREMENT_MAX_AGE_S = 10.0
"""Age after which a measurement is ignored, so that it refuses no requests."""
SMOOTHING_FACTOR = 0.1
"""Weight of one finished request in the exponential moving averages."""


class DispatchRateMeter:
    """Dispatch rate of a queue in tokens per second, over backlogged time only."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._seconds = 0.0
        self._updated_s = 0.0
        self._backlogged = False

    def set_backlogged(self, backlogged: bool, now_s: float) -> None:
        """Set whether the queue still holds requests after a dispatch round."""
        if backlogged == self._backlogged:
            return
        if backlogged and now_s - self._updated_s > MEASUREMENT_MAX_AGE_S:
            self._tokens = self._seconds = 0.0
        self._advance(now_s)
        self._backlogged = backlogged
        self._updated_s = now_s

    def record_dispatched(self, tokens: int, now_s: float) -> None:
        """Count tokens dispatched from the queue; ignored without a backlog."""
        if self._backlogged:
            self._advance(now_s)
            self._tokens += tokens

    def tokens_per_s(self, now_s: float) -> float | None:
        """Return the dispatch rate, or None while there are too few measurements."""
        self._advance(now_s)
        if self._seconds < MIN_BACKLOGGED_S or self._tokens <= 0:
            return None
        return self._tokens / self._seconds

    def backlogged_s(self, now_s: float) -> float:
        """Return the exponentially decayed backlogged time, or 0 without a backlog."""
        if not self._backlogged:
            return 0.0
        self._advance(now_s)
        return self._seconds

    def _advance(self, now_s: float) -> None:
        if not self._backlogged:
            return
        elapsed_s = max(0.0, now_s - self._updated_s)
        decay = math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        self._tokens *= decay
        self._seconds = self._seconds * decay + elapsed_s
        self._updated_s = now_s


class ServiceTimes:
    """Moving averages of the finished requests of one model or service."""

    def __init__(self) -> None:
        self._first_token_s = 0.0
        self._gap_s = 0.0
        self._output_ratio = 1.0
        self._measured_s: float | None = None

    def record_finished(
        self, *, first_token_s: float, gap_s: float, output_ratio: float, now_s: float
    ) -> None:
        """Add a finished request; output_ratio is generated over allowed tokens."""
        weight = SMOOTHING_FACTOR if self._measured_s is not None else 1.0
        self._first_token_s += weight * (first_token_s - self._first_token_s)
        self._gap_s += weight * (gap_s - self._gap_s)
        self._output_ratio += weight * (output_ratio - self._output_ratio)
        self._measured_s = now_s

    def expected_s(self, max_tokens: int, now_s: float) -> float:
        """Return the expected time from dispatch to completion; 0 when unknown."""
        if self._measured_s is None or now_s - self._measured_s > MEASUREMENT_MAX_AGE_S:
            return 0.0
        return self._first_token_s + self._gap_s * max_tokens * self._output_ratio
