"""Mean and deviation of intervals, for time-outs that follow them (RFC 6298)."""

MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
"""Weights of the newest interval in the mean and in the mean deviation (RFC 6298)."""
DEVIATIONS = 4.0
"""Mean deviations by which an unusual interval exceeds the mean (RFC 6298)."""


class IntervalEstimate:
    """Moving averages of an interval and of its deviation from the mean."""

    __slots__ = ("_deviation_s", "_mean_s")

    def __init__(self) -> None:
        self._mean_s: float | None = None
        self._deviation_s = 0.0

    @property
    def mean_s(self) -> float | None:
        """Return the mean interval, None before the first one."""
        return self._mean_s

    @property
    def usual_s(self) -> float | None:
        """Return the mean and one mean deviation, None before the first interval."""
        return None if self._mean_s is None else self._mean_s + self._deviation_s

    @property
    def unusual_s(self) -> float:
        """Return the length from which an interval is unusual, 0 before the first."""
        return (self._mean_s or 0.0) + DEVIATIONS * self._deviation_s

    def record(self, interval_s: float) -> None:
        """Count one more interval."""
        if self._mean_s is None:
            self._mean_s, self._deviation_s = interval_s, interval_s / 2
            return
        deviation_s = abs(interval_s - self._mean_s)
        self._deviation_s += DEVIATION_WEIGHT * (deviation_s - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * (interval_s - self._mean_s)
