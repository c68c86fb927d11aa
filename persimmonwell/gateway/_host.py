"""Run one host that forwards requests on the users' platform."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import attrs

from persimmonwell.core.forwarding import (
    CALLER_RETRY_WINDOW_S,
    ForwardingConfig,
    ForwardingRouter,
    RegistryRecord,
    StoreVersions,
    should_be_reader,
    should_plan_without_store,
)
from persimmonwell.gateway._gateway import Gateway
from persimmonwell.gateway._peer_datagrams import (
    SEND_INTERVAL_S,
    OwnState,
    PeerDatagrams,
    PeerReport,
)
from persimmonwell.gateway._placement_duty import PlacementDuty
from persimmonwell.gateway._small_server import SmallServerConnection
from persimmonwell.gateway._store_followers import (
    CONFIG_FOLLOWER,
    REPLICA_FOLLOWER,
    StoreEvents,
    StoreFollowers,
)
from persimmonwell.observe import DecisionLog
from persimmonwell.settings import Endpoint, ForwarderSettings

BACKLOG = 1024
"""A full queue of new connections delays callers by seconds."""
ROTATION_S = 2.2
"""The platform asks each second and takes a host out after two misses."""
GRACE_MARGIN_S = 0.4
DRAIN_CHECK_S = 0.1


class GatewayHost:
    """Hold the parts of one host."""

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
        self._gateway = Gateway(router=self._router, log=self._log, seed=seed)
        self._duty = PlacementDuty(
            router=self._router,
            pool=self._gateway.pool,
            log=self._log,
            availability_zone=settings.availability_zone,
            stands_in=self._stands_in,
        )
        self._servers: list[asyncio.Server] = []
        self._store_works: dict[str, bool] = {}
        """Whether the last call of each follower was answered."""
        self._loop: asyncio.AbstractEventLoop | None = None
        self._followers = StoreFollowers(
            url=f"http://{settings.store}",
            member=f"{settings.host_id}/{settings.ip}/{time.time_ns()}",
            events=StoreEvents(
                config=self._on_loop(self._take_config),
                bad_config=self._on_loop(self._reject_config),
                replicas=self._on_loop(self._take_replicas),
                duty=self._on_loop(self._duty.set_lease),
                store=self._on_loop(self._store_called),
            ),
        )
        self._peers = PeerDatagrams(
            host_id=settings.host_id,
            availability_zone=settings.availability_zone,
            own=(settings.ip, settings.peer_port),
            seeds=frozenset(seed.host for seed in settings.seeds),
            own_state=self._own_state,
            on_report=self._peer_reported,
            clock=time.monotonic,
        )

    async def start(self) -> None:
        """Open all ports and start following the store."""
        self._loop = asyncio.get_running_loop()
        self._log.start()
        settings = self._settings
        await self._serve(settings.readiness, lambda: SmallServerConnection(self._ask))
        metrics = Endpoint(settings.ip, settings.metrics_port)
        await self._serve(metrics, lambda: SmallServerConnection(self._show_metrics))
        if settings.control is not None:
            await self._serve(
                settings.control, lambda: SmallServerConnection(self._ask)
            )
        await self._serve(settings.callers, self._gateway.new_caller)
        await self._loop.create_datagram_endpoint(
            lambda: self._peers, local_addr=(settings.ip, settings.peer_port)
        )
        self._add_readings()
        self._followers.start()
        self._gateway.start()
        self._duty.start()
        self._send_loads()
        self._log.write(
            "host",
            "started",
            zone=settings.availability_zone,
            callers=str(settings.callers),
            store=str(settings.store),
            memory_mb=settings.memory_mb,
        )

    async def _serve(
        self, endpoint: Endpoint, factory: Callable[[], asyncio.Protocol]
    ) -> None:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            factory, endpoint.host, endpoint.port, backlog=BACKLOG
        )
        self._servers.append(server)

    async def drain(self) -> None:
        """Finish the requests in flight within the grace time and stop."""
        start_s = time.monotonic()
        self._gateway.is_draining = True
        self._followers.resign()
        self._log.write("host", "stopping", open_requests=self._gateway.open_requests)
        end_s = start_s + self._settings.grace_s - GRACE_MARGIN_S
        listening = True
        while time.monotonic() < end_s:
            drained_s = time.monotonic() - start_s
            if listening and drained_s > ROTATION_S:
                listening = False
                self._servers[-1].close()
            if not listening:
                self._gateway.close_idle_callers()
                if not self._gateway.open_requests and not self._gateway.connections:
                    break
            await asyncio.sleep(DRAIN_CHECK_S)
        self.close()

    def close(self) -> None:
        """Stop everything at once."""
        self._log.write("host", "stopped", open_requests=self._gateway.open_requests)
        self._followers.close()
        self._duty.close()
        self._gateway.close()
        for server in self._servers:
            server.close()
        self._log.close()

    def reload(self, settings: ForwarderSettings) -> None:
        """Take changed settings; addresses stay until the next start."""
        self._settings = attrs.evolve(
            self._settings,
            seeds=settings.seeds,
            grace_s=settings.grace_s,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            retry_window_s=settings.retry_window_s,
        )
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
        )

    def reload_failed(self, reason: str) -> None:
        """Keep the last good settings."""
        self._log.write("host", "settings_rejected", reason=reason)

    # Store

    def _on_loop(self, function: Callable[..., None]) -> Callable[..., None]:
        def call(*arguments: Any) -> None:
            assert self._loop is not None
            try:
                self._loop.call_soon_threadsafe(function, *arguments)
            except RuntimeError:
                # The loop is closed; the followers end with their next check.
                return

        return call

    def _take_config(self, config: ForwardingConfig) -> None:
        if self._router.configure(config):
            self._log.write(
                "config",
                "in_force",
                version=config.version,
                routes=len(config.routes),
                tenants=len(config.tenants),
            )
            self._tell_zone()

    def _reject_config(self, reason: str) -> None:
        current = self._router.config
        kept = current.version if current is not None else None
        self._log.write("config", "rejected", reason=reason, kept=kept)

    def _take_replicas(
        self, records: tuple[RegistryRecord, ...], end_offset: int | None
    ) -> None:
        registry = self._router.registry
        now_s = time.monotonic()
        before = dict(registry.replicas)
        if end_offset is not None:
            changed = registry.replace(records, now_s, end_offset=end_offset)
        else:
            changed = registry.apply(records, now_s)
        if not changed:
            return
        after = registry.replicas
        differing = {
            replica_id: after.get(replica_id)
            for replica_id in before.keys() | after.keys()
            if before.get(replica_id) != after.get(replica_id)
        }
        for replica_id, new in differing.items():
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
        self._gateway.execute(self._router.registry_changed(differing, now_s))
        self._tell_zone()

    def _store_called(self, follower: str, works: bool, reason: str) -> None:
        registry = self._router.registry
        if not works:
            self._gateway.metrics.count("store_failed")
        if follower == REPLICA_FOLLOWER:
            # Comes after the records of the first read that works again.
            (
                registry.mark_store_available
                if works
                else registry.mark_store_unavailable
            )()
        if self._store_works.get(follower, True) is not works:
            event = "regained" if works else "lost"
            self._log.write("store", event, follower=follower, reason=reason)
        self._store_works[follower] = works

    # Peers

    def _own_state(self) -> OwnState:
        return OwnState(
            loads=self._router.loads.local,
            lost=self._router.health.lost,
            slow=self._router.health.local_slowness(time.monotonic()),
            reads_store=self._reads_store,
            holds_duty=self._duty.is_held,
            is_reader=self._followers.reads_often,
            store_versions=self._store_versions,
            blames=self._router.crashes.blames(time.monotonic()),
            refused=self._router.caller_retries.recent_digests(time.monotonic()),
        )

    @property
    def _store_versions(self) -> StoreVersions:
        config = self._router.config
        return StoreVersions(
            config_version=config.version if config is not None else 0,
            registry_offset=self._router.registry.last_change_offset,
        )

    def _tell_zone(self) -> None:
        """Tell the hosts of the zone of news, if this one reads for them."""
        if self._followers.reads_often:
            self._peers.send_to_zone()

    @property
    def _reads_store(self) -> bool:
        return self._store_works.get(REPLICA_FOLLOWER, False)

    def _peer_reported(self, report: PeerReport) -> None:
        now_s = time.monotonic()
        health = self._router.health
        until_s = now_s + report.valid_s
        self._router.loads.set_peer_loads(report.host_id, report.loads, until_s)
        health.record_peer_lost(report.lost, until_s)
        for replica_id, factor in report.slow.items():
            health.record_slowness(replica_id, factor, now_s, is_local=False)
        self._router.caller_retries.record_peer_refusals(
            report.refused, now_s + CALLER_RETRY_WINDOW_S
        )
        for blame in report.blames:
            self._gateway.execute(self._router.record_peer_blame(blame, now_s))
        if report.store_versions.config_version > self._store_versions.config_version:
            self._followers.told_of_news(CONFIG_FOLLOWER)
        if report.store_versions.registry_offset > self._router.registry.newest_offset:
            self._followers.told_of_news(REPLICA_FOLLOWER)

    def _stands_in(self) -> bool:
        """Return whether this host orders for its zone while the store is away."""
        return not self._reads_store and should_plan_without_store(
            self._settings.host_id, self._settings.availability_zone, self._peers.live
        )

    def _send_loads(self) -> None:
        self._followers.read_often(
            should_be_reader(
                self._settings.host_id,
                self._settings.availability_zone,
                self._peers.live,
            )
        )
        self._peers.send()
        # A cut hides hosts that still use their part of the fleet's budget.
        self._router.host_count = max(
            self._router.host_count, 1 + len(self._peers.live)
        )
        self._gateway.pool.close_expired()
        assert self._loop is not None
        self._loop.call_later(SEND_INTERVAL_S, self._send_loads)

    # Small questions

    def _is_ready(self) -> bool:
        return self._router.is_ready and not self._gateway.is_draining

    def _ask(self, target: str) -> tuple[int, bytes]:
        return (200, b"ready\n") if self._is_ready() else (503, b"not ready\n")

    def _show_metrics(self, target: str) -> tuple[int, bytes]:
        return 200, self._gateway.metrics.render()

    def _add_readings(self) -> None:
        metrics = self._gateway.metrics
        router = self._router
        metrics.add_reading("open_requests", lambda: self._gateway.open_requests)
        metrics.add_reading("waiting_requests", lambda: router.queued_request_count)
        metrics.add_reading("caller_connections", lambda: self._gateway.connections)
        metrics.add_reading("replicas", lambda: len(router.registry.replicas))
        metrics.add_reading("hosts", lambda: router.host_count)
        metrics.add_reading(
            "reads_store_often", lambda: float(self._followers.reads_often)
        )
        metrics.add_reading("holds_duty", lambda: float(self._duty.is_held))
        metrics.add_reading(
            "config_version",
            lambda: router.config.version if router.config is not None else 0,
        )
        metrics.add_reading(
            "upstream_connections_opened", lambda: self._gateway.pool.opened
        )
