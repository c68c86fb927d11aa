"""Buffer of the latest records of a stream, to compare them and send them to peers."""

import hashlib
import json
from collections import OrderedDict

import attrs

from persimmonwell.core._documents import JsonObject, JsonValue

MAX_DEPTH = 32
"""Deeper records are treated as malformed: the fold recurses once per level."""
MAX_RECORDS = 1024
MAX_BYTES = 4 * 1024 * 1024
MALFORMED: JsonObject = {"type": "malformed"}


@attrs.frozen
class LogRecord:
    """Record of a log stream with its offset."""

    offset: int
    data: JsonObject


@attrs.frozen
class _StoredRecord:
    record: LogRecord
    digest: bytes
    size_bytes: int


def normalize_record(data: JsonValue) -> JsonObject:
    """Return the data, or the MALFORMED record when it is not usable.

    Every host replaces the same records, so their folds stay equal.
    """
    if not isinstance(data, dict) or _exceeds_depth(data):
        return MALFORMED
    return data


def _exceeds_depth(value: JsonValue) -> bool:
    level: list[JsonValue] = [value]
    for _ in range(MAX_DEPTH):
        next_level: list[JsonValue] = []
        for item in level:
            if isinstance(item, dict):
                next_level.extend(item.values())
            elif isinstance(item, list):
                next_level.extend(item)
        if not next_level:
            return False
        level = next_level
    return True


class RecentRecords:
    """Most recently folded records, bounded in number and size."""

    def __init__(self) -> None:
        self._records: OrderedDict[int, _StoredRecord] = OrderedDict()
        self._size_bytes = 0

    def add(self, record: LogRecord) -> None:
        """Add a folded record and drop the oldest ones beyond the bounds."""
        text = _canonical(record.data)
        stored = _StoredRecord(record, hashlib.sha256(text).digest(), len(text))
        self._records[record.offset] = stored
        self._size_bytes += stored.size_bytes
        while len(self._records) > 1 and (
            len(self._records) > MAX_RECORDS or self._size_bytes > MAX_BYTES
        ):
            self._size_bytes -= self._records.popitem(last=False)[1].size_bytes

    def conflicts_with(self, record: LogRecord) -> bool:
        """Return whether a different record was folded at the same offset."""
        stored = self._records.get(record.offset)
        if stored is None:
            return False
        return hashlib.sha256(_canonical(record.data)).digest() != stored.digest

    def records_from(
        self, offset: int, *, limit: int, limit_bytes: int
    ) -> tuple[LogRecord, ...] | None:
        """Return records from an offset on; None when the first is not available."""
        if offset not in self._records:
            return None
        found: list[LogRecord] = []
        size_bytes = 0
        while offset in self._records and len(found) < limit:
            stored = self._records[offset]
            size_bytes += stored.size_bytes
            if found and size_bytes > limit_bytes:
                break
            found.append(stored.record)
            offset += 1
        return tuple(found)


def _canonical(data: JsonObject) -> bytes:
    return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()
