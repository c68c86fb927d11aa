"""Dispatch of waiting requests to upstreams with free capacity."""

from collections.abc import Sequence
from enum import Enum

from persimmonwell._exceptions import NoRouteError
from persimmonwell.core._types import Chain, ModelRequest, Rank, ServiceCall
from persimmonwell.core.router._active import ActiveRequest, Phase
from persimmonwell.core.router._decisions import Dispatch, DispatchService
from persimmonwell.core.router._endings import refuse_request
from persimmonwell.core.router._state import RouterState, TargetState
from persimmonwell.core.routing import NoRoute

MAX_RESUMES_SCANNED = 64
MAX_RESUME_PLACEMENTS = 4
"""Bounds per dispatch round on the resumed requests scanned and on placements tried.
Scanning several keeps a request that is held by the quarantine, or has many excluded
upstreams, from blocking the ones behind it."""
EXCLUSION_S = 1.0
"""Time after which a request may be retried on an upstream that failed it."""


UNCOVERED_GRACE_S = 2.0
"""Time that requests wait while no live upstreams cover their target. The host list
often shows a replacement shortly after it shows the loss."""


class _DispatchResult(Enum):
    DISPATCHED = 0
    NOTHING_TO_DISPATCH = 1
    SATURATED = 2


def dispatch_waiting(
    state: RouterState, target_state: TargetState, now_s: float
) -> None:
    """Dispatch waiting requests of a target until its capacity is used up."""
    while _dispatch_one(state, target_state, now_s) is _DispatchResult.DISPATCHED:
        pass
    target_state.queue.update_backlog(now_s)


def refuse_uncovered(
    state: RouterState, target_state: TargetState, now_s: float
) -> None:
    """Refuse all queued requests of a target uncovered for UNCOVERED_GRACE_S."""
    since_s = target_state.uncovered_since_s
    if since_s is None or now_s - since_s < UNCOVERED_GRACE_S:
        return
    if not len(target_state.queue):
        return
    for active in state.active_requests:
        if active.target == target_state.target and active.phase is Phase.QUEUED:
            name = target_state.target.partition(":")[2]
            error = NoRouteError(target=name, reason="no live upstream serves it")
            refuse_request(state, active, error, now_s)


def _dispatch_one(
    state: RouterState, target_state: TargetState, now_s: float
) -> _DispatchResult:
    waiting = [
        rank
        for rank in Rank
        if target_state.resume_queues[rank]
        or target_state.queue.head(rank, now_s) is not None
    ]
    for rank in target_state.queue.floors.service_order(waiting):
        for dispatch in (_dispatch_resumed, _dispatch_queued):
            result = dispatch(state, target_state, rank, waiting, now_s)
            if result is not _DispatchResult.NOTHING_TO_DISPATCH:
                return result
    return _DispatchResult.NOTHING_TO_DISPATCH


def _dispatch_resumed(
    state: RouterState,
    target_state: TargetState,
    rank: Rank,
    waiting: Sequence[Rank],
    now_s: float,
) -> _DispatchResult:
    tries = 0
    for request_id in target_state.next_resumes(rank, MAX_RESUMES_SCANNED):
        active = state.active_requests.get(request_id)
        assert active is not None, f"{request_id} ended but is in the resume queue"
        if not state.quarantine.is_held(active.work.digest):
            if _start_attempt(state, active, now_s) is None:
                del target_state.resume_queues[rank][request_id]
                target_state.queue.floors.charge(rank, active.remaining_tokens, waiting)
                return _DispatchResult.DISPATCHED
            tries += 1
        target_state.resume_queues[rank].move_to_end(request_id)
        if tries == MAX_RESUME_PLACEMENTS:
            break
    return _DispatchResult.NOTHING_TO_DISPATCH


def _dispatch_queued(
    state: RouterState,
    target_state: TargetState,
    rank: Rank,
    waiting: Sequence[Rank],
    now_s: float,
) -> _DispatchResult:
    entry = target_state.queue.head(rank, now_s)
    if entry is None:
        return _DispatchResult.NOTHING_TO_DISPATCH
    active = state.active_requests.get(entry.request_id)
    assert active is not None, f"{entry.request_id} ended but is queued"
    if not state.quarantine.is_held(active.work.digest):
        blocked = _start_attempt(state, active, now_s)
        is_isolated = state.quarantine.is_isolated(active.work.digest)
        if blocked is not None and not is_isolated:
            return _DispatchResult.SATURATED
    target_state.queue.dispatch(entry, now_s)
    target_state.queue.floors.charge(rank, entry.cost_tokens, waiting)
    state.limits.record_started(entry.workspace, entry.cost_tokens, now_s)
    active.charged = True
    if active.phase is Phase.QUEUED:
        # A quarantine suspect is moved out of the queue, so that it does not block
        # the requests behind it.
        active.phase = Phase.RESUMING
        target_state.resume_queues[rank][entry.request_id] = None
    return _DispatchResult.DISPATCHED


