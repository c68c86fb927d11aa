"""Run a short fault soak over real processes."""

from pathlib import Path

import pytest

from standins.soak import Soak


@pytest.mark.parametrize("seed", [1, 4])
def test_promises_hold_under_faults(tmp_path: Path, seed: int) -> None:
    """Guards against a promise that breaks when faults overlap in real processes."""
    # Seed 4: SIGHUP ended a host that was still importing its modules.
    soak = Soak(seed=seed, seconds=4.0, folder=tmp_path)
    assert soak.run() == []
    assert sum(answer.status == 200 for answer in soak.answers) > 50
