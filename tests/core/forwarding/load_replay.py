"""Replay of hosts that choose paths on the same replicas from old load reports.

There is no network: each host has the product's pool of upstreams, its queue is a list,
and a replica refuses what exceeds its KV memory, as engines do. Times are virtual.
"""

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from bench.forwarding_cost import ENGINE
from persimmonwell.core.forwarding import (
    AttemptFailure,
    GenerationSize,
    HeldLayers,
    LoadTable,
    RegistryRecord,
    Replica,
    plan_placement,
)
from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._budget import RetryBudget
from persimmonwell.core.forwarding._paths import StageTable, search_path
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from tests.core.forwarding.fleets import (
    CONFIG,
    desk_replica,
    empty_replicas,
    request,
)
from tests.core.forwarding.pools import make_pool, make_request

TICK_S = 0.05
SAMPLE_S = 0.1
PROBE_S = 0.01
"""Time until the report of a replica that refused arrives."""
MAX_WAIT_S = 0.5
"""Latency objective; a request that waits longer is lost, so that the measure does not
depend on the order of a queue."""
REFUSAL_S = 0.01
"""Time until a refusal arrives."""
SCAN_LIMIT = 6
BASE_BACKOFF_S = 0.15
MAX_SENDS = 4
ROUTE = CONFIG.routes[0]
SERVICE = CONFIG.services[0]


