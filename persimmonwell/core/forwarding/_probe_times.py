"""Probes that a replica has not answered while others have been answered.

Load pattern: the link of a host is busy, with a large configuration or many answers,
so that probes take 70 to 150 ms instead of a few. All of them are late then, and none
of the replicas is lost.
"""

import attrs

from persimmonwell.core.forwarding._intervals import IntervalEstimate

MIN_OVERDUE_S = 0.03
"""Time beyond that of other probes after which one is overdue: a live replica answers
within some milliseconds."""
MAX_OVERDUE_S = 0.3
"""Time after which a probe is overdue in any case."""
COMPARED_S = 0.05
"""Difference in the time of sending up to which probes are compared."""
CHECK_INTERVAL_S = 0.01
"""Longest interval at which a probe without an answer is compared with the others."""
MIN_CHECK_INTERVAL_S = 0.001
"""Shortest such interval, about that of the event loop's timers."""
MIN_COMPARED = 2
"""Unanswered probes of about the same time from which the link may be the cause."""


@attrs.define
class _Answered:
    sent_s: float
    response_s: float


class ProbeTimes:
    """Probes in flight and the response times of the last ones."""

    def __init__(self) -> None:
        self._sent_s: dict[str, float] = {}
        self._answered: list[_Answered] = []
        self._usual = IntervalEstimate()

    def record_sent(self, replica_id: str, now_s: float) -> None:
        """Record a probe."""
        self._sent_s[replica_id] = now_s

    def record_answered(self, replica_id: str, now_s: float) -> None:
        """Record the answer to a probe."""
        sent_s = self._sent_s.pop(replica_id, None)
        if sent_s is None:
            return
        self._usual.record(now_s - sent_s)
        oldest_s = now_s - MAX_OVERDUE_S - COMPARED_S
        self._answered = [each for each in self._answered if each.sent_s >= oldest_s]
        self._answered.append(_Answered(sent_s, now_s - sent_s))

    def record_failed(self, replica_id: str) -> None:
        """Record that a probe has ended without an answer."""
        self._sent_s.pop(replica_id, None)

    def is_in_flight(self, replica_id: str) -> bool:
        """Return whether a probe has neither been answered nor ended."""
        return replica_id in self._sent_s

    def is_overdue(self, replica_id: str, now_s: float) -> bool:
        """Return whether the answer to a probe in flight takes unusually long."""
        sent_s = self._sent_s.get(replica_id)
        return sent_s is not None and now_s - sent_s >= self._limit_s(
            replica_id, sent_s
        )

    def next_check_s(self, replica_id: str, now_s: float) -> float:
        """Return the time until a probe in flight is to be compared again.

        It is that until the probe is overdue, if that is sooner than the next check:
        streams wait for it with their gap objective nearly used up.
        """
        sent_s = self._sent_s.get(replica_id)
        if sent_s is None:
            return CHECK_INTERVAL_S
        left_s = sent_s + self._limit_s(replica_id, sent_s) - now_s
        return max(MIN_CHECK_INTERVAL_S, min(CHECK_INTERVAL_S, left_s))

    def _limit_s(self, replica_id: str, sent_s: float) -> float:
        """Return the time from which an answer to a probe takes unusually long."""
        response_times_s = [
            each.response_s
            for each in self._answered
            if each.sent_s >= sent_s - COMPARED_S
        ]
        if response_times_s:
            return min(MAX_OVERDUE_S, max(response_times_s) + MIN_OVERDUE_S)
        waiting = sum(
            abs(other_s - sent_s) <= COMPARED_S
            for other_id, other_s in self._sent_s.items()
            if other_id != replica_id
        )
        if waiting >= MIN_COMPARED:
            return MAX_OVERDUE_S
        return min(MAX_OVERDUE_S, max(MIN_OVERDUE_S, self._usual.unusual_s))
