"""Runs targets with mutated samples and reduces what they fail on."""

import random
import time
import traceback

import attrs

from fuzz._mutations import mutate
from fuzz._targets import Target

MAX_SHRINK_CHECKS = 2_000
MAX_FINDINGS = 5
"""Causes of one target after which its run ends."""


@attrs.frozen
class Finding:
    """Smallest input found that a target fails on."""

    target: str
    data: bytes
    cause: str
    """Type of the error and the line that raised it."""


@attrs.frozen
class Report:
    """Result of one target's run."""

    target: str
    inputs: int
    seconds: float
    findings: tuple[Finding, ...]


def run_target(
    target: Target, *, seed: int, inputs: int, seconds: float = float("inf")
) -> Report:
    """Check a number of mutated samples, for a time at most."""
    rng = random.Random(f"{seed} {target.name}")
    start_s = time.monotonic()
    findings: dict[str, Finding] = {}
    count = 0
    while count < inputs and time.monotonic() - start_s < seconds:
        count += 1
        sample = rng.choice(target.samples)
        data = mutate(rng, sample, single_byte=target.single_byte)
        cause = failure_of(target, data)
        if cause is None or cause in findings:
            continue
        findings[cause] = Finding(target.name, shrink(target, data, cause), cause)
        if len(findings) >= MAX_FINDINGS:
            break
    elapsed_s = time.monotonic() - start_s
    return Report(target.name, count, elapsed_s, tuple(findings.values()))


def failure_of(target: Target, data: bytes) -> str | None:
    """Return the cause for which a target fails on an input, None if it holds."""
    try:
        target.check(data)
    except Exception as error:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        return f"{type(error).__name__} {frame.filename}:{frame.lineno}"
    return None


def shrink(target: Target, data: bytes, cause: str) -> bytes:
    """Return a smaller input that fails for the same cause."""
    checks = 0
    size = len(data)
    while size >= 1 and checks < MAX_SHRINK_CHECKS:
        start = 0
        while start < len(data) and checks < MAX_SHRINK_CHECKS:
            smaller = data[:start] + data[start + size :]
            checks += 1
            if failure_of(target, smaller) == cause:
                data = smaller
            else:
                start += size
        size //= 2
    return data
