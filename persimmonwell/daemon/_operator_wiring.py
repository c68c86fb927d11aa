"""Build the operators' routes and read the values behind the metrics."""

from collections.abc import Callable, Mapping

import attrs

from persimmonwell.core.config import FleetConfig
from persimmonwell.daemon._claims_part import ClaimsPart
from persimmonwell.daemon._config_routes import config_routes
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.daemon._fleet_routes import DrainSwitch, drain_routes, fleet_routes
from persimmonwell.daemon._operator_service import OperatorService, health_routes
from persimmonwell.daemon._operator_views import (
    QuarantineView,
    claims_view,
    limits_view,
)
from persimmonwell.daemon._orders_part import OrdersPart
from persimmonwell.daemon._orders_routes import orders_routes
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
class OperatorParts:
    """Hold the parts of a host that its operators' port shows."""

    host_id: str
    token: str | None
    control: ControlPort
    router: ActorRouterPort
    claims: ClaimsPart
    orders: OrdersPart
    recorder: Recorder
    drain_switch: DrainSwitch
    current_config: Callable[[], FleetConfig | None]
    is_draining: Callable[[], bool]
    drain_changed: Callable[[bool], None]
    render_metrics: Callable[[str], RenderedMetrics]


def operator_service(parts: OperatorParts) -> OperatorService:
    """Return the service of the operators' port with all its routes."""
    host_id, control, router = parts.host_id, parts.control, parts.router
    return OperatorService(
        token=parts.token,
        open_routes=health_routes(
            host_id=host_id, control=control, is_draining=parts.is_draining
        ),
        routes=(
            *config_routes(host_id=host_id, control=control),
            *fleet_routes(host_id=host_id, control=control),
            *drain_routes(
                host_id=host_id,
                switch=parts.drain_switch,
                in_flight=router.in_flight,
                changed=parts.drain_changed,
            ),
            *limits_routes(
                host_id=host_id, read=limits_view(router, parts.current_config)
            ),
            *quarantine_routes(
                host_id=host_id, quarantine=QuarantineView(router, control)
            ),
            *claims_routes(host_id=host_id, find=claims_view(parts.claims.find)),
            *orders_routes(host_id=host_id, orders=parts.orders),
            *timeline_routes(parts.recorder),
            *metrics_routes(parts.render_metrics),
        ),
    )


def read_metrics(
    *,
    host_id: str,
    control: ControlPort,
    observer: RequestObserver,
    recorder: Recorder,
    threads_in_use: Mapping[str, int],
    config_version: int,
) -> GaugeReadings:
    """Return the values that are read when metrics are rendered."""
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
