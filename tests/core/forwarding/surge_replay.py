"""Replay of a load surge on streams: routers, engines with prefills, and callers.

There is no network. The stages of a path run prefills in order of arrival, and the
decode steps of other streams wait for them, by the times that the engine's description
states. A caller that is refused returns once at the stated time, to any host, and its
answer is late then; one that gets no event for CALLER_PATIENCE_S leaves.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from itertools import count
from typing import Any

import attrs

from bench.forwarding_cost import ENGINE
from persimmonwell.core.forwarding import (
    PEER_REFUSAL_TTL_S,
    AttemptFailure,
    CancelAttempt,
    FetchStallReport,
    Finish,
    ForwardingConfig,
    ForwardingRouter,
    GenerationSize,
    PipelinePath,
    ProbeReplica,
    Replica,
    ReplicaReport,
    Reroute,
    RerouteFailure,
    RouteKind,
    Send,
    ServiceSpec,
    Tenant,
    plan_placement,
)
from tests.core.forwarding.fleets import (
    empty_replicas,
    list_replicas,
    request,
    route,
)

TICK_S = 0.05
HOP_S = 0.002
PROBE_S = 0.01
LOST_PROBE_S = 0.1
SWEEP_S = 0.1
TOKENS_PER_EVENT = 3
OBJECTIVE_S = 0.5
GAP_S = 0.25
TIMEOUT_S = 20.0
CALLER_PATIENCE_S = 2.0
KINDS = {"h100": 1, "a100s": 2, "l4": 13, "t4": 17}
CLASSES = {"urgent": 0, "normal": 1, "batch": 2}
CLASS_SHARES = {"urgent": 0.31, "normal": 0.5, "batch": 0.19}
WORKSPACES = 10
CONFIG = ForwardingConfig(
    version=9,
    routes=tuple(
        route(
            name,
            RouteKind.STREAM,
            "model",
            priority=priority,
            latency_objective_s=OBJECTIVE_S,
            gap_objective_s=GAP_S,
            timeout_s=TIMEOUT_S,
        )
        for name, priority in CLASSES.items()
    ),
    services=(ServiceSpec("model", "/health", 1058, ENGINE),),
    tenants=tuple(Tenant(f"w{n}", (f"key-{n}",)) for n in range(WORKSPACES)),
)


@attrs.define(eq=False)
class Call:
    """Caller's request, over both of its attempts at the hosts."""

    name: str
    workspace: int
    arrived_s: float
    size: GenerationSize
    output: int
    is_retry: bool = False
    host: int = 0
    key: int = 0
    attempt: int = 0
    path: PipelinePath | None = None
    tokens: int = 0
    """Tokens whose KV cache the stages hold."""
    events: int = 0
    run: int = 0
    """Number of the scheduled sequence of events; earlier ones are void."""
    last_event_s: float = 0.0
    first_s: float | None = None
    max_gap_s: float = 0.0
    outcome: str = ""

    @property
    def is_in_time(self) -> bool:
        """Return whether first event and gaps met their objectives."""
        return (
            self.outcome == "answered"
            and self.first_s is not None
            and self.first_s - self.arrived_s <= OBJECTIVE_S
            and self.max_gap_s <= GAP_S
        )


