"""Measure what decisions and relayed events cost a forwarding host.

Run: python -m bench.forwarding_cost
"""

import time
from collections.abc import Callable
from functools import partial

import attrs

from persimmonwell.core.forwarding import (
    AcceleratorKind,
    EngineSpec,
    GenerationSize,
    LoadTable,
    Replica,
    find_path,
    plan_placement,
)
from persimmonwell.gateway._event_stream import EventCutter

ZONES = 6
ROUNDS = 200
SIZE = GenerationSize(prompt_tokens=800, max_output_tokens=172)
MIX = ("h100", "a100s", *("l4",) * 9, *("t4",) * 9)
"""Cards of the grown deployments, in about their proportion."""
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


def build_fleet(count: int) -> list[Replica]:
    """Return replicas of one model over the zones, with their layers."""
    replicas = [
        Replica(
            replica_id=f"i-{number}",
            service="model",
            address=f"10.{number // 250}.1.{number % 250}:80",
            availability_zone=f"z{number % min(ZONES, max(1, count // 20))}",
            slots=96,
            accelerator=MIX[number // ZONES % len(MIX)],
        )
        for number in range(count)
    ]
    layers = {o.replica_id: o.layers for o in plan_placement(replicas, ENGINE)}
    return [attrs.evolve(r, layers=layers.get(r.replica_id)) for r in replicas]


def cost_us(work: Callable[[], object], rounds: int) -> float:
    """Return the processor time of one call."""
    start_s = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - start_s) / rounds * 1e6


def main() -> None:
    """Print the costs against the number of replicas."""
    for count in (40, 100, 400, 1300):
        fleet = build_fleet(count)
        zone = [r for r in fleet if r.availability_zone == "z0"]
        loads = LoadTable()
        choose = partial(find_path, zone, ENGINE, SIZE, loads=loads, now_s=0.0)
        path_us = cost_us(choose, ROUNDS)
        plan_us = cost_us(partial(plan_placement, fleet, ENGINE), 5)
        print(
            f"{count} replicas, {len(zone)} in the zone: {path_us:.0f} us a path, "
            f"{plan_us / 1000:.1f} ms a plan"
        )
    cutter = EventCutter()
    event = b"data: " + b"x" * 60 + b"\n\n"
    numbers = iter(range(1, 10**9))
    cut_us = cost_us(lambda: cutter.feed(b"id: %d\n" % next(numbers) + event), 20_000)
    print(f"cutting an event: {cut_us:.1f} us")


if __name__ == "__main__":
    main()
