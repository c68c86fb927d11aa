"""Gauges of a host: requests, connections, memory, descriptors, store and peers."""

import os
import resource
import time
from collections.abc import Mapping

from persimmonwell.core.forwarding import ForwardingRouter
from persimmonwell.gateway._gateway import Gateway
from persimmonwell.gateway._listeners import Listeners
from persimmonwell.gateway._metrics import MAX_SHOWN_SHARES
from persimmonwell.gateway._placement_duty import PlacementDuty
from persimmonwell.gateway._store_followers import StoreFollowers


def add_gauges(
    *,
    router: ForwardingRouter,
    gateway: Gateway,
    listeners: Listeners,
    followers: StoreFollowers,
    duty: PlacementDuty,
) -> None:
    """Add the gauges of a host to the metrics of its gateway."""

    def read_descriptors() -> Mapping[str, float]:
        return {
            "callers": gateway.caller_connection_count,
            "status": listeners.status_connection_count,
            "total": _count_descriptors(),
        }

    metrics = gateway.metrics
    metrics.add_gauge("open_requests", lambda: gateway.open_request_count)
    metrics.add_gauge("waiting_requests", lambda: router.queued_request_count)
    metrics.add_gauge_group(
        "waiting_requests_priority_",
        lambda: {
            str(priority): count
            for priority, count in router.queued_by_priority.items()
        },
    )
    metrics.add_gauge("caller_connections", lambda: gateway.caller_connection_count)
    metrics.add_gauge("replicas", lambda: len(router.registry.replicas))
    metrics.add_gauge("hosts", lambda: router.host_count)
    shared = router.loads.shared
    metrics.add_gauge("zone_peers", lambda: shared.peer_count)
    metrics.add_gauge(
        "expected_stage_requests",
        lambda: sum(load.requests for load in shared.expected.values()),
    )
    metrics.add_gauge(
        "zone_report_age_seconds",
        lambda: shared.report_age_s(time.monotonic()) or 0.0,
    )
    full_stages = router.loads.full_stages
    metrics.add_gauge(
        "replicas_probed_lately",
        lambda: len(full_stages.newest(time.monotonic())),
    )
    metrics.add_gauge("reads_store_often", lambda: float(followers.reads_continuously))
    metrics.add_gauge("holds_duty", lambda: float(duty.is_held))
    metrics.add_gauge(
        "config_version",
        lambda: router.config.version if router.config is not None else 0,
    )
    metrics.add_gauge("upstream_connections_opened", lambda: gateway.pool.opened_count)
    metrics.add_gauge("caller_connection_bound", lambda: gateway.caller_bound)
    metrics.set_share_reader(
        lambda: router.workspace_usage.top_shares(time.monotonic(), MAX_SHOWN_SHARES)
    )
    metrics.set_resource_readers(
        read_bytes=lambda: gateway.admission.budget.used_by_purpose,
        read_descriptors=read_descriptors,
    )


def process_limit() -> int | None:
    """Return the operating system's limit on descriptors, None for no limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if limit == resource.RLIM_INFINITY else limit


def _count_descriptors() -> int:
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        # No descriptor is left for the directory itself.
        return -1
