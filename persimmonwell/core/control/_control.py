"""Compose configuration and membership into one event-driven state."""

import attrs

from persimmonwell._exceptions import ConfigConflictError, DocumentError
from persimmonwell.core._fleet import EntryHost, HostList
from persimmonwell.core.config import (
    CONFIG_SCHEMA,
    Accepted,
    ConfigFold,
    Conflict,
    FleetConfig,
    Invalid,
)
from persimmonwell.core.control import _events as ev
from persimmonwell.core.control._decisions import (
    AppendRecords,
    ControlDecision,
    PatchSettled,
    PutConfigInForce,
    UpdateFleet,
)

CONFIG_STREAM = "config"


class Control:
    """Hold what one host knows of configuration and membership."""

    def __init__(self, *, host_id: str, availability_zone: str) -> None:
        self._host_id = host_id
        self._availability_zone = availability_zone
        self._config_fold = ConfigFold()
        self._config_known = False
        self._hosts = HostList(as_of_s=0.0)
        self._pending_patches: dict[str, ev.PatchSubmitted] = {}
        self._appends: dict[int, AppendRecords] = {}
        self._last_append_id = 0

    @property
    def config(self) -> FleetConfig:
        """Return the configuration in force."""
        return self._config_fold.config

    @property
    def config_fold(self) -> ConfigFold:
        """Return the fold of the config stream."""
        return self._config_fold

    @property
    def ready(self) -> bool:
        """Return whether the host has read the configuration at least once."""
        return self._config_known

    @property
    def hosts(self) -> HostList:
        """Return the hosts currently believed to exist."""
        return self._hosts

    @property
    def entry_hosts(self) -> tuple[EntryHost, ...]:
        """Return the entry hosts currently believed to exist."""
        return self._hosts.entry_hosts

    def handle(
        self, event: ev.ControlEvent, now_s: float
    ) -> tuple[ControlDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        match event:
            case ev.HostListRead(hosts):
                return self._host_list_read(hosts)
            case ev.RecordsRead():
                return self._records_read(event)
            case ev.PatchSubmitted():
                return self._patch_submitted(event)
            case ev.AppendConfirmed(append_id, _):
                self._appends.pop(append_id, None)
                return ()
            case ev.AppendUncertain(append_id):
                append = self._appends.get(append_id)
                return () if append is None else (append,)
            case _:
                return ()

    def _host_list_read(self, hosts: HostList) -> tuple[ControlDecision, ...]:
        if not hosts.upstreams and not hosts.replicas:
            return ()
        self._hosts = hosts
        return (self._fleet_update(),)

    def _fleet_update(self) -> UpdateFleet:
        overrides = self.config.upstreams.values()
        drained = {override.upstream_id for override in overrides if override.drained}
        upstreams = tuple(
            attrs.evolve(u, leaving=u.leaving or u.upstream_id in drained)
            for u in self._hosts.upstreams
        )
        replicas = tuple(
            attrs.evolve(r, leaving=r.leaving or r.replica_id in drained)
            for r in self._hosts.replicas
        )
        return UpdateFleet(
            upstreams=upstreams,
            replicas=replicas,
            live_hosts=max(1, len(self._hosts.entry_hosts)),
        )

    def _records_read(self, event: ev.RecordsRead) -> tuple[ControlDecision, ...]:
        decisions: list[ControlDecision] = []
        before = self._config_fold.version
        for record in event.records:
            result = self._config_fold.apply(record)
            if isinstance(result, Accepted | Conflict | Invalid):
                decisions.extend(self._settle(result))
        newly_known = not self._config_known
        if self._config_fold.next_offset >= event.next_offset:
            self._config_known = True
        if self._config_known and (newly_known or self._config_fold.version > before):
            decisions.insert(0, PutConfigInForce(self.config))
            decisions.append(self._fleet_update())
        return tuple(decisions)

    def _settle(
        self, result: Accepted | Conflict | Invalid
    ) -> tuple[ControlDecision, ...]:
        if self._pending_patches.pop(result.patch_id, None) is None:
            return ()
        version = self._config_fold.version
        match result:
            case Accepted(patch_id, version):
                return (PatchSettled(patch_id, version, None),)
            case Conflict(patch_id, base, current):
                error = ConfigConflictError(base_version=base, current_version=current)
                return (PatchSettled(patch_id, version, error),)
            case Invalid(patch_id, faults):
                return (PatchSettled(patch_id, version, DocumentError(faults)),)

    def _patch_submitted(self, patch: ev.PatchSubmitted) -> tuple[ControlDecision, ...]:
        self._pending_patches[patch.patch_id] = patch
        self._last_append_id += 1
        append = AppendRecords(
            append_id=self._last_append_id,
            stream=CONFIG_STREAM,
            records=(
                {
                    "type": "patch",
                    "schema": CONFIG_SCHEMA,
                    "id": patch.patch_id,
                    "base_version": patch.base_version,
                    "merge": patch.merge,
                    "author": patch.author,
                },
            ),
        )
        self._appends[append.append_id] = append
        return (append,)
