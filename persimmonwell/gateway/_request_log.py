"""Log lines and counters of the outcomes of requests."""

import time

from persimmonwell._exceptions import BadRequestError
from persimmonwell.core.forwarding import (
    AttemptFailure,
    Ending,
    Finish,
    ForwardingRouter,
    Send,
)
from persimmonwell.gateway._exchange import Exchange
from persimmonwell.gateway._metrics import GatewayMetrics, describe_wait
from persimmonwell.gateway._zone_crossings import crossing_fields
from persimmonwell.observe import DecisionLog

MIN_WAIT_S = 0.001
"""Time from which a request counts as having waited. What decided its wait is recorded
then; for each request it would cost a tenth of the CPU time of a plain one."""


class RequestLog:
    """Writes what happens to requests to the decision log and the metrics."""

    def __init__(
        self, *, log: DecisionLog, metrics: GatewayMetrics, router: ForwardingRouter
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._router = router

    def rejected(self, request_id: str, error: BadRequestError) -> None:
        """Record a request that cannot be decoded."""
        self._metrics.count_event("rejected")
        self._log.write(
            "request",
            "rejected",
            id=request_id,
            field=error.field,
            reason=error.reason,
        )

    def attempt_failed(
        self,
        exchange: Exchange,
        failure: AttemptFailure,
        *,
        fault_address: str | None,
        detail: str,
    ) -> None:
        """Record a failed attempt."""
        self._metrics.count_event(f"failed_{failure.value}")
        if failure is AttemptFailure.NOT_RUN and fault_address is not None:
            self._metrics.count_event("refused_by_named_replica")
        self._log.write(
            "request",
            "attempt_failed",
            id=exchange.request.request_id,
            attempt=exchange.attempt,
            failure=failure.value,
            fault=fault_address,
            detail=detail,
            answer=exchange.answer_status,
            began=exchange.has_partial_answer,
        )

    def answered(self, exchange: Exchange, status: int, now_s: float) -> None:
        """Record a complete answer."""
        self._metrics.count_event("answered")
        self._metrics.observe_answer(now_s - exchange.arrived_s)
        self._log.write(
            "request",
            "answered",
            id=exchange.request.request_id,
            attempt=exchange.attempt,
            status=status,
            ms=round((now_s - exchange.arrived_s) * 1000, 1),
            first_ms=(
                round((exchange.first_event_s - exchange.arrived_s) * 1000, 1)
                if exchange.first_event_s is not None
                else None
            ),
            max_gap_ms=round(exchange.max_gap_s * 1000, 1),
        )

    def caller_left(self, exchange: Exchange) -> None:
        """Record a caller that closed its connection before the end of its answer."""
        self._metrics.count_event("caller_left")
        self._log.write(
            "request",
            "caller_left",
            id=exchange.request.request_id,
            attempt=exchange.attempt,
            began=exchange.has_partial_answer,
            ms=round((time.monotonic() - exchange.arrived_s) * 1000, 1),
        )

    def sent(self, exchange: Exchange, send: Send) -> None:
        """Record an attempt and what decided its path."""
        self._metrics.count_event("sends")
        now_s = time.monotonic()
        waited_s = now_s - exchange.arrived_s
        facts = None
        if waited_s >= MIN_WAIT_S:
            facts = self._router.wait_facts(exchange.key, now_s)
        if facts is not None and send.attempt == 1:
            self._metrics.observe_wait(facts, waited_s)
        size = exchange.request.size
        route = self._router.route_of(exchange.key)
        replica = self._router.registry.replicas.get(send.replica_id)
        is_repeatable = route is not None and route.is_retryable
        crossing = send.crossing
        if crossing is not None:
            self._metrics.count_crossing(crossing.source, crossing.target)
        self._log.write(
            "request",
            "sent",
            is_urgent=not is_repeatable,
            id=exchange.request.request_id,
            route=route.name if route is not None else None,
            kind=route.kind.value if route is not None else None,
            tenant=send.tenant,
            attempt=send.attempt,
            after=exchange.resumes_after,
            to=send.replica_id,
            born=replica.started_at_ms if replica is not None else None,
            stages=len(send.path.stages) if send.path is not None else 0,
            prompt=size.prompt_tokens if size is not None else None,
            most=size.max_output_tokens if size is not None else None,
            hint=size.expected_output_tokens if size is not None else None,
            step_ms=round(send.path.step_ms, 2) if send.path is not None else None,
            objective_ms=(
                round(route.latency_objective_s * 1000, 1)
                if route is not None
                else None
            ),
            **describe_wait(facts),
            waited_ms=round(waited_s * 1000, 1),
            **crossing_fields(crossing),
        )

    def ended(self, exchange: Exchange, finish: Finish) -> None:
        """Record the end of a request without an upstream's answer."""
        self._metrics.count_event(f"ended_{finish.ending.value}")
        is_overloaded = finish.ending is Ending.OVERLOADED
        self._metrics.count_refusal(
            finish.detail if is_overloaded else finish.ending.value
        )
        if finish.facts is not None:
            self._metrics.observe_wait(
                finish.facts, time.monotonic() - exchange.arrived_s, is_refused=True
            )
        config = self._router.config
        if finish.route is not None and not finish.route.is_retryable:
            outcome = "may_have_run" if exchange.may_have_run else "not_run"
            if finish.ending is Ending.TIMED_OUT and exchange.attempt:
                outcome = "may_have_run"
            self._metrics.count_event(f"unrepeatable_{outcome}")
        self._log.write(
            "request",
            "ended",
            id=exchange.request.request_id,
            ending=finish.ending.value,
            detail=finish.detail,
            route=finish.route.name if finish.route is not None else None,
            kind=finish.route.kind.value if finish.route is not None else None,
            rank=finish.route.priority if finish.route is not None else None,
            tenant=finish.tenant,
            ahead=finish.requests_ahead,
            share=round(finish.share, 3) if finish.share is not None else None,
            **describe_wait(finish.facts),
            retry_after_s=round(finish.retry_after_s, 2),
            config=config.version if config is not None else None,
            waiting=self._router.queued_request_count,
            running=self._router.open_request_count,
            ms=round((time.monotonic() - exchange.arrived_s) * 1000, 1),
        )
