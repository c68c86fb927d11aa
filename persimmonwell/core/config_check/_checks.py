"""Checks of one configuration: entries without effect and contradicting limits."""

from collections import Counter
from collections.abc import Callable, Iterator

import attrs

from persimmonwell.core.config_check._findings import (
    Finding,
    entry_path,
    error,
    warning,
)
from persimmonwell.core.forwarding import (
    MIN_KV_TOKENS,
    USABLE_SHARE,
    ForwardingConfig,
    RouteKind,
    layers_in_memory,
)
from persimmonwell.core.resources import memory_budget_bytes


@attrs.frozen
class HostLimits:
    """Settings of the hosts that the configuration is checked against."""

    memory_mb: float = 256.0
    retry_slack: float = 20.0
    """Retries that the fleet may send in a window beyond the ratio of its requests."""
    stop_s: float | None = None
    """Time from the signal to stop at which open requests end; None if unknown."""
    deregistration_s: float = 0.0
    """Time from that signal in which new connections arrive."""

    @property
    def retries_at_rest(self) -> int:
        """Return how many retries a host without other requests may send."""
        return int(USABLE_SHARE * self.retry_slack)


def check_config(
    config: ForwardingConfig, host: HostLimits | None = None
) -> tuple[Finding, ...]:
    """Return all findings about a configuration, errors first."""
    findings = [found for check in CHECKS for found in check(config)]
    findings += check_attempts(config, host or HostLimits())
    findings += check_sizes(config, host or HostLimits())
    findings += check_stop(config, host or HostLimits())
    return tuple(sorted(findings, key=lambda finding: finding.severity.value))


def check_names(config: ForwardingConfig) -> Iterator[Finding]:
    """Find entries with the name of another one, which replaces or confuses them."""
    sections = {
        "routes": [route.name for route in config.routes],
        "services": [service.name for service in config.services],
        "tenants": [tenant.name for tenant in config.tenants or ()],
    }
    for section, names in sections.items():
        for name, count in Counter(names).items():
            if count > 1:
                yield error(entry_path(section, name), f"{count} entries have the name")


def check_shadowed_routes(config: ForwardingConfig) -> Iterator[Finding]:
    """Find routes with the host and prefix of another one, of which the last counts."""
    used = {(route.host.lower(), route.prefix): route for route in config.routes}
    for route in config.routes:
        other = used[route.host.lower(), route.prefix]
        if other is not route:
            path = entry_path("routes", route.name, "prefix")
            other_path = entry_path("routes", other.name)
            yield warning(
                path, f"never matches: {other_path} has the same host and prefix"
            )


def check_matchable(config: ForwardingConfig) -> Iterator[Finding]:
    """Find hosts and prefixes that no request can match."""
    for route in config.routes:
        prefix = route.prefix
        if not (prefix.startswith("/") and prefix.endswith("/")) or "?" in prefix:
            path = entry_path("routes", route.name, "prefix")
            yield warning(path, "never matches: must begin and end with a slash")
        if not route.host or ":" in route.host:
            path = entry_path("routes", route.name, "host")
            yield warning(path, "never matches: must be a name without a port")


def check_services(config: ForwardingConfig) -> Iterator[Finding]:
    """Find routes to services that do not exist, and services without a route."""
    known = {service.name for service in config.services}
    named = set()
    for route in config.routes:
        for choice in route.services:
            named.add(choice.service)
            if choice.service not in known:
                path = entry_path("routes", route.name, "services")
                yield error(path, f"no service has the name {choice.service!r}")
    for name in sorted(known - named):
        yield warning(entry_path("services", name), "no route names the service")


def check_weights(config: ForwardingConfig) -> Iterator[Finding]:
    """Find parts of a traffic split that get no request."""
    for route in config.routes:
        path = entry_path("routes", route.name, "weights")
        for choice in route.services:
            if choice.weight < 0:
                yield error(path, f"the weight of {choice.service!r} is negative")
            elif choice.weight == 0:
                yield warning(path, f"{choice.service!r} gets no request")


def check_keys(config: ForwardingConfig) -> Iterator[Finding]:
    """Find keys of two tenants, of which the last holds it, and tenants without keys.

    The reasons name no key, since they are printed.
    """
    holders: dict[str, str] = {}
    for tenant in config.tenants or ():
        path = entry_path("tenants", tenant.name, "keys")
        if not any(tenant.keys):
            yield warning(path, "the tenant has no key, so that no request is its own")
        for position, key in enumerate(tenant.keys):
            if not key:
                yield warning(f"{path}[{position}]", "an empty key is never accepted")
                continue
            other = holders.setdefault(key, tenant.name)
            if other != tenant.name:
                reason = f"{entry_path('tenants', other)} holds the same key"
                yield error(f"{path}[{position}]", reason)


def check_tenant_names(config: ForwardingConfig) -> Iterator[Finding]:
    """Find tenants whose name cannot be sent, so that their requests are refused."""
    for tenant in config.tenants or ():
        if not tenant.can_be_sent:
            reason = "upstreams cannot be told the name: all requests are refused"
            yield error(entry_path("tenants", tenant.name), reason)


