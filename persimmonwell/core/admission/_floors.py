"""Choose between ranks: urgent first, and a floor for each other rank."""

from collections.abc import Mapping, Sequence

from persimmonwell.core._types import Rank


class RankFloors:
    """Hold the tokens that each rank is behind its floor."""

    def __init__(self) -> None:
        self._floors: dict[Rank, float] = {}
        self._credit = dict.fromkeys(Rank, 0.0)
        self._largest_cost = 0

    def configure(self, floors: Mapping[Rank, float]) -> None:
        """Set the share of dispatched tokens that each rank keeps."""
        self._floors = dict(floors)

    def order(self, backlogged: Sequence[Rank]) -> Sequence[Rank]:
        """Return the backlogged ranks, given most urgent first, as to be served."""
        behind = [rank for rank in backlogged[1:] if self._credit[rank] > 0]
        if not behind:
            return backlogged
        behind.sort(key=lambda rank: -self._credit[rank])
        return (*behind, *(rank for rank in backlogged if rank not in behind))

    def charge(self, rank: Rank, tokens: int, backlogged: Sequence[Rank]) -> None:
        """Account for dispatched tokens, or for a correction of them.

        A rank that waits behind a more urgent one earns its floor of each
        dispatch. A rank that does not wait lends its floor: it earns no credit
        and only works off what it is ahead.
        """
        self._largest_cost = max(self._largest_cost, tokens)
        for other, floor in self._floors.items():
            waits = other in backlogged[1:]
            credit = self._credit[other] + floor * tokens
            if other is rank and waits:
                credit -= tokens
            # More than two requests of credit only builds up while the rank's
            # requests cannot be placed; it would turn into a burst later.
            ceiling = 2.0 * self._largest_cost if waits else 0.0
            self._credit[other] = min(credit, ceiling)