@attrs.frozen
class Site:
    """Hosts and replicas of one zone."""

    hosts: int
    kinds: Mapping[str, int]
    are_copies: bool = False
    """Whether the layers are laid out as equal chains instead of planned."""

    def replicas(self) -> list[Replica]:
        """Return the replicas with their layers."""
        empty = empty_replicas({"za": dict(self.kinds)})
        if self.are_copies:
            held = {
                replica.replica_id: HeldLayers(number % 10 * 8, number % 10 * 8 + 8)
                for number, replica in enumerate(empty)
            }
        else:
            held = {
                order.replica_id: order.layers
                for order in plan_placement(empty, ENGINE)
            }
        return [attrs.evolve(r, layers=held.get(r.replica_id)) for r in empty]

    @property
    def report_interval_s(self) -> float:
        """Return the time between two reports of a zone peer."""
        return 0.25 * max(1, -(-(self.hosts - 1) // 4))


SITES = {
    4: Site(2, {"h100": 1, "a100s": 1, "l4": 5, "t4": 7}),
    30: Site(10, {"h100": 1, "a100s": 2, "l4": 13, "t4": 17}),
    65: Site(22, {"h100": 2, "a100s": 4, "l4": 27, "t4": 39}),
    340: Site(57, {"h100": 7, "a100s": 13, "l4": 84, "t4": 113}),
}
"""Zones by the hosts of all zones."""
COPIES = {
    4: Site(2, {"l4": 20}, are_copies=True),
    30: Site(10, {"l4": 40}, are_copies=True),
    65: Site(22, {"l4": 80}, are_copies=True),
    340: Site(57, {"l4": 220}, are_copies=True),
}


@attrs.define
class Result:
    """What a replay measured."""

    sends: int = 0
    refused: int = 0
    answered: int = 0
    in_time: int = 0
    lost: int = 0
    surge_in_time: int = 0
    surge_sends: int = 0
    surge_refused: int = 0
    calm_steps_ms: list[float] = attrs.field(factory=list)
    shares: list[float] = attrs.field(factory=list)
    """In flight at a replica over the mean of like ones, at each sample."""
    samples: int = 0
    idle_samples: int = 0
    """Samples at which a request waited although a path had room for it."""
    used_shares: list[float] = attrs.field(factory=list)
    surge_shares: dict[str, list[float]] = attrs.field(factory=dict)
    """Shares by replica, at each sample of the surge."""
    mean_requests: dict[str, float] = attrs.field(factory=dict)
    """Requests in flight by replica, the mean over the samples of the surge."""

    @property
    def spread(self) -> float:
        """Return the 95th percentile over the mean of in-flight requests."""
        ordered = sorted(self.shares)
        return ordered[int(0.95 * len(ordered))] if ordered else 1.0


class Engine:
    """Replicas with their true loads."""

    def __init__(self, replicas: Iterable[Replica]) -> None:
        self.replicas = {replica.replica_id: replica for replica in replicas}
        self.requests: dict[str, int] = defaultdict(int)
        self.used: dict[str, int] = defaultdict(int)
        kinds = dict(ENGINE.accelerators)
        self.capacity = {
            name: (kinds[r.accelerator].memory_mb - r.layers.count * ENGINE.layer_mb)
            / ENGINE.kv_mb_per_layer_token
            for name, r in self.replicas.items()
            if r.layers is not None
        }
        self.step_factor = {
            name: kinds[r.accelerator].step_factor for name, r in self.replicas.items()
        }
        groups: dict[Any, list[str]] = defaultdict(list)
        for name, replica in self.replicas.items():
            if replica.layers is not None:
                groups[replica.accelerator, replica.layers].append(name)
        self.like = [names for names in groups.values() if len(names) > 1]

    def step_ms(self, stages: Iterable[Any]) -> float:
        """Return the true duration of a decode step over the stages."""
        context = (
            ENGINE.typical_prompt_tokens + ENGINE.typical_output_tokens / 2
        ) / 1000
        per_request = (
            ENGINE.step_ms_per_sequence + ENGINE.step_ms_per_1k_context * context
        )
        return sum(
            (stage.stop - stage.start)
            * self.step_factor[stage.replica_id]
            * (ENGINE.step_ms + self.requests[stage.replica_id] * per_request)
            / ENGINE.layers
            + ENGINE.hop_delay_ms
            for stage in stages
        )


@attrs.define(eq=False)
class _Host:
    pool: UpstreamPool
    budget: RetryBudget
    waiting: list[ActiveRequest] = attrs.field(factory=list)


def new_pool(rng: random.Random, hosts: int) -> UpstreamPool:
    """Return the product's pool for one host."""
    return UpstreamPool(availability_zone="za", rng=rng)


@attrs.define(slots=False)
class Replay:
    """One run: a calm time, a surge and a calm time."""

    site: Site
    rate_per_s: float
    """Arrivals a second in the calm times."""
    make_pool: Callable[[random.Random, int], UpstreamPool] = new_pool
    interval_s: float | None = None
    surge: float = 3.0
    calm_s: float = 4.0
    surge_s: float = 5.0
    loss: float = 0.02
    seed: int = 1
    own_share: float = 0.0
    """Share of all arrivals that the first host gets beside its equal one."""

    def run(self) -> Result:
        """Replay the arrivals and return the measures."""
        rng = random.Random(self.seed)
        self._rng = rng
        replicas = self.site.replicas()
        self._engine = Engine(replicas)
        self._all_stages = StageTable(replicas, ENGINE)
        self._result = Result()
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        records = tuple(
            RegistryRecord(r.replica_id, n, r) for n, r in enumerate(replicas)
        )
        self._hosts = []
        for number in range(self.site.hosts):
            pool = self.make_pool(
                random.Random(self.seed * 1000 + number), self.site.hosts
            )
            pool.registry.replace(records, 0.0)
            self._hosts.append(
                _Host(pool, RetryBudget(ratio=0.2, slack=40.0, window_s=10.0))
            )
        interval_s = (
            self.site.report_interval_s if self.interval_s is None else self.interval_s
        )
        self._interval_s = interval_s
        for source in range(self.site.hosts):
            for target in range(self.site.hosts):
                if source != target:
                    self._at(rng.random() * interval_s, self._report, source, target)
            self._at(rng.random() * TICK_S, self._tick, self._hosts[source])
        end_s = 2 * self.calm_s + self.surge_s
        self._end_s = end_s
        now_s, key = 0.0, 0
        while True:
            in_surge = self.calm_s <= now_s < self.calm_s + self.surge_s
            rate = self.rate_per_s * (self.surge if in_surge else 1.0)
            now_s += rng.expovariate(rate)
            if now_s >= end_s:
                break
            key += 1
            number = rng.randrange(self.site.hosts)
            if self.own_share and rng.random() < self.own_share:
                number = 0
            self._at(now_s, self._arrive, key, number)
        for number in range(int(end_s / SAMPLE_S)):
            self._at(number * SAMPLE_S, self._sample)
        while self._events and self._events[0][0] < end_s:
            now_s, _, call, arguments = heapq.heappop(self._events)
            call(now_s, *arguments)
        return self._result

    def _at(self, at_s: float, call: Callable[..., None], *arguments: Any) -> None:
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, call, arguments))

    def _in_surge(self, now_s: float) -> bool:
        return self.calm_s <= now_s < self.calm_s + self.surge_s

    def _arrive(self, now_s: float, key: int, number: int) -> None:
        host = self._hosts[number]
        output = min(600, int(self._rng.lognormvariate(4.9, 0.7)))
        prompt = min(6000, int(self._rng.lognormvariate(6.4, 0.7)))
        size = GenerationSize(
            prompt, 600, max(1, int(output * self._rng.uniform(0.5, 1.6)))
        )
        active = ActiveRequest(
            key=key,
            request=request("urgent", size=size, digest=str(output)),
            route=ROUTE,
            service=SERVICE,
            tenant=None,
            arrived_s=now_s,
            deadline_s=now_s + 20.0,
        )
        host.budget.record_request(now_s)
        if host.waiting or not self._try_send(host, active, now_s):
            host.waiting.append(active)

    def _tick(self, now_s: float, host: _Host) -> None:
        host.pool.loads.expire_peers(now_s)
        for active in list(host.waiting):
            if now_s - active.arrived_s > MAX_WAIT_S:
                host.waiting.remove(active)
                self._result.lost += 1
        self._dispatch(host, now_s)
        self._at(now_s + TICK_S, self._tick, host)

    def _dispatch(self, host: _Host, now_s: float) -> None:
        blocked = 0
        for active in list(host.waiting):
            if self._try_send(host, active, now_s):
                if active in host.waiting:
                    host.waiting.remove(active)
                continue
            blocked += 1
            if blocked >= SCAN_LIMIT:
                break

    def _try_send(self, host: _Host, active: ActiveRequest, now_s: float) -> bool:
        """Send a request; False leaves it waiting."""
        if now_s >= active.not_before_s:
            path = host.pool.choose_path(active, now_s)
            if path is None:
                return False
            active.path = path
            active.replica_id = path.first_stage.replica_id
            active.attempt += 1
            active.tried_replica_ids.add(active.replica_id)
            host.pool.reserve(active)
            self._result.sends += 1
            self._result.surge_sends += self._in_surge(now_s)
            short = self._run(host, active, now_s)
            if short is None:
                return True
            self._result.refused += 1
            self._result.surge_refused += self._in_surge(now_s)
            self._at(now_s + REFUSAL_S, self._refused, host, active, short)
            return True
        return False

    def _refused(
        self, now_s: float, host: _Host, active: ActiveRequest, short: str
    ) -> None:
        address = self._engine.replicas[short].address
        host.pool.record_failure(active, AttemptFailure.NOT_RUN, address, now_s)
        host.pool.release(active)
        active.replica_id = None
        self._at(now_s + PROBE_S, self._probed, host, short)
        active.refusals += 1
        if active.refusals > 1:
            pause_s = BASE_BACKOFF_S * 2.0 ** (active.refusals - 2)
            active.not_before_s = now_s + pause_s * self._rng.uniform(0.7, 1.3)
        if active.attempt >= MAX_SENDS or not host.budget.try_consume(
            now_s, host_count=3 * self.site.hosts
        ):
            self._result.lost += 1
        elif not self._try_send(host, active, now_s):
            host.waiting.insert(0, active)

    def _probed(self, now_s: float, host: _Host, replica_id: str) -> None:
        host.pool.health.record_probe(replica_id, is_alive=True, now_s=now_s)
        host.pool.loads.record_report(replica_id, self._engine.used[replica_id], now_s)

    def _run(self, host: _Host, active: ActiveRequest, now_s: float) -> str | None:
        """Start a request on its path, or return the replica short of memory."""
        assert active.path is not None and active.request.size is not None
        output = int(active.request.digest)
        tokens = active.request.size.prompt_tokens + output // 2
        engine = self._engine
        stages = active.path.stages
        for stage in stages:
            need = (stage.stop - stage.start) * tokens
            if engine.used[stage.replica_id] + need > engine.capacity[stage.replica_id]:
                return stage.replica_id
        first = engine.replicas[stages[0].replica_id]
        is_over = engine.requests[first.replica_id] >= first.slots
        for stage in stages:
            engine.requests[stage.replica_id] += 1
            engine.used[stage.replica_id] += (stage.stop - stage.start) * tokens
        step_ms = engine.step_ms(stages)
        if not self._in_surge(now_s) and 1.0 < now_s < self.calm_s:
            self._result.calm_steps_ms.append(step_ms)
        waited_s = now_s - active.arrived_s + is_over
        duration_s = 0.05 + step_ms * output / 1000 + is_over
        self._result.in_time += waited_s <= MAX_WAIT_S
        self._result.surge_in_time += waited_s <= MAX_WAIT_S and self._in_surge(now_s)
        self._at(now_s + duration_s, self._finish, host, active, tokens)
        return None

    def _finish(
        self, now_s: float, host: _Host, active: ActiveRequest, tokens: int
    ) -> None:
        assert active.path is not None
        for stage in active.path.stages:
            self._engine.requests[stage.replica_id] -= 1
            self._engine.used[stage.replica_id] -= (stage.stop - stage.start) * tokens
        self._result.answered += 1
        host.pool.record_success(active, now_s)
        host.pool.release(active)
        self._dispatch(host, now_s)

    def _report(self, now_s: float, source: int, target: int) -> None:
        self._at(now_s + self._interval_s, self._report, source, target)
        if self._rng.random() >= self.loss:
            loads = self._hosts[target].pool.loads
            local = self._hosts[source].pool.loads.local
            loads.set_peer_loads(
                f"host-{source}",
                local,
                now_s + 2.5 * self._interval_s,
                zone_reported_s=now_s,
            )
            for report in self._hosts[source].pool.loads.full_stages.newest(now_s):
                loads.full_stages.merge(report, now_s)

    def _sample(self, now_s: float) -> None:
        engine, result = self._engine, self._result
        for names in engine.like:
            mean = sum(engine.requests[name] for name in names) / len(names)
            if mean >= 1.0:
                result.shares += [engine.requests[name] / mean for name in names]
                if self._in_surge(now_s):
                    for name in names:
                        series = result.surge_shares.setdefault(name, [])
                        series.append(engine.requests[name] / mean)
        if not self._in_surge(now_s):
            return
        result.samples += 1
        for name in engine.replicas:
            earlier = result.mean_requests.get(name, 0.0)
            change = (engine.requests[name] - earlier) / result.samples
            result.mean_requests[name] = earlier + change
        used = sum(engine.used.values()) / sum(engine.capacity.values())
        result.used_shares.append(used)
        waiting = (active for host in self._hosts for active in host.waiting)
        first = next(waiting, None)
        if first is not None and first.request.size is not None:
            truth = LoadTable()
            for name, tokens in engine.used.items():
                truth.add(name, tokens)
            path = search_path(
                self._all_stages, first.request.size, loads=truth, now_s=now_s
            )
            result.idle_samples += path is not None


