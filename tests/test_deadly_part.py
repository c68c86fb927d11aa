"""Runs of the deadly-part experiment over real processes."""

from pathlib import Path

import pytest

from standins.deadly_part import COUNTED_CRASH, DeadlyPartRun


@pytest.mark.parametrize("seed", [10, 11])
def test_replicas_that_crash_together_do_not_crash_again(
    tmp_path: Path, seed: int
) -> None:
    """Guards against a second wave of crashes once the replicas are back."""
    outcome = DeadlyPartRun(seed=seed, folder=tmp_path, seconds=14.0).run()
    assert outcome.crashes >= COUNTED_CRASH
    assert outcome.violations == []
