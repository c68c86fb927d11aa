"""Report to the control state which upstreams answered and which failed."""

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

EVIDENCE_INTERVAL_S = 0.5
"""Per upstream and result; a busy upstream ends many attempts in that time."""
UPSTREAMS_KEPT = 4096
_UNREACHED = frozenset({FailureKind.LOST, FailureKind.NOT_SENT, FailureKind.TIMEOUT})
"""Failures that may mean the upstream is gone; a busy one has answered."""


class EvidenceFeed:
    """Hold the upstreams of open attempts; called by the router's actor alone."""

    def __init__(self, tell: Callable[[UpstreamOutcomeObserved], None]) -> None:
        self._tell = tell
        self._upstreams: dict[str, tuple[str, ...]] = {}
        self._told_s: dict[tuple[str, bool], float] = {}

    def observe(
        self, event: RouterEvent, decisions: Sequence[RouterDecision], now_s: float
    ) -> None:
        """Report the result of an attempt that this event ends."""
        match event:
            case AttemptFinished(request_id) | ServiceCallFinished(request_id):
                for upstream_id in self._upstreams.pop(request_id, ()):
                    self._report(upstream_id, True, now_s)
            case StageFailed() if event.failure in _UNREACHED:
                self._report(event.upstream_id, False, now_s)
            case ServiceCallFailed() if event.failure in _UNREACHED:
                self._report(event.replica_id, False, now_s)
            case RequestCancelled(request_id):
                self._upstreams.pop(request_id, None)
        for decision in decisions:
            match decision:
                case Dispatch(request_id, _, chain):
                    self._upstreams[request_id] = chain.upstream_ids
                case DispatchService(request_id, _, replica):
                    self._upstreams[request_id] = (replica.replica_id,)
                case Refuse(request_id):
                    self._upstreams.pop(request_id, None)

    def _report(self, upstream_id: str, succeeded: bool, now_s: float) -> None:
        key = (upstream_id, succeeded)
        last_s = self._told_s.get(key)
        if last_s is not None and now_s - last_s < EVIDENCE_INTERVAL_S:
            return
        if len(self._told_s) >= UPSTREAMS_KEPT:
            self._told_s.clear()
        self._told_s[key] = now_s
        self._tell(UpstreamOutcomeObserved(upstream_id, succeeded))