@attrs.define(slots=False)
class PlainReplay:
    """One run of a service without a pipeline: replicas with slots, unequal latency."""

    hosts: int
    replicas: int
    rate_per_s: float
    slots: int = 8
    service_s: float = 0.3
    interval_s: float = 0.5
    end_s: float = 10.0
    seed: int = 1
    make_pool: Callable[[random.Random, int], UpstreamPool] = new_pool
    joins_s: float | None = None
    """Time at which the first replica joins, None if it is there from the start."""

    def run(self) -> tuple[list[float], list[float]]:
        """Return the shares of the mean load of a replica, and those of the joined one.

        They are sampled each 100 ms; the joined replica counts for 2 s.
        """
        rng = random.Random(self.seed)
        replicas = [
            desk_replica(f"d{n}", slots=self.slots) for n in range(self.replicas)
        ]
        pools = []
        for number in range(self.hosts):
            pool = self.make_pool(random.Random(self.seed * 1000 + number), self.hosts)
            listed = replicas[self.joins_s is not None :]
            make_pool(*listed, pool=pool)
            pools.append(pool)
        events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        numbers = iter(range(10**9))

        def at(at_s: float, call: Callable[..., None], *arguments: Any) -> None:
            heapq.heappush(events, (at_s, next(numbers), call, arguments))

        load: dict[str, int] = defaultdict(int)
        shares: list[float] = []
        joined: list[float] = []

        def arrive(now_s: float, number: int) -> None:
            active = make_request(GenerationSize(1, 1), route_name="look")
            replica = pools[number].choose_replica(active, now_s)
            if replica is None:
                return
            active.replica_id = replica.replica_id
            active.sent_s = now_s
            pools[number].reserve(active)
            load[replica.replica_id] += 1
            at(now_s + self.service_s * rng.uniform(0.5, 1.5), finish, number, active)

        def finish(now_s: float, number: int, active: ActiveRequest) -> None:
            load[active.replica_id or ""] -= 1
            pools[number].record_success(active, now_s)
            pools[number].release(active)

        def report(now_s: float, source: int, target: int) -> None:
            pools[target].loads.set_peer_loads(
                f"host-{source}",
                pools[source].loads.local,
                now_s + 2.5 * self.interval_s,
                zone_reported_s=now_s,
            )
            at(now_s + self.interval_s, report, source, target)

        def join(now_s: float) -> None:
            for pool in pools:
                make_pool(*replicas, pool=pool)

        def sample(now_s: float) -> None:
            mean = sum(load.values()) / self.replicas
            if mean < 1.0 or now_s < 1.0:
                return
            shares.extend(load[r.replica_id] / mean for r in replicas)
            if self.joins_s is not None and self.joins_s < now_s < self.joins_s + 2.0:
                joined.append(load["d0"] / mean)

        for source in range(self.hosts):
            for target in range(self.hosts):
                if source != target:
                    at(rng.random() * self.interval_s, report, source, target)
        if self.joins_s is not None:
            at(self.joins_s, join)
        now_s = 0.0
        while now_s < self.end_s:
            now_s += rng.expovariate(self.rate_per_s)
            at(now_s, arrive, rng.randrange(self.hosts))
        for number in range(int(self.end_s / SAMPLE_S)):
            at(number * SAMPLE_S, sample)
        while events and events[0][0] < self.end_s:
            now_s, _, call, arguments = heapq.heappop(events)
            call(now_s, *arguments)
        return shares, joined


def percentile(values: Iterable[float], share: float) -> float:
    """Return the value below which a share of the values lies, 1.0 for none."""
    ordered = sorted(values)
    return ordered[int(share * len(ordered))] if ordered else 1.0
