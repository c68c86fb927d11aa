"""Forwarding router: admission, queueing, upstream selection, retries and deadlines."""

import random
from collections import defaultdict
from collections.abc import Mapping, Sequence
from functools import partial
from itertools import product

import attrs

from persimmonwell.core.forwarding._active import (
    NO_WORKSPACE,
    ActiveRequest,
    PriorityClass,
)
from persimmonwell.core.forwarding._budget import RetryBudget
from persimmonwell.core.forwarding._caller_retries import CallerRetryTracker
from persimmonwell.core.forwarding._crashes import CrashTracker, CrashVerdict
from persimmonwell.core.forwarding._events import (
    AttemptFailure,
    CancelAttempt,
    CrashResolved,
    CrashSuspected,
    Decision,
    Ending,
    Finish,
    HoldOffStated,
    LeavingChanged,
    ProbeReplica,
    Quarantined,
    RateLimitChanged,
    Reroute,
    Send,
)
from persimmonwell.core.forwarding._health import ReplicaHealth
from persimmonwell.core.forwarding._loads import LoadTable
from persimmonwell.core.forwarding._model import (
    CallerRequest,
    ForwardingConfig,
    Replica,
    ReplicaReport,
    Route,
    RouteKind,
)
from persimmonwell.core.forwarding._overload import MAX_DEFERRAL_SHARE, Overload
from persimmonwell.core.forwarding._queue import RequestQueue
from persimmonwell.core.forwarding._rate_limits import ReplicaRateLimits
from persimmonwell.core.forwarding._registry import ReplicaRegistry
from persimmonwell.core.forwarding._routes import (
    ResolvedRoute,
    RouteTable,
    UnknownKeyError,
    UnknownRouteError,
)
from persimmonwell.core.forwarding._stalls import StallDetector
from persimmonwell.core.forwarding._statements import (
    LeavingNotice,
    LeavingReplicas,
    ReplicaStatement,
)
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from persimmonwell.core.forwarding._wait_facts import WaitFacts
from persimmonwell.core.forwarding._workspace_usage import (
    WorkspaceTokens,
    WorkspaceUsage,
)
from persimmonwell.core.retry import Blame, PartEvidence

DEFAULT_CALLER_TIMEOUT_S = 30.0
"""Timeout of a caller that does not state one."""
NOT_READY_RETRY_AFTER_S = 1.0
STOPPING_RETRY_AFTER_S = 0.1
MIN_RETRY_AFTER_S = 0.5
QUEUE_SCAN_LIMIT = 6
"""Queued requests without capacity after which a pass over the queue ends."""
REROUTE_SILENCE_S = 0.1
"""Silence after which a stream is rerouted; one with an event in the last few steps
does not wait for a dead stage."""
MIN_REROUTE_INTERVAL_S = 0.25
"""Minimum interval between two path changes of a request; each repeats its prefill. The
next stage may be lost too, which takes the same silence to find out."""
FULL_KV_SHARE = 0.6
"""Share of used KV memory from which a refusal may mean that the replica is full; the
margin is for reports that are some 200 ms old."""
REFUSAL_BACKOFF_S = 0.15
"""First back-off after repeated refusals of a request; it doubles each time."""
CRASH_CONFIRM_S = 0.1
"""Pause after a replica broke off before the first part of an answer to a prompt."""
MIN_RETRY_TIME_S = 0.05
"""Minimum time to the deadline for another attempt."""


@attrs.define
class _ServiceState:
    budget: RetryBudget
    queue: RequestQueue = attrs.field(factory=RequestQueue)
    overload: Overload = attrs.field(factory=Overload)


