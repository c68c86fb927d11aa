"""Effect of what replicas state about themselves on the choice of upstreams."""

from persimmonwell.core.forwarding._events import (
    Decision,
    HoldOffStated,
    LeavingChanged,
    RateLimitChanged,
)
from persimmonwell.core.forwarding._statements import ReplicaStatement
from persimmonwell.core.forwarding._upstreams import UpstreamPool


def record_rate_limit(
    upstreams: UpstreamPool, replica_id: str, rate_per_s: float | None, now_s: float
) -> tuple[Decision, ...]:
    """Record the rate limit that a replica stated, None if it stated none."""
    replica = upstreams.registry.replicas.get(replica_id)
    if replica is None:
        return ()
    if not upstreams.rate_limits.record(replica, rate_per_s, now_s):
        return ()
    return (RateLimitChanged(replica.replica_id, rate_per_s),)


def record_statement(
    upstreams: UpstreamPool, replica_id: str, statement: ReplicaStatement, now_s: float
) -> tuple[Decision, ...]:
    """Record what a replica says about itself in an answer of any kind."""
    replica = upstreams.registry.replicas.get(replica_id)
    if replica is None:
        return ()
    decisions: list[Decision] = []
    if statement.is_leaving:
        if upstreams.leaving.record(replica, now_s):
            decisions.append(LeavingChanged(replica_id, True))
    elif not upstreams.available(replica.service):
        # Only a service without other replicas takes its answer for a correction;
        # an answer may also have been on its way when the replica began to leave.
        if upstreams.leaving.retract(replica, now_s):
            decisions.append(LeavingChanged(replica_id, False))
    seconds = statement.hold_off_s
    if seconds is not None and upstreams.refusals.record_hold_off(
        replica, seconds, now_s
    ):
        decisions.append(HoldOffStated(replica_id, seconds))
    return tuple(decisions)
