"""Bound on accepted connections, and the choice of the one to close for a new one.

Each connection takes a descriptor. Without a bound, clients that only connect take all
of them; then neither another caller is accepted nor an upstream connected to.
"""

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from itertools import islice
from typing import Any, Generic, TypeVar

import attrs

FILE_DESCRIPTORS = 200
"""Descriptors of `limits.max_fds` that are reserved for files."""
CLOSING_CONNECTIONS = 64
"""Connections beyond the bound that still send a refusal; with more, the one that has
been closing for the longest is aborted."""
UNCOUNTED_CONNECTIONS = 64
"""Connections that were accepted in the last turns of the event loop."""
FIXED_DESCRIPTORS = 300
"""Descriptors apart from files, callers and their upstreams: 96 connections of the
status ports, 64 connections that are closing, 64 that were accepted in the last turns
of the event loop and are not counted yet, 60 for control calls to replicas, and 16 for
the store, listeners, peers and logs."""
MIN_CALLER_CONNECTIONS = 16
"""Bound where the descriptors do not even suffice for the reserves."""
NEW_S = 0.1
"""Time for which a connection is new unless it makes progress. The event loop reads its
request some turns after the accept; clients that come back at once and begin a request
were otherwise kept instead of a readiness probe. While the connections of half of the
bound follow, a new one is closed only if no other one may be."""
MAX_NEW_CHECKED = 64
"""New connections that are looked at for one whose address has many, at the most."""
RECHECK_INTERVAL_S = 0.25
"""Interval at which connections that could not be closed are looked at again. Without
it, each new connection would look at all of them."""

SPARED_SHARE = 0.5
"""Share of the connections of the address with most of them up to which those of
another address are not closed while there are others to close. Without it, 400 clients
that come back at once took the connections of ordinary callers before their requests
were read."""

C = TypeVar("C")


def caller_connection_bound(max_descriptors: int, process_limit: int | None) -> int:
    """Return how many connections of callers may be open.

    `process_limit` is the limit of the operating system, None for no limit. Each caller
    may be answered from an upstream, whose connection takes a descriptor too.
    """
    usable = (
        max_descriptors
        if process_limit is None
        else min(max_descriptors, process_limit)
    )
    bound = (usable - FILE_DESCRIPTORS - FIXED_DESCRIPTORS) // 2
    return max(MIN_CALLER_CONNECTIONS, bound)


@attrs.frozen
class Admission(Generic[C]):
    """What to do about a new connection."""

    is_admitted: bool
    """Whether the connection is kept; otherwise it is to be refused and closed."""
    evicted: C | None = None
    """Connection to close, so that there is room for the new one."""
    aborted: C | None = None
    """Connection to abort, since it is closing for longer than there is room."""


