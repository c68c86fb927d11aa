"""Outlier detection and failure detection of replicas."""

from collections.abc import Iterable
from typing import Any

import attrs

BASE_EJECTION_S = 0.6
"""First ejection, about half a heartbeat interval: a restarted replica registers its
new state within one interval."""
MAX_EJECTION_S = 4.0
MAX_DOUBLINGS = 8
"""Repetitions that count; the time exceeds MAX_EJECTION_S long before. Without a bound,
the 1,025th ejection of a replica overflowed the float."""
EWMA_WEIGHT = 0.2
"""Weight of the newest sample in the moving averages of failures and latency."""
FAILURE_PENALTY = 6.0
"""Weight of the failure rate in a replica's load: one that fails every request counts
as 1 + 6 times as loaded."""
MIN_LATENCY_SAMPLES = 3
SUSPICION_TIMEOUT_S = 5.0
"""Longer than the three heartbeats, 3.6 s, after which the registry drops a dead
replica."""
PROBE_INTERVAL_S = 0.5
"""Interval between probes of a suspected replica; the platform charges for each one."""
INFERRED_DRAIN_AFTER_S = 0.8
"""A replica that refuses requests for that long although it has capacity is taken for
draining; one that changes its layers updates the registry within a heartbeat."""
INFERRED_DRAIN_TTL_S = 4.0
"""Time until a replica that is taken for draining is tried again."""
LATE_ANSWER_S = 0.05
"""Time for which the answer to an overdue probe may still come: on a busy machine a
live replica answered about 50 ms after the probe was sent."""
SLOWNESS_TTL_S = 2.5
"""Validity of a measured slowness; while streams through the replica are silent, the
next probe comes earlier."""
MAX_PEER_REPORTED = 16_384
"""Replicas that peers call lost, and those that they call slow, the ones named last;
1,000 hosts have some 3,300 replicas. Those that are not registered stay until the
registry changes, and anyone can send reports with any names."""


@attrs.define
class _Evidence:
    incarnation: tuple[str, int]
    failure_rate: float = 0.0
    latency_s: float = 0.0
    samples: int = 0
    ejections: int = 0
    ejected_until_s: float = float("-inf")
    is_readmitted: bool = False
    """Whether an ejection was ended early since the last complete answer."""


@attrs.define
class _Suspicion:
    incarnation: tuple[str, int]
    until_s: float
    next_probe_s: float
    is_lost: bool = False
    unresponsive_s: float | None = None
    """Time from which the answer to a probe has taken unusually long."""


@attrs.frozen
class _Slowness:
    factor: float
    until_s: float
    is_local: bool
    """Whether this host measured it; reports of peers are not passed on."""


