"""Check how often a host reads the store, and what it learns."""

import time
from collections.abc import Iterator

import pytest

from persimmonwell.core.forwarding import RegistryRecord
from persimmonwell.gateway._store_followers import (
    CONFIG_FOLLOWER,
    REPLICA_FOLLOWER,
    StoreEvents,
    StoreFollowers,
)
from persimmonwell.platform import StoreClient
from standins.log import Log
from standins.platform_config import config
from tests.fleet import wait_until

TOPICS = {CONFIG_FOLLOWER: "keyed.op", REPLICA_FOLLOWER: "keyed.servers"}


class _Followed:
    """Hold the followers of one host and what they reported."""

    def __init__(self) -> None:
        self.store = Log()
        self.versions: list[int] = []
        self.replicas: list[tuple[RegistryRecord, ...]] = []
        self.duties: list[float | None] = []
        self.store.put_key("keyed.op", "config", config(3))
        self.put_replica("i-1")
        self.store.start()
        self.followers = StoreFollowers(
            url=f"http://{self.store.server.address}",
            member="h1",
            events=StoreEvents(
                config=lambda found: self.versions.append(found.version),
                bad_config=lambda reason: None,
                replicas=lambda records, end: self.replicas.append(records),
                duty=self.duties.append,
                store=lambda name, works, reason: None,
            ),
        )

    def put_replica(self, name: str) -> None:
        entry = {"service": "desk", "address": "127.0.0.1:9", "zone": "za"}
        rest = {"version": "v1", "slots": 8, "state": "ready", "sequence": 1}
        self.store.put_key("keyed.servers", name, {**entry, **rest})

    def reads(self) -> int:
        return sum(self.store.reads[topic] for topic in TOPICS.values())


@pytest.fixture
def followed() -> Iterator[_Followed]:
    """Provide followers that have read the store once."""
    followed = _Followed()
    followed.followers.start()
    wait_until(lambda: bool(followed.versions and followed.replicas))
    yield followed
    followed.followers.close()
    followed.store.close()


def test_a_host_that_others_read_for_makes_no_calls_without_news(
    followed: _Followed,
) -> None:
    """Guards against 5,000 calls a minute by 35 hosts that all read the same."""
    followed.followers.read_often(False)
    time.sleep(2.5)  # The waiting read of the configuration ends within 1.2 s.
    before, duties = followed.reads(), len(followed.duties)
    followed.put_replica("i-2")
    time.sleep(1.0)
    assert followed.reads() == before
    assert len(followed.duties) <= duties + 2


def test_a_host_that_stops_gives_the_duty_up_at_once(followed: _Followed) -> None:
    """Guards against four seconds in which nobody orders layers.

    On a drawn day of hinokuni-birdlist a stopping host took the duty as the store came
    back, stopped 0.6 s later, and a zone without layers waited 4 s for its next holder.
    """
    wait_until(lambda: any(followed.duties))
    followed.followers.resign()
    wait_until(lambda: followed.duties[-1] is None, timeout_s=0.5)
    client = StoreClient(url=f"http://{followed.store.server.address}", timeout_s=1.0)
    wait_until(
        lambda: bool(
            client.join(
                "placement", member="h2", topic="placement", ttl_ms=4000, generation=0
            ).partitions
        ),
        timeout_s=0.5,
    )
    time.sleep(1.2)
    assert followed.duties[-1] is None
    client.close()


def test_a_duty_is_given_up_when_the_store_is_back(followed: _Followed) -> None:
    """Guards against a lease that an outage keeps for a host that has stopped."""
    wait_until(lambda: any(followed.duties))
    followed.store.faults["down"] = True
    followed.followers.resign()
    time.sleep(0.6)
    followed.store.faults["down"] = False
    wait_until(lambda: not followed.store.members("placement"), timeout_s=1.0)


def test_a_host_told_of_news_reads_it_at_once(followed: _Followed) -> None:
    """Guards against a configuration or a leaving replica that is heard of late."""
    followed.followers.read_often(False)
    time.sleep(2.5)
    followed.store.put_key("keyed.op", "config", config(7))
    followed.put_replica("i-2")
    followed.followers.told_of_news(CONFIG_FOLLOWER)
    followed.followers.told_of_news(REPLICA_FOLLOWER)
    wait_until(lambda: followed.versions[-1] == 7, timeout_s=0.5)
    wait_until(
        lambda: {each.replica_id for each in followed.replicas[-1]} == {"i-1", "i-2"},
        timeout_s=0.5,
    )


def test_a_host_that_reads_for_its_zone_again_goes_on_at_once(
    followed: _Followed,
) -> None:
    """Guards against seconds without news after the zone's readers were lost."""
    followed.followers.read_often(False)
    time.sleep(2.5)
    followed.followers.read_often(True)
    followed.store.put_key("keyed.op", "config", config(8))
    wait_until(lambda: followed.versions[-1] == 8, timeout_s=0.5)
    followed.put_replica("i-3")
    wait_until(lambda: followed.replicas[-1][-1].replica_id == "i-3", timeout_s=1.5)
