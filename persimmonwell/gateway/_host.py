"""Forwarding host: wires the gateway to the store, the peers and the platform."""

import asyncio
import os
import resource
import socket
import time
import traceback
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

import attrs

from persimmonwell.core.forwarding import (
    PEER_REFUSAL_TTL_S,
    ForwardingConfig,
    ForwardingRouter,
    HandoverPolicy,
    PeerStatus,
    RegistryChanges,
    RegistryRecord,
    StoreVersions,
    count_readers,
    should_be_reader,
    should_plan_without_store,
)
from persimmonwell.core.resources import (
    STATUS_BUFFER_BYTES,
    UPLOAD_BUFFER_BYTES,
    MemoryBudget,
    buffer_plan,
    buffered_connection_bound,
    caller_connection_bound,
    memory_budget_bytes,
)
from persimmonwell.gateway._gateway import Gateway
from persimmonwell.gateway._http_connection import set_buffer_sizes
from persimmonwell.gateway._peer_datagrams import (
    SEND_INTERVAL_S,
    LocalState,
    PeerDatagrams,
    PeerReport,
)
from persimmonwell.gateway._placement_duty import PlacementDuty
from persimmonwell.gateway._state_handover import (
    STATE_PATH,
    HandedState,
    HandoverCallbacks,
    StateFetcher,
    encode_state,
)
from persimmonwell.gateway._status_server import (
    ACCEPTS_PER_TURN as STATUS_ACCEPTS_PER_TURN,
)
from persimmonwell.gateway._status_server import Answer, RecentAnswer, StatusServer
from persimmonwell.gateway._store_followers import (
    CONFIG_FOLLOWER,
    REPLICA_FOLLOWER,
    StoreCallbacks,
    StoreFollowers,
    StoreRead,
)
from persimmonwell.observe import DecisionLog
from persimmonwell.settings import Endpoint, ForwarderSettings

BACKLOG = 1024
"""Listen backlog; when it is full, new connections are delayed by seconds."""
ACCEPTS_PER_TURN = 32
"""Connections of callers that are accepted in one turn of the event loop. Each is
counted two turns later, so that up to 64 exceed the bound for that time."""
DEREGISTRATION_S = 2.2
"""Time in which the platform stops sending new connections: it probes readiness each
second and deregisters a host after two failed probes."""
RELAY_AGE_S = 4.0
"""Time for which a change is repeated to the zone, some reports to each host."""
MAX_RELAYED_CHANGES = 30
"""Changes in one datagram, some 3 KB; a host that missed more reads the store."""
REREGISTRATION_S = 2.0
"""Time in which live replicas write their entries to a restored store again."""
MAX_REJECTED_ENTRIES = 256
"""Rejected registry entries that are remembered, the newest ones."""
MAX_TRACE_CHARACTERS = 4000
MAX_LOGGED_CAUSES = 256
"""Causes of unexpected errors whose trace is logged once; later ones log it anew."""
GRACE_MARGIN_S = 0.4
"""Part of the grace time that is left for closing."""
LAST_ANSWERS_S = 0.1
"""Part of GRACE_MARGIN_S in which the callers' connections take their last answers."""
DRAIN_CHECK_INTERVAL_S = 0.1
DRAIN_MIN_IDLE_S = 0.5
"""Time that a stopping host gives a new connection to send its first request."""
ARRIVALS_AFTER_STOP_S = 3.0
"""Time after the signal to stop from which requests that arrive are refused; a stream
that starts later may not end within the grace time."""
REFUSE_WAITING_S = 1.0
"""Time before the end of the grace time at which requests that wait are refused."""