class ForwardingRouter:
    """Turns events of callers, upstreams, peers and the clock into decisions.

    It holds the open requests of one host and its view of the replicas. All times are
    seconds of one monotonic clock.
    """

    def __init__(
        self,
        *,
        availability_zone: str,
        seed: int,
        retry_ratio: float,
        retry_slack: float,
        retry_window_s: float,
    ) -> None:
        self._random = random.Random(seed)
        self._upstreams = UpstreamPool(
            availability_zone=availability_zone, rng=self._random
        )
        self._stalls = StallDetector()
        self.crashes = CrashTracker()
        self.caller_retries = CallerRetryTracker()
        self.workspace_usage = WorkspaceUsage()
        self._route_table: RouteTable | None = None
        self.host_count = 1
        """Hosts of the fleet that this host knows of, with itself."""
        self.peer_config_version = 0
        """Newest configuration version that a live peer has read."""
        self._known_classes: frozenset[PriorityClass] = frozenset()
        """Priority classes that the configuration in force allows for."""
        self._active: dict[int, ActiveRequest] = {}
        self._is_stopping = False
        self._new_retry_budget = partial(
            RetryBudget, ratio=retry_ratio, slack=retry_slack, window_s=retry_window_s
        )
        self._services: dict[str, _ServiceState] = defaultdict(
            lambda: _ServiceState(self._new_retry_budget())
        )

    @property
    def config(self) -> ForwardingConfig | None:
        """Return the configuration in force."""
        return self._route_table.config if self._route_table is not None else None

    @property
    def registry(self) -> ReplicaRegistry:
        """Return the registry of replicas."""
        return self._upstreams.registry

    @property
    def loads(self) -> LoadTable:
        """Return the loads of the replicas over all hosts."""
        return self._upstreams.loads

    @property
    def health(self) -> ReplicaHealth:
        """Return the health of the replicas."""
        return self._upstreams.health

    @property
    def rate_limits(self) -> ReplicaRateLimits:
        """Return the rate limits that replicas stated."""
        return self._upstreams.rate_limits

    @property
    def leaving(self) -> LeavingReplicas:
        """Return the replicas that stated that they leave."""
        return self._upstreams.leaving

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration and a registered replica are known."""
        return self._route_table is not None and bool(self.registry.replicas)

    @property
    def _is_behind_peers(self) -> bool:
        version = self.config.version if self.config is not None else 0
        return version < self.peer_config_version

    @property
    def queued_request_count(self) -> int:
        """Return how many requests wait for capacity, over all services."""
        return sum(len(state.queue) for state in self._services.values())

    @property
    def queued_by_priority(self) -> dict[int, int]:
        """Return how many requests wait by the priority of their tenant or route."""
        counts: dict[int, int] = defaultdict(int)
        for state in self._services.values():
            for (priority, _), size in state.queue.sizes.items():
                counts[priority] += size
        return counts

    @property
    def open_request_count(self) -> int:
        """Return how many requests have no final answer, queued ones included."""
        return len(self._active)

    def configure(self, config: ForwardingConfig) -> bool:
        """Apply a newer configuration; return False for one that is not newer."""
        current = self.config
        if current is not None and config.version <= current.version:
            return False
        self._route_table = RouteTable(config)
        of_routes = {route.priority for route in config.routes}
        of_tenants = {
            tenant.priority
            for tenant in config.tenants or ()
            if tenant.priority is not None
        }
        self._known_classes = frozenset(product(of_routes | of_tenants, of_routes))
        return True

    def set_retry_budget(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Change the limits; requests and retries already counted stay counted."""
        self._new_retry_budget = partial(
            RetryBudget, ratio=ratio, slack=slack, window_s=window_s
        )
        for state in self._services.values():
            state.budget.configure(ratio=ratio, slack=slack, window_s=window_s)

    def route_of(self, key: int) -> Route | None:
        """Return the route of an open request, None for an unknown key."""
        active = self._active.get(key)
        return active.route if active is not None else None

    def live_replicas(self, service: str, now_s: float) -> tuple[Replica, ...]:
        """Return the replicas of a service that are neither draining nor lost."""
        return self._upstreams.live(service, now_s)

    # Events of callers

    def request_arrived(
        self, key: int, request: CallerRequest, now_s: float
    ) -> tuple[Decision, ...]:
        """Send, queue or refuse a new request."""
        if self._route_table is None or self._is_stopping:
            if self._is_stopping:
                # The other hosts are ready, so the caller may come back at once.
                return (Finish(key, Ending.NOT_READY, STOPPING_RETRY_AFTER_S, "stop"),)
            return (
                Finish(key, Ending.NOT_READY, NOT_READY_RETRY_AFTER_S, "no config"),
            )
        try:
            resolved = self._route_table.resolve(request, draw=self._random.random())
        except (UnknownRouteError, UnknownKeyError) as error:
            if self._is_behind_peers:
                # A newer configuration may have the route or the key.
                detail = "configuration is behind"
                retry_after_s = NOT_READY_RETRY_AFTER_S
                return (Finish(key, Ending.NOT_READY, retry_after_s, detail),)
            if isinstance(error, UnknownKeyError):
                return (Finish(key, Ending.UNKNOWN_KEY),)
            return (Finish(key, Ending.UNKNOWN_ROUTE, detail=request.path),)
        active = self._active[key] = _open_request(key, request, resolved, now_s)
        active.is_caller_retry = self.caller_retries.pop_refusal(request.digest, now_s)
        state = self._state_of(active)
        state.budget.record_request(now_s)
        cause = self.crashes.find_cause(request)
        active.is_trial = cause is not None and self.crashes.begin_trial(cause, now_s)
        if (cause := self._quarantine_cause(active)) is not None:
            return (self._finish(active, Ending.QUARANTINED, cause),)
        if not self._upstreams.available(active.service.name):
            return (self._finish(active, Ending.NOT_READY, "no replica"),)
        hold_off_s = self._upstreams.hold_off_s(active.service.name, now_s)
        if hold_off_s > active.max_wait_s:
            return (self._refuse(active, "replicas hold off", hold_off_s, now_s),)
        if state.queue.count_ahead_of(active) == 0:
            send = self._try_send(active, now_s)
            if send is not None:
                return (send,)
        return self._enqueue(active, now_s)

    def _quarantine_cause(self, active: ActiveRequest) -> str | None:
        """Return the digest or prompt part because of which a request may not run."""
        return None if active.is_trial else self.crashes.find_cause(active.request)

    def _end_quarantined(self, active: ActiveRequest, cause: str) -> Finish:
        ending = Ending.QUARANTINED
        if active.may_have_run:
            ending = Ending.UPSTREAM_FAILED
        return self._finish(active, ending, cause)

    def _enqueue(self, active: ActiveRequest, now_s: float) -> tuple[Decision, ...]:
        state = self._state_of(active)
        queue = state.queue
        expected_s = queue.expected_wait_s(active, now_s)
        limit_s = self._max_wait_s(active, now_s)
        if expected_s > limit_s:
            if active.may_have_run:
                return (self._finish(active, Ending.UPSTREAM_FAILED, "queue"),)
            return (self._refuse(active, "queue", expected_s, now_s),)
        queue.add(active)
        return ()

    def _max_wait_s(self, active: ActiveRequest, now_s: float) -> float:
        """Return how long a request may wait: in an overload, only for a timely answer.

        Waiting longer would take the place of a request that can be answered in time.
        """
        if self._state_of(active).overload.is_current(now_s):
            return min(active.max_wait_s, active.max_timely_wait_s)
        return active.max_wait_s

    def stop_arrivals(self) -> None:
        """Refuse the requests that arrive from now on, since the host will stop."""
        self._is_stopping = True

    def refuse_waiting(self, now_s: float) -> tuple[Decision, ...]:
        """Refuse the queued requests that have not run.

        A host that is about to stop could only break them off.
        """
        return tuple(
            self._refuse(active, "stopping", 0.0, now_s)
            for state in self._services.values()
            for active in state.queue
            if not active.may_have_run
        )

    def end_open_requests(self, now_s: float) -> tuple[Decision, ...]:
        """Give every open request its final answer, since the host stops now."""
        decisions: list[Decision] = []
        for active in list(self._active.values()):
            if active.replica_id is not None:
                decisions.append(CancelAttempt(active.key, active.attempt))
                active.possible_runs += 1
            decisions.append(self._finish_failed(active, "stopping", now_s))
        return tuple(decisions)

    def end_faulted(
        self, key: int, error: Exception, *, was_sent: bool
    ) -> tuple[Decision, ...]:
        """End a request on which an unexpected error of the host was raised.

        Frees its place and its reservations. was_sent tells whether any attempt
        reached a connection.
        """
        active = self._active.get(key)
        if active is not None:
            return self._end_faulted(active, error, was_sent=was_sent)
        return (_finish_faulted(key, error, may_have_run=was_sent),)

    def _end_faulted(
        self, active: ActiveRequest, error: Exception, *, was_sent: bool = True
    ) -> tuple[Decision, ...]:
        is_running = active.replica_id is not None
        active.possible_runs += is_running and was_sent
        del self._active[active.key]
        self._detach(active)
        finish = _finish_faulted(active.key, error, may_have_run=active.may_have_run)
        cancel = (CancelAttempt(active.key, active.attempt),) if is_running else ()
        return (*cancel, attrs.evolve(finish, route=active.route))

    def caller_left(self, key: int, now_s: float) -> tuple[Decision, ...]:
        """Drop a request whose caller closed its connection, and cancel its attempt."""
        active = self._active.pop(key, None)
        if active is None:
            return ()
        is_running = active.replica_id is not None
        self._detach(active)
        cancel = (CancelAttempt(key, active.attempt),) if is_running else ()
        return cancel + self._dispatch_queue(active.service.name, now_s)

    # Events of upstreams

    def limit_stated(
        self, key: int, attempt: int, rate_per_s: float | None, now_s: float
    ) -> tuple[Decision, ...]:
        """Record the rate limit in an answer's head, None if it states none."""
        active = self._running_attempt(key, attempt)
        if active is None or active.replica_id is None:
            return ()
        replica = self.registry.replicas.get(active.replica_id)
        if replica is None:
            return ()
        if not self.rate_limits.record(replica, rate_per_s, now_s):
            return ()
        return (RateLimitChanged(replica.replica_id, rate_per_s),)

    def statement_received(
        self, key: int, attempt: int, statement: ReplicaStatement, now_s: float
    ) -> tuple[Decision, ...]:
        """Record what the head of an answer says about its replica."""
        active = self._running_attempt(key, attempt)
        if active is None or active.replica_id is None:
            return ()
        return self.replica_stated(active.replica_id, statement, now_s)

    def replica_stated(
        self, replica_id: str, statement: ReplicaStatement, now_s: float
    ) -> tuple[Decision, ...]:
        """Record what a replica says about itself in an answer of any kind."""
        replica = self.registry.replicas.get(replica_id)
        if replica is None:
            return ()
        decisions: list[Decision] = []
        if statement.is_leaving:
            if self.leaving.record(replica, now_s):
                decisions.append(LeavingChanged(replica_id, True))
        elif not self._upstreams.available(replica.service):
            # Only a service without other replicas takes its answer for a correction;
            # an answer may also have been on its way when the replica began to leave.
            if self.leaving.retract(replica, now_s):
                decisions.append(LeavingChanged(replica_id, False))
        seconds = statement.hold_off_s
        if seconds is not None and self._upstreams.refusals.record_hold_off(
            replica, seconds, now_s
        ):
            decisions.append(HoldOffStated(replica_id, seconds))
        return tuple(decisions)

    def record_peer_notice(
        self, notice: LeavingNotice, now_s: float
    ) -> tuple[Decision, ...]:
        """Record a replica that stated to a peer that it leaves."""
        replica_id, _ = notice.incarnation
        if not self.leaving.record_notice(notice, now_s):
            return ()
        return (LeavingChanged(replica_id, True, is_from_peer=True),)

    def answer_opened(self, key: int, attempt: int) -> None:
        """Record that an upstream sent the head of a success."""
        active = self._running_attempt(key, attempt)
        if active is not None:
            active.has_answer_head = True

    def answer_began(self, key: int, attempt: int, now_s: float) -> None:
        """Record that the first part of an answer was sent to the caller."""
        active = self._running_attempt(key, attempt)
        if active is not None:
            active.has_partial_answer = True
            self._record_answer_part(active, now_s)

    def event_received(self, key: int, attempt: int, now_s: float) -> None:
        """Record an event of a stream."""
        active = self._running_attempt(key, attempt)
        if active is not None:
            self._record_answer_part(active, now_s)

    def _record_answer_part(self, active: ActiveRequest, now_s: float) -> None:
        if active.has_answer_part:
            self._stalls.record_gap(now_s - active.last_event_s)
        active.last_event_s = now_s
        if not active.has_answer_part:
            active.has_answer_part = True
            self.crashes.record_answer(active.request, now_s)

    def answer_completed(
        self, key: int, attempt: int, now_s: float
    ) -> tuple[Decision, ...]:
        """Close a request that was answered completely."""
        active = self._running_attempt(key, attempt)
        if active is None:
            return ()
        self._upstreams.record_success(active, now_s)
        self.crashes.record_completion(active.request.digest)
        if active.route.kind is not RouteKind.STREAM:
            self._record_answer_part(active, now_s)
        del self._active[key]
        self._detach(active)
        return self._dispatch_queue(active.service.name, now_s)

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
        active = self._running_attempt(key, attempt)
        if active is None:
            return ()
        self._upstreams.record_failure(active, failure, fault_address, now_s)
        probes: tuple[Decision, ...] = ()
        if failure is AttemptFailure.BROKEN and active.replica_id is not None:
            probes = self._record_suspected_crash(active.replica_id, now_s)
            if active.is_starting and self.crashes.is_suspect(active.request):
                # The probe shows whether the request crashed it.
                active.not_before_s = now_s + CRASH_CONFIRM_S
        active.possible_runs += failure.has_run
        if failure is AttemptFailure.NO_CONNECTION and active.replica_id is not None:
            # Nothing was sent, so this replica does not count as tried.
            active.tried_replica_ids.discard(active.replica_id)
        self._detach(active)
        decision = self._decide_after_failure(active, failure, detail, now_s)
        following = probes + self._dispatch_queue(active.service.name, now_s)
        return following if decision is None else (decision, *following)

    def _record_suspected_crash(
        self, replica_id: str, now_s: float
    ) -> tuple[Decision, ...]:
        """Record that a replica may have crashed on one of its requests.

        Returns a report and a probe to confirm the crash, if there are requests to
        attribute it to.
        """
        replica = self.registry.replicas.get(replica_id)
        if replica is None:
            return ()
        running = [
            active for active in self._active.values() if replica_id in active.reserved
        ]
        if not self.crashes.record_replica_failure(replica, running, now_s):
            return ()
        starting = tuple(active.request for active in running if active.is_starting)
        return (
            CrashSuspected(replica_id, starting, len(running)),
            ProbeReplica(replica_id, replica.address),
        )

    def _decide_after_failure(
        self, active: ActiveRequest, failure: AttemptFailure, detail: str, now_s: float
    ) -> Decision | None:
        if active.may_have_run and not active.may_run_again:
            return self._finish(active, Ending.UPSTREAM_FAILED, detail)
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
        if (cause := self._quarantine_cause(active)) is not None:
            return self._end_quarantined(active, cause)
        if is_final or not active.has_attempts_left:
            return self._finish_failed(active, detail or failure.value, now_s)
        budget = self._state_of(active).budget
        retry_allowed = budget.try_consume(now_s, host_count=self.host_count)
        if remaining_s <= MIN_RETRY_TIME_S or not retry_allowed:
            return self._finish_failed(active, detail or failure.value, now_s)
        send = self._try_send(active, now_s)
        if send is not None:
            return send
        # Partly answered requests are queued too: callers wait 2 s for the next event.
        queued = self._enqueue(active, now_s)
        return queued[0] if queued else None

    def _finish_failed(
        self, active: ActiveRequest, detail: str, now_s: float
    ) -> Finish:
        if active.may_have_run:
            return self._finish(active, Ending.UPSTREAM_FAILED, detail)
        return self._refuse(active, detail, 0.0, now_s)

    def record_peer_evidence(
        self, evidence: PartEvidence, now_s: float
    ) -> tuple[Decision, ...]:
        """Merge a peer's evidence about a prompt part under which replicas crash."""
        return _quarantine_decisions(self.crashes.record_peer_evidence(evidence, now_s))

    def record_peer_blame(self, blame: Blame, now_s: float) -> tuple[Decision, ...]:
        """Record a crash that a peer attributed to a request."""
        return _quarantine_decisions(self.crashes.record_peer_blame(blame, now_s))

    def record_peer_usage(
        self, peer: str, rows: Sequence[WorkspaceTokens], now_s: float
    ) -> None:
        """Charge the workspaces for what a peer gave them.

        What the configuration in force does not name is left out, so that a peer
        cannot make the tables grow.
        """
        config = self.config
        if config is None or not rows:
            return
        services = {service.name for service in config.services}
        workspaces = {tenant.name for tenant in config.tenants or ()} | {NO_WORKSPACE}
        known = [
            row
            for row in rows
            if row.service in services
            and row.workspace in workspaces
            and row.priority_class in self._known_classes
        ]
        for row in self.workspace_usage.merge_peer(peer, known, now_s):
            self._services[row.service].queue.charge(
                row.priority_class, row.workspace, row.tokens, now_s
            )

    # Stalled stages

    def stall_report_received(
        self, first_replica_id: str, stalled: Mapping[str, str], now_s: float
    ) -> tuple[Decision, ...]:
        """Handle a first replica's report: addresses of stalled stages by request id.

        Every request that passes through such a stage is rerouted, including those
        that the report does not list yet.
        """
        decisions: tuple[Decision, ...] = ()
        for address in sorted(set(stalled.values())):
            for replica in self._upstreams.suspect_address(address, now_s):
                decisions += self._record_suspected_crash(replica.replica_id, now_s)
        if stalled:
            self._stalls.defer_query(first_replica_id, now_s)
            return decisions + self._reroute_off_suspects(now_s)
        return self._stalls.due_stage_probes(
            self._active.values(), first_replica_id, now_s
        )

    def replica_unresponsive(
        self, replica_id: str, now_s: float
    ) -> tuple[Decision, ...]:
        """Handle a probe whose answer takes unusually long; it may still arrive."""
        self._upstreams.suspect(replica_id, now_s)
        return self._reroute_off_suspects(now_s)

    def replica_probed(
        self,
        replica_id: str,
        report: ReplicaReport | None,
        now_s: float,
        *,
        is_alive: bool,
    ) -> tuple[Decision, ...]:
        """Handle a probe's result; report is None where the service has no pipeline."""
        if not is_alive:
            self._upstreams.suspect(replica_id, now_s)
        was_suspected = self.health.record_probe(
            replica_id, is_alive=is_alive, now_s=now_s
        )
        verdict = self.crashes.record_probe(
            replica_id, is_lost=not is_alive, now_s=now_s
        )
        resolved = _verdict_decisions(replica_id, verdict)
        if not is_alive:
            return resolved + self._reroute_off_suspects(now_s)
        if report is None:
            return resolved
        self.loads.record_report(replica_id, report.kv_used, now_s)
        self.health.record_slowness(replica_id, report.slowness, now_s)
        if was_suspected and report.kv_used < FULL_KV_SHARE * report.kv_total:
            # It is alive and has capacity but refused a request: it is draining, or
            # unloads the requested layers.
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                self.health.record_refusal_with_capacity(
                    replica_id, replica.incarnation, now_s
                )
        return resolved

    def registry_changed(
        self, changed: Mapping[str, Replica | None], now_s: float
    ) -> tuple[Decision, ...]:
        """Handle new and changed registry entries; None marks a removed one."""
        decisions: tuple[Decision, ...] = ()
        for replica_id, replica in changed.items():
            self.health.clear_refusals(replica_id)
            if replica is None:
                verdict = self.crashes.record_probe(
                    replica_id, is_lost=True, now_s=now_s
                )
                decisions += _verdict_decisions(replica_id, verdict)
        registered = set(self.registry.replicas)
        self.health.prune(registered)
        self._upstreams.refusals.prune(registered, now_s)
        self._stalls.prune(registered)
        return decisions

    def _reroute_off_suspects(self, now_s: float) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        for active in list(self._active.values()):
            if active.path is None or active.replica_id is None:
                continue
            if active.silent_s(now_s) < REROUTE_SILENCE_S:
                continue
            later_stages = active.path.stages[1:]
            if any(
                self.health.is_ejected(stage.replica_id, now_s)
                for stage in later_stages
            ):
                try:
                    decisions += self._move_off_stage(active, now_s)
                except Exception as error:
                    decisions += self._end_faulted(active, error)
        return tuple(decisions)

    def _move_off_stage(
        self, active: ActiveRequest, now_s: float
    ) -> tuple[Decision, ...]:
        """Reroute a request within its zone, or else restart it in another zone.

        If neither is possible it stays where it is, since the stage may recover.
        """
        if now_s - active.rerouted_s < MIN_REROUTE_INTERVAL_S:
            return ()
        reroute = self._reroute(active, now_s)
        if reroute is not None:
            return (reroute,)
        state = self._state_of(active)
        if not active.may_run_again or not active.has_attempts_left:
            return ()
        if len(state.queue) > 0:
            # The repeated prefill would take capacity that queued requests wait for.
            return ()
        if not state.budget.allows_retry(now_s, host_count=self.host_count):
            return ()
        attempt, path, replica_id = active.attempt, active.path, active.replica_id
        self._upstreams.release(active)
        send = self._try_send(active, now_s)
        if send is None:
            active.path, active.replica_id = path, replica_id
            self._upstreams.reserve(active)
            return ()
        state.budget.record_retry(now_s)
        active.possible_runs += 1
        active.rerouted_s = now_s
        return (CancelAttempt(active.key, attempt), send)

    def _reroute(self, active: ActiveRequest, now_s: float) -> Reroute | None:
        assert active.path is not None
        first_stage = active.path.first_stage
        replica = self.registry.replicas.get(first_stage.replica_id)
        if replica is None:
            return None
        # The request's own reservation must not count as load.
        self._upstreams.release(active)
        path = self._upstreams.find_path_in_zone(
            active, replica.availability_zone, now_s, first_stage=first_stage
        )
        active.path = path or active.path
        self._upstreams.reserve(active)
        if path is None:
            return None
        active.rerouted_s = now_s
        return Reroute(active.key, active.attempt, path.first_stage.address, path)

    # Timers

    def tick(self, now_s: float) -> tuple[Decision, ...]:
        """Expire what is due, query stalls, probe suspects and send queued requests."""
        decisions: list[Decision] = []
        self.loads.expire_peers(now_s)
        self.workspace_usage.expire(now_s)
        decisions += [
            RateLimitChanged(replica_id, None)
            for replica_id in self.rate_limits.expire(
                now_s, self.registry.has_incarnation
            )
        ]
        self.registry.expire(now_s)
        self.leaving.expire(now_s)
        decisions += _quarantine_decisions(self.crashes.expire(now_s))
        for active in list(self._active.values()):
            try:
                decisions += self._expire_request(active, now_s)
            except Exception as error:
                decisions += self._end_faulted(active, error)
        streams = [
            active
            for active in self._active.values()
            if active.replica_id is not None and active.route.kind is RouteKind.STREAM
        ]
        decisions += self._stalls.due_queries(streams, now_s)
        decisions += self._stalls.due_early_probes(streams, now_s)
        for replica_id in self.health.due_probes(now_s):
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                decisions.append(ProbeReplica(replica_id, replica.address))
        for name in list(self._services):
            decisions += self._dispatch_queue(name, now_s)
            # A service that lost all its replicas by a mistake of theirs comes back.
            decisions += [
                ProbeReplica(replica.replica_id, replica.address)
                for replica in self._upstreams.due_leaving_checks(name, now_s)
            ]
        return tuple(decisions)

    def _expire_request(self, active: ActiveRequest, now_s: float) -> list[Decision]:
        """End a request that exceeds its queueing limit or its deadline."""
        if active.replica_id is None:
            if now_s < active.deadline_s and active.waited_s(now_s) <= self._max_wait_s(
                active, now_s
            ):
                return []
            if active.may_have_run:
                return [self._finish(active, Ending.TIMED_OUT, "waited")]
            wait_s = self._state_of(active).queue.expected_wait_s(active, now_s)
            return [self._refuse(active, "waited", wait_s, now_s)]
        if now_s >= active.deadline_s:
            cancel = CancelAttempt(active.key, active.attempt)
            return [cancel, self._finish(active, Ending.TIMED_OUT, "time is over")]
        return []

    # Sending

    def _dispatch_queue(self, name: str, now_s: float) -> tuple[Decision, ...]:
        queue = self._services[name].queue
        if not len(queue):
            return ()
        decisions: list[Decision] = []
        blocked = 0
        for active in queue.candidates(now_s):
            if (cause := self._quarantine_cause(active)) is not None:
                decisions.append(self._end_quarantined(active, cause))
                continue
            try:
                send = self._try_send(active, now_s)
            except Exception as error:
                # Raised again at each pass, it would keep the queue from all others.
                decisions += self._end_faulted(active, error, was_sent=False)
                continue
            if send is None:
                blocked += 1
                if blocked >= QUEUE_SCAN_LIMIT:
                    break
                continue
            decisions.append(send)
        return tuple(decisions)

    def _try_send(self, active: ActiveRequest, now_s: float) -> Send | None:
        if now_s < active.not_before_s or self._quarantine_cause(active) is not None:
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
        self._upstreams.reserve(active)
        self._state_of(active).queue.record_send(active, now_s)
        self.workspace_usage.record(
            active.service.name,
            active.priority_class,
            active.workspace,
            active.cost_tokens,
            now_s,
        )
        self.rate_limits.record_send(replica_id)
        return Send(
            key=active.key,
            attempt=active.attempt,
            replica_id=replica_id,
            address=address,
            path=active.path,
            deadline_s=active.deadline_s,
            may_reuse_idle_connection=active.route.is_retryable,
            tenant=active.tenant.name if active.tenant is not None else None,
        )

    def _detach(self, active: ActiveRequest) -> None:
        """Release a request's replica and remove it from the queue."""
        self._upstreams.release(active)
        active.replica_id = None
        self._state_of(active).queue.discard(active)

    def _refuse(
        self, active: ActiveRequest, detail: str, wait_s: float, now_s: float
    ) -> Finish:
        """End a request that has not run, and record it for the caller's retry."""
        facts = self._wait_facts(active, now_s)
        facts = attrs.evolve(facts, expected_wait_s=wait_s or None)
        if not self._is_stopping:
            state = self._state_of(active)
            state.overload.record_refusal(now_s)
            rate_per_s = state.queue.send_rate_per_s(now_s)
            end_s = state.overload.expected_end_s(now_s, send_rate_per_s=rate_per_s)
            limit_s = MAX_DEFERRAL_SHARE * (active.deadline_s - now_s)
            # Jitter downwards, so that a deferral stays within the caller's time.
            deferral_s = min(end_s, limit_s) * self._random.uniform(0.75, 1.0)
            wait_s = max(wait_s, deferral_s)
        finish = self._finish(active, Ending.OVERLOADED, detail, wait_s)
        finish = attrs.evolve(finish, facts=facts)
        self.caller_retries.record_refusal(
            active.request.digest, retry_s=finish.retry_after_s, now_s=now_s
        )
        return finish

    def _finish(
        self, active: ActiveRequest, ending: Ending, detail: str, wait_s: float = 0.0
    ) -> Finish:
        ahead = self._state_of(active).queue.count_ahead_of(active)
        self._detach(active)
        self._active.pop(active.key, None)
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

    def wait_facts(self, key: int, now_s: float) -> WaitFacts | None:
        """Return what decides about the wait of a request, None if it has ended."""
        active = self._active.get(key)
        return self._wait_facts(active, now_s) if active is not None else None

    def _wait_facts(self, active: ActiveRequest, now_s: float) -> WaitFacts:
        return WaitFacts(
            priority_class=active.priority_class,
            is_caller_retry=active.is_caller_retry,
            allowed_wait_s=self._max_wait_s(active, now_s),
            report_age_s=self.loads.shared.report_age_s(now_s),
        )

    def _usage_share(self, active: ActiveRequest) -> float:
        return self.workspace_usage.share(
            active.service.name, active.priority_class, active.workspace
        )

    def _running_attempt(self, key: int, attempt: int) -> ActiveRequest | None:
        active = self._active.get(key)
        if active is None or active.attempt != attempt or active.replica_id is None:
            return None
        return active

    def _state_of(self, active: ActiveRequest) -> _ServiceState:
        return self._services[active.service.name]