class ConnectionTable(Generic[C]):
    """Open connections in the order of their last progress, bounded in number.

    `is_idle` tells whether a connection has no request, `may_be_evicted` whether it may
    be closed for another one. Only the latter may change without a call of
    `record_progress`. `address_of` tells where a connection comes from: those of an
    address with few of them are closed last.
    """

    def __init__(
        self,
        *,
        bound: int,
        is_idle: Callable[[C], bool],
        may_be_evicted: Callable[[C], bool],
        address_of: Callable[[C], str] = lambda connection: "",
        closing_bound: int = CLOSING_CONNECTIONS,
    ) -> None:
        self.bound = bound
        self._address_of = address_of
        self._counts: Counter[str] = Counter()
        """Kept connections by address."""
        self._addresses: Counter[int] = Counter()
        """Addresses by the number of their connections."""
        self._largest_count = 0
        self._closing_bound = closing_bound
        self._is_idle = is_idle
        self._may_be_evicted = may_be_evicted
        self._added = 0
        """Connections that were added; the tables keep its value at the last
        progress."""
        self._new: OrderedDict[C, tuple[int, float]] = OrderedDict()
        """Connections without progress so far, with the time of their start, which the
        host may not have read from yet."""
        self._idle: OrderedDict[C, int] = OrderedDict()
        self._busy: OrderedDict[C, int] = OrderedDict()
        self._passed_idle: OrderedDict[C, int] = OrderedDict()
        """Connections that could not be closed when they were looked at. They are older
        than those in the table that they were taken from."""
        self._passed_busy: OrderedDict[C, int] = OrderedDict()
        self._spared_idle: OrderedDict[C, None] = OrderedDict()
        """Those of the passed ones that may be closed if there are no others."""
        self._spared_busy: OrderedDict[C, None] = OrderedDict()
        self._closing: OrderedDict[C, None] = OrderedDict()
        self._rechecked_s = float("-inf")

    def __len__(self) -> int:
        """Return how many connections are open, those that are closing included."""
        return self._kept_count + len(self._closing)

    def __iter__(self) -> Iterator[C]:
        """Iterate over the open connections, those that are closing included."""
        for table in (*self._kept, self._closing):
            yield from tuple(table)

    @property
    def _kept(self) -> tuple[OrderedDict[C, Any], ...]:
        passed = (self._passed_idle, self._passed_busy)
        return (self._new, self._idle, self._busy, *passed)

    @property
    def _kept_count(self) -> int:
        return sum(map(len, self._kept))

    def add(self, connection: C, now_s: float) -> Admission[C]:
        """Count a new connection and return what to do about it.

        The caller of this method carries that out; each connection is counted until it
        is removed or aborted.
        """
        evicted: C | None = None
        if self._kept_count >= self.bound:
            evicted = self._choose(now_s)
            if evicted is None:
                return Admission(False, aborted=self._start_closing(connection))
        aborted = None
        if evicted is not None:
            self._take(evicted)
            self._count(evicted, -1)
            aborted = self._start_closing(evicted)
        self._added += 1
        self._new[connection] = (self._added, now_s)
        self._count(connection, 1)
        return Admission(True, evicted, aborted)

    def record_progress(self, connection: C) -> None:
        """Record that a connection transferred data, or began or ended a request."""
        table = self._idle if self._is_idle(connection) else self._busy
        if connection in table:
            table.move_to_end(connection)
            table[connection] = self._added
        elif self._take(connection):
            table[connection] = self._added

    def remove(self, connection: C) -> None:
        """Forget a connection that is closed."""
        if self._take(connection):
            self._count(connection, -1)
        else:
            self._closing.pop(connection, None)

    def _count(self, connection: C, change: int) -> None:
        """Count a connection of an address, and follow the largest count."""
        address = self._address_of(connection)
        before = self._counts[address]
        count = self._counts[address] = before + change
        self._addresses[before] -= 1
        self._addresses[count] += 1
        if not count:
            del self._counts[address]
        self._largest_count = max(self._largest_count, count)
        # A count changes by one, so the next largest is at most one below.
        if self._largest_count and not self._addresses[self._largest_count]:
            self._largest_count -= 1

    def _is_spared(self, connection: C) -> bool:
        count = self._counts[self._address_of(connection)]
        return count <= SPARED_SHARE * self._largest_count

    def _take(self, connection: C) -> bool:
        self._spared_idle.pop(connection, None)
        self._spared_busy.pop(connection, None)
        for table in self._kept:
            if connection in table:
                del table[connection]
                return True
        return False

    def _start_closing(self, connection: C) -> C | None:
        """Count a connection as closing; return the one to abort if there are many."""
        self._closing[connection] = None
        if len(self._closing) <= self._closing_bound:
            return None
        oldest, _ = self._closing.popitem(last=False)
        return oldest

    def _first_new(self) -> C | None:
        """Return the oldest new connection that may be closed."""
        for connection in islice(self._new, MAX_NEW_CHECKED):
            if not self._is_spared(connection) and self._may_be_evicted(connection):
                return connection
        return None

    def _choose(self, now_s: float) -> C | None:
        """Return the connection to close, None if none may be closed."""
        if now_s - self._rechecked_s >= RECHECK_INTERVAL_S:
            self._rechecked_s = now_s
            self._idle = self._passed_idle | self._idle
            self._busy = self._passed_busy | self._busy
            self._passed_idle = OrderedDict()
            self._passed_busy = OrderedDict()
            self._spared_idle.clear()
            self._spared_busy.clear()
        while self._new:
            connection, (added, started_s) = next(iter(self._new.items()))
            if now_s - started_s < NEW_S:
                break
            del self._new[connection]
            self._idle[connection] = added
        while self._idle:
            connection = next(iter(self._idle))
            if not self._is_idle(connection):
                # It has begun a request since its last progress was recorded.
                self._busy[connection] = self._idle.pop(connection)
                continue
            if self._is_spared(connection):
                self._spared_idle[connection] = None
            elif self._may_be_evicted(connection):
                return connection
            self._passed_idle[connection] = self._idle.pop(connection)
        new = self._first_new()
        while self._busy:
            connection, progress = next(iter(self._busy.items()))
            if self._is_spared(connection):
                self._spared_busy[connection] = None
            elif self._may_be_evicted(connection):
                if new is not None and self._new[new][0] + self.bound // 2 <= progress:
                    return new
                return connection
            self._passed_busy[connection] = self._busy.pop(connection)
        if new is not None:
            return new
        for spared in (self._spared_idle, self._spared_busy):
            while spared:
                connection = next(iter(spared))
                if self._may_be_evicted(connection):
                    return connection
                del spared[connection]
        return next(filter(self._may_be_evicted, self._new), None)
