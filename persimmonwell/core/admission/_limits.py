"""Keep each workspace within its limits over all entry hosts."""

import math
from collections.abc import Mapping

import attrs

from persimmonwell.core.config import WorkspaceConfig

BURST_S = 1.0
"""Seconds of a token rate that may be spent at once."""


@attrs.frozen
class LimitShare:
    """Hold this host's part of one workspace's limits and its use of it."""

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
    level: float = 0.0
    updated_s: float | None = None

    def refill(self, now_s: float) -> None:
        if self.rate is None:
            self.updated_s = None
            return
        burst = self.rate * BURST_S
        if self.updated_s is None:
            self.level = burst
        else:
            elapsed_s = max(0.0, now_s - self.updated_s)
            self.level = min(burst, self.level + elapsed_s * self.rate)
        self.updated_s = now_s


class Limits:
    """Hold this host's share of every workspace's limits."""

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
            # One request per host keeps a workspace usable whose limit is below
            # the number of hosts.
            share.concurrency = concurrency and max(1, concurrency // hosts)

    def wait_s(self, workspace: str, now_s: float) -> float:
        """Return the time until the next dispatch is allowed.

        It is infinite while only the end of a running request helps.
        """
        share = self._shares.get(workspace)
        if share is None:
            return 0.0
        if share.concurrency is not None and share.running >= share.concurrency:
            return math.inf
        return self.rate_wait_s(workspace, now_s)

    def rate_wait_s(self, workspace: str, now_s: float) -> float:
        """Return the time until the token rate allows the next dispatch."""
        share = self._shares.get(workspace)
        if share is None or share.rate is None:
            return 0.0
        share.refill(now_s)
        # A request larger than the burst is allowed and leaves a debt.
        return 0.0 if share.level > 0 else -share.level / share.rate + 1e-6

    def is_limited(self, workspace: str) -> bool:
        """Return whether the end of a request may let another one start."""
        share = self._shares.get(workspace)
        if share is None:
            return False
        return share.concurrency is not None or share.rate is not None

    def started(self, workspace: str, tokens: int, now_s: float) -> None:
        """Charge a dispatched request by its estimate."""
        share = self._shares.setdefault(workspace, _Share())
        share.refill(now_s)
        share.running += 1
        share.level -= tokens

    def finished(self, workspace: str, unused_tokens: int) -> None:
        """Release a request and return the part of the estimate it did not use."""
        share = self._shares.get(workspace)
        if share is not None:
            share.running -= 1
            share.level += unused_tokens

    def in_force(self, now_s: float) -> tuple[LimitShare, ...]:
        """Return the shares of all limited workspaces."""
        limited = []
        for name, share in sorted(self._shares.items()):
            if share.rate is None and share.concurrency is None:
                continue
            share.refill(now_s)
            level = None if share.rate is None else share.level
            limited.append(
                LimitShare(name, share.rate, share.concurrency, share.running, level)
            )
        return tuple(limited)
