"""Compare ways to lay a model over replicas by what each zone could serve.

Run: python -m bench.placement_compare --seed 1
"""

import argparse
import random
from collections.abc import Callable, Iterable
from functools import partial

import attrs

from bench.forwarding_cost import ENGINE, SIZE
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
class Served:
    """Hold what a zone with whole paths could serve, from memory and step time."""

    requests: float
    """Requests of the usual size that fit at once, by the scarcest layer."""
    step_ms: float

    @property
    def rate_per_s(self) -> float:
        """Return requests per second: places over the time that each is taken."""
        read_ms = ENGINE.typical_prompt_tokens / ENGINE.prefill_tokens_per_s * 1000
        return (
            self.requests
            * 1000
            / (ENGINE.typical_output_tokens * self.step_ms + read_ms)
        )


def build(zones: dict[str, dict[str, int]]) -> Fleet:
    """Return empty replicas."""
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
    """Return a random fleet whose zones each hold a whole model."""
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


def by_share(fleet: Fleet, share: Callable[[Replica], float]) -> Fleet:
    """Split the layers of each zone over all its replicas in proportion."""
    placed: Fleet = []
    for zone in sorted({each.availability_zone for each in fleet}):
        members = [each for each in fleet if each.availability_zone == zone]
        total = sum(share(each) for each in members)
        done = 0.0
        for each in members:
            start = round(done)
            done += ENGINE.layers * share(each) / total
            layers = HeldLayers(start, round(done))
            if layers.count * ENGINE.layer_mb <= _memory_mb(each):
                placed.append(attrs.evolve(each, layers=layers))
    return placed


def built(fleet: Fleet) -> Fleet:
    """Lay the model out as the product does."""
    orders = {each.replica_id: each.layers for each in plan_placement(fleet, ENGINE)}
    return [attrs.evolve(e, layers=orders.get(e.replica_id)) for e in fleet]


WAYS: dict[str, Callable[[Fleet], Fleet]] = {
    "equal split": partial(by_share, share=lambda replica: 1.0),
    "by memory": partial(by_share, share=_memory_mb),
    "fastest with room": built,
}


def served(fleet: Fleet, zone: str) -> Served | None:
    """Return what a zone could serve, None where no whole path exists."""
    members = [
        each
        for each in fleet
        if each.availability_zone == zone and each.layers is not None
    ]
    path = find_path(members, ENGINE, SIZE, loads=LoadTable(), now_s=0.0)
    if path is None:
        return None
    places = [0.0] * ENGINE.layers
    tokens = SIZE.expected_tokens(ENGINE.typical_output_tokens)
    for each in members:
        assert each.layers is not None
        room_mb = _memory_mb(each) - each.layers.count * ENGINE.layer_mb
        room = (
            room_mb / ENGINE.kv_mb_per_layer_token / max(1, each.layers.count) / tokens
        )
        for layer in range(each.layers.start, each.layers.stop):
            places[layer] += min(room, ENGINE.slots)
    return Served(min(places), path.step_ms)


def _row(name: str, fleet: Fleet, zones: Iterable[str]) -> str:
    found = [served(fleet, zone) for zone in zones]
    whole = [each for each in found if each is not None]
    if not whole:
        return f"  {name}: no whole path"
    rate = sum(each.rate_per_s for each in whole)
    steps = ", ".join(f"{each.step_ms:.1f}" for each in whole)
    rooms = ", ".join(f"{each.requests:.0f}" for each in whole)
    lacking = len(found) - len(whole)
    rest = f"; {lacking} zones without a whole path" if lacking else ""
    return f"  {name}: {rate:.1f} requests/s; step {steps} ms; places {rooms}{rest}"


def main() -> None:
    """Print what each way serves on the known sites and on random fleets."""
    parser = argparse.ArgumentParser(description="Compare placements.")
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args().seed)
    for name, zones in SITES.items():
        print(name)
        for way, lay_out in WAYS.items():
            print(_row(way, lay_out(build(zones)), zones))
    wins: dict[str, int] = dict.fromkeys(WAYS, 0)
    steps: dict[str, list[float]] = {way: [] for way in WAYS}
    without: dict[str, int] = dict.fromkeys(WAYS, 0)
    for _ in range(RANDOM_FLEETS):
        zones = random_zones(rng)
        rates = {}
        for way, lay_out in WAYS.items():
            fleet = lay_out(build(zones))
            found = [served(fleet, zone) for zone in zones]
            without[way] += sum(each is None for each in found)
            rates[way] = sum(each.rate_per_s for each in found if each is not None)
            steps[way] += [each.step_ms for each in found if each is not None]
        wins[max(rates, key=lambda way: rates[way])] += 1
    print(f"{RANDOM_FLEETS} random fleets")
    for way in WAYS:
        mean = sum(steps[way]) / len(steps[way])
        print(
            f"  {way}: most requests/s on {wins[way]}; mean step {mean:.1f} ms; "
            f"zones without a whole path {without[way]}"
        )


if __name__ == "__main__":
    main()
