"""Ends of attempts and requests; each request ends exactly once."""

from persimmonwell._exceptions import (
    DeadlineExceededError,
    NoRouteError,
    OverloadedError,
    PersimmonwellError,
    QuarantinedError,
)
from persimmonwell.core._types import ModelRequest, Outcome
from persimmonwell.core.retry import QuarantineChange
from persimmonwell.core.router._active import ActiveRequest, Phase
from persimmonwell.core.router._decisions import AnnounceBlame, CancelAttempt, Refuse
from persimmonwell.core.router._state import RouterState


def end_attempt(state: RouterState, active: ActiveRequest, now_s: float) -> None:
    """Release the resources of the running attempt.

    The caller sets the next phase of the request.
    """
    if active.chain is not None:
        state.chains.record_finish(active.chain, now_s=now_s)
        state.quarantine.release_upstreams(active.request_id, active.upstream_ids)
        state.active_requests.release_upstreams(active)
        active.chain = None
    if active.replica is not None:
        state.pool.record_end(active.replica)
        active.replica = None
    active.first_token_s = None
    state.dirty_targets.add(active.target)


def end_request(
    state: RouterState, active: ActiveRequest, actual_tokens: int, now_s: float
) -> None:
    """Remove a request and correct its charge to the actual tokens."""
    target_state = state.target_states[active.target]
    if active.phase is Phase.QUEUED:
        target_state.queue.remove(active.entry)
    elif active.phase is Phase.RESUMING:
        target_state.resume_queues[active.rank].pop(active.request_id, None)
    else:
        end_attempt(state, active, now_s)
    workspace = active.work.workspace
    if active.charged:
        unused = active.entry.cost_tokens - actual_tokens
        state.limits.record_finished(workspace, unused)
        target_state.queue.correct_charge(active.entry, actual_tokens)
        if state.limits.is_limited(workspace):
            for target, other in state.target_states.items():
                if other.queue.unblock(workspace):
                    state.dirty_targets.add(target)
    state.active_requests.discard(active)
    target_state.active_count -= 1
    state.dirty_targets.add(active.target)


def refuse_request(
    state: RouterState, active: ActiveRequest, error: PersimmonwellError, now_s: float
) -> None:
    """End a request with an error; the outcome says whether it may have run."""
    running = active.phase is Phase.RUNNING
    may_have_run = active.may_have_run or running
    if running and active.chain is not None:
        state.emit(CancelAttempt(active.request_id, active.attempt, active.chain))
    end_request(state, active, active.tokens_to_charge, now_s)
    emit_refusal(
        state,
        active,
        error,
        Outcome.MAY_HAVE_RUN if may_have_run else Outcome.NOT_RUN,
    )


def emit_refusal(
    state: RouterState,
    active: ActiveRequest,
    error: PersimmonwellError,
    outcome: Outcome,
) -> None:
    """Emit the refusal of a request that holds no queue place or attempt."""
    state.refusals[error.code] += 1
    state.emit(Refuse(active.request_id, error, outcome))
    state.record("refused", active, detail=error.code)


def cancel_request(state: RouterState, active: ActiveRequest, now_s: float) -> None:
    """End a request whose caller disconnected, and cancel its running attempt."""
    if active.phase is Phase.RUNNING and active.chain is not None:
        state.emit(CancelAttempt(active.request_id, active.attempt, active.chain))
    end_request(state, active, active.tokens_to_charge, now_s)
    state.record("finished", active, detail="cancelled")


def refuse_expired(state: RouterState, now_s: float) -> None:
    """Refuse the requests whose queue time or deadline has passed."""
    while (active := state.active_requests.pop_expired(now_s)) is not None:
        refuse_request(state, active, _expiry_error(active, now_s), now_s)


def _expiry_error(active: ActiveRequest, now_s: float) -> PersimmonwellError:
    if active.uncovered_reason is not None:
        name = (
            active.work.model
            if isinstance(active.work, ModelRequest)
            else active.work.service
        )
        return NoRouteError(target=name, reason=active.uncovered_reason)
    if active.work.deadline_s <= now_s:
        allowed_s = active.work.deadline_s - active.arrived_s
        return DeadlineExceededError(deadline_ms=allowed_s * 1000)
    if active.last_error is not None:
        return active.last_error
    name = active.rank.name.lower()
    return OverloadedError(rank=name, reason="queue time exceeded")


def apply_verdict(state: RouterState, verdict: QuarantineChange, now_s: float) -> None:
    """Announce attributed upstream losses and refuse newly quarantined digests."""
    for blame in verdict.blames:
        state.emit(AnnounceBlame(blame.digest, blame.upstream_id))
    for digest in verdict.quarantined:
        for active in state.active_requests.with_digest(digest):
            refuse_request(state, active, QuarantinedError(digest), now_s)
    if verdict.released or verdict.quarantined:
        state.mark_waiting_targets_dirty()
