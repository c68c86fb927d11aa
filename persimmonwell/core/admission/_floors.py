"""Strict priority between classes, with a minimum share for the less urgent ones."""

from collections.abc import Callable, Mapping, Sequence
from typing import Generic

from persimmonwell.core.admission._entries import ClassT


class ClassFloors(Generic[ClassT]):
    """Token credit of each class: how far it is behind its minimum share.

    A class goes first once its credit is above 0, or with is_prepaid once the credit
    covers its next request. Prepaid, a class that just began to wait does not go
    before a more urgent one.
    """

    def __init__(
        self, *, default: float = 0.0, total: float = 1.0, is_prepaid: bool = False
    ) -> None:
        self._default = default
        self._total = total
        """Bound on the sum of the default floors of all classes that wait."""
        self._is_prepaid = is_prepaid
        self._floors: dict[ClassT, float] = {}
        self._credit: dict[ClassT, float] = {}
        self._largest_cost = 0

    def configure(self, floors: Mapping[ClassT, float]) -> None:
        """Set the minimum share of dispatched tokens of each class."""
        self._floors = dict(floors)

    def floor_of(self, key: ClassT, waiting_count: int) -> float:
        """Return the floor of a class while waiting_count classes earn theirs."""
        configured = self._floors.get(key)
        if configured is not None:
            return configured
        return min(self._default, self._total / max(1, waiting_count))

    def service_order(
        self,
        backlogged: Sequence[ClassT],
        next_cost: Callable[[ClassT], int] | None = None,
    ) -> Sequence[ClassT]:
        """Return the backlogged classes, given most urgent first, in service order."""
        if len(backlogged) < 2 or not self._credit:
            return backlogged
        behind = [
            key
            for key in backlogged[1:]
            if self._credit.get(key, 0.0) > self._needed(key, next_cost)
        ]
        if not behind:
            return backlogged
        behind.sort(key=lambda key: -self._credit[key])
        return (*behind, *(key for key in backlogged if key not in behind))

    def _needed(self, key: ClassT, next_cost: Callable[[ClassT], int] | None) -> float:
        if not self._is_prepaid or next_cost is None:
            return 0.0
        # The credit is bounded by two dispatched requests, so a request above that
        # would otherwise never be covered.
        return min(next_cost(key), self._largest_cost)

    def charge(self, key: ClassT, tokens: int, backlogged: Sequence[ClassT]) -> None:
        """Account for dispatched tokens, or for a correction of them.

        A class that waits behind a more urgent one earns its floor of each dispatch
        as credit. A class that does not wait earns no credit: only a negative balance
        rises, up to 0.
        """
        self._largest_cost = max(self._largest_cost, tokens)
        waiting = backlogged[1:]
        if not (waiting or self._floors or self._credit):
            return
        for other in dict.fromkeys((*self._floors, *self._credit, *waiting)):
            is_waiting = other in waiting
            credit = self._credit.get(other, 0.0)
            credit += self.floor_of(other, len(waiting)) * tokens
            if other == key and is_waiting:
                credit -= tokens
            # Credit beyond two requests only accumulates while the class's requests
            # cannot be placed, and would cause a burst once they can.
            ceiling = 2.0 * self._largest_cost if is_waiting else 0.0
            credit = min(credit, ceiling)
            if credit:
                self._credit[other] = credit
            else:
                self._credit.pop(other, None)
