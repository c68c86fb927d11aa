"""Log lines and counters of what the router reports about replicas and crashes."""

from collections.abc import Callable
from typing import Any

from persimmonwell.core.forwarding import (
    CrashResolved,
    CrashSuspected,
    Decision,
    HoldOffStated,
    LeavingChanged,
    Quarantined,
    RateLimitChanged,
)
from persimmonwell.gateway._metrics import GatewayMetrics
from persimmonwell.observe import DecisionLog

MAX_LOGGED_REQUESTS = 20
"""Requests in the log line of one suspected crash."""
MAX_LOGGED_PARTS = 20
"""Prompt parts in the log line of one counted crash."""


def report_handlers(
    log: DecisionLog, metrics: GatewayMetrics, *, on_leaving: Callable[[], None]
) -> dict[type[Decision], Callable[[Any], None]]:
    """Return a function for each kind of report.

    on_leaving is called when a replica has told this host that it leaves.
    """

    def log_suspected_crash(suspected: CrashSuspected) -> None:
        metrics.count_event("crashes_suspected")
        log.write(
            "upstream",
            "crash_suspected",
            replica=suspected.replica_id,
            running=suspected.running_count,
            starting=[
                {"id": request.request_id, "parts": request.shared_parts}
                for request in suspected.starting[:MAX_LOGGED_REQUESTS]
            ],
        )

    def log_resolved_crash(resolved: CrashResolved) -> None:
        if resolved.is_dismissed:
            log.write("upstream", "crash_dismissed", replica=resolved.replica_id)
            return
        log.write(
            "upstream",
            "crash_counted",
            replica=resolved.replica_id,
            parts=[
                {
                    "part": count.cause_id,
                    "crashes": count.crashes,
                    "separate": count.separate_crashes,
                    "needed": round(count.needed, 1),
                }
                for count in resolved.cause_counts[:MAX_LOGGED_PARTS]
            ],
        )

    def log_rate_limit(decision: RateLimitChanged) -> None:
        metrics.count_event("limits_changed")
        log.write(
            "upstream",
            "limit_stated",
            replica=decision.replica_id,
            rate_per_s=decision.rate_per_s,
        )

    def log_leaving(decision: LeavingChanged) -> None:
        metrics.count_event("leaving_changed")
        log.write(
            "upstream",
            "leaving_stated" if decision.is_leaving else "leaving_retracted",
            replica=decision.replica_id,
        )
        if decision.is_leaving and not decision.is_from_peer:
            on_leaving()

    def log_hold_off(decision: HoldOffStated) -> None:
        metrics.count_event("hold_offs_stated")
        log.write(
            "upstream",
            "hold_off_stated",
            replica=decision.replica_id,
            seconds=decision.seconds,
        )

    def log_quarantined(decision: Quarantined) -> None:
        metrics.count_event("quarantined")
        log.write("request", "quarantined", cause=decision.cause)

    return {
        CrashSuspected: log_suspected_crash,
        CrashResolved: log_resolved_crash,
        RateLimitChanged: log_rate_limit,
        LeavingChanged: log_leaving,
        HoldOffStated: log_hold_off,
        Quarantined: log_quarantined,
    }
