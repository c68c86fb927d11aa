"""Batch the records that one host appends to the claims stream."""

from collections import deque
from collections.abc import Callable

import attrs

from persimmonwell.core.claims._decisions import AppendClaims
from persimmonwell.core.claims._records import ClaimRecord, Record, encode_record

MAX_BATCH_RECORDS = 256


@attrs.frozen
class _Pending:
    record: Record
    sent: bool = False
    """Whether an append without an answer carried the record before."""


class AppendQueue:
    """Hold the records to append, with at most one append in flight.

    One append in flight keeps the records of a host in order and lets batches
    grow by themselves when the log is slow.
    """

    def __init__(self, *, window_s: float, retry_s: float) -> None:
        self._window_s = window_s
        self._retry_s = retry_s
        self._pending: deque[_Pending] = deque()
        self._in_flight: tuple[_Pending, ...] = ()
        self._not_before_s = 0.0
        self._failing = False
        self._batch_id = 0

    @property
    def idle(self) -> bool:
        """Return whether nothing waits and nothing is in flight."""
        return not self._pending and not self._in_flight

    @property
    def due_s(self) -> float | None:
        """Return when the next batch may be taken, or None."""
        if self._in_flight or not self._pending:
            return None
        return self._not_before_s

    def put(self, record: Record) -> None:
        """Add a record to the next batch."""
        self._pending.append(_Pending(record))

    def take(self, now_s: float, keep: Callable[[Record], bool]) -> AppendClaims | None:
        """Return the next batch of the records worth keeping, or None if not due."""
        if self._in_flight or now_s < self._not_before_s:
            return None
        self._pending = deque(item for item in self._pending if keep(item.record))
        batch = self._choose()
        if not batch:
            return None
        chosen = {id(item) for item in batch}
        self._pending = deque(i for i in self._pending if id(i) not in chosen)
        self._in_flight = batch
        self._not_before_s = now_s + self._window_s
        self._batch_id += 1
        records = tuple(encode_record(item.record) for item in batch)
        return AppendClaims(self._batch_id, records)

    def _choose(self) -> tuple[_Pending, ...]:
        items = tuple(self._pending)
        if self._failing:
            # Each new claim in an append without an answer needs a withdrawal
            # later, so one unanswered append is followed by at most one new claim.
            owed = tuple(
                i for i in items if i.sent or not isinstance(i.record, ClaimRecord)
            )
            items = owed or items[:1]
        return items[:MAX_BATCH_RECORDS]

    def taken_claims(self) -> tuple[str, ...]:
        """Return the ids of the claims in the append in flight."""
        return tuple(
            item.record.claim_id
            for item in self._in_flight
            if isinstance(item.record, ClaimRecord)
        )

    def confirmed(self, batch_id: int) -> tuple[Record, ...]:
        """End the append in flight and return its records."""
        if batch_id != self._batch_id:
            return ()
        records = tuple(item.record for item in self._in_flight)
        self._in_flight, self._failing = (), False
        return records

    def uncertain(self, batch_id: int, now_s: float) -> None:
        """Queue the records in flight again, after a pause."""
        if batch_id != self._batch_id:
            return
        again = [attrs.evolve(item, sent=True) for item in self._in_flight]
        self._pending.extendleft(reversed(again))
        self._in_flight, self._failing = (), True
        self._not_before_s = now_s + self._retry_s
