"""Materialized view of the leases stream: the holder of each lease."""

from collections.abc import Iterable

import attrs

from persimmonwell.core._documents import JsonObject, JsonValue
from persimmonwell.core.config import LogRecord


@attrs.frozen
class Holder:
    """Holder of one lease according to the stream."""

    fence: int
    """Fencing token: the offset of the record that took the lease."""
    ttl_s: float
    last_offset: int
    """Offset of the last valid record of this holder."""
    host: str = ""
    """Empty while only the fencing token is known."""
    incarnation: str = ""
    record_id: str = ""
    """Id of the last valid record."""


@attrs.frozen
class LeaseRecord:
    """Record that takes or renews a lease.

    It also states the holder that the writer knew. A host that starts after
    retention has removed earlier records can thus begin at this record and reach
    the same state as all others.
    """

    record_id: str
    name: str
    host: str
    incarnation: str
    ttl_s: float
    as_of: int
    """Offset before which the writer had folded the stream."""
    first: int
    """Lowest retained offset that the writer knew."""
    holder: Holder | None
    """Holder that the writer knew at as_of."""
    renews: int | None = None
    supersedes: int | None = None


def encode_lease(record: LeaseRecord) -> JsonObject:
    """Return the JSON form of a record."""
    holder = record.holder
    return {
        "type": "lease",
        "record_id": record.record_id,
        "name": record.name,
        "host": record.host,
        "incarnation": record.incarnation,
        "ttl_s": record.ttl_s,
        "as_of": record.as_of,
        "first": record.first,
        "holder": None
        if holder is None
        else [holder.fence, holder.last_offset, holder.ttl_s],
        "renews": record.renews,
        "supersedes": record.supersedes,
    }


def decode_lease(data: JsonObject) -> LeaseRecord | None:
    """Return the record, or None when it is malformed or of another type."""
    if data.get("type") != "lease":
        return None
    names = ("record_id", "name", "host", "incarnation")
    strings = [value for name in names if isinstance(value := data.get(name), str)]
    ttl_s, as_of, first = data.get("ttl_s"), data.get("as_of"), data.get("first")
    if len(strings) != len(names) or not isinstance(ttl_s, int | float):
        return None
    if not isinstance(as_of, int) or not isinstance(first, int):
        return None
    record_id, lease, host, incarnation = strings
    return LeaseRecord(
        record_id=record_id,
        name=lease,
        host=host,
        incarnation=incarnation,
        ttl_s=float(ttl_s),
        as_of=as_of,
        first=first,
        holder=_decode_holder(data.get("holder")),
        renews=_decode_fence(data.get("renews")),
        supersedes=_decode_fence(data.get("supersedes")),
    )


def _decode_holder(value: JsonValue) -> Holder | None:
    match value:
        case [int(fence), int(last_offset), int(ttl_s) | float(ttl_s)]:
            return Holder(fence=fence, last_offset=last_offset, ttl_s=float(ttl_s))
        case _:
            return None


def _decode_fence(value: JsonValue) -> int | None:
    return value if isinstance(value, int) and not isinstance(value, bool) else None


@attrs.define
class _Lease:
    """State of one lease; records are buffered until its holder is known."""

    start_offset: int
    """Offset from which on every record of the lease was seen."""
    is_known: bool
    holder: Holder | None = None
    buffered: list[tuple[int, LeaseRecord]] = attrs.field(factory=list)


class LeaseFold:
    """Holder of each lease, as the retained part of the stream determines it.

    Writers append only after a recent read to the end of the stream, and the log
    never applies an append later than its retention time. The offset as_of of every
    record was therefore still retained when the log stored the record.
    """

    def __init__(self) -> None:
        self._start_offset = 0
        self._first_offset = 0
        self._next_offset = 0
        self._leases: dict[str, _Lease] = {}

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to fold."""
        return self._next_offset

    @property
    def first_offset(self) -> int:
        """Return the lowest offset known to be retained."""
        return self._first_offset

    @property
    def names(self) -> tuple[str, ...]:
        """Return the names of all leases seen, sorted."""
        return tuple(sorted(self._leases))

    def is_known(self, name: str) -> bool:
        """Return whether it is known who holds the lease, or that it is free."""
        # If the stream has no record of the lease, its holder is past retention, so
        # the lease is known to be free.
        lease = self._leases.get(name)
        return lease is None or lease.is_known

    def holder(self, name: str) -> Holder | None:
        """Return the last holder, even if its lease has expired, or None."""
        lease = self._leases.get(name)
        return lease.holder if lease is not None and lease.is_known else None

    def apply_records(
        self, first_offset: int, records: Iterable[LogRecord]
    ) -> tuple[str, ...]:
        """Apply the records that continue the stream.

        Return the names of the leases that got a valid record.
        """
        self._first_offset = max(self._first_offset, first_offset)
        if self._first_offset > self._next_offset:
            self._start_offset = self._next_offset = self._first_offset
            self._leases.clear()
        self._drop_unretained()
        changed: dict[str, None] = {}
        for record in records:
            if record.offset != self._next_offset:
                continue
            self._next_offset += 1
            lease = decode_lease(record.data)
            if lease is not None and self._apply(record.offset, lease):
                changed[lease.name] = None
        return tuple(changed)

    def _drop_unretained(self) -> None:
        """Drop leases of unknown state of which no record is retained."""
        for name, lease in tuple(self._leases.items()):
            if not lease.is_known and lease.buffered[-1][0] < self._first_offset:
                del self._leases[name]

    def _apply(self, offset: int, record: LeaseRecord) -> bool:
        lease = self._leases.get(record.name)
        if lease is None:
            start_offset = (
                0
                if self._start_offset == 0
                else max(self._start_offset, self._first_offset)
            )
            lease = _Lease(start_offset=start_offset, is_known=self._start_offset == 0)
            self._leases[record.name] = lease
        if lease.is_known:
            return _apply_record(lease, offset, record)
        lease.buffered.append((offset, record))
        if record.as_of < lease.start_offset:
            return False
        lease.is_known, lease.holder = True, record.holder
        changed = False
        for buffered_offset, buffered_record in lease.buffered:
            if buffered_offset >= record.as_of:
                changed = (
                    _apply_record(lease, buffered_offset, buffered_record) or changed
                )
        lease.buffered.clear()
        return changed


def _apply_record(lease: _Lease, offset: int, record: LeaseRecord) -> bool:
    """Apply one record to a lease; return whether the record is valid."""
    holder = lease.holder
    if holder is not None and holder.last_offset < record.first:
        holder = None
    if record.renews is not None:
        valid = holder is not None and holder.fence == record.renews
        fence = record.renews
    else:
        # A take-over is invalid if the holder renewed the lease at an offset that the
        # taker had not folded yet.
        is_unrenewed = holder is None or (
            holder.fence == record.supersedes and holder.last_offset < record.as_of
        )
        valid = is_unrenewed and (holder is None) == (record.supersedes is None)
        fence = offset
    if valid:
        lease.holder = Holder(
            fence=fence,
            ttl_s=record.ttl_s,
            last_offset=offset,
            host=record.host,
            incarnation=record.incarnation,
            record_id=record.record_id,
        )
    return valid
