"""Decisions that follow from suspected, confirmed and dismissed crashes."""

from collections.abc import Iterable

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._crashes import CrashTracker, CrashVerdict
from persimmonwell.core.forwarding._events import (
    CrashResolved,
    CrashSuspected,
    Decision,
    ProbeReplica,
    Quarantined,
)
from persimmonwell.core.forwarding._model import Replica


def record_suspected_crash(
    crashes: CrashTracker,
    replica: Replica | None,
    requests: Iterable[ActiveRequest],
    now_s: float,
) -> tuple[Decision, ...]:
    """Record that a replica may have crashed on one of its requests.

    Returns a report and a probe to confirm the crash, if there are requests to
    attribute it to.
    """
    reports = record_dead_replica(crashes, replica, requests, now_s)
    if replica is None or not reports:
        return ()
    return (*reports, ProbeReplica(replica.replica_id, replica.address))


def record_dead_replica(
    crashes: CrashTracker,
    replica: Replica | None,
    requests: Iterable[ActiveRequest],
    now_s: float,
) -> tuple[Decision, ...]:
    """Record the crash of a replica whose probe tells already that it is dead."""
    if replica is None:
        return ()
    replica_id = replica.replica_id
    running = [active for active in requests if replica_id in active.reserved]
    if not crashes.record_replica_failure(replica, running, now_s):
        return ()
    starting = tuple(active.request for active in running if active.is_starting)
    return (CrashSuspected(replica_id, starting, len(running)),)


def quarantine_decisions(digests: tuple[str, ...]) -> tuple[Quarantined, ...]:
    """Return the reports about newly quarantined digests and prompt parts."""
    return tuple(Quarantined(digest) for digest in digests)


def verdict_decisions(replica_id: str, verdict: CrashVerdict) -> tuple[Decision, ...]:
    """Return the reports about a suspected crash that was confirmed or dismissed."""
    decisions: tuple[Decision, ...] = quarantine_decisions(verdict.quarantined)
    if verdict.cause_counts or verdict.is_dismissed:
        resolved = CrashResolved(replica_id, verdict.cause_counts, verdict.is_dismissed)
        decisions = (resolved, *decisions)
    return decisions
