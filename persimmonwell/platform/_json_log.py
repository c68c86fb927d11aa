"""Logs of JSON records, kept in topics of the platform's store."""

import attrs
import msgspec

from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config import LogRecord, normalize_record
from persimmonwell.platform._store_client import RecordsExpiredError, StoreClient


@attrs.frozen
class StreamSlice:
    """Records of one read, with the first offset kept and the next one to read."""

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]
    era: int | None = None
    """Era of the store in which the offsets count, see StoreSlice."""


@attrs.frozen
class JsonLog:
    """Reads and appends JSON records through a store client; a stream is a topic."""

    _store: StoreClient

    def append(self, stream: str, records: tuple[JsonObject, ...]) -> tuple[int, ...]:
        """Append records and return their offsets.

        Raises PlatformUnavailableError if no valid answer arrived; the append may
        have taken effect.
        """
        contents = tuple(msgspec.json.encode(record) for record in records)
        first_offset = self._store.append(stream, contents)
        return tuple(range(first_offset, first_offset + len(records)))

    def read(self, stream: str, *, from_offset: int, wait_s: float) -> StreamSlice:
        """Read records from an offset on, waiting up to wait_s for the first.

        If the offset has expired, the read starts at the first record that is kept.
        Raises PlatformUnavailableError if no valid answer arrived.
        """
        try:
            store_slice = self._store.read(
                stream, from_offset=from_offset, wait_s=wait_s
            )
        except RecordsExpiredError as expired:
            store_slice = self._store.read(stream, from_offset=expired.first_offset)
        records = tuple(
            LogRecord(offset=record.offset, data=_decode_record(record.value or b""))
            for record in store_slice.records
        )
        return StreamSlice(
            store_slice.first_offset, store_slice.end_offset, records, store_slice.era
        )


def _decode_record(content: bytes) -> JsonObject:
    """Decode a record; a malformed one is replaced, so that later ones are read."""
    try:
        data = msgspec.json.decode(content)
    except (msgspec.MsgspecError, RecursionError):
        data = None
    return normalize_record(data)
