"""Replay of zones with unlike demand and accelerators: routers and late load reports.

There is no network. A replica refuses what exceeds its KV memory, as engines do, and a
stream takes its steps at the pace of its path when it begins.
"""

import random
from collections import Counter
from collections.abc import Mapping
from itertools import count
from typing import Any

import attrs

from bench.forwarding_cost import ENGINE
from persimmonwell.core.forwarding import (
    AttemptFailure,
    Finish,
    ForwardingRouter,
    GenerationSize,
    HeldLayers,
    ProbeReplica,
    Replica,
    ReplicaReport,
    Send,
    plan_placement,
)
from tests.core.forwarding.fleets import (
    empty_replicas,
    list_replicas,
    make_router,
    request,
)
from tests.core.forwarding.router_events import RouterEvents

HOP_S = 0.002
CROSSING_S = 0.004
PREFILL_S = 0.05
OBJECTIVE_S = 0.5
ALIKE = {"h100": 1, "a100s": 1, "l4": 8, "t4": 12}
UNLIKE = {
    "za": {"a100s": 1, "l4": 9, "t4": 14},
    "zb": {"h100": 1, "a100s": 1, "l4": 8, "t4": 12},
    "zc": {"h100": 2, "a100s": 2, "l4": 8, "t4": 10},
}
"""Zones with one, two and four fast accelerators."""
SLOW_ZONE_DEMAND = {"za": 0.55, "zb": 0.3, "zc": 0.15}
EVEN_DEMAND = {"za": 1 / 3, "zb": 1 / 3, "zc": 1 / 3}


@attrs.define
class ZoneResult:
    """What a replay measured; the counters are by zone of the host and route."""

    arrived: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    in_time: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    """Requests with their first event within the latency objective."""
    completed: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    duration_s: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    """Sum of the times from arrival to the end of the answer."""
    sends: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    """Sends by zone of the host and of the replica."""
    refused_sends: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    finished: Counter[str] = attrs.field(factory=Counter)
    steps_ms: list[float] = attrs.field(factory=list)
    log: list[tuple[float, int, str]] = attrs.field(factory=list)
    """Time, request and first replica of each send."""

    @property
    def crossings(self) -> int:
        """Return the sends to other zones."""
        return sum(n for (source, target), n in self.sends.items() if source != target)


