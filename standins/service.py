"""Stand-in for a plain service whose calls are not idempotent."""

import threading
import time

from standins.http import Answer, Body, StandinServer, drop_connection


class Service:
    """HTTP server that records each booking it receives, with injectable faults.

    Faults: lose_answers (number of bookings that take effect but whose answer is
    dropped), delay_s (before the effect), answer_delay_s (after it).
    """

    def __init__(self, *, port: int = 0, address: str = "127.0.0.1") -> None:
        self.server = StandinServer(port=port, address=address)
        self.bookings: list[Body] = []
        self.faults: Body = {}
        self._lock = threading.Lock()
        self.server.route("POST", "/faults", self._set_faults)
        self.server.route("POST", "/", self._handle_book)
        self.server.route("GET", "/", self._handle_list)

    def start(self) -> None:
        """Start serving in a background thread."""
        self.server.start()

    def close(self) -> None:
        """Stop serving and release the address."""
        self.server.close()

    def _set_faults(self, body: Body, query: dict[str, str]) -> Answer:
        self.faults.update(body)
        return 200, self.faults

    def _handle_list(self, body: Body, query: dict[str, str]) -> Answer:
        return 200, {"bookings": self.bookings}

    def _handle_book(self, body: Body, query: dict[str, str]) -> Answer:
        time.sleep(self.faults.get("delay_s", 0.0))
        key = query.get("HTTP_IDEMPOTENCY_KEY", "")
        with self._lock:
            self.bookings.append({**body, "key": key})
            number = len(self.bookings)
            answers_to_lose = self.faults.get("lose_answers", 0)
            if answers_to_lose:
                self.faults["lose_answers"] = answers_to_lose - 1
        time.sleep(self.faults.get("answer_delay_s", 0.0))
        if answers_to_lose:
            return drop_connection()
        return 200, {"booking": number, "replica": self.server.address}
