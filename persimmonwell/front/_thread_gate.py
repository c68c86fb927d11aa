"""Keep request threads free for urgent work."""

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
"""Share of all threads up to which a request of this rank may take one.

The accept queue serves connections in order of arrival and holds a thread for
each request in flight, so less urgent ranks must leave threads free.
"""


class ThreadGate:
    """Count the threads in use."""

    def __init__(self, *, threads: int) -> None:
        self._threads = threads
        self._in_use = 0
        self._lock = threading.Lock()

    @contextmanager
    def admit(self, rank: Rank) -> Iterator[None]:
        """Hold a thread for a request; raise OverloadedError when none is free."""
        self.enter(rank)
        try:
            yield
        finally:
            self.leave()

    def enter(self, rank: Rank) -> None:
        """Take a thread; raise OverloadedError when the rank's share is used up."""
        with self._lock:
            if self._in_use >= self._threads * THREAD_SHARES[rank]:
                name = rank.name.lower()
                raise OverloadedError(rank=name, reason="no request thread is free")
            self._in_use += 1

    def leave(self) -> None:
        """Give a thread back."""
        with self._lock:
            self._in_use -= 1
