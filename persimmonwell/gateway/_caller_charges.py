"""Memory that the connection of one caller takes of the budget."""

from collections.abc import Callable, Iterable

from persimmonwell.core.resources import (
    RECEIVE_BUFFER_BYTES,
    Charge,
    MemoryBudget,
    ProgressCharge,
)
from persimmonwell.gateway._request_body import Resource

BASE_CHARGE_BYTES = 6144
"""Charged for each connection: its objects, the head of a small request and its body.
Idle connections take 5 to 6 KB on CPython 3.11."""
COVERED_HELD_BYTES = 4096
"""Unparsed bytes and waiting requests that the base charge covers."""


class CallerCharges:
    """Charges of one connection, apart from those of the heads and bodies it receives.

    All of them are credited back by close.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._base = budget.open_charge("connections")
        self._held: Charge | None = None
        """Unparsed bytes and waiting requests above what the base charge covers."""
        self._kernel: Charge | None = None
        """Bytes that the kernel may receive while reading is paused."""
        self._answer: Charge | None = None
        """Bytes of the answer that the exchange holds back."""
        self._unread: ProgressCharge | None = None
        """Bytes of answers that the caller does not take."""
        self._resources: tuple[Resource, ...] = ()
        """What the request that is being answered holds."""

    @property
    def has_held(self) -> bool:
        """Return whether unparsed bytes or waiting requests are charged."""
        return self._held is not None

    def open(self) -> None:
        """Charge the connection itself."""
        self._base.force(BASE_CHARGE_BYTES)

    # Requests that are received

    def hold(self, count: int, *, is_forced: bool) -> bool:
        """Charge held bytes; return False without room, unless it is forced."""
        if count <= COVERED_HELD_BYTES:
            self.release_held()
            return True
        if self._held is None:
            self._held = self._budget.open_charge("pipelines")
        if is_forced:
            self._held.force(count)
            return True
        return self._held.resize(count)

    def release_held(self) -> None:
        """Credit the held bytes back."""
        if self._held is not None:
            self._held.close()
            self._held = None

    def set_reading_paused(self, paused: bool) -> bool:
        """Charge what the kernel may receive meanwhile; return False without room."""
        if paused and self._kernel is None:
            self._kernel = self._budget.open_charge("unread")
            if self._kernel.grow(RECEIVE_BUFFER_BYTES):
                return True
            self._kernel.close()
            self._kernel = None
            return False
        if not paused and self._kernel is not None:
            self._kernel.close()
            self._kernel = None
        return True

    # The request that is answered

    def begin_request(self, resources: tuple[Resource, ...]) -> None:
        """Take over what a request holds, up to the end of its answer."""
        self._resources = resources

    def hold_answer(self, count: int, *, is_forced: bool) -> bool:
        """Charge the bytes of the answer that are held back in total."""
        if self._answer is None:
            self._answer = self._budget.open_charge("held_answers")
        if is_forced:
            self._answer.force(count)
            return True
        return self._answer.resize(count)

    def end_request(self) -> None:
        """Credit back what the request and its answer took."""
        if self._resources:
            close_all(self._resources)
            self._resources = ()
        if self._answer is not None:
            self._answer.close()
            self._answer = None

    # Answers that are not taken

    def open_unread(
        self, count: int, now_s: float, *, on_ended: Callable[[bool], None]
    ) -> None:
        """Charge written bytes that the caller does not take; others may end them."""
        if self._unread is None:
            self._unread = self._budget.open_transfer(
                "answers", now_s, on_ended=on_ended
            )
            self._unread.force(count)

    def add_taken(self, count: int, now_s: float) -> None:
        """Record bytes that the caller has taken."""
        if self._unread is not None:
            self._unread.progress.add(count, now_s)

    def resize_unread(self, count: int) -> None:
        """Charge what is still unsent."""
        if self._unread is not None:
            self._unread.force(count)

    def close_unread(self) -> None:
        """Credit back the bytes of answers."""
        if self._unread is not None:
            self._unread.close()
            self._unread = None

    def close(self) -> None:
        """Credit everything back."""
        self.end_request()
        self.close_unread()
        self.release_held()
        self.set_reading_paused(False)
        self._base.close()


def close_all(resources: Iterable[Resource]) -> None:
    """Give back what a request holds."""
    for resource in resources:
        resource.close()
