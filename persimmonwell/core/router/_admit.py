"""Admit arriving requests, or refuse them before anything is sent."""

from persimmonwell._exceptions import (
    NotReadyError,
    OverloadedError,
    QuarantinedError,
)
from persimmonwell.core._types import ModelRequest, Outcome, Rank, ServiceCall
from persimmonwell.core.admission import QueueEntry, Refused
from persimmonwell.core.router._active import Active, Phase
from persimmonwell.core.router._endings import refuse, refuse_unqueued
from persimmonwell.core.router._state import (
    Lane,
    RouterState,
    model_target,
    service_target,
)

CALL_COST_TOKENS = 1
"""Charge of a service call; calls share their queues with calls only."""


def arrive(
    state: RouterState, work: ModelRequest | ServiceCall, now_s: float
) -> Active | None:
    """Queue a request; return None when it is refused at once."""
    if state.table.get(work.request_id) is not None:
        return None
    active = _new_active(state, work, now_s)
    state.record("received", active, detail=work.rank.name.lower())
    lane = state.lanes.get(active.target)
    if lane is None or not lane.is_configured:
        error = NotReadyError(f"{active.target} is not configured")
        refuse_unqueued(state, active, error, Outcome.NOT_RUN)
        return None
    if isinstance(work, ModelRequest) and state.quarantine.is_quarantined(work.digest):
        crashing = QuarantinedError(work.digest)
        refuse_unqueued(state, active, crashing, Outcome.NOT_RUN)
        return None
    result = lane.queue.offer(
        active.entry,
        weight=state.weight(work.workspace),
        output_tokens=active.remaining_tokens,
        now_s=now_s,
    )
    if isinstance(result, Refused):
        refuse_unqueued(state, active, result.error, Outcome.NOT_RUN)
        return None
    lane.requests += 1
    state.table.add(active)
    state.budget.record_admission(work.workspace)
    state.record("admitted", active)
    state.unsettled.add(active.target)
    if result.evicted is not None:
        evicted = state.table.get(result.evicted.request_id)
        if evicted is not None:
            name = evicted.rank.name.lower()
            refuse(state, evicted, OverloadedError(name, "over fair share"), now_s)
    return active


def _new_active(
    state: RouterState, work: ModelRequest | ServiceCall, now_s: float
) -> Active:
    if isinstance(work, ServiceCall):
        target, cost_tokens = service_target(work.service), CALL_COST_TOKENS
    else:
        target, cost_tokens = model_target(work.model), work.estimated_tokens
    entry = QueueEntry(
        request_id=work.request_id,
        workspace=work.workspace,
        rank=work.rank,
        cost_tokens=cost_tokens,
        deadline_s=work.deadline_s,
    )
    rank = state.config.ranks.get(work.rank)
    queue_s = 0.0 if rank is None else rank.queue_s
    expires_s = min(work.deadline_s, now_s + queue_s)
    return Active(work, target, entry, now_s, expires_s)


def bound_waiting(state: RouterState, arrival: Active, now_s: float) -> None:
    """Refuse one request when a rank's waiting requests hold too many threads."""
    if arrival.phase is Phase.RUNNING or state.table.get(arrival.request_id) is None:
        return
    rank = arrival.rank
    if state.table.waiting(rank) <= state.config.ranks[rank].waiting_threads:
        return
    victim = _victim(state, arrival)
    error = OverloadedError(rank.name.lower(), "too many requests wait")
    refuse(state, victim, error, now_s)


def _victim(state: RouterState, arrival: Active) -> Active:
    if arrival.phase is not Phase.QUEUED:
        return arrival
    rank = arrival.rank
    own = state.lanes[arrival.target]
    longest = _longest_lane(state, rank)
    entry = own.queue.select_victim(arrival.entry)
    # A saturated target makes room for the others' first waiting requests.
    if longest.queue.size(rank) > 2 * own.queue.size(rank):
        entry = longest.queue.newest_of_most_loaded(rank) or entry
    return state.table.get(entry.request_id) or arrival


def _longest_lane(state: RouterState, rank: Rank) -> Lane:
    return max(state.lanes.values(), key=lambda lane: lane.queue.size(rank))
