"""Decide where each request goes, how it waits and when it is given up."""

import random
from collections import defaultdict
from collections.abc import Mapping
from functools import partial

import attrs

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._budget import SendBudget
from persimmonwell.core.forwarding._crashes import CrashGuard
from persimmonwell.core.forwarding._events import (
    AttemptFailure,
    CancelAttempt,
    CheckReplica,
    Decision,
    Ending,
    Finish,
    Quarantined,
    Reroute,
    Send,
)
from persimmonwell.core.forwarding._health import HealthTable
from persimmonwell.core.forwarding._loads import LoadTable
from persimmonwell.core.forwarding._model import (
    CallerRequest,
    ForwardingConfig,
    Replica,
    ReplicaReport,
    Route,
    RouteKind,
)
from persimmonwell.core.forwarding._registry import ReplicaRegistry
from persimmonwell.core.forwarding._returning import ReturningRequests
from persimmonwell.core.forwarding._routes import (
    Resolved,
    RouteTable,
    UnknownKey,
    UnknownRoute,
)
from persimmonwell.core.forwarding._stalls import StallWatch
from persimmonwell.core.forwarding._upstreams import Upstreams
from persimmonwell.core.forwarding._waiting import WaitingLine
from persimmonwell.core.retry import Blame

DEFAULT_DEADLINE_S = 30.0
"""For a caller that does not say how long it waits."""
NOT_READY_RETRY_S = 1.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 5.0
SCAN_LIMIT = 6
"""Waiting requests that are tried when the first one finds no room."""
REROUTE_GAP_S = 0.1
"""A request with an event in the last steps does not wait for a dead stage."""
REROUTE_INTERVAL_S = 0.5
"""Least time between two changes of one request's path, which reads it again."""
FULL_SHARE = 0.6
"""Used part of a replica's memory from which a refusal may mean that it is full;
reports are some 200 ms old."""
REFUSED_PAUSE_S = 0.15
"""First pause before a request that was turned away is sent again; it doubles."""
REPEAT_MARGIN_S = 0.05
"""Least time left for which another attempt makes sense."""


@attrs.define
class _ServiceState:
    budget: SendBudget
    line: WaitingLine = attrs.field(factory=WaitingLine)


