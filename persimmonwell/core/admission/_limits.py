"""Token rate and concurrency limits of workspaces, divided among entry hosts."""

import math
from collections.abc import Mapping

import attrs

from persimmonwell.core.config import WorkspaceConfig

BURST_S = 1.0
"""Size of the token bucket, as seconds of the token rate."""


@attrs.frozen
class LimitShare:
    """This host's share of one workspace's limits, and the current usage."""

    workspace: str
    tokens_per_s: float | None
    max_concurrency: int | None
    running: int
    available_tokens: float | None
    """Tokens that may be dispatched now; negative after a large request."""


@attrs.define
class _Share:
    rate: float | None = None
    concurrency: int | None = None
    running: int = 0
    tokens: float = 0.0
    updated_s: float | None = None

    def refill(self, now_s: float) -> None:
        if self.rate is None:
            self.updated_s = None
            return
        burst = self.rate * BURST_S
        if self.updated_s is None:
            self.tokens = burst
        else:
            elapsed_s = max(0.0, now_s - self.updated_s)
            self.tokens = min(burst, self.tokens + elapsed_s * self.rate)
        self.updated_s = now_s


class Limits:
    """This host's share of every workspace's limits: token buckets and counters."""

    def __init__(self) -> None:
        self._shares: dict[str, _Share] = {}

    def configure(self, workspaces: Mapping[str, WorkspaceConfig], hosts: int) -> None:
        """Divide the configured limits by the number of hosts."""
        for name in self._shares.keys() - workspaces.keys():
            share = self._shares[name]
            share.rate = share.concurrency = None
            if not share.running:
                del self._shares[name]
        for name, workspace in workspaces.items():
            share = self._shares.setdefault(name, _Share())
            rate, concurrency = workspace.tokens_per_s, workspace.max_concurrency
            share.rate = None if rate is None else rate / hosts
            # At least one request per host, so that a limit below the number of
            # hosts does not block the workspace.
            share.concurrency = concurrency and max(1, concurrency // hosts)

    def wait_s(self, workspace: str, now_s: float) -> float:
        """Return the time until the next dispatch is allowed, 0 when it is now.

        It is infinite at the concurrency limit, until a running request ends.
        """
        share = self._shares.get(workspace)
        if share is None:
            return 0.0
        if share.concurrency is not None and share.running >= share.concurrency:
            return math.inf
        return self.rate_wait_s(workspace, now_s)

    def rate_wait_s(self, workspace: str, now_s: float) -> float:
        """Return the time until the token rate allows the next dispatch, or 0."""
        share = self._shares.get(workspace)
        if share is None or share.rate is None:
            return 0.0
        share.refill(now_s)
        # A request larger than the bucket is allowed and leaves a negative balance.
        return 0.0 if share.tokens > 0 else -share.tokens / share.rate + 1e-6

    def is_limited(self, workspace: str) -> bool:
        """Return whether a workspace has a token rate or concurrency limit."""
        share = self._shares.get(workspace)
        if share is None:
            return False
        return share.concurrency is not None or share.rate is not None

    def record_started(self, workspace: str, tokens: int, now_s: float) -> None:
        """Count a dispatched request and charge its estimated tokens."""
        share = self._shares.setdefault(workspace, _Share())
        share.refill(now_s)
        share.running += 1
        share.tokens -= tokens

    def record_finished(self, workspace: str, unused_tokens: int) -> None:
        """Count a request as ended and refund the estimated tokens it did not use."""
        share = self._shares.get(workspace)
        if share is not None:
            share.running -= 1
            share.tokens += unused_tokens

    def limit_shares(self, now_s: float) -> tuple[LimitShare, ...]:
        """Return this host's shares for all limited workspaces, by name."""
        limited = []
        for name, share in sorted(self._shares.items()):
            if share.rate is None and share.concurrency is None:
                continue
            share.refill(now_s)
            available_tokens = None if share.rate is None else share.tokens
            limited.append(
                LimitShare(
                    name, share.rate, share.concurrency, share.running, available_tokens
                )
            )
        return tuple(limited)
