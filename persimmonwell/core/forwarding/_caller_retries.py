"""Recognition of callers' retries after load shedding, so that they are served first.

In a burst some callers are refused and retry together with new callers, possibly at
other hosts. Without a record of refusals the same callers would be refused again.
"""

from collections.abc import Iterable

CALLER_RETRY_WINDOW_S = 3.0
"""Time after Retry-After within which an equal request counts as a retry."""
PEER_REFUSAL_TTL_S = 10.0
"""Time for which a peer's refusal is remembered: a deferral of a third of 20 s, and the
window after it."""
MAX_REMEMBERED = 2000
"""Digests kept, the oldest evicted first: those of a zone of twenty hosts in a surge,
with ten refusals a second each."""
MAX_SHARED_DIGESTS = 100
"""Digests in one datagram, some 2 KB in a surge: the refusals of one deferral."""


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
