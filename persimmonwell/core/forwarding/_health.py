"""Judge upstreams by what their answers showed."""

from collections.abc import Iterable
from typing import Any

import attrs

FIRST_EXCLUSION_S = 0.6
"""About one heartbeat interval halved: a replica that restarts lists its new state
within one interval."""
MAX_EXCLUSION_S = 4.0
FAILURE_WEIGHT = 0.2
"""Share of the newest outcome in the moving failure rate."""
FAILURE_PENALTY = 6.0
"""Multiplies the load of a plain replica that fails every request."""
MIN_LATENCY_SAMPLES = 3
SUSPICION_S = 5.0
"""The registry drops a dead replica after three heartbeats, 3.6 s."""
CHECK_INTERVAL_S = 0.5
"""Pause between two questions to a suspected replica; each one is priced."""
LEAVING_AFTER_S = 0.8
"""A replica that turns requests away with room for that long is leaving; one that
changes its layers says so in the registry within a heartbeat."""
LEAVING_MEMORY_S = 4.0
"""Time until such a replica is tried again."""
SLOWNESS_MEMORY_S = 2.5
"""A slow replica is asked again before that while streams through it are silent."""


@attrs.define
class _Evidence:
    incarnation: tuple[str, int]
    failure_rate: float = 0.0
    latency_s: float = 0.0
    samples: int = 0
    exclusions: int = 0
    excluded_until_s: float = float("-inf")


@attrs.define
class _Suspicion:
    incarnation: tuple[str, int]
    until_s: float
    check_s: float
    is_lost: bool = False


@attrs.frozen
class _Slowness:
    factor: float
    until_s: float
    is_own: bool
    """Whether the replica told this host; a peer's word is not passed on."""