def _start_attempt(
    state: RouterState, active: ActiveRequest, now_s: float
) -> NoRoute | None:
    """Start an attempt; return None, or the reason why none can start now."""
    if isinstance(active.work, ServiceCall):
        blocked = _start_call_attempt(state, active, active.work, now_s)
    else:
        blocked = _start_request_attempt(state, active, active.work, now_s)
    target_state = state.target_states[active.target]
    if blocked is None or blocked.covered:
        active.uncovered_reason = target_state.uncovered_since_s = None
    else:
        active.uncovered_reason = blocked.reason
        if target_state.uncovered_since_s is None:
            target_state.uncovered_since_s = now_s
    return blocked


def _may_retry_excluded(active: ActiveRequest, blocked: NoRoute, now_s: float) -> bool:
    has_waited = now_s - active.last_failure_s > EXCLUSION_S
    return bool(active.excluded) and (has_waited or not blocked.covered)


def _start_request_attempt(
    state: RouterState, active: ActiveRequest, request: ModelRequest, now_s: float
) -> NoRoute | None:
    isolation_excluded = state.quarantine.excluded_upstreams(request.digest)
    chain = _choose_avoiding_suspects(state, active, request, isolation_excluded, now_s)
    if isinstance(chain, NoRoute) and active.excluded:
        # A suspect that only its isolation blocks waits for another upstream rather
        # than return to one that failed it.
        unisolated = state.chains.choose(request, now_s, excluded=active.excluded)
        if isinstance(unisolated, NoRoute) and _may_retry_excluded(
            active, unisolated, now_s
        ):
            chain = state.chains.choose(request, now_s, excluded=isolation_excluded)
    if isinstance(chain, NoRoute):
        return chain
    active.chain = chain
    delay_s = _begin_attempt(state, active, now_s)
    state.chains.record_start(chain, tokens=active.remaining_tokens, now_s=now_s)
    state.quarantine.reserve_upstreams(
        active.request_id, request.digest, chain.upstream_ids
    )
    _record_attempt(state, active, chain.upstream_ids[0])
    state.emit(
        Dispatch(
            request_id=active.request_id,
            attempt=active.attempt,
            chain=chain,
            resume_index=active.accepted_tokens,
            rank=active.rank,
            delay_s=delay_s,
        )
    )
    return None


def _choose_avoiding_suspects(
    state: RouterState,
    active: ActiveRequest,
    request: ModelRequest,
    isolation_excluded: frozenset[str],
    now_s: float,
) -> Chain | NoRoute:
    """Choose a chain that avoids stalled ones, relaxing the constraint stepwise.

    Tries without all suspected upstreams, then without the later stages only, then
    with every upstream allowed.
    """
    excluded = active.excluded | isolation_excluded
    later_stages = active.suspected_upstreams - active.suspected_first_stages
    for suspects in dict.fromkeys(
        (active.suspected_upstreams, later_stages, frozenset[str]())
    ):
        chain = state.chains.choose(request, now_s, excluded=excluded | suspects)
        if isinstance(chain, Chain):
            return chain
    return chain


def _start_call_attempt(
    state: RouterState, active: ActiveRequest, call: ServiceCall, now_s: float
) -> NoRoute | None:
    prefer_failure_free = not call.repeatable
    replica = state.pool.choose(
        call.service,
        now_s,
        excluded=active.excluded,
        prefer_failure_free=prefer_failure_free,
    )
    if isinstance(replica, NoRoute) and _may_retry_excluded(active, replica, now_s):
        replica = state.pool.choose(
            call.service, now_s, prefer_failure_free=prefer_failure_free
        )
    if isinstance(replica, NoRoute):
        return replica
    active.replica = replica
    delay_s = _begin_attempt(state, active, now_s)
    state.pool.record_start(replica)
    _record_attempt(state, active, replica.replica_id)
    state.emit(DispatchService(active.request_id, active.attempt, replica, delay_s))
    return None


def _begin_attempt(state: RouterState, active: ActiveRequest, now_s: float) -> float:
    delay_s = max(0.0, active.not_before_s - now_s)
    active.attempt += 1
    active.sent_s = now_s + delay_s
    active.generated_tokens = active.accepted_tokens
    state.active_requests.mark_running(active)
    return delay_s


def _record_attempt(
    state: RouterState, active: ActiveRequest, upstream_id: str
) -> None:
    kind = "dispatched"
    if active.failures:
        kind = "resumed" if active.may_have_run else "retried"
    detail = f"attempt {active.attempt}"
    state.record(kind, active, upstream_id=upstream_id, detail=detail)
