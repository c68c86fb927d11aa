"""Forwarding router: admission, queueing, upstream selection, retries and deadlines."""

import random
from collections import defaultdict
from collections.abc import Mapping, Sequence
from functools import partial

from persimmonwell.core.forwarding._arrivals import RequestArrivals
from persimmonwell.core.forwarding._attempts import RunningAttempts
from persimmonwell.core.forwarding._budget import RetryBudget
from persimmonwell.core.forwarding._caller_retries import CallerRetryTracker
from persimmonwell.core.forwarding._crash_reports import (
    quarantine_decisions,
    record_dead_replica,
    verdict_decisions,
)
from persimmonwell.core.forwarding._crashes import CrashTracker
from persimmonwell.core.forwarding._events import (
    AttemptFailure,
    CancelAttempt,
    Decision,
    LeavingChanged,
    ProbeReplica,
    RateLimitChanged,
    Reroute,
    RerouteFailure,
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
from persimmonwell.core.forwarding._open_requests import OpenRequests, ServiceState
from persimmonwell.core.forwarding._rate_limits import ReplicaRateLimits
from persimmonwell.core.forwarding._registry import ReplicaRegistry
from persimmonwell.core.forwarding._replica_statements import (
    record_rate_limit,
    record_statement,
)
from persimmonwell.core.forwarding._reroutes import StreamRerouter
from persimmonwell.core.forwarding._sends import RequestSender
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
from persimmonwell.core.retry import CauseEvidence

FULL_KV_SHARE = 0.6
"""Share of used KV memory from which a refusal may mean that the replica is full; the
margin is for reports that are some 200 ms old."""


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
        rng = random.Random(seed)
        self._upstreams = UpstreamPool(availability_zone=availability_zone, rng=rng)
        self._stalls = StallDetector()
        self.crashes = CrashTracker()
        self.caller_retries = CallerRetryTracker()
        self.workspace_usage = WorkspaceUsage()
        self._new_retry_budget = partial(
            RetryBudget, ratio=retry_ratio, slack=retry_slack, window_s=retry_window_s
        )
        self._services: dict[str, ServiceState] = defaultdict(
            lambda: ServiceState(self._new_retry_budget())
        )
        self._requests = OpenRequests(
            services=self._services,
            upstreams=self._upstreams,
            caller_retries=self.caller_retries,
            workspace_usage=self.workspace_usage,
            rng=rng,
        )
        self._active = self._requests.active
        self._sender = RequestSender(
            requests=self._requests,
            upstreams=self._upstreams,
            crashes=self.crashes,
            workspace_usage=self.workspace_usage,
        )
        self._arrivals = RequestArrivals(
            requests=self._requests,
            sender=self._sender,
            upstreams=self._upstreams,
            crashes=self.crashes,
            caller_retries=self.caller_retries,
            rng=rng,
        )
        self._attempts = RunningAttempts(
            requests=self._requests,
            sender=self._sender,
            upstreams=self._upstreams,
            crashes=self.crashes,
            stalls=self._stalls,
            rng=rng,
        )
        self._rerouter = StreamRerouter(
            requests=self._requests,
            sender=self._sender,
            upstreams=self._upstreams,
            crashes=self.crashes,
            stalls=self._stalls,
        )

    @property
    def config(self) -> ForwardingConfig | None:
        """Return the configuration in force."""
        return self._arrivals.config

    @property
    def peer_config_version(self) -> int:
        """Return the newest configuration version that a live peer has read."""
        return self._arrivals.peer_config_version

    @peer_config_version.setter
    def peer_config_version(self, version: int) -> None:
        self._arrivals.peer_config_version = version

    @property
    def host_count(self) -> int:
        """Return how many hosts of the fleet this host knows of, with itself."""
        return self._requests.host_count

    @host_count.setter
    def host_count(self, count: int) -> None:
        self._requests.host_count = count

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
        return self.config is not None and bool(self.registry.replicas)

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
        return self._arrivals.configure(config)

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

    def wait_facts(self, key: int, now_s: float) -> WaitFacts | None:
        """Return what decides about the wait of a request, None if it has ended."""
        active = self._active.get(key)
        return self._requests.wait_facts(active, now_s) if active is not None else None

    def live_replicas(self, service: str, now_s: float) -> tuple[Replica, ...]:
        """Return the replicas of a service that are neither draining nor lost."""
        return self._upstreams.live(service, now_s)

    # Events of callers

    def request_arrived(
        self, key: int, request: CallerRequest, now_s: float
    ) -> tuple[Decision, ...]:
        """Send, queue or refuse a new request."""
        return self._arrivals.request_arrived(key, request, now_s)

    def stop_arrivals(self) -> None:
        """Refuse the requests that arrive from now on, since the host will stop."""
        self._requests.is_stopping = True

    def refuse_waiting(self, now_s: float) -> tuple[Decision, ...]:
        """Refuse the queued requests that have not run.

        A host that is about to stop could only break them off.
        """
        return self._requests.refuse_waiting(now_s)

    def end_open_requests(self, now_s: float) -> tuple[Decision, ...]:
        """Give every open request its final answer, since the host stops now."""
        return self._requests.end_open_requests(now_s)

    def end_faulted(
        self, key: int, error: Exception, *, was_sent: bool
    ) -> tuple[Decision, ...]:
        """End a request on which an unexpected error of the host was raised.

        Frees its place and its reservations. was_sent tells whether any attempt
        reached a connection.
        """
        return self._requests.end_faulted_by_key(key, error, was_sent=was_sent)

    def caller_left(self, key: int, now_s: float) -> tuple[Decision, ...]:
        """Drop a request whose caller closed its connection, and cancel its attempt."""
        active = self._active.pop(key, None)
        if active is None:
            return ()
        is_running = active.replica_id is not None
        self._requests.detach(active)
        cancel = (CancelAttempt(key, active.attempt),) if is_running else ()
        return cancel + self._sender.dispatch_queue(active.service.name, now_s)

    # Events of upstreams

    def limit_stated(
        self, key: int, attempt: int, rate_per_s: float | None, now_s: float
    ) -> tuple[Decision, ...]:
        """Record the rate limit in an answer's head, None if it states none."""
        active = self._requests.running_attempt(key, attempt)
        if active is None or active.replica_id is None:
            return ()
        return record_rate_limit(self._upstreams, active.replica_id, rate_per_s, now_s)

    def statement_received(
        self, key: int, attempt: int, statement: ReplicaStatement, now_s: float
    ) -> tuple[Decision, ...]:
        """Record what the head of an answer says about its replica."""
        active = self._requests.running_attempt(key, attempt)
        if active is None or active.replica_id is None:
            return ()
        return self.replica_stated(active.replica_id, statement, now_s)

    def replica_stated(
        self, replica_id: str, statement: ReplicaStatement, now_s: float
    ) -> tuple[Decision, ...]:
        """Record what a replica says about itself in an answer of any kind."""
        return record_statement(self._upstreams, replica_id, statement, now_s)

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
        self._attempts.answer_opened(key, attempt)

    def answer_began(self, key: int, attempt: int, now_s: float) -> None:
        """Record that the first part of an answer was sent to the caller."""
        self._attempts.answer_began(key, attempt, now_s)

    def event_received(self, key: int, attempt: int, now_s: float) -> None:
        """Record an event of a stream."""
        self._attempts.event_received(key, attempt, now_s)

    def answer_completed(
        self, key: int, attempt: int, now_s: float
    ) -> tuple[Decision, ...]:
        """Close a request that was answered completely."""
        return self._attempts.answer_completed(key, attempt, now_s)

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
        return self._attempts.attempt_failed(
            key, attempt, failure, now_s, fault_address=fault_address, detail=detail
        )

    def record_peer_evidence(
        self, evidence: CauseEvidence, now_s: float
    ) -> tuple[Decision, ...]:
        """Merge a peer's evidence about a request or part that crashes replicas."""
        return quarantine_decisions(self.crashes.record_peer_evidence(evidence, now_s))

    def record_peer_usage(
        self, peer: str, rows: Sequence[WorkspaceTokens], now_s: float
    ) -> None:
        """Charge the workspaces for what a peer gave them.

        What the configuration in force does not name is left out, so that a peer
        cannot make the tables grow.
        """
        if self.config is None or not rows:
            return
        known = self._arrivals.configured_rows(self.config, rows)
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
        return self._rerouter.stall_report_received(first_replica_id, stalled, now_s)

    def reroute_failed(
        self,
        reroute: Reroute,
        failure: RerouteFailure,
        fault_address: str | None,
        now_s: float,
    ) -> tuple[Decision, ...]:
        """Handle a path change that was not carried out, fault_address if known."""
        return self._rerouter.reroute_failed(reroute, failure, fault_address, now_s)

    def replica_unresponsive(
        self, replica_id: str, now_s: float
    ) -> tuple[Decision, ...]:
        """Handle a probe whose answer takes unusually long; it may still arrive."""
        self._upstreams.suspect(replica_id, now_s)
        self.health.record_unresponsive(replica_id, now_s)
        self._stalls.record_lost()
        return self._rerouter.reroute_off_suspects(now_s)

    def replica_probed(
        self,
        replica_id: str,
        report: ReplicaReport | None,
        now_s: float,
        *,
        is_alive: bool,
    ) -> tuple[Decision, ...]:
        """Handle a probe's result; report is None where the service has no pipeline."""
        suspected: tuple[Decision, ...] = ()
        if not is_alive:
            self._upstreams.suspect(replica_id, now_s)
            # Streams that fell silent with it have not broken off yet.
            suspected = record_dead_replica(
                self.crashes,
                self.registry.replicas.get(replica_id),
                self._active.values(),
                now_s,
            )
        was_suspected = self.health.record_probe(
            replica_id, is_alive=is_alive, now_s=now_s
        )
        verdict = self.crashes.record_probe(
            replica_id, is_lost=not is_alive, now_s=now_s
        )
        resolved = suspected + verdict_decisions(replica_id, verdict)
        if not is_alive:
            return resolved + self._rerouter.reroute_off_suspects(now_s)
        if report is None:
            return resolved
        if verdict.is_dismissed:
            # An availability zone has only a few first stages. With all of them
            # ejected, its streams would wait longer than their latency objective.
            self.health.readmit(replica_id)
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
                decisions += verdict_decisions(replica_id, verdict)
        registered = set(self.registry.replicas)
        self.health.prune(registered)
        self._upstreams.refusals.prune(registered, now_s)
        self._stalls.prune(registered)
        return decisions

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
        decisions += quarantine_decisions(self.crashes.expire(now_s))
        for active in list(self._active.values()):
            try:
                decisions += self._sender.expire_request(active, now_s)
            except Exception as error:
                decisions += self._requests.end_faulted(active, error)
        streams = [
            active
            for active in self._active.values()
            if active.replica_id is not None and active.route.kind is RouteKind.STREAM
        ]
        decisions += self._stalls.due_queries(streams, now_s)
        decisions += self._stalls.due_early_probes(streams, now_s)
        if streams:
            decisions += self._rerouter.reroute_off_suspects(now_s, is_tick=True)
            decisions += self._rerouter.restart_overtaken(now_s)
        for replica_id in self.health.due_probes(now_s):
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                decisions.append(ProbeReplica(replica_id, replica.address))
        for name in list(self._services):
            decisions += self._sender.dispatch_queue(name, now_s)
            # A service that lost all its replicas by a mistake of theirs comes back.
            decisions += [
                ProbeReplica(replica.replica_id, replica.address)
                for replica in self._upstreams.due_leaving_checks(name, now_s)
            ]
        return tuple(decisions)
