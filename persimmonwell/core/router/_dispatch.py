"""Dispatch waiting requests while there is capacity."""

from collections.abc import Sequence
from enum import Enum

from persimmonwell._exceptions import NoRouteError
from persimmonwell.core._types import Chain, ModelRequest, Rank, ServiceCall
from persimmonwell.core.router._active import Active, Phase
from persimmonwell.core.router._decisions import Dispatch, DispatchService
from persimmonwell.core.router._endings import refuse
from persimmonwell.core.router._state import Lane, RouterState
from persimmonwell.core.routing import NoRoute

RESUME_SCAN = 64
RESUME_TRIES = 4
"""Requests looked at, and placements tried, per round, so that a request that is
held back or has many excluded upstreams does not hold up the others."""
EXCLUSION_S = 1.0
"""Time after which a waiting request may go back to an upstream that failed it."""


UNCOVERED_GRACE_S = 2.0
"""Time that requests wait for the upstreams of a target to come back. The host
list often shows a replacement a little later than the loss."""


class _Round(Enum):
    PLACED = 0
    NOTHING = 1
    SATURATED = 2


def dispatch_waiting(state: RouterState, lane: Lane, now_s: float) -> None:
    """Dispatch the waiting requests of a target until its capacity is used."""
    while _dispatch_one(state, lane, now_s) is _Round.PLACED:
        pass
    lane.queue.update_backlog(now_s)


def refuse_uncovered(state: RouterState, lane: Lane, now_s: float) -> None:
    """Refuse the queue of a target that has had no upstreams for a while."""
    since_s = lane.uncovered_since_s
    if since_s is None or now_s - since_s < UNCOVERED_GRACE_S:
        return
    if not len(lane.queue):
        return
    for active in state.table:
        if active.target == lane.target and active.phase is Phase.QUEUED:
            name = lane.target.partition(":")[2]
            error = NoRouteError(target=name, reason="no live upstream serves it")
            refuse(state, active, error, now_s)


def _dispatch_one(state: RouterState, lane: Lane, now_s: float) -> _Round:
    waiting = [
        rank
        for rank in Rank
        if lane.resumes[rank] or lane.queue.head(rank, now_s) is not None
    ]
    for rank in lane.queue.floors.service_order(waiting):
        for attempt in (_resume, _start):
            result = attempt(state, lane, rank, waiting, now_s)
            if result is not _Round.NOTHING:
                return result
    return _Round.NOTHING


def _resume(
    state: RouterState, lane: Lane, rank: Rank, waiting: Sequence[Rank], now_s: float
) -> _Round:
    tries = 0
    for request_id in lane.first_resumes(rank, RESUME_SCAN):
        active = state.table.get(request_id)
        assert active is not None, f"{request_id} ended but waits"
        if not state.quarantine.is_held(active.work.digest):
            if _place(state, active, now_s) is None:
                del lane.resumes[rank][request_id]
                lane.queue.floors.charge(rank, active.remaining_tokens, waiting)
                return _Round.PLACED
            tries += 1
        lane.resumes[rank].move_to_end(request_id)
        if tries == RESUME_TRIES:
            break
    return _Round.NOTHING


def _start(
    state: RouterState, lane: Lane, rank: Rank, waiting: Sequence[Rank], now_s: float
) -> _Round:
    entry = lane.queue.head(rank, now_s)
    if entry is None:
        return _Round.NOTHING
    active = state.table.get(entry.request_id)
    assert active is not None, f"{entry.request_id} ended but is queued"
    if not state.quarantine.is_held(active.work.digest):
        blocked = _place(state, active, now_s)
        is_isolated = state.quarantine.is_isolated(active.work.digest)
        if blocked is not None and not is_isolated:
            return _Round.SATURATED
    lane.queue.dispatch(entry, now_s)
    lane.queue.floors.charge(rank, entry.cost_tokens, waiting)
    state.limits.record_started(entry.workspace, entry.cost_tokens, now_s)
    active.charged = True
    if active.phase is Phase.QUEUED:
        # A suspect waits apart so that the requests behind it go on.
        active.phase = Phase.RESUMING
        lane.resumes[rank][entry.request_id] = None
    return _Round.PLACED


