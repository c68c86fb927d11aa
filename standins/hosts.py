"""Stand-in for the platform's host list, whose changes become visible late."""

import time
from collections.abc import Callable
from typing import Any

from standins.http import Answer, Body, StandinServer


class HostDirectory:
    """HTTP server of the host list with injectable faults.

    Faults: down (answers 503), empty (lists no hosts), lag_s (a change becomes
    visible this many seconds after it was made).
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
        self.server.route("GET", "/hosts", self._handle_list)
        self.server.route("POST", "/hosts", self._handle_put)
        self.server.route("POST", "/faults", self._set_faults)

    def start(self) -> None:
        """Start serving in a background thread."""
        self.server.start()

    def close(self) -> None:
        """Stop serving and release the address."""
        self.server.close()

    def put(self, entry: Body) -> None:
        """Add or replace one entry of the list."""
        self._entries[entry["id"]] = entry
        self._record()

    def remove(self, host_id: str) -> None:
        """Remove one entry of the list, if present."""
        self._entries.pop(host_id, None)
        self._record()

    def _record(self) -> None:
        self._history.append((self._clock(), list(self._entries.values())))

    def _handle_put(self, body: Body, query: dict[str, str]) -> Answer:
        self.put(body)
        return 200, {}

    def _set_faults(self, body: Body, query: dict[str, str]) -> Answer:
        self.faults.update(body)
        return 200, self.faults

    def _handle_list(self, body: Body, query: dict[str, str]) -> Answer:
        self.reads += 1
        if self.faults.get("down"):
            return 503, {"error": "unavailable"}
        visible_s = self._clock() - self.faults.get("lag_s", 0.0)
        entries = [e for at, e in self._history if at <= visible_s] or [[]]
        hosts = [] if self.faults.get("empty") else entries[-1]
        return 200, {"as_of": time.time(), "hosts": hosts}
