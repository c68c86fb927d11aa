"""Times at which refused callers may retry.

Load pattern: for some seconds demand is a multiple of what the replicas can serve.
Callers that retry at once meet the same load, and are refused again or take the
capacity of others that could still be answered in time.
"""

QUIET_S = 2.0
"""Time without a refusal after which an overload has ended."""
DURATION_FACTOR = 2.0
"""Expected length of an overload in multiples of the time that it has lasted."""
MAX_DEFERRAL_SHARE = 1 / 3
"""Part of a caller's remaining time for which it can be asked to wait."""
MIN_RATE_PER_S = 1.0
"""Lower bound of the rate at which refused callers are served."""


class Overload:
    """Refusals of one service since its overload began."""

    def __init__(self) -> None:
        self._began_s = float("-inf")
        self._last_refusal_s = float("-inf")
        self._refused_count = 0

    def is_current(self, now_s: float) -> bool:
        """Return whether a caller was refused within QUIET_S."""
        return now_s - self._last_refusal_s <= QUIET_S

    def record_refusal(self, now_s: float) -> None:
        """Count a refused caller, which may be the first one of an overload."""
        if not self.is_current(now_s):
            self._began_s = now_s
            self._refused_count = 0
        self._last_refusal_s = now_s
        self._refused_count += 1

    def expected_end_s(self, now_s: float, *, send_rate_per_s: float) -> float:
        """Return the seconds until the refused callers can be served.

        They follow each other at the rate at which this host sends.
        """
        lasted_s = now_s - self._began_s
        backlog_s = self._refused_count / max(MIN_RATE_PER_S, send_rate_per_s)
        return DURATION_FACTOR * lasted_s + backlog_s