class GatewayHost:
    """Forwarding host with its listening sockets, store followers and peers."""

    def __init__(self, settings: ForwarderSettings, *, seed: int) -> None:
        self._settings = settings
        self._log = DecisionLog(host_id=settings.host_id)
        self._router = ForwardingRouter(
            availability_zone=settings.availability_zone,
            seed=seed,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            retry_window_s=settings.retry_window_s,
        )
        self._router.host_count = max(1, len(settings.seeds))
        caller_bound = min(
            caller_connection_bound(settings.max_fds, _process_limit()),
            buffered_connection_bound(settings.memory_mb),
        )
        self._gateway = Gateway(
            router=self._router,
            log=self._log,
            seed=seed,
            caller_bound=caller_bound,
            on_leaving=lambda: self._peers.send_to_zone(),
            budget=MemoryBudget(
                memory_budget_bytes(settings.memory_mb), policy=settings.caller_policy
            ),
            caller_policy=settings.caller_policy,
            buffer_plan=buffer_plan(settings.memory_mb, caller_bound),
        )
        self._duty = PlacementDuty(
            router=self._router,
            pool=self._gateway.pool,
            log=self._log,
            availability_zone=settings.availability_zone,
            may_plan_without_store=self._may_plan_without_store,
        )
        self._servers: list[asyncio.Server] = []
        self._status_servers: list[StatusServer] = []
        self._state_answer = RecentAnswer(self._encode_state, clock=time.monotonic)
        self._metrics_answer = RecentAnswer(
            lambda: self._gateway.metrics.render(), clock=time.monotonic
        )
        self._callers_socket: socket.socket | None = None
        self._store_available: dict[str, bool] = {}
        """Whether the store answered the last call, by follower."""
        self._rejected_entries: dict[str, str] = {}
        self._logged_errors: set[str] = set()
        """Causes of the unexpected errors whose trace is in the log."""
        """Reasons by key of the registry entries that name no usable replica."""
        self._config_document = b""
        """Document of the configuration in force, as it stands in the store."""
        self._handover = HandoverPolicy(
            availability_zone=settings.availability_zone, seed=seed
        )
        self._state_fetcher = StateFetcher(
            port=settings.metrics_port,
            callbacks=HandoverCallbacks(
                on_state=self._call_on_loop(self._apply_handed_state),
                on_failure=self._call_on_loop(self._log_failed_handover),
            ),
        )
        self._loop: asyncio.AbstractEventLoop | None = None
        self._state_timer: asyncio.TimerHandle | None = None
        self._followers = StoreFollowers(
            url=f"http://{settings.store}",
            member=f"{settings.host_id}/{settings.ip}/{time.time_ns()}",
            callbacks=StoreCallbacks(
                on_config=self._call_on_loop(self._apply_config),
                on_invalid_config=self._call_on_loop(self._log_rejected_config),
                on_invalid_entry=self._call_on_loop(self._log_rejected_entry),
                on_replicas=self._call_on_loop(self._apply_registry_records),
                on_duty=self._call_on_loop(self._duty.set_lease),
                on_store_status=self._call_on_loop(self._record_store_status),
                on_read_resumed=self._call_on_loop(self._log_resumed_read),
                on_error=self._call_on_loop(self._log_follower_error),
            ),
        )
        self._peers = PeerDatagrams(
            host_id=settings.host_id,
            availability_zone=settings.availability_zone,
            local_address=(settings.ip, settings.peer_port),
            seeds=frozenset(seed.host for seed in settings.seeds),
            local_state=self._local_state,
            on_report=self._apply_peer_report,
            clock=time.monotonic,
        )

    async def start(self) -> None:
        """Listen on all ports, follow the store and exchange state with peers."""
        self._loop = asyncio.get_running_loop()
        self._loop.set_exception_handler(self._log_unexpected_error)
        self._log.start()
        try:
            await self._open_ports()
        except OSError as error:
            self._log.write("host", "start_failed", reason=str(error))
            self.close()
            raise
        self._add_gauges()
        self._followers.start()
        self._gateway.start()
        self._duty.start()
        self._send_state()
        self._log.write(
            "host",
            "started",
            zone=self._settings.availability_zone,
            callers=str(self._settings.callers),
            store=str(self._settings.store),
            memory_mb=self._settings.memory_mb,
            max_fds=self._settings.max_fds,
            process_fds=_process_limit(),
            caller_bound=self._gateway.caller_bound,
        )

    async def _open_ports(self) -> None:
        loop = asyncio.get_running_loop()
        settings = self._settings
        await self._listen_for_status(settings.readiness, self._answer_readiness)
        metrics = Endpoint(settings.ip, settings.metrics_port)
        await self._listen_for_status(metrics, self._answer_peers_and_metrics)
        if settings.control is not None:
            await self._listen_for_status(settings.control, self._answer_readiness)
        self._callers_socket = await self._listen(
            settings.callers,
            self._gateway.create_caller_connection,
            accepts_per_turn=ACCEPTS_PER_TURN,
            # Their connections set smaller ones; a window's scale is fixed before.
            buffer_bytes=UPLOAD_BUFFER_BYTES,
        )
        await loop.create_datagram_endpoint(
            lambda: self._peers, local_addr=(settings.ip, settings.peer_port)
        )

    async def _listen_for_status(
        self, endpoint: Endpoint, answer: Callable[[str], Answer]
    ) -> None:
        status_server = StatusServer(
            answer,
            clock=time.monotonic,
            on_terminated=lambda reason: self._gateway.record_client(
                "terminated", reason
            ),
        )
        self._status_servers.append(status_server)
        await self._listen(
            endpoint,
            status_server.create_connection,
            accepts_per_turn=STATUS_ACCEPTS_PER_TURN,
            buffer_bytes=STATUS_BUFFER_BYTES,
        )

    async def _listen(
        self,
        endpoint: Endpoint,
        factory: Callable[[], asyncio.BaseProtocol],
        *,
        accepts_per_turn: int,
        buffer_bytes: int,
    ) -> socket.socket:
        loop = asyncio.get_running_loop()
        listener = socket.create_server((endpoint.host, endpoint.port), backlog=BACKLOG)
        set_buffer_sizes(listener, receive_bytes=buffer_bytes, send_bytes=buffer_bytes)
        listener.setblocking(False)
        # The event loop accepts up to `backlog` connections in one turn, and only then
        # counts them; the length of the kernel's queue is set again afterwards.
        server = await loop.create_server(
            factory, sock=listener, backlog=accepts_per_turn
        )
        listener.listen(BACKLOG)
        self._servers.append(server)
        return listener

    async def drain(self) -> None:
        """Finish the requests in flight within the grace time, then close.

        The host accepts callers until the platform has deregistered it.
        """
        start_s = time.monotonic()
        self._gateway.is_draining = True
        self._followers.resign()
        self._log.write(
            "host", "stopping", open_requests=self._gateway.open_request_count
        )
        end_s = start_s + self._settings.grace_s - GRACE_MARGIN_S
        is_listening = True
        while (now_s := time.monotonic()) < end_s:
            if is_listening and now_s - start_s > DEREGISTRATION_S:
                is_listening = False
                await self._stop_listening()
            is_ending = now_s > end_s - REFUSE_WAITING_S
            if is_ending or now_s - start_s > ARRIVALS_AFTER_STOP_S:
                self._router.stop_arrivals()
            if is_ending:
                self._gateway.refuse_waiting()
            if not is_listening:
                self._gateway.close_idle_callers(min_idle_s=DRAIN_MIN_IDLE_S)
                if (
                    not self._gateway.open_request_count
                    and not self._gateway.caller_connection_count
                ):
                    break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        if self._gateway.open_request_count:
            self._gateway.end_open_requests()
            await asyncio.sleep(LAST_ANSWERS_S)
        self.close()

    async def _stop_listening(self) -> None:
        """Close the callers' listener, but keep the connections in its queue.

        The kernel resets a connection that was not accepted when the listener closes.
        """
        assert self._loop is not None and self._callers_socket is not None
        for _ in range(BACKLOG):
            try:
                connection, _ = self._callers_socket.accept()
            except OSError:
                # The queue is empty, or no descriptor is left; the stop goes on.
                break
            connection.setblocking(False)
            # Connected one at a time, so that each is counted before the next one.
            await self._loop.connect_accepted_socket(
                self._gateway.create_caller_connection, connection
            )
        self._servers[-1].close()

    def close(self) -> None:
        """Stop at once; open requests are aborted."""
        self._log.write(
            "host", "stopped", open_requests=self._gateway.open_request_count
        )
        self._followers.close()
        self._duty.close()
        self._gateway.close()
        for server in self._servers:
            server.close()
        for status_server in self._status_servers:
            status_server.close()
        if self._state_timer is not None:
            self._state_timer.cancel()
        self._peers.close()
        self._log.close()

    def reload(self, settings: ForwarderSettings) -> None:
        """Apply changed settings; changed addresses need a restart."""
        self._settings = attrs.evolve(
            self._settings,
            seeds=settings.seeds,
            grace_s=settings.grace_s,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            retry_window_s=settings.retry_window_s,
            caller_policy=settings.caller_policy,
        )
        self._gateway.set_caller_policy(settings.caller_policy)
        self._peers.set_seeds(frozenset(seed.host for seed in settings.seeds))
        self._router.set_retry_budget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
        )
        self._log.write(
            "host",
            "settings_read",
            seeds=len(settings.seeds),
            grace_s=settings.grace_s,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            callers_min_body_bytes_per_s=settings.caller_policy.min_body_bytes_per_s,
            callers_body_window_s=settings.caller_policy.body_window_s,
            callers_unread_answer_s=settings.caller_policy.unread_answer_s,
            callers_upload_wait_s=settings.caller_policy.upload_wait_s,
        )

    def reload_failed(self, reason: str) -> None:
        """Log that a reload was rejected; the previous settings stay in force."""
        self._log.write("host", "settings_rejected", reason=reason)

    def _log_follower_error(self, follower: str, error: Exception) -> None:
        assert self._loop is not None
        message = f"follower {follower} failed"
        self._log_unexpected_error(self._loop, {"message": message, "exception": error})

    def _log_unexpected_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an error of one callback, with its trace once; the host goes on."""
        self._gateway.metrics.count_event("unexpected_errors")
        error = context.get("exception")
        trace: list[str] = []
        if (cause := _error_cause(error)) not in self._logged_errors:
            trace = traceback.format_exception(error) if error is not None else []
            if len(self._logged_errors) < MAX_LOGGED_CAUSES:
                self._logged_errors.add(cause)
        self._log.write(
            "host",
            "unexpected_error",
            message=context.get("message"),
            error=repr(error)[:MAX_TRACE_CHARACTERS],
            trace="".join(trace)[-MAX_TRACE_CHARACTERS:] or None,
        )

    # Store

    def _call_on_loop(self, function: Callable[..., None]) -> Callable[..., None]:
        def call(*arguments: Any) -> None:
            assert self._loop is not None
            try:
                self._loop.call_soon_threadsafe(function, *arguments)
            except RuntimeError:
                # The loop is closed; the threads of the followers stop soon.
                return

        return call

    def _apply_config(self, config: ForwardingConfig, document: bytes) -> None:
        if self._router.configure(config):
            self._config_document = document
            self._log.write(
                "config",
                "in_force",
                version=config.version,
                routes=len(config.routes),
                tenants=len(config.tenants) if config.tenants is not None else None,
            )
            self._notify_zone()
            return
        current = self._router.config
        if current is not None and config.version < current.version:
            self._log.write(
                "config", "older_read", version=config.version, kept=current.version
            )

    def _log_rejected_config(self, reason: str) -> None:
        current = self._router.config
        kept = current.version if current is not None else None
        self._log.write("config", "rejected", reason=reason, kept=kept)

    def _log_rejected_entry(self, key: str, reason: str) -> None:
        """Log an entry that names no usable replica once, not at each read."""
        if self._rejected_entries.pop(key, None) != reason:
            self._gateway.metrics.count_event("entries_rejected")
            self._log.write("store", "entry_rejected", key=key[:256], reason=reason)
        self._rejected_entries[key] = reason
        while len(self._rejected_entries) > MAX_REJECTED_ENTRIES:
            del self._rejected_entries[next(iter(self._rejected_entries))]

    def _apply_registry_records(
        self, records: tuple[RegistryRecord, ...], end_offset: int | None, era: int
    ) -> None:
        registry = self._router.registry
        now_s = time.monotonic()
        if era > registry.era and registry.newest_offset >= 0:
            assert self._loop is not None
            # A host that does not read continuously sees the entries that are written
            # again only in another list.
            self._loop.call_later(
                REREGISTRATION_S, self._followers.request_read, REPLICA_FOLLOWER
            )
        with self._registry_change(now_s):
            if end_offset is not None:
                registry.replace(records, now_s, end_offset=end_offset, era=era)
            else:
                registry.apply(records, now_s)

    @contextmanager
    def _registry_change(self, now_s: float) -> Iterator[None]:
        """Log the entries that a block changes and tell the router and the zone."""
        registry = self._router.registry
        before = dict(registry.replicas)
        yield
        after = registry.replicas
        # Compared by identity first, as most entries are the same objects.
        changed_replicas = {
            replica_id: after.get(replica_id)
            for replica_id in before.keys() | after.keys()
            if before.get(replica_id) is not after.get(replica_id)
            and before.get(replica_id) != after.get(replica_id)
        }
        if not changed_replicas:
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

    def _record_store_status(
        self, follower: str, is_available: bool, reason: str
    ) -> None:
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

    def _log_resumed_read(self, read: StoreRead) -> None:
        self._log.write(
            "store",
            "read_resumed",
            follower=read.follower,
            era=read.era,
            from_offset=read.from_offset,
            end_offset=read.end_offset,
            records=read.record_count,
        )

    # Peers

    def _local_state(self) -> LocalState:
        return LocalState(
            loads=self._router.loads.local,
            lost=self._router.health.lost,
            slow=self._router.health.local_slowness(time.monotonic()),
            reads_store=self._reads_store,
            holds_duty=self._duty.is_held,
            is_reader=self._followers.reads_continuously,
            store_versions=self._store_versions,
            blames=self._router.crashes.blames(time.monotonic()),
            refused=self._router.caller_retries.recent_digests(time.monotonic()),
            part_evidence=self._router.crashes.part_evidence(time.monotonic()),
            leaving=self._router.leaving.notices(time.monotonic()),
            usage=self._router.workspace_usage.heaviest(time.monotonic()),
            registry_changes=self._relayed_changes(),
        )

    def _relayed_changes(self) -> RegistryChanges | None:
        if not (self._followers.reads_continuously and self._reads_store):
            return None
        return self._router.registry.changes(
            time.monotonic(), max_age_s=RELAY_AGE_S, limit=MAX_RELAYED_CHANGES
        )

    @property
    def _store_versions(self) -> StoreVersions:
        config = self._router.config
        return StoreVersions(
            config_version=config.version if config is not None else 0,
            registry_offset=self._router.registry.last_change_offset,
            registry_era=self._router.registry.era,
        )

    def _notify_zone(self) -> None:
        """Send changes to the hosts of the zone, if this host is their reader."""
        if self._followers.reads_continuously:
            self._peers.send_to_zone()

    @property
    def _reads_store(self) -> bool:
        return self._store_available.get(REPLICA_FOLLOWER, False)

    def _apply_peer_report(self, report: PeerReport) -> None:
        now_s = time.monotonic()
        health = self._router.health
        until_s = now_s + report.valid_s
        is_of_zone = report.status.availability_zone == self._settings.availability_zone
        self._router.loads.set_peer_loads(
            report.host_id,
            report.loads,
            until_s,
            zone_reported_s=now_s if is_of_zone else None,
        )
        health.record_peer_lost(report.lost, until_s)
        for replica_id, factor in report.slow.items():
            health.record_slowness(replica_id, factor, now_s, is_local=False)
        self._router.caller_retries.record_peer_refusals(
            report.refused, now_s + PEER_REFUSAL_TTL_S
        )
        self._router.record_peer_usage(report.host_id, report.usage, now_s)
        for blame in report.blames:
            self._gateway.execute(self._router.record_peer_blame(blame, now_s))
        for evidence in report.part_evidence:
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
        if newest_version > self._store_versions.config_version:
            self._followers.request_read(CONFIG_FOLLOWER)
        else:
            self._followers.confirm(CONFIG_FOLLOWER)
        registry = self._router.registry
        if report.registry_changes is None:
            versions = status.store_versions
            if (
                versions.registry_era != registry.era
                or versions.registry_offset > registry.newest_offset
            ):
                self._followers.request_read(REPLICA_FOLLOWER)
            return
        with self._registry_change(now_s):
            is_complete = (
                registry.apply_changes(report.registry_changes, now_s) is not None
            )
        if is_complete:
            # The reader's word also shows that the store is back after an outage.
            registry.mark_store_available()
            self._followers.confirm(REPLICA_FOLLOWER)
        else:
            self._followers.request_read(REPLICA_FOLLOWER)

    def _request_handover(self, live_peers: tuple[PeerStatus, ...]) -> None:
        """Ask a peer for what this host could not read from the store."""
        source = self._handover.source(
            live_peers,
            self._store_versions,
            time.monotonic(),
            has_registry=self._router.registry.newest_offset >= 0,
            reads_store=self._reads_store,
        )
        address = self._peers.address_of(source.host_id) if source else None
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
            self._apply_config(config, state.config_document)
        # The store may have answered in the meantime.
        if changes is not None and (
            registry.newest_offset < 0
            or (changes.era > registry.era and not self._reads_store)
        ):
            end_offset = changes.end_offset + 1
            self._apply_registry_records(changes.records, end_offset, changes.era)

    def _log_failed_handover(self, peer: str, reason: str) -> None:
        self._log.write("peers", "handover_failed", peer=peer, reason=reason)

    def _may_plan_without_store(self) -> bool:
        """Return whether this host plans its zone while the store is unavailable."""
        return not self._reads_store and should_plan_without_store(
            self._settings.host_id,
            self._settings.availability_zone,
            self._peers.live_peers,
        )

    def _send_state(self) -> None:
        assert self._loop is not None
        # Scheduled first, so that an unexpected error does not end the exchange.
        self._state_timer = self._loop.call_later(SEND_INTERVAL_S, self._send_state)
        zone = self._settings.availability_zone
        live_peers = self._peers.live_peers
        hosts_by_zone = Counter(peer.availability_zone for peer in live_peers)
        hosts_by_zone[zone] += 1
        self._followers.set_continuous_reading(
            should_be_reader(self._settings.host_id, zone, live_peers)
        )
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
        self._peers.send()
        self._gateway.pool.close_expired()
        self._gateway.log_suppressed_clients()

    # Readiness and metrics

    def _is_ready(self) -> bool:
        return self._router.is_ready and not self._gateway.is_draining

    def _answer_readiness(self, target: str) -> tuple[int, bytes]:
        return (200, b"ready\n") if self._is_ready() else (503, b"not ready\n")

    def _answer_peers_and_metrics(self, target: str) -> tuple[int, bytes]:
        if target == STATE_PATH:
            return 200, self._state_answer.read()
        return 200, self._metrics_answer.read()

    def _encode_state(self) -> bytes:
        return encode_state(self._config_document, self._router.registry.snapshot())

    def _read_bytes(self) -> Mapping[str, float]:
        return {
            **self._gateway.budget.used_by_purpose,
            "status": sum(each.unsent_bytes for each in self._status_servers),
        }

    def _read_descriptors(self) -> Mapping[str, float]:
        return {
            "callers": self._gateway.caller_connection_count,
            "status": sum(each.connection_count for each in self._status_servers),
            "total": _count_descriptors(),
        }

    def _add_gauges(self) -> None:
        metrics = self._gateway.metrics
        router = self._router
        metrics.add_gauge("open_requests", lambda: self._gateway.open_request_count)
        metrics.add_gauge("waiting_requests", lambda: router.queued_request_count)
        metrics.add_gauge_group(
            "waiting_requests_priority_",
            lambda: {
                str(priority): count
                for priority, count in router.queued_by_priority.items()
            },
        )
        metrics.add_gauge(
            "caller_connections", lambda: self._gateway.caller_connection_count
        )
        metrics.add_gauge("replicas", lambda: len(router.registry.replicas))
        metrics.add_gauge("hosts", lambda: router.host_count)
        shared = router.loads.shared
        metrics.add_gauge("zone_peers", lambda: shared.peer_count)
        metrics.add_gauge(
            "expected_stage_requests",
            lambda: sum(load.requests for load in shared.expected.values()),
        )
        metrics.add_gauge(
            "reads_store_often", lambda: float(self._followers.reads_continuously)
        )
        metrics.add_gauge("holds_duty", lambda: float(self._duty.is_held))
        metrics.add_gauge(
            "config_version",
            lambda: router.config.version if router.config is not None else 0,
        )
        metrics.add_gauge(
            "upstream_connections_opened", lambda: self._gateway.pool.opened_count
        )
        metrics.add_gauge("caller_connection_bound", lambda: self._gateway.caller_bound)
        metrics.set_resource_readers(
            read_bytes=self._read_bytes, read_descriptors=self._read_descriptors
        )


def _process_limit() -> int | None:
    """Return the operating system's limit on descriptors, None for no limit."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if limit == resource.RLIM_INFINITY else limit


def _count_descriptors() -> int:
    try:
        return len(os.listdir("/proc/self/fd"))
    except OSError:
        # No descriptor is left for the directory itself.
        return -1


def _error_cause(error: BaseException | None) -> str:
    """Return the type of an error and the line that raised it."""
    frames = traceback.extract_tb(error.__traceback__) if error is not None else []
    line = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__} {line}"
