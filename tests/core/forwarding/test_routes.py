"""Tests of the look-up of route, tenant and service."""

import attrs
import pytest

from persimmonwell.core.forwarding import (
    ForwardingConfig,
    RouteKind,
    Tenant,
    WeightedService,
)
from persimmonwell.core.forwarding._routes import (
    RouteTable,
    UnknownKeyError,
    UnknownRouteError,
    UnsendableTenantError,
)
from tests.core.forwarding.fleets import CONFIG, request, route

TABLE = RouteTable(
    attrs.evolve(
        CONFIG,
        routes=(
            route("a", RouteKind.SAFE, "desk"),
            route("a/b", RouteKind.SAFE, "desk"),
            route("open", RouteKind.SAFE, "desk", is_public=True),
            route(
                "split",
                RouteKind.SAFE,
                "",
                services=(WeightedService("desk", 90), WeightedService("model", 10)),
            ),
        ),
    )
)


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/x", "a"),
        ("/a/", "a"),
        ("/a/b/x", "a/b"),
        ("/a/b", "a"),
        ("/a/x?q=/a/b/", "a"),
        ("/a/bc/x", "a"),
    ],
)
def test_the_longest_prefix_wins(path: str, expected: str) -> None:
    """Guards against a request that is forwarded to the service of another route."""
    resolved = TABLE.resolve(request("a", path=path), draw=0.0)
    assert resolved.route.name == expected


@pytest.mark.parametrize("path", ["/", "/ax", "/b/x", "x"])
def test_an_unknown_path_has_no_route(path: str) -> None:
    """Guards against an implicit default route."""
    with pytest.raises(UnknownRouteError):
        TABLE.resolve(request("a", path=path), draw=0.0)
    with pytest.raises(UnknownRouteError):
        TABLE.resolve(request("a", host="other.example"), draw=0.0)


@pytest.mark.parametrize("key", [None, "", "key-2", "key-1 "])
def test_keys_are_checked_unless_the_route_is_public(key: str | None) -> None:
    """Guards against serving a caller without a valid key."""
    with pytest.raises(UnknownKeyError):
        TABLE.resolve(request("a", api_key=key), draw=0.0)
    assert TABLE.resolve(request("open", api_key=key), draw=0.0).tenant is None
    tenant = TABLE.resolve(request("open"), draw=0.0).tenant
    assert tenant is not None
    assert tenant.name == "range"


def test_split_weights_hold() -> None:
    """Guards against a traffic split that differs from the configured weights."""
    names = [
        TABLE.resolve(request("split"), draw=n / 1000).service.name for n in range(1000)
    ]
    assert names.count("model") == 100


def test_a_configuration_without_tenants_needs_no_key() -> None:
    """Guards against refusing callers where no keys are configured."""
    config: ForwardingConfig = attrs.evolve(CONFIG, tenants=None)
    resolved = RouteTable(config).resolve(request("look", api_key=None), draw=0.0)
    assert resolved.tenant is None


@pytest.mark.parametrize("tenants", [(Tenant("range", ()),), ()])
@pytest.mark.parametrize("api_key", ["key-1", "never-held", None])
def test_tenants_without_a_key_left_let_nobody_in(
    api_key: str | None, tenants: tuple[Tenant, ...]
) -> None:
    """Guards against requests with any key after the last key or tenant is gone."""
    table = RouteTable(attrs.evolve(TABLE.config, tenants=tenants))
    with pytest.raises(UnknownKeyError):
        table.resolve(request("a", api_key=api_key), draw=0.0)
    assert table.resolve(request("open", api_key=api_key), draw=0.0).tenant is None
    without_tenants = RouteTable(attrs.evolve(TABLE.config, tenants=None))
    assert without_tenants.resolve(request("a", api_key=api_key), draw=0.0)


def test_tenant_that_upstreams_cannot_be_told_is_refused() -> None:
    """Guards against a request that runs under no tenant's name or another one's."""
    tenants = (Tenant("a\r\nb", ("key-1",), can_be_sent=False), Tenant("b", ("key-2",)))
    table = RouteTable(attrs.evolve(TABLE.config, tenants=tenants))
    for path in ("a", "open"):
        with pytest.raises(UnsendableTenantError, match="cannot be sent"):
            table.resolve(request(path, api_key="key-1"), draw=0.0)
        resolved = table.resolve(request(path, api_key="key-2"), draw=0.0)
        assert resolved.tenant == tenants[1]
