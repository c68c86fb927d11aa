"""Construction of the operators' service, and the gauge values of the metrics."""

from collections.abc import Callable, Mapping

import attrs

from persimmonwell.core.config import FleetConfig
from persimmonwell.daemon._claim_coordinator import ClaimCoordinator
from persimmonwell.daemon._config_routes import config_routes
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.daemon._fleet_routes import DrainSwitch, drain_routes, fleet_routes
from persimmonwell.daemon._operator_service import OperatorService, health_routes
from persimmonwell.daemon._operator_views import (
    QuarantineView,
    claims_view,
    limits_view,
)
from persimmonwell.daemon._orders_routes import orders_routes
from persimmonwell.daemon._placement_controller import PlacementController
from persimmonwell.daemon._request_observer import RequestObserver
from persimmonwell.daemon._router_actor import ActorRouterPort
from persimmonwell.daemon._state_routes import (
    claims_routes,
    limits_routes,
    quarantine_routes,
)
from persimmonwell.daemon._view_routes import metrics_routes, timeline_routes
from persimmonwell.observe import GaugeReadings, Recorder, RenderedMetrics


@attrs.frozen(kw_only=True)
class OperatorDependencies:
    """Components and callbacks that the operators' routes need."""

    host_id: str
    token: str | None
    control: ControlPort
    router: ActorRouterPort
    claims: ClaimCoordinator
    orders: PlacementController
    recorder: Recorder
    drain_switch: DrainSwitch
    current_config: Callable[[], FleetConfig | None]
    is_draining: Callable[[], bool]
    on_drain_change: Callable[[bool], None]
    render_metrics: Callable[[str], RenderedMetrics]


def build_operator_service(dependencies: OperatorDependencies) -> OperatorService:
    """Return the handler of the operators' port with all its routes."""
    host_id, control, router = (
        dependencies.host_id,
        dependencies.control,
        dependencies.router,
    )
    return OperatorService(
        token=dependencies.token,
        open_routes=health_routes(
            host_id=host_id, control=control, is_draining=dependencies.is_draining
        ),
        routes=(
            *config_routes(host_id=host_id, control=control),
            *fleet_routes(host_id=host_id, control=control),
            *drain_routes(
                host_id=host_id,
                switch=dependencies.drain_switch,
                in_flight=router.in_flight,
                on_change=dependencies.on_drain_change,
            ),
            *limits_routes(
                host_id=host_id,
                read_limits=limits_view(router, dependencies.current_config),
            ),
            *quarantine_routes(
                host_id=host_id, quarantine=QuarantineView(router, control)
            ),
            *claims_routes(
                host_id=host_id, find_claim=claims_view(dependencies.claims.find_claim)
            ),
            *orders_routes(host_id=host_id, orders=dependencies.orders),
            *timeline_routes(dependencies.recorder),
            *metrics_routes(dependencies.render_metrics),
        ),
    )


def read_gauges(
    *,
    host_id: str,
    control: ControlPort,
    observer: RequestObserver,
    recorder: Recorder,
    threads_in_use: Mapping[str, int],
    config_version: int,
) -> GaugeReadings:
    """Return the gauge values, which are read each time metrics are rendered."""
    hosts = control.inspect(lambda state: state.entry_hosts)
    return GaugeReadings(
        queued=observer.queued,
        in_flight=observer.in_flight,
        threads_in_use=threads_in_use,
        config_version=config_version,
        peers=sum(host.host_id != host_id for host in hosts),
        timeline_overwritten=recorder.overwritten,
        rejected_stamps=recorder.rejected_stamps,
    )
