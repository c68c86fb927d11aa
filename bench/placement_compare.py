"""Compares strategies that place model layers on replicas by zone capacity.

Run: python -m bench.placement_compare --seed 1
"""

import argparse
import random
from collections.abc import Callable, Iterable
from functools import partial

import attrs

from bench.forwarding_cost import ENGINE, REQUEST_SIZE
from persimmonwell.core.forwarding import (
    HeldLayers,
    LoadTable,
    Replica,
    find_path,
    plan_placement,
)

Fleet = list[Replica]
SITES = {
    "as given": {
        "za": {"h100": 1, "a100s": 1, "l4": 5, "t4": 7},
        "zb": {"a100s": 1, "l4": 8, "t4": 3},
        "zc": {"a100s": 2, "l4": 4, "t4": 7},
    },
    "grown": {
        "za": {"h100": 1, "a100s": 2, "l4": 13, "t4": 18},
        "zb": {"h100": 1, "a100s": 2, "l4": 20, "t4": 9},
        "zc": {"a100s": 4, "l4": 11, "t4": 17},
    },
}
RANDOM_FLEETS = 20


@attrs.frozen
class ZoneCapacity:
    """Capacity of a zone that holds the whole model, from memory and step time."""

    requests: float
    """Concurrent requests of typical size, limited by the layer with least memory."""
    step_ms: float

    @property
    def rate_per_s(self) -> float:
        """Requests per second: concurrency divided by the duration of a request."""
        prefill_ms = ENGINE.typical_prompt_tokens / ENGINE.prefill_tokens_per_s * 1000
        return (
            self.requests
            * 1000
            / (ENGINE.typical_output_tokens * self.step_ms + prefill_ms)
        )


def build_replicas(zones: dict[str, dict[str, int]]) -> Fleet:
    """Return replicas without layers, by zone and accelerator count."""
    return [
        Replica(
            replica_id=f"{zone}-{kind}-{number}",
            service="model",
            address=f"{zone}-{kind}-{number}:1",
            availability_zone=zone,
            slots=96,
            accelerator=kind,
        )
        for zone, kinds in zones.items()
        for kind, count in kinds.items()
        for number in range(count)
    ]


def random_zones(rng: random.Random) -> dict[str, dict[str, int]]:
    """Return a random fleet in which each zone has room for the whole model."""
    return {
        f"z{number}": {
            "h100": rng.randint(0, 2),
            "a100s": rng.randint(1, 4),
            "l4": rng.randint(4, 14),
            "t4": rng.randint(2, 14),
        }
        for number in range(rng.randint(1, 4))
    }


def _memory_mb(replica: Replica) -> float:
    kind = ENGINE.accelerator(replica.accelerator)
    assert kind is not None
    return kind.memory_mb


def split_by_weight(fleet: Fleet, weight: Callable[[Replica], float]) -> Fleet:
    """Split the layers over the replicas of each zone in proportion to a weight."""
    placed: Fleet = []
    for zone in sorted({replica.availability_zone for replica in fleet}):
        members = [replica for replica in fleet if replica.availability_zone == zone]
        total = sum(weight(replica) for replica in members)
        placed_layers = 0.0
        for replica in members:
            start = round(placed_layers)
            placed_layers += ENGINE.layers * weight(replica) / total
            layers = HeldLayers(start, round(placed_layers))
            if layers.count * ENGINE.layer_mb <= _memory_mb(replica):
                placed.append(attrs.evolve(replica, layers=layers))
    return placed


def place_with_planner(fleet: Fleet) -> Fleet:
    """Place the layers with the gateway's own planner."""
    orders = {o.replica_id: o.layers for o in plan_placement(fleet, ENGINE)}
    return [
        attrs.evolve(replica, layers=orders.get(replica.replica_id))
        for replica in fleet
    ]


STRATEGIES: dict[str, Callable[[Fleet], Fleet]] = {
    "equal split": partial(split_by_weight, weight=lambda replica: 1.0),
    "by memory": partial(split_by_weight, weight=_memory_mb),
    "fastest with room": place_with_planner,
}


def zone_capacity(fleet: Fleet, zone: str) -> ZoneCapacity | None:
    """Return the capacity of a zone, or None if it has no complete path."""
    members = [
        replica
        for replica in fleet
        if replica.availability_zone == zone and replica.layers is not None
    ]
    path = find_path(members, ENGINE, REQUEST_SIZE, loads=LoadTable(), now_s=0.0)
    if path is None:
        return None
    concurrent_by_layer = [0.0] * ENGINE.layers
    tokens = REQUEST_SIZE.expected_tokens(ENGINE.typical_output_tokens)
    for replica in members:
        assert replica.layers is not None
        room_mb = _memory_mb(replica) - replica.layers.count * ENGINE.layer_mb
        capacity = (
            room_mb
            / ENGINE.kv_mb_per_layer_token
            / max(1, replica.layers.count)
            / tokens
        )
        for layer in range(replica.layers.start, replica.layers.stop):
            concurrent_by_layer[layer] += min(capacity, ENGINE.slots)
    return ZoneCapacity(min(concurrent_by_layer), path.step_ms)


def _format_row(name: str, fleet: Fleet, zones: Iterable[str]) -> str:
    capacities = [zone_capacity(fleet, zone) for zone in zones]
    complete = [capacity for capacity in capacities if capacity is not None]
    if not complete:
        return f"  {name}: no whole path"
    rate = sum(capacity.rate_per_s for capacity in complete)
    steps = ", ".join(f"{capacity.step_ms:.1f}" for capacity in complete)
    concurrency = ", ".join(f"{capacity.requests:.0f}" for capacity in complete)
    incomplete_count = len(capacities) - len(complete)
    rest = (
        f"; {incomplete_count} zones without a whole path" if incomplete_count else ""
    )
    return (
        f"  {name}: {rate:.1f} requests/s; step {steps} ms; places {concurrency}{rest}"
    )


def main() -> None:
    """Print the capacity by strategy for known sites and for random fleets."""
    parser = argparse.ArgumentParser(description="Compare placements.")
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args().seed)
    for name, zones in SITES.items():
        print(name)
        for strategy, place in STRATEGIES.items():
            print(_format_row(strategy, place(build_replicas(zones)), zones))
    wins: dict[str, int] = dict.fromkeys(STRATEGIES, 0)
    steps: dict[str, list[float]] = {strategy: [] for strategy in STRATEGIES}
    incomplete_zones: dict[str, int] = dict.fromkeys(STRATEGIES, 0)
    for _ in range(RANDOM_FLEETS):
        zones = random_zones(rng)
        rates = {}
        for strategy, place in STRATEGIES.items():
            fleet = place(build_replicas(zones))
            capacities = [zone_capacity(fleet, zone) for zone in zones]
            incomplete_zones[strategy] += sum(
                capacity is None for capacity in capacities
            )
            rates[strategy] = sum(
                capacity.rate_per_s for capacity in capacities if capacity is not None
            )
            steps[strategy] += [
                capacity.step_ms for capacity in capacities if capacity is not None
            ]
        wins[max(rates, key=lambda strategy: rates[strategy])] += 1
    print(f"{RANDOM_FLEETS} random fleets")
    for strategy in STRATEGIES:
        mean = sum(steps[strategy]) / len(steps[strategy])
        print(
            f"  {strategy}: most requests/s on {wins[strategy]}; mean step "
            f"{mean:.1f} ms; zones without a whole path {incomplete_zones[strategy]}"
        )


if __name__ == "__main__":
    main()
