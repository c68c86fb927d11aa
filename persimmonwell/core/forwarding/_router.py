"""Decide where each request goes, how it waits and when it is given up."""

import random
from collections import defaultdict, deque
from collections.abc import Mapping

import attrs

from persimmonwell.core.forwarding._budget import SendBudget
from persimmonwell.core.forwarding._events import (
    AskStalled,
    AttemptFailure,
    CancelAttempt,
    CheckReplica,
    Decision,
    Ending,
    Finish,
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
    ServiceSpec,
    Tenant,
)
from persimmonwell.core.forwarding._paths import (
    UNKNOWN_SIZE,
    Part,
    Path,
    find_path,
)
from persimmonwell.core.forwarding._registry import ReplicaRegistry
from persimmonwell.core.forwarding._routes import (
    Resolved,
    RouteTable,
    UnknownKey,
    UnknownRoute,
)

DEFAULT_DEADLINE_S = 30.0
"""For a caller that does not say how long it waits."""
NOT_READY_RETRY_S = 1.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 5.0
WAIT_OBJECTIVES = 3.0
"""Objectives that a request may wait: callers give up streams after four."""
MIN_CALLER_PATIENCE_S = 2.0
"""Callers of streams stay at least this long without an event."""
PATIENCE_SHARE = 0.7
"""Part of the caller's patience spent waiting; the rest is for the answer."""
RATE_WINDOW_S = 2.0
"""Interval over which the service's rate of dispatches is measured."""
LONG_RATE_WINDOW_S = 8.0
LEAST_RATE_PER_S = 1.0
"""Assumed while too few sends have been seen to tell."""
SCAN_LIMIT = 6
"""Waiting requests that are tried when the first one finds no room."""
STALL_GAP_S = 0.25
"""Silence after which a stream's first replica is asked for the stalled stage. A
first event that comes 250 ms later is still within the usual objective of 500 ms."""
STALL_ASK_INTERVAL_S = 0.15
"""Reports are some 200 ms old, so that the first one may not show the stall yet."""
KNOWN_STALL_PAUSE_S = 0.4
"""Added to the interval between questions while stalled stages are known."""
STAGE_CHECK_S = 1.5
"""Least time between two questions to a stage that is not suspected to be dead."""
REROUTE_GAP_S = 0.1
"""A request with an event in the last steps does not wait for a dead stage."""
REROUTE_INTERVAL_S = 0.5
"""Least time between two changes of one request's path, which reads it again."""
CROSS_ZONE_STEP_MS = 4.0
"""Added to the step of a path in another zone when paths are compared."""
SLOW_STEP_SHARE = 0.2
"""Other zones are considered when a step takes this part of the gap objective."""
REPEATED_SENDS = 2
"""Sends beyond the number of upstreams that the route allows."""
FULL_SHARE = 0.6
"""Used part of a replica's memory from which a refusal may mean that it is full;
reports are some 200 ms old."""
REFUSED_PAUSE_S = 0.15
"""First pause before a request that was turned away is sent again; it doubles."""
REPEAT_MARGIN_S = 0.05
"""Least time left for which another attempt makes sense."""


@attrs.define(eq=False)
class _Active:
    key: int
    request: CallerRequest
    route: Route
    service: ServiceSpec
    tenant: Tenant | None
    arrived_s: float
    give_up_s: float
    """Moment at which the caller or the route stops waiting."""
    attempt: int = 0
    replica_id: str | None = None
    replicas: set[str] = attrs.field(factory=set)
    path: Path | None = None
    runs: int = 0
    """Attempts that an upstream may have run."""
    has_answer: bool = False
    """Whether a part of an answer has gone to the caller."""
    sent_s: float = 0.0
    progress_s: float = 0.0
    rerouted_s: float = float("-inf")
    not_before_s: float = float("-inf")
    """Moment until which a request that was turned away waits."""
    refusals: int = 0
    reserved: dict[str, int] = attrs.field(factory=dict)

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request."""
        return self.runs > 0

    @property
    def has_sends_left(self) -> bool:
        """Return whether the request may be sent once more.

        The route bounds the upstreams, of which one may run a request again.
        """
        return self.attempt < self.route.max_attempts + REPEATED_SENDS

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the order of service; the tenant's priority goes first."""
        priority = self.route.priority
        if self.tenant is not None and self.tenant.priority is not None:
            priority = self.tenant.priority
        return (priority, self.route.priority, self.key)

    @property
    def patience_s(self) -> float:
        """Return how long the request may wait for its first send."""
        limit_s = max(
            MIN_CALLER_PATIENCE_S, (WAIT_OBJECTIVES + 1) * self.route.objective_s
        )
        return PATIENCE_SHARE * min(limit_s, self.give_up_s - self.arrived_s)


