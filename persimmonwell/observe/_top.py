"""Counter of the most frequent names in bounded memory."""

import heapq


class TopKCounter:
    """Approximate counts of the most frequent names (space-saving algorithm).

    A name that replaces another one inherits its count. A count is thus too high by
    at most the lowest count kept, and no frequent name is missed.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._counts: dict[str, int] = {}

    def add(self, name: str) -> None:
        """Count a name once."""
        counts = self._counts
        if name in counts:
            counts[name] += 1
        elif len(counts) < self._capacity:
            counts[name] = 1
        else:
            lowest = min(counts, key=counts.__getitem__)
            counts[name] = counts.pop(lowest) + 1

    def top(self, k: int) -> tuple[tuple[str, int], ...]:
        """Return the k most frequent names with their counts, highest count first."""
        items = heapq.nsmallest(
            k, self._counts.items(), key=lambda item: (-item[1], item[0])
        )
        return tuple(items)
