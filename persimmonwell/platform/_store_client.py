"""Client of the platform's metadata store, a log of topics with partitions."""

import base64
import json
import struct
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlencode

import attrs
import urllib3

from persimmonwell._exceptions import PlatformUnavailableError
from persimmonwell.platform._numbers import MAX_NUMBER, parse_count

_RECORD_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
CONNECT_TIMEOUT_S = 1.0
ERA_HEADER = "Store-Era"
_MALFORMED = (
    *(LookupError, TypeError, ValueError, AttributeError),
    *(OverflowError, RecursionError),
)
"""Errors that a malformed answer raises while its fields are read."""
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Bytes that are read of one response. The store takes at most 2 MB in a call, and its
pages and reads are limited to 1 MB."""
MAX_LIST_BYTES = 4 * MAX_RESPONSE_BYTES
"""Bytes of all pages of one list; the entries of 3,300 replicas take some 2 MB."""
MAX_TRANSFER_S = 10.0
"""Time from the head of a response to its end. The time-out of the socket alone would
let a response arrive byte by byte without end."""
_READ_BYTES = 65_536
RECORD_BYTES = 200
"""Memory of a record apart from its key and value."""


@attrs.frozen
class StoreRecord:
    """Record of a topic; in a keyed topic, a value of None deletes the key."""

    offset: int
    key: str | None
    value: bytes | None


@attrs.frozen
class StoreSlice:
    """Records of one read, with the first offset kept and the end of the partition."""

    records: tuple[StoreRecord, ...]
    first_offset: int
    end_offset: int
    era: int | None = None
    """Number of times that the store came back from an older copy, which gives
    offsets out again; None if the store does not state it."""


@attrs.frozen
class RecordsExpiredError(PlatformUnavailableError):
    """Raised when the requested records are no longer kept; names the first offset."""

    first_offset: int = 0


@attrs.frozen
class AppendConflictError(PlatformUnavailableError):
    """Raised by an append if the partition does not end at the expected offset."""

    end_offset: int = 0


@attrs.frozen
class GroupMembership:
    """Generation of a group and the partitions assigned to one member."""

    generation: int
    partitions: frozenset[tuple[str, int]]
    era: int | None = None
    """Era of the store, see StoreSlice."""


@attrs.frozen
class _Answer:
    """Status and body of one call, with the era that the store states."""

    status: int
    data: bytes
    era: int | None


class StoreClient:
    """HTTP client of the store."""

    def __init__(
        self,
        *,
        url: str,
        timeout_s: float,
        on_received: Callable[[int], None] = lambda count: None,
    ) -> None:
        """Connect lazily to a store.

        on_received is called with the bytes that are held of a response.
        """
        self._on_received = on_received
        self._listed_bytes = 0
        """Bytes of the pages that were read of the newest list."""
        self._url = f"{url}/persimmonwell"
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def read_latest(self, topic: str) -> StoreSlice:
        """Return the latest record of each key in partition 0 of a keyed topic.

        Raises PlatformUnavailableError if no complete answer arrived.
        """
        records: list[StoreRecord] = []
        list_bytes = 0
        after = ""
        end: int | None = None
        first_era: int | None = None
        self._listed_bytes = 0
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            answer, era = self._call_json("GET", "log-newest", query)
            if end is None:
                first_era = era
            elif era != first_era:
                raise PlatformUnavailableError("log", "restored between two pages")
            try:
                # The end of the first page, so that changes made while paging are read.
                end = _check_offset(answer["end"]) if end is None else end
                for item in answer["items"]:
                    value = base64.b64decode(item["value"])
                    offset = _check_offset(item["offset"])
                    record = StoreRecord(offset, str(item["key"]), value)
                    records.append(record)
                    list_bytes += RECORD_BYTES + len(record.key or "") + len(value)
                self._listed_bytes = list_bytes
                if list_bytes > MAX_LIST_BYTES:
                    raise PlatformUnavailableError("log", "the list is too long")
                if not answer.get("has_more") or not answer["items"]:
                    return StoreSlice(tuple(records), 0, end, era)
                after = str(answer["items"][-1]["key"])
            except _MALFORMED as error:
                raise PlatformUnavailableError("log", str(error)) from error

    def read(
        self, topic: str, *, partition: int = 0, from_offset: int, wait_s: float = 0.0
    ) -> StoreSlice:
        """Read records from an offset on, waiting up to wait_s for the first.

        Raises RecordsExpiredError or PlatformUnavailableError.
        """
        self._listed_bytes = 0
        query = {"topic": topic, "part": str(partition), "from": str(from_offset)}
        if wait_s > 0:
            query["wait_ms"] = str(int(wait_s * 1000))
        answer = self._call("GET", "log-read", query, wait_s=wait_s)
        if answer.status == 410:
            first = _parse_first_offset(answer.data)
            raise RecordsExpiredError("log", "records expired", first_offset=first)
        if answer.status != 200:
            raise PlatformUnavailableError("log", f"status {answer.status}")
        is_keyed = topic.startswith("keyed.")
        store_slice = _parse_slice(answer.data, from_offset, keyed=is_keyed)
        return attrs.evolve(store_slice, era=answer.era)

    def append(
        self,
        topic: str,
        records: tuple[bytes, ...],
        *,
        expected_end_offset: int | None = None,
    ) -> int:
        """Append records to partition 0 and return the first offset.

        Raises AppendConflictError if the partition does not end at
        `expected_end_offset`, and PlatformUnavailableError if no valid answer
        arrived; the append may have taken effect, or may do so later.
        """
        query = {"topic": topic, "part": "0"}
        if expected_end_offset is not None:
            query["at"] = str(expected_end_offset)
        body = b"".join(_RECORD_LENGTH.pack(len(record)) + record for record in records)
        answer, _ = self._call_json("POST", "log-append", query, body=body)
        try:
            return _check_offset(answer["offset"])
        except _MALFORMED as error:
            raise PlatformUnavailableError("log", str(error)) from error

    def join_group(
        self, group: str, *, member: str, topic: str, ttl_ms: int, generation: int
    ) -> GroupMembership:
        """Join a group, or renew the membership for ttl_ms.

        Raises PlatformUnavailableError.
        """
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": ttl_ms,
            "generation": generation,
        }
        answer, era = self._call_json(
            "POST", "log-join", {}, body=json.dumps(body).encode()
        )
        try:
            parts = frozenset((str(row[0]), int(row[1])) for row in answer["parts"])
            return GroupMembership(int(answer["generation"]), parts, era)
        except _MALFORMED as error:
            raise PlatformUnavailableError("log", str(error)) from error

    def leave_group(self, group: str, *, member: str, generation: int) -> None:
        """Leave a group, so that its partitions are reassigned at once.

        Raises PlatformUnavailableError.
        """
        body = {"group": group, "member": member, "generation": generation}
        self._call_json("POST", "log-leave", {}, body=json.dumps(body).encode())

    def _call_json(
        self, method: str, call: str, query: dict[str, str], *, body: bytes = b""
    ) -> tuple[dict[str, Any], int | None]:
        """Return the decoded body and the era that the store states."""
        try:
            response = self._call(method, call, query, body=body)
            answer = json.loads(response.data) if response.data else {}
        except (ValueError, RecursionError) as error:
            raise PlatformUnavailableError("log", str(error)) from error
        finally:
            self._on_received(self._listed_bytes)
        status = response.status
        if status == 412 and isinstance(answer, dict):
            end = answer.get("end", 0)
            if type(end) is not int:
                raise PlatformUnavailableError("log", "conflict without an offset")
            raise AppendConflictError("log", "conflict", end_offset=end)
        if status != 200 or not isinstance(answer, dict):
            raise PlatformUnavailableError("log", f"status {status}")
        return answer, response.era

    def _call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        *,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> _Answer:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=self._timeout_s + wait_s
        )
        # Keys of other writers may hold any character.
        query_string = urlencode(query, quote_via=quote)
        try:
            response = self._pool.request(
                method,
                f"{self._url}/{call}?{query_string}"
                if query_string
                else f"{self._url}/{call}",
                body=body if method == "POST" else None,
                headers={"Content-Type": "application/json"} if body else None,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
            )
            data = self._read_body(response, until_s=time.monotonic() + MAX_TRANSFER_S)
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailableError("log", type(error).__name__) from error
        era = response.headers.get(ERA_HEADER, "")
        return _Answer(response.status, data, parse_count(era))

    def _read_body(
        self, response: urllib3.BaseHTTPResponse, *, until_s: float
    ) -> bytes:
        """Return the body of a response.

        Raises PlatformUnavailableError for one that is too long or does not end, and
        closes its connection.
        """
        data = bytearray()
        while part := response.read1(_READ_BYTES):
            data += part
            self._on_received(self._listed_bytes + len(data))
            if len(data) > MAX_RESPONSE_BYTES:
                response.close()
                raise PlatformUnavailableError("log", "the response is too long")
            if time.monotonic() > until_s:
                response.close()
                raise PlatformUnavailableError("log", "the response does not end")
        response.release_conn()
        return bytes(data)


def _check_offset(value: Any) -> int:
    """Return an offset; raise ValueError for one that datagrams cannot carry."""
    offset = int(value)
    if not 0 <= offset <= MAX_NUMBER:
        raise ValueError(f"offset is not from 0 to {MAX_NUMBER}")
    return offset


def _parse_first_offset(data: bytes) -> int:
    try:
        return _check_offset(json.loads(data)["first"])
    except _MALFORMED as error:
        raise PlatformUnavailableError("log", str(error)) from error


def _parse_slice(data: bytes, from_offset: int, *, keyed: bool) -> StoreSlice:
    try:
        end, first = map(_check_offset, _READ_HEADER.unpack_from(data))
        position = _READ_HEADER.size
        records: list[StoreRecord] = []
        while position < len(data):
            (length,) = _RECORD_LENGTH.unpack_from(data, position)
            start = position + _RECORD_LENGTH.size
            position = start + length
            if position > len(data):
                raise PlatformUnavailableError("log", "a record is truncated")
            offset = from_offset + len(records)
            records.append(_parse_record(data[start:position], offset, keyed))
        return StoreSlice(tuple(records), first, end)
    except (struct.error, ValueError) as error:
        raise PlatformUnavailableError("log", str(error)) from error


def _parse_record(content: bytes, offset: int, keyed: bool) -> StoreRecord:
    if not keyed or not content:
        return StoreRecord(offset, None, content)
    length = content[0]
    key = content[1 : 1 + length].decode(errors="replace")
    value = content[1 + length :]
    return StoreRecord(offset, key, value or None)