class HealthTable:
    """Hold the evidence about each replica."""

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}
        self._suspicions: dict[str, _Suspicion] = {}
        self._reported: dict[str, float] = {}
        self._slowness: dict[str, _Slowness] = {}
        self._refusing: dict[str, tuple[tuple[str, int], float]] = {}
        self._leaving: dict[str, float] = {}

    def own_slow(self, now_s: float) -> dict[str, float]:
        """Return the slowness of the replicas that this host itself asked."""
        return {
            key: each.factor
            for key, each in self._slowness.items()
            if each.is_own and each.until_s >= now_s
        }

    def found_slowness(
        self, replica_id: str, factor: float, now_s: float, *, is_own: bool = True
    ) -> None:
        """Take a replica's slowness, from its own report or from a peer."""
        known = self._slowness.get(replica_id)
        if not is_own and known is not None and known.is_own:
            return
        if factor > 1.0:
            until_s = now_s + SLOWNESS_MEMORY_S
            self._slowness[replica_id] = _Slowness(factor, until_s, is_own)
        else:
            self._slowness.pop(replica_id, None)

    def slowness(self, replica_id: str, now_s: float) -> float:
        """Return the factor on a replica's times, 1 where nothing else is known."""
        known = self._slowness.get(replica_id)
        if known is None:
            return 1.0
        if known.until_s < now_s:
            del self._slowness[replica_id]
            return 1.0
        return known.factor

    @property
    def lost(self) -> frozenset[str]:
        """Return the replicas that did not answer this host's question."""
        return frozenset(key for key, each in self._suspicions.items() if each.is_lost)

    def is_lost(self, replica_id: str, now_s: float) -> bool:
        """Return whether this host or a peer found a replica dead."""
        suspicion = self._suspicions.get(replica_id)
        return (
            (suspicion is not None and suspicion.is_lost)
            or self._reported.get(replica_id, 0.0) > now_s
            or self._leaving.get(replica_id, 0.0) > now_s
        )

    def refused_with_room(
        self, replica_id: str, incarnation: tuple[str, int], now_s: float
    ) -> None:
        """Note a refusal by a replica that lives and is not full."""
        self.exclude(replica_id, incarnation, now_s)
        known = self._refusing.get(replica_id)
        if known is None or known[0] != incarnation:
            self._refusing[replica_id] = (incarnation, now_s)
        elif now_s - known[1] >= LEAVING_AFTER_S:
            self._leaving[replica_id] = now_s + LEAVING_MEMORY_S

    def entry_changed(self, replica_id: str) -> None:
        """Forget refusals that a change of the replica's layers explains."""
        self._refusing.pop(replica_id, None)
        self._leaving.pop(replica_id, None)

    def suspect(
        self, replica_id: str, incarnation: tuple[str, int], now_s: float
    ) -> None:
        """Leave a replica out until it answers a question."""
        known = self._suspicions.get(replica_id)
        if known is not None and known.incarnation == incarnation:
            known.until_s = now_s + SUSPICION_S
            return
        self._suspicions[replica_id] = _Suspicion(
            incarnation, until_s=now_s + SUSPICION_S, check_s=now_s
        )

    def due_checks(self, now_s: float) -> tuple[str, ...]:
        """Return the suspected replicas to ask now."""
        due = []
        for replica_id, suspicion in list(self._suspicions.items()):
            if now_s >= suspicion.until_s and not suspicion.is_lost:
                del self._suspicions[replica_id]
            elif now_s >= suspicion.check_s:
                suspicion.check_s = now_s + CHECK_INTERVAL_S
                due.append(replica_id)
        return tuple(due)

    def checked(self, replica_id: str, *, answers: bool, now_s: float) -> bool:
        """Take the result of a question; return whether the replica was suspected."""
        suspicion = self._suspicions.get(replica_id)
        if suspicion is None:
            return False
        if answers:
            del self._suspicions[replica_id]
        else:
            suspicion.is_lost = True
            suspicion.check_s = now_s + CHECK_INTERVAL_S
        return True

    def peer_found_lost(self, replica_ids: Iterable[str], until_s: float) -> None:
        """Take a peer's word about dead replicas, which holds for a while."""
        for replica_id in replica_ids:
            self._reported[replica_id] = until_s

    def _of(self, replica_id: str, incarnation: tuple[str, int]) -> _Evidence:
        evidence = self._evidence.get(replica_id)
        if evidence is None or evidence.incarnation != incarnation:
            evidence = self._evidence[replica_id] = _Evidence(incarnation)
        return evidence

    def succeeded(
        self, replica_id: str, incarnation: tuple[str, int], latency_s: float
    ) -> None:
        """Note an answer and the time it took."""
        evidence = self._of(replica_id, incarnation)
        evidence.failure_rate *= 1 - FAILURE_WEIGHT
        self._refusing.pop(replica_id, None)
        evidence.exclusions = 0
        evidence.samples += 1
        weight = max(FAILURE_WEIGHT, 1 / evidence.samples)
        evidence.latency_s += weight * (latency_s - evidence.latency_s)

    def failed(self, replica_id: str, incarnation: tuple[str, int]) -> None:
        """Note an answer that reports an error."""
        evidence = self._of(replica_id, incarnation)
        evidence.failure_rate += FAILURE_WEIGHT * (1 - evidence.failure_rate)

    def exclude(
        self, replica_id: str, incarnation: tuple[str, int], now_s: float
    ) -> None:
        """Leave a replica out for a while that grows with each repetition."""
        evidence = self._of(replica_id, incarnation)
        if now_s < evidence.excluded_until_s:
            return
        pause_s = FIRST_EXCLUSION_S * 2.0**evidence.exclusions
        evidence.excluded_until_s = now_s + min(MAX_EXCLUSION_S, pause_s)
        evidence.exclusions += 1

    def is_excluded(self, replica_id: str, now_s: float) -> bool:
        """Return whether a replica is left out now."""
        if replica_id in self._suspicions:
            return True
        if self.is_lost(replica_id, now_s):
            return True
        evidence = self._evidence.get(replica_id)
        return evidence is not None and now_s < evidence.excluded_until_s

    def penalty(self, replica_id: str, usual_latency_s: float) -> float:
        """Return a factor of at least 1 for errors and slowness."""
        evidence = self._evidence.get(replica_id)
        if evidence is None:
            return 1.0
        factor = 1.0 + FAILURE_PENALTY * evidence.failure_rate
        if evidence.samples >= MIN_LATENCY_SAMPLES and usual_latency_s > 0:
            factor *= max(1.0, evidence.latency_s / usual_latency_s)
        return factor

    def latency_s(self, replica_id: str) -> float | None:
        """Return the moving mean of the answer times, None while unknown."""
        evidence = self._evidence.get(replica_id)
        if evidence is None or evidence.samples < MIN_LATENCY_SAMPLES:
            return None
        return evidence.latency_s

    def forget(self, known: set[str]) -> None:
        """Drop the evidence about replicas that are gone."""
        tables: tuple[dict[str, Any], ...] = (
            self._evidence,
            self._suspicions,
            self._reported,
            self._slowness,
            self._refusing,
            self._leaving,
        )
        for table in tables:
            for replica_id in table.keys() - known:
                del table[replica_id]
