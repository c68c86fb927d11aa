"""Retry budget: retries are bounded by a ratio of the admitted requests."""

WORKSPACE_BURST_RETRIES = 10.0
"""Retries that a workspace may make at once while its bucket is full."""
HOST_BURST_RETRIES = 50.0
"""Retries that all workspaces of a host together may make at once."""


class RetryBudget:
    """Retry budget of one host: a token bucket per workspace and a shared one."""

    def __init__(self, *, ratio: float) -> None:
        self._ratio = ratio
        self._host_tokens = self._capacity(HOST_BURST_RETRIES)
        self._workspace_tokens: dict[str, float] = {}

    @property
    def host_tokens(self) -> float:
        """Return the retries currently allowed over all workspaces."""
        return self._host_tokens

    def _capacity(self, burst: float) -> float:
        return burst if self._ratio > 0 else 0.0

    def configure(self, ratio: float) -> None:
        """Set the ratio of retries to admitted requests; 0 allows no retries."""
        if ratio == self._ratio:
            return
        was_disabled = self._ratio == 0
        self._ratio = ratio
        self._host_tokens = self._capacity(
            HOST_BURST_RETRIES if was_disabled else self._host_tokens
        )
        self._workspace_tokens.clear()

    def record_admission(self, workspace: str) -> None:
        """Refill the buckets for one admitted request."""
        self._host_tokens = min(
            self._capacity(HOST_BURST_RETRIES), self._host_tokens + self._ratio
        )
        tokens = self._workspace_tokens.get(workspace)
        if tokens is None:
            return
        tokens += self._ratio
        if tokens >= WORKSPACE_BURST_RETRIES:
            # A missing bucket counts as full.
            del self._workspace_tokens[workspace]
        else:
            self._workspace_tokens[workspace] = tokens

    def try_spend(self, workspace: str) -> bool:
        """Take one retry from both buckets; return False when either is empty."""
        tokens = self._workspace_tokens.get(
            workspace, self._capacity(WORKSPACE_BURST_RETRIES)
        )
        if tokens < 1.0 or self._host_tokens < 1.0:
            return False
        self._workspace_tokens[workspace] = tokens - 1.0
        self._host_tokens -= 1.0
        return True
