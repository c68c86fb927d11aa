"""Short soak test with real processes."""

from pathlib import Path

import pytest

from standins.soak import Soak

SECONDS = {1: 4.0, 4: 4.0, 1003: 6.0, 2001: 6.0, 3001: 8.0, 4001: 8.0}
"""Duration of the faults by seed; it decides which of them are drawn."""
SEEDS_WITH_STARTS_WITHOUT_STORE = (2001,)
SEEDS_WITH_STATEMENTS = (3001,)
SEEDS_WITH_SPOILED_BYTES = (4001,)


@pytest.mark.parametrize("seed", SECONDS)
def test_no_violations_under_overlapping_faults(tmp_path: Path, seed: int) -> None:
    """Guards against guarantees that fail only when faults overlap."""
    # Seed 4 sends SIGHUP to a host that is still importing its modules; without a
    # handler the signal ends it. Seed 1003 restores the store, and hosts that cannot
    # read it meanwhile have to serve the versions written since. Seed 2001 starts hosts
    # while the store is down; they have to be ready with their peers' state. Seed 3001
    # lets replicas state that they leave, and when to come back. Seed 4001 spoils bytes
    # of streams, and writes odd entries and headers.
    soak = Soak(
        seed=seed,
        seconds=SECONDS[seed],
        folder=tmp_path,
        starts_without_store=seed in SEEDS_WITH_STARTS_WITHOUT_STORE,
        states=seed in SEEDS_WITH_STATEMENTS,
        spoils=seed in SEEDS_WITH_SPOILED_BYTES,
    )
    assert soak.run() == []
    assert sum(answer.status == 200 for answer in soak.answers) > 50
