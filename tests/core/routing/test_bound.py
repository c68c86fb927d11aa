"""Check the achievable bound against naive reference algorithms."""

import pytest
from hypothesis import given

from persimmonwell.core import LinkCapacity, Upstream, UpstreamRole
from persimmonwell.core.routing import achievable_bound
from persimmonwell.core.routing._bound import has_covering_chain
from tests.core.routing.fleets import (
    LAYERS,
    fleets,
    has_chain,
    naive_max_flow,
    upstream,
    zone_links,
)


@given(fleets(), zone_links())
def test_bound_equals_naive_maximum_flow(
    upstreams: tuple[Upstream, ...], links: tuple[LinkCapacity, ...]
) -> None:
    """Guards against a flow below the maximum due to cost order or grouping."""
    bound = achievable_bound(upstreams, links, LAYERS)
    assert bound.tokens_per_s == pytest.approx(naive_max_flow(upstreams, links))


@given(fleets(), zone_links())
def test_upstream_shares_form_the_flow(
    upstreams: tuple[Upstream, ...], links: tuple[LinkCapacity, ...]
) -> None:
    """Guards against shares above capacity, and flow that is not conserved."""
    bound = achievable_bound(upstreams, links, LAYERS)
    for boundary in range(LAYERS + 1):
        crossing = 0.0
        for u in upstreams:
            share = bound.upstream_tokens_per_s[u.upstream_id]
            assert -1e-6 <= share <= u.tokens_per_s + 1e-6
            if u.layers.start <= boundary < u.layers.stop:
                crossing += share
        if boundary < LAYERS:
            assert crossing == pytest.approx(bound.tokens_per_s, abs=1e-6)


@given(fleets())
def test_coverage_equals_exhaustive_search(upstreams: tuple[Upstream, ...]) -> None:
    """Guards against counting ranges that overlap but form no chain as coverage."""
    assert has_covering_chain((u.layers for u in upstreams), LAYERS) == has_chain(
        upstreams
    )


def test_excess_is_spread_over_equals() -> None:
    """Guards against a flow that leaves one of two equal upstreams idle."""
    pair = upstream("c", 3, 6), upstream("d", 3, 6)
    found = achievable_bound((upstream("a", 0, 3, rate=60), *pair), (), LAYERS)
    assert found.upstream_tokens_per_s == pytest.approx({"a": 60, "c": 30, "d": 30})


def test_leaving_and_prefill_upstreams_generate_nothing() -> None:
    """Guards against a bound that includes capacity unusable for generation."""
    usable, leaving = upstream("a", 0, 6), upstream("b", 0, 6, leaving=True)
    idle = leaving, upstream("c", 0, 6, role=UpstreamRole.PREFILL)
    assert achievable_bound((usable, *idle), (), LAYERS).tokens_per_s == 100
