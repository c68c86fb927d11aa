"""Fold the leases stream into the holder of each lease."""

from collections.abc import Iterable

import attrs

from persimmonwell.core._documents import JsonObject, JsonValue
from persimmonwell.core.config import LogRecord


@attrs.frozen
class Holder:
    """Hold what the stream says of the holder of one lease."""

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
    """Take or renew a lease, and state what the writer had folded before.

    The stated holder lets a host that starts behind a retention cut begin at
    this record and reach the same state as all others.
    """

    record_id: str
    name: str
    host: str
    incarnation: str
    ttl_s: float
    as_of: int
    """Offset up to which the writer had folded the stream."""
    first: int
    """Lowest retained offset that the writer knew."""
    holder: Holder | None
    """Holder that the writer had folded at as_of."""
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
    texts = [value for name in names if isinstance(value := data.get(name), str)]
    ttl_s, as_of, first = data.get("ttl_s"), data.get("as_of"), data.get("first")
    if len(texts) != len(names) or not isinstance(ttl_s, int | float):
        return None
    if not isinstance(as_of, int) or not isinstance(first, int):
        return None
    record_id, lease, host, incarnation = texts
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
    """Track one lease; records are kept back until its state is known."""

    begin: int
    """Offset from which on no record of the lease was missed."""
    known: bool
    holder: Holder | None = None
    kept: list[tuple[int, LeaseRecord]] = attrs.field(factory=list)


class LeaseFold:
    """Hold the holders that the retained part of the stream determines.

    Writers append only after a recent read to the end of the stream, and the log
    lands no append later than its retention. Every record then states a holder
    as of an offset that was still retained when the record landed.
    """

    def __init__(self) -> None:
        self._begin = 0
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
        """Return the names of all leases seen."""
        return tuple(sorted(self._leases))

    def is_known(self, name: str) -> bool:
        """Return whether the holder, or its absence, is known."""
        # Without any record, every record of the lease is past retention, and so
        # is its holder.
        lease = self._leases.get(name)
        return lease is None or lease.known

    def holder(self, name: str) -> Holder | None:
        """Return the last holder, lapsed or not, or None."""
        lease = self._leases.get(name)
        return lease.holder if lease is not None and lease.known else None

    def read(self, first_offset: int, records: Iterable[LogRecord]) -> tuple[str, ...]:
        """Fold the records that follow; return the leases with valid records."""
        self._first_offset = max(self._first_offset, first_offset)
        if self._first_offset > self._next_offset:
            self._begin = self._next_offset = self._first_offset
            self._leases.clear()
        self._forget_unretained()
        changed: dict[str, None] = {}
        for record in records:
            if record.offset != self._next_offset:
                continue
            self._next_offset += 1
            lease = decode_lease(record.data)
            if lease is not None and self._apply(record.offset, lease):
                changed[lease.name] = None
        return tuple(changed)

    def _forget_unretained(self) -> None:
        """Forget unknown leases of which no record is retained any more."""
        for name, lease in tuple(self._leases.items()):
            if not lease.known and lease.kept[-1][0] < self._first_offset:
                del self._leases[name]

    def _apply(self, offset: int, record: LeaseRecord) -> bool:
        lease = self._leases.get(record.name)
        if lease is None:
            begin = 0 if self._begin == 0 else max(self._begin, self._first_offset)
            lease = _Lease(begin=begin, known=self._begin == 0)
            self._leases[record.name] = lease
        if lease.known:
            return _fold(lease, offset, record)
        lease.kept.append((offset, record))
        if record.as_of < lease.begin:
            return False
        lease.known, lease.holder = True, record.holder
        changed = False
        for kept_offset, kept in lease.kept:
            if kept_offset >= record.as_of:
                changed = _fold(lease, kept_offset, kept) or changed
        lease.kept.clear()
        return changed


def _fold(lease: _Lease, offset: int, record: LeaseRecord) -> bool:
    """Apply one record; return whether it is valid."""
    holder = lease.holder
    if holder is not None and holder.last_offset < record.first:
        holder = None
    if record.renews is not None:
        valid = holder is not None and holder.fence == record.renews
        fence = record.renews
    else:
        # A renewal that the taker had not folded yet keeps the lease.
        unrenewed = holder is None or (
            holder.fence == record.supersedes and holder.last_offset < record.as_of
        )
        valid = unrenewed and (holder is None) == (record.supersedes is None)
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
