"""Compares choices among replicas with old load reports, in replays without a network.

Run: python -m bench.load_spread --hosts 30 --seeds 3
"""

import argparse
from statistics import fmean

from tests.core.forwarding.load_candidates import CANDIDATES
from tests.core.forwarding.load_replay import (
    COPIES,
    SITES,
    PlainReplay,
    Replay,
    Result,
    percentile,
)

RATES = {4: (8, 25), 30: (20, 60), 65: (60, 120), 340: (100, 300)}
"""Arrivals a second in a zone in calm times, by the hosts of all zones; the surge of
the first fits, three times the second is too much."""
PLAIN = {4: (4, 3, 40), 30: (10, 6, 120), 65: (22, 12, 240), 340: (57, 30, 600)}
"""Hosts, replicas and rate of the service without a pipeline."""
LAYOUTS = {"planned": SITES, "equal": COPIES}
"""Layers as the product places them, and as chains of one kind of accelerator."""
FRESH_S = 0.02
MAX_FRESH_HOSTS = 30
"""More hosts with fresh reports would take hours."""


def print_row(name: str, results: list[Result]) -> None:
    """Print the measures of one candidate over all seeds."""
    sends = sum(result.sends for result in results)
    refused = sum(result.refused for result in results)
    surge_sends = max(1, sum(result.surge_sends for result in results))
    surge_refused = sum(result.surge_refused for result in results)
    samples = max(1, sum(result.samples for result in results))
    idle = sum(result.idle_samples for result in results)
    print(
        f"| {name:21} | {refused / sends:5.1%} | {surge_refused / surge_sends:5.1%} "
        f"| {fmean(result.spread for result in results):.2f} "
        f"| {idle / samples:4.0%} "
        f"| {fmean(fmean(result.used_shares) for result in results):4.0%} "
        f"| {sum(result.in_time for result in results):6} "
        f"| {sum(result.surge_in_time for result in results):6} "
        f"| {sum(result.answered for result in results):6} "
        f"| {fmean(fmean(result.calm_steps_ms) for result in results):5.1f} |",
        flush=True,
    )


def main() -> None:
    """Print a table for each size, layout, load and age of the reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, choices=SITES, nargs="*")
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--layouts", choices=[*LAYOUTS, "plain"], nargs="*")
    parser.add_argument(
        "--ages", type=float, nargs="*", help="greatest age of a report in s, 0 for own"
    )
    parser.add_argument("--only", nargs="*", help="names of candidates")
    arguments = parser.parse_args()
    names = arguments.only or list(CANDIDATES)
    seeds = range(1, arguments.seeds + 1)
    for hosts in arguments.hosts or SITES:
        for layout in LAYOUTS:
            if arguments.layouts and layout not in arguments.layouts:
                continue
            site = LAYOUTS[layout][hosts]
            ages = arguments.ages or [0.0, 2.0]
            if arguments.ages is None and hosts <= MAX_FRESH_HOSTS:
                ages.insert(0, FRESH_S)
            for rate in RATES[hosts]:
                for age_s in ages:
                    interval_s = age_s or site.report_interval_s
                    print(
                        f"\n{hosts} hosts, {layout}, {rate}/s and three times that, "
                        f"reports 0 to {interval_s:g} s old\n\n"
                        "| choice | refused | in surge | spread | idle | memory "
                        "| in time | in surge | answered | calm step ms |\n"
                        + "|---" * 10
                        + "|"
                    )
                    for name in names:
                        replays = [
                            Replay(
                                site,
                                rate,
                                interval_s=interval_s,
                                seed=seed,
                                make_pool=CANDIDATES[name],
                            )
                            for seed in seeds
                        ]
                        print_row(name, [replay.run() for replay in replays])
        if arguments.layouts and "plain" not in arguments.layouts:
            continue
        count, replicas, rate = PLAIN[hosts]
        print(
            f"\n{hosts} hosts, service without a pipeline, {rate}/s\n\n"
            "| choice | reports | spread | joined |\n|---|---|---|---|"
        )
        for interval_s in (FRESH_S, SITES[hosts].report_interval_s, 2.0):
            if interval_s == FRESH_S and hosts > MAX_FRESH_HOSTS:
                continue
            for name in ("today", "product"):
                shares, joined = [], []
                for seed in seeds:
                    of_all, of_joined = PlainReplay(
                        count,
                        replicas,
                        rate,
                        slots=16,
                        interval_s=interval_s,
                        seed=seed,
                        joins_s=4.0,
                        make_pool=CANDIDATES[name],
                    ).run()
                    shares += of_all
                    joined += of_joined
                print(
                    f"| {name} | {interval_s:g} s | {percentile(shares, 0.95):.2f} "
                    f"| {percentile(joined, 0.95):.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
