"""Compares the router with a naive baseline in simulation: python -m bench."""

import argparse
import time

from bench.fleet import LAYERS, ZONES, build_config, build_upstreams
from bench.measures import MEASURES, Figure
from bench.naive import NaiveRouter
from persimmonwell.core.router import Router
from persimmonwell.core.routing import achievable_bound


def fleet_bound() -> float:
    """Return the achievable throughput of the benchmark fleet, tokens per second."""
    links = build_config().links
    return achievable_bound(build_upstreams(), links, LAYERS).tokens_per_s


def make_router(number: int) -> Router:
    """Return the project's router for one entry host."""
    return Router(
        host_id=f"host-{number}",
        availability_zone=ZONES[number % len(ZONES)],
        seed=number,
    )


def print_figures(naive: list[Figure], ours: list[Figure]) -> None:
    """Print each figure beside its baseline, with ratio and target."""
    for baseline, figure in zip(naive, ours, strict=True):
        ratio = figure.value / baseline.value if baseline.value else float("nan")
        verdict = {None: "", True: "met", False: "MISSED"}[figure.meets_target]
        target = "" if figure.target is None else f"target {figure.target:g}"
        print(
            f"  {figure.name:44} naive {baseline.value:10.4f} ours {figure.value:10.4f}"
            f" {figure.unit:2} ratio {ratio:8.3f}  {target} {verdict}"
        )


def main() -> None:
    """Run the selected measures, or all of them, and print their figures."""
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
        print_figures(naive, ours)


if __name__ == "__main__":
    main()
