"""Connect callers, upstreams and the forwarding decisions."""

import asyncio
import random
import time
from collections.abc import Iterable

from persimmonwell.core.forwarding import (
    AttemptFailure,
    CallerLimits,
    CancelAttempt,
    Decision,
    FetchStallReport,
    Finish,
    ForwardingRouter,
    ProbeReplica,
    Quarantined,
    Reroute,
    RouteKind,
    Send,
)
from persimmonwell.gateway._caller_connection import CallerConnection, RawRequest
from persimmonwell.gateway._exchange import Exchange
from persimmonwell.gateway._http_connection import ConnectionPool, RawHeaders
from persimmonwell.gateway._metrics import GatewayMetrics
from persimmonwell.gateway._orders import call_replica
from persimmonwell.observe import DecisionLog
from persimmonwell.platform import (
    ORDER_PATH,
    REPORT_PATH,
    decode_answer_head,
    decode_report,
    decode_request,
    decode_stalled,
    encode_reroute_order,
    order_headers,
)

TICK_S = 0.05
"""Resolution of time-outs and stall checks; a twelfth of the stall gap."""
IDLE_CONNECTION_S = 4.0
"""For replicas that do not state how long they keep idle connections."""
NO_SUCH_REPLICA = (0, 421)
"""No answer in time, or another replica that has the address now."""


