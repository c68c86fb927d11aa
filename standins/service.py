"""Stand in for a plain service whose bookings must not be repeated."""

import threading
import time

from standins.http import Answer, Body, StandinServer, drop_connection


class Service:
    """Hold the bookings of one plain service and its faults.

    Faults: lose_answers (how many answers are lost after the effect), delay_s
    (before the effect), answer_delay_s (after it).
    """

    def __init__(self, *, port: int = 0, address: str = "127.0.0.1") -> None:
        self.server = StandinServer(port=port, address=address)
        self.bookings: list[Body] = []
        self.faults: Body = {}
        self._lock = threading.Lock()
        self.server.route("POST", "/faults", self._set_faults)
        self.server.route("POST", "/", self._book)
        self.server.route("GET", "/", self._list)

    def start(self) -> None:
        """Serve until closed."""
        self.server.start()

    def close(self) -> None:
        """Stop serving."""
        self.server.close()

    def _set_faults(self, body: Body, query: dict[str, str]) -> Answer:
        self.faults.update(body)
        return 200, self.faults

    def _list(self, body: Body, query: dict[str, str]) -> Answer:
        return 200, {"bookings": self.bookings}

    def _book(self, body: Body, query: dict[str, str]) -> Answer:
        time.sleep(self.faults.get("delay_s", 0.0))
        key = query.get("HTTP_IDEMPOTENCY_KEY", "")
        with self._lock:
            self.bookings.append({**body, "key": key})
            number = len(self.bookings)
            lose = self.faults.get("lose_answers", 0)
            if lose:
                self.faults["lose_answers"] = lose - 1
        time.sleep(self.faults.get("answer_delay_s", 0.0))
        if lose:
            return drop_connection()
        return 200, {"booking": number, "replica": self.server.address}
