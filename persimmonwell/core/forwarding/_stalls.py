"""Detection of stalled pipeline stages behind silent streams.

A dead or slow stage stalls every stream that passes through it. The platform charges
for each call, so one report serves all streams with the same first replica.

Load pattern: some replicas are lost at the peak. Reports name a stalled stage only some
200 ms later, which is too late for streams whose events may be 200 to 250 ms apart. The
stages of a silent stream that no other stream has passed since are probed before that.
"""

from collections.abc import Iterable, Sequence

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._events import FetchStallReport, ProbeReplica

STALL_THRESHOLD_S = 0.25
"""Silence after which a stream's first replica is asked for the stalled stage. A first
event 250 ms later still meets the typical objective of 500 ms."""
MIN_EARLY_SILENCE_S = 0.08
"""Silence after which the stages of a stream may be probed."""
EARLY_SILENCE_GAPS = 2.5
"""That silence is at least this many mean intervals between the stream's events, and
unusual by their deviation: under load, other requests' prefills make single intervals
three times as long as the mean."""
COMMON_GAP_WEIGHT = 0.02
"""Weight of the newest interval in the mean of all streams, for those without one."""
MAX_VAIN_PROBES = 40.0
"""Early probes without a lost replica after which early probes stop: about one of each
replica of an availability zone."""
VAIN_PROBES_PER_S = 2.0
"""Rate at which these become allowed again. Load that makes pauses usual would
otherwise cost a host some twenty probes a second."""
EARLY_PROBE_INTERVAL_S = 0.5
"""Minimum interval between early probes of one stage."""
MAX_EARLY_PROBES = 12
"""Early probes of one tick: the stages of the longest usual path."""
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
        self._early_probed_s: dict[str, float] = {}
        self._mean_gap_s = MIN_EARLY_SILENCE_S / EARLY_SILENCE_GAPS
        self._allowed_probes = MAX_VAIN_PROBES
        self._allowed_s: float | None = None

    def record_gap(self, active: ActiveRequest, gap_s: float) -> None:
        """Record the interval between two events of a stream."""
        self._mean_gap_s += COMMON_GAP_WEIGHT * (gap_s - self._mean_gap_s)
        active.gaps.record(gap_s)

    def early_silence_s(self, active: ActiveRequest) -> float:
        """Return the silence that is unusual for a running stream."""
        gaps = active.gaps
        mean_s = gaps.mean_s if gaps.mean_s is not None else self._mean_gap_s
        usual_s = max(EARLY_SILENCE_GAPS * mean_s, gaps.unusual_s)
        return min(STALL_THRESHOLD_S, max(MIN_EARLY_SILENCE_S, usual_s))

    def record_lost(self) -> None:
        """Record that a replica does not answer, so that more may be lost."""
        self._allowed_probes = MAX_VAIN_PROBES

    def _allow_probes(self, now_s: float) -> None:
        if self._allowed_s is not None:
            more = VAIN_PROBES_PER_S * max(0.0, now_s - self._allowed_s)
            self._allowed_probes = min(MAX_VAIN_PROBES, self._allowed_probes + more)
        self._allowed_s = now_s

    def due_early_probes(
        self, streams: Sequence[ActiveRequest], now_s: float
    ) -> tuple[ProbeReplica, ...]:
        """Return probes of the stages that may have stalled the silent streams.

        A stage that another stream has passed since the silence began is not among
        them.
        """
        silent = [
            active
            for active in streams
            if active.path is not None
            and active.has_answer_part
            and active.silent_s(now_s) >= self.early_silence_s(active)
        ]
        self._allow_probes(now_s)
        if not silent:
            return ()
        passed_s: dict[str, float] = {}
        for active in streams:
            if active.path is None or not active.has_answer_part:
                continue
            for stage in active.path.stages:
                earlier_s = passed_s.get(stage.replica_id, float("-inf"))
                passed_s[stage.replica_id] = max(earlier_s, active.last_event_s)
        probes: list[ProbeReplica] = []
        for active in sorted(silent, key=lambda stream: stream.last_event_s):
            assert active.path is not None
            for stage in active.path.stages:
                replica_id = stage.replica_id
                probed_s = self._early_probed_s.get(replica_id, float("-inf"))
                if (
                    passed_s[replica_id] <= active.last_event_s
                    and now_s - probed_s >= EARLY_PROBE_INTERVAL_S
                    and len(probes) < MAX_EARLY_PROBES
                    and self._allowed_probes >= 1.0
                ):
                    self._early_probed_s[replica_id] = now_s
                    self._allowed_probes -= 1.0
                    probes.append(ProbeReplica(replica_id, stage.address))
        return tuple(probes)

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
        for table in (self._queried_s, self._probed_s, self._early_probed_s):
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
        probes: list[ProbeReplica] = []
        for stage in longest.path.stages:
            if (
                now_s - self._probed_s.get(stage.replica_id, -10.0)
                >= STAGE_PROBE_INTERVAL_S
            ):
                self._probed_s[stage.replica_id] = now_s
                probes.append(ProbeReplica(stage.replica_id, stage.address))
        return tuple(probes)