class Gateway:
    """Hold the exchanges of one host and carry decisions out."""

    def __init__(
        self, *, router: ForwardingRouter, log: DecisionLog, seed: int
    ) -> None:
        self.router = router
        self.pool = ConnectionPool(
            answers_other=_answers_other,
            clock=time.monotonic,
            default_idle_s=IDLE_CONNECTION_S,
        )
        self.metrics = GatewayMetrics()
        self.is_draining = False
        self._log = log
        self._random = random.Random(seed)
        self._keys = 0
        self._exchanges: dict[int, Exchange] = {}
        self._callers: set[CallerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._ticker: asyncio.TimerHandle | None = None

    @property
    def open_requests(self) -> int:
        """Return how many requests have no final answer yet."""
        return len(self._exchanges)

    @property
    def connections(self) -> int:
        """Return how many callers are connected."""
        return len(self._callers)

    def start(self) -> None:
        """Start the clock of time-outs."""
        self._tick()

    def close(self) -> None:
        """Drop all connections."""
        if self._ticker is not None:
            self._ticker.cancel()
        for caller in list(self._callers):
            caller.break_answer()
        self.pool.close()

    def now_s(self) -> float:
        """Return the steady clock."""
        return time.monotonic()

    def new_caller(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            limits=self._limits,
            begin=self._begin,
            is_draining=lambda: self.is_draining,
            on_change=self._caller_changed,
        )

    def close_idle_callers(self) -> None:
        """Close the connections on which nothing happens."""
        for caller in list(self._callers):
            caller.close_idle()

    def _limits(self) -> CallerLimits:
        config = self.router.config
        return config.limits if config is not None else CallerLimits()

    def _caller_changed(self, caller: CallerConnection, is_open: bool) -> None:
        if is_open:
            self._callers.add(caller)
        else:
            self._callers.discard(caller)

    # Requests

    def _begin(self, caller: CallerConnection, raw: RawRequest) -> Exchange:
        self._keys += 1
        key = self._keys
        request = decode_request(
            raw.method, raw.target, raw.headers, host=raw.host, body=raw.body
        )
        exchange = Exchange(
            key=key,
            owner=self,
            caller=caller,
            raw=raw,
            request=request,
            is_stream=lambda: self._is_stream(key),
        )
        self._exchanges[key] = exchange
        self.metrics.count("requests")
        self.execute(self.router.request_arrived(key, request, self.now_s()))
        return exchange

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
        """Log a failed attempt and carry out what follows."""
        self.metrics.count(f"failed_{failure.value}")
        self._log.write(
            "request",
            "attempt_failed",
            id=exchange.request.request_id,
            attempt=exchange.attempt,
            failure=failure.value,
            fault=fault_address,
            detail=detail,
            began=exchange.began,
        )
        decisions = self.router.attempt_failed(
            exchange.key,
            exchange.attempt,
            failure,
            self.now_s(),
            fault_address=fault_address,
            detail=detail,
        )
        self.execute(decisions)

    def answer_began(self, exchange: Exchange) -> None:
        """Note the first part of an answer."""
        now_s = self.now_s()
        self.metrics.first_event(now_s - exchange.arrived_s)
        self.router.answer_began(exchange.key, exchange.attempt, now_s)

    def progressed(self, exchange: Exchange) -> None:
        """Note an event."""
        self.router.event_received(exchange.key, exchange.attempt, self.now_s())

    def finished(self, exchange: Exchange, status: int) -> None:
        """Log a complete answer."""
        now_s = self.now_s()
        self.metrics.count("answered")
        self.metrics.answered(now_s - exchange.arrived_s)
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
        self.execute(
            self.router.answer_completed(exchange.key, exchange.attempt, now_s)
        )

    def caller_left(self, exchange: Exchange) -> None:
        """Stop the work for a caller that is gone."""
        self.metrics.count("caller_left")
        self._log.write(
            "request",
            "caller_left",
            id=exchange.request.request_id,
            attempt=exchange.attempt,
            began=exchange.began,
            ms=round((self.now_s() - exchange.arrived_s) * 1000, 1),
        )
        decisions = self.router.caller_left(exchange.key, self.now_s())
        self.execute(decisions)
        self._exchanges.pop(exchange.key, None)

    # Decisions

    def execute(self, decisions: Iterable[Decision]) -> None:
        """Carry decisions out in order."""
        for decision in decisions:
            if isinstance(decision, FetchStallReport):
                self._run(self._ask_stalled(decision))
                continue
            if isinstance(decision, ProbeReplica):
                self._run(self._check_replica(decision))
                continue
            if isinstance(decision, Quarantined):
                self.metrics.count("quarantined")
                self._log.write("request", "quarantined", digest=decision.digest)
                continue
            exchange = self._exchanges.get(decision.key)
            if exchange is None:
                continue
            if isinstance(decision, Send):
                self._log_send(exchange, decision)
                exchange.send(decision)
            elif isinstance(decision, Finish):
                self._finish(exchange, decision)
            elif isinstance(decision, CancelAttempt):
                exchange.cancel(decision.attempt)
            else:
                self._run(self._reroute(exchange, decision))

    def _log_send(self, exchange: Exchange, send: Send) -> None:
        self.metrics.count("sends")
        size = exchange.request.size
        self._log.write(
            "request",
            "sent",
            id=exchange.request.request_id,
            attempt=send.attempt,
            to=send.replica_id,
            stages=len(send.path.stages) if send.path is not None else 0,
            prompt=size.prompt_tokens if size is not None else None,
            most=size.max_output_tokens if size is not None else None,
            hint=size.expected_output_tokens if size is not None else None,
            step_ms=round(send.path.step_ms, 2) if send.path is not None else None,
            waited_ms=round((self.now_s() - exchange.arrived_s) * 1000, 1),
        )

    def _finish(self, exchange: Exchange, finish: Finish) -> None:
        self.metrics.count(f"ended_{finish.ending.value}")
        config = self.router.config
        self._log.write(
            "request",
            "ended",
            id=exchange.request.request_id,
            ending=finish.ending.value,
            detail=finish.detail,
            retry_after_s=round(finish.retry_after_s, 2),
            config=config.version if config is not None else None,
            waiting=self.router.queued_request_count,
            running=self.router.open_request_count,
            ms=round((self.now_s() - exchange.arrived_s) * 1000, 1),
        )
        self._exchanges.pop(exchange.key, None)
        exchange.finish(finish)

    async def _ask_stalled(self, ask: FetchStallReport) -> None:
        answer = await call_replica(
            self.pool, ask.address, method="GET", path=REPORT_PATH
        )
        self.metrics.count("stall_questions")
        stalled = decode_stalled(answer.body) if answer.status == 200 else {}
        self._log.write(
            "upstream",
            "stalls_reported",
            by=ask.replica_id,
            status=answer.status,
            requests=len(stalled),
            stages=sorted(set(stalled.values())),
        )
        now_s = self.now_s()
        self.execute(self.router.stall_report_received(ask.replica_id, stalled, now_s))

    async def _check_replica(self, check: ProbeReplica) -> None:
        answer = await call_replica(
            self.pool,
            check.address,
            method="GET",
            path=REPORT_PATH,
            headers=order_headers(check.replica_id),
        )
        report = decode_report(answer.body) if answer.status == 200 else None
        answers = answer.status not in NO_SUCH_REPLICA
        self.metrics.count("replica_checks")
        self._log.write(
            "upstream",
            "alive" if answers else "silent",
            replica=check.replica_id,
            status=answer.status,
            kv_used=report.kv_used if report is not None else None,
            kv_total=report.kv_total if report is not None else None,
            slowness=report.slowness if report is not None else None,
        )
        now_s = self.now_s()
        self.execute(
            self.router.replica_probed(
                check.replica_id, report, now_s, is_alive=answers
            )
        )

    async def _reroute(self, exchange: Exchange, reroute: Reroute) -> None:
        request_id = exchange.request.request_id
        answer = await call_replica(
            self.pool,
            reroute.address,
            method="POST",
            path=ORDER_PATH,
            body=encode_reroute_order(request_id, reroute.path),
            headers=order_headers(reroute.path.first_stage.replica_id),
        )
        self.metrics.count("reroutes")
        self._log.write(
            "request",
            "rerouted",
            id=request_id,
            attempt=reroute.attempt,
            status=answer.status,
            detail=answer.detail or answer.body[:80].decode("latin-1"),
        )

    # Time

    def _tick(self) -> None:
        self.execute(self.router.tick(self.now_s()))
        loop = asyncio.get_running_loop()
        self._ticker = loop.call_later(TICK_S, self._tick)

    def _run(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _answers_other(status: int, headers: RawHeaders, request_id: str) -> bool:
    """Return whether an answer belongs to another request than the one sent."""
    head = decode_answer_head(status, headers)
    return bool(
        request_id and head.request_id is not None and head.request_id != request_id
    )
