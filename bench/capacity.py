"""Measure the slopes behind docs/CAPACITY.md: python -m bench.capacity.

The relay is measured alone; the other sections run in child processes, a few at
once. Each prints straight lines through at least three sizes with their worst
error.
"""

import argparse
import os
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, wait
from multiprocessing import get_context

from bench.capacity_control import measure_config, measure_gossip, measure_membership
from bench.capacity_daemon import (
    measure_idle,
    measure_list_interval,
    measure_polls,
    measure_relay,
    measure_restart,
    measure_threads,
)
from bench.capacity_routing import measure_routing
from bench.capacity_state import measure_claims, measure_timeline
from bench.slopes import Slope, describe

Section = Callable[[int], Sequence[Slope | str]]
AT_ONCE = 3
"""Sections side by side, to finish within three minutes."""
ALONE = ("relay",)
"""Sections that use most cores themselves and run before the others."""
SECTIONS: dict[str, Section] = {
    "relay": measure_relay,
    "gossip": measure_gossip,
    "idle": measure_idle,
    "list-interval": measure_list_interval,
    "routing": measure_routing,
    "threads": measure_threads,
    "polls": measure_polls,
    "restart": measure_restart,
    "config": measure_config,
    "membership": measure_membership,
    "claims": measure_claims,
    "timeline": measure_timeline,
}


def run_section(name: str, seed: int) -> tuple[list[str], float]:
    """Return the lines of one section and its duration in seconds."""
    started_s = time.perf_counter()
    results = SECTIONS[name](seed)
    lines = [r if isinstance(r, str) else describe(r) for r in results]
    return lines, time.perf_counter() - started_s


def main() -> None:
    """Run the chosen sections and print their slopes."""
    parser = argparse.ArgumentParser(prog="bench.capacity")
    parser.add_argument("sections", nargs="*", default=[], metavar="section")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    unknown = set(options.sections) - set(SECTIONS)
    if unknown:
        parser.error(f"unknown sections {sorted(unknown)}; known: {[*SECTIONS]}")
    names = options.sections or [*SECTIONS]
    print(f"seed {options.seed}, {os.cpu_count()} cores", flush=True)
    with ProcessPoolExecutor(AT_ONCE, mp_context=get_context("spawn")) as pool:
        alone = [name for name in names if name in ALONE]
        futures = {n: pool.submit(run_section, n, options.seed) for n in alone}
        wait(futures.values())
        for name in names:
            if name not in ALONE:
                futures[name] = pool.submit(run_section, name, options.seed)
        for name, future in futures.items():
            lines, seconds = future.result()
            print(f"{name} ({seconds:.1f} s)")
            for line in lines:
                print(f"  {line}", flush=True)


if __name__ == "__main__":
    main()
