"""What a host has read from the store: the configuration and the registry."""

import asyncio
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from persimmonwell.core.forwarding import (
    ForwardingConfig,
    ForwardingRouter,
    RegistryRecord,
    StoreVersions,
)
from persimmonwell.gateway._gateway import Gateway
from persimmonwell.gateway._store_followers import (
    CONFIG_FOLLOWER,
    REPLICA_FOLLOWER,
    StoreRead,
)
from persimmonwell.observe import DecisionLog

REREGISTRATION_S = 2.0
"""Time in which live replicas write their entries to a restored store again."""
MAX_REJECTED_ENTRIES = 256
"""Rejected registry entries that are remembered, the newest ones."""
MAX_LOGGED_TENANTS = 16
MAX_LOGGED_CHARACTERS = 64
"""Names of refused tenants in a line, and characters of each."""


class StoreUpdates:
    """Versions of the store's content that are in force, and the store's status."""

    def __init__(
        self,
        *,
        router: ForwardingRouter,
        gateway: Gateway,
        log: DecisionLog,
        notify_zone: Callable[[], None],
        request_read: Callable[[str], None],
    ) -> None:
        self._router = router
        self._gateway = gateway
        self._log = log
        self._notify_zone = notify_zone
        self._request_read = request_read
        self._store_available: dict[str, bool] = {}
        """Whether the store answered the last call, by follower."""
        self._rejected_entries: dict[str, str] = {}
        """Reasons by key of the registry entries that name no usable replica."""
        self.config_document = b""
        """Document of the configuration in force, as it stands in the store."""

    @property
    def versions(self) -> StoreVersions:
        """Return the versions of the configuration and the registry."""
        config = self._router.config
        return StoreVersions(
            config_version=config.version if config is not None else 0,
            registry_offset=self._router.registry.last_change_offset,
            registry_era=self._router.registry.era,
        )

    @property
    def reads_store(self) -> bool:
        """Return whether the last read of the registry succeeded."""
        return self._store_available.get(REPLICA_FOLLOWER, False)

    @property
    def reads_config(self) -> bool:
        """Return whether the last read of the configuration succeeded."""
        return self._store_available.get(CONFIG_FOLLOWER, False)

    def apply_config(self, config: ForwardingConfig, document: bytes) -> None:
        """Put a configuration in force, unless it is not newer."""
        if self._router.configure(config):
            self.config_document = document
            self._log.write(
                "config",
                "in_force",
                version=config.version,
                routes=len(config.routes),
                tenants=len(config.tenants) if config.tenants is not None else None,
            )
            refused = [
                tenant.name[:MAX_LOGGED_CHARACTERS]
                for tenant in config.tenants or ()
                if not tenant.can_be_sent
            ]
            if refused:
                self._log.write(
                    "config",
                    "tenants_refused",
                    count=len(refused),
                    tenants=refused[:MAX_LOGGED_TENANTS],
                )
            self._notify_zone()
            return
        current = self._router.config
        if current is not None and config.version < current.version:
            self._log.write(
                "config", "older_read", version=config.version, kept=current.version
            )

    def log_rejected_config(self, reason: str) -> None:
        """Log a configuration that cannot be used."""
        current = self._router.config
        kept = current.version if current is not None else None
        self._log.write("config", "rejected", reason=reason, kept=kept)

    def log_rejected_entry(self, key: str, reason: str) -> None:
        """Log an entry that names no usable replica once, not at each read."""
        if self._rejected_entries.pop(key, None) != reason:
            self._gateway.metrics.count_event("entries_rejected")
            self._log.write("store", "entry_rejected", key=key[:256], reason=reason)
        self._rejected_entries[key] = reason
        while len(self._rejected_entries) > MAX_REJECTED_ENTRIES:
            del self._rejected_entries[next(iter(self._rejected_entries))]

    def apply_registry_records(
        self, records: tuple[RegistryRecord, ...], end_offset: int | None, era: int
    ) -> None:
        """Apply entries, all of them if end_offset is that of the whole list."""
        registry = self._router.registry
        now_s = time.monotonic()
        if era > registry.era and registry.newest_offset >= 0:
            # A host that does not read continuously sees the entries that are written
            # again only in another list.
            asyncio.get_running_loop().call_later(
                REREGISTRATION_S, self._request_read, REPLICA_FOLLOWER
            )
        with self.registry_change(now_s):
            if end_offset is not None:
                registry.replace(records, now_s, end_offset=end_offset, era=era)
            else:
                registry.apply(records, now_s)

    @contextmanager
    def registry_change(self, now_s: float) -> Iterator[None]:
        """Log the entries that a block changes and tell the router and the zone."""
        registry = self._router.registry
        before = dict(registry.replicas)
        change_offset = registry.last_change_offset
        yield
        after = registry.replicas
        for replica_id in registry.take_late():
            self._gateway.metrics.count_event("late_heartbeats")
            self._log.write("registry", "late_heartbeat", replica=replica_id)
        # Compared by identity first, as most entries are the same objects.
        changed_replicas = {
            replica_id: after.get(replica_id)
            for replica_id in before.keys() | after.keys()
            if before.get(replica_id) is not after.get(replica_id)
            and before.get(replica_id) != after.get(replica_id)
        }
        if not changed_replicas:
            if registry.last_change_offset != change_offset:
                # A correction of what other hosts may have read.
                self._notify_zone()
            return
        for replica_id, new in changed_replicas.items():
            old = before.get(replica_id)
            self._log.write(
                "registry",
                "gone" if new is None else "seen" if old is None else "changed",
                replica=replica_id,
                draining=new.is_draining if new is not None else None,
                layers=(
                    f"{new.layers.start}-{new.layers.stop}"
                    if new is not None and new.layers is not None
                    else None
                ),
            )
        self._gateway.execute(self._router.registry_changed(changed_replicas, now_s))
        self._notify_zone()

    def record_store_status(
        self, follower: str, is_available: bool, reason: str
    ) -> None:
        """Record whether the store answered a follower."""
        registry = self._router.registry
        if not is_available:
            self._gateway.metrics.count_event("store_failed")
        if follower == REPLICA_FOLLOWER:
            # Reported after the records of the first successful read were handled.
            (
                registry.mark_store_available
                if is_available
                else registry.mark_store_unavailable
            )()
        if self._store_available.get(follower, True) is not is_available:
            event = "regained" if is_available else "lost"
            self._log.write("store", event, follower=follower, reason=reason)
        self._store_available[follower] = is_available

    def log_resumed_read(self, read: StoreRead) -> None:
        """Log the first read after the store was unavailable."""
        self._log.write(
            "store",
            "read_resumed",
            follower=read.follower,
            era=read.era,
            from_offset=read.from_offset,
            end_offset=read.end_offset,
            records=read.record_count,
        )
