"""Replay of a plain service with few slots: routers, replicas and late load reports.

There is no network: the replicas run requests in slots, keep some in a queue and refuse
the rest. Reports arrive late, as from the datagrams of a fleet in three zones.
"""

import random
from collections import Counter, deque
from collections.abc import Iterator
from typing import Any

import attrs

from persimmonwell.core.forwarding import (
    AttemptFailure,
    Ending,
    Finish,
    ForwardingConfig,
    ForwardingRouter,
    Replica,
    RouteKind,
    Send,
    ServiceSpec,
    Tenant,
)
from tests.core.forwarding.fleets import (
    desk_replica,
    list_replicas,
    make_router,
    request,
    route,
)
from tests.core.forwarding.router_events import RouterEvents

HOP_S = 0.002
"""Time of a request or an answer on its way."""
GONE = AttemptFailure.NO_CONNECTION
DEADLINES_S = (1.0, 4.0)
OBJECTIVE_S = 0.3
SERVICE_S = (0.045, 0.09)
ZONES = ("za", "zb", "zc")
CONFIG = ForwardingConfig(
    version=8,
    routes=(
        route(
            "book",
            RouteKind.UNSAFE,
            "desk",
            max_attempts=1,
            latency_objective_s=OBJECTIVE_S,
            timeout_s=DEADLINES_S[1],
        ),
        route(
            "look",
            RouteKind.SAFE,
            "desk",
            latency_objective_s=OBJECTIVE_S,
            timeout_s=DEADLINES_S[1],
        ),
    ),
    services=(ServiceSpec("desk", "/health", 96),),
    tenants=(Tenant("range", ("key-1",)),),
)


@attrs.define
class PlainResult:
    """What a replay measured from warm_s on; the counters are by route."""

    arrived: Counter[str] = attrs.field(factory=Counter)
    in_time: Counter[str] = attrs.field(factory=Counter)
    late: Counter[str] = attrs.field(factory=Counter)
    refused: Counter[str] = attrs.field(factory=Counter)
    refused_late: int = 0
    """Refusals of requests that waited for longer than the objective."""

    def share(self, name: str) -> float:
        """Return the share of a route's requests that were answered in time."""
        return self.in_time[name] / max(1, self.arrived[name])


@attrs.define(eq=False)
class _Server:
    replica: Replica
    queue_limit: int
    running: int = 0
    queue: deque[tuple[Any, ...]] = attrs.field(factory=deque)
    is_gone: bool = False