def check_route_times(config: ForwardingConfig) -> Iterator[Finding]:
    """Find time-outs and objectives of a route that contradict each other."""
    for route in config.routes:

        def path(field: str, name: str = route.name) -> str:
            return entry_path("routes", name, field)

        gap_s, timeout_s = route.gap_objective_s, route.timeout_s
        if timeout_s <= 0:
            yield error(path("timeout_s"), "must be above 0")
        elif timeout_s < route.latency_objective_s:
            yield warning(path("timeout_s"), "is below the latency objective")
        if gap_s is not None and gap_s > timeout_s:
            yield warning(path("gap_objective_s"), "is above the time-out")
        if gap_s is not None and route.kind is not RouteKind.STREAM:
            yield warning(
                path("gap_objective_s"), "has no effect: the kind is not stream"
            )


def check_caller_times(config: ForwardingConfig) -> Iterator[Finding]:
    """Find time-outs of callers' connections that contradict each other."""
    limits = config.limits
    if limits.header_timeout_s <= 0:
        yield error("limits.header_timeout_s", "must be above 0")
    if limits.idle_timeout_s <= 0:
        yield error("limits.idle_timeout_s", "must be above 0")
    elif limits.idle_timeout_s < limits.header_timeout_s:
        yield warning("limits.idle_timeout_s", "is below the time-out of heads")


def check_attempts(config: ForwardingConfig, host: HostLimits) -> Iterator[Finding]:
    """Find routes whose attempts exceed the retries that a host may send."""
    allowed = host.retries_at_rest + 1
    for route in config.routes:
        if route.max_attempts > allowed:
            path = entry_path("routes", route.name, "max_attempts")
            yield warning(path, f"the retry budget of a host allows {allowed}")


def check_sizes(config: ForwardingConfig, host: HostLimits) -> Iterator[Finding]:
    """Find size limits of zero, or above what a host can hold."""
    budget = memory_budget_bytes(host.memory_mb)
    sizes = {
        "limits.max_header_bytes": config.limits.max_header_bytes,
        "limits.max_body_bytes": config.limits.max_body_bytes,
    }
    for path, size in sizes.items():
        if size <= 0:
            yield error(path, "must be above 0")
        elif size > budget:
            reason = f"a host of {host.memory_mb:g} MB has {budget} bytes for callers"
            yield warning(path, reason)


def check_stop(config: ForwardingConfig, host: HostLimits) -> Iterator[Finding]:
    """Find a grace time that is too short for connections or answers.

    An answer that may be repeated is no loss, since another host can give it.
    """
    if host.stop_s is None:
        return
    if host.stop_s < host.deregistration_s:
        reason = f"a host closes before the {host.deregistration_s:g} s are over in "
        yield warning("bounds.grace_s", reason + "which it gets new connections")
    for route in config.routes:
        if not route.is_retryable and route.timeout_s > host.stop_s:
            path = entry_path("routes", route.name, "timeout_s")
            reason = f"a stop ends answers after {host.stop_s:g} s, and the route's "
            yield warning(path, reason + "can't be repeated")


def check_placement(config: ForwardingConfig) -> Iterator[Finding]:
    """Find models with routes for which no kind of accelerator has the memory."""
    named = {choice.service for route in config.routes for choice in route.services}
    for service in config.services:
        engine = service.engine
        if engine is None or engine.layers <= 0 or service.name not in named:
            continue
        path = entry_path("services", service.name) + ".engine.kinds"
        fitting = [
            layers_in_memory(kind.memory_mb, engine, MIN_KV_TOKENS) > 0
            for _, kind in engine.accelerators
        ]
        if not any(fitting):
            reason = "none can hold a layer of the model with the KV cache of "
            yield error(path, f"{reason}{MIN_KV_TOKENS:g} tokens: it is not placed")
            continue
        for position, fits in enumerate(fitting):
            if not fits:
                reason = "too small for a layer of the model: it is not placed there"
                yield warning(f"{path}[{position}]", reason)


def check_priorities(config: ForwardingConfig) -> Iterator[Finding]:
    """Find priorities of tenants without effect, as all requests have the same one."""
    tenants = [tenant for tenant in config.tenants or () if any(tenant.keys)]
    used = {tenant.priority for tenant in tenants}
    if None in used or any(route.is_public for route in config.routes):
        used |= {route.priority for route in config.routes}
    if len(used - {None}) > 1:
        return
    for tenant in tenants:
        if tenant.priority is not None:
            path = entry_path("tenants", tenant.name, "priority")
            reason = f"orders nothing: all requests have priority {tenant.priority}"
            yield warning(path, reason)


CHECKS: tuple[Callable[[ForwardingConfig], Iterator[Finding]], ...] = (
    check_names,
    check_shadowed_routes,
    check_matchable,
    check_services,
    check_weights,
    check_keys,
    check_tenant_names,
    check_route_times,
    check_caller_times,
    check_placement,
    check_priorities,
)
"""Checks that need nothing but the configuration."""