class ForwardingRouter:
    """Hold the requests, replicas and loads that one host knows."""

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
        self._upstreams = Upstreams(
            availability_zone=availability_zone, randomness=self._random
        )
        self._stalls = StallWatch()
        self.crashes = CrashGuard()
        self.returning = ReturningRequests()
        self._table: RouteTable | None = None
        self.hosts = 1
        """Hosts in the fleet, as far as this one knows."""
        self._active: dict[int, ActiveRequest] = {}
        self._new_budget = partial(
            SendBudget, ratio=retry_ratio, slack=retry_slack, window_s=retry_window_s
        )
        self._services: dict[str, _ServiceState] = defaultdict(
            lambda: _ServiceState(self._new_budget())
        )

    @property
    def config(self) -> ForwardingConfig | None:
        """Return the configuration in force."""
        return self._table.config if self._table is not None else None

    @property
    def registry(self) -> ReplicaRegistry:
        """Return the replicas that are registered."""
        return self._upstreams.registry

    @property
    def loads(self) -> LoadTable:
        """Return the loads of all hosts at the replicas."""
        return self._upstreams.loads

    @property
    def health(self) -> HealthTable:
        """Return the evidence about the replicas."""
        return self._upstreams.health

    @property
    def is_ready(self) -> bool:
        """Return whether requests can be routed to a replica."""
        return self._table is not None and bool(self.registry.replicas)

    @property
    def waiting(self) -> int:
        """Return how many requests wait for room."""
        return sum(len(state.line) for state in self._services.values())

    @property
    def running(self) -> int:
        """Return how many requests this host holds."""
        return len(self._active)

    def configure(self, config: ForwardingConfig) -> bool:
        """Take a newer version; return False for one that is not newer."""
        current = self.config
        if current is not None and config.version <= current.version:
            return False
        self._table = RouteTable(config)
        return True

    def set_retry_budget(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Take changed bounds; what was counted before holds against them."""
        self._new_budget = partial(
            SendBudget, ratio=ratio, slack=slack, window_s=window_s
        )
        for state in self._services.values():
            state.budget.configure(ratio=ratio, slack=slack, window_s=window_s)

    def route_of(self, key: int) -> Route | None:
        """Return the route of a request that is still open."""
        active = self._active.get(key)
        return active.route if active is not None else None

    def living_replicas(self, service: str, now_s: float) -> tuple[Replica, ...]:
        """Return the replicas of a service that are not known to be dead."""
        return self._upstreams.living(service, now_s)

    # Events of callers

    def arrived(
        self, key: int, request: CallerRequest, now_s: float
    ) -> tuple[Decision, ...]:
        """Admit, queue or refuse a request."""
        if self._table is None:
            return (Finish(key, Ending.NOT_READY, NOT_READY_RETRY_S, "no config"),)
        try:
            resolved = self._table.resolve(request, draw=self._random.random())
        except UnknownRoute:
            return (Finish(key, Ending.UNKNOWN_ROUTE),)
        except UnknownKey:
            return (Finish(key, Ending.UNKNOWN_KEY),)
        active = self._active[key] = _admit(key, request, resolved, now_s)
        active.is_returning = self.returning.takes_back(request.digest, now_s)
        state = self._state_of(active)
        state.budget.requested(now_s)
        if self.crashes.refuses(request.digest):
            return (self._finish(active, Ending.QUARANTINED, request.digest),)
        if not self._upstreams.usable(active.service.name):
            return (self._finish(active, Ending.NOT_READY, "no replica"),)
        if state.line.ahead_of(active) == 0:
            send = self._try_send(active, now_s)
            if send is not None:
                return (send,)
        return self._enqueue(active, now_s)

    def _enqueue(self, active: ActiveRequest, now_s: float) -> tuple[Decision, ...]:
        line = self._state_of(active).line
        expected_s = line.expected_wait_s(active, now_s)
        if expected_s > active.patience_s:
            return (self._refuse(active, "queue", expected_s, now_s),)
        line.add(active)
        return ()

    def caller_left(self, key: int, now_s: float) -> tuple[Decision, ...]:
        """Forget a request whose caller closed its connection."""
        active = self._active.pop(key, None)
        if active is None:
            return ()
        running = active.replica_id is not None
        self._detach(active)
        cancel = (CancelAttempt(key, active.attempt),) if running else ()
        return cancel + self._pump(active.service.name, now_s)

    # Events of upstreams

    def answer_began(self, key: int, attempt: int, now_s: float) -> None:
        """Note that a part of an answer goes to the caller."""
        active = self._running(key, attempt)
        if active is not None:
            active.has_answer = True
            active.progress_s = now_s

    def progressed(self, key: int, attempt: int, now_s: float) -> None:
        """Note an event of a stream."""
        active = self._running(key, attempt)
        if active is not None:
            active.progress_s = now_s

    def finished(self, key: int, attempt: int, now_s: float) -> tuple[Decision, ...]:
        """Note a complete answer."""
        active = self._running(key, attempt)
        if active is None:
            return ()
        self._upstreams.served(active, now_s)
        self.crashes.answered(active.request.digest)
        del self._active[key]
        self._detach(active)
        return self._pump(active.service.name, now_s)

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
        """Send the request again where that is allowed, or end it."""
        active = self._running(key, attempt)
        if active is None:
            return ()
        self._upstreams.blame(active, failure, fault_address, now_s)
        checks: tuple[Decision, ...] = ()
        if failure is AttemptFailure.BROKEN and active.replica_id is not None:
            checks = self._accuse(active.replica_id, now_s)
        active.runs += failure.has_run
        if failure is AttemptFailure.NO_CONNECTION and active.replica_id is not None:
            # Nothing was sent, so that this replica does not count as tried.
            active.replicas.discard(active.replica_id)
        self._detach(active)
        decision = self._after_failure(active, failure, detail, now_s)
        following = checks + self._pump(active.service.name, now_s)
        return following if decision is None else (decision, *following)

    def _accuse(self, replica_id: str, now_s: float) -> tuple[CheckReplica, ...]:
        """Note that a replica may have crashed on one of the requests there."""
        replica = self.registry.replicas.get(replica_id)
        if replica is None:
            return ()
        running = [e for e in self._active.values() if replica_id in e.reserved]
        if not self.crashes.replica_failed(replica, running, now_s):
            return ()
        return (CheckReplica(replica_id, replica.address),)

    def _after_failure(
        self, active: ActiveRequest, failure: AttemptFailure, detail: str, now_s: float
    ) -> Decision | None:
        if active.may_have_run and not active.route.may_repeat:
            return self._finish(active, Ending.UPSTREAM_FAILED, detail)
        left_s = active.give_up_s - now_s
        if failure is AttemptFailure.NOT_RUN:
            active.refusals += 1
            if active.refusals > 1:
                pause_s = REFUSED_PAUSE_S * 2.0 ** (active.refusals - 2)
                active.not_before_s = now_s + pause_s * self._random.uniform(0.7, 1.3)
        # An error is tried at another upstream; the same one would only repeat it.
        is_final = failure is AttemptFailure.ERROR and not active.may_try_more
        if is_final or not active.has_sends_left:
            return self._end_failed(active, detail or failure.value, now_s)
        budget = self._state_of(active).budget
        may_repeat = budget.try_repeat(now_s, hosts=self.hosts)
        if left_s <= REPEAT_MARGIN_S or not may_repeat:
            return self._end_failed(active, detail or failure.value, now_s)
        send = self._try_send(active, now_s)
        if send is not None:
            return send
        # Answers that have begun wait as well: callers stay for two seconds.
        queued = self._enqueue(active, now_s)
        return queued[0] if queued else None

    def _end_failed(self, active: ActiveRequest, detail: str, now_s: float) -> Finish:
        if active.may_have_run:
            return self._finish(active, Ending.UPSTREAM_FAILED, detail)
        return self._refuse(active, detail, 0.0, now_s)

    def peer_blamed(self, blame: Blame, now_s: float) -> tuple[Decision, ...]:
        """Take a crash that another host saw."""
        return _quarantined(self.crashes.peer_blamed(blame, now_s))

    # Stalled stages

    def stages_stalled(
        self, head_id: str, stalled: Mapping[str, str], now_s: float
    ) -> tuple[Decision, ...]:
        """Take a first replica's list of requests and the stages they wait for.

        Every request through such a stage moves to another path, also those that
        the list does not name yet.
        """
        decisions: tuple[Decision, ...] = ()
        for address in sorted(set(stalled.values())):
            for replica in self._upstreams.suspect_address(address, now_s):
                decisions += self._accuse(replica.replica_id, now_s)
        if stalled:
            self._stalls.stages_known(head_id, now_s)
            return decisions + self._reroute_suspected(now_s)
        return self._stalls.stage_checks(self._active.values(), head_id, now_s)

    def replica_checked(
        self,
        replica_id: str,
        report: ReplicaReport | None,
        now_s: float,
        *,
        answers: bool,
    ) -> tuple[Decision, ...]:
        """Take the result of a question; plain services answer without a report."""
        if not answers:
            self._upstreams.suspect(replica_id, now_s)
        was_suspected = self.health.checked(replica_id, answers=answers, now_s=now_s)
        found = self.crashes.replica_checked(
            replica_id, is_lost=not answers, now_s=now_s
        )
        if not answers:
            return _quarantined(found) + self._reroute_suspected(now_s)
        if report is None:
            return ()
        self.loads.reported(replica_id, report.kv_used, now_s)
        self.health.found_slowness(replica_id, report.slowness, now_s)
        if was_suspected and report.kv_used < FULL_SHARE * report.kv_total:
            # It lives and has room, but turned a request away: it is leaving, or
            # gives up the layers that were asked for.
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                self.health.refused_with_room(replica_id, replica.incarnation, now_s)
        return ()

    def registry_changed(
        self, changed: Mapping[str, Replica | None], now_s: float
    ) -> tuple[Decision, ...]:
        """Take the entries that are new, other or, as None, gone."""
        found: tuple[str, ...] = ()
        for replica_id, replica in changed.items():
            self.health.entry_changed(replica_id)
            if replica is None:
                found += self.crashes.replica_checked(
                    replica_id, is_lost=True, now_s=now_s
                )
        known = set(self.registry.replicas)
        self.health.forget(known)
        self._stalls.forget(known)
        return _quarantined(found)

    def _reroute_suspected(self, now_s: float) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        for active in list(self._active.values()):
            if active.path is None or active.replica_id is None:
                continue
            if active.silent_s(now_s) < REROUTE_GAP_S:
                continue
            later = active.path.parts[1:]
            if any(self.health.is_excluded(p.replica_id, now_s) for p in later):
                decisions += self._leave_stage(active, now_s)
        return tuple(decisions)

    def _leave_stage(self, active: ActiveRequest, now_s: float) -> tuple[Decision, ...]:
        """Move a request to another path of its zone, else start it in another zone.

        Where neither is possible it stays, as the stage may come back.
        """
        if now_s - active.rerouted_s < REROUTE_INTERVAL_S:
            return ()
        reroute = self._reroute(active, now_s)
        if reroute is not None:
            return (reroute,)
        state = self._state_of(active)
        if not active.route.may_repeat or not active.has_sends_left:
            return ()
        if len(state.line) > 0:
            # Its prompt would be read again in room that others wait for.
            return ()
        if not state.budget.has_left(now_s, hosts=self.hosts):
            return ()
        attempt, path, replica_id = active.attempt, active.path, active.replica_id
        self._upstreams.release(active)
        send = self._try_send(active, now_s)
        if send is None:
            active.path, active.replica_id = path, replica_id
            self._upstreams.reserve(active)
            return ()
        state.budget.repeated(now_s)
        active.runs += 1
        active.rerouted_s = now_s
        return (CancelAttempt(active.key, attempt), send)

    def _reroute(self, active: ActiveRequest, now_s: float) -> Reroute | None:
        assert active.path is not None
        head = active.path.head
        replica = self.registry.replicas.get(head.replica_id)
        if replica is None:
            return None
        # Its own reservation must not count against the request.
        self._upstreams.release(active)
        path = self._upstreams.path_in(
            active, replica.availability_zone, now_s, first=head
        )
        active.path = path or active.path
        self._upstreams.reserve(active)
        if path is None:
            return None
        active.rerouted_s = now_s
        return Reroute(active.key, active.attempt, path.head.address, path)

    # Time

    def tick(self, now_s: float) -> tuple[Decision, ...]:
        """Give up what is due, ask about silent streams, send what waits."""
        decisions: list[Decision] = []
        self.loads.expire_peers(now_s)
        self.registry.expire(now_s)
        decisions += _quarantined(self.crashes.expire(now_s))
        for active in list(self._active.values()):
            decisions += self._give_up(active, now_s)
        streams = (
            active
            for active in self._active.values()
            if active.replica_id is not None and active.route.kind is RouteKind.STREAM
        )
        decisions += self._stalls.questions(streams, now_s)
        for replica_id in self.health.due_checks(now_s):
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                decisions.append(CheckReplica(replica_id, replica.address))
        for name in list(self._services):
            decisions += self._pump(name, now_s)
        return tuple(decisions)

    def _give_up(self, active: ActiveRequest, now_s: float) -> list[Decision]:
        """End a request that has waited or run for too long."""
        if active.replica_id is None:
            if now_s < active.give_up_s and active.waited_s(now_s) <= active.patience_s:
                return []
            if active.may_have_run:
                return [self._finish(active, Ending.TIMED_OUT, "waited")]
            wait_s = self._state_of(active).line.expected_wait_s(active, now_s)
            return [self._refuse(active, "waited", wait_s, now_s)]
        if now_s >= active.give_up_s:
            cancel = CancelAttempt(active.key, active.attempt)
            return [cancel, self._finish(active, Ending.TIMED_OUT, "time is over")]
        return []

    # Sending

    def _pump(self, name: str, now_s: float) -> tuple[Decision, ...]:
        line = self._services[name].line
        decisions: list[Decision] = []
        failed = 0
        for active in line:
            send = self._try_send(active, now_s)
            if send is None:
                failed += 1
                if failed >= SCAN_LIMIT:
                    break
                continue
            line.discard(active)
            decisions.append(send)
        return tuple(decisions)

    def _try_send(self, active: ActiveRequest, now_s: float) -> Send | None:
        if now_s < active.not_before_s:
            return None
        engine = active.service.engine
        if engine is not None and engine.layers > 0:
            path = self._upstreams.choose_path(active, now_s)
            if path is None:
                return None
            active.path = path
            return self._send(active, path.head.replica_id, path.head.address, now_s)
        replica = self._upstreams.choose_plain(active, now_s)
        if replica is None:
            return None
        active.path = None
        return self._send(active, replica.replica_id, replica.address, now_s)

    def _send(
        self, active: ActiveRequest, replica_id: str, address: str, now_s: float
    ) -> Send:
        active.attempt += 1
        active.replica_id = replica_id
        active.replicas.add(replica_id)
        active.sent_s = active.progress_s = now_s
        self._upstreams.reserve(active)
        self._state_of(active).line.sent(now_s)
        return Send(
            key=active.key,
            attempt=active.attempt,
            replica_id=replica_id,
            address=address,
            path=active.path,
            deadline_s=active.give_up_s,
            may_reuse_idle=active.route.may_repeat,
            tenant=active.tenant.name if active.tenant is not None else None,
        )

    def _detach(self, active: ActiveRequest) -> None:
        """Take a request off its replica and out of the line."""
        self._upstreams.release(active)
        active.replica_id = None
        self._state_of(active).line.discard(active)

    def _refuse(
        self, active: ActiveRequest, detail: str, wait_s: float, now_s: float
    ) -> Finish:
        """End a request that has not run, and remember it until it comes back."""
        finish = self._finish(active, Ending.OVERLOADED, detail, wait_s)
        self.returning.refused(
            active.request.digest, retry_s=finish.retry_after_s, now_s=now_s
        )
        return finish

    def _finish(
        self, active: ActiveRequest, ending: Ending, detail: str, wait_s: float = 0.0
    ) -> Finish:
        self._detach(active)
        self._active.pop(active.key, None)
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))
        # Spread over half the interval, so that callers do not return together.
        retry_s *= self._random.uniform(1.0, 1.5)
        return Finish(active.key, ending, retry_s, detail)

    def _running(self, key: int, attempt: int) -> ActiveRequest | None:
        active = self._active.get(key)
        if active is None or active.attempt != attempt or active.replica_id is None:
            return None
        return active

    def _state_of(self, active: ActiveRequest) -> _ServiceState:
        return self._services[active.service.name]


def _quarantined(digests: tuple[str, ...]) -> tuple[Quarantined, ...]:
    return tuple(Quarantined(digest) for digest in digests)


def _admit(
    key: int, request: CallerRequest, resolved: Resolved, now_s: float
) -> ActiveRequest:
    deadline_s = request.deadline_s
    if deadline_s is None:
        deadline_s = DEFAULT_DEADLINE_S
    return ActiveRequest(
        key=key,
        request=request,
        route=resolved.route,
        service=resolved.service,
        tenant=resolved.tenant,
        arrived_s=now_s,
        give_up_s=now_s + min(deadline_s, resolved.route.timeout_s),
    )
