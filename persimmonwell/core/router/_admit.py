"""Admission of arriving requests, before anything is sent upstream."""

from persimmonwell._exceptions import (
    NotReadyError,
    OverloadedError,
    QuarantinedError,
)
from persimmonwell.core._types import ModelRequest, Outcome, Rank, ServiceCall
from persimmonwell.core.admission import QueueEntry, Refused
from persimmonwell.core.router._active import ActiveRequest, Phase
from persimmonwell.core.router._endings import emit_refusal, refuse_request
from persimmonwell.core.router._state import (
    RouterState,
    TargetState,
    model_target,
    service_target,
)

SERVICE_CALL_COST_TOKENS = 1
"""Flat cost of a service call; calls never share a queue with model requests."""


def admit_request(
    state: RouterState, work: ModelRequest | ServiceCall, now_s: float
) -> ActiveRequest | None:
    """Queue a request; return None if it is refused or its id is already active."""
    if state.active_requests.get(work.request_id) is not None:
        return None
    active = _new_active(state, work, now_s)
    state.record("received", active, detail=work.rank.name.lower())
    target_state = state.target_states.get(active.target)
    if target_state is None or not target_state.is_configured:
        error = NotReadyError(f"{active.target} is not configured")
        emit_refusal(state, active, error, Outcome.NOT_RUN)
        return None
    if isinstance(work, ModelRequest) and state.quarantine.is_quarantined(work.digest):
        crashing = QuarantinedError(work.digest)
        emit_refusal(state, active, crashing, Outcome.NOT_RUN)
        return None
    result = target_state.queue.offer(
        active.entry,
        weight=state.weight(work.workspace),
        output_tokens=active.remaining_tokens,
        now_s=now_s,
    )
    if isinstance(result, Refused):
        emit_refusal(state, active, result.error, Outcome.NOT_RUN)
        return None
    target_state.active_count += 1
    state.active_requests.add(active)
    state.budget.record_admission(work.workspace)
    state.record("admitted", active)
    state.dirty_targets.add(active.target)
    if result.evicted is not None:
        evicted = state.active_requests.get(result.evicted.request_id)
        if evicted is not None:
            name = evicted.rank.name.lower()
            refuse_request(
                state,
                evicted,
                OverloadedError(name, "queue full, workspace over its fair share"),
                now_s,
            )
    return active


def _new_active(
    state: RouterState, work: ModelRequest | ServiceCall, now_s: float
) -> ActiveRequest:
    if isinstance(work, ServiceCall):
        target, cost_tokens = service_target(work.service), SERVICE_CALL_COST_TOKENS
    else:
        target, cost_tokens = model_target(work.model), work.estimated_tokens
    entry = QueueEntry(
        request_id=work.request_id,
        workspace=work.workspace,
        priority_class=work.rank,
        cost_tokens=cost_tokens,
        deadline_s=work.deadline_s,
    )
    rank = state.config.ranks.get(work.rank)
    queue_s = 0.0 if rank is None else rank.queue_s
    expires_s = min(work.deadline_s, now_s + queue_s)
    return ActiveRequest(work, target, entry, now_s, expires_s)


def enforce_waiting_limit(
    state: RouterState, arrival: ActiveRequest, now_s: float
) -> None:
    """Refuse one request of a rank that exceeds its limit of waiting requests.

    Each waiting request holds a thread of the entry host.
    """
    if (
        arrival.phase is Phase.RUNNING
        or state.active_requests.get(arrival.request_id) is None
    ):
        return
    rank = arrival.rank
    if (
        state.active_requests.count_waiting(rank)
        <= state.config.ranks[rank].waiting_threads
    ):
        return
    victim = _choose_victim(state, arrival)
    error = OverloadedError(rank.name.lower(), "too many waiting requests")
    refuse_request(state, victim, error, now_s)


def _choose_victim(state: RouterState, arrival: ActiveRequest) -> ActiveRequest:
    if arrival.phase is not Phase.QUEUED:
        return arrival
    rank = arrival.rank
    own_target = state.target_states[arrival.target]
    longest_target = _longest_target(state, rank)
    entry = own_target.queue.select_victim(arrival.entry)
    # A target with a much longer queue gives up a place, so that one saturated
    # target cannot use up the threads of all others.
    if longest_target.queue.size(rank) > 2 * own_target.queue.size(rank):
        entry = longest_target.queue.newest_of_most_loaded(rank) or entry
    return state.active_requests.get(entry.request_id) or arrival


def _longest_target(state: RouterState, rank: Rank) -> TargetState:
    return max(
        state.target_states.values(),
        key=lambda target_state: target_state.queue.size(rank),
    )
