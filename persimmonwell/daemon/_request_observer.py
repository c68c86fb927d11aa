"""Turn router events and decisions into timeline events and metrics."""

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

_DERIVED = frozenset({EventKind.RECEIVED, EventKind.ADMITTED, EventKind.DISPATCHED})
"""Kinds derived from events and decisions, which name every upstream."""


@attrs.define
class _Open:
    """Track one request until it ends."""

    workspace: str
    rank: Rank
    model: str
    """Model, or service/NAME for a plain service."""
    attempts: int = 0
    tokens: int = 0
    """Tokens that the next attempt continues from."""
    upstream_ids: tuple[str, ...] = ()
    """Upstreams of the current attempt."""
    lost_upstreams: tuple[str, ...] = ()
    failure: str = ""


class RequestObserver:
    """Hold the open requests; called by the router's actor alone."""

    def __init__(self, recorder: Recorder, metrics: Metrics) -> None:
        self._recorder = recorder
        self._metrics = metrics
        self._open: dict[str, _Open] = {}
        self._stated: frozenset[tuple[EventKind, str]] = frozenset()
        self._queued = dict.fromkeys(Rank, 0)
        self._in_flight = dict.fromkeys(Rank, 0)

    @property
    def queued(self) -> dict[Rank, int]:
        """Return the requests that wait for their first attempt, by rank."""
        return dict(self._queued)

    @property
    def in_flight(self) -> dict[Rank, int]:
        """Return the requests that have had an attempt, by rank."""
        return dict(self._in_flight)

    def observe(self, event: RouterEvent, decisions: Sequence[RouterDecision]) -> None:
        """Record one event and the decisions that followed from it.

        A kind that the router states itself as RecordEvent is not derived again.
        """
        self._stated = frozenset(
            (EventKind.parse(d.kind), d.request_id)
            for d in decisions
            if isinstance(d, RecordEvent) and EventKind.parse(d.kind) not in _DERIVED
        )
        self._before(event)
        for decision in decisions:
            self._decided(decision)
        self._after(event)

    def _before(self, event: RouterEvent) -> None:
        match event:
            case RequestArrived(request):
                opened = _Open(request.workspace, request.rank, request.model)
                self._arrived(request.request_id, opened)
            case ServiceCallArrived(call):
                name = f"service/{call.service}"
                self._arrived(call.request_id, _Open(call.workspace, call.rank, name))
            case FirstToken(request_id, attempt):
                detail = f"attempt {attempt}"
                self._record_progress(EventKind.FIRST_TOKEN, request_id, detail)
            case StageFailed():
                self._failed(event.request_id, event.upstream_id, event.failure.value)
                if event.request_id in self._open:
                    self._open[event.request_id].tokens = event.tokens_so_far
            case ServiceCallFailed():
                self._failed(event.request_id, event.replica_id, event.failure.value)
            case _:
                pass

    def _after(self, event: RouterEvent) -> None:
        match event:
            case AttemptFinished(request_id, _, tokens):
                self._finished(request_id, f"{tokens} tokens")
            case ServiceCallFinished(request_id, _):
                self._finished(request_id, "answered")
            case RequestCancelled(request_id):
                self._cancelled(request_id)
            case _:
                pass

    def _decided(self, decision: RouterDecision) -> None:
        match decision:
            case Dispatch(request_id, attempt, chain):
                self._dispatched(request_id, attempt, chain.upstream_ids)
            case DispatchService(request_id, attempt, replica):
                self._dispatched(request_id, attempt, (replica.replica_id,))
            case Refuse():
                self._refused(decision)
            case RecordEvent(kind) if EventKind.parse(kind) not in _DERIVED:
                self._record_stated(decision)
            case _:
                pass

    def _arrived(self, request_id: str, opened: _Open) -> None:
        self._open[request_id] = opened
        self._queued[opened.rank] += 1
        self._metrics.count_arrival(opened.workspace)
        detail = f"{opened.rank.name.lower()} {opened.model}"
        self._record(EventKind.RECEIVED, request_id, detail)

    def _failed(self, request_id: str, upstream_id: str, failure: str) -> None:
        opened = self._open.get(request_id)
        if opened is not None:
            opened.lost_upstreams, opened.failure = (upstream_id,), failure

    def _dispatched(
        self, request_id: str, attempt: int, upstream_ids: tuple[str, ...]
    ) -> None:
        opened = self._open.get(request_id)
        if opened is None:
            return
        opened.attempts += 1
        opened.upstream_ids = upstream_ids
        if opened.attempts == 1:
            self._queued[opened.rank] -= 1
            self._in_flight[opened.rank] += 1
            self._record(EventKind.ADMITTED, request_id)
        else:
            self._restarted(request_id, opened)
        detail = f"attempt {attempt}"
        self._record(EventKind.DISPATCHED, request_id, detail, upstream_ids)

    def _restarted(self, request_id: str, opened: _Open) -> None:
        detail = f"after {opened.failure}" if opened.failure else ""
        if opened.tokens:
            self._metrics.count_resume(opened.rank)
            kind, detail = EventKind.RESUMED, f"{detail} at token {opened.tokens}"
        else:
            self._metrics.count_retry(opened.rank)
            kind = EventKind.RETRIED
        stated = {(k, request_id) for k in (EventKind.RESUMED, EventKind.RETRIED)}
        if not stated & self._stated:
            self._record(kind, request_id, detail.strip(), opened.lost_upstreams)

    def _refused(self, refuse: Refuse) -> None:
        code = refuse.error.code
        self._metrics.count_refusal(code)
        opened = self._open.get(refuse.request_id)
        upstream_ids = opened.lost_upstreams if opened is not None else ()
        detail = f"{code}, {refuse.outcome.value}"
        self._record(EventKind.REFUSED, refuse.request_id, detail, upstream_ids)
        part_logger("router").bind(request=refuse.request_id).info("refused, {}", code)
        self._end(refuse.request_id, refuse.outcome)

    def _finished(self, request_id: str, detail: str) -> None:
        if request_id in self._open:
            self._record_progress(EventKind.FINISHED, request_id, detail)
            self._end(request_id, Outcome.COMPLETE)

    def _cancelled(self, request_id: str) -> None:
        opened = self._open.get(request_id)
        if opened is None:
            return
        outcome = Outcome.MAY_HAVE_RUN if opened.attempts else Outcome.NOT_RUN
        detail = f"cancelled, {outcome.value}"
        self._record_progress(EventKind.FINISHED, request_id, detail)
        self._end(request_id, outcome)

    def _end(self, request_id: str, outcome: Outcome) -> None:
        opened = self._open.pop(request_id, None)
        if opened is None:
            return
        counts = self._in_flight if opened.attempts else self._queued
        counts[opened.rank] -= 1
        self._metrics.count_ended_request(opened.rank, opened.model, outcome)

    def _record_progress(self, kind: EventKind, request_id: str, detail: str) -> None:
        opened = self._open.get(request_id)
        upstream_ids = opened.upstream_ids if opened else ()
        self._record(kind, request_id, detail, upstream_ids)

    def _record_stated(self, stated: RecordEvent) -> None:
        opened = self._open.get(stated.request_id)
        workspace = stated.workspace or (opened.workspace if opened else "")
        self._recorder.record(
            stated.kind,
            request_id=stated.request_id,
            workspace=workspace,
            upstream_ids=(stated.upstream_id,) if stated.upstream_id else (),
            detail=stated.detail,
        )

    def _record(
        self,
        kind: EventKind,
        request_id: str,
        detail: str = "",
        upstream_ids: tuple[str, ...] = (),
    ) -> None:
        if (kind, request_id) in self._stated:
            return
        opened = self._open.get(request_id)
        self._recorder.record(
            kind,
            request_id=request_id,
            workspace=opened.workspace if opened else "",
            upstream_ids=upstream_ids,
            detail=detail,
        )
