"""Testbed of the followers of one host with a stand-in store."""

import threading

from persimmonwell.core.forwarding import RegistryRecord
from persimmonwell.gateway._peer_datagrams import SEND_INTERVAL_S
from persimmonwell.gateway._store_followers import (
    CONFIG_FOLLOWER,
    REPLICA_FOLLOWER,
    StoreCallbacks,
    StoreFollowers,
    StoreRead,
)
from standins.log import Log
from standins.platform_config import config
from tests.fleet import wait_until

TOPICS = {CONFIG_FOLLOWER: "keyed.op", REPLICA_FOLLOWER: "keyed.servers"}


class FollowedStore:
    """Stand-in store, the followers of one host and the values they reported."""

    def __init__(self) -> None:
        self.store = Log()
        self.versions: list[int] = []
        self.replicas: list[tuple[RegistryRecord, ...]] = []
        self.eras: list[int] = []
        self.lease_ends_s: list[float | None] = []
        self.resumed_reads: list[StoreRead] = []
        self.held: list[tuple[str, int]] = []
        """Bytes of responses that each follower held."""
        self.hangs = threading.Event()
        self.store.put_key("keyed.op", "config", config(3))
        self.put_replica("i-1")
        self.store.start()
        self.followers = StoreFollowers(
            url=f"http://{self.store.server.address}",
            member="h1",
            callbacks=StoreCallbacks(
                on_config=lambda found, document: self.versions.append(found.version),
                on_invalid_config=lambda reason: None,
                on_invalid_entry=lambda key, reason: None,
                on_replicas=self._record_replicas,
                on_duty=self.lease_ends_s.append,
                on_store_status=lambda name, is_available, reason: None,
                on_read_resumed=self.resumed_reads.append,
                on_error=lambda name, error: None,
                on_received=lambda name, count: self.held.append((name, count)),
            ),
        )

    def _record_replicas(
        self, records: tuple[RegistryRecord, ...], end_offset: int | None, era: int
    ) -> None:
        self.eras.append(era)
        self.replicas.append(records)

    def put_replica(self, name: str) -> None:
        entry = {"service": "desk", "address": "127.0.0.1:9", "zone": "za"}
        rest = {"version": "v1", "slots": 8, "state": "ready", "sequence": 1}
        self.store.put_key("keyed.servers", name, {**entry, **rest})

    def start(self) -> None:
        """Start the followers and wait until they have read the store once."""
        self.followers.start()
        threading.Thread(target=self._confirm_responsive, daemon=True).start()
        wait_until(lambda: bool(self.versions and self.replicas))

    def _confirm_responsive(self) -> None:
        """Give the signs of an event loop that runs, until it hangs."""
        while not self.hangs.wait(SEND_INTERVAL_S):
            self.followers.confirm_responsive()

    def close(self) -> None:
        self.hangs.set()
        self.followers.close()
        self.store.close()

    def count_reads(self) -> int:
        return sum(self.store.reads[topic] for topic in TOPICS.values())