@attrs.define
class _ServiceState:
    waiting: list[_Active] = attrs.field(factory=list)
    starts: deque[float] = attrs.field(factory=deque)
    budget: SendBudget | None = None


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
        self._zone = availability_zone
        self._random = random.Random(seed)
        self._retry = (retry_ratio, retry_slack, retry_window_s)
        self._table: RouteTable | None = None
        self.registry = ReplicaRegistry()
        self.loads = LoadTable()
        self.health = HealthTable()
        self.hosts = 1
        """Hosts in the fleet, as far as this one knows."""
        self._active: dict[int, _Active] = {}
        self._services: dict[str, _ServiceState] = defaultdict(_ServiceState)
        self._asked_s: dict[str, float] = {}
        self._checked_s: dict[str, float] = {}

    @property
    def config(self) -> ForwardingConfig | None:
        """Return the configuration in force."""
        return self._table.config if self._table is not None else None

    @property
    def is_ready(self) -> bool:
        """Return whether requests can be routed to a replica."""
        return self._table is not None and bool(self.registry.replicas)

    @property
    def waiting(self) -> int:
        """Return how many requests wait for room."""
        return sum(len(state.waiting) for state in self._services.values())

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

    def route_of(self, key: int) -> Route | None:
        """Return the route of a request that is still open."""
        active = self._active.get(key)
        return active.route if active is not None else None

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
        active = self._admit(key, request, resolved, now_s)
        state = self._services[active.service.name]
        self._budget(active.service.name).requested(now_s)
        self._active[key] = active
        if not self._usable(active.service.name):
            return (self._finish(active, Ending.NOT_READY, "no replica"),)
        if not any(other.rank < active.rank for other in state.waiting):
            send = self._try_send(active, now_s)
            if send is not None:
                return (send,)
        return self._enqueue(active, state, now_s)

    def _admit(
        self, key: int, request: CallerRequest, resolved: Resolved, now_s: float
    ) -> _Active:
        deadline_s = request.deadline_s
        if deadline_s is None:
            deadline_s = DEFAULT_DEADLINE_S
        return _Active(
            key=key,
            request=request,
            route=resolved.route,
            service=resolved.service,
            tenant=resolved.tenant,
            arrived_s=now_s,
            give_up_s=now_s + min(deadline_s, resolved.route.timeout_s),
        )

    def _enqueue(
        self, active: _Active, state: _ServiceState, now_s: float
    ) -> tuple[Decision, ...]:
        ahead = sum(1 for other in state.waiting if other.rank < active.rank)
        expected_s = ahead / max(self._rate(state, now_s), LEAST_RATE_PER_S)
        if expected_s > active.patience_s:
            return (self._finish(active, Ending.OVERLOADED, "queue", expected_s),)
        state.waiting.append(active)
        state.waiting.sort(key=lambda each: each.rank)
        return ()

    def _rate(self, state: _ServiceState, now_s: float) -> float:
        """Return the sends per second, the higher of two windows.

        A stage that moves stops all sends for a second or two; the longer window
        keeps callers from being refused for that.
        """
        while state.starts and state.starts[0] < now_s - LONG_RATE_WINDOW_S:
            state.starts.popleft()
        recent = sum(1 for start_s in state.starts if start_s >= now_s - RATE_WINDOW_S)
        return max(recent / RATE_WINDOW_S, len(state.starts) / LONG_RATE_WINDOW_S)

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
        replica = self._replica_of(active)
        if replica is not None and active.path is None:
            self.health.succeeded(
                replica.replica_id, replica.incarnation, now_s - active.sent_s
            )
        for part in active.path.parts if active.path is not None else ():
            member = self.registry.replicas.get(part.replica_id)
            if member is not None:
                self.health.succeeded(part.replica_id, member.incarnation, 0.0)
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
        self._blame(active, failure, fault_address, now_s)
        active.runs += failure.has_run
        if failure is AttemptFailure.NO_CONNECTION and active.replica_id is not None:
            # Nothing was sent, so that this replica does not count as tried.
            active.replicas.discard(active.replica_id)
        self._detach(active)
        decisions = [self._after_failure(active, failure, detail, now_s)]
        decisions += self._pump(active.service.name, now_s)
        return tuple(each for each in decisions if each is not None)

    def _after_failure(
        self, active: _Active, failure: AttemptFailure, detail: str, now_s: float
    ) -> Decision | None:
        if active.may_have_run and not active.route.may_repeat:
            return self._finish(active, Ending.UPSTREAM_FAILED, detail)
        left_s = active.give_up_s - now_s
        if failure is AttemptFailure.NOT_RUN:
            active.refusals += 1
            if active.refusals > 1:
                pause_s = REFUSED_PAUSE_S * 2.0 ** (active.refusals - 2)
                active.not_before_s = now_s + pause_s * self._random.uniform(0.7, 1.3)
        if not active.has_sends_left:
            ending = Ending.OVERLOADED
            if active.may_have_run:
                ending = Ending.UPSTREAM_FAILED
            return self._finish(active, ending, detail or failure.value)
        budget = self._budget(active.service.name)
        may_repeat = budget.try_repeat(now_s, hosts=self.hosts)
        if left_s > REPEAT_MARGIN_S and may_repeat:
            send = self._try_send(active, now_s)
            if send is not None:
                return send
            if not active.has_answer and self._may_try_more(active):
                state = self._services[active.service.name]
                queued = self._enqueue(active, state, now_s)
                return queued[0] if queued else None
        ending = Ending.UPSTREAM_FAILED if active.may_have_run else Ending.OVERLOADED
        return self._finish(active, ending, detail or failure.value)

    def _may_try_more(self, active: _Active) -> bool:
        return len(active.replicas) < active.route.max_attempts

    def stages_stalled(
        self, head_id: str, stalled: Mapping[str, str], now_s: float
    ) -> tuple[Decision, ...]:
        """Take a first replica's list of requests and the stages they wait for.

        Every request through such a stage moves to another path, also those that
        the list does not name yet.
        """
        for address in set(stalled.values()):
            self._suspect_address(address, now_s)
        if stalled:
            # What is known now need not be asked again at the next chance.
            self._asked_s[head_id] = now_s + KNOWN_STALL_PAUSE_S
            return self._reroute_suspected(now_s)
        return self._check_stages(head_id, now_s)

    def _check_stages(self, head_id: str, now_s: float) -> tuple[Decision, ...]:
        """Ask the stages of the longest silent request whether one is slow."""
        silent = [
            active
            for active in self._active.values()
            if active.path is not None and active.replica_id == head_id
        ]
        if not silent:
            return ()
        longest = min(silent, key=lambda each: max(each.progress_s, each.sent_s))
        if now_s - max(longest.progress_s, longest.sent_s) < STALL_GAP_S:
            return ()
        assert longest.path is not None
        checks = []
        for part in longest.path.parts:
            if now_s - self._checked_s.get(part.replica_id, -10.0) >= STAGE_CHECK_S:
                self._checked_s[part.replica_id] = now_s
                checks.append(CheckReplica(part.replica_id, part.address))
        return tuple(checks)

    def replica_checked(
        self, replica_id: str, report: ReplicaReport | None, now_s: float
    ) -> tuple[Decision, ...]:
        """Take a suspected replica's report, None for its silence."""
        was_suspected = self.health.checked(replica_id, answers=report is not None)
        if report is None:
            self._suspect(replica_id, now_s)
            return self._reroute_suspected(now_s)
        self.loads.reported(replica_id, report.kv_used, now_s)
        self.health.found_slowness(replica_id, report.slowness, now_s)
        if was_suspected and report.kv_used < FULL_SHARE * report.kv_total:
            # It lives and has room, but turned a request away: it is leaving, or
            # gives up the layers that were asked for.
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                self.health.refused_with_room(replica_id, replica.incarnation, now_s)
        return ()

    def _suspect(self, replica_id: str, now_s: float) -> None:
        replica = self.registry.replicas.get(replica_id)
        if replica is not None:
            self.health.suspect(replica_id, replica.incarnation, now_s)

    def _suspect_address(self, address: str, now_s: float) -> None:
        for replica in self.registry.replicas.values():
            if replica.address == address:
                self._suspect(replica.replica_id, now_s)

    def _reroute_suspected(self, now_s: float) -> tuple[Decision, ...]:
        decisions: list[Decision] = []
        for active in list(self._active.values()):
            if active.path is None or active.replica_id is None:
                continue
            if now_s - max(active.progress_s, active.sent_s) < REROUTE_GAP_S:
                continue
            later = active.path.parts[1:]
            if any(self.health.is_excluded(p.replica_id, now_s) for p in later):
                decisions += self._leave_stage(active, now_s)
        return tuple(decisions)

    def _leave_stage(self, active: _Active, now_s: float) -> tuple[Decision, ...]:
        """Move a request to another path of its zone, else start it in another zone.

        Where neither is possible it stays, as the stage may come back.
        """
        if now_s - active.rerouted_s < REROUTE_INTERVAL_S:
            return ()
        reroute = self._reroute(active, now_s)
        if reroute is not None:
            return (reroute,)
        budget = self._budget(active.service.name)
        if not active.route.may_repeat or not active.has_sends_left:
            return ()
        if self._services[active.service.name].waiting:
            # Its prompt would be read again in room that others wait for.
            return ()
        if not budget.has_left(now_s, hosts=self.hosts):
            return ()
        attempt, path, replica_id = active.attempt, active.path, active.replica_id
        self._release(active)
        send = self._try_send(active, now_s)
        if send is None:
            active.path, active.replica_id = path, replica_id
            self._reserve(active)
            return ()
        budget.repeated(now_s)
        active.runs += 1
        active.rerouted_s = now_s
        return (CancelAttempt(active.key, attempt), send)

    def _reroute(self, active: _Active, now_s: float) -> Reroute | None:
        assert active.path is not None
        head = active.path.head
        replica = self.registry.replicas.get(head.replica_id)
        if replica is None:
            return None
        # Its own reservation must not count against the request.
        self._release(active)
        path = self._path_in(active, replica.availability_zone, now_s, first=head)
        active.path = path or active.path
        self._reserve(active)
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
        silent_heads: dict[str, str] = {}
        for active in list(self._active.values()):
            decisions += self._check(active, now_s, silent_heads)
        for replica_id, address in silent_heads.items():
            if now_s - self._asked_s.get(replica_id, -1.0) >= STALL_ASK_INTERVAL_S:
                self._asked_s[replica_id] = now_s
                decisions.append(AskStalled(replica_id, address))
        for replica_id in self.health.due_checks(now_s):
            replica = self.registry.replicas.get(replica_id)
            if replica is not None:
                decisions.append(CheckReplica(replica_id, replica.address))
        for name in list(self._services):
            decisions += self._pump(name, now_s)
        return tuple(decisions)

    def _check(
        self, active: _Active, now_s: float, silent_heads: dict[str, str]
    ) -> list[Decision]:
        if active.replica_id is None:
            waited_s = now_s - active.arrived_s
            if now_s >= active.give_up_s or waited_s > active.patience_s:
                ending = Ending.OVERLOADED
                if active.may_have_run:
                    ending = Ending.TIMED_OUT
                return [self._finish(active, ending, "waited")]
            return []
        if now_s >= active.give_up_s:
            cancel = CancelAttempt(active.key, active.attempt)
            return [cancel, self._finish(active, Ending.TIMED_OUT, "time is over")]
        if active.path is None or active.route.kind is not RouteKind.STREAM:
            return []
        if now_s - max(active.progress_s, active.sent_s) >= STALL_GAP_S:
            silent_heads[active.path.head.replica_id] = active.path.head.address
        return []

    # Sending

    def _pump(self, name: str, now_s: float) -> tuple[Decision, ...]:
        state = self._services[name]
        decisions: list[Decision] = []
        failed = 0
        for active in list(state.waiting):
            send = self._try_send(active, now_s)
            if send is None:
                failed += 1
                if failed >= SCAN_LIMIT:
                    break
                continue
            if active in state.waiting:
                state.waiting.remove(active)
            decisions.append(send)
        return tuple(decisions)

    def _try_send(self, active: _Active, now_s: float) -> Send | None:
        if now_s < active.not_before_s:
            return None
        engine = active.service.engine
        if engine is not None and engine.layers > 0:
            return self._send_on_path(active, now_s)
        return self._send_plain(active, now_s)

    def _allowed(self, active: _Active, replica_id: str) -> bool:
        return replica_id in active.replicas or self._may_try_more(active)

    def _send_on_path(self, active: _Active, now_s: float) -> Send | None:
        own = self._path_in(active, self._zone, now_s)
        gap_s = active.route.gap_objective_s
        slow_ms = SLOW_STEP_SHARE * gap_s * 1000 if gap_s else float("inf")
        best = own
        if own is None or own.step_ms > slow_ms:
            for zone in self._zones(active.service.name):
                if zone == self._zone:
                    continue
                path = self._path_in(active, zone, now_s)
                if path is None:
                    continue
                path = attrs.evolve(path, step_ms=path.step_ms + CROSS_ZONE_STEP_MS)
                if best is None or path.step_ms < best.step_ms:
                    best = path
        if best is None:
            return None
        active.path = best
        return self._send(active, best.head.replica_id, best.head.address, now_s)

    def _path_in(
        self, active: _Active, zone: str, now_s: float, first: Part | None = None
    ) -> Path | None:
        engine = active.service.engine
        assert engine is not None
        usable = [
            replica
            for replica in self._usable(active.service.name)
            if replica.availability_zone == zone
            and not self.health.is_excluded(replica.replica_id, now_s)
            and (
                replica.layers is None
                or replica.layers.start > 0
                or first is not None
                or self._allowed(active, replica.replica_id)
            )
        ]
        size = active.request.size or UNKNOWN_SIZE
        return find_path(
            usable,
            engine,
            size,
            loads=self.loads,
            now_s=now_s,
            first=first,
            slowness=lambda replica_id: self.health.slowness(replica_id, now_s),
        )

    def _zones(self, service: str) -> set[str]:
        return {replica.availability_zone for replica in self._usable(service)}

    def _send_plain(self, active: _Active, now_s: float) -> Send | None:
        usable = [
            replica
            for replica in self._usable(active.service.name)
            if self._allowed(active, replica.replica_id)
            and self.loads.of(replica.replica_id).requests < max(1, replica.slots)
        ]
        fresh = [each for each in usable if each.replica_id not in active.replicas]
        usable = fresh or usable
        healthy = [
            each
            for each in usable
            if not self.health.is_excluded(each.replica_id, now_s)
        ]
        usable = healthy or usable
        if not usable:
            return None
        known = [self.health.latency_s(each.replica_id) for each in usable]
        usual_s = min((each for each in known if each is not None), default=0.0)

        def score(replica: Replica) -> tuple[float, bool, float]:
            load = self.loads.of(replica.replica_id).requests + 1
            factor = self.health.penalty(replica.replica_id, usual_s)
            far = replica.availability_zone != self._zone
            return (load * factor, far, self._random.random())

        chosen = min(usable, key=score)
        active.path = None
        return self._send(active, chosen.replica_id, chosen.address, now_s)

    def _send(
        self, active: _Active, replica_id: str, address: str, now_s: float
    ) -> Send:
        active.attempt += 1
        active.replica_id = replica_id
        active.replicas.add(replica_id)
        active.sent_s = active.progress_s = now_s
        self._reserve(active)
        self._services[active.service.name].starts.append(now_s)
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

    def _reserve(self, active: _Active) -> None:
        size = active.request.size or UNKNOWN_SIZE
        if active.path is None:
            assert active.replica_id is not None
            active.reserved = {active.replica_id: 0}
        else:
            engine = active.service.engine
            assert engine is not None
            tokens = size.expected_tokens(engine.usual_answer)
            active.reserved = {
                part.replica_id: (part.stop - part.start) * tokens
                for part in active.path.parts
            }
        for replica_id, layer_tokens in active.reserved.items():
            self.loads.add(replica_id, layer_tokens)

    def _release(self, active: _Active) -> None:
        for replica_id, layer_tokens in active.reserved.items():
            self.loads.remove(replica_id, layer_tokens)
        active.reserved = {}

    def _detach(self, active: _Active) -> None:
        self._release(active)
        active.replica_id = None
        state = self._services[active.service.name]
        if active in state.waiting:
            state.waiting.remove(active)

    def _finish(
        self, active: _Active, ending: Ending, detail: str, expected_s: float = 0.0
    ) -> Finish:
        self._detach(active)
        self._active.pop(active.key, None)
        retry_s = min(MAX_RETRY_S, max(MIN_RETRY_S, expected_s))
        # Spread over half the interval, so that callers do not return together.
        retry_s *= self._random.uniform(1.0, 1.5)
        return Finish(active.key, ending, retry_s, detail)

    # Replicas

    def _usable(self, service: str) -> list[Replica]:
        return [
            replica
            for replica in self.registry.replicas.values()
            if replica.service == service and not replica.is_draining
        ]

    def living_replicas(self, service: str, now_s: float) -> tuple[Replica, ...]:
        """Return the replicas of a service that are not known to be dead."""
        return tuple(
            replica
            for replica in self._usable(service)
            if not self.health.is_lost(replica.replica_id, now_s)
        )

    def _running(self, key: int, attempt: int) -> _Active | None:
        active = self._active.get(key)
        if active is None or active.attempt != attempt or active.replica_id is None:
            return None
        return active

    def _replica_of(self, active: _Active) -> Replica | None:
        if active.replica_id is None:
            return None
        return self.registry.replicas.get(active.replica_id)

    def _exclude(self, replica_id: str, now_s: float) -> None:
        replica = self.registry.replicas.get(replica_id)
        if replica is not None:
            self.health.exclude(replica_id, replica.incarnation, now_s)

    def _blame(
        self,
        active: _Active,
        failure: AttemptFailure,
        fault_address: str | None,
        now_s: float,
    ) -> None:
        replica = self._replica_of(active)
        if active.path is not None and fault_address is not None:
            for part in active.path.parts:
                if part.address != fault_address:
                    continue
                if failure is AttemptFailure.WRONG_REPLICA:
                    # It lives, but holds other layers than the registry says.
                    self._exclude(part.replica_id, now_s)
                else:
                    self._suspect_address(fault_address, now_s)
            return
        if replica is None or failure is AttemptFailure.NOT_RUN:
            return
        self.health.failed(replica.replica_id, replica.incarnation)
        if failure is AttemptFailure.NO_CONNECTION:
            self._suspect(replica.replica_id, now_s)
        elif failure is not AttemptFailure.ERROR:
            self._exclude(replica.replica_id, now_s)

    def _budget(self, service: str) -> SendBudget:
        state = self._services[service]
        if state.budget is None:
            ratio, slack, window_s = self._retry
            state.budget = SendBudget(ratio=ratio, slack=slack, window_s=window_s)
        return state.budget
