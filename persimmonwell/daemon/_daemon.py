"""Entry host: construction of its components, their loops, start and shutdown."""

import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from persimmonwell._exceptions import PersimmonwellError, PlatformUnavailableError
from persimmonwell.core import Upstream
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.control import (
    CONFIG_STREAM,
    QUARANTINE_STREAM,
    AppendConfirmed,
    AppendRecords,
    AppendUncertain,
    BlameAnnounced,
    ControlDecision,
    ControlState,
    HostListRead,
    PlatformFailed,
    PutConfigInForce,
    UpdateFleet,
)
from persimmonwell.core.resources import CallerPolicy
from persimmonwell.core.router import (
    AnnounceBlame,
    CancelAttempt,
    ConfigChanged,
    FleetChanged,
    InflightCount,
    Probe,
    Router,
    RouterDecision,
    RouterEvent,
)
from persimmonwell.core.timeline import EventKind
from persimmonwell.daemon._claim_coordinator import ClaimCoordinator, claim_limits
from persimmonwell.daemon._control_actor import ControlActor, ControlPort
from persimmonwell.daemon._engine_monitor import EngineMonitor
from persimmonwell.daemon._fleet_routes import DrainSwitch
from persimmonwell.daemon._host_watch import host_departure_recorder
from persimmonwell.daemon._operator_wiring import (
    OperatorDependencies,
    build_operator_service,
    read_gauges,
)
from persimmonwell.daemon._outcome_reporter import UpstreamOutcomeReporter
from persimmonwell.daemon._peer_loop import PeerLoop
from persimmonwell.daemon._placement_controller import PlacementController
from persimmonwell.daemon._request_observer import RequestObserver
from persimmonwell.daemon._router_actor import (
    TICK_S,
    ActorRouterPort,
    RouterActor,
    RoutingCore,
    cancel_addresses,
    inflight_counts,
)
from persimmonwell.daemon._stream_reader import StreamReader
from persimmonwell.front import (
    CallerMemory,
    CallerService,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ThreadLimiter,
)
from persimmonwell.observe import (
    Metrics,
    Recorder,
    RenderedMetrics,
    part_logger,
)
from persimmonwell.platform import HostListClient, JsonLog, StoreClient
from persimmonwell.settings import Settings
from persimmonwell.upstream import EngineClient, ServiceClient

RETRY_DELAY_S = 0.2
WORKER_THREADS = 8
OPERATOR_THREADS = 16
OPERATOR_CONNECTIONS = 48
"""Connections of the operators' port: three times as many as its threads."""
MAX_OPERATOR_BODY_BYTES = 1024 * 1024


