"""Stand in for the platform's lagging list of hosts."""

import time
from collections.abc import Callable
from typing import Any

from standins.http import Answer, Body, StandinServer


class HostDirectory:
    """Hold the host list and its faults: down, empty, lag_s.

    A change becomes visible lag_s seconds after it was made.
    """

    def __init__(
        self,
        *,
        port: int = 0,
        clock: Callable[[], float] = time.monotonic,
        address: str = "127.0.0.1",
    ) -> None:
        self.server = StandinServer(port=port, address=address)
        self.faults: Body = {}
        self.reads = 0
        self._clock = clock
        self._entries: dict[str, Any] = {}
        self._history: list[tuple[float, list[Any]]] = [(clock(), [])]
        self.server.route("GET", "/hosts", self._list)
        self.server.route("POST", "/hosts", self._put_over_http)
        self.server.route("POST", "/faults", self._set_faults)

    def start(self) -> None:
        """Serve until closed."""
        self.server.start()

    def close(self) -> None:
        """Stop serving."""
        self.server.close()

    def put(self, entry: Body) -> None:
        """Add or replace one host."""
        self._entries[entry["id"]] = entry
        self._record()

    def remove(self, host_id: str) -> None:
        """Remove one host."""
        self._entries.pop(host_id, None)
        self._record()

    def _record(self) -> None:
        self._history.append((self._clock(), list(self._entries.values())))

    def _put_over_http(self, body: Body, query: dict[str, str]) -> Answer:
        self.put(body)
        return 200, {}

    def _set_faults(self, body: Body, query: dict[str, str]) -> Answer:
        self.faults.update(body)
        return 200, self.faults

    def _list(self, body: Body, query: dict[str, str]) -> Answer:
        self.reads += 1
        if self.faults.get("down"):
            return 503, {"error": "unavailable"}
        visible_s = self._clock() - self.faults.get("lag_s", 0.0)
        entries = [e for at, e in self._history if at <= visible_s] or [[]]
        hosts = [] if self.faults.get("empty") else entries[-1]
        return 200, {"as_of": time.time(), "hosts": hosts}
