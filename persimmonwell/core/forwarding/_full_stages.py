"""Replicas that were short of KV memory a moment ago.

A replica that refuses a request for want of memory is probed, and reports the memory
in use. For some seconds the load reports of the other hosts show less than that, and
every host that relies on them is refused too.
"""

import math
from collections.abc import Callable

import attrs

FULL_SHARE = 0.8
"""Share of the reservable memory from which a replica counts as short of it."""
MAX_USED_SHARE = 1.1
"""Largest use that a report counts for, as a share of the reservable memory: 0.92 of
the memory may be reserved. A wrong report must not hold a replica back for longer."""
MAX_LAYER_TOKENS = 1 << 40
"""Largest use that is kept. Peers drop a whole datagram with a count above 1 << 48, so
a wrong report of one replica would silence the hosts."""
MEMORY_S = 4.0
"""Time for which a report counts. Reports of other hosts are up to 3.5 s old; with 3 s
a host was often refused again by the same replica right after the report expired."""
DRAIN_S = 4.0
"""Time constant with which the reported memory becomes free; about the longest mean
time of a request."""
OVERBOOKING = 5.0
"""Factor on this host's share of the memory that became free, since not every host has
a request for it at that moment. With 8 and 340 hosts, some 2 points more of the sends
are refused."""
MAX_REPORTS = 256
"""Reports that are kept, the newest ones."""
MAX_SHARED_REPORTS = 32
"""Reports in one datagram, the newest ones; at 340 hosts and three times the load,
about 20 replicas of a zone are short of memory."""
NEWER_BY_S = 0.25
"""Time by which a peer's report has to be newer than the known one. Hosts pass reports
on, and each step makes them seem newer by the transit time; without a margin, a report
that goes round would never expire."""


@attrs.frozen
class MemoryReport:
    """KV memory in use at a replica, in layer-tokens, and the age of that figure."""

    replica_id: str
    layer_tokens: int
    age_s: float


@attrs.define
class _Known:
    layer_tokens: int
    reported_s: float
    own_tokens: int = 0
    """Layer-tokens that this host reserved since."""
    phase: float | None = None
    """Part of a request by which the share of this host is rounded up."""


class FullStages:
    """Memory in use at the replicas that were probed lately.

    The memory that becomes free at a full replica is shared among the hosts. A share is
    often less than a request, so that each host rounds it with a random phase of its
    own, and they return one after the other.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    @property
    def replica_ids(self) -> frozenset[str]:
        """Return the replicas with a report, which may have expired."""
        return frozenset(self._known)

    def record(self, replica_id: str, layer_tokens: int, now_s: float) -> None:
        """Record the memory in use that a replica reported."""
        self._known.pop(replica_id, None)
        used = max(0, min(MAX_LAYER_TOKENS, layer_tokens))
        self._known[replica_id] = _Known(used, now_s)
        if len(self._known) > MAX_REPORTS:
            del self._known[next(iter(self._known))]

    def reported_s(self, replica_id: str) -> float:
        """Return the time of a replica's report, which is known."""
        return self._known[replica_id].reported_s

    def merge(self, report: MemoryReport, now_s: float) -> None:
        """Take over a peer's report if it is newer than the known one."""
        reported_s = now_s - report.age_s
        if report.age_s >= MEMORY_S:
            return
        known = self._known.get(report.replica_id)
        if known is None or reported_s > known.reported_s + NEWER_BY_S:
            self.record(report.replica_id, report.layer_tokens, reported_s)

    def newest(self, now_s: float) -> tuple[MemoryReport, ...]:
        """Return the newest reports, own ones and those of peers, for the peers."""
        rows = sorted(
            self._known.items(), key=lambda row: row[1].reported_s, reverse=True
        )
        return tuple(
            MemoryReport(
                replica_id, known.layer_tokens, max(0.0, now_s - known.reported_s)
            )
            for replica_id, known in rows[:MAX_SHARED_REPORTS]
            if now_s - known.reported_s < MEMORY_S
        )

    def add_own(self, replica_id: str, layer_tokens: int) -> None:
        """Count layer-tokens that this host reserves at a replica."""
        known = self._known.get(replica_id)
        if known is not None:
            known.own_tokens += layer_tokens

    def draw_phases(self, draw: Callable[[], float]) -> None:
        """Draw a phase in [0, 1) for each report that has none."""
        for known in self._known.values():
            if known.phase is None:
                known.phase = draw()

    def expire(self, now_s: float) -> None:
        """Drop the reports that no longer count."""
        for replica_id, known in list(self._known.items()):
            if now_s - known.reported_s >= MEMORY_S:
                del self._known[replica_id]

    def usable_tokens(
        self,
        replica_id: str,
        *,
        capacity: float,
        request_tokens: int,
        other_hosts: float,
        now_s: float,
    ) -> float:
        """Return the layer-tokens that this host may reserve at a replica.

        It is infinite for a replica that was not short of memory. capacity is the
        reservable memory, request_tokens what a request takes at the replica.
        """
        known = self._known.get(replica_id)
        if known is None or known.layer_tokens < FULL_SHARE * capacity:
            return float("inf")
        if not other_hosts:
            return float("inf")
        age_s = max(0.0, now_s - known.reported_s)
        if age_s >= MEMORY_S:
            return float("inf")
        reported = min(known.layer_tokens, MAX_USED_SHARE * capacity)
        free = capacity - reported * math.exp(-age_s / DRAIN_S)
        share = OVERBOOKING * max(0.0, free) / (other_hosts + 1.0)
        usable = share + (known.phase or 0.0) * request_tokens - known.own_tokens
        # Paths that use a few of the replica's layers need less; without this check
        # they pass by the rounding alone, as soon as the replica has refused.
        return usable if usable >= request_tokens else 0.0
