"""Control calls to replicas: stall reports, probes and orders to reroute."""

import asyncio
import time
from collections.abc import Callable, Iterable

from persimmonwell.core.forwarding import (
    MIN_OVERDUE_S,
    Decision,
    FetchStallReport,
    ForwardingRouter,
    ProbeReplica,
    ProbeTimes,
    Reroute,
)
from persimmonwell.gateway._connection_pool import ConnectionPool
from persimmonwell.gateway._exchange import Exchange
from persimmonwell.gateway._metrics import GatewayMetrics
from persimmonwell.gateway._replica_calls import CallAnswer, call_replica
from persimmonwell.observe import DecisionLog
from persimmonwell.platform import (
    ORDER_PATH,
    REPORT_PATH,
    decode_refusing_stage,
    decode_report,
    decode_reroute_failure,
    decode_stalled_stages,
    encode_reroute_order,
    expected_replica_headers,
)

REPLICA_GONE_STATUSES = (0, 421)
"""Statuses of a failed probe: 0 without an answer in time, 421 when another replica has
the address now."""


class ControlCalls:
    """Control calls in progress; their results go to the router."""

    def __init__(
        self,
        *,
        router: ForwardingRouter,
        pool: ConnectionPool,
        log: DecisionLog,
        metrics: GatewayMetrics,
        execute: Callable[[Iterable[Decision]], None],
    ) -> None:
        self._router = router
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._execute = execute
        self._tasks: set[asyncio.Task[None]] = set()
        self._probe_times = ProbeTimes()

    def fetch_stall_report(self, decision: FetchStallReport) -> None:
        """Ask the first replica of silent streams for the stalled stages."""
        self._run_in_background(self._fetch_stall_report(decision))

    def probe_replica(self, probe: ProbeReplica) -> None:
        """Ask a replica whether it is alive."""
        self._run_in_background(self._probe_replica(probe))

    def send_reroute_order(self, exchange: Exchange, reroute: Reroute) -> None:
        """Order the first replica of a request to use another path."""
        self._run_in_background(self._send_reroute_order(exchange, reroute))

    async def _fetch_stall_report(self, decision: FetchStallReport) -> None:
        answer = await call_replica(
            self._pool, decision.address, method="GET", path=REPORT_PATH
        )
        self._metrics.count_event("stall_questions")
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
        now_s = time.monotonic()
        self._execute(
            self._router.stall_report_received(decision.replica_id, stalled, now_s)
        )

    async def _probe_replica(self, probe: ProbeReplica) -> None:
        replica_id = probe.replica_id
        self._probe_times.record_sent(replica_id, time.monotonic())
        asyncio.get_running_loop().call_later(
            MIN_OVERDUE_S, self._check_overdue, replica_id
        )
        answer = await call_replica(
            self._pool,
            probe.address,
            method="GET",
            path=REPORT_PATH,
            headers=expected_replica_headers(probe.replica_id),
            # This task goes on only after the timers that are due with the answer.
            on_arrival=lambda: self._probe_times.record_answered(
                replica_id, time.monotonic()
            ),
        )
        self._probe_times.record_failed(replica_id)
        report = decode_report(answer.body) if answer.status == 200 else None
        is_alive = answer.status not in REPLICA_GONE_STATUSES
        self._metrics.count_event("replica_checks")
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
        now_s = time.monotonic()
        self._execute(
            self._router.replica_probed(
                probe.replica_id, report, now_s, is_alive=is_alive
            )
        )

    def _check_overdue(self, replica_id: str) -> None:
        now_s = time.monotonic()
        if self._probe_times.is_overdue(replica_id, now_s):
            self._metrics.count_event("replicas_unresponsive")
            self._log.write("upstream", "unresponsive", replica=replica_id)
            self._execute(self._router.replica_unresponsive(replica_id, now_s))
        elif self._probe_times.is_in_flight(replica_id):
            asyncio.get_running_loop().call_later(
                self._probe_times.next_check_s(replica_id, now_s),
                self._check_overdue,
                replica_id,
            )

    async def _send_reroute_order(self, exchange: Exchange, reroute: Reroute) -> None:
        request_id = exchange.request.request_id
        answer = await call_replica(
            self._pool,
            reroute.address,
            method="POST",
            path=ORDER_PATH,
            body=encode_reroute_order(request_id, reroute.path),
            headers=expected_replica_headers(reroute.path.first_stage.replica_id),
        )
        self._metrics.count_event("reroutes")
        self._record_call(reroute.path.first_stage.replica_id, answer)
        self._log.write(
            "request",
            "rerouted",
            id=request_id,
            attempt=reroute.attempt,
            status=answer.status,
            detail=answer.detail or answer.body[:80].decode("latin-1"),
        )
        failure = decode_reroute_failure(answer.status)
        if failure is None:
            return
        address = decode_refusing_stage(answer.body)
        now_s = time.monotonic()
        self._execute(self._router.reroute_failed(reroute, failure, address, now_s))

    def _record_call(self, replica_id: str, answer: CallAnswer) -> None:
        """Record what the answer to a control call says about its replica."""
        if answer.statement is not None:
            self._execute(
                self._router.replica_stated(
                    replica_id, answer.statement, time.monotonic()
                )
            )

    def _run_in_background(self, work: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
