"""Fixtures of the tests of the gateway."""

from collections.abc import Iterator

import pytest

from tests.gateway.followed_store import FollowedStore


@pytest.fixture
def followed_store() -> Iterator[FollowedStore]:
    """Return a store whose followers have read it once."""
    followed_store = FollowedStore()
    followed_store.start()
    yield followed_store
    followed_store.close()
