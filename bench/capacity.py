"""Measures resource use by size, for docs/CAPACITY.md: python -m bench.capacity.

Each section runs in a child process and prints least-squares lines through at least
three sizes, with their worst error. The relay section runs exclusively; the others run
a few at a time.
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
from bench.capacity_overload import measure_overload
from bench.capacity_routing import measure_routing
from bench.capacity_state import measure_claims, measure_timeline
from bench.slopes import Slope, format_slope

Section = Callable[[int], Sequence[Slope | str]]
MAX_PARALLEL_SECTIONS = 3
"""Number of sections in parallel; with three, all finish within three minutes."""
EXCLUSIVE_SECTIONS = ("relay",)
"""Sections that use most cores themselves; they run before the parallel ones."""
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
    "overload": measure_overload,
}


def run_section(name: str, seed: int) -> tuple[list[str], float]:
    """Run one section; return its lines of output and its duration in seconds."""
    started_s = time.perf_counter()
    results = SECTIONS[name](seed)
    lines = [r if isinstance(r, str) else format_slope(r) for r in results]
    return lines, time.perf_counter() - started_s


def main() -> None:
    """Run the selected sections, or all of them, and print their slopes."""
    parser = argparse.ArgumentParser(prog="bench.capacity")
    parser.add_argument("sections", nargs="*", default=[], metavar="section")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    unknown = set(options.sections) - set(SECTIONS)
    if unknown:
        parser.error(f"unknown sections {sorted(unknown)}; known: {[*SECTIONS]}")
    names = options.sections or [*SECTIONS]
    print(f"seed {options.seed}, {os.cpu_count()} cores", flush=True)
    with ProcessPoolExecutor(
        MAX_PARALLEL_SECTIONS, mp_context=get_context("spawn")
    ) as pool:
        exclusive = [name for name in names if name in EXCLUSIVE_SECTIONS]
        futures = {n: pool.submit(run_section, n, options.seed) for n in exclusive}
        wait(futures.values())
        for name in names:
            if name not in EXCLUSIVE_SECTIONS:
                futures[name] = pool.submit(run_section, name, options.seed)
        for name, future in futures.items():
            lines, seconds = future.result()
            print(f"{name} ({seconds:.1f} s)")
            for line in lines:
                print(f"  {line}", flush=True)


if __name__ == "__main__":
    main()
