"""End attempts and requests, each request exactly once."""

from persimmonwell._exceptions import (
    DeadlineExceededError,
    NoRouteError,
    OverloadedError,
    PersimmonwellError,
    QuarantinedError,
)
from persimmonwell.core._types import ModelRequest, Outcome
from persimmonwell.core.retry import QuarantineChange
from persimmonwell.core.router._active import Active, Phase
from persimmonwell.core.router._decisions import AnnounceBlame, CancelAttempt, Refuse
from persimmonwell.core.router._state import RouterState


def end_attempt(state: RouterState, active: Active, now_s: float) -> None:
    """Release what the running attempt holds; the caller moves the request on."""
    if active.chain is not None:
        state.chains.finished(active.chain, now_s=now_s)
        state.quarantine.release_upstreams(active.request_id, active.upstream_ids)
        state.table.release_upstreams(active)
        active.chain = None
    if active.replica is not None:
        state.pool.ended(active.replica)
        active.replica = None
    active.first_token_s = None
    state.unsettled.add(active.target)


def end_request(
    state: RouterState, active: Active, actual_tokens: int, now_s: float
) -> None:
    """Remove a request and correct what it was charged."""
    lane = state.lanes[active.target]
    if active.phase is Phase.QUEUED:
        lane.queue.remove(active.entry)
    elif active.phase is Phase.RESUMING:
        lane.resumes[active.rank].pop(active.request_id, None)
    else:
        end_attempt(state, active, now_s)
    workspace = active.work.workspace
    if active.charged:
        unused = active.entry.cost_tokens - actual_tokens
        state.limits.record_finished(workspace, unused)
        lane.queue.correct_charge(active.entry, actual_tokens)
        if state.limits.is_limited(workspace):
            for target, other in state.lanes.items():
                if other.queue.unblock(workspace):
                    state.unsettled.add(target)
    state.table.discard(active)
    lane.requests -= 1
    state.unsettled.add(active.target)


def refuse(
    state: RouterState, active: Active, error: PersimmonwellError, now_s: float
) -> None:
    """End a request with an error and a truthful outcome."""
    running = active.phase is Phase.RUNNING
    may_have_run = active.may_have_run or running
    if running and active.chain is not None:
        state.emit(CancelAttempt(active.request_id, active.attempt, active.chain))
    end_request(state, active, active.used_tokens, now_s)
    refuse_unqueued(
        state,
        active,
        error,
        Outcome.MAY_HAVE_RUN if may_have_run else Outcome.NOT_RUN,
    )


def refuse_unqueued(
    state: RouterState, active: Active, error: PersimmonwellError, outcome: Outcome
) -> None:
    """Emit the refusal of a request that holds nothing."""
    state.refusals[error.code] += 1
    state.emit(Refuse(active.request_id, error, outcome))
    state.record("refused", active, detail=error.code)


def cancel(state: RouterState, active: Active, now_s: float) -> None:
    """End a request whose caller left."""
    if active.phase is Phase.RUNNING and active.chain is not None:
        state.emit(CancelAttempt(active.request_id, active.attempt, active.chain))
    end_request(state, active, active.used_tokens, now_s)
    state.record("finished", active, detail="cancelled")


def expire(state: RouterState, now_s: float) -> None:
    """Refuse the requests that waited too long."""
    while (active := state.table.pop_expired(now_s)) is not None:
        refuse(state, active, _expiry_error(active, now_s), now_s)


def _expiry_error(active: Active, now_s: float) -> PersimmonwellError:
    if active.uncovered is not None:
        name = (
            active.work.model
            if isinstance(active.work, ModelRequest)
            else active.work.service
        )
        return NoRouteError(target=name, reason=active.uncovered)
    if active.work.deadline_s <= now_s:
        allowed_s = active.work.deadline_s - active.arrived_s
        return DeadlineExceededError(deadline_ms=allowed_s * 1000)
    if active.last_error is not None:
        return active.last_error
    name = active.rank.name.lower()
    return OverloadedError(rank=name, reason="queue time exceeded")


def apply_verdict(state: RouterState, verdict: QuarantineChange, now_s: float) -> None:
    """Announce identified losses and refuse what was quarantined."""
    for blame in verdict.blames:
        state.emit(AnnounceBlame(blame.digest, blame.upstream_id))
    for digest in verdict.quarantined:
        for active in state.table.with_digest(digest):
            refuse(state, active, QuarantinedError(digest), now_s)
    if verdict.released or verdict.quarantined:
        state.unsettle_all()
