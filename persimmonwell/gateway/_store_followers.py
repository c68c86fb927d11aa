"""Threads that follow the store: configuration, replica registry, placement duty."""

import random
import threading
import time
from collections.abc import Callable, Mapping

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
    StoreSlice,
    decode_config,
    decode_replica,
)

CONFIG_LONG_POLL_S = 1.2
"""Maximum wait of a long poll. With a longer one, a dead connection could hide a new
version for more than the 2 s in which it has to be in force."""
REPLICA_READ_INTERVAL_S = 0.7
"""Interval between reads, since each call to the store has a price; a draining replica
may get requests for 2 s."""
CALL_TIMEOUT_S = 0.8
RETRY_DELAY_S = 0.25
"""Interval at which one availability zone tries again to reach the store; its readers
share it, so that the calls of an outage grow with zones instead of hosts."""
MAX_RETRY_DELAY_S = 4.0
RETRY_JITTER = 0.25
FALLBACK_READ_INTERVAL_S = 8.0
"""Longest time without a read and without a reader's word that nothing newer is in the
store, after which a host reads for itself."""
MIN_FALLBACK_INTERVAL_S = 1.0
"""Shortest one, above the interval of the readers' marks."""
MAX_UNREAD_S = 60.0
"""Time after which a host reads for itself whatever its zone's readers say."""
ERA_CHECK_DELAY_S = 0.05
"""Pause before an era that a single answer states is checked by another answer."""
CONFIG_FOLLOWER = "config"
REPLICA_FOLLOWER = "replicas"
DUTY_RENEWAL_INTERVAL_S = 1.0
DUTY_TTL_MS = 4000
MAX_UNRESPONSIVE_S = 2.0
"""Time without a sign of the event loop after which the duty is not renewed. The lease
ends within DUTY_TTL_MS then, and another host takes over."""
DUTY_GROUP = "placement"
DUTY_TOPIC = "placement"


@attrs.frozen
class StoreRead:
    """Position of one read, which shows whether the follower could miss records."""

    follower: str
    era: int | None
    from_offset: int | None
    """None for a full list."""
    end_offset: int
    record_count: int


@attrs.frozen
class StoreCallbacks:
    """Callbacks of the followers, which are called on the followers' threads."""

    on_config: Callable[[ForwardingConfig, bytes], None]
    """Configuration and the document that it was decoded from."""
    on_invalid_config: Callable[[str], None]
    on_replicas: Callable[[tuple[RegistryRecord, ...], int | None, int], None]
    """Registry records, with the end offset if they are a full list, else None, and
    the era of the store, 0 if it states none."""
    on_duty: Callable[[float | None], None]
    """Monotonic time at which this host's lease ends; None if another host holds it."""
    on_invalid_entry: Callable[[str, str], None]
    """Key of a registry entry that names no usable replica, and the reason."""
    on_store_status: Callable[[str, bool, str], None]
    """Name of the follower, whether the store answered, and the reason if not."""
    on_read_resumed: Callable[[StoreRead], None]
    """First read of a follower, after a failure, or in another era of the store."""
    on_error: Callable[[str, Exception], None]
    """Name of the follower and an unexpected error, after which it goes on."""
    on_received: Callable[[str, int], None] = lambda follower, count: None
    """Name of the follower and the bytes that it holds of a response; 0 after it was
    handled."""
    on_read: Callable[[str, float], None] = lambda follower, started_s: None
    """Name of a follower that reads continuously and the monotonic time at which the
    read began, after its records were reported."""


