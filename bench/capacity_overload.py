"""CPU time and memory of the state that overload control keeps at several sizes.

Callers' connections with their charges, the queue and the usage of workspaces, and the
loads of other hosts with the expected sends.
"""

import asyncio
import gc
import tracemalloc
from collections.abc import Callable
from typing import Any

from bench.forwarding_cost import REQUEST_SIZE, ROUTE, SERVICE
from bench.slopes import Slope, fit_line, time_us
from persimmonwell.core.forwarding import (
    CallerRequest,
    ForwardingRouter,
    LoadTable,
    ReplicaLoad,
    Tenant,
    WorkspaceTokens,
)
from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._caller_retries import CallerRetryTracker
from persimmonwell.core.forwarding._queue import RequestQueue
from persimmonwell.core.forwarding._workspace_usage import (
    MAX_SHARED_WORKSPACES,
    WorkspaceUsage,
)
from persimmonwell.gateway._gateway import Gateway
from persimmonwell.observe import DecisionLog

CONNECTION_SIZES = (450, 900, 1800)
"""Callers' connections; 1,800 is the bound with 4,100 descriptors."""
QUEUE_SIZES = (100, 400, 1600)
WORKSPACE_SIZES = (58, 290, 580)
TRACKED_SIZES = (128, 256, 512)
"""Workspaces whose usage is kept; 512 is the most."""
HOST_SIZES = (85, 170, 340)
REPLICA_SIZES = (325, 650, 1300)
DIGEST_SIZES = (500, 1000, 2000)
"""Refused requests that are remembered; 2,000 is the most."""
LOADS_PER_REPORT = 128
"""The most in one datagram."""
PRIORITY_CLASS = (0, 0)


def memory_bytes(build: Callable[[], Any]) -> float:
    """Return the traced memory of what a function builds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    traced, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(traced)


class _Transport(asyncio.Transport):
    """Connected transport that takes and sends nothing."""

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        pass

    def write(self, data: Any) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        pass

    def abort(self) -> None:
        pass


def _connect(count: int) -> tuple[Gateway, list[Any]]:
    router = ForwardingRouter(
        availability_zone="z0",
        seed=1,
        retry_ratio=0.2,
        retry_slack=20.0,
        retry_window_s=10.0,
    )
    gateway = Gateway(
        router=router, log=DecisionLog(host_id="h"), seed=1, caller_bound=count
    )
    connections = [gateway.create_caller_connection() for _ in range(count)]
    for connection in connections:
        connection.connection_made(_Transport())
    return gateway, connections


async def _measure_connections() -> list[Slope]:
    memory, checks, progress = [], [], []
    for count in CONNECTION_SIZES:
        memory.append((count, memory_bytes(lambda n=count: _connect(n))))
        gateway, connections = _connect(count)
        now_s = asyncio.get_running_loop().time()

        def check(kept: list[Any] = connections, now_s: float = now_s) -> None:
            for connection in kept:
                connection.check_progress(now_s)

        checks.append((count, time_us(check, repeats=20)))
        table = gateway.admission.callers

        def record(kept: list[Any] = connections, table: Any = table) -> None:
            for connection in kept:
                table.record_progress(connection)

        progress.append((count, time_us(record, repeats=20)))
    unit = "connection"
    return [
        fit_line("memory of idle callers", memory, size_unit=unit, cost_unit="bytes"),
        fit_line("check of progress", checks, size_unit=unit, cost_unit="us"),
        fit_line("record of progress", progress, size_unit=unit, cost_unit="us"),
    ]


def _build_request(key: int, workspaces: int) -> ActiveRequest:
    return ActiveRequest(
        key=key,
        request=CallerRequest(f"{key:032x}", "h", "/", "POST", size=REQUEST_SIZE),
        route=ROUTE,
        service=SERVICE,
        tenant=Tenant(f"workspace-{key % workspaces:03}", ("key",), 0),
        arrived_s=0.0,
        deadline_s=20.0,
    )


def _build_queue(count: int, workspaces: int) -> RequestQueue:
    queue = RequestQueue()
    for key in range(count):
        queue.add(_build_request(key, workspaces))
    return queue


def _build_usage(workspaces: int) -> WorkspaceUsage:
    usage = WorkspaceUsage()
    for number in range(workspaces):
        usage.record("model", PRIORITY_CLASS, f"workspace-{number:03}", 500, 0.0)
    return usage


def _build_rows(host: int) -> list[WorkspaceTokens]:
    return [
        WorkspaceTokens(
            "model", PRIORITY_CLASS, f"workspace-{(host + n) % 580:03}", 5000.0, 0.1
        )
        for n in range(MAX_SHARED_WORKSPACES)
    ]


def _merge_hosts(hosts: int) -> WorkspaceUsage:
    usage = WorkspaceUsage()
    for host in range(hosts):
        usage.merge_peer(f"host-{host}", _build_rows(host), 0.0)
    return usage


def _refuse(count: int) -> CallerRetryTracker:
    tracker = CallerRetryTracker()
    for number in range(count):
        tracker.record_refusal(f"{number:016x}", retry_s=1.0, now_s=0.0)
    return tracker


def _measure_shares() -> list[Slope]:
    queued = [(n, memory_bytes(lambda n=n: _build_queue(n, 580))) for n in QUEUE_SIZES]
    enqueue, heaviest, share, merge = [], [], [], []
    for workspaces in WORKSPACE_SIZES:
        queue = _build_queue(1600, workspaces)
        new = _build_request(10**6, workspaces)

        def add(queue: RequestQueue = queue, new: ActiveRequest = new) -> None:
            queue.count_ahead_of(new)
            queue.add(new)
            queue.discard(new)

        enqueue.append((workspaces, time_us(add, repeats=200)))
    for tracked in TRACKED_SIZES:
        usage = _build_usage(tracked)
        heaviest.append((tracked, time_us(lambda u=usage: u.heaviest(1.0), repeats=20)))
        share.append(
            (
                tracked,
                time_us(
                    lambda u=usage: u.share("model", PRIORITY_CLASS, "workspace-007"),
                    repeats=100,
                ),
            )
        )
    for hosts in HOST_SIZES:
        usage = _merge_hosts(hosts)
        rows = _build_rows(7)
        merge.append(
            (
                hosts,
                time_us(
                    lambda u=usage, r=rows: u.merge_peer("host-7", r, 0.1), repeats=200
                ),
            )
        )
    own_memory = [(n, memory_bytes(lambda n=n: _build_usage(n))) for n in TRACKED_SIZES]
    peer_memory = [(n, memory_bytes(lambda n=n: _merge_hosts(n))) for n in HOST_SIZES]
    digests = [(n, memory_bytes(lambda n=n: _refuse(n))) for n in DIGEST_SIZES]
    return [
        fit_line(
            "memory of the queue, 580 workspaces",
            queued,
            size_unit="waiting request",
            cost_unit="bytes",
        ),
        fit_line(
            "arrival in a queue of 1,600",
            enqueue,
            size_unit="workspace",
            cost_unit="us",
        ),
        fit_line(
            "memory of the own usage",
            own_memory,
            size_unit="workspace",
            cost_unit="bytes",
        ),
        fit_line(
            "choice of the heaviest", heaviest, size_unit="workspace", cost_unit="us"
        ),
        fit_line("share for a refusal", share, size_unit="workspace", cost_unit="us"),
        fit_line(
            "memory of the peers' usage, 16 rows each",
            peer_memory,
            size_unit="host",
            cost_unit="bytes",
        ),
        fit_line("merge of a report", merge, size_unit="host", cost_unit="us"),
        fit_line(
            "memory of refused requests",
            digests,
            size_unit="request",
            cost_unit="bytes",
        ),
    ]


def _report(host: int, replicas: int) -> dict[str, ReplicaLoad]:
    return {
        f"i-{(host * 7 + n) % replicas}": ReplicaLoad(1 + n % 3, 900 + n)
        for n in range(LOADS_PER_REPORT)
    }


def _build_loads(hosts: int, replicas: int) -> LoadTable:
    loads = LoadTable()
    for host in range(hosts):
        loads.set_peer_loads(
            f"host-{host}", _report(host, replicas), 100.0, zone_reported_s=0.0
        )
    return loads


def _build_expected(replicas: int) -> LoadTable:
    """Return loads with an own request at each replica since the peers' reports."""
    loads = _build_loads(1, 1300)
    # Changes before the first update count as old.
    loads.update_expected(1.0)
    for number in range(replicas):
        loads.add(f"i-{number}", 900)
    loads.update_expected(1.0)
    assert len(loads.shared.expected) == replicas
    return loads


