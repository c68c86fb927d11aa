"""Limit on request threads per rank, which reserves threads for urgent requests."""

import threading
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from persimmonwell._exceptions import OverloadedError
from persimmonwell.core import Rank

THREAD_SHARES: Mapping[Rank, float] = {
    Rank.URGENT: 1.0,
    Rank.NORMAL: 0.75,
    Rank.BATCH: 0.5,
}
"""Maximum share of threads in use at which a rank may still take another one.

The accept queue is first in, first out, and each request in flight occupies a thread,
so lower ranks must leave threads free for higher ones.
"""


class ThreadLimiter:
    """Limiter of request threads; higher ranks may use a larger share of them."""

    def __init__(self, *, threads: int) -> None:
        self._threads = threads
        self._in_use = 0
        self._lock = threading.Lock()

    @contextmanager
    def admit(self, rank: Rank) -> Iterator[None]:
        """Reserve a thread for the duration of a request; raise OverloadedError."""
        self.acquire(rank)
        try:
            yield
        finally:
            self.release()

    def acquire(self, rank: Rank) -> None:
        """Reserve a thread; raise OverloadedError when the rank's share is used up."""
        with self._lock:
            if self._in_use >= self._threads * THREAD_SHARES[rank]:
                name = rank.name.lower()
                raise OverloadedError(rank=name, reason="no request thread is free")
            self._in_use += 1

    def release(self) -> None:
        """Release a reserved thread."""
        with self._lock:
            self._in_use -= 1
