"""Measure what router decisions and recomputed flows cost at several sizes."""

import random
import time
from collections import deque
from collections.abc import Callable
from statistics import median

from bench.capacity_fleet import (
    MODELS,
    TARGET_UPSTREAMS,
    UPSTREAM_SIZES,
    WORKSPACE_SIZES,
    ZONES,
    build_document,
    build_request,
    build_upstreams,
    models_for,
)
from bench.routing_cost import LAYERS, links, prefix_bytes
from bench.slopes import Slope, fit
from persimmonwell.core import LayerRange, Upstream
from persimmonwell.core.config import parse_config
from persimmonwell.core.router import (
    AttemptFinished,
    ConfigChanged,
    Dispatch,
    FailureKind,
    FirstToken,
    FleetChanged,
    RequestArrived,
    Router,
    RouterDecision,
    RouterEvent,
    StageFailed,
    TokensProgressed,
)
from persimmonwell.core.routing import achievable_bound

IN_FLIGHT = 264
"""21.5 requests/s for 301 tokens at 37 ms and a first token at 1.1 s."""
ARRIVAL_S = 1 / 21.5
CYCLES = 3000
QUEUE_SIZES = (0, 100, 400)
PREFIX_SIZES = (10_000, 50_000, 150_000)


class RouterLoad:
    """Hold a router with a steady number of requests in flight."""

    def __init__(
        self,
        upstreams: tuple[Upstream, ...],
        *,
        models: int,
        workspaces: int,
        seed: int,
    ) -> None:
        self.router = Router(
            host_id="h", availability_zone="z0", seed=seed, expected_hosts=1
        )
        self._models = models
        self._workspaces = workspaces
        self._rng = random.Random(seed)
        self._number = 0
        self.now_s = 0.0
        self.running: deque[Dispatch] = deque()
        document = build_document(workspaces, models)
        wide = {"queue_s": 1e6, "queue_entries": 4096, "waiting_threads": 4096}
        document["ranks"] = {name: wide for name in ("urgent", "normal", "batch")}
        self.tell(ConfigChanged(parse_config(document, 1)))
        self.change_fleet(upstreams)

    def change_fleet(self, upstreams: tuple[Upstream, ...]) -> float:
        """Replace the upstreams; return the CPU time, µs."""
        return self.tell(FleetChanged(upstreams, (), 1))

    def tell(self, event: RouterEvent) -> float:
        """Hand in an event; return the CPU time, µs."""
        started_s = time.thread_time()
        decisions = self.router.handle(event, self.now_s)
        spent_s = time.thread_time() - started_s
        self._take(decisions)
        return spent_s * 1e6

    def _take(self, decisions: tuple[RouterDecision, ...]) -> None:
        self.running.extend(d for d in decisions if isinstance(d, Dispatch))

    def arrive(self) -> float:
        """Let a request arrive; return the CPU time, µs."""
        self._number += 1
        model = f"m{self._number % self._models}"
        workspace = f"workspace-{self._rng.randrange(self._workspaces):03}"
        wanted = build_request(
            self._number, self._rng, model=model, workspace=workspace
        )
        return self.tell(RequestArrived(wanted))

    def finish(self) -> float:
        """Finish the oldest request; return the CPU time of its events, µs."""
        done = self.running.popleft()
        ids = (done.request_id, done.attempt)
        return (
            self.tell(FirstToken(*ids))
            + self.tell(TokensProgressed(*ids, tokens=300))
            + self.tell(AttemptFinished(*ids, tokens=301))
        )

    def cycles(self, count: int) -> tuple[float, float]:
        """Return the median CPU time of an arrival and of a whole request, µs."""
        arrivals, wholes = [], []
        for _ in range(count):
            self.now_s += ARRIVAL_S
            arrived = self.arrive()
            finished = self.finish()
            arrivals.append(arrived)
            wholes.append(arrived + finished)
        return median(arrivals), median(wholes)


def _loaded(upstreams: int, *, models: int, workspaces: int, seed: int) -> RouterLoad:
    load = RouterLoad(
        build_upstreams(upstreams, seed),
        models=models,
        workspaces=workspaces,
        seed=seed,
    )
    for _ in range(IN_FLIGHT):
        load.now_s += 1e-3
        load.arrive()
    return load