def _place(state: RouterState, active: Active, now_s: float) -> NoRoute | None:
    """Start an attempt; return why none can start now."""
    if isinstance(active.work, ServiceCall):
        blocked = _place_call(state, active, active.work, now_s)
    else:
        blocked = _place_request(state, active, active.work, now_s)
    lane = state.lanes[active.target]
    if blocked is None or blocked.covered:
        active.uncovered = lane.uncovered_since_s = None
    else:
        active.uncovered = blocked.reason
        if lane.uncovered_since_s is None:
            lane.uncovered_since_s = now_s
    return blocked


def _may_forgive(active: Active, blocked: NoRoute, now_s: float) -> bool:
    waited = now_s - active.failed_s > EXCLUSION_S
    return bool(active.excluded) and (waited or not blocked.covered)


def _place_request(
    state: RouterState, active: Active, request: ModelRequest, now_s: float
) -> NoRoute | None:
    isolated = state.quarantine.excluded_upstreams(request.digest)
    chain = _choose_away_from_suspects(state, active, request, isolated, now_s)
    if isinstance(chain, NoRoute) and active.excluded:
        # Isolation alone must not send a suspect back to the upstream it lost.
        alone = state.chains.choose(request, now_s, excluded=active.excluded)
        if isinstance(alone, NoRoute) and _may_forgive(active, alone, now_s):
            chain = state.chains.choose(request, now_s, excluded=isolated)
    if isinstance(chain, NoRoute):
        return chain
    active.chain = chain
    delay_s = _begin_attempt(state, active, now_s)
    state.chains.started(chain, tokens=active.remaining_tokens, now_s=now_s)
    state.quarantine.reserve_upstreams(
        active.request_id, request.digest, chain.upstream_ids
    )
    _record_attempt(state, active, chain.upstream_ids[0])
    state.emit(
        Dispatch(
            request_id=active.request_id,
            attempt=active.attempt,
            chain=chain,
            resume_index=active.tokens,
            rank=active.rank,
            delay_s=delay_s,
        )
    )
    return None


def _choose_away_from_suspects(
    state: RouterState,
    active: Active,
    request: ModelRequest,
    isolated: frozenset[str],
    now_s: float,
) -> Chain | NoRoute:
    """Avoid the chains that fell silent, then only their later stages, then none."""
    excluded = active.excluded | isolated
    later_stages = active.suspected - active.suspected_heads
    for suspects in dict.fromkeys((active.suspected, later_stages, frozenset[str]())):
        chain = state.chains.choose(request, now_s, excluded=excluded | suspects)
        if isinstance(chain, Chain):
            return chain
    return chain


def _place_call(
    state: RouterState, active: Active, call: ServiceCall, now_s: float
) -> NoRoute | None:
    sound_only = not call.repeatable
    replica = state.pool.choose(
        call.service, now_s, excluded=active.excluded, sound_only=sound_only
    )
    if isinstance(replica, NoRoute) and _may_forgive(active, replica, now_s):
        replica = state.pool.choose(call.service, now_s, sound_only=sound_only)
    if isinstance(replica, NoRoute):
        return replica
    active.replica = replica
    delay_s = _begin_attempt(state, active, now_s)
    state.pool.started(replica)
    _record_attempt(state, active, replica.replica_id)
    state.emit(DispatchService(active.request_id, active.attempt, replica, delay_s))
    return None


def _begin_attempt(state: RouterState, active: Active, now_s: float) -> float:
    delay_s = max(0.0, active.not_before_s - now_s)
    active.attempt += 1
    active.sent_s = now_s + delay_s
    active.generated = active.tokens
    state.table.run(active)
    return delay_s


def _record_attempt(state: RouterState, active: Active, upstream_id: str) -> None:
    kind = "dispatched"
    if active.failures:
        kind = "resumed" if active.may_have_run else "retried"
    detail = f"attempt {active.attempt}"
    state.record(kind, active, upstream_id=upstream_id, detail=detail)
