"""Follow the configuration, the replicas and the placement duty in the store."""

import threading
import time
from collections.abc import Callable

import attrs

from persimmonwell._exceptions import DocumentError, PlatformUnavailableError
from persimmonwell.core.forwarding import ForwardingConfig, RegistryRecord
from persimmonwell.platform import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    REPLICA_TOPIC,
    RecordsExpiredError,
    StoreClient,
    StoreRecord,
    decode_config,
    decode_replica,
)

CONFIG_WAIT_S = 1.2
"""A read that waits longer could hang on a silent connection for more than the 2 s
in which a new version has to be in force."""
REPLICA_INTERVAL_S = 0.7
"""Calls to the store are priced; a leaving replica may get requests for 2 s."""
CALL_TIMEOUT_S = 0.8
RETRY_S = 0.25
RARE_READ_S = 8.0
"""Interval of hosts that others tell of news. It only bounds what a host that misses
every datagram learns late; a tenth of a reader's calls."""
CONFIG_FOLLOWER = "config"
REPLICA_FOLLOWER = "replicas"
DUTY_INTERVAL_S = 1.0
DUTY_TTL_MS = 4000
DUTY_GROUP = "placement"
DUTY_TOPIC = "placement"


@attrs.frozen
class StoreEvents:
    """Name the callbacks of the followers; they come on the followers' threads."""

    config: Callable[[ForwardingConfig], None]
    bad_config: Callable[[str], None]
    replicas: Callable[[tuple[RegistryRecord, ...], int | None], None]
    """Changes of the registry, or a full list with the offset at which it ends."""
    duty: Callable[[float | None], None]
    """Moment until which this host gives orders; None when another one does."""
    store: Callable[[str, bool, str], None]
    """Name of the follower, whether the store answers, and why not."""


class StoreFollowers:
    """Hold the threads that wait for the store."""

    def __init__(self, *, url: str, member: str, events: StoreEvents) -> None:
        self._url = url
        self._member = member
        self._events = events
        self._stop = threading.Event()
        self._often = threading.Event()
        self._often.set()
        self._resigned = threading.Event()
        self._news = {
            name: threading.Event() for name in (CONFIG_FOLLOWER, REPLICA_FOLLOWER)
        }
        self._threads = [
            threading.Thread(target=run, name=name, daemon=True)
            for name, run in (
                (CONFIG_FOLLOWER, self._follow_config),
                (REPLICA_FOLLOWER, self._follow_replicas),
                ("duty", self._follow_duty),
            )
        ]
        self._works: dict[str, bool] = {}

    def start(self) -> None:
        """Start following."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Ask the threads to stop; they end with their current call."""
        self._stop.set()
        self._resigned.set()
        for news in self._news.values():
            news.set()

    def resign(self) -> None:
        """Give the duty up for good; a host that stops would leave it vacant."""
        self._resigned.set()

    @property
    def reads_often(self) -> bool:
        """Return whether this host reads the store for its zone."""
        return self._often.is_set()

    def read_often(self, often: bool) -> None:
        """Read all the time, or only what told_of_news asks for."""
        if often and not self._often.is_set():
            self._often.set()
            for news in self._news.values():
                news.set()
        elif not often:
            self._often.clear()

    def told_of_news(self, follower: str) -> None:
        """Read once, as a peer has read something newer."""
        if not self._often.is_set():
            self._news[follower].set()

    def _client(self) -> StoreClient:
        return StoreClient(url=self._url, timeout_s=CALL_TIMEOUT_S)

    def _note(self, name: str, works: bool, reason: str = "") -> None:
        if not works or not self._works.get(name):
            self._events.store(name, works, reason)
        self._works[name] = works

    def _follow_config(self) -> None:
        self._follow(
            CONFIG_FOLLOWER,
            CONFIG_TOPIC,
            wait_s=CONFIG_WAIT_S,
            pause_s=0.0,
            take=lambda records, end_offset: self._take_config(records),
        )

    def _follow_replicas(self) -> None:
        self._follow(
            REPLICA_FOLLOWER,
            REPLICA_TOPIC,
            wait_s=0.0,
            pause_s=REPLICA_INTERVAL_S,
            take=lambda records, end_offset: self._events.replicas(
                tuple(_registry_record(each) for each in records if each.key),
                end_offset,
            ),
        )

    def _follow(
        self,
        name: str,
        topic: str,
        *,
        wait_s: float,
        pause_s: float,
        take: Callable[[tuple[StoreRecord, ...], int | None], None],
    ) -> None:
        client = self._client()
        offset: int | None = None
        while not self._stop.is_set():
            try:
                if offset is None:
                    listed = client.newest(topic)
                    take(listed.records, listed.end_offset)
                    offset = listed.end_offset
                else:
                    found = client.read(topic, from_offset=offset, wait_s=wait_s)
                    # A stale read ends before what was seen already.
                    if found.records:
                        take(found.records, None)
                        offset = found.records[-1].offset + 1
                self._note(name, True)
                if not self._often.is_set():
                    self._stop.wait(pause_s)
                    self._news[name].wait(RARE_READ_S)
                    self._news[name].clear()
                    # One full list instead of the heartbeats of many seconds.
                    offset = None
                elif pause_s:
                    self._stop.wait(pause_s)
            except RecordsExpiredError:
                offset = None
            except PlatformUnavailableError as error:
                self._note(name, False, error.reason)
                self._stop.wait(RETRY_S)
        client.close()

    def _take_config(self, records: tuple[StoreRecord, ...]) -> None:
        for record in reversed(records):
            if record.key != CONFIG_KEY or not record.value:
                continue
            try:
                self._events.config(decode_config(record.value))
                return
            except DocumentError as error:
                self._events.bad_config(error.message())

    def _follow_duty(self) -> None:
        client = self._client()
        generation = 0
        holds = False
        while not self._resigned.is_set():
            if not self._often.is_set() and not holds:
                # A few candidates are enough for one duty.
                self._resigned.wait(DUTY_INTERVAL_S)
                continue
            asked_s = time.monotonic()
            try:
                joined = client.join(
                    DUTY_GROUP,
                    member=self._member,
                    topic=DUTY_TOPIC,
                    ttl_ms=DUTY_TTL_MS,
                    generation=generation,
                )
                generation = joined.generation
                holds = (DUTY_TOPIC, 0) in joined.partitions
                # The lease counts from the call, so that it ends here first.
                until_s = asked_s + DUTY_TTL_MS / 1000 - 0.5
                self._events.duty(until_s if holds else None)
                self._note("duty", True)
                self._resigned.wait(DUTY_INTERVAL_S)
            except PlatformUnavailableError as error:
                self._note("duty", False, error.reason)
                self._resigned.wait(RETRY_S)
        if generation:
            self._leave_duty(client, generation)
        client.close()

    def _leave_duty(self, client: StoreClient, generation: int) -> None:
        """Leave the group, again until the host ends: an outage stops its leases."""
        self._events.duty(None)
        while True:
            try:
                client.leave(DUTY_GROUP, member=self._member, generation=generation)
                return
            except PlatformUnavailableError as error:
                self._note("duty", False, error.reason)
            if self._stop.wait(RETRY_S):
                return


def _registry_record(record: StoreRecord) -> RegistryRecord:
    assert record.key is not None
    replica = decode_replica(record.key, record.value) if record.value else None
    return RegistryRecord(record.key, record.offset, replica)
