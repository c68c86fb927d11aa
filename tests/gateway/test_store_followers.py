"""Tests of how often a host reads the store, and of the placement duty's lease."""

import time

import pytest

from persimmonwell.gateway import _store_followers
from persimmonwell.gateway._store_followers import (
    CONFIG_FOLLOWER,
    DUTY_RENEWAL_INTERVAL_S,
    MAX_UNRESPONSIVE_S,
    REPLICA_FOLLOWER,
    StoreRead,
)
from persimmonwell.platform import StoreClient
from standins.platform_config import config
from tests.fleet import wait_until
from tests.gateway.followed_store import FollowedStore


def test_host_that_is_not_a_reader_makes_no_calls_without_changes(
    followed_store: FollowedStore,
) -> None:
    """Guards against 5,000 calls a minute by 35 hosts that all read the same."""
    followed_store.followers.set_continuous_reading(False)
    time.sleep(2.5)  # The long poll of the configuration ends within 1.2 s.
    before, lease_call_count = (
        followed_store.count_reads(),
        len(followed_store.lease_ends_s),
    )
    followed_store.put_replica("i-2")
    time.sleep(1.0)
    assert followed_store.count_reads() == before
    assert len(followed_store.lease_ends_s) <= lease_call_count + 2


def test_stopping_host_releases_the_duty_at_once(
    followed_store: FollowedStore,
) -> None:
    """Guards against 4 s in which no host holds the placement duty.

    In one run a stopping host got the duty as the store recovered and stopped 0.6 s
    later, so that a zone without layers waited 4 s for the next holder.
    """
    wait_until(lambda: any(followed_store.lease_ends_s))
    followed_store.followers.resign()
    wait_until(lambda: followed_store.lease_ends_s[-1] is None, timeout_s=0.5)
    client = StoreClient(
        url=f"http://{followed_store.store.server.address}", timeout_s=1.0
    )
    wait_until(
        lambda: bool(
            client.join_group(
                "placement", member="h2", topic="placement", ttl_ms=4000, generation=0
            ).partitions
        ),
        timeout_s=0.5,
    )
    time.sleep(1.2)
    assert followed_store.lease_ends_s[-1] is None
    client.close()


def test_duty_is_released_when_the_store_recovers(
    followed_store: FollowedStore,
) -> None:
    """Guards against a stopped host's lease that outlasts an outage of the store."""
    wait_until(lambda: any(followed_store.lease_ends_s))
    followed_store.store.faults["down"] = True
    followed_store.followers.resign()
    time.sleep(0.6)
    followed_store.store.faults["down"] = False
    wait_until(lambda: not followed_store.store.members("placement"), timeout_s=1.0)


def test_requested_read_happens_at_once(followed_store: FollowedStore) -> None:
    """Guards against a late view of a new configuration or a draining replica."""
    followed_store.followers.set_continuous_reading(False)
    time.sleep(2.5)
    followed_store.store.put_key("keyed.op", "config", config(7))
    followed_store.put_replica("i-2")
    followed_store.followers.request_read(CONFIG_FOLLOWER)
    followed_store.followers.request_read(REPLICA_FOLLOWER)
    wait_until(lambda: followed_store.versions[-1] == 7, timeout_s=0.5)
    wait_until(
        lambda: (
            {each.replica_id for each in followed_store.replicas[-1]} == {"i-1", "i-2"}
        ),
        timeout_s=0.5,
    )


def test_host_that_becomes_a_reader_reads_at_once(
    followed_store: FollowedStore,
) -> None:
    """Guards against seconds without updates after the zone's readers were lost."""
    followed_store.followers.set_continuous_reading(False)
    time.sleep(2.5)
    followed_store.followers.set_continuous_reading(True)
    followed_store.store.put_key("keyed.op", "config", config(8))
    wait_until(lambda: followed_store.versions[-1] == 8, timeout_s=0.5)
    followed_store.put_replica("i-3")
    wait_until(
        lambda: followed_store.replicas[-1][-1].replica_id == "i-3", timeout_s=1.5
    )


