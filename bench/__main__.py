"""Print the measures of the naive router and ours: python -m bench."""

import argparse
import time

from bench.fleet import LAYERS, ZONES, build_config, build_upstreams
from bench.measures import MEASURES, Figure
from bench.naive import NaiveRouter
from persimmonwell.core.router import Router
from persimmonwell.core.routing import achievable_bound


def fleet_bound() -> float:
    """Return the achievable throughput of the bench fleet, tokens per second."""
    links = build_config().links
    return achievable_bound(build_upstreams(), links, LAYERS).tokens_per_s


def make_router(number: int) -> Router:
    """Return our router for one host."""
    return Router(
        host_id=f"host-{number}",
        availability_zone=ZONES[number % len(ZONES)],
        seed=number,
    )


def show(naive: list[Figure], ours: list[Figure]) -> None:
    """Print pairs of figures with their ratio."""
    for before, after in zip(naive, ours, strict=True):
        ratio = after.value / before.value if before.value else float("nan")
        verdict = {None: "", True: "met", False: "MISSED"}[after.met]
        target = "" if after.target is None else f"target {after.target:g}"
        print(
            f"  {after.name:44} naive {before.value:10.4f} ours {after.value:10.4f}"
            f" {after.unit:2} ratio {ratio:8.3f}  {target} {verdict}"
        )


def main() -> None:
    """Run the chosen measures."""
    parser = argparse.ArgumentParser(prog="bench")
    parser.add_argument("measures", nargs="*", choices=[*MEASURES, []], default=[])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    bound = fleet_bound()
    print(f"seed {options.seed}, bound {bound:.0f} tokens/s")
    for name in options.measures or MEASURES:
        started_s = time.perf_counter()
        naive = MEASURES[name](
            lambda number: NaiveRouter(seed=number), bound, options.seed
        )
        ours = MEASURES[name](make_router, bound, options.seed)
        print(f"{name} ({time.perf_counter() - started_s:.1f} s)")
        show(naive, ours)


if __name__ == "__main__":
    main()
