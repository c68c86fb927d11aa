"""Reporter of upstreams' successes and failures to the control state."""

from collections.abc import Callable, Sequence

from persimmonwell.core.control import UpstreamOutcomeObserved
from persimmonwell.core.router import (
    AttemptFinished,
    Dispatch,
    DispatchService,
    FailureKind,
    Refuse,
    RequestCancelled,
    RouterDecision,
    RouterEvent,
    ServiceCallFailed,
    ServiceCallFinished,
    StageFailed,
)

REPORT_INTERVAL_S = 0.5
"""Minimum time between two reports of the same result of an upstream.

A loaded upstream ends many attempts in that time.
"""
MAX_TRACKED_OUTCOMES = 4096
"""Bound on the remembered report times; all are dropped when it is reached."""
_UNREACHABLE_FAILURES = frozenset(
    {FailureKind.LOST, FailureKind.NOT_SENT, FailureKind.TIMEOUT}
)
"""Failures that may mean that the upstream is gone. A busy one has answered."""


class UpstreamOutcomeReporter:
    """Rate-limited reporter of the results of attempts, by upstream.

    Not thread-safe: only the router's actor calls it.
    """

    def __init__(self, post_event: Callable[[UpstreamOutcomeObserved], None]) -> None:
        self._post_event = post_event
        self._attempt_upstream_ids: dict[str, tuple[str, ...]] = {}
        self._last_report_s: dict[tuple[str, bool], float] = {}

    def observe(
        self, event: RouterEvent, decisions: Sequence[RouterDecision], now_s: float
    ) -> None:
        """Report the result of the attempt that an event ends; track new attempts."""
        match event:
            case AttemptFinished(request_id) | ServiceCallFinished(request_id):
                for upstream_id in self._attempt_upstream_ids.pop(request_id, ()):
                    self._report(upstream_id, True, now_s)
            case StageFailed() if event.failure in _UNREACHABLE_FAILURES:
                self._report(event.upstream_id, False, now_s)
            case ServiceCallFailed() if event.failure in _UNREACHABLE_FAILURES:
                self._report(event.replica_id, False, now_s)
            case RequestCancelled(request_id):
                self._attempt_upstream_ids.pop(request_id, None)
        for decision in decisions:
            match decision:
                case Dispatch(request_id, _, chain):
                    self._attempt_upstream_ids[request_id] = chain.upstream_ids
                case DispatchService(request_id, _, replica):
                    self._attempt_upstream_ids[request_id] = (replica.replica_id,)
                case Refuse(request_id):
                    self._attempt_upstream_ids.pop(request_id, None)

    def _report(self, upstream_id: str, succeeded: bool, now_s: float) -> None:
        key = (upstream_id, succeeded)
        last_report_s = self._last_report_s.get(key)
        if last_report_s is not None and now_s - last_report_s < REPORT_INTERVAL_S:
            return
        if len(self._last_report_s) >= MAX_TRACKED_OUTCOMES:
            self._last_report_s.clear()
        self._last_report_s[key] = now_s
        self._post_event(UpstreamOutcomeObserved(upstream_id, succeeded))
