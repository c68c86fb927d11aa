"""Requests of one host without a final answer, and how they end."""

import random

import attrs

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._budget import RetryBudget
from persimmonwell.core.forwarding._caller_retries import CallerRetryTracker
from persimmonwell.core.forwarding._events import (
    CancelAttempt,
    Decision,
    Ending,
    Finish,
)
from persimmonwell.core.forwarding._intervals import IntervalEstimate
from persimmonwell.core.forwarding._overload import MAX_DEFERRAL_SHARE, Overload
from persimmonwell.core.forwarding._plain_waits import is_plain, max_plain_wait_s
from persimmonwell.core.forwarding._queue import RequestQueue
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from persimmonwell.core.forwarding._wait_facts import WaitFacts
from persimmonwell.core.forwarding._workspace_usage import WorkspaceUsage

NOT_READY_RETRY_AFTER_S = 1.0
"""Retry-After of a host that lacks its configuration, an upstream, or has failed."""
MIN_RETRY_AFTER_S = 0.5
"""Least Retry-After, before the jitter of up to a half."""


@attrs.define
class ServiceState:
    """Retry budget, queue, overload and pace of one service."""

    budget: RetryBudget
    queue: RequestQueue = attrs.field(factory=RequestQueue)
    overload: Overload = attrs.field(factory=Overload)
    first_events: IntervalEstimate = attrs.field(factory=IntervalEstimate)
    """Times from the sends of streams to their first events."""


