"""Progress of a transfer: its recent rate and the time since its last byte."""

import math

RATE_WINDOW_S = 2.0
"""Time constant of the recent rate. Longer than the pause of a sender that waits for
one lost segment, and short against the time for which uploads wait."""


class Progress:
    """Recent rate of a transfer, without the time for which the host paused it."""

    __slots__ = (
        "_last_s",
        "_level",
        "_paused_since_s",
        "_window_bytes",
        "_window_start_s",
        "started_s",
    )

    def __init__(self, now_s: float) -> None:
        self.started_s = now_s
        """Start of the observed time; pauses by the host shift it."""
        self._last_s = now_s
        self._level = 0.0
        self._window_start_s = now_s
        self._window_bytes = 0
        self._paused_since_s: float | None = None

    @property
    def is_paused(self) -> bool:
        """Return whether the host itself has paused the transfer."""
        return self._paused_since_s is not None

    def add(self, count: int, now_s: float) -> None:
        """Record transferred bytes."""
        self._level = self._decayed_level(now_s) + count
        self._last_s = now_s
        self._window_bytes += count

    def pause(self, now_s: float) -> None:
        """Stop counting time, since the host does not take the bytes."""
        if self._paused_since_s is None:
            self._paused_since_s = now_s

    def resume(self, now_s: float) -> None:
        """Count time again."""
        if self._paused_since_s is None:
            return
        pause_s = now_s - self._paused_since_s
        self._paused_since_s = None
        self.started_s += pause_s
        self._last_s += pause_s
        self._window_start_s += pause_s

    def idle_s(self, now_s: float) -> float:
        """Return the time since the last byte."""
        return self._end_s(now_s) - self._last_s

    def observed_s(self, now_s: float) -> float:
        """Return for how long the transfer could make progress."""
        return self._end_s(now_s) - self.started_s

    def bytes_per_s(self, now_s: float) -> float:
        """Return the rate over the last seconds."""
        return self._decayed_level(now_s) / RATE_WINDOW_S

    def is_below(self, min_bytes_per_s: float, window_s: float, now_s: float) -> bool:
        """Return whether a whole window ended with fewer bytes than the rate demands.

        Called at least once a window; starts the next window when one has ended.
        """
        if self._end_s(now_s) - self._window_start_s < window_s:
            return False
        is_below = self._window_bytes < min_bytes_per_s * window_s
        self._window_start_s = self._end_s(now_s)
        self._window_bytes = 0
        return is_below

    def _end_s(self, now_s: float) -> float:
        return now_s if self._paused_since_s is None else self._paused_since_s

    def _decayed_level(self, now_s: float) -> float:
        elapsed_s = max(0.0, self._end_s(now_s) - self._last_s)
        return self._level * math.exp(-elapsed_s / RATE_WINDOW_S)
