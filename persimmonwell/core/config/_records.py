"""Keep the latest records of a stream, to compare and to pass on."""

import hashlib
import json
from collections import OrderedDict

import attrs

from persimmonwell.core._documents import JsonObject, JsonValue

MAX_DEPTH = 32
"""Deeper records are refused: folding them recurses once per level."""
RECORDS_KEPT = 1024
BYTES_KEPT = 4 * 1024 * 1024
MALFORMED: JsonObject = {"type": "malformed"}


@attrs.frozen
class LogRecord:
    """Hold one record of a log stream."""

    offset: int
    data: JsonObject


@attrs.frozen
class _Kept:
    record: LogRecord
    digest: bytes
    size_bytes: int


def normalize_record(data: JsonValue) -> JsonObject:
    """Return the data, or the same replacement on every host when unusable."""
    if not isinstance(data, dict) or _exceeds_depth(data):
        return MALFORMED
    return data


def _exceeds_depth(value: JsonValue) -> bool:
    level: list[JsonValue] = [value]
    for _ in range(MAX_DEPTH):
        below: list[JsonValue] = []
        for item in level:
            if isinstance(item, dict):
                below.extend(item.values())
            elif isinstance(item, list):
                below.extend(item)
        if not below:
            return False
        level = below
    return True


class RecentRecords:
    """Hold the records folded last, bounded in number and size."""

    def __init__(self) -> None:
        self._kept: OrderedDict[int, _Kept] = OrderedDict()
        self._size_bytes = 0

    def add(self, record: LogRecord) -> None:
        """Remember a folded record and drop the oldest beyond the bounds."""
        text = _canonical(record.data)
        kept = _Kept(record, hashlib.sha256(text).digest(), len(text))
        self._kept[record.offset] = kept
        self._size_bytes += kept.size_bytes
        while len(self._kept) > 1 and (
            len(self._kept) > RECORDS_KEPT or self._size_bytes > BYTES_KEPT
        ):
            self._size_bytes -= self._kept.popitem(last=False)[1].size_bytes

    def conflicts(self, record: LogRecord) -> bool:
        """Return whether another record was folded at the same offset."""
        kept = self._kept.get(record.offset)
        if kept is None:
            return False
        return hashlib.sha256(_canonical(record.data)).digest() != kept.digest

    def after(
        self, offset: int, *, limit: int, limit_bytes: int
    ) -> tuple[LogRecord, ...] | None:
        """Return records from an offset on; None when the first is not kept."""
        if offset not in self._kept:
            return None
        found: list[LogRecord] = []
        size_bytes = 0
        while offset in self._kept and len(found) < limit:
            kept = self._kept[offset]
            size_bytes += kept.size_bytes
            if found and size_bytes > limit_bytes:
                break
            found.append(kept.record)
            offset += 1
        return tuple(found)


def _canonical(data: JsonObject) -> bytes:
    return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()
