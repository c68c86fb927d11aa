"""Gateway: connects callers and upstreams to the forwarding router."""

import asyncio
import json
import time
from collections.abc import Callable, Iterable
from typing import Any

from persimmonwell._exceptions import BadRequestError
from persimmonwell.core.forwarding import (
    AttemptFailure,
    CallerLimits,
    CancelAttempt,
    Decision,
    Ending,
    FetchStallReport,
    Finish,
    ForwardingRouter,
    ProbeReplica,
    ReplicaStatement,
    RequestDecision,
    Reroute,
    RouteKind,
    Send,
)
from persimmonwell.core.resources import BufferPlan, CallerPolicy, MemoryBudget
from persimmonwell.gateway._caller_admission import CallerAdmission
from persimmonwell.gateway._caller_connection import CallerConnection
from persimmonwell.gateway._caller_requests import RawRequest
from persimmonwell.gateway._connection_pool import ConnectionPool
from persimmonwell.gateway._control_calls import ControlCalls
from persimmonwell.gateway._exchange import STATUS_BY_ENDING, Exchange
from persimmonwell.gateway._http_connection import AnswerMatch, RawHeaders
from persimmonwell.gateway._metrics import GatewayMetrics
from persimmonwell.gateway._report_log import report_handlers
from persimmonwell.gateway._request_log import RequestLog
from persimmonwell.observe import DecisionLog
from persimmonwell.platform import (
    decode_answer_name,
    decode_request,
    decode_request_id,
    local_answer_headers,
)

