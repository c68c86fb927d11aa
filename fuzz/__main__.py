"""Fuzzes the decoders of foreign bytes: python -m fuzz --seed 1 --inputs 100000."""

import argparse
import sys
from pathlib import Path

from fuzz._runner import Report, run_target
from fuzz._targets import TARGETS


def print_reports(reports: list[Report]) -> None:
    """Print a row for each target, and its findings."""
    print(f"{'target':<15}{'inputs':>10}{'seconds':>9}  findings")
    for report in reports:
        print(
            f"{report.target:<15}{report.inputs:>10}{report.seconds:>9.1f}"
            f"  {len(report.findings) or 'none'}"
        )
        for finding in report.findings:
            print(f"    {finding.cause}\n    {finding.data[:200]!r}")


def main() -> int:
    """Run the targets; return 1 if one of them has a finding."""
    parser = argparse.ArgumentParser(prog="python -m fuzz")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--inputs", type=int, default=20_000, help="for each target")
    parser.add_argument("--minutes", type=float, default=1.0, help="for each target")
    parser.add_argument("--target", help="one target; all by default")
    parser.add_argument("--keep", type=Path, help="folder for the inputs found")
    options = parser.parse_args()
    reports = [
        run_target(
            target,
            seed=options.seed,
            inputs=options.inputs,
            seconds=options.minutes * 60,
        )
        for target in TARGETS
        if options.target in (None, target.name)
    ]
    print_reports(reports)
    findings = [finding for report in reports for finding in report.findings]
    for number, finding in enumerate(findings):
        if options.keep is not None:
            folder = options.keep / finding.target
            folder.mkdir(parents=True, exist_ok=True)
            (folder / f"{options.seed}-{number}").write_bytes(finding.data)
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
