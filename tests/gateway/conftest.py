"""Fixtures of the tests of the gateway."""

from collections.abc import Iterator

import pytest

from standins.platform_config import config
from tests.gateway.followed_store import FollowedStore
from tests.gateway.harness import GatewayTestbed


@pytest.fixture
def testbed() -> Iterator[GatewayTestbed]:
    """Return a running host with one desk replica."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    testbed.add_replica("desk-1", "desk")
    testbed.start()
    yield testbed
    testbed.close()


@pytest.fixture
def followed_store() -> Iterator[FollowedStore]:
    """Return a store whose followers have read it once."""
    followed_store = FollowedStore()
    followed_store.start()
    yield followed_store
    followed_store.close()
