"""Detection of stalled pipeline stages behind silent streams.

A dead or slow stage stalls every stream that passes through it. The platform charges
for each call, so one report serves all streams with the same first replica.
"""

from collections.abc import Iterable

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._events import FetchStallReport, ProbeReplica

STALL_THRESHOLD_S = 0.25
"""Silence after which a stream's first replica is asked for the stalled stage. A first
event 250 ms later still meets the typical objective of 500 ms."""
STALL_QUERY_INTERVAL_S = 0.15
"""Interval between queries: reports are some 200 ms old, so the first one may not show
the stall yet."""
KNOWN_STALL_BACKOFF_S = 0.4
"""Added to the interval between queries after one that named stalled stages."""
STAGE_PROBE_INTERVAL_S = 1.5
"""Minimum interval between probes of a stage that is not suspected to be dead."""


class StallDetector:
    """Rate limits of stall queries and stage probes, by replica id."""

    def __init__(self) -> None:
        self._queried_s: dict[str, float] = {}
        self._probed_s: dict[str, float] = {}

    def due_queries(
        self, streams: Iterable[ActiveRequest], now_s: float
    ) -> tuple[FetchStallReport, ...]:
        """Return the due stall queries to the first replicas of silent streams."""
        first_replicas = {
            active.path.first_stage.replica_id: active.path.first_stage.address
            for active in streams
            if active.path is not None and active.silent_s(now_s) >= STALL_THRESHOLD_S
        }
        due = []
        for replica_id, address in first_replicas.items():
            if now_s - self._queried_s.get(replica_id, -1.0) >= STALL_QUERY_INTERVAL_S:
                self._queried_s[replica_id] = now_s
                due.append(FetchStallReport(replica_id, address))
        return tuple(due)

    def prune(self, registered: set[str]) -> None:
        """Drop the state of replicas that are not registered any more."""
        for table in (self._queried_s, self._probed_s):
            for replica_id in table.keys() - registered:
                del table[replica_id]

    def defer_query(self, first_replica_id: str, now_s: float) -> None:
        """Delay the next stall query to a replica that has named stalled stages."""
        self._queried_s[first_replica_id] = now_s + KNOWN_STALL_BACKOFF_S

    def due_stage_probes(
        self, streams: Iterable[ActiveRequest], first_replica_id: str, now_s: float
    ) -> tuple[ProbeReplica, ...]:
        """Return probes of all stages of a first replica's longest silent stream.

        Its report named no dead stage, so one of them may be slow.
        """
        silent = [
            active
            for active in streams
            if active.path is not None and active.replica_id == first_replica_id
        ]
        longest = max(silent, key=lambda stream: stream.silent_s(now_s), default=None)
        if longest is None or longest.silent_s(now_s) < STALL_THRESHOLD_S:
            return ()
        assert longest.path is not None
        probes = []
        for stage in longest.path.stages:
            if (
                now_s - self._probed_s.get(stage.replica_id, -10.0)
                >= STAGE_PROBE_INTERVAL_S
            ):
                self._probed_s[stage.replica_id] = now_s
                probes.append(ProbeReplica(stage.replica_id, stage.address))
        return tuple(probes)