@attrs.define(slots=False)
class ZoneReplay:
    """One run; the hosts of a zone get equal parts of its demand."""

    zones: Mapping[str, Mapping[str, int]] = attrs.field(factory=lambda: UNLIKE)
    demand: Mapping[str, float] = attrs.field(factory=lambda: SLOW_ZONE_DEMAND)
    hosts: int = 10
    """Hosts of each zone."""
    rate_per_s: float = 60.0
    batch_share: float = 0.3
    loss: float = 0.02
    unreachable_zone: str | None = None
    report_age: float = 1.0
    warm_s: float = 2.0
    end_s: float = 8.0
    seed: int = 1

    def run(self) -> ZoneResult:
        """Replay the arrivals and return the measures."""
        rng = self._rng = random.Random(self.seed)
        self._result = ZoneResult()
        self._replicas = _placed(self.zones)
        self._by_address = {r.address: r.replica_id for r in self._replicas.values()}
        self._requests: Counter[str] = Counter()
        self._used: Counter[str] = Counter()
        kinds = dict(ENGINE.accelerators)
        self._factor = {
            name: kinds[r.accelerator].step_factor for name, r in self._replicas.items()
        }
        self._capacity = {
            name: (kinds[r.accelerator].memory_mb - r.layers.count * ENGINE.layer_mb)
            / ENGINE.kv_mb_per_layer_token
            for name, r in self._replicas.items()
            if r.layers is not None
        }
        self._zones = [zone for zone in self.zones for _ in range(self.hosts)]
        self._routers = [self._make_router(n) for n in range(len(self._zones))]
        self._events = RouterEvents(
            routers=self._routers,
            zones=self._zones,
            rng=rng,
            execute=self._execute,
            loss=self.loss,
            unreachable_zone=self.unreachable_zone,
            report_age=self.report_age,
        )
        self._events.add_reports_and_ticks()
        self._add_arrivals()
        self._events.run(self.end_s)
        return self._result

    def _make_router(self, number: int) -> ForwardingRouter:
        router = make_router(zone=self._zones[number], seed=self.seed * 1000 + number)
        router.host_count = len(self._zones)
        list_replicas(router, *self._replicas.values())
        return router

    def _add_arrivals(self) -> None:
        self._arrived: dict[int, tuple[float, tuple[str, str], GenerationSize, int]]
        self._arrived = {}
        rng, now_s = self._rng, 0.0
        for key in count():
            now_s += rng.expovariate(self.rate_per_s)
            if now_s >= self.end_s:
                return
            zone = rng.choices(list(self.demand), list(self.demand.values()))[0]
            number = self._zones.index(zone) + rng.randrange(self.hosts)
            name = "batch" if rng.random() < self.batch_share else "urgent"
            output = min(600, int(rng.lognormvariate(4.9, 0.7)))
            prompt = min(6000, int(rng.lognormvariate(6.4, 0.7)))
            hint = max(1, int(output * rng.uniform(0.5, 1.6)))
            size = GenerationSize(prompt, 600, hint)
            self._arrived[key] = (now_s, (zone, name), size, output)
            self._events.at(now_s, self._arrive, key, number)

    def _is_counted(self, key: int) -> bool:
        return self._arrived[key][0] >= self.warm_s

    def _arrive(self, now_s: float, key: int, number: int) -> None:
        _, kind, size, _ = self._arrived[key]
        if self._is_counted(key) and now_s < self.end_s - OBJECTIVE_S:
            self._result.arrived[kind] += 1
        caller = request(kind[1], size=size, digest=str(key))
        self._execute(
            now_s, number, self._routers[number].request_arrived(key, caller, now_s)
        )

    def _execute(self, now_s: float, number: int, decisions: tuple[Any, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, Send):
                self._send(now_s, number, decision)
            elif isinstance(decision, ProbeReplica):
                self._events.at(now_s + 0.01, self._probe, number, decision.replica_id)
            elif isinstance(decision, Finish):
                if self._is_counted(decision.key):
                    self._result.finished[decision.ending.value] += 1

    def _send(self, now_s: float, number: int, send: Send) -> None:
        assert send.path is not None
        target = self._replicas[send.replica_id].availability_zone
        pair = (self._zones[number], target)
        if self._is_counted(send.key):
            self._result.sends[pair] += 1
            self._result.log.append((now_s, send.key, send.replica_id))
        arrived_s, kind, size, output = self._arrived[send.key]
        tokens = size.prompt_tokens + output // 2
        stages = send.path.stages
        for stage in stages:
            need = (stage.stop - stage.start) * tokens
            if self._used[stage.replica_id] + need > self._capacity[stage.replica_id]:
                if self._is_counted(send.key):
                    self._result.refused_sends[pair] += 1
                address = self._replicas[stage.replica_id].address
                self._events.at(now_s + 0.01, self._refuse, number, send, address)
                return
        for stage in stages:
            self._requests[stage.replica_id] += 1
            self._used[stage.replica_id] += (stage.stop - stage.start) * tokens
        context = (
            ENGINE.typical_prompt_tokens + ENGINE.typical_output_tokens / 2
        ) / 1000
        per_request = (
            ENGINE.step_ms_per_sequence + ENGINE.step_ms_per_1k_context * context
        )
        step_s = (
            sum(
                (stage.stop - stage.start)
                * self._factor[stage.replica_id]
                * (ENGINE.step_ms + self._requests[stage.replica_id] * per_request)
                / ENGINE.layers
                + ENGINE.hop_delay_ms
                for stage in stages
            )
            / 1000
        )
        first_s = now_s + HOP_S + PREFILL_S + step_s
        if pair[0] != pair[1]:
            first_s += CROSSING_S
        if self._is_counted(send.key):
            self._result.steps_ms.append(step_s * 1000)
            is_in_time = first_s - arrived_s <= OBJECTIVE_S
            if now_s < self.end_s - OBJECTIVE_S:
                self._result.in_time[kind] += is_in_time
        self._events.at(first_s, self._begin, number, send)
        self._events.at(first_s + output * step_s, self._complete, number, send, tokens)

    def _begin(self, now_s: float, number: int, send: Send) -> None:
        self._routers[number].answer_opened(send.key, send.attempt)
        self._routers[number].answer_began(send.key, send.attempt, now_s)

    def _complete(self, now_s: float, number: int, send: Send, tokens: int) -> None:
        assert send.path is not None
        for stage in send.path.stages:
            self._requests[stage.replica_id] -= 1
            self._used[stage.replica_id] -= (stage.stop - stage.start) * tokens
        arrived_s, kind, _, _ = self._arrived[send.key]
        if self._is_counted(send.key):
            self._result.completed[kind] += 1
            self._result.duration_s[kind] += now_s - arrived_s  # type: ignore[assignment]
        router = self._routers[number]
        self._execute(
            now_s, number, router.answer_completed(send.key, send.attempt, now_s)
        )

    def _refuse(self, now_s: float, number: int, send: Send, address: str) -> None:
        replica_id = self._by_address[address]
        self._events.at(now_s + 0.01, self._probe, number, replica_id)
        decisions = self._routers[number].attempt_failed(
            send.key,
            send.attempt,
            AttemptFailure.NOT_RUN,
            now_s,
            fault_address=address,
        )
        self._execute(now_s, number, decisions)

    def _probe(self, now_s: float, number: int, replica_id: str) -> None:
        report = ReplicaReport(
            orders_accepted=0,
            kv_used=int(self._used[replica_id]),
            kv_total=int(self._capacity[replica_id]),
        )
        router = self._routers[number]
        decisions = router.replica_probed(replica_id, report, now_s, is_alive=True)
        self._execute(now_s, number, decisions)


def _placed(zones: Mapping[str, Mapping[str, int]]) -> dict[str, Replica]:
    empty = empty_replicas({zone: dict(kinds) for zone, kinds in zones.items()})
    held: dict[str, HeldLayers] = {}
    for order in plan_placement(empty, ENGINE):
        held[order.replica_id] = order.layers
    return {r.replica_id: attrs.evolve(r, layers=held.get(r.replica_id)) for r in empty}
