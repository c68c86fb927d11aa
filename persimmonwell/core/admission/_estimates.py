"""Estimate how long a request waits and runs from what was measured here."""

import math

DRAIN_MEMORY_S = 5.0
"""Time constant of the drain rate; a shorter one follows single requests."""
MIN_DRAIN_S = 0.5
"""Backlogged time needed before a drain rate is believed."""
STALE_S = 10.0
"""Age at which a measurement no longer refuses anyone."""
FINISHED_WEIGHT = 0.1
"""Weight of one finished request in the averages."""


class DrainMeter:
    """Measure the tokens per second dispatched from a queue while it waits."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._seconds = 0.0
        self._updated_s = 0.0
        self._backlogged = False

    def settle(self, backlogged: bool, now_s: float) -> None:
        """Report whether the queue still holds requests after a dispatch round."""
        if backlogged == self._backlogged:
            return
        if backlogged and now_s - self._updated_s > STALE_S:
            self._tokens = self._seconds = 0.0
        self._advance(now_s)
        self._backlogged = backlogged
        self._updated_s = now_s

    def drained(self, tokens: int, now_s: float) -> None:
        """Count tokens dispatched from the queue."""
        if self._backlogged:
            self._advance(now_s)
            self._tokens += tokens

    def tokens_per_s(self, now_s: float) -> float | None:
        """Return the drain rate, or None while too little is measured."""
        self._advance(now_s)
        if self._seconds < MIN_DRAIN_S or self._tokens <= 0:
            return None
        return self._tokens / self._seconds

    def backlogged_s(self, now_s: float) -> float:
        """Return the recent backlogged time, or 0 without a backlog."""
        if not self._backlogged:
            return 0.0
        self._advance(now_s)
        return self._seconds

    def _advance(self, now_s: float) -> None:
        if not self._backlogged:
            return
        elapsed_s = max(0.0, now_s - self._updated_s)
        decay = math.exp(-elapsed_s / DRAIN_MEMORY_S)
        self._tokens *= decay
        self._seconds = self._seconds * decay + elapsed_s
        self._updated_s = now_s


class ServiceTimes:
    """Average the time of finished requests of one model or service."""

    def __init__(self) -> None:
        self._first_token_s = 0.0
        self._gap_s = 0.0
        self._output_ratio = 1.0
        self._measured_s: float | None = None

    def finished(
        self, *, first_token_s: float, gap_s: float, output_ratio: float, now_s: float
    ) -> None:
        """Add a finished request; the ratio is generated to allowed tokens."""
        weight = FINISHED_WEIGHT if self._measured_s is not None else 1.0
        self._first_token_s += weight * (first_token_s - self._first_token_s)
        self._gap_s += weight * (gap_s - self._gap_s)
        self._output_ratio += weight * (output_ratio - self._output_ratio)
        self._measured_s = now_s

    def expected_s(self, max_tokens: int, now_s: float) -> float:
        """Return the expected time from dispatch to the end; 0 when unknown."""
        if self._measured_s is None or now_s - self._measured_s > STALE_S:
            return 0.0
        return self._first_token_s + self._gap_s * max_tokens * self._output_ratio
