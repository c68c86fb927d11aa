"""Decide what follows when an attempt fails."""

from persimmonwell._exceptions import (
    DeadlineExceededError,
    OverloadedError,
    PersimmonwellError,
    UpstreamFailedError,
)
from persimmonwell.core._types import Chain, ServiceCall
from persimmonwell.core.retry import backoff_s
from persimmonwell.core.router import _events as ev
from persimmonwell.core.router._active import Active
from persimmonwell.core.router._decisions import Probe
from persimmonwell.core.router._endings import end_attempt, refuse
from persimmonwell.core.router._state import RouterState

NOT_RUN = frozenset({ev.FailureKind.NOT_SENT, ev.FailureKind.BUSY})
"""Failures after which the upstream has not run the attempt."""
FREE_ONCE = frozenset(
    {ev.FailureKind.NOT_SENT, ev.FailureKind.LOST, ev.FailureKind.TIMEOUT}
)
"""Failures of an upstream, not of the request. The first one of a request, and
each one after new tokens, costs no retry budget: the death of one upstream with
many requests in flight would empty any budget small enough to stop a retry
storm. Such resumes are bounded by one per admitted request plus one per
generated token, and by max_attempts."""
OVERLOAD_S = 1.0
"""Backlogged time after which repeats of refused work are shed."""

MIN_RESUME_WAIT_S = 2.0
"""An accepted request may wait this long for another attempt, however short the
queue of its rank is: its caller may already have part of the answer."""


def stage_failed(state: RouterState, event: ev.StageFailed, now_s: float) -> None:
    """Resume or end a model request whose attempt broke off."""
    active = state.table.running(event.request_id, event.attempt)
    if active is None or active.chain is None:
        return
    upstream_id, failure = event.upstream_id, event.failure
    if failure is ev.FailureKind.LOST:
        _suspect_digests(state, active, upstream_id, now_s)
    progressed = event.tokens_so_far > active.tokens
    suspects = _silent_stages(active.chain, event, progressed)
    if suspects:
        active.suspected |= frozenset(active.chain.upstream_ids)
        active.suspected_heads |= {upstream_id}
    for blamed in suspects or (upstream_id,):
        if failure is not ev.FailureKind.BUSY:
            state.chains.upstream_failed(blamed, now_s=now_s)
    end_attempt(state, active, now_s)
    active.tokens = max(active.tokens, event.tokens_so_far)
    excluded = frozenset() if suspects else frozenset({upstream_id})
    _recover(state, active, failure, upstream_id, excluded, progressed, now_s)


def _silent_stages(
    chain: Chain, event: ev.StageFailed, progressed: bool
) -> tuple[str, ...]:
    """Return the later stages of a chain that passed tokens and then fell silent.

    The first stage has shown that it works, and nothing tells which of the others
    stopped. Blaming the first one would eject it and leave its requests to upstreams
    that have failed them already.
    """
    if event.failure is not ev.FailureKind.TIMEOUT or not progressed:
        return ()
    if event.upstream_id != chain.upstream_ids[0]:
        return ()
    return chain.upstream_ids[1:]


def _suspect_digests(
    state: RouterState, active: Active, upstream_id: str, now_s: float
) -> None:
    running = (*state.table.running_on(upstream_id), active)
    digests = frozenset(other.work.digest for other in running)
    fresh = frozenset(
        other.work.digest for other in running if other.first_token_s is None
    )
    upstream = state.upstreams.get(upstream_id)
    is_new = state.quarantine.record_loss(
        upstream_id, digests, not_generating=fresh, now_s=now_s
    )
    # A broken connection is not yet a lost upstream; the probe tells.
    if is_new and upstream is not None:
        state.emit(Probe(upstream_id, upstream.address))


def call_failed(state: RouterState, event: ev.ServiceCallFailed, now_s: float) -> None:
    """Repeat or end a service call whose attempt failed."""
    active = state.table.running(event.request_id, event.attempt)
    if active is None or active.replica is None:
        return
    replica = active.replica
    if event.failure is ev.FailureKind.BUSY:
        state.pool.busy(replica)
    else:
        refused = event.failure is ev.FailureKind.NOT_SENT
        state.pool.failed(replica, refused=refused, now_s=now_s)
    end_attempt(state, active, now_s)
    replica_id = event.replica_id
    excluded = frozenset({replica_id})
    _recover(state, active, event.failure, replica_id, excluded, False, now_s)


def _recover(
    state: RouterState,
    active: Active,
    failure: ev.FailureKind,
    upstream_id: str,
    excluded: frozenset[str],
    progressed: bool,
    now_s: float,
) -> None:
    active.may_have_run |= failure not in NOT_RUN
    active.excluded |= excluded
    active.failures += 1
    active.failed_s = now_s
    active.last_error = UpstreamFailedError(upstream_id, failure.value)
    resume_s = max(state.config.ranks[active.rank].queue_s, MIN_RESUME_WAIT_S)
    state.table.wait(active, min(active.work.deadline_s, now_s + resume_s))
    lane = state.lanes[active.target]
    lane.resumes[active.rank][active.request_id] = None
    is_free = failure in FREE_ONCE and (active.failures == 1 or progressed)
    active.not_before_s = now_s if is_free else now_s + _backoff_s(state, active)
    error = _retry_error(state, active, failure, is_free, now_s)
    if error is not None:
        refuse(state, active, error, now_s)


def _backoff_s(state: RouterState, active: Active) -> float:
    retry = state.config.retry
    return backoff_s(
        active.failures,
        base_s=retry.backoff_base_s,
        cap_s=retry.backoff_cap_s,
        rng_seed=state.random.getrandbits(32),
    )


def _retry_error(
    state: RouterState,
    active: Active,
    failure: ev.FailureKind,
    is_free: bool,
    now_s: float,
) -> PersimmonwellError | None:
    """Return why a failed attempt must not be followed by another, or None."""
    work = active.work
    may_repeat = not isinstance(work, ServiceCall) or work.repeatable
    if not may_repeat and failure is not ev.FailureKind.NOT_SENT:
        return active.last_error
    if active.attempt >= state.config.retry.max_attempts:
        return active.last_error
    queue = state.lanes[active.target].queue
    expected_s = queue.service_times.expected_s(active.remaining_tokens, now_s)
    if active.not_before_s + expected_s >= work.deadline_s:
        allowed_s = work.deadline_s - active.arrived_s
        return DeadlineExceededError(deadline_ms=allowed_s * 1000)
    if is_free:
        return None
    if queue.backlogged_s(active.rank, now_s) >= OVERLOAD_S:
        return OverloadedError(active.rank.name.lower(), "retries are shed")
    if not state.budget.try_spend(work.workspace):
        return active.last_error
    return None
