"""Gateway: connects callers and upstreams to the forwarding router."""

import asyncio
import json
import random
import time
from collections.abc import Callable, Iterable

from persimmonwell._exceptions import BadRequestError
from persimmonwell.core.forwarding import (
    AttemptFailure,
    CallerLimits,
    CancelAttempt,
    CrashResolved,
    CrashSuspected,
    Decision,
    Ending,
    FetchStallReport,
    Finish,
    ForwardingRouter,
    HoldOffStated,
    LeavingChanged,
    ProbeReplica,
    Quarantined,
    RateLimitChanged,
    ReplicaStatement,
    Report,
    RequestDecision,
    Reroute,
    RouteKind,
    Send,
)
from persimmonwell.core.resources import (
    BufferPlan,
    CallerPolicy,
    ConnectionTable,
    MemoryBudget,
)
from persimmonwell.gateway._caller_connection import CallerConnection
from persimmonwell.gateway._caller_requests import RawRequest
from persimmonwell.gateway._exchange import STATUS_BY_ENDING, Exchange
from persimmonwell.gateway._http_connection import (
    AnswerMatch,
    ConnectionPool,
    RawHeaders,
)
from persimmonwell.gateway._metrics import GatewayMetrics
from persimmonwell.gateway._replica_calls import CallAnswer, call_replica
from persimmonwell.gateway._request_body import UploadBuffers
from persimmonwell.observe import DecisionLog, RateLimitedLog
from persimmonwell.platform import (
    ORDER_PATH,
    REPORT_PATH,
    decode_answer_head,
    decode_report,
    decode_request,
    decode_request_id,
    decode_stalled_stages,
    encode_reroute_order,
    expected_replica_headers,
    local_answer_headers,
)