class OpenRequests:
    """Open requests of one host by key, with the state of their services."""

    def __init__(
        self,
        *,
        services: dict[str, ServiceState],
        upstreams: UpstreamPool,
        caller_retries: CallerRetryTracker,
        workspace_usage: WorkspaceUsage,
        rng: random.Random,
    ) -> None:
        self._upstreams = upstreams
        self._caller_retries = caller_retries
        self._workspace_usage = workspace_usage
        self._random = rng
        self.services = services
        self.active: dict[int, ActiveRequest] = {}
        self.is_stopping = False
        """Whether the host refuses new requests, since it will stop."""
        self.host_count = 1
        """Hosts of the fleet that this host knows of, with itself."""

    def state_of(self, active: ActiveRequest) -> ServiceState:
        """Return the state of a request's service."""
        return self.services[active.service.name]

    def running_attempt(self, key: int, attempt: int) -> ActiveRequest | None:
        """Return the request of an attempt, None if that attempt has ended."""
        active = self.active.get(key)
        if active is None or active.attempt != attempt or active.replica_id is None:
            return None
        return active

    def refuse_waiting(self, now_s: float) -> tuple[Decision, ...]:
        """Refuse the queued requests that have not run.

        A host that is about to stop could only break them off.
        """
        return tuple(
            self.refuse(active, "stopping", 0.0, now_s)
            for state in self.services.values()
            for active in state.queue
            if not active.may_have_run
        )

    def end_open_requests(self, now_s: float) -> tuple[Decision, ...]:
        """Give every open request its final answer, since the host stops now."""
        decisions: list[Decision] = []
        for active in list(self.active.values()):
            if active.replica_id is not None:
                decisions.append(CancelAttempt(active.key, active.attempt))
                active.possible_runs += 1
            decisions.append(self.finish_failed(active, "stopping", now_s))
        return tuple(decisions)

    def end_faulted_by_key(
        self, key: int, error: Exception, *, was_sent: bool
    ) -> tuple[Decision, ...]:
        """End a request on which an unexpected error of the host was raised.

        Frees its place and its reservations. was_sent tells whether any attempt
        reached a connection.
        """
        active = self.active.get(key)
        if active is not None:
            return self.end_faulted(active, error, was_sent=was_sent)
        return (_finish_faulted(key, error, may_have_run=was_sent),)

    def end_faulted(
        self, active: ActiveRequest, error: Exception, *, was_sent: bool = True
    ) -> tuple[Decision, ...]:
        """End an open request on which an unexpected error was raised."""
        is_running = active.replica_id is not None
        active.possible_runs += is_running and was_sent
        del self.active[active.key]
        self.detach(active)
        finish = _finish_faulted(active.key, error, may_have_run=active.may_have_run)
        cancel = (CancelAttempt(active.key, active.attempt),) if is_running else ()
        return (*cancel, attrs.evolve(finish, route=active.route))

    def finish_failed(self, active: ActiveRequest, detail: str, now_s: float) -> Finish:
        """End a request whose last attempt failed; refuse it if none has run."""
        if active.may_have_run:
            return self.finish(active, Ending.UPSTREAM_FAILED, detail)
        return self.refuse(active, detail, 0.0, now_s)

    def detach(self, active: ActiveRequest) -> None:
        """Release a request's replica and remove it from the queue."""
        self._upstreams.release(active)
        active.replica_id = None
        self.state_of(active).queue.discard(active)

    def max_wait_s(
        self, active: ActiveRequest, now_s: float, *, is_arrival: bool = False
    ) -> float:
        """Return how long a request may wait: in an overload, only for a timely answer.

        Waiting longer would take the place of a request that can be answered in time.
        A plain request that would be late is refused on arrival in any case, once the
        rate at which slots become free is known.
        """
        is_overloaded = self.state_of(active).overload.is_current(now_s)
        if is_plain(active):
            shares = self._upstreams.slot_shares(active.service.name)
            if is_overloaded or (is_arrival and shares.rate_per_s > 0.0):
                return max_plain_wait_s(active, shares.answer_s)
            return active.max_wait_s
        if is_overloaded:
            first_event_s = self.state_of(active).first_events.usual_s
            return min(active.max_wait_s, active.max_timely_wait_s(first_event_s))
        return active.max_wait_s

    def wait_facts(self, active: ActiveRequest, now_s: float) -> WaitFacts:
        """Return what decides about the wait of a request."""
        return WaitFacts(
            priority_class=active.priority_class,
            is_caller_retry=active.is_caller_retry,
            allowed_wait_s=self.max_wait_s(active, now_s),
            report_age_s=self._upstreams.loads.shared.report_age_s(now_s),
        )

    def refuse(
        self, active: ActiveRequest, detail: str, wait_s: float, now_s: float
    ) -> Finish:
        """End a request that has not run, and record it for the caller's retry."""
        facts = self.wait_facts(active, now_s)
        facts = attrs.evolve(facts, expected_wait_s=wait_s or None)
        if not self.is_stopping:
            state = self.state_of(active)
            state.overload.record_refusal(now_s)
            rate_per_s = state.queue.send_rate_per_s(now_s)
            end_s = state.overload.expected_end_s(now_s, send_rate_per_s=rate_per_s)
            limit_s = MAX_DEFERRAL_SHARE * (active.deadline_s - now_s)
            # Jitter downwards, so that a deferral stays within the caller's time.
            deferral_s = min(end_s, limit_s) * self._random.uniform(0.75, 1.0)
            wait_s = max(wait_s, deferral_s)
        finish = self.finish(active, Ending.OVERLOADED, detail, wait_s)
        finish = attrs.evolve(finish, facts=facts)
        self._caller_retries.record_refusal(
            active.request.digest, retry_s=finish.retry_after_s, now_s=now_s
        )
        return finish

    def finish(
        self, active: ActiveRequest, ending: Ending, detail: str, wait_s: float = 0.0
    ) -> Finish:
        """End a request and free its place, its reservations and its replica."""
        ahead = self.state_of(active).queue.count_ahead_of(active)
        self.detach(active)
        self.active.pop(active.key, None)
        # Jitter, so that callers do not retry together.
        retry_s = max(wait_s, MIN_RETRY_AFTER_S * self._random.uniform(1.0, 1.5))
        return Finish(
            active.key,
            ending,
            retry_s,
            detail,
            route=active.route,
            requests_ahead=ahead if ending is Ending.OVERLOADED else None,
            tenant=active.tenant.name if active.tenant is not None else None,
            share=self._usage_share(active) if ending is Ending.OVERLOADED else None,
        )

    def _usage_share(self, active: ActiveRequest) -> float:
        return self._workspace_usage.share(
            active.service.name, active.priority_class, active.workspace
        )


def _finish_faulted(key: int, error: Exception, *, may_have_run: bool) -> Finish:
    ending = Ending.UPSTREAM_FAILED if may_have_run else Ending.NOT_READY
    detail = type(error).__name__
    return Finish(key, ending, NOT_READY_RETRY_AFTER_S, detail, error=error)