class StoreEra:
    """Era of the store, which rises when it comes back from a copy.

    A higher era counts once two answers in a row state it, since a single spoiled one
    would make all later answers look like those of an earlier era.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self._is_confirmed = False
        self._candidate: int | None = None

    def accept(self, era: int | None) -> bool:
        """Return whether an answer counts; the next one decides about its era if not.

        The era is None if the answer does not state it. Raises
        PlatformUnavailableError if the answer is of an earlier era.
        """
        candidate, self._candidate = self._candidate, None
        if era is None or self.era is None:
            self.era = era if self.era is None else self.era
            return True
        if era == self.era or era == candidate:
            self.era = era
            self._is_confirmed = True
            return True
        if era < self.era and self._is_confirmed:
            raise PlatformUnavailableError("log", f"era {era} after era {self.era}")
        self._candidate = era
        return False


class StoreFollowers:
    """Threads that read the store, with long polls, and renew the placement duty.

    A reader reads continuously; other hosts read when a peer has a newer version.
    """

    def __init__(
        self,
        *,
        url: str,
        member: str,
        callbacks: StoreCallbacks,
        unread_bounds_s: Mapping[str, float] | None = None,
    ) -> None:
        self._url = url
        self._member = member
        self._callbacks = callbacks
        self._stop = threading.Event()
        self._reads_continuously = threading.Event()
        self._reads_continuously.set()
        self._resigned = threading.Event()
        self._read_requests = {
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
        self._store_available: dict[str, bool] = {}
        self._eras: dict[str, int | None] = {}
        """Era of the store at the last read, by follower."""
        self._confirmed_s = dict.fromkeys(self._read_requests, float("-inf"))
        self._unread_bounds_s = dict(unread_bounds_s or {})
        """Time after which a change in the store must be known, by follower."""
        self._reader_count = 1
        self._responsive_s = time.monotonic()
        """Time of the last sign that the host's event loop runs."""
        self._random = random.Random(member)

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Signal the threads to stop; each one ends after its current call."""
        self._stop.set()
        self._resigned.set()
        for read_request in self._read_requests.values():
            read_request.set()

    def resign(self) -> None:
        """Release the placement duty for good, so that another host can take it."""
        self._resigned.set()

    @property
    def reads_continuously(self) -> bool:
        """Return whether this host reads the store for its availability zone."""
        return self._reads_continuously.is_set()

    def set_continuous_reading(self, enabled: bool) -> None:
        """Read continuously, or only on request_read and at long intervals."""
        if enabled and not self._reads_continuously.is_set():
            self._reads_continuously.set()
            for read_request in self._read_requests.values():
                read_request.set()
        elif not enabled:
            self._reads_continuously.clear()

    def set_reader_count(self, count: int) -> None:
        """Set the number of hosts that share the retries of this zone."""
        self._reader_count = max(1, count)

    def confirm_responsive(self) -> None:
        """Record that the event loop, which does the duty's work, runs."""
        self._responsive_s = time.monotonic()

    @property
    def _is_responsive(self) -> bool:
        return time.monotonic() - self._responsive_s <= MAX_UNRESPONSIVE_S

    def request_read(self, follower: str) -> None:
        """Read now, since a peer has read something newer.

        A host that reads continuously only does so while it waits to try again.
        """
        is_retrying = not self._store_available.get(follower, True)
        if is_retrying or not self._reads_continuously.is_set():
            self._read_requests[follower].set()

    def set_unread_bounds(self, bounds_s: Mapping[str, float]) -> None:
        """Set the time after which a change in the store must be known, by follower."""
        self._unread_bounds_s = dict(bounds_s)

    def fallback_interval_s(self, follower: str) -> float:
        """Return the time without a reader's word after which this host reads itself.

        It leaves time for the read, so that a change that was accepted right after the
        readers' last read is known within its bound.
        """
        bound_s = self._unread_bounds_s.get(follower, float("inf"))
        return min(
            FALLBACK_READ_INTERVAL_S,
            max(MIN_FALLBACK_INTERVAL_S, bound_s - CALL_TIMEOUT_S),
        )

    def confirm(self, follower: str, read_s: float | None = None) -> None:
        """Record that a reader of the zone has read what this host knows.

        Its read began at a monotonic time, just now by default.
        """
        read_s = time.monotonic() if read_s is None else read_s
        self._confirmed_s[follower] = max(read_s, self._confirmed_s[follower])

    def _client(self, name: str) -> StoreClient:
        return StoreClient(
            url=self._url,
            timeout_s=CALL_TIMEOUT_S,
            on_received=lambda count: self._callbacks.on_received(name, count),
        )

    def _report_store_status(
        self, name: str, is_available: bool, reason: str = ""
    ) -> None:
        if not is_available or not self._store_available.get(name):
            self._callbacks.on_store_status(name, is_available, reason)
        self._store_available[name] = is_available

    def _report_read(self, read: StoreRead) -> None:
        """Report a read after which the follower could have missed records."""
        name = read.follower
        is_same_era = self._eras.get(name) == read.era
        if not (self._store_available.get(name) and is_same_era):
            self._callbacks.on_read_resumed(read)
        self._eras[name] = read.era

    def _follow_config(self) -> None:
        self._follow_topic(
            CONFIG_FOLLOWER,
            CONFIG_TOPIC,
            long_poll_s=CONFIG_LONG_POLL_S,
            pause_s=0.0,
            handle=lambda records, end_offset, era: self._handle_config(records),
        )

    def _follow_replicas(self) -> None:
        self._follow_topic(
            REPLICA_FOLLOWER,
            REPLICA_TOPIC,
            long_poll_s=0.0,
            pause_s=REPLICA_READ_INTERVAL_S,
            handle=lambda records, end_offset, era: self._callbacks.on_replicas(
                tuple(
                    self._registry_record(record.key, record)
                    for record in records
                    if record.key
                ),
                end_offset,
                era or 0,
            ),
        )

    def _registry_record(self, key: str, record: StoreRecord) -> RegistryRecord:
        """Return a record of the registry; an invalid entry names no replica."""
        replica = None
        try:
            replica = decode_replica(key, record.value) if record.value else None
        except DocumentError as error:
            self._callbacks.on_invalid_entry(key, error.message())
        return RegistryRecord(key, record.offset, replica)

    def _follow_topic(
        self,
        name: str,
        topic: str,
        *,
        long_poll_s: float,
        pause_s: float,
        handle: Callable[[tuple[StoreRecord, ...], int | None, int | None], None],
    ) -> None:
        client = self._client(name)
        offset: int | None = None
        store_era = StoreEra()
        while not self._stop.is_set():
            started_s = time.monotonic()
            try:
                # After a failure, the answer itself shows that the store is back.
                wait_s = long_poll_s if self._store_available.get(name) else 0.0
                offset = self._read_topic(
                    *(client, name, topic, offset, store_era),
                    wait_s=wait_s,
                    handle=handle,
                )
                if offset is None:
                    continue
                self._report_store_status(name, True)
                if not self._reads_continuously.is_set():
                    self._stop.wait(pause_s)
                    self._wait_until_read_is_due(name, started_s)
                    # A snapshot is smaller than the heartbeats of many seconds.
                    offset = None
                else:
                    self._callbacks.on_read(name, started_s)
                    self._stop.wait(pause_s)
            except RecordsExpiredError:
                offset = None
            except PlatformUnavailableError as error:
                self._report_store_status(name, False, error.reason)
                self._wait_to_retry(name)
            except Exception as error:
                # The thread must not end: the host would never learn of a change again.
                self._callbacks.on_error(name, error)
                self._report_store_status(name, False, type(error).__name__)
                offset = None
                self._wait_to_retry(name)
        client.close()

    def _read_topic(
        self,
        client: StoreClient,
        name: str,
        topic: str,
        offset: int | None,
        store_era: StoreEra,
        *,
        wait_s: float,
        handle: Callable[[tuple[StoreRecord, ...], int | None, int | None], None],
    ) -> int | None:
        """Read and handle records; return the next offset, None to read the list."""
        try:
            if offset is None:
                snapshot = client.read_latest(topic)
                if not store_era.accept(snapshot.era):
                    self._stop.wait(ERA_CHECK_DELAY_S)
                    return None
                self._report_read(_describe_read(name, None, snapshot))
                handle(snapshot.records, snapshot.end_offset, store_era.era)
                return snapshot.end_offset
            changes = client.read(topic, from_offset=offset, wait_s=wait_s)
            offset_era = store_era.era
            if not store_era.accept(changes.era) or store_era.era != offset_era:
                # The offset may name another record now.
                return None
            self._report_read(_describe_read(name, offset, changes))
            # A stale read ends before this offset and returns no records.
            if changes.records:
                handle(changes.records, None, store_era.era)
                offset = changes.records[-1].offset + 1
            return offset
        finally:
            # Handled on the event loop before it handles this.
            self._callbacks.on_received(name, 0)

    def _retry_delay_s(self) -> float:
        delay_s = min(MAX_RETRY_DELAY_S, RETRY_DELAY_S * self._reader_count)
        return delay_s * self._random.uniform(1 - RETRY_JITTER, 1 + RETRY_JITTER)

    def _wait_to_retry(self, name: str) -> None:
        if self._read_requests[name].wait(self._retry_delay_s()):
            self._read_requests[name].clear()

    def _wait_until_read_is_due(self, name: str, read_s: float) -> None:
        """Wait for a request to read, or until the readers' word is too old."""
        while True:
            known_s = max(read_s, self._confirmed_s[name])
            due_s = min(known_s + self.fallback_interval_s(name), read_s + MAX_UNREAD_S)
            wait_s = due_s - time.monotonic()
            if wait_s <= 0 or self._read_requests[name].wait(wait_s):
                break
        self._read_requests[name].clear()

    def _handle_config(self, records: tuple[StoreRecord, ...]) -> None:
        for record in reversed(records):
            if record.key != CONFIG_KEY or not record.value:
                continue
            try:
                self._callbacks.on_config(decode_config(record.value), record.value)
                return
            except DocumentError as error:
                self._callbacks.on_invalid_config(error.message())

    def _follow_duty(self) -> None:
        client = self._client("duty")
        generation = 0
        holds_duty = False
        store_era = StoreEra()
        usable_from_s = float("-inf")
        while not self._resigned.is_set():
            if not self._reads_continuously.is_set() and not holds_duty:
                # The readers and the holder are enough candidates for one duty.
                self._resigned.wait(DUTY_RENEWAL_INTERVAL_S)
                continue
            if not self._is_responsive:
                # The renewal belongs to the loop that does the work.
                holds_duty = False
                self._resigned.wait(DUTY_RENEWAL_INTERVAL_S)
                continue
            call_start_s = time.monotonic()
            try:
                membership = client.join_group(
                    DUTY_GROUP,
                    member=self._member,
                    topic=DUTY_TOPIC,
                    ttl_ms=DUTY_TTL_MS,
                    generation=generation,
                )
                generation = membership.generation
                held_duty = holds_duty
                holds_duty = (DUTY_TOPIC, 0) in membership.partitions
                known_era = store_era.era
                if not store_era.accept(membership.era):
                    holds_duty = held_duty
                    self._resigned.wait(ERA_CHECK_DELAY_S)
                    continue
                is_restored = known_era is not None and store_era.era != known_era
                if is_restored and not held_duty:
                    # The copy may name a holder from before the last hand-over, and
                    # the lease of the newer one has not ended yet.
                    usable_from_s = call_start_s + DUTY_TTL_MS / 1000
                # The lease counts from the start of the call, less a margin, so that
                # it ends here before it ends in the store.
                until_s = call_start_s + DUTY_TTL_MS / 1000 - 0.5
                is_usable = holds_duty and call_start_s >= usable_from_s
                self._callbacks.on_duty(until_s if is_usable else None)
                self._report_store_status("duty", True)
                self._resigned.wait(DUTY_RENEWAL_INTERVAL_S)
            except PlatformUnavailableError as error:
                self._report_store_status("duty", False, error.reason)
                self._resigned.wait(self._retry_delay_s())
            except Exception as error:
                self._callbacks.on_error("duty", error)
                self._resigned.wait(self._retry_delay_s())
        if generation:
            self._leave_duty(client, generation)
        client.close()

    def _leave_duty(self, client: StoreClient, generation: int) -> None:
        """Leave the group, with retries until the host closes.

        Leases do not expire while the store is down, so one that is not released
        would still block the next holder after an outage.
        """
        self._callbacks.on_duty(None)
        while True:
            try:
                client.leave_group(
                    DUTY_GROUP, member=self._member, generation=generation
                )
                return
            except PlatformUnavailableError as error:
                self._report_store_status("duty", False, error.reason)
            if self._stop.wait(RETRY_DELAY_S):
                return


def _describe_read(
    follower: str, from_offset: int | None, store_slice: StoreSlice
) -> StoreRead:
    return StoreRead(
        follower=follower,
        era=store_slice.era,
        from_offset=from_offset,
        end_offset=store_slice.end_offset,
        record_count=len(store_slice.records),
    )
