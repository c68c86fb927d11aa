"""Recognition of callers' retries after load shedding, so that they are served first.

In a burst some callers are refused and retry together with new callers, possibly at
other hosts. Without a record of refusals the same callers would be refused again.
"""

from collections.abc import Iterable

CALLER_RETRY_WINDOW_S = 3.0
"""Time after Retry-After within which an equal request counts as a retry."""
MAX_REMEMBERED = 500
"""Digests kept, the oldest evicted first: a few seconds of refusals at the peak load of
one host."""
MAX_SHARED_DIGESTS = 40


class CallerRetryTracker:
    """Digests of refused requests, kept until they are retried or expire."""

    def __init__(self) -> None:
        self._local: dict[str, float] = {}
        self._from_peers: dict[str, float] = {}

    def record_refusal(self, digest: str, *, retry_s: float, now_s: float) -> None:
        """Record a request that this host refused with Retry-After retry_s."""
        _remember(self._local, digest, now_s + retry_s + CALLER_RETRY_WINDOW_S)

    def record_peer_refusals(self, digests: Iterable[str], until_s: float) -> None:
        """Record requests that another host refused."""
        for digest in digests:
            _remember(self._from_peers, digest, until_s)

    def pop_refusal(self, digest: str, now_s: float) -> bool:
        """Return whether a request was refused before, and drop the record."""
        until_s = max(
            self._local.pop(digest, now_s), self._from_peers.pop(digest, now_s)
        )
        return until_s > now_s

    def recent_digests(self, now_s: float) -> tuple[str, ...]:
        """Return the newest digests that this host refused, to share with its peers."""
        digests = [digest for digest, until_s in self._local.items() if until_s > now_s]
        return tuple(digests[-MAX_SHARED_DIGESTS:])


def _remember(table: dict[str, float], digest: str, until_s: float) -> None:
    if not digest:
        return
    table.pop(digest, None)
    table[digest] = until_s
    while len(table) > MAX_REMEMBERED:
        del table[next(iter(table))]