class Daemon:
    """One entry host with its ports, actors and background threads.

    core replaces the default router as the decision state of requests.
    """

    def __init__(
        self, settings: Settings, *, seed: int, core: RoutingCore | None = None
    ) -> None:
        self._settings = settings
        self._log = part_logger("daemon")
        self._draining = threading.Event()
        self._stopping = threading.Event()
        self._config: FleetConfig | None = None
        self._upstreams: tuple[Upstream, ...] = ()
        self._store = StoreClient(
            url=settings.platform.log_url, timeout_s=settings.platform.timeout_s
        )
        self._log_client = JsonLog(self._store)
        self._host_list = HostListClient(
            url=settings.platform.host_list_url, timeout_s=settings.platform.timeout_s
        )
        engines = settings.engines
        self._engines = EngineClient(
            connect_timeout_s=engines.connect_timeout_s,
            first_frame_timeout_s=engines.first_frame_timeout_s,
            stall_timeout_s=engines.stall_timeout_s,
        )
        self._services = ServiceClient(connect_timeout_s=engines.connect_timeout_s)
        self._workers = ThreadPoolExecutor(WORKER_THREADS, "worker")
        self._drain_switch = DrainSwitch()
        self._metrics = Metrics()
        self._recorder = Recorder(
            host_id=settings.host_id, capacity=settings.timeline_events
        )
        self._observer = RequestObserver(self._recorder, self._metrics)
        self._outcome_reporter = UpstreamOutcomeReporter(
            lambda event: self._control.post_event(event)
        )
        self._record_departures = host_departure_recorder(self._recorder)
        self._engine_monitor = EngineMonitor(
            engines=self._engines,
            workers=self._workers,
            post_event=self._post_router_event,
            availability_zone=settings.availability_zone,
            polls_per_s=engines.load_polls_per_s,
        )
        router = core or Router(
            host_id=settings.host_id,
            availability_zone=settings.availability_zone,
            seed=seed,
            expected_hosts=settings.expected_hosts,
        )
        self._router = ActorRouterPort(
            RouterActor.start(
                router,
                execute_decision=self._execute_router_decision,
                observe=self._observe_router_event,
            )
        )
        self._peers = PeerLoop(
            settings.peers,
            post_control_event=lambda event: self._control.post_event(event),
            post_router_event=self._router.post_event,
            recorder=self._recorder,
            read_inflight=self._read_inflight,
        )
        control = ControlState(
            host_id=settings.host_id,
            availability_zone=settings.availability_zone,
            address=self._peers.address,
            operator_address=settings.operators.address,
            incarnation=time.time_ns() // 1_000_000,
            heartbeat_s=settings.peers.heartbeat_s,
        )
        self._control = ControlPort(
            ControlActor.start(control, execute_decision=self._execute_control_decision)
        )
        incarnation = uuid.uuid4().hex
        self._orders = PlacementController(
            log=self._log_client,
            settings=settings,
            incarnation=incarnation,
            current_config=lambda: self._config,
            current_upstreams=lambda: self._upstreams,
            recorder=self._recorder,
        )
        self._claims = ClaimCoordinator(
            log=self._log_client,
            host_id=settings.host_id,
            incarnation=incarnation,
            limits=claim_limits(settings.platform, settings.expected_hosts),
            recorder=self._recorder,
            metrics=self._metrics,
        )
        # Bodies that wait for memory hold a thread.
        waiting = max(1, settings.callers.threads // 4)
        self._caller_memory = CallerMemory(
            settings.limits.memory_mb, CallerPolicy(max_waiting_uploads=waiting)
        )
        self._caller_server = self._build_caller_server()
        self._operator_server = self._build_operator_server()
        self._threads: list[threading.Thread] = []

    @property
    def caller_address(self) -> str:
        """Return the bound address of the callers' port."""
        return self._caller_server.address

    @property
    def addresses(self) -> dict[str, str]:
        """Return the bound address of each port by the name of its settings section."""
        return {
            "callers": self.caller_address,
            "operators": self.operator_address,
            "peers": self.peer_address,
        }

    @property
    def operator_address(self) -> str:
        """Return the bound address of the operators' port."""
        return self._operator_server.address

    @property
    def peer_address(self) -> str:
        """Return the bound address of the peers' port."""
        return self._peers.address

    @property
    def recorder(self) -> Recorder:
        """Return the recorder of this host's timeline."""
        return self._recorder

    def _build_caller_server(self) -> HttpServer:
        callers = self._settings.callers
        service = CallerService(
            router=self._router,
            engines=self._engines,
            services=self._services,
            current_config=lambda: self._config,
            thread_limiter=ThreadLimiter(threads=callers.threads),
            claims=self._claims,
            count_dropped_frame=lambda dropped: self._metrics.count_dropped_frame(
                dropped.reason.value
            ),
            new_token_timer=self._metrics.new_token_timer,
        )

        def handle(http: HttpRequest) -> HttpResponse:
            try:
                return service.handle(http)
            except PersimmonwellError as error:
                self._metrics.count_refusal(error.code)
                raise

        return HttpServer(
            address=callers.address,
            threads=callers.threads,
            max_body_bytes=callers.max_body_bytes,
            max_header_bytes=callers.max_header_bytes,
            io_timeout_s=callers.io_timeout_s,
            handler=handle,
            tls=callers.tls,
            drain_timeout_s=self._settings.drain_timeout_s,
            memory=self._caller_memory,
            count_ended=self._count_ended_client,
        )

    def _build_operator_server(self) -> HttpServer:
        service = build_operator_service(
            OperatorDependencies(
                host_id=self._settings.host_id,
                token=self._settings.operators.token,
                control=self._control,
                router=self._router,
                claims=self._claims,
                orders=self._orders,
                recorder=self._recorder,
                drain_switch=self._drain_switch,
                current_config=lambda: self._config,
                is_draining=self._is_draining,
                on_drain_change=self._log_drain_change,
                render_metrics=self._render_metrics,
            )
        )
        return HttpServer(
            address=self._settings.operators.address,
            threads=OPERATOR_THREADS,
            max_body_bytes=MAX_OPERATOR_BODY_BYTES,
            io_timeout_s=self._settings.callers.io_timeout_s,
            handler=service.handle,
            tls=self._settings.operators.tls,
            max_connections=OPERATOR_CONNECTIONS,
            memory=self._caller_memory,
            count_ended=self._count_ended_client,
        )

    def _count_ended_client(self, reason: str) -> None:
        self._metrics.count_refusal(reason)
        part_logger("http").warning("client outside the limits: {}", reason)

    def _is_draining(self) -> bool:
        return self._draining.is_set() or self._drain_switch.is_drained

    def _log_drain_change(self, is_drained: bool) -> None:
        word = "on" if is_drained else "off"
        self._log.info("drain switched {} by an operator", word)

    def _render_metrics(self, accept: str) -> RenderedMetrics:
        threads_in_use = {
            "callers": self._caller_server.threads_in_use,
            "operators": self._operator_server.threads_in_use,
        }
        readings = read_gauges(
            host_id=self._settings.host_id,
            control=self._control,
            observer=self._observer,
            recorder=self._recorder,
            threads_in_use=threads_in_use,
            config_version=0 if self._config is None else self._config.version,
        )
        return self._metrics.render(readings, accept=accept)

    def start(self) -> None:
        """Open the ports and start the background threads.

        Raise OSError if a port cannot be opened, after closing those already open.
        """
        zone = self._settings.availability_zone
        self._log.info("starting in availability zone {}", zone)
        self._operator_server.start()
        self._log.info("operators' port open at {}", self.operator_address)
        try:
            self._caller_server.start()
        except OSError:
            self._operator_server.close()
            raise
        self._log.info("callers' port open at {}", self.caller_address)
        self._peers.start()
        loops = (
            self._stream_loop(CONFIG_STREAM),
            self._stream_loop(QUARANTINE_STREAM),
            self._read_hosts_loop,
            self._tick_loop,
            self._peer_loop,
        )
        for loop in loops:
            thread = threading.Thread(target=loop, daemon=True, name=loop.__name__)
            thread.start()
            self._threads.append(thread)
        self._engine_monitor.start()
        self._claims.start()
        self._orders.start()

    def close(self) -> None:
        """Drain: stop accepting, wait for requests in flight, then stop all threads."""
        self._draining.set()
        self._log.info("draining, {} requests in flight", self._router.in_flight())
        # The load balancer sends new requests until it notices that the host is not
        # ready.
        time.sleep(self._settings.drain_notice_s)
        self._caller_server.close()
        self._wait_until_idle()
        self._log.info("callers' port closed")
        self._claims.close()
        self._stopping.set()
        self._engine_monitor.close()
        self._orders.close()
        self._operator_server.close()
        self._log.info("operators' port closed")
        for thread in self._threads:
            thread.join()
        self._workers.shutdown(wait=True, cancel_futures=True)
        self._engines.close()
        self._services.close()
        self._store.close()
        self._host_list.close()
        self._peers.close()
        self._router.close()
        self._control.close()
        self._log.info("stopped")

    def _wait_until_idle(self) -> None:
        deadline_s = time.monotonic() + self._settings.drain_timeout_s
        while self._router.in_flight() and time.monotonic() < deadline_s:
            time.sleep(TICK_S)

    def _execute_router_decision(self, decision: RouterDecision) -> None:
        match decision:
            case CancelAttempt(request_id, attempt, _):
                for address in cancel_addresses(decision):
                    self._workers.submit(
                        self._engines.cancel, address, request_id, attempt
                    )
            case Probe():
                self._engine_monitor.probe(decision)
            case AnnounceBlame(digest, upstream_id):
                self._control.post_event(BlameAnnounced(digest, upstream_id))

    def _observe_router_event(
        self, event: RouterEvent, decisions: tuple[RouterDecision, ...]
    ) -> None:
        self._outcome_reporter.observe(event, decisions, time.monotonic())
        self._observer.observe(event, decisions)

    def _read_inflight(self) -> tuple[InflightCount, ...]:
        return self._router.inspect(inflight_counts)

    def _post_router_event(self, event: RouterEvent) -> None:
        self._router.post_event(event)

    def _execute_control_decision(self, decision: ControlDecision) -> None:
        match decision:
            case PutConfigInForce(config):
                self._config = config
                self._router.post_event(ConfigChanged(config))
                detail = f"version {config.version}"
                self._recorder.record(EventKind.CONFIG_IN_FORCE, detail=detail)
                part_logger("config").info("version {} in force", config.version)
            case UpdateFleet(upstreams, replicas, live_hosts):
                self._engine_monitor.update_fleet(upstreams)
                self._upstreams = upstreams
                self._router.post_event(FleetChanged(upstreams, replicas, live_hosts))
            case AppendRecords():
                self._workers.submit(self._append_records, decision)
            case _:
                self._peers.execute_decision(decision)

    def _append_records(self, decision: AppendRecords) -> None:
        try:
            offsets = self._log_client.append(decision.stream, decision.records)
        except PlatformUnavailableError as error:
            self._metrics.count_platform_failure(error.service)
            part_logger("platform").warning("append to the log failed, {}", error)
            self._stopping.wait(RETRY_DELAY_S)
            self._control.post_event(AppendUncertain(decision.append_id))
            return
        self._control.post_event(AppendConfirmed(decision.append_id, offsets))

    def _stream_loop(self, stream: str) -> Callable[[], None]:
        reader = StreamReader(
            stream=stream,
            log=self._log_client,
            control=self._control,
            count_failure=self._metrics.count_platform_failure,
        )

        def read_stream() -> None:
            reader.run(self._stopping)

        return read_stream

    def _peer_loop(self) -> None:
        self._peers.run(self._stopping)

    def _read_hosts_loop(self) -> None:
        interval_s = self._settings.platform.host_list_interval_s
        self._repeat_read(self._read_host_list, pause_s=interval_s)

    def _read_host_list(self) -> None:
        hosts = self._host_list.read()
        self._record_departures(hosts)
        self._control.post_event(HostListRead(hosts))

    def _tick_loop(self) -> None:
        while not self._stopping.wait(TICK_S):
            self._router.tick()

    def _repeat_read(self, read: Callable[[], None], *, pause_s: float) -> None:
        """Repeat a read from the platform, also after failures, until shutdown."""
        while not self._stopping.is_set():
            try:
                read()
            except PlatformUnavailableError as error:
                self._metrics.count_platform_failure(error.service)
                part_logger("platform").warning(
                    "read of the host list failed, {}", error
                )
                self._control.post_event(PlatformFailed(error.service))
                self._stopping.wait(RETRY_DELAY_S)
                continue
            self._stopping.wait(pause_s)
