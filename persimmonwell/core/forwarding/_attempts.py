"""Progress of running attempts, and the decision after a failed one."""

import random

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._crash_reports import record_suspected_crash
from persimmonwell.core.forwarding._crashes import CrashTracker
from persimmonwell.core.forwarding._events import AttemptFailure, Decision, Ending
from persimmonwell.core.forwarding._model import RouteKind
from persimmonwell.core.forwarding._open_requests import OpenRequests
from persimmonwell.core.forwarding._sends import RequestSender
from persimmonwell.core.forwarding._stalls import StallDetector
from persimmonwell.core.forwarding._upstreams import UpstreamPool

REFUSAL_BACKOFF_S = 0.15
"""First back-off after repeated refusals of a request; it doubles each time."""
CRASH_CONFIRM_S = 0.1
"""Pause after a replica broke off the answer to a request that may crash replicas."""
MIN_RETRY_TIME_S = 0.05
"""Minimum time to the deadline for another attempt."""


class RunningAttempts:
    """Attempts that upstreams run; events of earlier attempts are ignored."""

    def __init__(
        self,
        *,
        requests: OpenRequests,
        sender: RequestSender,
        upstreams: UpstreamPool,
        crashes: CrashTracker,
        stalls: StallDetector,
        rng: random.Random,
    ) -> None:
        self._requests = requests
        self._sender = sender
        self._upstreams = upstreams
        self._crashes = crashes
        self._stalls = stalls
        self._random = rng

    def answer_opened(self, key: int, attempt: int) -> None:
        """Record that an upstream sent the head of a success."""
        active = self._requests.running_attempt(key, attempt)
        if active is not None:
            active.has_answer_head = True

    def answer_began(self, key: int, attempt: int, now_s: float) -> None:
        """Record that the first part of an answer was sent to the caller."""
        active = self._requests.running_attempt(key, attempt)
        if active is not None:
            active.has_partial_answer = True
            self._record_answer_part(active, now_s)

    def event_received(self, key: int, attempt: int, now_s: float) -> None:
        """Record an event of a stream."""
        active = self._requests.running_attempt(key, attempt)
        if active is not None:
            self._record_answer_part(active, now_s)

    def _record_answer_part(self, active: ActiveRequest, now_s: float) -> None:
        if active.has_answer_part:
            self._stalls.record_gap(active, now_s - active.last_event_s)
        elif active.route.kind is RouteKind.STREAM:
            first_events = self._requests.state_of(active).first_events
            first_events.record(now_s - active.sent_s)
        active.last_event_s = now_s
        active.refused_reroutes = 0
        if not active.has_answer_part:
            active.has_answer_part = True
            self._crashes.record_begin(now_s)

    def answer_completed(
        self, key: int, attempt: int, now_s: float
    ) -> tuple[Decision, ...]:
        """Close a request that was answered completely."""
        active = self._requests.running_attempt(key, attempt)
        if active is None:
            return ()
        self._upstreams.record_success(active, now_s)
        self._crashes.record_completion(active.request, now_s)
        if active.route.kind is not RouteKind.STREAM:
            self._record_answer_part(active, now_s)
        del self._requests.active[key]
        self._requests.detach(active)
        return self._sender.dispatch_queue(active.service.name, now_s)

    def attempt_failed(
        self,
        key: int,
        attempt: int,
        failure: AttemptFailure,
        now_s: float,
        *,
        fault_address: str | None = None,
        detail: str = "",
    ) -> tuple[Decision, ...]:
        """Retry the request if its route and the retry budget allow it, or end it."""
        active = self._requests.running_attempt(key, attempt)
        if active is None:
            return ()
        self._upstreams.record_failure(active, failure, fault_address, now_s)
        probes: tuple[Decision, ...] = ()
        if failure is AttemptFailure.BROKEN and active.replica_id is not None:
            probes = record_suspected_crash(
                self._crashes,
                self._upstreams.registry.replicas.get(active.replica_id),
                self._requests.active.values(),
                now_s,
            )
            if self._crashes.is_suspect(active.request):
                # The probe shows whether the request crashed it.
                active.not_before_s = now_s + CRASH_CONFIRM_S
        active.possible_runs += failure.has_run
        if failure is AttemptFailure.NO_CONNECTION and active.replica_id is not None:
            # Nothing was sent, so this replica does not count as tried.
            active.tried_replica_ids.discard(active.replica_id)
        self._requests.detach(active)
        decision = self._decide_after_failure(active, failure, detail, now_s)
        following = probes + self._sender.dispatch_queue(active.service.name, now_s)
        return following if decision is None else (decision, *following)

    def _decide_after_failure(
        self, active: ActiveRequest, failure: AttemptFailure, detail: str, now_s: float
    ) -> Decision | None:
        if active.may_have_run and not active.may_run_again:
            return self._requests.finish(active, Ending.UPSTREAM_FAILED, detail)
        remaining_s = active.deadline_s - now_s
        if failure is AttemptFailure.NOT_RUN:
            active.refusals += 1
            if active.refusals > 1:
                pause_s = REFUSAL_BACKOFF_S * 2.0 ** (active.refusals - 2)
                active.not_before_s = now_s + pause_s * self._random.uniform(0.7, 1.3)
        # After an error only another upstream is tried; the same one would repeat it.
        is_final = (
            failure is AttemptFailure.ERROR and not active.may_use_another_upstream
        )
        active.is_trial = active.is_trial and not failure.has_run
        if (cause := self._sender.quarantine_cause(active)) is not None:
            return self._sender.end_quarantined(active, cause)
        if is_final or not active.has_attempts_left:
            return self._requests.finish_failed(active, detail or failure.value, now_s)
        budget = self._requests.state_of(active).budget
        retry_allowed = budget.try_consume(now_s, host_count=self._requests.host_count)
        if remaining_s <= MIN_RETRY_TIME_S or not retry_allowed:
            return self._requests.finish_failed(active, detail or failure.value, now_s)
        send = self._sender.try_send(active, now_s)
        if send is not None:
            return send
        # Partly answered requests are queued too: callers wait 2 s for the next event.
        queued = self._sender.enqueue(active, now_s)
        return queued[0] if queued else None
