"""Find the route, the workspace and the service of a request."""

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
class Resolved:
    """Hold what the configuration says about one request."""

    route: Route
    tenant: Tenant | None
    service: ServiceSpec


class NotResolved(Exception):  # noqa: N818
    """Be the base of the reasons for which a request has no route."""


class UnknownRoute(NotResolved):
    """Report a path that no route covers."""


class UnknownKey(NotResolved):
    """Report a missing or unknown key."""


class RouteTable:
    """Hold one version of the configuration, indexed for look-ups."""

    def __init__(self, config: ForwardingConfig) -> None:
        self._config = config
        self._prefixes: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in config.routes:
            self._prefixes[route.host.lower()][route.prefix] = route
        self._services = {service.name: service for service in config.services}
        self._tenants = {
            key: tenant for tenant in config.tenants for key in tenant.keys
        }

    @property
    def config(self) -> ForwardingConfig:
        """Return the configuration behind the table."""
        return self._config

    def service(self, name: str) -> ServiceSpec | None:
        """Return a service by name."""
        return self._services.get(name)

    def resolve(self, request: CallerRequest, *, draw: float) -> Resolved:
        """Return the route, tenant and service; draw in [0, 1) picks a split.

        Raise UnknownRoute or UnknownKey.
        """
        route = self._match(request.host, request.path)
        if route is None:
            raise UnknownRoute(request.path)
        tenant = self._tenants.get(request.api_key) if request.api_key else None
        if tenant is None and self._tenants and not route.is_public:
            raise UnknownKey
        service = self._services.get(_pick(route, draw))
        if service is None:
            raise UnknownRoute(request.path)
        return Resolved(route=route, tenant=tenant, service=service)

    def _match(self, host: str, target: str) -> Route | None:
        prefixes = self._prefixes.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        # Prefixes end with a slash, so that only those positions can match.
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def _pick(route: Route, draw: float) -> str:
    total = sum(choice.weight for choice in route.services)
    left = draw * total
    for choice in route.services:
        left -= choice.weight
        if left < 0:
            return choice.service
    return route.services[-1].service
