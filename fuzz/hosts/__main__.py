"""Fuzzes whole hosts: python -m fuzz.hosts --seed 1 --seeds 50 --minutes 10."""

import argparse
import json
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from fuzz.hosts._changes import Change, Kind, Side, from_json
from fuzz.hosts._runner import (
    REQUESTS,
    RunReport,
    changes_of,
    keep_case,
    reduce_changes,
    run_seed,
)


def print_table(applied: Counter[tuple[Side, Kind]], findings: Counter[Side]) -> None:
    """Print the changes that were applied, by kind and side, and the findings."""
    print(f"{'kind':<10}" + "".join(f"{side:>10}" for side in Side))
    for kind in Kind:
        print(f"{kind:<10}" + "".join(f"{applied[side, kind]:>10}" for side in Side))
    totals = [sum(applied[side, kind] for kind in Kind) for side in Side]
    print(f"{'inputs':<10}" + "".join(f"{total:>10}" for total in totals))
    print(f"{'findings':<10}" + "".join(f"{findings[side]:>10}" for side in Side))


def reduce_report(report: RunReport, requests: int, rule: str) -> RunReport:
    """Return a run with the fewest changes found that break a rule."""

    def fails(changes: tuple[Change, ...]) -> bool:
        again = run_seed(report.seed, requests=requests, changes=changes)
        return any(each.rule == rule for each in again.violations)

    changes = reduce_changes(report.applied, fails)
    return RunReport(report.seed, {}, changes, report.violations)


def main() -> int:
    """Run the seeds in order, or one kept case; return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(prog="python -m fuzz.hosts")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=10.0, help="for all seeds")
    parser.add_argument("--requests", type=int, default=REQUESTS, help="for each seed")
    parser.add_argument("--side", type=Side, help="one side; all by default")
    parser.add_argument("--keep", type=Path, help="folder for the smallest cases")
    parser.add_argument("--case", type=Path, help="a kept case to run again")
    options = parser.parse_args()
    # Without a handler, the hosts of a run that is terminated would go on.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    if options.case is not None:
        return _run_case(options.case)
    end_s = time.monotonic() + 60 * options.minutes
    applied: Counter[tuple[Side, Kind]] = Counter()
    findings: Counter[Side] = Counter()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        if time.monotonic() > end_s:
            print(f"time is up before seed {seed}")
            break
        drawn = changes_of(seed, options.requests)
        changes = tuple(c for c in drawn if options.side in (None, c.side))
        report = run_seed(seed, requests=options.requests, changes=changes)
        _print_report(report)
        applied.update((each.side, each.kind) for each in report.applied)
        failed += bool(report.violations)
        if options.keep is None:
            continue
        for rule in sorted({each.rule for each in report.violations}):
            smallest = reduce_report(report, options.requests, rule)
            findings.update({each.side for each in smallest.applied})
            path = keep_case(options.keep, smallest, options.requests, rule)
            print(f"    {len(smallest.applied)} changes show it: {path}", flush=True)
    print_table(applied, findings)
    return 1 if failed else 0


def _run_case(path: Path) -> int:
    document = json.loads(path.read_text(encoding="utf-8"))
    changes = tuple(from_json(fields) for fields in document["changes"])
    seed, requests = document["seed"], document["requests"]
    report = run_seed(seed, requests=requests, changes=changes)
    _print_report(report)
    print(f"{len(changes)} of {len(changes_of(seed, requests))} changes of the seed")
    return 1 if report.violations else 0


def _print_report(report: RunReport) -> None:
    statuses = dict(sorted(report.statuses.items()))
    print(
        f"seed {report.seed}: {statuses}, {len(report.applied)} changes; "
        f"violated: {len(report.violations) or 'none'}",
        flush=True,
    )
    for each in report.violations:
        number = each.request_id.partition("x")[0]
        print(f"    {each.rule} {each.request_id}: {each.detail[:600]}")
        for change in report.applied:
            is_own = change.side in (Side.CALLERS, Side.REPLICAS)
            if is_own and number == str(change.number):
                print(f"        {change}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