def _decision_slopes(
    name: str, unit: str, make: Callable[[int], RouterLoad], sizes: tuple[int, ...]
) -> list[Slope]:
    results = [(size, make(size).cycles(CYCLES)) for size in sizes]
    return [
        fit(
            f"{part} against {name}",
            [(size, costs[index]) for size, costs in results],
            size_unit=unit,
            cost_unit="µs",
        )
        for index, part in enumerate(("router decision", "events of a request"))
    ]


def _queued(waiting: int, seed: int) -> RouterLoad:
    """Return a router of one model, its slots taken, with requests waiting."""
    slots = 64
    upstreams = tuple(
        Upstream(
            upstream_id=f"u{n}",
            address=f"10.0.0.1:{n + 1}",
            availability_zone="z0",
            model="m0",
            layers=LayerRange(0, LAYERS),
            slots=slots // 4,
            tokens_per_s=1000.0,
        )
        for n in range(4)
    )
    load = RouterLoad(upstreams, models=1, workspaces=100, seed=seed)
    while not load.router.waiting_count:
        load.now_s += 1e-3
        load.arrive()
    while load.router.waiting_count < waiting:
        load.now_s += 1e-3
        before = load.router.waiting_count
        load.arrive()
        if load.router.waiting_count == before:
            raise RuntimeError(f"the queue takes no more than {before} requests")
    return load


def flow_slopes(seed: int) -> list[Slope]:
    """Return the cost of recomputing the routing against upstreams."""
    points: dict[str, list[tuple[float, float]]] = {}
    for count in UPSTREAM_SIZES:
        models = models_for(count)
        load = _loaded(count, models=models, workspaces=10, seed=seed)
        upstreams = build_upstreams(count, seed)
        one = tuple(u for u in upstreams if u.model == "m0")
        started_s = time.thread_time()
        achievable_bound(one, links(ZONES, 20_000.0), LAYERS)
        flow_us = (time.thread_time() - started_s) * 1e6
        left = tuple(u for u in upstreams if u.availability_zone != "z1")
        costs = {
            "flow of one model": flow_us,
            "routing after the loss of one upstream": load.change_fleet(upstreams[1:]),
            "routing after the loss of a zone": load.change_fleet(left),
        }
        lost = {u.upstream_id for u in upstreams} - {u.upstream_id for u in left}
        costs["first decision of every model after the loss"] = sum(
            load.arrive() for _ in range(models)
        )
        costs["rerouting a request of the lost zone"] = _reroute_us(load, lost)
        for name, cost_us in costs.items():
            points.setdefault(name, []).append((count, cost_us / 1e3))
    return [
        fit(name, values, size_unit="upstream", cost_unit="ms")
        for name, values in points.items()
    ]


def _reroute_us(load: RouterLoad, lost: set[str]) -> float:
    broken = [
        (d, s.upstream_id)
        for d in load.running
        for s in d.chain.stages
        if s.upstream_id in lost
    ]
    spent: dict[str, float] = {}
    for dispatch, upstream_id in broken:
        if dispatch.request_id not in spent:
            spent[dispatch.request_id] = load.tell(
                StageFailed(
                    request_id=dispatch.request_id,
                    attempt=dispatch.attempt,
                    upstream_id=upstream_id,
                    failure=FailureKind.NOT_SENT,
                    tokens_so_far=0,
                )
            )
    return median(spent.values())


def measure_routing(seed: int) -> list[Slope]:
    """Return all slopes of routing and admission."""
    slopes = _decision_slopes(
        "upstreams",
        "upstream",
        lambda n: _loaded(n, models=models_for(n), workspaces=10, seed=seed),
        UPSTREAM_SIZES,
    )
    slopes += _decision_slopes(
        "workspaces",
        "workspace",
        lambda n: _loaded(TARGET_UPSTREAMS, models=MODELS, workspaces=n, seed=seed),
        WORKSPACE_SIZES,
    )
    slopes += _decision_slopes(
        "queued requests", "queued request", lambda n: _queued(n, seed), QUEUE_SIZES
    )
    slopes += flow_slopes(seed)
    sizes = [(size, prefix_bytes(size) * size) for size in PREFIX_SIZES]
    slopes.append(fit("prefix index", sizes, size_unit="entry", cost_unit="bytes"))
    return slopes
