"""Arrival of requests: route and tenant by the configuration in force."""

import random
from collections.abc import Sequence
from functools import partial
from itertools import product

from persimmonwell.core.forwarding._active import (
    NO_WORKSPACE,
    ActiveRequest,
    PriorityClass,
)
from persimmonwell.core.forwarding._caller_retries import CallerRetryTracker
from persimmonwell.core.forwarding._crashes import CrashTracker
from persimmonwell.core.forwarding._events import Decision, Ending, Finish
from persimmonwell.core.forwarding._model import CallerRequest, ForwardingConfig
from persimmonwell.core.forwarding._open_requests import (
    NOT_READY_RETRY_AFTER_S,
    OpenRequests,
)
from persimmonwell.core.forwarding._routes import (
    ResolvedRoute,
    RouteResolutionError,
    RouteTable,
    UnknownKeyError,
    UnsendableTenantError,
)
from persimmonwell.core.forwarding._sends import RequestSender
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from persimmonwell.core.forwarding._workspace_usage import WorkspaceTokens

DEFAULT_CALLER_TIMEOUT_S = 30.0
"""Timeout of a caller that does not state one."""
UNSENDABLE_RETRY_AFTER_S = 60.0
"""Retry-After to a tenant that only another configuration lets in."""
STOPPING_RETRY_AFTER_S = 0.1
"""Retry-After of a host that stops; the other hosts are ready."""


class RequestArrivals:
    """Configuration in force, by which new requests are sent, queued or refused."""

    def __init__(
        self,
        *,
        requests: OpenRequests,
        sender: RequestSender,
        upstreams: UpstreamPool,
        crashes: CrashTracker,
        caller_retries: CallerRetryTracker,
        rng: random.Random,
    ) -> None:
        self._requests = requests
        self._sender = sender
        self._upstreams = upstreams
        self._crashes = crashes
        self._caller_retries = caller_retries
        self._random = rng
        self._route_table: RouteTable | None = None
        self.peer_config_version = 0
        """Newest configuration version that a live peer has read."""
        self._known_classes: frozenset[PriorityClass] = frozenset()
        """Priority classes that the configuration in force allows for."""

    @property
    def config(self) -> ForwardingConfig | None:
        """Return the configuration in force."""
        return self._route_table.config if self._route_table is not None else None

    @property
    def _is_behind_peers(self) -> bool:
        version = self.config.version if self.config is not None else 0
        return version < self.peer_config_version

    def configure(self, config: ForwardingConfig) -> bool:
        """Apply a newer configuration; return False for one that is not newer."""
        current = self.config
        if current is not None and config.version <= current.version:
            return False
        self._route_table = RouteTable(config)
        self._upstreams.retain_services({spec.name for spec in config.services})
        of_routes = {route.priority for route in config.routes}
        of_tenants = {
            tenant.priority
            for tenant in config.tenants or ()
            if tenant.priority is not None
        }
        self._known_classes = frozenset(product(of_routes | of_tenants, of_routes))
        return True

    def configured_rows(
        self, config: ForwardingConfig, rows: Sequence[WorkspaceTokens]
    ) -> list[WorkspaceTokens]:
        """Return the rows of what the configuration in force names."""
        services = {service.name for service in config.services}
        workspaces = {tenant.name for tenant in config.tenants or ()} | {NO_WORKSPACE}
        return [
            row
            for row in rows
            if row.service in services
            and row.workspace in workspaces
            and row.priority_class in self._known_classes
        ]

    def request_arrived(
        self, key: int, request: CallerRequest, now_s: float
    ) -> tuple[Decision, ...]:
        """Send, queue or refuse a new request."""
        not_ready = partial(Finish, key, Ending.NOT_READY)
        if self._requests.is_stopping:
            return (not_ready(STOPPING_RETRY_AFTER_S, "stop"),)
        if self._route_table is None:
            return (not_ready(NOT_READY_RETRY_AFTER_S, "no config"),)
        try:
            resolved = self._route_table.resolve(request, draw=self._random.random())
        except RouteResolutionError as error:
            if self._is_behind_peers:
                # A newer configuration may have the route or the key.
                return (not_ready(NOT_READY_RETRY_AFTER_S, "configuration is behind"),)
            if isinstance(error, UnknownKeyError):
                return (Finish(key, Ending.UNKNOWN_KEY),)
            if isinstance(error, UnsendableTenantError):
                return (
                    Finish(
                        key,
                        Ending.UNSENDABLE_TENANT,
                        UNSENDABLE_RETRY_AFTER_S,
                        detail=str(error),
                    ),
                )
            return (Finish(key, Ending.UNKNOWN_ROUTE, detail=request.path),)
        active = self._requests.active[key] = _open_request(
            key, request, resolved, now_s
        )
        active.is_caller_retry = self._caller_retries.pop_refusal(request.digest, now_s)
        state = self._requests.state_of(active)
        state.budget.record_request(now_s)
        active.is_trial = self._crashes.begin_trial(request, now_s)
        if (cause := self._sender.quarantine_cause(active)) is not None:
            return (self._requests.finish(active, Ending.QUARANTINED, cause),)
        if not self._upstreams.available(active.service.name):
            return (self._requests.finish(active, Ending.NOT_READY, "no replica"),)
        hold_off_s = self._upstreams.hold_off_s(active.service.name, now_s)
        if hold_off_s > active.max_wait_s:
            return (
                self._requests.refuse(active, "replicas hold off", hold_off_s, now_s),
            )
        if state.queue.count_ahead_of(active) == 0 or self._sender.may_precede(
            active, now_s
        ):
            send = self._sender.try_send(active, now_s)
            if send is not None:
                return (send,)
        return self._sender.enqueue(active, now_s)


def _open_request(
    key: int, request: CallerRequest, resolved: ResolvedRoute, now_s: float
) -> ActiveRequest:
    timeout_s = request.timeout_s
    if timeout_s is None:
        timeout_s = DEFAULT_CALLER_TIMEOUT_S
    return ActiveRequest(
        key=key,
        request=request,
        route=resolved.route,
        service=resolved.service,
        tenant=resolved.tenant,
        arrived_s=now_s,
        deadline_s=now_s + min(timeout_s, resolved.route.timeout_s),
    )
