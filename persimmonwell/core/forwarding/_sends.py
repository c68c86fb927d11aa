"""Sends of requests to upstreams, the wait in the queue, and its end."""

from collections import Counter

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._crashes import CrashTracker
from persimmonwell.core.forwarding._events import (
    CancelAttempt,
    Decision,
    Ending,
    Finish,
    Send,
)
from persimmonwell.core.forwarding._intervals import IntervalEstimate
from persimmonwell.core.forwarding._model import RouteKind
from persimmonwell.core.forwarding._open_requests import OpenRequests
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from persimmonwell.core.forwarding._workspace_usage import WorkspaceUsage

QUEUE_SCAN_LIMIT = 6
"""Queued requests without capacity after which a pass over the queue ends."""


class RequestSender:
    """Queues of the services: sends what upstreams have capacity for."""

    def __init__(
        self,
        *,
        requests: OpenRequests,
        upstreams: UpstreamPool,
        crashes: CrashTracker,
        workspace_usage: WorkspaceUsage,
    ) -> None:
        self._requests = requests
        self._upstreams = upstreams
        self._crashes = crashes
        self._workspace_usage = workspace_usage

    def quarantine_cause(self, active: ActiveRequest) -> str | None:
        """Return the digest or prompt part because of which a request may not run."""
        return None if active.is_trial else self._crashes.find_cause(active.request)

    def end_quarantined(self, active: ActiveRequest, cause: str) -> Finish:
        """End a request that may not run, or not run again."""
        ending = Ending.QUARANTINED
        if active.may_have_run:
            ending = Ending.UPSTREAM_FAILED
        return self._requests.finish(active, ending, cause)

    def may_precede(self, active: ActiveRequest, now_s: float) -> bool:
        """Return whether a request may use a slot that the waiting reads leave."""
        kind = RouteKind.UNSAFE
        return (
            active.route.kind is kind
            and self._requests.state_of(active).queue.count_of_kind(kind) == 0
            and self._upstreams.slot_shares(active.service.name).may_use_kept(now_s)
        )

    def _expected_wait_s(self, active: ActiveRequest, now_s: float) -> float:
        shares = self._upstreams.slot_shares(active.service.name)
        return self._requests.state_of(active).queue.expected_wait_s(
            active, now_s, shares.rate_per_s
        )

    def enqueue(self, active: ActiveRequest, now_s: float) -> tuple[Decision, ...]:
        """Queue a request, or end it if it would wait for too long."""
        state = self._requests.state_of(active)
        queue = state.queue
        expected_s = self._expected_wait_s(active, now_s)
        limit_s = self._requests.max_wait_s(active, now_s, is_arrival=True)
        if expected_s > limit_s:
            if active.may_have_run:
                return (self._requests.finish(active, Ending.UPSTREAM_FAILED, "queue"),)
            return (self._requests.refuse(active, "queue", expected_s, now_s),)
        queue.add(active)
        return ()

    def expire_request(self, active: ActiveRequest, now_s: float) -> list[Decision]:
        """End a request that exceeds its queueing limit or its deadline."""
        if active.replica_id is None:
            max_wait_s = self._requests.max_wait_s(active, now_s)
            if now_s < active.deadline_s and active.waited_s(now_s) <= max_wait_s:
                return []
            if active.may_have_run:
                return [self._requests.finish(active, Ending.TIMED_OUT, "waited")]
            wait_s = self._expected_wait_s(active, now_s)
            return [self._requests.refuse(active, "waited", wait_s, now_s)]
        if now_s < active.deadline_s:
            return []
        cancel = CancelAttempt(active.key, active.attempt)
        return [cancel, self._requests.finish(active, Ending.TIMED_OUT, "time is over")]

    def dispatch_queue(self, name: str, now_s: float) -> tuple[Decision, ...]:
        """Send the queued requests of a service for which there is capacity."""
        queue = self._requests.services[name].queue
        if not len(queue):
            return ()
        decisions: list[Decision] = []
        blocked = Counter[RouteKind]()
        for active in queue.candidates(now_s):
            kind = active.route.kind
            if blocked[kind] >= QUEUE_SCAN_LIMIT:
                continue
            if (cause := self.quarantine_cause(active)) is not None:
                decisions.append(self.end_quarantined(active, cause))
                continue
            try:
                send = self.try_send(active, now_s)
            except Exception as error:
                # Raised again at each pass, it would keep the queue from all others.
                decisions += self._requests.end_faulted(active, error, was_sent=False)
                continue
            if send is None:
                blocked[kind] += 1
                if queue.has_only(
                    [k for k, n in blocked.items() if n >= QUEUE_SCAN_LIMIT]
                ):
                    break
                continue
            decisions.append(send)
        return tuple(decisions)

    def try_send(self, active: ActiveRequest, now_s: float) -> Send | None:
        """Send a request if an upstream has capacity for it now, else return None."""
        if now_s < active.not_before_s or self.quarantine_cause(active) is not None:
            return None
        engine = active.service.engine
        if engine is not None and engine.layers > 0:
            path = self._upstreams.choose_path(active, now_s)
            if path is None:
                return None
            active.path = path
            return self._send(
                active, path.first_stage.replica_id, path.first_stage.address, now_s
            )
        replica = self._upstreams.choose_replica(active, now_s)
        if replica is None:
            return None
        active.path = None
        return self._send(active, replica.replica_id, replica.address, now_s)

    def _send(
        self, active: ActiveRequest, replica_id: str, address: str, now_s: float
    ) -> Send:
        active.attempt += 1
        active.replica_id = replica_id
        active.tried_replica_ids.add(replica_id)
        active.has_answer_head = active.has_answer_part = False
        active.sent_s = active.last_event_s = now_s
        active.gaps = IntervalEstimate()
        self._upstreams.reserve(active)
        self._requests.state_of(active).queue.record_send(active, now_s)
        self._workspace_usage.record(
            active.service.name,
            active.priority_class,
            active.workspace,
            active.cost_tokens,
            now_s,
        )
        self._upstreams.rate_limits.record_send(replica_id)
        return Send(
            key=active.key,
            attempt=active.attempt,
            replica_id=replica_id,
            address=address,
            path=active.path,
            deadline_s=active.deadline_s,
            may_reuse_idle_connection=active.route.is_retryable,
            tenant=active.tenant.name if active.tenant is not None else None,
            crossing=self._upstreams.crossing(active),
        )
