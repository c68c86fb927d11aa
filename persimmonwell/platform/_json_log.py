"""Keep JSON records in topics of the platform's store."""

import attrs
import msgspec

from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config import LogRecord, normalize_record
from persimmonwell.platform._store_client import RecordsExpiredError, StoreClient


@attrs.frozen
class StreamSlice:
    """Hold one answer of the store to a read."""

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


@attrs.frozen
class JsonLog:
    """Hold the store client whose topics carry JSON records."""

    _store: StoreClient

    def append(self, stream: str, records: tuple[JsonObject, ...]) -> tuple[int, ...]:
        """Append records and return their offsets.

        Raise PlatformUnavailableError when no answer came; the append may have
        taken effect.
        """
        contents = tuple(msgspec.json.encode(record) for record in records)
        first = self._store.append(stream, contents)
        return tuple(range(first, first + len(records)))

    def read(self, stream: str, *, from_offset: int, wait_s: float) -> StreamSlice:
        """Read records from an offset on, waiting up to wait_s for the first.

        Reading goes on at the first record that is kept. Raise
        PlatformUnavailableError when no answer came.
        """
        try:
            part = self._store.read(stream, from_offset=from_offset, wait_s=wait_s)
        except RecordsExpiredError as expired:
            part = self._store.read(stream, from_offset=expired.first_offset)
        records = tuple(
            LogRecord(offset=each.offset, data=_decode(each.value or b""))
            for each in part.records
        )
        return StreamSlice(part.first_offset, part.end_offset, records)


def _decode(content: bytes) -> JsonObject:
    """Decode one record; an unusable one must not hide those after it."""
    try:
        data = msgspec.json.decode(content)
    except (msgspec.MsgspecError, RecursionError):
        data = None
    return normalize_record(data)
