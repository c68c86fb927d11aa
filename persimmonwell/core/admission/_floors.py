"""Priority between ranks: most urgent first, with a minimum share for the others."""

from collections.abc import Mapping, Sequence

from persimmonwell.core._types import Rank


class RankFloors:
    """Token credit of each rank: how far it is behind its minimum share."""

    def __init__(self) -> None:
        self._floors: dict[Rank, float] = {}
        self._credit = dict.fromkeys(Rank, 0.0)
        self._largest_cost = 0

    def configure(self, floors: Mapping[Rank, float]) -> None:
        """Set the minimum share of dispatched tokens of each rank."""
        self._floors = dict(floors)

    def service_order(self, backlogged: Sequence[Rank]) -> Sequence[Rank]:
        """Return the backlogged ranks, given most urgent first, in service order."""
        behind = [rank for rank in backlogged[1:] if self._credit[rank] > 0]
        if not behind:
            return backlogged
        behind.sort(key=lambda rank: -self._credit[rank])
        return (*behind, *(rank for rank in backlogged if rank not in behind))

    def charge(self, rank: Rank, tokens: int, backlogged: Sequence[Rank]) -> None:
        """Account for dispatched tokens, or for a correction of them.

        A rank that waits behind a more urgent one earns its floor of each
        dispatch as credit. A rank that does not wait earns no credit: only a
        negative balance rises, up to 0.
        """
        self._largest_cost = max(self._largest_cost, tokens)
        for other, floor in self._floors.items():
            is_waiting = other in backlogged[1:]
            credit = self._credit[other] + floor * tokens
            if other is rank and is_waiting:
                credit -= tokens
            # Credit beyond two requests only accumulates while the rank's requests
            # cannot be placed, and would cause a burst once they can.
            ceiling = 2.0 * self._largest_cost if is_waiting else 0.0
            self._credit[other] = min(credit, ceiling)
