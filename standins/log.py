"""Stand in for the platform's append-only log service."""

import threading
import time
from collections import defaultdict
from typing import Any

from standins.http import Answer, Body, StandinServer, drop_connection


class Log:
    """Hold append-only streams with offsets, retention and faults.

    Faults: down, down_after (appends until down is set), delay_s, lose_answers
    (appends that take effect without an answer).
    """

    def __init__(self, *, port: int = 0, address: str = "127.0.0.1") -> None:
        self.server = StandinServer(port=port, address=address)
        self.faults: Body = {}
        self.appends = 0
        self._streams: dict[str, list[Any]] = defaultdict(list)
        self._first: dict[str, int] = defaultdict(int)
        self._changed = threading.Condition()
        self.server.route("POST", "/streams/", self._append)
        self.server.route("GET", "/streams/", self._read)
        self.server.route("POST", "/faults", self._set_faults)

    def start(self) -> None:
        """Serve until closed."""
        self.server.start()

    def close(self) -> None:
        """Stop serving."""
        self.server.close()

    def records(self, stream: str) -> list[Any]:
        """Return every record ever appended to a stream."""
        return list(self._streams[stream])

    def truncate(self, stream: str, first: int) -> None:
        """Drop the records below an offset, as retention does."""
        with self._changed:
            self._first[stream] = first

    def _set_faults(self, body: Body, query: dict[str, str]) -> Answer:
        self.faults.update(body)
        return 200, self.faults

    def _append(self, body: Body, query: dict[str, str]) -> Answer:
        if self.faults.get("down"):
            return 503, {"error": "unavailable"}
        time.sleep(self.faults.get("delay_s", 0.0))
        name = query["path"].split("/")[2]
        with self._changed:
            self.appends += 1
            start = len(self._streams[name])
            self._streams[name].extend(body["records"])
            lose = self.faults.get("lose_answers", 0)
            self.faults["lose_answers"] = max(0, lose - 1)
            if self.faults.get("down_after"):
                self.faults["down_after"] -= 1
                self.faults["down"] = not self.faults["down_after"]
            self._changed.notify_all()
        if lose:
            return drop_connection()
        return 200, {"offsets": list(range(start, start + len(body["records"])))}

    def _read(self, body: Body, query: dict[str, str]) -> Answer:
        if self.faults.get("down"):
            return 503, {"error": "unavailable"}
        time.sleep(self.faults.get("delay_s", 0.0))
        name = query["path"].split("/")[2]
        start, limit = int(query["from"]), int(query.get("limit", "100"))
        wait_s = int(query.get("wait_ms", "0")) / 1000
        with self._changed:
            self._changed.wait_for(
                lambda: len(self._streams[name]) > start, timeout=wait_s
            )
            if self.faults.get("down"):
                return 503, {"error": "unavailable"}
            stream, first = self._streams[name], self._first[name]
            start = max(start, first)
            records = [
                {"offset": offset, "data": stream[offset]}
                for offset in range(start, min(len(stream), start + limit))
            ]
            return 200, {"first": first, "next": len(stream), "records": records}
