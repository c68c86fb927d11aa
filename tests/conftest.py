"""Configure hypothesis and provide a small fleet on loopback."""

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
    """Provide two zones with engines, a service, and one entry host each."""
    small = SmallFleet()
    small.start()
    yield small
    small.close()
