"""Tests of followers and hosts whose store came back from an older copy."""

import socket
import time
from typing import Any

import pytest

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.gateway._store_followers import StoreEra
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


class _SpoiledOnce(dict[str, str]):
    """Headers of the store's answers, of which the next one states an odd era."""

    is_spoiled = True

    def items(self) -> Any:
        """Return the headers of one answer."""
        was_spoiled, self.is_spoiled = self.is_spoiled, False
        return ({**self, "Store-Era": "65535"} if was_spoiled else self.copy()).items()


def test_one_spoiled_era_stops_no_follower(followed_store: FollowedStore) -> None:
    """Guards against a follower that holds all later answers for those of a copy.

    The answers go to the followers of the configuration, the registry and the duty.
    """
    store = followed_store.store
    wait_until(lambda: any(followed_store.lease_ends_s))
    for _ in range(10):
        store.server.answer_headers = _SpoiledOnce(store.server.answer_headers)
        wait_until(lambda: not store.server.answer_headers.is_spoiled)
        time.sleep(0.3)
    store.put_key("keyed.op", "config", config(9))
    followed_store.put_replica("i-9")
    wait_until(lambda: followed_store.versions[-1] == 9, timeout_s=3.0)
    wait_until(lambda: _last_id(followed_store) == "i-9", timeout_s=3.0)
    assert followed_store.eras[-1] == 1
    # A lease of an answer that was spoiled is not used.
    renewals = len(followed_store.lease_ends_s)
    wait_until(lambda: any(followed_store.lease_ends_s[renewals:]), timeout_s=3.0)


@pytest.mark.parametrize(
    "eras, accepted, known",
    [
        ((1, 1, 2), (True, True, False), 1),
        ((1, 1, 2, 2), (True, True, False, True), 2),
        ((1, 1, 9, 1, 2, 9, 9), (*(True, True, False, True), *(False, False, True)), 9),
        ((9, 1, 1, 2, 2), (True, False, True, False, True), 2),
        ((None, 3, None, 3, 4, None), (True, True, True, True, False, True), 3),
    ],
)
def test_era_counts_once_two_answers_state_it(
    eras: tuple[int | None, ...], accepted: tuple[bool, ...], known: int
) -> None:
    """Guards against an era that one spoiled answer states."""
    store_era = StoreEra()
    assert tuple(map(store_era.accept, eras)) == accepted
    assert store_era.era == known


def test_answer_of_an_earlier_era_is_none() -> None:
    """Guards against a late answer from before the store came back."""
    store_era = StoreEra()
    assert [store_era.accept(era) for era in (2, 2)] == [True, True]
    with pytest.raises(PlatformUnavailableError):
        store_era.accept(1)
    assert store_era.era == 2
