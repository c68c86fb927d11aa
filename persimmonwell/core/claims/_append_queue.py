"""Queue that batches the records of one host for the claims stream."""

from collections import deque
from collections.abc import Callable

import attrs

from persimmonwell.core.claims._decisions import AppendClaims
from persimmonwell.core.claims._records import ClaimRecord, Record, encode_record

MAX_BATCH_RECORDS = 256


@attrs.frozen
class _PendingRecord:
    record: Record
    maybe_appended: bool = False
    """Whether an append with an unknown outcome has carried the record."""


class AppendQueue:
    """Queue of records to append, with at most one append in flight.

    A single append in flight keeps the records of a host in order. Batches grow
    when the log is slow, because records accumulate during an append.
    """

    def __init__(self, *, window_s: float, retry_delay_s: float) -> None:
        self._window_s = window_s
        self._retry_delay_s = retry_delay_s
        self._pending: deque[_PendingRecord] = deque()
        self._in_flight: tuple[_PendingRecord, ...] = ()
        self._not_before_s = 0.0
        self._last_append_uncertain = False
        self._batch_id = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no record is queued or in flight."""
        return not self._pending and not self._in_flight

    @property
    def next_batch_s(self) -> float | None:
        """Return the earliest time of the next batch; None if there is none to take."""
        if self._in_flight or not self._pending:
            return None
        return self._not_before_s

    def put(self, record: Record) -> None:
        """Queue a record for a later batch."""
        self._pending.append(_PendingRecord(record))

    def take_batch(
        self, now_s: float, is_needed: Callable[[Record], bool]
    ) -> AppendClaims | None:
        """Start an append of the next batch; return None when none is due.

        Queued records that is_needed rejects are dropped.
        """
        if self._in_flight or now_s < self._not_before_s:
            return None
        self._pending = deque(item for item in self._pending if is_needed(item.record))
        batch = self._select_batch()
        if not batch:
            return None
        chosen = {id(item) for item in batch}
        self._pending = deque(i for i in self._pending if id(i) not in chosen)
        self._in_flight = batch
        self._not_before_s = now_s + self._window_s
        self._batch_id += 1
        records = tuple(encode_record(item.record) for item in batch)
        return AppendClaims(self._batch_id, records)

    def _select_batch(self) -> tuple[_PendingRecord, ...]:
        items = tuple(self._pending)
        if self._last_append_uncertain:
            # A claim in an append with an unknown outcome needs a withdrawal later.
            # During an outage, each append therefore adds at most one new claim.
            mandatory = tuple(
                i
                for i in items
                if i.maybe_appended or not isinstance(i.record, ClaimRecord)
            )
            items = mandatory or items[:1]
        return items[:MAX_BATCH_RECORDS]

    def in_flight_claim_ids(self) -> tuple[str, ...]:
        """Return the ids of the claims in the append in flight."""
        return tuple(
            item.record.claim_id
            for item in self._in_flight
            if isinstance(item.record, ClaimRecord)
        )

    def confirm_batch(self, batch_id: int) -> tuple[Record, ...]:
        """End the append in flight as successful and return its records."""
        if batch_id != self._batch_id:
            return ()
        records = tuple(item.record for item in self._in_flight)
        self._in_flight, self._last_append_uncertain = (), False
        return records

    def requeue_batch(self, batch_id: int, now_s: float) -> None:
        """Queue the records in flight again, to be sent after the retry delay."""
        if batch_id != self._batch_id:
            return
        again = [attrs.evolve(item, maybe_appended=True) for item in self._in_flight]
        self._pending.extendleft(reversed(again))
        self._in_flight, self._last_append_uncertain = (), True
        self._not_before_s = now_s + self._retry_delay_s