def _measure_loads() -> list[Slope]:
    by_hosts = [
        (n, memory_bytes(lambda n=n: _build_loads(n, 1300))) for n in HOST_SIZES
    ]
    by_replicas = [
        (n, memory_bytes(lambda n=n: _build_expected(n))) for n in REPLICA_SIZES
    ]
    reports, updates = [], []
    for hosts in HOST_SIZES:
        loads = _build_loads(hosts, 1300)
        report = _report(7, 1300)
        reports.append(
            (
                hosts,
                time_us(
                    lambda t=loads, r=report: t.set_peer_loads(
                        "host-7", r, 100.0, zone_reported_s=0.0
                    ),
                    repeats=200,
                ),
            )
        )
    for replicas in REPLICA_SIZES:
        loads = _build_expected(replicas)
        times = iter(range(1, 10**9))
        updates.append(
            (
                replicas,
                time_us(
                    lambda t=loads, at=times: t.update_expected(1.0 + next(at) * 1e-6),
                    repeats=20,
                ),
            )
        )
    return [
        fit_line(
            "memory of the peers' loads, 128 each",
            by_hosts,
            size_unit="host",
            cost_unit="bytes",
        ),
        fit_line(
            "memory of own and expected loads",
            by_replicas,
            size_unit="replica",
            cost_unit="bytes",
        ),
        fit_line("report of 128 loads", reports, size_unit="host", cost_unit="us"),
        fit_line(
            "update of the expected loads", updates, size_unit="replica", cost_unit="us"
        ),
    ]


def measure_overload(seed: int) -> list[Slope]:
    """Return memory and CPU time of the state of overload control; seed is unused."""
    return [
        *asyncio.run(_measure_connections()),
        *_measure_shares(),
        *_measure_loads(),
    ]
