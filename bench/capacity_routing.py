"""CPU time of router decisions and of recomputed flows at several sizes."""

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
    model_count,
)
from bench.routing_cost import LAYERS, make_links, prefix_bytes
from bench.slopes import Slope, fit_line
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
"""21.5 requests/s that each take 1.1 s to the first token and 300 gaps of 37 ms."""
ARRIVAL_S = 1 / 21.5
CYCLES = 3000
QUEUE_SIZES = (0, 100, 400)
PREFIX_SIZES = (10_000, 50_000, 150_000)


class RouterLoad:
    """Router under test with a steady number of requests in flight."""

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
        unlimited = {"queue_s": 1e6, "queue_entries": 4096, "waiting_threads": 4096}
        document["ranks"] = {name: unlimited for name in ("urgent", "normal", "batch")}
        self.handle_event(ConfigChanged(parse_config(document, 1)))
        self.change_fleet(upstreams)

    def change_fleet(self, upstreams: tuple[Upstream, ...]) -> float:
        """Replace the upstreams; return the CPU time in µs."""
        return self.handle_event(FleetChanged(upstreams, (), 1))

    def handle_event(self, event: RouterEvent) -> float:
        """Apply an event to the router; return the CPU time in µs."""
        started_s = time.thread_time()
        decisions = self.router.handle(event, self.now_s)
        spent_s = time.thread_time() - started_s
        self._record_dispatched(decisions)
        return spent_s * 1e6

    def _record_dispatched(self, decisions: tuple[RouterDecision, ...]) -> None:
        self.running.extend(d for d in decisions if isinstance(d, Dispatch))

    def submit_request(self) -> float:
        """Submit a request; return the CPU time in µs."""
        self._number += 1
        model = f"m{self._number % self._models}"
        workspace = f"workspace-{self._rng.randrange(self._workspaces):03}"
        request = build_request(
            self._number, self._rng, model=model, workspace=workspace
        )
        return self.handle_event(RequestArrived(request))

    def finish_request(self) -> float:
        """Complete the oldest request; return the CPU time of its events in µs."""
        dispatch = self.running.popleft()
        ids = (dispatch.request_id, dispatch.attempt)
        return (
            self.handle_event(FirstToken(*ids))
            + self.handle_event(TokensProgressed(*ids, tokens=300))
            + self.handle_event(AttemptFinished(*ids, tokens=301))
        )

    def run_cycles(self, count: int) -> tuple[float, float]:
        """Return the median CPU time in µs of an arrival and of all request events."""
        arrivals, totals = [], []
        for _ in range(count):
            self.now_s += ARRIVAL_S
            arrival_us = self.submit_request()
            completion_us = self.finish_request()
            arrivals.append(arrival_us)
            totals.append(arrival_us + completion_us)
        return median(arrivals), median(totals)


def _build_loaded_router(
    upstreams: int, *, models: int, workspaces: int, seed: int
) -> RouterLoad:
    load = RouterLoad(
        build_upstreams(upstreams, seed),
        models=models,
        workspaces=workspaces,
        seed=seed,
    )
    for _ in range(IN_FLIGHT):
        load.now_s += 1e-3
        load.submit_request()
    return load


def _decision_slopes(
    name: str,
    unit: str,
    build_load: Callable[[int], RouterLoad],
    sizes: tuple[int, ...],
) -> list[Slope]:
    results = [(size, build_load(size).run_cycles(CYCLES)) for size in sizes]
    return [
        fit_line(
            f"{part} against {name}",
            [(size, costs[index]) for size, costs in results],
            size_unit=unit,
            cost_unit="µs",
        )
        for index, part in enumerate(("router decision", "events of a request"))
    ]


def _build_queued_router(waiting: int, seed: int) -> RouterLoad:
    """Return a router of one model with all slots taken and requests queued."""
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
        load.submit_request()
    while load.router.waiting_count < waiting:
        load.now_s += 1e-3
        before = load.router.waiting_count
        load.submit_request()
        if load.router.waiting_count == before:
            raise RuntimeError(f"queue full at {before} requests, cannot measure")
    return load


def measure_replanning(seed: int) -> list[Slope]:
    """Return the cost of recomputing routes and flows by number of upstreams."""
    points: dict[str, list[tuple[float, float]]] = {}
    for count in UPSTREAM_SIZES:
        models = model_count(count)
        load = _build_loaded_router(count, models=models, workspaces=10, seed=seed)
        upstreams = build_upstreams(count, seed)
        one_model = tuple(u for u in upstreams if u.model == "m0")
        started_s = time.thread_time()
        achievable_bound(one_model, make_links(ZONES, 20_000.0), LAYERS)
        flow_us = (time.thread_time() - started_s) * 1e6
        remaining = tuple(u for u in upstreams if u.availability_zone != "z1")
        costs = {
            "flow of one model": flow_us,
            "routing after the loss of one upstream": load.change_fleet(upstreams[1:]),
            "routing after the loss of a zone": load.change_fleet(remaining),
        }
        lost = {u.upstream_id for u in upstreams} - {u.upstream_id for u in remaining}
        costs["first decision of every model after the loss"] = sum(
            load.submit_request() for _ in range(models)
        )
        costs["rerouting a request of the lost zone"] = _reroute_us(load, lost)
        for name, cost_us in costs.items():
            points.setdefault(name, []).append((count, cost_us / 1e3))
    return [
        fit_line(name, values, size_unit="upstream", cost_unit="ms")
        for name, values in points.items()
    ]


def _reroute_us(load: RouterLoad, lost: set[str]) -> float:
    affected_stages = [
        (d, s.upstream_id)
        for d in load.running
        for s in d.chain.stages
        if s.upstream_id in lost
    ]
    cost_by_request: dict[str, float] = {}
    for dispatch, upstream_id in affected_stages:
        if dispatch.request_id not in cost_by_request:
            cost_by_request[dispatch.request_id] = load.handle_event(
                StageFailed(
                    request_id=dispatch.request_id,
                    attempt=dispatch.attempt,
                    upstream_id=upstream_id,
                    failure=FailureKind.NOT_SENT,
                    tokens_so_far=0,
                )
            )
    return median(cost_by_request.values())


def measure_routing(seed: int) -> list[Slope]:
    """Return the cost of routing and admission by upstreams, workspaces and queue."""
    slopes = _decision_slopes(
        "upstreams",
        "upstream",
        lambda n: _build_loaded_router(
            n, models=model_count(n), workspaces=10, seed=seed
        ),
        UPSTREAM_SIZES,
    )
    slopes += _decision_slopes(
        "workspaces",
        "workspace",
        lambda n: _build_loaded_router(
            TARGET_UPSTREAMS, models=MODELS, workspaces=n, seed=seed
        ),
        WORKSPACE_SIZES,
    )
    slopes += _decision_slopes(
        "queued requests",
        "queued request",
        lambda n: _build_queued_router(n, seed),
        QUEUE_SIZES,
    )
    slopes += measure_replanning(seed)
    sizes = [(size, prefix_bytes(size) * size) for size in PREFIX_SIZES]
    slopes.append(fit_line("prefix index", sizes, size_unit="entry", cost_unit="bytes"))
    return slopes
