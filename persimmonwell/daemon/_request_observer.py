"""Observer that derives timeline events and metrics from the router's events."""

from collections.abc import Sequence

import attrs

from persimmonwell.core import Outcome, Rank
from persimmonwell.core.router import (
    AttemptFinished,
    Dispatch,
    DispatchService,
    FirstToken,
    RecordEvent,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RouterDecision,
    RouterEvent,
    ServiceCallArrived,
    ServiceCallFailed,
    ServiceCallFinished,
    StageFailed,
)
from persimmonwell.core.timeline import EventKind
from persimmonwell.observe import Metrics, Recorder, part_logger

_DERIVED_KINDS = frozenset(
    {EventKind.RECEIVED, EventKind.ADMITTED, EventKind.DISPATCHED}
)
"""Kinds always derived here, since the derived events name every upstream."""


@attrs.define
class _OpenRequest:
    """State of one request that has not ended."""

    workspace: str
    rank: Rank
    model: str
    """Model name, or service/NAME for a service call."""
    attempts: int = 0
    tokens: int = 0
    """Number of tokens after which the next attempt resumes."""
    upstream_ids: tuple[str, ...] = ()
    """Upstreams of the current attempt."""
    lost_upstreams: tuple[str, ...] = ()
    failure: str = ""


class RequestObserver:
    """Recorder of the steps of each request, as timeline events and metrics.

    Not thread-safe: only the router's actor calls observe.
    """

    def __init__(self, recorder: Recorder, metrics: Metrics) -> None:
        self._recorder = recorder
        self._metrics = metrics
        self._open_requests: dict[str, _OpenRequest] = {}
        self._explicit_events: frozenset[tuple[EventKind, str]] = frozenset()
        self._queued = dict.fromkeys(Rank, 0)
        self._in_flight = dict.fromkeys(Rank, 0)

    @property
    def queued(self) -> dict[Rank, int]:
        """Return the number of requests queued for their first attempt, by rank."""
        return dict(self._queued)

    @property
    def in_flight(self) -> dict[Rank, int]:
        """Return the number of open requests that have been dispatched, by rank."""
        return dict(self._in_flight)

    def observe(self, event: RouterEvent, decisions: Sequence[RouterDecision]) -> None:
        """Record an event and the decisions that followed from it.

        A step for which the router returned a RecordEvent is not recorded twice.
        """
        self._explicit_events = frozenset(
            (EventKind.parse(d.kind), d.request_id)
            for d in decisions
            if isinstance(d, RecordEvent)
            and EventKind.parse(d.kind) not in _DERIVED_KINDS
        )
        self._record_before_decisions(event)
        for decision in decisions:
            self._record_decision(decision)
        self._record_after_decisions(event)

    def _record_before_decisions(self, event: RouterEvent) -> None:
        match event:
            case RequestArrived(request):
                open_request = _OpenRequest(
                    request.workspace, request.rank, request.model
                )
                self._record_arrival(request.request_id, open_request)
            case ServiceCallArrived(call):
                name = f"service/{call.service}"
                self._record_arrival(
                    call.request_id, _OpenRequest(call.workspace, call.rank, name)
                )
            case FirstToken(request_id, attempt):
                detail = f"attempt {attempt}"
                self._record_progress(EventKind.FIRST_TOKEN, request_id, detail)
            case StageFailed():
                self._record_failure(
                    event.request_id, event.upstream_id, event.failure.value
                )
                if event.request_id in self._open_requests:
                    self._open_requests[event.request_id].tokens = event.tokens_so_far
            case ServiceCallFailed():
                self._record_failure(
                    event.request_id, event.replica_id, event.failure.value
                )
            case _:
                pass

    def _record_after_decisions(self, event: RouterEvent) -> None:
        match event:
            case AttemptFinished(request_id, _, tokens):
                self._record_finish(request_id, f"{tokens} tokens")
            case ServiceCallFinished(request_id, _):
                self._record_finish(request_id, "answered")
            case RequestCancelled(request_id):
                self._record_cancellation(request_id)
            case _:
                pass

    def _record_decision(self, decision: RouterDecision) -> None:
        match decision:
            case Dispatch(request_id, attempt, chain):
                self._record_dispatch(request_id, attempt, chain.upstream_ids)
            case DispatchService(request_id, attempt, replica):
                self._record_dispatch(request_id, attempt, (replica.replica_id,))
            case Refuse():
                self._record_refusal(decision)
            case RecordEvent(kind) if EventKind.parse(kind) not in _DERIVED_KINDS:
                self._record_explicit_event(decision)
            case _:
                pass

    def _record_arrival(self, request_id: str, open_request: _OpenRequest) -> None:
        self._open_requests[request_id] = open_request
        self._queued[open_request.rank] += 1
        self._metrics.count_arrival(open_request.workspace)
        detail = f"{open_request.rank.name.lower()} {open_request.model}"
        self._record(EventKind.RECEIVED, request_id, detail)

    def _record_failure(self, request_id: str, upstream_id: str, failure: str) -> None:
        open_request = self._open_requests.get(request_id)
        if open_request is not None:
            open_request.lost_upstreams, open_request.failure = (upstream_id,), failure

    def _record_dispatch(
        self, request_id: str, attempt: int, upstream_ids: tuple[str, ...]
    ) -> None:
        open_request = self._open_requests.get(request_id)
        if open_request is None:
            return
        open_request.attempts += 1
        open_request.upstream_ids = upstream_ids
        if open_request.attempts == 1:
            self._queued[open_request.rank] -= 1
            self._in_flight[open_request.rank] += 1
            self._record(EventKind.ADMITTED, request_id)
        else:
            self._record_restart(request_id, open_request)
        detail = f"attempt {attempt}"
        self._record(EventKind.DISPATCHED, request_id, detail, upstream_ids)

    def _record_restart(self, request_id: str, open_request: _OpenRequest) -> None:
        detail = f"after {open_request.failure}" if open_request.failure else ""
        if open_request.tokens:
            self._metrics.count_resume(open_request.rank)
            kind, detail = EventKind.RESUMED, f"{detail} at token {open_request.tokens}"
        else:
            self._metrics.count_retry(open_request.rank)
            kind = EventKind.RETRIED
        restart_events = {
            (k, request_id) for k in (EventKind.RESUMED, EventKind.RETRIED)
        }
        if not restart_events & self._explicit_events:
            self._record(kind, request_id, detail.strip(), open_request.lost_upstreams)

    def _record_refusal(self, refuse: Refuse) -> None:
        code = refuse.error.code
        self._metrics.count_refusal(code)
        open_request = self._open_requests.get(refuse.request_id)
        upstream_ids = open_request.lost_upstreams if open_request is not None else ()
        detail = f"{code}, {refuse.outcome.value}"
        self._record(EventKind.REFUSED, refuse.request_id, detail, upstream_ids)
        part_logger("router").bind(request=refuse.request_id).info("refused, {}", code)
        self._close_request(refuse.request_id, refuse.outcome)

    def _record_finish(self, request_id: str, detail: str) -> None:
        if request_id in self._open_requests:
            self._record_progress(EventKind.FINISHED, request_id, detail)
            self._close_request(request_id, Outcome.COMPLETE)

    def _record_cancellation(self, request_id: str) -> None:
        open_request = self._open_requests.get(request_id)
        if open_request is None:
            return
        outcome = Outcome.MAY_HAVE_RUN if open_request.attempts else Outcome.NOT_RUN
        detail = f"cancelled, {outcome.value}"
        self._record_progress(EventKind.FINISHED, request_id, detail)
        self._close_request(request_id, outcome)

    def _close_request(self, request_id: str, outcome: Outcome) -> None:
        open_request = self._open_requests.pop(request_id, None)
        if open_request is None:
            return
        counts = self._in_flight if open_request.attempts else self._queued
        counts[open_request.rank] -= 1
        self._metrics.count_ended_request(
            open_request.rank, open_request.model, outcome
        )

    def _record_progress(self, kind: EventKind, request_id: str, detail: str) -> None:
        open_request = self._open_requests.get(request_id)
        upstream_ids = open_request.upstream_ids if open_request else ()
        self._record(kind, request_id, detail, upstream_ids)

    def _record_explicit_event(self, event: RecordEvent) -> None:
        open_request = self._open_requests.get(event.request_id)
        workspace = event.workspace or (open_request.workspace if open_request else "")
        self._recorder.record(
            event.kind,
            request_id=event.request_id,
            workspace=workspace,
            upstream_ids=(event.upstream_id,) if event.upstream_id else (),
            detail=event.detail,
        )

    def _record(
        self,
        kind: EventKind,
        request_id: str,
        detail: str = "",
        upstream_ids: tuple[str, ...] = (),
    ) -> None:
        if (kind, request_id) in self._explicit_events:
            return
        open_request = self._open_requests.get(request_id)
        self._recorder.record(
            kind,
            request_id=request_id,
            workspace=open_request.workspace if open_request else "",
            upstream_ids=upstream_ids,
            detail=detail,
        )