TICK_S = 0.025
"""Resolution of time-outs and stall detection: a tenth of the usual gap objective."""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle time-out of replicas that do not advertise one in a keep-alive header."""


class Gateway:
    """Open exchanges of one host; it carries out the decisions of the router.

    Each event of callers, upstreams and the timer goes to the router, which returns
    the decisions to execute. Outcomes go to the decision log and the metrics.
    """

    def __init__(
        self,
        *,
        router: ForwardingRouter,
        log: DecisionLog,
        seed: int,
        caller_bound: int,
        on_leaving: Callable[[], None] = lambda: None,
        budget: MemoryBudget | None = None,
        caller_policy: CallerPolicy | None = None,
        buffer_plan: BufferPlan | None = None,
    ) -> None:
        self.router = router
        plan = buffer_plan or BufferPlan()
        self.pool = ConnectionPool(
            match_answer=_match_answer,
            clock=time.monotonic,
            default_idle_timeout_s=DEFAULT_IDLE_TIMEOUT_S,
            buffers=plan.rest,
        )
        self.metrics = GatewayMetrics()
        self.is_draining = False
        self._last_key = 0
        self._exchanges: dict[int, Exchange] = {}
        self._request_log = RequestLog(log=log, metrics=self.metrics, router=router)
        self.admission = CallerAdmission(
            bound=caller_bound,
            budget=budget,
            policy=caller_policy,
            buffer_plan=plan,
            log=log,
            metrics=self.metrics,
            read_limits=self._caller_limits,
            is_draining=lambda: self.is_draining,
            on_request=self._open_exchange,
        )
        self._callers = self.admission.callers
        self._calls = ControlCalls(
            router=router,
            pool=self.pool,
            log=log,
            metrics=self.metrics,
            execute=self.execute,
        )
        self._report_handlers: dict[type[Decision], Callable[[Any], None]] = {
            **report_handlers(log, self.metrics, on_leaving=on_leaving),
            FetchStallReport: self._calls.fetch_stall_report,
            ProbeReplica: self._calls.probe_replica,
        }
        self._request_handlers: dict[
            type[RequestDecision], Callable[[Exchange, Any], None]
        ] = {
            Send: self._send,
            Finish: self._finish,
            CancelAttempt: _cancel_attempt,
            Reroute: self._calls.send_reroute_order,
        }
        self._tick_timer: asyncio.TimerHandle | None = None

    @property
    def open_request_count(self) -> int:
        """Return how many requests have no final answer yet."""
        return len(self._exchanges)

    @property
    def caller_connection_count(self) -> int:
        """Return how many callers are connected."""
        return len(self._callers)

    @property
    def caller_bound(self) -> int:
        """Return how many callers may be connected."""
        return self._callers.bound

    def start(self) -> None:
        """Start the timer of time-outs and stall detection."""
        self._tick()

    def close(self) -> None:
        """Stop the timer and close all connections."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        for caller in list(self._callers):
            caller.abort_answer()
        self.pool.close()

    def now_s(self) -> float:
        """Return the time of the monotonic clock."""
        return time.monotonic()

    def create_caller_connection(self) -> CallerConnection:
        """Return the protocol instance of a new caller's connection."""
        return self.admission.create_connection()

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait, as not run."""
        self.execute(self.router.refuse_waiting(self.now_s()))

    def end_open_requests(self) -> None:
        """Give every open request its final answer; an answer that has begun breaks."""
        self.execute(self.router.end_open_requests(self.now_s()))

    def _caller_limits(self) -> CallerLimits:
        config = self.router.config
        return config.limits if config is not None else CallerLimits()

    # Requests

    def _open_exchange(
        self, caller: CallerConnection, raw: RawRequest
    ) -> Exchange | None:
        self._last_key += 1
        key = self._last_key
        try:
            request = decode_request(
                raw.method, raw.target, raw.headers, host=raw.host, body=raw.body
            )
        except BadRequestError as error:
            self._reject_request(caller, decode_request_id(raw.headers), error)
            return None
        except Exception as error:
            self._report_error(error)
            status = STATUS_BY_ENDING[Ending.NOT_READY]
            caller.write_answer(status, local_answer_headers("", None), b"")
            return None
        exchange = Exchange(
            key=key,
            owner=self,
            caller=caller,
            raw=raw,
            request=request,
            is_stream=lambda: self._is_stream(key),
        )
        self._exchanges[key] = exchange
        self.metrics.count_event("requests")
        self._decide(
            exchange, lambda: self.router.request_arrived(key, request, self.now_s())
        )
        return exchange

    def _decide(
        self, exchange: Exchange, ask_router: Callable[[], Iterable[Decision]]
    ) -> None:
        """Execute the router's decisions on an event of one request.

        An unexpected error ends this request alone.
        """
        try:
            decisions = ask_router()
        except Exception as error:
            self.exchange_faulted(exchange, error)
        else:
            self.execute(decisions)

    def exchange_faulted(self, exchange: Exchange, error: Exception) -> None:
        """Give a request on which an unexpected error was raised its final answer."""
        self.execute(
            self.router.end_faulted(exchange.key, error, was_sent=exchange.was_sent)
        )

    def _reject_request(
        self, caller: CallerConnection, request_id: str, error: BadRequestError
    ) -> None:
        self._request_log.rejected(request_id, error)
        body = json.dumps({"error": error.code, "field": error.field}).encode()
        headers = local_answer_headers(request_id, None)
        caller.write_answer(error.status, headers, body)

    def _is_stream(self, key: int) -> bool:
        route = self.router.route_of(key)
        return route is not None and route.kind is RouteKind.STREAM

    def attempt_failed(
        self,
        exchange: Exchange,
        failure: AttemptFailure,
        *,
        fault_address: str | None = None,
        detail: str = "",
    ) -> None:
        """Log a failed attempt and execute the router's decisions on it."""
        exchange.may_have_run |= failure.has_run
        self._request_log.attempt_failed(
            exchange, failure, fault_address=fault_address, detail=detail
        )
        self._decide(
            exchange,
            lambda: self.router.attempt_failed(
                exchange.key,
                exchange.attempt,
                failure,
                self.now_s(),
                fault_address=fault_address,
                detail=detail,
            ),
        )

    def limit_stated(self, exchange: Exchange, rate_per_s: float | None) -> None:
        """Record the rate limit in the head of an answer, None if it states none."""
        self._decide(
            exchange,
            lambda: self.router.limit_stated(
                exchange.key, exchange.attempt, rate_per_s, self.now_s()
            ),
        )

    def statement_received(
        self, exchange: Exchange, statement: ReplicaStatement
    ) -> None:
        """Record what the head of an answer says about its replica."""
        self._decide(
            exchange,
            lambda: self.router.statement_received(
                exchange.key, exchange.attempt, statement, self.now_s()
            ),
        )

    def answer_opened(self, exchange: Exchange) -> None:
        """Record that an upstream sent the head of a success."""
        self.router.answer_opened(exchange.key, exchange.attempt)

    def answer_began(self, exchange: Exchange) -> None:
        """Record that the first part of an answer was sent to the caller."""
        now_s = self.now_s()
        self.metrics.observe_first_event(now_s - exchange.arrived_s)
        self.router.answer_began(exchange.key, exchange.attempt, now_s)

    def event_forwarded(self, exchange: Exchange) -> None:
        """Record that events of a stream were forwarded."""
        self.router.event_received(exchange.key, exchange.attempt, self.now_s())

    def answer_completed(self, exchange: Exchange, status: int) -> None:
        """Log a complete answer and close its exchange."""
        now_s = self.now_s()
        self._request_log.answered(exchange, status, now_s)
        self._exchanges.pop(exchange.key, None)
        self._decide(
            exchange,
            lambda: self.router.answer_completed(exchange.key, exchange.attempt, now_s),
        )

    def caller_left(self, exchange: Exchange) -> None:
        """Cancel the request of a caller that closed its connection."""
        self._request_log.caller_left(exchange)
        self._decide(
            exchange, lambda: self.router.caller_left(exchange.key, self.now_s())
        )
        self._exchanges.pop(exchange.key, None)

    # Decisions

    def execute(self, decisions: Iterable[Decision]) -> None:
        """Execute decisions in order; those of closed exchanges are skipped.

        An unexpected error ends the request of its decision and none of the others.
        """
        for decision in decisions:
            if not isinstance(decision, RequestDecision):
                self._report_handlers[type(decision)](decision)
                continue
            exchange = self._exchanges.get(decision.key)
            if exchange is None:
                if isinstance(decision, Finish) and decision.error is not None:
                    self._report_error(decision.error)
                continue
            try:
                self._request_handlers[type(decision)](exchange, decision)
            except Exception as error:
                self.exchange_faulted(exchange, error)

    def _send(self, exchange: Exchange, send: Send) -> None:
        self._request_log.sent(exchange, send)
        exchange.send(send)

    def _report_error(self, error: Exception) -> None:
        asyncio.get_running_loop().call_exception_handler(
            {"message": "a request failed", "exception": error}
        )

    def _finish(self, exchange: Exchange, finish: Finish) -> None:
        self._request_log.ended(exchange, finish)
        self._exchanges.pop(exchange.key, None)
        if finish.error is not None:
            self._report_error(finish.error)
        try:
            exchange.finish(finish)
        except Exception as error:
            self._report_error(error)
            exchange.finish_bare(finish.ending)

    # Timer

    def _tick(self) -> None:
        # Scheduled first, so that an unexpected error does not end all time-outs.
        loop = asyncio.get_running_loop()
        self._tick_timer = loop.call_later(TICK_S, self._tick)
        try:
            self.execute(self.router.tick(self.now_s()))
        finally:
            # Uploads that wait for memory and callers without progress have no other.
            self.admission.tick()


def _cancel_attempt(exchange: Exchange, decision: CancelAttempt) -> None:
    exchange.cancel(decision.attempt)


def _match_answer(status: int, headers: RawHeaders, request_id: str) -> AnswerMatch:
    """Return whether an answer names the request that was sent."""
    name = decode_answer_name(headers)
    if name.is_joined:
        return AnswerMatch.JOINED
    answer_id = name.request_id
    if not request_id or answer_id == request_id:
        return AnswerMatch.SAME_REQUEST
    return AnswerMatch.UNNAMED if answer_id is None else AnswerMatch.OTHER_REQUEST