TICK_S = 0.05
"""Resolution of time-outs and stall detection: a twelfth of the stall gap."""
PROGRESS_CHECK_INTERVAL_S = 1.0
"""Interval at which the progress of all callers' connections is checked."""
MAX_LOGGED_REQUESTS = 20
"""Requests in the log line of one suspected crash."""
MAX_LOGGED_PARTS = 20
"""Prompt parts in the log line of one counted crash."""
DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle time-out of replicas that do not advertise one in a keep-alive header."""
UNRESPONSIVE_S = 0.05
"""Time without an answer to a probe after which streams leave the replica: a live one
answers within some milliseconds."""
REPLICA_GONE_STATUSES = (0, 421)
"""Statuses of a failed probe: 0 without an answer in time, 421 when another replica has
the address now."""


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
        self._buffer_plan = buffer_plan or BufferPlan()
        self.pool = ConnectionPool(
            match_answer=_match_answer,
            clock=time.monotonic,
            default_idle_timeout_s=DEFAULT_IDLE_TIMEOUT_S,
            buffers=self._buffer_plan.rest,
        )
        self.metrics = GatewayMetrics()
        self.is_draining = False
        self._log = log
        self._on_leaving = on_leaving
        self.caller_policy = caller_policy or CallerPolicy()
        self.budget = budget or MemoryBudget(policy=self.caller_policy)
        self._buffers = UploadBuffers(may_keep=lambda: self.budget.waiting_count == 0)
        self._progress_checked_s = 0.0
        self._random = random.Random(seed)
        self._last_key = 0
        self._exchanges: dict[int, Exchange] = {}
        self._client_log = RateLimitedLog(log, clock=time.monotonic)
        self._callers = ConnectionTable[CallerConnection](
            bound=caller_bound,
            is_idle=lambda caller: caller.is_idle,
            may_be_evicted=lambda caller: caller.may_be_evicted,
        )
        self._tasks: set[asyncio.Task[None]] = set()
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
        return CallerConnection(
            limits=self._caller_limits,
            on_request=self._open_exchange,
            is_draining=lambda: self.is_draining,
            on_open_change=self._caller_open_changed,
            budget=self.budget,
            policy=self.caller_policy,
            buffers=self._buffers,
            socket_buffers=self._buffer_plan.sizes_for(len(self._callers)),
            on_progress=self._callers.record_progress,
            on_refused=self._record_refusal,
        )

    def set_caller_policy(self, policy: CallerPolicy) -> None:
        """Change the limits for new connections and for what waits for memory."""
        self.caller_policy = policy
        self.budget.policy = policy

    def _record_refusal(self, reason: str) -> None:
        self.record_client("refused", reason)

    def close_idle_callers(self, *, min_idle_s: float) -> None:
        """Close the callers' connections that are idle.

        A connection without a request so far is closed only after min_idle_s.
        """
        for caller in list(self._callers):
            caller.close_idle(min_idle_s=min_idle_s)

    def refuse_waiting(self) -> None:
        """Refuse the requests that wait, as not run."""
        self.execute(self.router.refuse_waiting(self.now_s()))

    def end_open_requests(self) -> None:
        """Give every open request its final answer; an answer that has begun breaks."""
        self.execute(self.router.end_open_requests(self.now_s()))

    def _caller_limits(self) -> CallerLimits:
        config = self.router.config
        return config.limits if config is not None else CallerLimits()

    def _caller_open_changed(self, caller: CallerConnection, is_open: bool) -> None:
        if not is_open:
            self._callers.remove(caller)
            return
        admission = self._callers.add(caller, self.now_s())
        if admission.evicted is not None:
            self.record_client("terminated", "callers_full")
            admission.evicted.evict()
        if admission.aborted is not None:
            self.record_client("terminated", "closing_full")
            admission.aborted.abort_answer()
        if not admission.is_admitted:
            self.record_client("refused", "callers_full")
            caller.refuse_at_accept()

    def record_client(self, action: str, reason: str) -> None:
        """Count a client's connection or request that was refused or terminated.

        One line per reason and minute goes to the log.
        """
        self.metrics.count_client(action, reason)
        self._client_log.write(
            "clients", action, cause=reason, callers=len(self._callers)
        )

    def log_suppressed_clients(self) -> None:
        """Log how many lines about clients were not written."""
        self._client_log.flush()

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
        self.metrics.count_event("rejected")
        self._log.write(
            "request",
            "rejected",
            id=request_id,
            field=error.field,
            reason=error.reason,
        )
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
        self.metrics.count_event(f"failed_{failure.value}")
        if failure is AttemptFailure.NOT_RUN and fault_address is not None:
            self.metrics.count_event("refused_by_named_replica")
        exchange.may_have_run |= failure.has_run
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

    def _record_call(self, replica_id: str, answer: CallAnswer) -> None:
        """Record what the answer to a control call says about its replica."""
        if answer.statement is not None:
            self.execute(
                self.router.replica_stated(replica_id, answer.statement, self.now_s())
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
        self.metrics.count_event("answered")
        self.metrics.observe_answer(now_s - exchange.arrived_s)
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
        self._exchanges.pop(exchange.key, None)
        self._decide(
            exchange,
            lambda: self.router.answer_completed(exchange.key, exchange.attempt, now_s),
        )

    def caller_left(self, exchange: Exchange) -> None:
        """Cancel the request of a caller that closed its connection."""
        self.metrics.count_event("caller_left")
        self._log.write(
            "request",
            "caller_left",
            id=exchange.request.request_id,
            attempt=exchange.attempt,
            began=exchange.has_partial_answer,
            ms=round((self.now_s() - exchange.arrived_s) * 1000, 1),
        )
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
                self._execute_report(decision)
                continue
            exchange = self._exchanges.get(decision.key)
            if exchange is None:
                if isinstance(decision, Finish) and decision.error is not None:
                    self._report_error(decision.error)
                continue
            try:
                self._execute_for(exchange, decision)
            except Exception as error:
                self.exchange_faulted(exchange, error)

    def _execute_for(self, exchange: Exchange, decision: RequestDecision) -> None:
        if isinstance(decision, Send):
            self._log_send(exchange, decision)
            exchange.send(decision)
        elif isinstance(decision, Finish):
            self._finish(exchange, decision)
        elif isinstance(decision, CancelAttempt):
            exchange.cancel(decision.attempt)
        else:
            self._run_in_background(self._send_reroute_order(exchange, decision))

    def _report_error(self, error: Exception) -> None:
        asyncio.get_running_loop().call_exception_handler(
            {"message": "a request failed", "exception": error}
        )

    def _execute_report(
        self, decision: FetchStallReport | ProbeReplica | Report
    ) -> None:
        """Ask a replica for its state, or report a change of what the host believes."""
        if isinstance(decision, FetchStallReport):
            self._run_in_background(self._fetch_stall_report(decision))
        elif isinstance(decision, ProbeReplica):
            self._run_in_background(self._probe_replica(decision))
        elif isinstance(decision, CrashSuspected):
            self._log_suspected_crash(decision)
        elif isinstance(decision, CrashResolved):
            self._log_resolved_crash(decision)
        elif isinstance(decision, RateLimitChanged):
            self.metrics.count_event("limits_changed")
            self._log.write(
                "upstream",
                "limit_stated",
                replica=decision.replica_id,
                rate_per_s=decision.rate_per_s,
            )
        elif isinstance(decision, LeavingChanged):
            self.metrics.count_event("leaving_changed")
            self._log.write(
                "upstream",
                "leaving_stated" if decision.is_leaving else "leaving_retracted",
                replica=decision.replica_id,
            )
            if decision.is_leaving and not decision.is_from_peer:
                self._on_leaving()
        elif isinstance(decision, HoldOffStated):
            self.metrics.count_event("hold_offs_stated")
            self._log.write(
                "upstream",
                "hold_off_stated",
                replica=decision.replica_id,
                seconds=decision.seconds,
            )
        elif isinstance(decision, Quarantined):
            self.metrics.count_event("quarantined")
            self._log.write("request", "quarantined", cause=decision.cause)

    def _log_suspected_crash(self, suspected: CrashSuspected) -> None:
        self.metrics.count_event("crashes_suspected")
        self._log.write(
            "upstream",
            "crash_suspected",
            replica=suspected.replica_id,
            running=suspected.running_count,
            starting=[
                {"id": request.request_id, "parts": request.shared_parts}
                for request in suspected.starting[:MAX_LOGGED_REQUESTS]
            ],
        )

    def _log_resolved_crash(self, resolved: CrashResolved) -> None:
        if resolved.is_dismissed:
            self._log.write("upstream", "crash_dismissed", replica=resolved.replica_id)
            return
        self._log.write(
            "upstream",
            "crash_counted",
            replica=resolved.replica_id,
            parts=[
                {
                    "part": count.part_id,
                    "crashes": count.crashes,
                    "separate": count.separate_crashes,
                    "needed": round(count.needed, 1),
                }
                for count in resolved.part_counts[:MAX_LOGGED_PARTS]
            ],
        )

    def _log_send(self, exchange: Exchange, send: Send) -> None:
        self.metrics.count_event("sends")
        size = exchange.request.size
        route = self.router.route_of(exchange.key)
        replica = self.router.registry.replicas.get(send.replica_id)
        is_repeatable = route is not None and route.is_retryable
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
            waited_ms=round((self.now_s() - exchange.arrived_s) * 1000, 1),
        )

    def _finish(self, exchange: Exchange, finish: Finish) -> None:
        self.metrics.count_event(f"ended_{finish.ending.value}")
        config = self.router.config
        if finish.route is not None and not finish.route.is_retryable:
            outcome = "may_have_run" if exchange.may_have_run else "not_run"
            if finish.ending is Ending.TIMED_OUT and exchange.attempt:
                outcome = "may_have_run"
            self.metrics.count_event(f"unrepeatable_{outcome}")
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
            retry_after_s=round(finish.retry_after_s, 2),
            config=config.version if config is not None else None,
            waiting=self.router.queued_request_count,
            running=self.router.open_request_count,
            ms=round((self.now_s() - exchange.arrived_s) * 1000, 1),
        )
        self._exchanges.pop(exchange.key, None)
        if finish.error is not None:
            self._report_error(finish.error)
        try:
            exchange.finish(finish)
        except Exception as error:
            self._report_error(error)
            exchange.finish_bare(finish.ending)

    async def _fetch_stall_report(self, decision: FetchStallReport) -> None:
        answer = await call_replica(
            self.pool, decision.address, method="GET", path=REPORT_PATH
        )
        self.metrics.count_event("stall_questions")
        self._record_call(decision.replica_id, answer)
        stalled = decode_stalled_stages(answer.body) if answer.status == 200 else {}
        self._log.write(
            "upstream",
            "stalls_reported",
            by=decision.replica_id,
            status=answer.status,
            requests=len(stalled),
            stages=sorted(set(stalled.values())),
        )
        now_s = self.now_s()
        self.execute(
            self.router.stall_report_received(decision.replica_id, stalled, now_s)
        )

    async def _probe_replica(self, probe: ProbeReplica) -> None:
        timer = asyncio.get_running_loop().call_later(
            UNRESPONSIVE_S, self._report_unresponsive, probe.replica_id
        )
        answer = await call_replica(
            self.pool,
            probe.address,
            method="GET",
            path=REPORT_PATH,
            headers=expected_replica_headers(probe.replica_id),
        )
        timer.cancel()
        report = decode_report(answer.body) if answer.status == 200 else None
        is_alive = answer.status not in REPLICA_GONE_STATUSES
        self.metrics.count_event("replica_checks")
        self._record_call(probe.replica_id, answer)
        self._log.write(
            "upstream",
            "alive" if is_alive else "silent",
            replica=probe.replica_id,
            status=answer.status,
            kv_used=report.kv_used if report is not None else None,
            kv_total=report.kv_total if report is not None else None,
            slowness=report.slowness if report is not None else None,
        )
        now_s = self.now_s()
        self.execute(
            self.router.replica_probed(
                probe.replica_id, report, now_s, is_alive=is_alive
            )
        )

    def _report_unresponsive(self, replica_id: str) -> None:
        self.metrics.count_event("replicas_unresponsive")
        self.execute(self.router.replica_unresponsive(replica_id, self.now_s()))

    async def _send_reroute_order(self, exchange: Exchange, reroute: Reroute) -> None:
        request_id = exchange.request.request_id
        answer = await call_replica(
            self.pool,
            reroute.address,
            method="POST",
            path=ORDER_PATH,
            body=encode_reroute_order(request_id, reroute.path),
            headers=expected_replica_headers(reroute.path.first_stage.replica_id),
        )
        self.metrics.count_event("reroutes")
        self._record_call(reroute.path.first_stage.replica_id, answer)
        self._log.write(
            "request",
            "rerouted",
            id=request_id,
            attempt=reroute.attempt,
            status=answer.status,
            detail=answer.detail or answer.body[:80].decode("latin-1"),
        )

    # Timer

    def _tick(self) -> None:
        # Scheduled first, so that an unexpected error does not end all time-outs.
        loop = asyncio.get_running_loop()
        self._tick_timer = loop.call_later(TICK_S, self._tick)
        self.execute(self.router.tick(self.now_s()))
        now_s = loop.time()
        self.budget.tick(now_s)
        if now_s - self._progress_checked_s >= PROGRESS_CHECK_INTERVAL_S:
            self._progress_checked_s = now_s
            for caller in list(self._callers):
                caller.check_progress(now_s)

    def _run_in_background(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _match_answer(status: int, headers: RawHeaders, request_id: str) -> AnswerMatch:
    """Return whether an answer names the request that was sent."""
    head = decode_answer_head(status, headers)
    if head.is_joined:
        return AnswerMatch.JOINED
    answer_id = head.request_id
    if not request_id or answer_id == request_id:
        return AnswerMatch.SAME_REQUEST
    return AnswerMatch.UNNAMED if answer_id is None else AnswerMatch.OTHER_REQUEST
