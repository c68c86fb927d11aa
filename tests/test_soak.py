"""Run a short fault soak over real processes."""

from pathlib import Path

from standins.soak import Soak


def test_promises_hold_under_faults(tmp_path: Path) -> None:
    """Guards against a promise that breaks when faults overlap in real processes."""
    soak = Soak(seed=1, seconds=4.0, folder=tmp_path)
    assert soak.run() == []
    assert sum(answer.status == 200 for answer in soak.answers) > 50
