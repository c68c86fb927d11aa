"""Replicas of a zone that a path may not use, and the memory that is free there."""

from collections.abc import Iterable

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._health import ReplicaHealth
from persimmonwell.core.forwarding._loads import LoadTable
from persimmonwell.core.forwarding._model import Replica
from persimmonwell.core.forwarding._paths import Stage, StageTable
from persimmonwell.core.forwarding._rate_limits import ReplicaRateLimits
from persimmonwell.core.forwarding._statements import ReplicaRefusals


def excluded_replicas(
    replicas: Iterable[Replica],
    active: ActiveRequest,
    first_stage: Stage | None,
    *,
    health: ReplicaHealth,
    refusals: ReplicaRefusals,
    rate_limits: ReplicaRateLimits,
    now_s: float,
) -> frozenset[str]:
    """Return the replicas of a zone that a request may not use now.

    A given first_stage is kept.
    """
    refusing = refusals.replica_ids
    excluded = set()
    for replica in replicas:
        replica_id = replica.replica_id
        if (
            health.is_ejected(replica_id, now_s)
            or (replica_id in refusing and refusals.hold_off_s(replica, now_s))
            or (
                first_stage is None
                and replica.layers is not None
                and replica.layers.start <= 0
                and not (
                    active.may_send_to(replica_id)
                    and rate_limits.may_send(replica, now_s)
                )
            )
        ):
            excluded.add(replica_id)
    if first_stage is not None:
        excluded.add(first_stage.replica_id)
    return frozenset(excluded)


def spare_share(table: StageTable, loads: LoadTable, now_s: float) -> float:
    """Return the share of the memory of a table's replicas that is free."""
    expected = loads.shared.expected
    capacity = free = 0.0
    for replica, tokens in zip(table.replicas, table.capacities, strict=True):
        used = loads.used_layer_tokens(replica.replica_id, now_s)
        more = expected.get(replica.replica_id)
        capacity += tokens
        free += max(0.0, tokens - used - (more.layer_tokens if more else 0.0))
    return free / capacity if capacity > 0.0 else 0.0
