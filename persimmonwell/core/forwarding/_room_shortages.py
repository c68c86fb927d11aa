"""Requests that lately found no room, because of which less urgent ones leave some.

Memory becomes free in parts that are often less than an urgent request needs. Less
urgent requests that are small, or that other hosts send, would take each part at once.
"""

from collections import defaultdict
from collections.abc import Container

SHORTAGE_S = 1.0
"""Time for which a request without room counts. Memory becomes free over about as long
as an answer takes, 1 to 3 s; with 0.5 s, some 2% fewer requests are in time under
overload, and with 2 s no more."""


class RoomShortages:
    """Time at which a request of each service and priority last found no room."""

    def __init__(self) -> None:
        self._found_s: dict[str, dict[int, float]] = defaultdict(dict)
        """By service and priority, as many as the configuration names."""

    def retain(self, services: Container[str]) -> None:
        """Discard the services that the configuration in force does not name."""
        for service in list(self._found_s):
            if service not in services:
                del self._found_s[service]

    def record(self, service: str, priority: int, now_s: float) -> None:
        """Record that a request found no room in any zone."""
        self._found_s[service][priority] = now_s

    def precedes(self, service: str, priority: int, now_s: float) -> bool:
        """Return whether a more urgent request found no room a moment ago.

        Priority 0 is the most urgent one.
        """
        found_s = self._found_s.get(service)
        return found_s is not None and any(
            other < priority and now_s - at_s < SHORTAGE_S
            for other, at_s in found_s.items()
        )
