"""Tests of followers whose store came back from an older copy."""

from collections.abc import Iterator

import pytest

from standins.platform_config import config
from tests.fleet import wait_until
from tests.gateway.test_store_followers import FollowedStore


@pytest.fixture
def followed_store() -> Iterator[FollowedStore]:
    """Return a store whose followers have read it once."""
    store = FollowedStore()
    store.start()
    yield store
    store.close()


def test_configuration_at_an_offset_given_out_again_is_read(
    followed_store: FollowedStore,
) -> None:
    """Guards against a configuration that is not in force long after it was accepted.

    The store lost three versions while the host could not read it, and three records
    were written since, so that it ends at the offset at which the host had stopped.
    """
    store = followed_store.store
    copy = store.copy()
    for version in (4, 5, 6):
        store.put_key("keyed.op", "config", config(version))
    wait_until(lambda: followed_store.versions[-1] == 6)
    store.faults["down"] = True
    wait_until(lambda: store.refused_calls > 0)
    store.restore(copy)
    for version in (6, 7, 8):
        store.put_key("keyed.op", "config", config(version))
    store.faults["down"] = False
    wait_until(lambda: followed_store.versions[-1] == 8, timeout_s=3.0)


def test_registry_records_at_offsets_given_out_again_are_read(
    followed_store: FollowedStore,
) -> None:
    """Guards against a replica that draws requests after it has left."""
    store = followed_store.store
    copy = store.copy()
    for name in ("i-2", "i-3"):
        followed_store.put_replica(name)
    wait_until(lambda: _last_id(followed_store) == "i-3")
    store.faults["down"] = True
    wait_until(lambda: store.refused_calls > 1)
    store.restore(copy)
    for name in ("i-4", "i-5"):
        followed_store.put_replica(name)
    store.faults["down"] = False
    wait_until(lambda: _last_id(followed_store) == "i-5", timeout_s=3.0)
    assert {each.replica_id for each in followed_store.replicas[-1]} == {
        *("i-1", "i-4", "i-5")
    }
    assert followed_store.eras[-1] == 2


def _last_id(followed_store: FollowedStore) -> str:
    return followed_store.replicas[-1][-1].replica_id
