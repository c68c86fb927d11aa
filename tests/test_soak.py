"""Short soak test with real processes."""

from pathlib import Path

import pytest

from standins.soak import Soak

SECONDS = {1: 4.0, 4: 4.0, 1003: 6.0}
"""Duration of the faults by seed; it decides which of them are drawn."""


@pytest.mark.parametrize("seed", SECONDS)
def test_no_violations_under_overlapping_faults(tmp_path: Path, seed: int) -> None:
    """Guards against guarantees that fail only when faults overlap."""
    # Seed 4 sends SIGHUP to a host that is still importing its modules; without a
    # handler the signal ends it. Seed 1003 restores the store, and hosts that cannot
    # read it meanwhile have to serve the versions written since.
    soak = Soak(seed=seed, seconds=SECONDS[seed], folder=tmp_path)
    assert soak.run() == []
    assert sum(answer.status == 200 for answer in soak.answers) > 50