def test_host_whose_reader_confirms_its_state_does_not_read(
    followed_store: FollowedStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reads of every host, which grow with the size of the fleet."""
    monkeypatch.setattr(_store_followers, "FALLBACK_READ_INTERVAL_S", 1.0)
    followers = followed_store.followers
    followers.set_continuous_reading(False)
    time.sleep(2.5)
    before = followed_store.count_reads()
    for _ in range(30):
        followers.confirm(CONFIG_FOLLOWER)
        followers.confirm(REPLICA_FOLLOWER)
        time.sleep(0.1)
    assert followed_store.count_reads() == before
    # Without the reader's word the host reads again, also after a lost request.
    wait_until(lambda: followed_store.count_reads() >= before + 2, timeout_s=3.5)


@pytest.mark.parametrize("host_count", [1, 16])
def test_calls_of_an_outage_do_not_grow_with_the_hosts_of_a_zone(
    followed_store: FollowedStore, host_count: int
) -> None:
    """Guards against an outage in which every host of a zone calls four times a second.

    78 hosts made 900 calls a second then.
    """
    followed_store.followers.set_reader_count(host_count)
    followed_store.store.faults["down"] = True
    wait_until(lambda: followed_store.store.refused_calls >= 3)
    before = followed_store.store.refused_calls
    time.sleep(3.0)
    calls = followed_store.store.refused_calls - before
    # Three followers, each with a zone's rate of four calls a second.
    assert calls <= 3 * 4 * 3.0 * 1.4 / host_count + 3


def test_host_that_waits_to_retry_reads_when_a_peer_has_read(
    followed_store: FollowedStore,
) -> None:
    """Guards against seconds without a new configuration after an outage."""
    followers = followed_store.followers
    followers.set_reader_count(16)
    followed_store.store.faults["down"] = True
    wait_until(lambda: not followers._store_available[CONFIG_FOLLOWER])
    time.sleep(0.5)
    followed_store.store.put_key("keyed.op", "config", config(8))
    followed_store.store.faults["down"] = False
    followers.request_read(CONFIG_FOLLOWER)
    wait_until(lambda: followed_store.versions[-1] == 8, timeout_s=0.5)


def test_resumed_read_states_the_offsets_and_the_era(
    followed_store: FollowedStore,
) -> None:
    """Guards against logs that don't show why a follower reads nothing new."""
    wait_until(lambda: len(followed_store.resumed_reads) >= 2)
    first_reads = {read.follower: read for read in followed_store.resumed_reads}
    assert first_reads[CONFIG_FOLLOWER] == StoreRead(
        follower=CONFIG_FOLLOWER,
        era=1,
        from_offset=None,
        end_offset=1,
        record_count=1,
    )
    followed_store.store.restore(followed_store.store.copy())
    wait_until(lambda: len(followed_store.resumed_reads) == 4)
    assert {read.era for read in followed_store.resumed_reads[2:]} == {2}


def test_duty_of_a_host_that_hangs_goes_to_another_one(
    followed_store: FollowedStore,
) -> None:
    """Guards against a lease that a thread renews while the host does no work."""
    wait_until(lambda: any(followed_store.lease_ends_s))
    time.sleep(MAX_UNRESPONSIVE_S + 0.5)
    calls = len(followed_store.lease_ends_s)
    followed_store.hangs.set()
    time.sleep(MAX_UNRESPONSIVE_S + DUTY_RENEWAL_INTERVAL_S)
    # The lease ends in the store when nobody renews it.
    renewals = len(followed_store.lease_ends_s)
    assert calls < renewals
    time.sleep(3 * DUTY_RENEWAL_INTERVAL_S)
    assert len(followed_store.lease_ends_s) == renewals
    followed_store.followers.confirm_responsive()
    wait_until(lambda: len(followed_store.lease_ends_s) > renewals)


def test_bytes_of_responses_are_reported_until_they_are_handled(
    followed_store: FollowedStore,
) -> None:
    """Guards against responses that are uncharged, or charged for ever."""
    for name in ("config", "replicas", "duty"):

        def counts(name: str = name) -> list[int]:
            return [count for held, count in followed_store.held if held == name]

        wait_until(lambda: any(counts()) and counts()[-1] == 0)
    followed_store.store.faults["down"] = True
    time.sleep(0.5)
    newest = dict(followed_store.held)
    assert set(newest.values()) == {0}
