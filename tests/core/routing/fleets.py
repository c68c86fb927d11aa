"""Fleet generators and naive reference algorithms for the routing tests."""

from collections.abc import Iterable
from typing import Any

from hypothesis import strategies as st

from persimmonwell.core import (
    LayerRange,
    LinkCapacity,
    ModelRequest,
    Rank,
    Upstream,
    UpstreamRole,
)
from persimmonwell.core.routing import ChainRouter

MODEL = "m"
LAYERS = 6
ZONES = ("a", "b")
RANGES = tuple((int(x), int(y)) for x, y in "06 03 03 36 36 02 26 24 13".split())
"""Halves and thirds that form chains, and ranges that are dead ends."""


def upstream(
    name: str,
    start: int,
    stop: int,
    *,
    zone: str = "a",
    rate: float = 100.0,
    **rest: Any,
) -> Upstream:
    layers = LayerRange(start, stop)
    rest = {"slots": 4, "tokens_per_s": rate, **rest}
    return Upstream(name, f"10.0.0.1:{name}", zone, MODEL, layers, **rest)


def request(*, prompt: int = 100, tokens: int = 50, blocks: int = 0) -> ModelRequest:
    prefix = tuple(range(1000, 1000 + blocks))
    return ModelRequest("r", "w", Rank.NORMAL, MODEL, "d", prompt, tokens, 1e9, prefix)


def router(
    upstreams: Iterable[Upstream],
    *,
    links: tuple[LinkCapacity, ...] = (),
    seed: int = 1,
) -> ChainRouter:
    chains = ChainRouter(seed=seed, availability_zone="a")
    chains.update_fleet(tuple(upstreams), links, {MODEL: LAYERS}, 0.0)
    return chains


@st.composite
def fleets(draw: st.DrawFn, *, roles: bool = False) -> tuple[Upstream, ...]:
    """Draw upstreams with any ranges: overlaps, dead ends and gaps included."""
    choices = tuple(UpstreamRole) if roles else (UpstreamRole.ANY,)
    return tuple(
        upstream(
            f"u{number}",
            *draw(st.sampled_from(RANGES)),
            zone=draw(st.sampled_from(ZONES)),
            slots=draw(st.integers(1, 3)),
            rate=draw(st.sampled_from((30.0, 100.0, 250.0))),
            role=draw(st.sampled_from(choices)),
        )
        for number in range(draw(st.integers(0, 10)))
    )


@st.composite
def zone_links(draw: st.DrawFn) -> tuple[LinkCapacity, ...]:
    pairs = [(x, y) for x in ZONES for y in ZONES if x != y]
    rates = st.sampled_from((2.0, 20.0, 200.0))
    chosen = draw(st.lists(st.sampled_from(pairs), unique=True, max_size=6))
    return tuple(LinkCapacity(x, y, draw(rates), 0.0003) for x, y in chosen)


def has_chain(upstreams: Iterable[Upstream]) -> bool:
    """Return whether an exhaustive search finds a chain over all layers."""
    usable = [u for u in upstreams if not u.leaving]

    def extend(boundary: int) -> bool:
        return boundary == LAYERS or any(
            extend(u.layers.stop) for u in usable if u.layers.start == boundary
        )

    return extend(0)


def naive_max_flow(
    upstreams: tuple[Upstream, ...], links: tuple[LinkCapacity, ...]
) -> float:
    """Return the maximum flow by augmenting paths over single upstreams."""
    rates = {(x.to_zone, x.from_zone): x.tokens_per_s for x in links}
    rates.update({(x.from_zone, x.to_zone): x.tokens_per_s for x in links})
    unlimited = 1e9
    left: dict[object, dict[object, float]] = {"source": {}, "sink": {}}

    def arc(tail: object, head: object, capacity: float) -> None:
        left.setdefault(tail, {})[head] = capacity
        left.setdefault(head, {}).setdefault(tail, 0.0)

    for u in upstreams:
        entry, exit_ = (u.upstream_id, "in"), (u.upstream_id, "out")
        arc(entry, exit_, u.tokens_per_s)
        arc((u.layers.start, u.availability_zone, "in"), entry, unlimited)
        arc(exit_, (u.layers.stop, u.availability_zone, "out"), unlimited)
        if u.layers.start == 0:
            arc("source", (0, u.availability_zone, "in"), unlimited)
        if u.layers.stop == LAYERS:
            arc((LAYERS, u.availability_zone, "out"), "sink", unlimited)
    for boundary in range(1, LAYERS):
        for x in ZONES:
            for y in ZONES:
                rate = unlimited if x == y else rates.get((x, y), unlimited)
                arc((boundary, x, "out"), (boundary, y, "in"), rate)

    def push(node: object, limit: float, seen: set[object]) -> float:
        if node == "sink":
            return limit
        seen.add(node)
        for head, capacity in left[node].items():
            if capacity > 1e-9 and head not in seen:
                if amount := push(head, min(limit, capacity), seen):
                    left[node][head] -= amount
                    left[head][node] += amount
                    return amount
        return 0.0

    total = 0.0
    while amount := push("source", unlimited, set()):
        total += amount
    return total