def _quarantine_decisions(digests: tuple[str, ...]) -> tuple[Quarantined, ...]:
    return tuple(Quarantined(digest) for digest in digests)


def _verdict_decisions(replica_id: str, verdict: CrashVerdict) -> tuple[Decision, ...]:
    decisions: tuple[Decision, ...] = _quarantine_decisions(verdict.quarantined)
    if verdict.part_counts or verdict.is_dismissed:
        resolved = CrashResolved(replica_id, verdict.part_counts, verdict.is_dismissed)
        decisions = (resolved, *decisions)
    return decisions


def _finish_faulted(key: int, error: Exception, *, may_have_run: bool) -> Finish:
    ending = Ending.UPSTREAM_FAILED if may_have_run else Ending.NOT_READY
    detail = type(error).__name__
    return Finish(key, ending, NOT_READY_RETRY_AFTER_S, detail, error=error)


def _open_request(
    key: int, request: CallerRequest, resolved: ResolvedRoute, now_s: float
) -> ActiveRequest:
    timeout_s = request.timeout_s
    if timeout_s is None:
        timeout_s = DEFAULT_CALLER_TIMEOUT_S
    return ActiveRequest(
        key=key,
        request=request,
        route=resolved.route,
        service=resolved.service,
        tenant=resolved.tenant,
        arrived_s=now_s,
        deadline_s=now_s + min(timeout_s, resolved.route.timeout_s),
    )
