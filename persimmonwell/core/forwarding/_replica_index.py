"""Replicas by service and zone, with the tables of stages for searches of paths."""

from collections import defaultdict
from collections.abc import Hashable

import attrs

from persimmonwell.core.forwarding._model import EngineSpec, Replica
from persimmonwell.core.forwarding._paths import StageTable
from persimmonwell.core.forwarding._registry import ReplicaRegistry
from persimmonwell.core.forwarding._statements import LeavingReplicas

MAX_KEPT_TABLES = 64
"""Tables of stages that are kept, one for each zone and set of excluded replicas."""


@attrs.define
class _IndexState:
    """Replicas that neither drain nor leave, by service and by zone."""

    registry_version: int
    leaving_version: int
    by_service: dict[str, tuple[Replica, ...]]
    by_zone: dict[tuple[str, str], tuple[Replica, ...]]
    tables: dict[Hashable, StageTable] = attrs.field(factory=dict)
    """By service, zone and the ids of the excluded replicas."""
    joined: tuple[str, ...] = ()
    """Replicas that were not in the index before, or with other layers."""


class ReplicaIndex:
    """Replicas that neither drain nor leave; it follows the registry."""

    def __init__(self, registry: ReplicaRegistry, leaving: LeavingReplicas) -> None:
        self._registry = registry
        self._leaving = leaving
        self._state = _IndexState(-1, -1, {}, {})

    def available(self, service: str) -> tuple[Replica, ...]:
        """Return the registered replicas of a service that do not leave."""
        return self._current().by_service.get(service, ())

    def in_zone(self, service: str, zone: str) -> tuple[Replica, ...]:
        """Return those of the available replicas that are in a zone."""
        return self._current().by_zone.get((service, zone), ())

    def zones(self, service: str) -> set[str]:
        """Return the zones of the available replicas of a service."""
        return {zone for name, zone in self._current().by_zone if name == service}

    def pop_joined(self) -> tuple[str, ...]:
        """Return the replicas that joined or changed layers since the last call."""
        index = self._current()
        joined, index.joined = index.joined, ()
        return joined

    def stage_table(
        self, service: str, zone: str, excluded: frozenset[str], spec: EngineSpec
    ) -> StageTable:
        """Return the table of a zone's stages without the excluded replicas."""
        index = self._current()
        key = (service, zone, excluded)
        table = index.tables.get(key)
        if table is not None and table.spec == spec:
            return table
        replicas = index.by_zone.get((service, zone), ())
        table = StageTable((r for r in replicas if r.replica_id not in excluded), spec)
        if len(index.tables) >= MAX_KEPT_TABLES:
            del index.tables[next(iter(index.tables))]
        index.tables[key] = table
        return table

    def _current(self) -> _IndexState:
        """Return the index, built anew if the registry or the leaving ones changed."""
        state = self._state
        registry_version = self._registry.version
        leaving_version = self._leaving.version
        if (
            state.registry_version == registry_version
            and state.leaving_version == leaving_version
        ):
            return state
        leaving = self._leaving.incarnations
        before = {
            replica.replica_id: (replica.incarnation, replica.layers)
            for replicas in self._state.by_service.values()
            for replica in replicas
        }
        joined = list(self._state.joined)
        by_service: dict[str, list[Replica]] = defaultdict(list)
        by_zone: dict[tuple[str, str], list[Replica]] = defaultdict(list)
        for replica in self._registry.replicas.values():
            if replica.is_draining or (leaving and replica.incarnation in leaving):
                continue
            by_service[replica.service].append(replica)
            by_zone[replica.service, replica.availability_zone].append(replica)
            known = before.get(replica.replica_id)
            # When a host starts, all replicas are new to it alone.
            if before and known != (replica.incarnation, replica.layers):
                joined.append(replica.replica_id)
        self._state = _IndexState(
            registry_version,
            leaving_version,
            {name: tuple(replicas) for name, replicas in by_service.items()},
            {zone: tuple(replicas) for zone, replicas in by_zone.items()},
            joined=tuple(joined),
        )
        return self._state
