"""CPU time of path choice, placement planning and event parsing on a gateway host.

Run: python -m bench.forwarding_cost
"""

import random
import time
from collections.abc import Callable
from functools import partial

import attrs

from persimmonwell.core.forwarding import (
    AcceleratorKind,
    CallerRequest,
    EngineSpec,
    GenerationSize,
    LoadTable,
    RegistryRecord,
    Replica,
    ReplicaLoad,
    Route,
    RouteKind,
    ServiceSpec,
    StreamPosition,
    WeightedService,
    find_path,
    plan_placement,
)
from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from persimmonwell.gateway._event_stream import EventStreamParser

ZONES = 6
ZONE_PEERS = 56
"""Other hosts of a zone at the target size."""
ROUNDS = 200
REQUEST_SIZE = GenerationSize(prompt_tokens=800, max_output_tokens=172)
ACCELERATOR_MIX = ("h100", "a100s", *("l4",) * 9, *("t4",) * 9)
"""Accelerators in about the proportions of the larger deployments."""
ENGINE = EngineSpec(
    slots=96,
    layers=80,
    layer_mb=1750.0,
    kv_token_bytes=1_180_000.0,
    step_ms=0.85,
    step_ms_per_sequence=0.00764,
    step_ms_per_1k_context=0.01024,
    prefill_tokens_per_s=196_000.0,
    typical_prompt_tokens=772.0,
    typical_output_tokens=174.0,
    hop_delay_ms=0.2,
    accelerators=(
        ("h100", AcceleratorKind(72_000.0, 1.4, 1.0)),
        ("a100s", AcceleratorKind(36_000.0, 3.1, 3.2)),
        ("l4", AcceleratorKind(21_600.0, 16.0, 8.2)),
        ("t4", AcceleratorKind(14_400.0, 15.0, 15.0)),
    ),
)
ROUTE = Route(
    name="r",
    host="h",
    prefix="/",
    kind=RouteKind.STREAM,
    services=(WeightedService("model", 1.0),),
    timeout_s=20.0,
    latency_objective_s=0.5,
    priority=0,
    max_attempts=2,
)
SERVICE = ServiceSpec("model", "/health", 100, ENGINE)


def build_replicas(count: int) -> list[Replica]:
    """Return replicas of one model over the zones, with planned layers."""
    replicas = [
        Replica(
            replica_id=f"i-{number}",
            service="model",
            address=f"10.{number // 250}.1.{number % 250}:80",
            availability_zone=f"z{number % min(ZONES, max(1, count // 20))}",
            slots=96,
            accelerator=ACCELERATOR_MIX[number // ZONES % len(ACCELERATOR_MIX)],
        )
        for number in range(count)
    ]
    layers = {o.replica_id: o.layers for o in plan_placement(replicas, ENGINE)}
    return [attrs.evolve(r, layers=layers.get(r.replica_id)) for r in replicas]


def cpu_time_us(function: Callable[[], object], rounds: int) -> float:
    """Return the mean CPU time of one call in µs."""
    start_s = time.process_time()
    for _ in range(rounds):
        function()
    return (time.process_time() - start_s) / rounds * 1e6


def choose_path_us(count: int) -> tuple[int, float, float]:
    """Return the replicas of the zone and the mean CPU time of one choice of a path.

    The second time is that of a choice after a peer's report.
    """
    replicas = build_replicas(count)
    pool = UpstreamPool(availability_zone="z0", rng=random.Random(1))
    pool.registry.replace(
        tuple(RegistryRecord(r.replica_id, n, r) for n, r in enumerate(replicas)), 0.0
    )
    active = ActiveRequest(
        key=1,
        request=CallerRequest("r", "h", "/", "POST", size=REQUEST_SIZE),
        route=ROUTE,
        service=SERVICE,
        tenant=None,
        arrived_s=0.0,
        deadline_s=20.0,
    )
    in_zone = [replica for replica in replicas if replica.availability_zone == "z0"]
    alone_us = cpu_time_us(lambda: pool.choose_path(active, 0.0), ROUNDS)
    reports = [
        {replica.replica_id: ReplicaLoad(1 + peer % 2, 900) for replica in in_zone}
        for peer in range(ZONE_PEERS)
    ]
    numbers = iter(range(10**9))

    def report_and_choose() -> None:
        number = next(numbers)
        loads = reports[number % 7 % ZONE_PEERS]
        peer = f"host-{number % ZONE_PEERS}"
        pool.loads.set_peer_loads(peer, loads, 1.0, zone_reported_s=-1.0)
        pool.choose_path(active, 0.0)

    cpu_time_us(report_and_choose, ZONE_PEERS)
    return len(in_zone), alone_us, cpu_time_us(report_and_choose, ROUNDS)


def main() -> None:
    """Print the costs by number of replicas."""
    for count in (40, 100, 400, 1300):
        replicas = build_replicas(count)
        zone_replicas = [r for r in replicas if r.availability_zone == "z0"]
        loads = LoadTable()
        find_path_once = partial(
            find_path, zone_replicas, ENGINE, REQUEST_SIZE, loads=loads, now_s=0.0
        )
        path_us = cpu_time_us(find_path_once, ROUNDS)
        plan_us = cpu_time_us(partial(plan_placement, replicas, ENGINE), 5)
        print(
            f"{count} replicas, {len(zone_replicas)} in the zone: "
            f"{path_us:.0f} us a path, {plan_us / 1000:.1f} ms a plan"
        )
    in_zone, chosen_us, after_report_us = choose_path_us(6 * 217)
    print(f"{in_zone} replicas in the zone: {chosen_us:.0f} us a choice of a path")
    print(f"  {after_report_us:.0f} us a report of {ZONE_PEERS} peers and a choice")
    cutter = EventStreamParser(StreamPosition())
    event = b"data: " + b"x" * 60 + b"\n\n"
    numbers = iter(range(1, 10**9))
    cut_us = cpu_time_us(
        lambda: cutter.feed(b"id: %d\n" % next(numbers) + event), 20_000
    )
    print(f"cutting an event: {cut_us:.1f} us")


if __name__ == "__main__":
    main()
