"""Failed attempts: retry, resume or end the request."""

from persimmonwell._exceptions import (
    DeadlineExceededError,
    OverloadedError,
    PersimmonwellError,
    UpstreamFailedError,
)
from persimmonwell.core._types import Chain, ServiceCall
from persimmonwell.core.retry import backoff_s
from persimmonwell.core.router import _events as ev
from persimmonwell.core.router._active import ActiveRequest
from persimmonwell.core.router._decisions import Probe
from persimmonwell.core.router._endings import end_attempt, refuse_request
from persimmonwell.core.router._state import RouterState

NOT_EXECUTED_FAILURES = frozenset({ev.FailureKind.NOT_SENT, ev.FailureKind.BUSY})
"""Failures that show that the upstream has not run the attempt."""
BUDGET_EXEMPT_FAILURES = frozenset(
    {ev.FailureKind.NOT_SENT, ev.FailureKind.LOST, ev.FailureKind.TIMEOUT}
)
"""Failures attributed to the upstream rather than to the request. The first one of a
request, and each one after new tokens, costs no retry budget: the crash of one
upstream with many requests in flight would empty any budget small enough to prevent
a retry storm. Such retries are bounded by one per admitted request plus one per
generated token, and by max_attempts."""
RETRY_SHEDDING_BACKLOG_S = 1.0
"""Duration of a backlog after which retries that cost budget are shed."""

MIN_RESUME_WAIT_S = 2.0
"""Least time that an admitted request may wait for another attempt, even if queue_s
of its rank is shorter: its caller may already have part of the answer."""


def handle_stage_failure(
    state: RouterState, event: ev.StageFailed, now_s: float
) -> None:
    """Retry or end a model request after a failed attempt."""
    active = state.active_requests.get_running(event.request_id, event.attempt)
    if active is None or active.chain is None:
        return
    upstream_id, failure = event.upstream_id, event.failure
    if failure is ev.FailureKind.LOST:
        _suspect_digests(state, active, upstream_id, now_s)
    progressed = event.tokens_so_far > active.accepted_tokens
    suspects = _possibly_stalled_stages(active.chain, event, progressed)
    if suspects:
        active.suspected_upstreams |= frozenset(active.chain.upstream_ids)
        active.suspected_first_stages |= {upstream_id}
    for blamed in suspects or (upstream_id,):
        if failure is not ev.FailureKind.BUSY:
            state.chains.record_upstream_failure(blamed, now_s=now_s)
    end_attempt(state, active, now_s)
    active.accepted_tokens = max(active.accepted_tokens, event.tokens_so_far)
    excluded = frozenset() if suspects else frozenset({upstream_id})
    _retry_or_refuse(state, active, failure, upstream_id, excluded, progressed, now_s)


def _possibly_stalled_stages(
    chain: Chain, event: ev.StageFailed, progressed: bool
) -> tuple[str, ...]:
    """Return the later stages of a chain that timed out after delivering tokens.

    The first stage is known to work, and which of the others stalled is unknown.
    Counting the failure against the first stage would eject it and leave its requests
    to upstreams that have already failed them.
    """
    if event.failure is not ev.FailureKind.TIMEOUT or not progressed:
        return ()
    if event.upstream_id != chain.upstream_ids[0]:
        return ()
    return chain.upstream_ids[1:]


def _suspect_digests(
    state: RouterState, active: ActiveRequest, upstream_id: str, now_s: float
) -> None:
    running = (*state.active_requests.running_on(upstream_id), active)
    digests = frozenset(other.work.digest for other in running)
    fresh = frozenset(
        other.work.digest for other in running if other.first_token_s is None
    )
    upstream = state.upstreams.get(upstream_id)
    is_new = state.quarantine.record_loss(
        upstream_id, digests, not_generating=fresh, now_s=now_s
    )
    # A broken connection alone does not prove that the upstream is lost; a probe
    # confirms it.
    if is_new and upstream is not None:
        state.emit(Probe(upstream_id, upstream.address))


def handle_call_failure(
    state: RouterState, event: ev.ServiceCallFailed, now_s: float
) -> None:
    """Retry or end a service call after a failed attempt."""
    active = state.active_requests.get_running(event.request_id, event.attempt)
    if active is None or active.replica is None:
        return
    replica = active.replica
    if event.failure is ev.FailureKind.BUSY:
        state.pool.record_busy(replica)
    else:
        refused = event.failure is ev.FailureKind.NOT_SENT
        state.pool.record_failure(replica, refused=refused, now_s=now_s)
    end_attempt(state, active, now_s)
    replica_id = event.replica_id
    excluded = frozenset({replica_id})
    _retry_or_refuse(state, active, event.failure, replica_id, excluded, False, now_s)


def _retry_or_refuse(
    state: RouterState,
    active: ActiveRequest,
    failure: ev.FailureKind,
    upstream_id: str,
    excluded: frozenset[str],
    progressed: bool,
    now_s: float,
) -> None:
    active.may_have_run |= failure not in NOT_EXECUTED_FAILURES
    active.excluded |= excluded
    active.failures += 1
    active.last_failure_s = now_s
    active.last_error = UpstreamFailedError(upstream_id, failure.value)
    resume_s = max(state.config.ranks[active.rank].queue_s, MIN_RESUME_WAIT_S)
    state.active_requests.mark_waiting(
        active, min(active.work.deadline_s, now_s + resume_s)
    )
    target_state = state.target_states[active.target]
    target_state.resume_queues[active.rank][active.request_id] = None
    is_budget_exempt = failure in BUDGET_EXEMPT_FAILURES and (
        active.failures == 1 or progressed
    )
    active.not_before_s = (
        now_s if is_budget_exempt else now_s + _backoff_s(state, active)
    )
    error = _retry_error(state, active, failure, is_budget_exempt, now_s)
    if error is not None:
        refuse_request(state, active, error, now_s)


def _backoff_s(state: RouterState, active: ActiveRequest) -> float:
    retry = state.config.retry
    return backoff_s(
        active.failures,
        base_s=retry.backoff_base_s,
        cap_s=retry.backoff_cap_s,
        rng_seed=state.random.getrandbits(32),
    )


def _retry_error(
    state: RouterState,
    active: ActiveRequest,
    failure: ev.FailureKind,
    is_budget_exempt: bool,
    now_s: float,
) -> PersimmonwellError | None:
    """Return the error to end the request with, or None if it may be retried."""
    work = active.work
    may_repeat = not isinstance(work, ServiceCall) or work.repeatable
    if not may_repeat and failure is not ev.FailureKind.NOT_SENT:
        return active.last_error
    if active.attempt >= state.config.retry.max_attempts:
        return active.last_error
    queue = state.target_states[active.target].queue
    expected_s = queue.service_times.expected_s(active.remaining_tokens, now_s)
    if active.not_before_s + expected_s >= work.deadline_s:
        allowed_s = work.deadline_s - active.arrived_s
        return DeadlineExceededError(deadline_ms=allowed_s * 1000)
    if is_budget_exempt:
        return None
    if queue.backlogged_s(active.rank, now_s) >= RETRY_SHEDDING_BACKLOG_S:
        return OverloadedError(
            active.rank.name.lower(), "retry shed because of a backlog"
        )
    if not state.budget.try_spend(work.workspace):
        return active.last_error
    return None