class ReplicaHealth:
    """Failure rate, latency, ejection, suspicion and slowness of each replica."""

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._peer_lost_until_s: dict[str, float] = {}
        self._slowness: dict[str, _Slowness] = {}
        self._refusing_since: dict[str, tuple[tuple[str, int], float]] = {}
        self._inferred_drain_until_s: dict[str, float] = {}

    def local_slowness(self, now_s: float) -> dict[str, float]:
        """Return the slowness factors that this host measured itself, by replica id."""
        return {
            key: entry.factor
            for key, entry in self._slowness.items()
            if entry.is_local and entry.until_s >= now_s
        }

    def record_slowness(
        self, replica_id: str, factor: float, now_s: float, *, is_local: bool = True
    ) -> None:
        """Record a slowness factor from the replica's report or from a peer.

        A peer's value does not replace one that this host measured.
        """
        current = self._slowness.get(replica_id)
        if not is_local and current is not None and current.is_local:
            return
        self._slowness.pop(replica_id, None)
        if factor > 1.0:
            until_s = now_s + SLOWNESS_TTL_S
            self._slowness[replica_id] = _Slowness(factor, until_s, is_local)
        if len(self._slowness) > MAX_PEER_REPORTED:
            self._drop_oldest_peer_slowness()

    def _drop_oldest_peer_slowness(self) -> None:
        for replica_id, entry in self._slowness.items():
            if not entry.is_local:
                del self._slowness[replica_id]
                return

    def slowness(self, replica_id: str, now_s: float) -> float:
        """Return the factor on a replica's step times, 1.0 while none is known."""
        slowness = self._slowness.get(replica_id)
        if slowness is None:
            return 1.0
        if slowness.until_s < now_s:
            del self._slowness[replica_id]
            return 1.0
        return slowness.factor

    @property
    def lost(self) -> frozenset[str]:
        """Return the replicas that did not answer this host's last probe."""
        return frozenset(
            key for key, entry in self._suspicions.items() if entry.is_lost
        )

    def is_lost(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica is dead or draining without notice.

        Its death was found by this host's probe or reported by a peer.
        """
        suspicion = self._suspicions.get(replica_id)
        return (
            (suspicion is not None and suspicion.is_lost)
            or self._peer_lost_until_s.get(replica_id, 0.0) > now_s
            or self._inferred_drain_until_s.get(replica_id, 0.0) > now_s
        )

    def record_unresponsive(self, replica_id: str, now_s: float) -> None:
        """Record that the answer to the probe of a suspected replica takes long."""
        suspicion = self._suspicions.get(replica_id)
        if suspicion is not None and suspicion.unresponsive_s is None:
            suspicion.unresponsive_s = now_s

    def seems_dead(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica is lost or does not answer its probe.

        One that is only suspected may have refused a request and still serve others.
        """
        suspicion = self._suspicions.get(replica_id)
        if suspicion is not None and suspicion.unresponsive_s is not None:
            return True
        return self.is_lost(replica_id, now_s)

    def may_answer_late(self, replica_id: str, now_s: float) -> bool:
        """Return whether the answer to a probe has only just become overdue."""
        suspicion = self._suspicions.get(replica_id)
        return (
            suspicion is not None
            and suspicion.unresponsive_s is not None
            and now_s - suspicion.unresponsive_s < LATE_ANSWER_S
            and not self.is_lost(replica_id, now_s)
        )

    def record_refusal_with_capacity(
        self, replica_id: str, incarnation: tuple[str, int], now_s: float
    ) -> None:
        """Record a refusal by a replica that is alive and has capacity."""
        self.eject(replica_id, incarnation, now_s)
        refusing = self._refusing_since.get(replica_id)
        if refusing is None or refusing[0] != incarnation:
            self._refusing_since[replica_id] = (incarnation, now_s)
        elif now_s - refusing[1] >= INFERRED_DRAIN_AFTER_S:
            self._inferred_drain_until_s[replica_id] = now_s + INFERRED_DRAIN_TTL_S

    def clear_refusals(self, replica_id: str) -> None:
        """Drop recorded refusals, which a changed registry entry explains."""
        self._refusing_since.pop(replica_id, None)
        self._inferred_drain_until_s.pop(replica_id, None)

    def suspect(
        self, replica_id: str, incarnation: tuple[str, int], now_s: float
    ) -> None:
        """Exclude a replica until it answers a probe or the suspicion times out."""
        suspicion = self._suspicions.get(replica_id)
        if suspicion is not None and suspicion.incarnation == incarnation:
            suspicion.until_s = now_s + SUSPICION_TIMEOUT_S
            return
        self._suspicions[replica_id] = _Suspicion(
            incarnation, until_s=now_s + SUSPICION_TIMEOUT_S, next_probe_s=now_s
        )

    def due_probes(self, now_s: float) -> tuple[str, ...]:
        """Return the suspected replicas that are to be probed now."""
        due = []
        for replica_id, suspicion in list(self._suspicions.items()):
            if now_s >= suspicion.until_s and not suspicion.is_lost:
                del self._suspicions[replica_id]
            elif now_s >= suspicion.next_probe_s:
                suspicion.next_probe_s = now_s + PROBE_INTERVAL_S
                due.append(replica_id)
        return tuple(due)

    def record_probe(self, replica_id: str, *, is_alive: bool, now_s: float) -> bool:
        """Record a probe's result; return whether the replica was suspected."""
        suspicion = self._suspicions.get(replica_id)
        if suspicion is None:
            return False
        if is_alive:
            del self._suspicions[replica_id]
        else:
            suspicion.is_lost = True
            suspicion.next_probe_s = now_s + PROBE_INTERVAL_S
        return True

    def record_peer_lost(self, replica_ids: Iterable[str], until_s: float) -> None:
        """Record replicas that a peer found dead, valid until until_s."""
        for replica_id in replica_ids:
            self._peer_lost_until_s.pop(replica_id, None)
            self._peer_lost_until_s[replica_id] = until_s
            if len(self._peer_lost_until_s) > MAX_PEER_REPORTED:
                del self._peer_lost_until_s[next(iter(self._peer_lost_until_s))]

    def _evidence_for(self, replica_id: str, incarnation: tuple[str, int]) -> _Evidence:
        evidence = self._evidence.get(replica_id)
        if evidence is None or evidence.incarnation != incarnation:
            evidence = self._evidence[replica_id] = _Evidence(incarnation)
        return evidence

    def record_success(
        self, replica_id: str, incarnation: tuple[str, int], latency_s: float
    ) -> None:
        """Record a complete answer and its latency."""
        evidence = self._evidence_for(replica_id, incarnation)
        evidence.failure_rate *= 1 - EWMA_WEIGHT
        self._refusing_since.pop(replica_id, None)
        evidence.ejections = 0
        evidence.is_readmitted = False
        evidence.samples += 1
        weight = max(EWMA_WEIGHT, 1 / evidence.samples)
        evidence.latency_s += weight * (latency_s - evidence.latency_s)

    def record_error(self, replica_id: str, incarnation: tuple[str, int]) -> None:
        """Record a failed answer in the failure rate."""
        evidence = self._evidence_for(replica_id, incarnation)
        evidence.failure_rate += EWMA_WEIGHT * (1 - evidence.failure_rate)

    def eject(
        self, replica_id: str, incarnation: tuple[str, int], now_s: float
    ) -> None:
        """Eject a replica, for twice as long with each repetition."""
        evidence = self._evidence_for(replica_id, incarnation)
        if now_s < evidence.ejected_until_s:
            return
        pause_s = BASE_EJECTION_S * 2.0 ** min(evidence.ejections, MAX_DOUBLINGS)
        evidence.ejected_until_s = now_s + min(MAX_EJECTION_S, pause_s)
        evidence.ejections += 1

    def readmit(self, replica_id: str) -> None:
        """End the first ejection of a replica whose probe shows that it has not failed.

        One that breaks off another answer before it completes one stays ejected.
        """
        evidence = self._evidence.get(replica_id)
        if evidence is None or evidence.ejections != 1 or evidence.is_readmitted:
            return
        evidence.ejected_until_s = float("-inf")
        evidence.ejections = 0
        evidence.is_readmitted = True

    def is_ejected(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica is excluded now: ejected, suspected or lost."""
        if replica_id in self._suspicions:
            return True
        if self.is_lost(replica_id, now_s):
            return True
        evidence = self._evidence.get(replica_id)
        return evidence is not None and now_s < evidence.ejected_until_s

    def load_penalty(self, replica_id: str, reference_latency_s: float) -> float:
        """Return the factor, at least 1, by which errors and latency raise its load."""
        evidence = self._evidence.get(replica_id)
        if evidence is None:
            return 1.0
        factor = 1.0 + FAILURE_PENALTY * evidence.failure_rate
        if evidence.samples >= MIN_LATENCY_SAMPLES and reference_latency_s > 0:
            factor *= max(1.0, evidence.latency_s / reference_latency_s)
        return factor

    def mean_latency_s(self, replica_id: str) -> float | None:
        """Return the moving average of the latency, None with too few samples."""
        evidence = self._evidence.get(replica_id)
        if evidence is None or evidence.samples < MIN_LATENCY_SAMPLES:
            return None
        return evidence.latency_s

    def prune(self, registered: set[str]) -> None:
        """Drop the state of replicas that are not registered any more."""
        tables: tuple[dict[str, Any], ...] = (
            self._evidence,
            self._suspicions,
            self._peer_lost_until_s,
            self._slowness,
            self._refusing_since,
            self._inferred_drain_until_s,
        )
        for table in tables:
            for replica_id in table.keys() - registered:
                del table[replica_id]
