"""Append to and read from the platform's log service."""

import json

import attrs
import msgspec
import urllib3

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config import LogRecord, normalize_record

READ_LIMIT_RECORDS = 500


class _AppendAnswer(msgspec.Struct):
    offsets: list[int]


class _ReadRecord(msgspec.Struct):
    offset: int
    data: msgspec.Raw


class _ReadAnswer(msgspec.Struct):
    first: int
    next: int
    records: list[_ReadRecord]


@attrs.frozen
class StreamSlice:
    """Hold one answer of the log service to a read."""

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogClient:
    """Hold the connections to the log service."""

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = url
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(maxsize=8, retries=False)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def append(self, stream: str, records: tuple[JsonObject, ...]) -> tuple[int, ...]:
        """Append records and return their offsets.

        Raise PlatformUnavailableError when no answer came; the append may have
        taken effect.
        """
        body = msgspec.json.encode({"records": records})
        data = self._request(
            "POST", f"/streams/{stream}/records", body=body, timeout_s=self._timeout_s
        )
        try:
            answer = msgspec.json.decode(data, type=_AppendAnswer)
        except msgspec.MsgspecError as error:
            raise PlatformUnavailableError("log", str(error)) from error
        return tuple(answer.offsets)

    def read(self, stream: str, *, from_offset: int, wait_s: float) -> StreamSlice:
        """Read records from an offset on, waiting up to wait_s for the first.

        Raise PlatformUnavailableError when no answer came.
        """
        path = (
            f"/streams/{stream}/records?from={from_offset}"
            f"&limit={READ_LIMIT_RECORDS}&wait_ms={int(wait_s * 1000)}"
        )
        data = self._request("GET", path, timeout_s=self._timeout_s + wait_s)
        try:
            answer = _decode_answer(data)
        except (msgspec.MsgspecError, LookupError, TypeError, ValueError) as error:
            raise PlatformUnavailableError("log", str(error)) from error
        except RecursionError as error:
            raise PlatformUnavailableError("log", "nested too deeply") from error
        records = tuple(_decode_record(record) for record in answer.records)
        return StreamSlice(answer.first, answer.next, records)

    def _request(
        self, method: str, path: str, *, body: bytes | None = None, timeout_s: float
    ) -> bytes:
        try:
            response = self._pool.request(
                method,
                self._url + path,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(connect=self._timeout_s, read=timeout_s),
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailableError("log", type(error).__name__) from error
        if response.status != 200:
            raise PlatformUnavailableError("log", f"status {response.status}")
        return response.data


def _decode_answer(data: bytes) -> _ReadAnswer:
    """Decode an answer; a lenient parser singles out the records at fault."""
    try:
        return msgspec.json.decode(data, type=_ReadAnswer)
    except msgspec.MsgspecError:
        answer = json.loads(data)
    for record in answer["records"]:
        record["data"] = msgspec.Raw(json.dumps(record["data"]).encode())
    return msgspec.convert(answer, _ReadAnswer)


def _decode_record(record: _ReadRecord) -> LogRecord:
    """Decode one record; an unusable one must not hide those after it."""
    try:
        data = msgspec.json.decode(record.data)
    except (msgspec.MsgspecError, RecursionError):
        data = None
    return LogRecord(offset=record.offset, data=normalize_record(data))
