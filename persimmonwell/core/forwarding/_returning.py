"""Recognise refused requests that come back, so that they go first.

Load pattern: a burst refuses part of the callers, who return together with new ones,
also at other hosts. Without a memory the same callers are refused again.
"""

from collections.abc import Iterable

RETURN_WINDOW_S = 3.0
"""Time after Retry-After within which a request counts as the same caller's."""
MAX_REMEMBERED = 500
"""Oldest first are forgotten; some seconds of refusals at the peak of one host."""
MAX_TOLD = 40


class ReturningRequests:
    """Hold the digests of refused requests until they come back."""

    def __init__(self) -> None:
        self._own: dict[str, float] = {}
        self._from_peers: dict[str, float] = {}

    def refused(self, digest: str, *, retry_s: float, now_s: float) -> None:
        """Remember a request that this host refused."""
        _remember(self._own, digest, now_s + retry_s + RETURN_WINDOW_S)

    def peer_refused(self, digests: Iterable[str], until_s: float) -> None:
        """Remember requests that another host refused."""
        for digest in digests:
            _remember(self._from_peers, digest, until_s)

    def takes_back(self, digest: str, now_s: float) -> bool:
        """Return whether a request was refused before, and forget it."""
        until_s = max(self._own.pop(digest, now_s), self._from_peers.pop(digest, now_s))
        return until_s > now_s

    def to_tell(self, now_s: float) -> tuple[str, ...]:
        """Return the newest of the digests that this host refused."""
        digests = [digest for digest, until_s in self._own.items() if until_s > now_s]
        return tuple(digests[-MAX_TOLD:])


def _remember(table: dict[str, float], digest: str, until_s: float) -> None:
    if not digest:
        return
    table.pop(digest, None)
    table[digest] = until_s
    while len(table) > MAX_REMEMBERED:
        del table[next(iter(table))]
