"""Tests of followers and hosts whose store came back from an older copy."""

import socket
import time

from persimmonwell.platform import StoreClient
from standins.platform_config import config, route
from tests.fleet import wait_until
from tests.gateway.followed_store import FollowedStore
from tests.gateway.harness import GatewayTestbed, encoded_report


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


def test_restored_lease_is_used_only_after_the_one_before_has_ended(
    followed_store: FollowedStore,
) -> None:
    """Guards against two hosts that give orders, since the copy names the older holder.

    The other host got the duty after the copy was made, and its lease lasts 4 s.
    """
    store = followed_store.store
    wait_until(lambda: any(followed_store.lease_ends_s))
    copy = store.copy()
    other = StoreClient(url=f"http://{store.server.address}", timeout_s=1.0)
    store.remove_member("placement", "h1")
    join = {"member": "h2", "topic": "placement", "ttl_ms": 4000, "generation": 0}
    assert other.join_group("placement", **join).partitions
    wait_until(lambda: followed_store.lease_ends_s[-1] is None, timeout_s=3.0)
    store.restore(copy)
    restored_s = time.monotonic()
    wait_until(lambda: followed_store.lease_ends_s[-1] is not None, timeout_s=8.0)
    assert time.monotonic() - restored_s > 4.0
    other.close()


def test_holder_keeps_its_lease_when_the_store_is_restored(
    followed_store: FollowedStore,
) -> None:
    """Guards against seconds without a placement after each restore."""
    wait_until(lambda: any(followed_store.lease_ends_s))
    store = followed_store.store
    store.restore(store.copy())
    before = len(followed_store.lease_ends_s)
    wait_until(lambda: len(followed_store.lease_ends_s) > before + 1, timeout_s=4.0)
    assert all(followed_store.lease_ends_s[before:])


def test_host_behind_a_peer_is_not_sure_that_a_route_is_unknown() -> None:
    """Guards against 404 from a host that started before the store was up to date."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    testbed.add_replica("desk-1", "desk")
    testbed.start()
    try:
        assert testbed.send("/added/1")[0] == 404
        data = encoded_report("h2", config_version=4, is_reader=True, interval_s=4.0)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.9", 0))
            peer.sendto(data, ("127.0.0.1", testbed.ports["peers"]))
            wait_until(lambda: testbed.send("/added/1")[0] == 503, timeout_s=2.0)
        assert testbed.send("/look/1")[0] == 200
        document = config(4)
        document["routes"].append(route("added", "safe", "desk"))
        testbed.store.put_key("keyed.op", "config", document)
        wait_until(lambda: testbed.send("/added/1")[0] == 200, timeout_s=2.0)
        assert testbed.send("/none/1")[0] == 404
    finally:
        testbed.close()
