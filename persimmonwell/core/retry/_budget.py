"""Bound repeated attempts by a ratio of the admitted requests."""

WORKSPACE_BURST = 10.0
"""Repeats a workspace may make at once after a quiet time."""
FLEET_BURST = 50.0
"""Repeats that all workspaces of a host may make at once."""


class RetryBudget:
    """Hold a token bucket per workspace and one over all workspaces."""

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._fleet = self._burst(FLEET_BURST)
        self._workspaces: dict[str, float] = {}

    @property
    def fleet_level(self) -> float:
        """Return the repeats allowed now over all workspaces."""
        return self._fleet

    def _burst(self, tokens: float) -> float:
        return tokens if self._ratio > 0 else 0.0

    def configure(self, ratio: float) -> None:
        """Change the ratio; a ratio of 0 allows no repeats."""
        if ratio == self._ratio:
            return
        restarted = self._ratio == 0
        self._ratio = ratio
        self._fleet = self._burst(FLEET_BURST if restarted else self._fleet)
        self._workspaces.clear()

    def admitted(self, workspace: str) -> None:
        """Fill the buckets by one admitted request."""
        self._fleet = min(self._burst(FLEET_BURST), self._fleet + self._ratio)
        level = self._workspaces.get(workspace)
        if level is None:
            return
        level += self._ratio
        if level >= WORKSPACE_BURST:
            # A full bucket is the default and need not be stored.
            del self._workspaces[workspace]
        else:
            self._workspaces[workspace] = level

    def spend(self, workspace: str) -> bool:
        """Take one repeat from both buckets; return False when one is empty."""
        level = self._workspaces.get(workspace, self._burst(WORKSPACE_BURST))
        if level < 1.0 or self._fleet < 1.0:
            return False
        self._workspaces[workspace] = level - 1.0
        self._fleet -= 1.0
        return True
