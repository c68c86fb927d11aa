"""Choice of a replica of a service without a pipeline, by requests in flight."""

import math
from collections.abc import Callable, Iterable, Sequence

import attrs

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._health import ReplicaHealth
from persimmonwell.core.forwarding._loads import LoadTable
from persimmonwell.core.forwarding._model import Replica, RouteKind
from persimmonwell.core.forwarding._rate_limits import ReplicaRateLimits
from persimmonwell.core.forwarding._shared_capacity import cost_factor
from persimmonwell.core.forwarding._slot_shares import (
    OTHER_ZONE_AGE_S,
    ServiceLoad,
    SlotShares,
)
from persimmonwell.core.forwarding._statements import ReplicaRefusals


@attrs.frozen
class PlainView:
    """What a host knows of the replicas, with its zone and random numbers."""

    zone: str
    loads: LoadTable
    health: ReplicaHealth
    refusals: ReplicaRefusals
    rate_limits: ReplicaRateLimits
    draw: Callable[[], float]
    """Returns a random number from 0 to 1."""


@attrs.define(eq=False)
class PlainLoad:
    """Requests in flight at a replica of a service without a pipeline."""

    replica: Replica
    own: int
    others: int
    is_ejected: bool


def plain_loads(
    replicas: Iterable[Replica], view: PlainView, now_s: float
) -> list[PlainLoad]:
    """Return the loads of the replicas that take requests of a service."""
    local, totals = view.loads.local, view.loads
    rows = []
    for replica in replicas:
        replica_id = replica.replica_id
        mine = local.get(replica_id)
        own = mine.requests if mine is not None else 0
        others = totals.requests(replica_id) - own
        is_ejected = view.health.is_ejected(replica_id, now_s)
        rows.append(PlainLoad(replica, own, others, is_ejected))
    return rows


def replicas_with_room(
    rows: Sequence[PlainLoad],
    active: ActiveRequest,
    shares: SlotShares,
    view: PlainView,
    now_s: float,
) -> list[PlainLoad]:
    """Return the replicas with a slot for a request, but for the last resorts."""
    known = known_share(shares, view, now_s)
    is_unsafe = active.route.kind is RouteKind.UNSAFE
    allowed = [
        row
        for row in rows
        if active.may_send_to(row.replica.replica_id)
        and not view.refusals.hold_off_s(row.replica, now_s)
        and view.rate_limits.may_send(row.replica, now_s)
    ]
    # While the healthy ones are full, a request waits: a dead replica has no load.
    allowed = [row for row in allowed if not row.is_ejected] or allowed
    available = []
    for row in allowed:
        slots = row.replica.slots
        if not is_unsafe:
            slots -= shares.kept_slots(row.replica.replica_id, now_s)
        # One with a single slot serves both kinds in the order of the queue.
        if row.own + known * row.others < max(1, slots):
            available.append(row)
    if active.tried_replica_ids:
        available = [
            row
            for row in available
            if row.replica.replica_id not in active.tried_replica_ids
        ] or available
    # A replica that refuses may take a request; an ejected one may be dead.
    return [
        row for row in available if not view.refusals.is_paused(row.replica, now_s)
    ] or available


def least_loaded(
    available: Sequence[PlainLoad], view: PlainView, now_s: float
) -> Replica:
    """Return the replica with the fewest requests for its speed."""
    latencies_s = [
        view.health.mean_latency_s(row.replica.replica_id) for row in available
    ]
    known_s = [latency_s for latency_s in latencies_s if latency_s is not None]
    reference_s = min(known_s, default=0.0)

    view.loads.update_expected(now_s)
    shared = view.loads.shared
    spread = shared.cost_spread(now_s)
    mean_load = sum(row.own + row.others for row in available) / len(available)
    mean_known_s = sum(known_s) / len(known_s) if known_s else None
    valid_share = shared.valid_share(mean_known_s, now_s)
    mean_others = sum(row.others for row in available) / len(available)

    def score(row: PlainLoad) -> tuple[float, bool, float]:
        replica_id = row.replica.replica_id
        load = row.own + row.others + 1.0
        load += (1.0 - valid_share) * (mean_others - row.others)
        if (more := shared.expected.get(replica_id)) is not None:
            load += more.requests
        load += mean_load * shared.ramp_share(replica_id, now_s)
        load *= cost_factor(spread, view.draw)
        factor = view.health.load_penalty(replica_id, reference_s)
        is_remote = row.replica.availability_zone != view.zone
        return (load * factor, is_remote, view.draw())

    return min(available, key=score).replica


def update_shares(
    shares: SlotShares, rows: Iterable[PlainLoad], view: PlainView, now_s: float
) -> None:
    """Save up sends at the rate of the replicas that take requests."""
    slots = replicas = own = others = 0
    for row in rows:
        if row.is_ejected:
            continue
        replicas += 1
        slots += max(1, row.replica.slots)
        own += row.own
        others += row.others
    load = ServiceLoad(
        slots=slots,
        replicas=replicas,
        own=own,
        others=others,
        hosts=view.loads.host_count,
        report_age_s=view.loads.mean_report_age_s(now_s),
    )
    shares.update(load, now_s)


def known_share(shares: SlotShares, view: PlainView, now_s: float) -> float:
    """Return the part of the reported requests that is still in flight."""
    if shares.answer_s is None:
        return 1.0
    if view.loads.shared.report_age_s(now_s) is None:
        return math.exp(-OTHER_ZONE_AGE_S / shares.answer_s)
    return view.loads.shared.valid_share(shares.answer_s, now_s)
