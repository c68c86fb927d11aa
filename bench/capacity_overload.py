"""CPU time and memory of the state that overload control keeps at several sizes.

Callers' connections with their charges, the queue and the usage of workspaces, and the
loads of other hosts with the expected sends.
"""

import asyncio
import gc
import itertools
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


def _connect(size: int) -> tuple[Gateway, list[Any]]:
    router = ForwardingRouter(
        availability_zone="z0",
        seed=1,
        retry_ratio=0.2,
        retry_slack=20.0,
        retry_window_s=10.0,
    )
    gateway = Gateway(
        router=router, log=DecisionLog(host_id="h"), seed=1, caller_bound=size
    )
    connections = [gateway.create_caller_connection() for _ in range(size)]
    for connection in connections:
        connection.connection_made(_Transport())
    return gateway, connections


def _memory_slope(
    name: str, sizes: tuple[int, ...], size_unit: str, build: Callable[[int], Any]
) -> Slope:
    points = [(size, memory_bytes(lambda n=size: build(n))) for size in sizes]
    return fit_line(name, points, size_unit=size_unit, cost_unit="bytes")


def _time_slope(
    name: str,
    sizes: tuple[int, ...],
    size_unit: str,
    prepare: Callable[[int], Callable[[], object]],
    *,
    repeats: int,
) -> Slope:
    """Return the slope of the CPU time of what prepare returns for each size."""
    points = [(size, time_us(prepare(size), repeats=repeats)) for size in sizes]
    return fit_line(name, points, size_unit=size_unit, cost_unit="us")


async def _measure_connections() -> list[Slope]:
    now_s = asyncio.get_running_loop().time()

    def prepare_check(count: int) -> Callable[[], None]:
        _, connections = _connect(count)

        def check() -> None:
            for connection in connections:
                connection.check_progress(now_s)

        return check

    def prepare_record(count: int) -> Callable[[], None]:
        gateway, connections = _connect(count)

        def record() -> None:
            for connection in connections:
                gateway.admission.callers.record_progress(connection)

        return record

    sizes, unit = CONNECTION_SIZES, "connection"
    return [
        _memory_slope("memory of idle callers", sizes, unit, _connect),
        _time_slope("check of progress", sizes, unit, prepare_check, repeats=20),
        _time_slope("record of progress", sizes, unit, prepare_record, repeats=20),
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
    def prepare_arrival(workspaces: int) -> Callable[[], None]:
        queue = _build_queue(1600, workspaces)
        new = _build_request(10**6, workspaces)

        def arrive() -> None:
            queue.count_ahead_of(new)
            queue.add(new)
            queue.discard(new)

        return arrive

    def prepare_heaviest(tracked: int) -> Callable[[], object]:
        usage = _build_usage(tracked)
        return lambda: usage.heaviest(1.0)

    def prepare_share(tracked: int) -> Callable[[], object]:
        usage = _build_usage(tracked)
        return lambda: usage.share("model", PRIORITY_CLASS, "workspace-007")

    def prepare_merge(hosts: int) -> Callable[[], object]:
        usage, rows = _merge_hosts(hosts), _build_rows(7)
        return lambda: usage.merge_peer("host-7", rows, 0.1)

    return [
        _memory_slope(
            "memory of the queue, 580 workspaces",
            QUEUE_SIZES,
            "waiting request",
            lambda count: _build_queue(count, 580),
        ),
        _time_slope(
            "arrival in a queue of 1,600",
            WORKSPACE_SIZES,
            "workspace",
            prepare_arrival,
            repeats=200,
        ),
        _memory_slope(
            "memory of the own usage", TRACKED_SIZES, "workspace", _build_usage
        ),
        _time_slope(
            "choice of the heaviest",
            TRACKED_SIZES,
            "workspace",
            prepare_heaviest,
            repeats=20,
        ),
        _time_slope(
            "share for a refusal",
            TRACKED_SIZES,
            "workspace",
            prepare_share,
            repeats=100,
        ),
        _memory_slope(
            "memory of the peers' usage, 16 rows each", HOST_SIZES, "host", _merge_hosts
        ),
        _time_slope(
            "merge of a report", HOST_SIZES, "host", prepare_merge, repeats=200
        ),
        _memory_slope("memory of refused requests", DIGEST_SIZES, "request", _refuse),
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
    def prepare_report(hosts: int) -> Callable[[], None]:
        loads, report = _build_loads(hosts, 1300), _report(7, 1300)
        return lambda: loads.set_peer_loads(
            "host-7", report, 100.0, zone_reported_s=0.0
        )

    def prepare_update(replicas: int) -> Callable[[], None]:
        loads, steps = _build_expected(replicas), itertools.count(1)
        return lambda: loads.update_expected(1.0 + next(steps) * 1e-6)

    return [
        _memory_slope(
            "memory of the peers' loads, 128 each",
            HOST_SIZES,
            "host",
            lambda hosts: _build_loads(hosts, 1300),
        ),
        _memory_slope(
            "memory of own and expected loads",
            REPLICA_SIZES,
            "replica",
            _build_expected,
        ),
        _time_slope(
            "report of 128 loads", HOST_SIZES, "host", prepare_report, repeats=200
        ),
        _time_slope(
            "update of the expected loads",
            REPLICA_SIZES,
            "replica",
            prepare_update,
            repeats=20,
        ),
    ]


def measure_overload(seed: int) -> list[Slope]:
    """Return memory and CPU time of the state of overload control; seed is unused."""
    return [
        *asyncio.run(_measure_connections()),
        *_measure_shares(),
        *_measure_loads(),
    ]
