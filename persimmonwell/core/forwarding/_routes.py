"""Look-up of the route, the tenant and the service of a request."""

from collections import defaultdict

import attrs

from persimmonwell.core.forwarding._model import (
    CallerRequest,
    ForwardingConfig,
    Route,
    ServiceSpec,
    Tenant,
)


@attrs.frozen
class ResolvedRoute:
    """Route, tenant and service that the configuration gives one request."""

    route: Route
    tenant: Tenant | None
    service: ServiceSpec


class RouteResolutionError(Exception):
    """Base class of the reasons for which a request cannot be resolved."""


class UnknownRouteError(RouteResolutionError):
    """Raised for a host and path that no route matches."""


class UnknownKeyError(RouteResolutionError):
    """Raised for a missing or unknown API key."""


class UnsendableTenantError(RouteResolutionError):
    """Raised for a tenant whose name no upstream can be told."""

    def __init__(self, tenant: Tenant) -> None:
        super().__init__(f"tenant {tenant.name!a} cannot be sent to an upstream")


class RouteTable:
    """One version of the configuration, indexed by host, path prefix and API key."""

    def __init__(self, config: ForwardingConfig) -> None:
        self._config = config
        self._prefixes: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in config.routes:
            self._prefixes[route.host.lower()][route.prefix] = route
        self._services = {service.name: service for service in config.services}
        self._tenant_by_key = {
            key: tenant for tenant in config.tenants or () for key in tenant.keys
        }

    @property
    def config(self) -> ForwardingConfig:
        """Return the configuration that the table was built from."""
        return self._config

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service by name."""
        return self._services.get(name)

    def resolve(self, request: CallerRequest, *, draw: float) -> ResolvedRoute:
        """Return the route, tenant and service of a request.

        draw, in [0, 1), selects the service of a traffic split. Raises
        UnknownRouteError, UnknownKeyError or UnsendableTenantError.
        """
        route = self._match_prefix(request.host, request.path)
        if route is None:
            raise UnknownRouteError(request.path)
        tenant = self._tenant_by_key.get(request.api_key) if request.api_key else None
        if tenant is None and self._config.requires_keys and not route.is_public:
            raise UnknownKeyError
        if tenant is not None and not tenant.can_be_sent:
            raise UnsendableTenantError(tenant)
        service = self._services.get(_pick_service(route, draw))
        if service is None:
            raise UnknownRouteError(request.path)
        return ResolvedRoute(route=route, tenant=tenant, service=service)

    def _match_prefix(self, host: str, target: str) -> Route | None:
        prefixes = self._prefixes.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        # Prefixes end with a slash, so only positions of slashes can match.
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _pick_service(route: Route, draw: float) -> str:
    total = sum(choice.weight for choice in route.services)
    remaining = draw * total
    for choice in route.services:
        remaining -= choice.weight
        if remaining < 0:
            return choice.service
    return route.services[-1].service
