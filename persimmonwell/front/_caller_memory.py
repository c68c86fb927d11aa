"""Memory of request bodies over all connections of a process, for request threads."""

import threading
import time
from collections.abc import Callable
from contextlib import AbstractContextManager

import attrs

from persimmonwell._exceptions import OverloadedError
from persimmonwell.core.resources import (
    BodyCharge,
    CallerPolicy,
    MemoryBudget,
    memory_budget_bytes,
)

DEFAULT_MEMORY_MB = 256
"""Memory of a host whose settings name none."""
BODY_COPIES = 2
"""Copies of a body that a request holds: the bytes, and what is parsed from them."""


class CallerMemory:
    """Memory budget of one process, shared by its ports and their threads."""

    def __init__(self, memory_mb: float, policy: CallerPolicy | None = None) -> None:
        self.policy = policy or CallerPolicy()
        self._budget = MemoryBudget(memory_budget_bytes(memory_mb), policy=self.policy)
        self._lock = threading.RLock()

    @property
    def used_bytes(self) -> int:
        """Return the bytes that are charged now."""
        with self._lock:
            return self._budget.used_bytes

    def reserve(
        self, address: str, length: int, on_ended: Callable[[], None]
    ) -> "BodyReservation":
        """Return the memory of a body, after waiting for it if there is none.

        `on_ended` is called, in any thread, if the transfer is ended for others. Raise
        OverloadedError if the wait is too long or too many bodies wait.
        """
        reservation = BodyReservation(self._lock)

        def end(is_stalled: bool) -> None:
            charge.close()
            reservation.settled.set()
            on_ended()

        def refuse() -> None:
            charge.close()
            reservation.settled.set()

        now_s = time.monotonic()
        with self._lock:
            charge = self._budget.open_body(
                address,
                now_s,
                on_granted=reservation.settled.set,
                on_refused=refuse,
                on_ended=end,
            )
            reservation.charge = charge
            if charge.request(BODY_COPIES * length, now_s, overhead=length):
                return reservation
        reservation.settled.wait()
        with self._lock:
            if charge.size:
                return reservation
        raise OverloadedError(
            rank="caller's",
            reason="no memory is free for its body",
            retry_after_s=self.policy.retry_after_s,
        )

    def tick(self) -> None:
        """Serve bodies that wait, refuse those that waited too long, end transfers."""
        with self._lock:
            self._budget.tick(time.monotonic())


@attrs.define(eq=False)
class BodyReservation:
    """Memory of one body, from its head to the end of its request."""

    _lock: AbstractContextManager[object]
    settled: threading.Event = attrs.field(factory=threading.Event)
    charge: BodyCharge | None = None

    def add_received(self, count: int) -> None:
        """Record bytes of the body."""
        with self._lock:
            if self.charge is not None:
                self.charge.add_received(count, time.monotonic())

    def end_receiving(self) -> None:
        """Record that the body is complete, so that it is not ended for others."""
        with self._lock:
            if self.charge is not None:
                self.charge.end_receiving()

    def close(self) -> None:
        """Credit the memory back."""
        with self._lock:
            if self.charge is not None:
                self.charge.close()
