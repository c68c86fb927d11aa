"""Share of the processor time that costly input of callers gets."""

PACED_SHARE = 0.5
"""Share of one event loop; the other half is left to all other work."""


class Pacer:
    """Turns of the connections whose input costs much time for few bytes.

    One of them alone waits as long as its last turn took; many wait for each other.
    """

    def __init__(self) -> None:
        self._free_s = float("-inf")
        """Time from which no turn is owed."""

    def delay_s(self, spent_s: float, now_s: float) -> float:
        """Return when a connection that has spent this time may go on."""
        self._free_s = max(self._free_s, now_s - spent_s) + spent_s / PACED_SHARE
        return max(0.0, self._free_s - now_s)
