"""Stand-in for the platform's metadata store, a partitioned log of topics."""

import base64
import json
import struct
import threading
import time
from collections import Counter, defaultdict
from typing import Any

import attrs

from standins.http import Answer, Body, StandinServer, drop_connection

LENGTH_PREFIX = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")
READ_LIMIT_RECORDS = 500
PAGE_LIMIT_RECORDS = 500
MAX_HOLD_S = 10.0
KEYED_PREFIX = "keyed."
"""Topics with this prefix hold key-value records; all others hold JSON records."""


@attrs.frozen
class LogCopy:
    """Copy of the store from which it can be restored."""

    topics: dict[str, list[Any]]
    members: dict[str, list[str]]
    generation: int


class Log:
    """HTTP server of the metadata store with injectable faults.

    Each topic has one partition. Faults: down (answers 503), down_after (number of
    appends after which down is set), delay_s (before reads and appends), lose_answers
    (number of appends that take effect but whose answer is dropped), hold (topic whose
    answers wait for release_answers, after an append has taken effect),
    restore_between_pages (the store is restored before the next page of a list).
    """

    def __init__(self, *, port: int = 0, address: str = "127.0.0.1") -> None:
        self.server = StandinServer(port=port, address=address)
        self.faults: Body = {}
        self.appends = 0
        self.refused_calls = 0
        """Number of calls that the fault down refused."""
        self.reads: Counter[str] = Counter()
        """Number of read calls by topic."""
        self._topics: dict[str, list[Any]] = defaultdict(list)
        self._first_offsets: dict[str, int] = defaultdict(int)
        self._changed = threading.Condition()
        self._generation = 0
        self._members: dict[str, list[str]] = defaultdict(list)
        self._era = 1
        self._state_era()
        self.server.route("POST", "/persimmonwell/log-append", self._handle_append)
        self.server.route("GET", "/persimmonwell/log-read", self._handle_read)
        self.server.route("GET", "/persimmonwell/log-newest", self._handle_newest)
        self.server.route("POST", "/persimmonwell/log-join", self._handle_join)
        self.server.route("POST", "/persimmonwell/log-leave", self._handle_leave)
        self.server.route("POST", "/faults", self._set_faults)

    def start(self) -> None:
        """Start serving in a background thread."""
        self.server.start()

    def close(self) -> None:
        """Stop serving and release the address."""
        self.server.close()

    def records(self, topic: str) -> list[Any]:
        """Return all records appended to a topic, truncated ones included."""
        return list(self._topics[topic])

    def members(self, group: str) -> list[str]:
        """Return the members of a consumer group in the order in which they joined."""
        return list(self._members[group])

    def remove_member(self, group: str, member: str) -> None:
        """End a member's lease, as after a time without a call."""
        with self._changed:
            self._members[group].remove(member)
            self._generation += 1

    def put(self, topic: str, *records: Any) -> None:
        """Append records to a topic, bypassing HTTP and faults."""
        with self._changed:
            self._topics[topic].extend(records)
            self._changed.notify_all()

    def put_key(self, topic: str, key: str, document: Any) -> None:
        """Set a key of a keyed topic; None appends a tombstone."""
        value = b"" if document is None else json.dumps(document).encode()
        self.put(topic, (key, value))

    def _refuse(self) -> Answer:
        self.refused_calls += 1
        return 503, {"error": "unavailable"}

    def release_answers(self) -> None:
        """Send the answers that the fault hold delays."""
        with self._changed:
            self.faults.pop("hold", None)
            self._changed.notify_all()

    def _wait_while_held(self, topic: str) -> None:
        self._changed.wait_for(
            lambda: self.faults.get("hold") != topic, timeout=MAX_HOLD_S
        )

    def truncate(self, topic: str, first: int) -> None:
        """Make offsets below first unreadable, as retention does."""
        with self._changed:
            self._first_offsets[topic] = first

    def copy(self) -> LogCopy:
        """Return a copy of all topics and groups."""
        with self._changed:
            return LogCopy(
                {name: list(records) for name, records in self._topics.items()},
                {group: list(members) for group, members in self._members.items()},
                self._generation,
            )

    def restore(self, copy: LogCopy) -> None:
        """Come back from a copy: what came later is gone, and its offsets are free."""
        with self._changed:
            self._topics = defaultdict(list)
            self._topics.update(
                {name: list(records) for name, records in copy.topics.items()}
            )
            self._members = defaultdict(list)
            self._members.update(
                {group: list(members) for group, members in copy.members.items()}
            )
            self._generation = copy.generation
            self._era += 1
            self._state_era()
            self._changed.notify_all()

    def _state_era(self) -> None:
        self.server.answer_headers["Store-Era"] = str(self._era)

    def _set_faults(self, body: Body, query: dict[str, str]) -> Answer:
        self.faults.update(body)
        return 200, self.faults

    def _handle_append(self, body: Body, query: dict[str, str]) -> Answer:
        if self.faults.get("down"):
            return self._refuse()
        time.sleep(self.faults.get("delay_s", 0.0))
        name = query["topic"]
        records = _parse_records(body["raw"].encode("latin-1"), name)
        with self._changed:
            start = len(self._topics[name])
            if "at" in query and int(query["at"]) != start:
                return 412, {"end": start}
            self.appends += 1
            self._topics[name].extend(records)
            answers_to_lose = self.faults.get("lose_answers", 0)
            self.faults["lose_answers"] = max(0, answers_to_lose - 1)
            if self.faults.get("down_after"):
                self.faults["down_after"] -= 1
                self.faults["down"] = not self.faults["down_after"]
            self._changed.notify_all()
            self._wait_while_held(name)
        if answers_to_lose:
            return drop_connection()
        return 200, {"offset": start, "end": start + len(records)}

    def _handle_read(self, body: Body, query: dict[str, str]) -> Answer:
        if self.faults.get("down"):
            return self._refuse()
        time.sleep(self.faults.get("delay_s", 0.0))
        name, start = query["topic"], int(query["from"])
        self.reads[name] += 1
        wait_s = int(query.get("wait_ms", "0")) / 1000
        with self._changed:
            # A reader that asks for more than there is gets its 410 at once.
            self._changed.wait_for(
                lambda: len(self._topics[name]) != start, timeout=wait_s
            )
            self._wait_while_held(name)
            if self.faults.get("down"):
                return self._refuse()
            stream, first = self._topics[name], self._first_offsets[name]
            if start < first or start > len(stream):
                return 410, {"first": first}
            records = stream[start : start + READ_LIMIT_RECORDS]
            contents = [_encode_record(record) for record in records]
            framed = b"".join(
                LENGTH_PREFIX.pack(len(content)) + content for content in contents
            )
            return 200, READ_HEADER.pack(len(stream), first) + framed

    def _handle_newest(self, body: Body, query: dict[str, str]) -> Answer:
        if self.faults.get("down"):
            return self._refuse()
        if "after" in query and self.faults.pop("restore_between_pages", False):
            self.restore(self.copy())
        with self._changed:
            self.reads[query["topic"]] += 1
            stream = self._topics[query["topic"]]
            newest = {
                record[0]: n
                for n, record in enumerate(stream)
                if record[0] > query.get("after", "")
            }
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(stream[n][1]).decode(),
                    "offset": n,
                }
                for key, n in sorted(newest.items())
                if stream[n][1]
            ]
            page = items[:PAGE_LIMIT_RECORDS]
            has_more = len(items) > len(page)
            answer = {"items": page, "has_more": has_more, "end": len(stream)}
            return 200, answer

    def _handle_join(self, body: Body, query: dict[str, str]) -> Answer:
        if self.faults.get("down"):
            return self._refuse()
        with self._changed:
            members = self._members[body["group"]]
            if body["member"] not in members:
                members.append(body["member"])
                self._generation += 1
            is_owner = members[0] == body["member"]
            parts = [[topic, 0, 0] for topic in body["topics"] if is_owner]
            answer = {"generation": self._generation, "parts": parts}
            return 200, {**answer, "ttl_ms": body["ttl_ms"]}

    def _handle_leave(self, body: Body, query: dict[str, str]) -> Answer:
        if self.faults.get("down"):
            return self._refuse()
        with self._changed:
            members = self._members[body["group"]]
            if body["member"] in members:
                members.remove(body["member"])
                self._generation += 1
            return 200, {"generation": self._generation}


def _parse_records(data: bytes, topic: str) -> list[Any]:
    records: list[Any] = []
    position = 0
    while position < len(data):
        (length,) = LENGTH_PREFIX.unpack_from(data, position)
        position += LENGTH_PREFIX.size
        content = data[position : position + length]
        position += length
        if topic.startswith(KEYED_PREFIX):
            end = 1 + content[0]
            records.append((content[1:end].decode(), content[end:]))
        else:
            records.append(json.loads(content))
    return records


def _encode_record(record: Any) -> bytes:
    if isinstance(record, tuple):
        name = record[0].encode()
        return bytes((len(name),)) + name + bytes(record[1])
    return json.dumps(record).encode()