@attrs.define(slots=False)
class PlainServiceReplay:
    """One run with a constant rate of arrivals."""

    hosts: int = 30
    replicas: int = 6
    slots: int = 6
    queue_limit: int = 24
    rate_per_s: float = 270.0
    unsafe_share: float = 0.3
    gone: int = 0
    """Replicas that die at warm_s."""
    delisted_after_s: float = 0.0
    """Time until the registry shows that they died."""
    loss: float = 0.02
    unreachable_zone: str | None = None
    """Zone whose hosts exchange no reports with those of the others."""
    warm_s: float = 1.0
    end_s: float = 5.0
    calm_rate_per_s: float | None = None
    """Arrivals a second until warm_s, by default as later."""
    first_share: float = 0.0
    """Part of the arrivals that the first host gets beside its equal one."""
    seed: int = 1

    def run(self) -> PlainResult:
        """Replay the arrivals and return the measures."""
        rng = self._rng = random.Random(self.seed)
        self._result = PlainResult()
        self._arrived: dict[int, tuple[float, str, float]] = {}
        self._servers = {
            f"d{n}": _Server(
                desk_replica(f"d{n}", ZONES[n % 3], slots=self.slots), self.queue_limit
            )
            for n in range(self.replicas)
        }
        self._zones = [ZONES[n % 3] for n in range(self.hosts)]
        self._routers = [self._make_router(n) for n in range(self.hosts)]
        self._events = RouterEvents(
            routers=self._routers,
            zones=self._zones,
            rng=rng,
            execute=self._execute,
            loss=self.loss,
            unreachable_zone=self.unreachable_zone,
        )
        self._events.add_reports_and_ticks()
        for number, at_s in enumerate(self._arrivals()):
            is_first = rng.random() < self.first_share
            host = 0 if is_first else rng.randrange(self.hosts)
            self._events.at(at_s, self._arrive, number, host)
        self._events.at(self.warm_s, self._remove_replicas)
        self._events.run(self.end_s)
        return self._result

    def _make_router(self, number: int) -> ForwardingRouter:
        router = make_router(zone=self._zones[number], seed=self.seed * 1000 + number)
        router.host_count = self.hosts
        router.configure(CONFIG)
        list_replicas(router, *(server.replica for server in self._servers.values()))
        return router

    def _arrivals(self) -> Iterator[float]:
        now_s = 0.0
        while True:
            rate = self.rate_per_s
            if now_s < self.warm_s and self.calm_rate_per_s is not None:
                rate = self.calm_rate_per_s
            now_s += self._rng.expovariate(rate)
            if now_s >= self.end_s:
                return
            yield now_s

    def _remove_replicas(self, now_s: float) -> None:
        servers = list(self._servers.values())
        for server in servers[: self.gone]:
            server.is_gone = True
        self._events.at(now_s + self.delisted_after_s, self._delist_replicas)

    def _delist_replicas(self, now_s: float) -> None:
        left = [s.replica for s in self._servers.values() if not s.is_gone]
        for router in self._routers:
            list_replicas(router, *left)

    def _arrive(self, now_s: float, key: int, number: int) -> None:
        name = "book" if self._rng.random() < self.unsafe_share else "look"
        timeout_s = self._rng.uniform(*DEADLINES_S)
        self._arrived[key] = (now_s, name, timeout_s)
        if self._is_counted(now_s):
            self._result.arrived[name] += 1
        caller = request(name, timeout_s=timeout_s, digest=str(key), size=None)
        decisions = self._routers[number].request_arrived(key, caller, now_s)
        self._execute(now_s, number, decisions)

    def _is_counted(self, arrived_s: float) -> bool:
        """Return whether a request has its answer before the replay ends."""
        return self.warm_s <= arrived_s < self.end_s - OBJECTIVE_S

    def _execute(self, now_s: float, number: int, decisions: tuple[Any, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, Send):
                self._events.at(now_s + HOP_S, self._receive, number, decision)
            elif isinstance(decision, Finish):
                self._record_end(now_s, decision)

    def _record_end(self, now_s: float, finish: Finish) -> None:
        arrived_s, name, _ = self._arrived[finish.key]
        if not self._is_counted(arrived_s):
            return
        if finish.ending is not Ending.OVERLOADED:
            self._result.late[name] += 1
            return
        self._result.refused[name] += 1
        self._result.refused_late += now_s - arrived_s > OBJECTIVE_S

    def _receive(self, now_s: float, number: int, send: Send) -> None:
        server = self._servers[send.replica_id]
        if server.is_gone:
            self._events.at(now_s + HOP_S, self._fail, number, send, GONE)
            return
        is_taken = server.running >= server.replica.slots
        if is_taken and len(server.queue) >= server.queue_limit:
            self._events.at(
                now_s + HOP_S, self._fail, number, send, AttemptFailure.NOT_RUN
            )
        elif is_taken:
            server.queue.append((number, send))
        else:
            self._start(now_s, server, number, send)

    def _start(self, now_s: float, server: _Server, number: int, send: Send) -> None:
        server.running += 1
        end_s = now_s + self._rng.uniform(*SERVICE_S)
        self._events.at(end_s, self._complete, server, number, send)

    def _complete(self, now_s: float, server: _Server, number: int, send: Send) -> None:
        server.running -= 1
        if server.queue:
            self._start(now_s, server, *server.queue.popleft())
        self._events.at(now_s + HOP_S, self._answer, number, send)

    def _answer(self, now_s: float, number: int, send: Send) -> None:
        arrived_s, name, _ = self._arrived[send.key]
        router = self._routers[number]
        if router._requests.running_attempt(send.key, send.attempt) is not None:
            if self._is_counted(arrived_s):
                is_late = now_s - arrived_s > OBJECTIVE_S
                self._result.late[name] += is_late
                self._result.in_time[name] += not is_late
        self._execute(
            now_s, number, router.answer_completed(send.key, send.attempt, now_s)
        )

    def _fail(
        self, now_s: float, number: int, send: Send, failure: AttemptFailure
    ) -> None:
        decisions = self._routers[number].attempt_failed(
            send.key, send.attempt, failure, now_s
        )
        self._execute(now_s, number, decisions)