@attrs.define(slots=False)
class SurgeReplay:
    """One run: calm, a surge with one workspace at eight times its load, calm."""

    zones: int = 3
    hosts: int = 10
    """Hosts of each zone."""
    rate_per_s: float = 95.0
    """Arrivals a second in calm times."""
    surge: float = 3.0
    hot_factor: float = 8.0
    calm_s: float = 4.0
    surge_s: float = 5.0
    after_s: float = 9.0
    drain_s: float = 9.0
    gone_share: float = 0.04
    gone_s: float = 4.0
    seed: int = 1

    def run(self) -> "SurgeReplay":
        """Replay the arrivals; the calls then hold what happened to them."""
        rng = self._rng = random.Random(self.seed)
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = count()
        names = [f"z{n}" for n in range(self.zones)]
        self._place(names)
        self._zones = [zone for zone in names for _ in range(self.hosts)]
        self._routers = [self._make_router(n) for n in range(len(self._zones))]
        self.calls: list[Call] = []
        self.sends = Counter[tuple[str, int]]()
        self.running: list[tuple[float, int]] = []
        self._open: dict[int, Call] = {}
        self._keys = count(1)
        self._add_reports(rng)
        self._add_arrivals(rng)
        self._at(self.calm_s + 1.0, self._lose)
        self._at(SWEEP_S, self._sweep)
        self.end_s = self.calm_s + self.surge_s + self.after_s
        while self._events and self._events[0][0] < self.end_s + self.drain_s:
            now_s, _, call, arguments = heapq.heappop(self._events)
            call(now_s, *arguments)
        return self

    def _place(self, names: list[str]) -> None:
        empty = empty_replicas({zone: dict(KINDS) for zone in names})
        held = {o.replica_id: o.layers for o in plan_placement(empty, ENGINE)}
        placed = [attrs.evolve(r, layers=held.get(r.replica_id)) for r in empty]
        self._replicas: dict[str, Replica] = {r.replica_id: r for r in placed}
        self._by_address = {r.address: r.replica_id for r in placed}
        kinds = dict(ENGINE.accelerators)
        self._kind = {name: kinds[r.accelerator] for name, r in self._replicas.items()}
        self._capacity = {
            name: (kinds[r.accelerator].memory_mb - r.layers.count * ENGINE.layer_mb)
            / ENGINE.kv_mb_per_layer_token
            for name, r in self._replicas.items()
            if r.layers is not None
        }
        self._used = Counter[str]()
        self._requests = Counter[str]()
        self._busy_until_s: dict[str, float] = {}
        self._dead: set[str] = set()

    def _make_router(self, number: int) -> ForwardingRouter:
        router = ForwardingRouter(
            availability_zone=self._zones[number],
            seed=self.seed * 1000 + number,
            retry_ratio=0.2,
            retry_slack=40.0,
            retry_window_s=10.0,
        )
        router.configure(CONFIG)
        router.host_count = len(self._zones)
        list_replicas(router, *self._replicas.values())
        return router

    def _add_reports(self, rng: random.Random) -> None:
        for source, zone in enumerate(self._zones):
            for target, other in enumerate(self._zones):
                if source == target:
                    continue
                near, far = (self.hosts - 1) / 4, (len(self._zones) - self.hosts) / 2
                interval_s = 0.25 * max(1.0, near if zone == other else far)
                at_s = rng.random() * interval_s
                self._at(at_s, self._report, source, target, interval_s)
            self._at(rng.random() * TICK_S, self._tick, source)

    def _add_arrivals(self, rng: random.Random) -> None:
        now_s = 0.0
        while now_s < self.calm_s + self.surge_s + self.after_s:
            in_surge = self.calm_s <= now_s < self.calm_s + self.surge_s
            rate = self.rate_per_s * (self.surge if in_surge else 1.0)
            now_s += rng.expovariate(rate)
            name = rng.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
            weights = [1.0] * WORKSPACES
            weights[0] = self.hot_factor if in_surge else 1.0
            workspace = rng.choices(range(WORKSPACES), weights)[0]
            output = max(1, min(600, int(rng.lognormvariate(4.9, 0.7))))
            prompt = min(6000, int(rng.lognormvariate(6.4, 0.7)))
            hint = max(1, int(output * rng.uniform(0.5, 1.6)))
            size = GenerationSize(prompt, 600, hint)
            self._at(now_s, self._arrive, Call(name, workspace, now_s, size, output))

    def _at(self, at_s: float, call: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (at_s, next(self._numbers), call, arguments))

    # Callers

    def _arrive(self, now_s: float, call: Call) -> None:
        if not call.is_retry:
            self.calls.append(call)
            call.last_event_s = now_s
        call.key, call.host = next(self._keys), self._rng.randrange(len(self._zones))
        call.last_event_s = now_s
        self._open[call.key] = call
        caller = request(
            call.name,
            size=call.size,
            digest=f"{id(call)}",
            api_key=f"key-{call.workspace}",
            timeout_s=TIMEOUT_S - (now_s - call.arrived_s),
        )
        router = self._routers[call.host]
        self._execute(now_s, call.host, router.request_arrived(call.key, caller, now_s))

    def _finish(self, now_s: float, finish: Finish) -> None:
        call = self._open.pop(finish.key)
        self._stop(call)
        if finish.ending.has_not_run and not call.is_retry:
            call.is_retry = True
            self._at(now_s + finish.retry_after_s, self._arrive, call)
            return
        call.outcome = finish.ending.value

    def _sweep(self, now_s: float) -> None:
        self._at(now_s + SWEEP_S, self._sweep)
        self.running.append(
            (now_s, sum(c.path is not None for c in self._open.values()))
        )
        for key, call in list(self._open.items()):
            if now_s - call.last_event_s > CALLER_PATIENCE_S:
                del self._open[key]
                self._stop(call)
                call.outcome = "left"
                router = self._routers[call.host]
                self._execute(now_s, call.host, router.caller_left(key, now_s))

    # Hosts

    def _tick(self, now_s: float, number: int) -> None:
        self._execute(now_s, number, self._routers[number].tick(now_s))
        self._at(now_s + TICK_S, self._tick, number)

    def _execute(self, now_s: float, number: int, decisions: tuple[Any, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, Send):
                self._send(now_s, decision)
            elif isinstance(decision, Finish):
                self._finish(now_s, decision)
            elif isinstance(decision, CancelAttempt):
                call = self._open.get(decision.key)
                if call is not None and call.attempt == decision.attempt:
                    self._stop(call)
            elif isinstance(decision, ProbeReplica):
                is_lost = decision.replica_id in self._dead
                at_s = now_s + (LOST_PROBE_S if is_lost else PROBE_S)
                self._at(at_s, self._probe, number, decision.replica_id)
            elif isinstance(decision, FetchStallReport):
                self._at(now_s + PROBE_S, self._fetch, number, decision.replica_id)
            elif isinstance(decision, Reroute):
                self._at(now_s + HOP_S, self._reroute, number, decision)

    def _probe(self, now_s: float, number: int, replica_id: str) -> None:
        is_alive = replica_id not in self._dead
        report = ReplicaReport(
            orders_accepted=0,
            kv_used=int(self._used[replica_id]),
            kv_total=int(self._capacity[replica_id]),
        )
        router = self._routers[number]
        decisions = router.replica_probed(
            replica_id, report if is_alive else None, now_s, is_alive=is_alive
        )
        self._execute(now_s, number, decisions)

    def _fetch(self, now_s: float, number: int, replica_id: str) -> None:
        if replica_id in self._dead:
            return
        stalled = {}
        for call in self._open.values():
            if call.path is None or call.path.first_stage.replica_id != replica_id:
                continue
            for stage in call.path.stages:
                if stage.replica_id in self._dead:
                    stalled[str(call.key)] = stage.address
        decisions = self._routers[number].stall_report_received(
            replica_id, stalled, now_s
        )
        self._execute(now_s, number, decisions)

    def _report(
        self, now_s: float, source: int, target: int, interval_s: float
    ) -> None:
        self._at(now_s + interval_s, self._report, source, target, interval_s)
        zones = (self._zones[source], self._zones[target])
        router, other = self._routers[source], self._routers[target]
        is_near = zones[0] == zones[1]
        other.loads.set_peer_loads(
            f"host-{source}",
            router.loads.local,
            now_s + 2.5 * interval_s,
            zone_reported_s=now_s if is_near else None,
        )
        if not is_near:
            other.loads.zone_reports.record(f"host-{source}", zones[0], now_s)
        for row in router.loads.full_stages.newest(now_s):
            other.loads.full_stages.merge(row, now_s)
        other.health.record_peer_lost(router.health.lost, now_s + 2.5 * interval_s)
        other.caller_retries.record_peer_refusals(
            router.caller_retries.recent_digests(now_s), now_s + PEER_REFUSAL_TTL_S
        )
        usage = router.workspace_usage.heaviest(now_s)
        other.record_peer_usage(f"host-{source}", usage, now_s)

    # Engines

    def _send(self, now_s: float, send: Send) -> None:
        call = self._open[send.key]
        call.attempt = send.attempt
        self.sends[("retry" if call.is_retry else "new", int(now_s))] += 1
        assert send.path is not None
        short = self._start(call, send.path)
        if short is not None:
            failure = AttemptFailure.NOT_RUN
            if send.path.first_stage.replica_id in self._dead:
                failure = AttemptFailure.NO_CONNECTION
            self._at(now_s + PROBE_S, self._refuse, call, send, short, failure)
            return
        self._prefill(now_s + HOP_S, call, call.run, 0)

    def _start(self, call: Call, path: PipelinePath) -> str | None:
        """Reserve the memory of a path, or return the replica without room."""
        tokens = call.size.prompt_tokens + call.output // 2
        first = path.first_stage.replica_id
        if self._requests[first] >= min(ENGINE.slots, self._replicas[first].slots):
            return first
        for stage in path.stages:
            replica_id = stage.replica_id
            need = (stage.stop - stage.start) * tokens
            is_full = self._used[replica_id] + need > self._capacity[replica_id]
            if is_full or replica_id in self._dead:
                return replica_id
        for stage in path.stages:
            self._requests[stage.replica_id] += 1
            self._used[stage.replica_id] += (stage.stop - stage.start) * tokens
        call.path, call.tokens, call.run = path, tokens, call.run + 1
        return None

    def _stop(self, call: Call) -> None:
        """Free what a call holds at the engines."""
        call.run += 1
        if call.path is None:
            return
        for stage in call.path.stages:
            self._requests[stage.replica_id] -= 1
            self._used[stage.replica_id] -= (stage.stop - stage.start) * call.tokens
        call.path = None

    def _refuse(
        self,
        now_s: float,
        call: Call,
        send: Send,
        short: str,
        failure: AttemptFailure,
    ) -> None:
        decisions = self._routers[call.host].attempt_failed(
            send.key,
            send.attempt,
            failure,
            now_s,
            fault_address=self._replicas[short].address,
        )
        self._at(now_s + PROBE_S, self._probe, call.host, short)
        self._execute(now_s, call.host, decisions)

    def _prefill(self, now_s: float, call: Call, run: int, number: int) -> None:
        """Run the prefill of one stage, and then that of the next one."""
        if run != call.run or call.path is None:
            return
        stages = call.path.stages
        if number == len(stages):
            self._emit(now_s, call, run)
            return
        stage = stages[number]
        if stage.replica_id in self._dead:
            return
        tokens = call.size.prompt_tokens + TOKENS_PER_EVENT * call.events
        work_s = (
            tokens
            / ENGINE.prefill_tokens_per_s
            * (stage.stop - stage.start)
            / ENGINE.layers
            * self._kind[stage.replica_id].prefill_factor
        )
        end_s = max(now_s, self._busy_until_s.get(stage.replica_id, 0.0)) + work_s
        self._busy_until_s[stage.replica_id] = end_s
        hop_s = ENGINE.hop_delay_ms / 1000
        self._at(end_s + hop_s, self._prefill, call, run, number + 1)

    def _emit(self, now_s: float, call: Call, run: int) -> None:
        """Deliver one event of a stream and schedule the next one."""
        if run != call.run or call.path is None:
            return
        stages = call.path.stages
        if any(stage.replica_id in self._dead for stage in stages):
            return
        router = self._routers[call.host]
        if call.first_s is None:
            call.first_s = now_s
        else:
            call.max_gap_s = max(call.max_gap_s, now_s - call.last_event_s)
        call.last_event_s = now_s
        if call.events == 0:
            router.answer_opened(call.key, call.attempt)
            router.answer_began(call.key, call.attempt, now_s)
        else:
            router.event_received(call.key, call.attempt, now_s)
        call.events += 1
        if call.events * TOKENS_PER_EVENT >= call.output:
            call.outcome = "answered"
            del self._open[call.key]
            self._stop(call)
            decisions = router.answer_completed(call.key, call.attempt, now_s)
            self._execute(now_s, call.host, decisions)
            return
        self._at(now_s + self._gap_s(now_s, call.path), self._emit, call, run)

    def _gap_s(self, now_s: float, path: PipelinePath) -> float:
        """Return the time of the steps of an event, with the prefills before them."""
        context = (
            ENGINE.typical_prompt_tokens + ENGINE.typical_output_tokens / 2
        ) / 1000
        per_request = (
            ENGINE.step_ms_per_sequence + ENGINE.step_ms_per_1k_context * context
        )
        gap_s = 0.0
        for stage in path.stages:
            name = stage.replica_id
            step_ms = ENGINE.step_ms + self._requests[name] * per_request
            share = (stage.stop - stage.start) / ENGINE.layers
            step_ms = share * self._kind[name].step_factor * step_ms
            gap_s += TOKENS_PER_EVENT * (step_ms + ENGINE.hop_delay_ms) / 1000
            gap_s += max(0.0, self._busy_until_s.get(name, 0.0) - now_s)
        return gap_s

    def _reroute(self, now_s: float, number: int, reroute: Reroute) -> None:
        call = self._open.get(reroute.key)
        if call is None or call.attempt != reroute.attempt or call.path is None:
            return
        before = call.path
        self._stop(call)
        short = self._start(call, reroute.path)
        if short is None:
            # The stages that were kept have the prompt, so only the others prefill.
            kept = {stage.replica_id for stage in before.stages}
            stages = reroute.path.stages
            first = next(
                (n for n, stage in enumerate(stages) if stage.replica_id not in kept), 0
            )
            self._prefill(now_s, call, call.run, first)
            return
        self._start(call, before)
        decisions = self._routers[number].reroute_failed(
            reroute,
            RerouteFailure.STAGE_UNAVAILABLE,
            self._replicas[short].address,
            now_s,
        )
        self._execute(now_s, number, decisions)

    def _lose(self, now_s: float) -> None:
        """Lose some of the replicas, and restore them after a time."""
        names = sorted(self._capacity)
        gone = self._rng.sample(names, round(self.gone_share * len(names)))
        self._dead.update(gone)
        self._at(now_s + self.gone_s, self._restore)
        for call in list(self._open.values()):
            if call.path is None or call.path.first_stage.replica_id not in gone:
                continue
            attempt, host = call.attempt, call.host
            self._stop(call)
            decisions = self._routers[host].attempt_failed(
                call.key, attempt, AttemptFailure.BROKEN, now_s
            )
            self._execute(now_s, host, decisions)

    def _restore(self, now_s: float) -> None:
        self._dead.clear()
