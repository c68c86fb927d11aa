"""Exchange of a host's state with its peers, and what follows from theirs."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from persimmonwell.core.forwarding import (
    PEER_REFUSAL_TTL_S,
    ForwardingRouter,
    HandoverPolicy,
    PeerStatus,
    ReadMark,
    RegistryChanges,
    ZoneReaders,
    count_readers,
    should_be_reader,
    should_plan_without_store,
)
from persimmonwell.gateway._gateway import Gateway
from persimmonwell.gateway._peer_datagrams import (
    SEND_INTERVAL_S,
    LocalState,
    PeerDatagrams,
    PeerReport,
)
from persimmonwell.gateway._placement_duty import PlacementDuty
from persimmonwell.gateway._state_handover import (
    HandedState,
    HandoverCallbacks,
    StateFetcher,
)
from persimmonwell.gateway._store_followers import (
    CONFIG_FOLLOWER,
    REPLICA_FOLLOWER,
    StoreFollowers,
)
from persimmonwell.gateway._store_updates import StoreUpdates
from persimmonwell.observe import DecisionLog
from persimmonwell.settings import ForwarderSettings

RELAY_AGE_S = 4.0
"""Time for which a change is repeated to the zone, some reports to each host."""
MAX_RELAYED_CHANGES = 30
"""Changes in one datagram, some 3 KB; a host that missed more reads the store."""
MAX_BATCH_CHANGES = 100
"""Changes of one batch for the zone after a read, some 10 KB."""


class PeerExchange:
    """Datagrams to and from the peers, and the handover of state between hosts."""

    def __init__(
        self,
        settings: ForwarderSettings,
        *,
        seed: int,
        router: ForwardingRouter,
        gateway: Gateway,
        duty: PlacementDuty,
        followers: StoreFollowers,
        store: StoreUpdates,
        log: DecisionLog,
        call_on_loop: Callable[[Callable[..., None]], Callable[..., Any]],
    ) -> None:
        self._settings = settings
        self._router = router
        self._gateway = gateway
        self._duty = duty
        self._followers = followers
        self._store = store
        self._log = log
        self._handover = HandoverPolicy(
            availability_zone=settings.availability_zone, seed=seed
        )
        self._readers = ZoneReaders(
            valid_s=followers.fallback_interval_s(REPLICA_FOLLOWER)
        )
        budget = gateway.admission.budget
        self._state_fetcher = StateFetcher(
            port=settings.metrics_port,
            callbacks=HandoverCallbacks(
                on_state=call_on_loop(self._apply_handed_state),
                on_failure=call_on_loop(self._log_failed_handover),
                on_received=call_on_loop(budget.open_charge("peers").force),
            ),
        )
        self._state_timer: asyncio.TimerHandle | None = None
        self.datagrams = PeerDatagrams(
            host_id=settings.host_id,
            availability_zone=settings.availability_zone,
            local_address=(settings.ip, settings.peer_port),
            seeds=frozenset(seed.host for seed in settings.seeds),
            local_state=self._local_state,
            on_report=self._apply_peer_report,
            on_mark=self._apply_mark,
            clock=time.monotonic,
            charge=budget.open_charge("peers"),
        )

    def start(self) -> None:
        """Send the state to the peers at regular intervals."""
        self._send_state()

    def set_unread_bounds(self, bounds_s: Mapping[str, float]) -> None:
        """Set the time after which a change in the store must be known."""
        self._followers.set_unread_bounds(bounds_s)
        self._readers.valid_s = self._followers.fallback_interval_s(REPLICA_FOLLOWER)

    def close(self) -> None:
        """Stop the exchange."""
        if self._state_timer is not None:
            self._state_timer.cancel()
        self.datagrams.close()

    def notify_zone(self) -> None:
        """Send changes to the hosts of the zone, if this host is their reader."""
        if not self._followers.reads_continuously:
            return
        batches: tuple[RegistryChanges, ...] = ()
        if self._store.reads_store:
            batches = self._router.registry.take_batches(
                time.monotonic(), max_age_s=RELAY_AGE_S, limit=MAX_BATCH_CHANGES
            )
        self.datagrams.send_to_zone(batches)

    def announce_read(self, follower: str, started_s: float) -> None:
        """Tell the zone that this host has read the registry and what it knows."""
        if follower == REPLICA_FOLLOWER:
            self.datagrams.send_mark(
                ReadMark(
                    store_versions=self._store.versions,
                    reads_config=self._store.reads_config,
                    age_s=time.monotonic() - started_s,
                )
            )

    def may_plan_without_store(self) -> bool:
        """Return whether this host plans its zone while the store is unavailable."""
        return not self._store.reads_store and should_plan_without_store(
            self._settings.host_id,
            self._settings.availability_zone,
            self.datagrams.live_peers,
        )

    def _local_state(self) -> LocalState:
        return LocalState(
            loads=self._router.loads.local,
            lost=self._router.health.lost,
            slow=self._router.health.local_slowness(time.monotonic()),
            reads_store=self._store.reads_store,
            holds_duty=self._duty.is_held,
            is_reader=self._followers.reads_continuously,
            store_versions=self._store.versions,
            refused=self._router.caller_retries.recent_digests(time.monotonic()),
            cause_evidence=self._router.crashes.changed_evidence(time.monotonic()),
            repeated_evidence=self._router.crashes.unchanged_evidence(time.monotonic()),
            quarantine_mark=self._router.crashes.mark,
            leaving=self._router.leaving.notices(time.monotonic()),
            usage=self._router.workspace_usage.heaviest(time.monotonic()),
            memory=self._router.loads.full_stages.newest(time.monotonic()),
            registry_changes=self._relayed_changes(),
        )

    def _relayed_changes(self) -> RegistryChanges | None:
        if not (self._followers.reads_continuously and self._store.reads_store):
            return None
        return self._router.registry.changes(
            time.monotonic(), max_age_s=RELAY_AGE_S, limit=MAX_RELAYED_CHANGES
        )

    def _apply_peer_report(self, report: PeerReport) -> None:
        now_s = time.monotonic()
        health = self._router.health
        until_s = now_s + report.valid_s
        zone = report.status.availability_zone
        is_of_zone = zone == self._settings.availability_zone
        self._router.loads.set_peer_loads(
            report.host_id,
            report.loads,
            until_s,
            zone_reported_s=now_s if is_of_zone else None,
        )
        if not is_of_zone:
            self._router.loads.zone_reports.record(report.host_id, zone, now_s)
        for row in report.memory:
            self._router.loads.full_stages.merge(row, now_s)
        health.record_peer_lost(report.lost, until_s)
        for replica_id, factor in report.slow.items():
            health.record_slowness(replica_id, factor, now_s, is_local=False)
        self._router.caller_retries.record_peer_refusals(
            report.refused, now_s + PEER_REFUSAL_TTL_S
        )
        self._router.record_peer_usage(report.host_id, report.usage, now_s)
        for evidence in report.cause_evidence:
            self._gateway.execute(self._router.record_peer_evidence(evidence, now_s))
        for notice in report.leaving:
            self._gateway.execute(self._router.record_peer_notice(notice, now_s))
        self._follow_reader(report, now_s)

    def _follow_reader(self, report: PeerReport, now_s: float) -> None:
        """Take over what a host of the zone has read from the store, or read it too."""
        status = report.status
        if status.availability_zone != self._settings.availability_zone:
            # The readers of this zone find the same changes at the same interval.
            return
        if not (status.is_reader and status.reads_store):
            return
        newest_version = status.store_versions.config_version
        if newest_version > self._store.versions.config_version:
            self._followers.request_read(CONFIG_FOLLOWER)
        registry = self._router.registry
        if report.registry_changes is None:
            versions = status.store_versions
            if (
                versions.registry_era != registry.era
                or versions.registry_offset > registry.newest_offset
            ):
                self._followers.request_read(REPLICA_FOLLOWER)
            return
        with self._store.registry_change(now_s):
            is_complete = (
                registry.apply_changes(report.registry_changes, now_s) is not None
            )
        if is_complete:
            # The reader's word also shows that the store is back after an outage.
            registry.mark_store_available()
        else:
            self._followers.request_read(REPLICA_FOLLOWER)

    def _apply_mark(self, status: PeerStatus, mark: ReadMark) -> None:
        """Take note that a host of the zone has read the store.

        Missed changes follow in its reports. Until then the mark confirms nothing.
        """
        if status.availability_zone != self._settings.availability_zone:
            return
        read_s = self._readers.record(status.host_id, mark, time.monotonic())
        versions, registry = mark.store_versions, self._router.registry
        if versions.config_version > self._store.versions.config_version:
            self._followers.request_read(CONFIG_FOLLOWER)
        elif mark.reads_config:
            self._followers.confirm(CONFIG_FOLLOWER, read_s)
        if (
            versions.registry_era == registry.era
            and versions.registry_offset <= registry.newest_offset
        ):
            self._followers.confirm(REPLICA_FOLLOWER, read_s)

    def _request_handover(self, live_peers: tuple[PeerStatus, ...]) -> None:
        """Ask a peer for what this host could not read from the store."""
        source = self._handover.source(
            live_peers,
            self._store.versions,
            time.monotonic(),
            has_registry=self._router.registry.newest_offset >= 0,
            reads_store=self._store.reads_store,
        )
        address = self.datagrams.address_of(source.host_id) if source else None
        if address is not None:
            self._state_fetcher.fetch(address)

    def _apply_handed_state(self, peer: str, state: HandedState) -> None:
        registry = self._router.registry
        config, changes = state.config, state.registry
        self._log.write(
            "peers",
            "state_handed_over",
            peer=peer,
            config=config.version if config is not None else None,
            replicas=len(changes.records) if changes is not None else None,
            era=changes.era if changes is not None else None,
        )
        if config is not None:
            self._store.apply_config(config, state.config_document)
        # The store may have answered in the meantime.
        if changes is not None and (
            registry.newest_offset < 0
            or (changes.era > registry.era and not self._store.reads_store)
        ):
            end_offset = changes.end_offset + 1
            self._store.apply_registry_records(changes.records, end_offset, changes.era)

    def _log_failed_handover(self, peer: str, reason: str) -> None:
        self._log.write("peers", "handover_failed", peer=peer, reason=reason)

    def _choose_reading(self, live_peers: tuple[PeerStatus, ...]) -> None:
        readers = self._readers.readers(live_peers, time.monotonic())
        reads = should_be_reader(
            self._settings.host_id, self._settings.availability_zone, readers
        )
        if reads is not self._followers.reads_continuously:
            self._log.write(
                "peers",
                "reads_for_zone" if reads else "relies_on_readers",
                readers=sorted(reader.host_id for reader in readers),
            )
        self._followers.set_continuous_reading(reads)

    def _send_state(self) -> None:
        # Scheduled first, so that an unexpected error does not end the exchange.
        self._state_timer = asyncio.get_running_loop().call_later(
            SEND_INTERVAL_S, self._send_state
        )
        zone = self._settings.availability_zone
        live_peers = self.datagrams.live_peers
        hosts_by_zone = Counter(peer.availability_zone for peer in live_peers)
        hosts_by_zone[zone] += 1
        self._choose_reading(live_peers)
        self._followers.set_reader_count(count_readers(zone, live_peers))
        self._router.peer_config_version = max(
            (peer.store_versions.config_version for peer in live_peers), default=0
        )
        self._followers.confirm_responsive()
        self._request_handover(live_peers)
        self._router.crashes.set_hosts(
            self._settings.host_id, (peer.host_id for peer in live_peers)
        )
        self._router.rate_limits.set_hosts(hosts_by_zone)
        # Hosts hidden by a network partition still use their share of the fleet's
        # retry budget, so the count never decreases.
        self._router.host_count = max(self._router.host_count, hosts_by_zone.total())
        self.datagrams.send()
        self._gateway.pool.close_expired()
        self._gateway.admission.log_suppressed()
