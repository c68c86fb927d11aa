"""Hypothesis profiles and the fixture of a running fleet on loopback."""

import os
from collections.abc import Iterator

import pytest
from hypothesis import settings

from tests.fleet import SmallFleet

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=100)
settings.register_profile("dev", deadline=None, max_examples=100)
settings.load_profile("ci" if os.environ.get("CI") else "dev")


@pytest.fixture
def fleet() -> Iterator[SmallFleet]:
    """Provide a running fleet of two zones, each with engines, a service and a host."""
    small_fleet = SmallFleet()
    small_fleet.start()
    yield small_fleet
    small_fleet.close()
