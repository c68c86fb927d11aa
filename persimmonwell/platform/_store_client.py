"""Call the platform's metadata store, a log of topics with partitions."""

import base64
import json
import struct
from typing import Any

import attrs
import urllib3

from persimmonwell._exceptions import PlatformUnavailableError

_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
CONNECT_TIMEOUT_S = 1.0


@attrs.frozen
class StoreRecord:
    """Hold one record; value None in a keyed topic drops the key."""

    offset: int
    key: str | None
    value: bytes | None


@attrs.frozen
class StoreSlice:
    """Hold the records of one read and where the partition ends."""

    records: tuple[StoreRecord, ...]
    first_offset: int
    end_offset: int


@attrs.frozen
class RecordsExpiredError(PlatformUnavailableError):
    """Report that the records asked for are no longer kept."""

    first_offset: int = 0


@attrs.frozen
class AppendConflictError(PlatformUnavailableError):
    """Report a partition that does not end where the append expected."""

    end_offset: int = 0


@attrs.frozen
class Membership:
    """Hold what the store says to a member of a group."""

    generation: int
    partitions: frozenset[tuple[str, int]]


class StoreClient:
    """Hold the connections to the store."""

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = f"{url}/persimmonwell"
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def newest(self, topic: str) -> StoreSlice:
        """Return the newest record of each key in partition 0 of a keyed topic.

        Raise PlatformUnavailableError when no whole answer came.
        """
        records: list[StoreRecord] = []
        after = ""
        end: int | None = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after:
                query["after"] = after
            answer = self._json("GET", "log-newest", query)
            try:
                # Changes between two pages lie behind the end of the first one.
                end = int(answer["end"]) if end is None else end
                for item in answer["items"]:
                    value = base64.b64decode(item["value"])
                    records.append(StoreRecord(item["offset"], item["key"], value))
                if not answer.get("has_more") or not answer["items"]:
                    return StoreSlice(tuple(records), 0, end)
                after = str(answer["items"][-1]["key"])
            except (LookupError, TypeError, ValueError) as error:
                raise PlatformUnavailableError("log", str(error)) from error

    def read(
        self, topic: str, *, part: int = 0, from_offset: int, wait_s: float = 0.0
    ) -> StoreSlice:
        """Read records from an offset on, waiting up to wait_s for the first.

        Raise RecordsExpiredError or PlatformUnavailableError.
        """
        query = {"topic": topic, "part": str(part), "from": str(from_offset)}
        if wait_s > 0:
            query["wait_ms"] = str(int(wait_s * 1000))
        status, data = self._call("GET", "log-read", query, wait_s=wait_s)
        if status == 410:
            first = _first_offset(data)
            raise RecordsExpiredError("log", "records expired", first_offset=first)
        if status != 200:
            raise PlatformUnavailableError("log", f"status {status}")
        return _parse_slice(data, from_offset, keyed=topic.startswith("keyed."))

    def append(
        self, topic: str, records: tuple[bytes, ...], *, at: int | None = None
    ) -> int:
        """Append records to partition 0 and return the first offset.

        Raise AppendConflictError when the partition does not end at `at`, and
        PlatformUnavailableError when no answer came; the append may have been
        done, or may be done later.
        """
        query = {"topic": topic, "part": "0"}
        if at is not None:
            query["at"] = str(at)
        body = b"".join(_LENGTH.pack(len(each)) + each for each in records)
        answer = self._json("POST", "log-append", query, body=body)
        return int(answer["offset"])

    def join(
        self, group: str, *, member: str, topic: str, ttl_ms: int, generation: int
    ) -> Membership:
        """Join a group or stay in it; raise PlatformUnavailableError."""
        body = {
            "group": group,
            "member": member,
            "topics": [topic],
            "ttl_ms": ttl_ms,
            "generation": generation,
        }
        answer = self._json("POST", "log-join", {}, body=json.dumps(body).encode())
        try:
            parts = frozenset((str(row[0]), int(row[1])) for row in answer["parts"])
            return Membership(int(answer["generation"]), parts)
        except (LookupError, TypeError, ValueError) as error:
            raise PlatformUnavailableError("log", str(error)) from error

    def leave(self, group: str, *, member: str, generation: int) -> None:
        """Leave a group, so that others get its partitions at once.

        Raise PlatformUnavailableError.
        """
        body = {"group": group, "member": member, "generation": generation}
        self._json("POST", "log-leave", {}, body=json.dumps(body).encode())

    def _json(
        self, method: str, call: str, query: dict[str, str], *, body: bytes = b""
    ) -> dict[str, Any]:
        status, data = self._call(method, call, query, body=body)
        try:
            answer = json.loads(data) if data else {}
        except ValueError as error:
            raise PlatformUnavailableError("log", str(error)) from error
        if status == 412 and isinstance(answer, dict):
            end = int(answer.get("end", 0))
            raise AppendConflictError("log", "conflict", end_offset=end)
        if status != 200 or not isinstance(answer, dict):
            raise PlatformUnavailableError("log", f"status {status}")
        return answer

    def _call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        *,
        body: bytes = b"",
        wait_s: float = 0.0,
    ) -> tuple[int, bytes]:
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=self._timeout_s + wait_s
        )
        path = "&".join(f"{name}={value}" for name, value in query.items())
        try:
            response = self._pool.request(
                method,
                f"{self._url}/{call}?{path}" if path else f"{self._url}/{call}",
                body=body if method == "POST" else None,
                headers={"Content-Type": "application/json"} if body else None,
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as error:
            raise PlatformUnavailableError("log", type(error).__name__) from error
        return response.status, response.data


def _first_offset(data: bytes) -> int:
    try:
        return int(json.loads(data)["first"])
    except (ValueError, LookupError, TypeError) as error:
        raise PlatformUnavailableError("log", str(error)) from error


def _parse_slice(data: bytes, from_offset: int, *, keyed: bool) -> StoreSlice:
    try:
        end, first = _READ_HEADER.unpack_from(data)
        position = _READ_HEADER.size
        records: list[StoreRecord] = []
        while position < len(data):
            (length,) = _LENGTH.unpack_from(data, position)
            start = position + _LENGTH.size
            position = start + length
            if position > len(data):
                raise PlatformUnavailableError("log", "a record is cut short")
            offset = from_offset + len(records)
            records.append(_parse_record(data[start:position], offset, keyed))
        return StoreSlice(tuple(records), first, end)
    except struct.error as error:
        raise PlatformUnavailableError("log", str(error)) from error


def _parse_record(content: bytes, offset: int, keyed: bool) -> StoreRecord:
    if not keyed or not content:
        return StoreRecord(offset, None, content)
    length = content[0]
    key = content[1 : 1 + length].decode(errors="replace")
    value = content[1 + length :]
    return StoreRecord(offset, key, value or None)
