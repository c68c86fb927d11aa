"""Achievable throughput of a fleet, computed as a maximum flow."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import attrs

from persimmonwell.core._types import LayerRange, LinkCapacity, Upstream, UpstreamRole
from persimmonwell.core.routing._flow import FlowNetwork
from persimmonwell.core.routing._links import LinkTable

CAPACITY_SEGMENTS = 4
"""Segments per group capacity. Each costs more than the one before, which spreads the
flow evenly over equal groups."""
CROSS_ZONE_COST = CAPACITY_SEGMENTS + 1
"""Higher than the cost of a nearly full local group, so that flow leaves a zone only
when the zone is full."""
LATENCY_COSTS_PER_S = 4000.0
"""Cost of link latency: one step per 0.25 ms, the typical latency between zones."""
MAX_LATENCY_COST = 40


class GroupKey(NamedTuple):
    """Key of the upstreams that hold one layer range in one zone."""

    start: int
    stop: int
    zone: str


class Hop(NamedTuple):
    """Transfer between two zones at one layer boundary."""

    boundary: int
    from_zone: str
    to_zone: str


@attrs.frozen
class FlowBound:
    """Achievable throughput of a model and each upstream's share of it."""

    tokens_per_s: float
    upstream_tokens_per_s: Mapping[str, float]


@attrs.frozen
class LayerFlow:
    """Maximum flow over the groups of one model, in tokens per second."""

    tokens_per_s: float
    groups: Mapping[GroupKey, float]
    hops: Mapping[Hop, float]
    recrossing: frozenset[GroupKey | Hop]
    """Groups and hops that lead back over the minimum cut. A chain that contains one
    uses the capacity of the cut twice."""


def achievable_bound(
    upstreams: tuple[Upstream, ...],
    links: tuple[LinkCapacity, ...],
    total_layers: int,
) -> FlowBound:
    """Return the maximum flow of generated tokens over the upstreams of one model.

    Leaving and prefill-only upstreams carry none. The capacity of a link is applied at
    each layer boundary separately, so the result may be too high but never too low.
    """
    usable = [
        u for u in upstreams if not u.leaving and u.role is not UpstreamRole.PREFILL
    ]
    capacities: dict[GroupKey, float] = defaultdict(float)
    for upstream in usable:
        capacities[group_key(upstream)] += upstream.tokens_per_s
    flow = solve_layer_flow(capacities, LinkTable(links), total_layers)
    shares = {
        u.upstream_id: flow.groups.get(group_key(u), 0.0)
        * u.tokens_per_s
        / capacities[group_key(u)]
        for u in usable
    }
    return FlowBound(flow.tokens_per_s, shares)


def group_key(upstream: Upstream) -> GroupKey:
    """Return the group of an upstream."""
    layers = upstream.layers
    return GroupKey(layers.start, layers.stop, upstream.availability_zone)


def has_covering_chain(ranges: Iterable[LayerRange], total_layers: int) -> bool:
    """Return whether some of the ranges can be chained to cover every layer once."""
    reached = {0}
    for layers in sorted(set(ranges)):
        if layers.start in reached and layers.start < layers.stop <= total_layers:
            reached.add(layers.stop)
    return total_layers in reached and total_layers > 0


def solve_layer_flow(
    capacities: Mapping[GroupKey, float], links: LinkTable, total_layers: int
) -> LayerFlow:
    """Return the maximum flow with few stages, few zone crossings and even load."""
    usable = {
        key: capacity
        for key, capacity in capacities.items()
        if 0 <= key.start < key.stop <= total_layers and capacity > 0
    }
    return _LayerNetwork(usable, links, total_layers).solve()


class _LayerNetwork:
    """Flow network with two nodes for each layer boundary and zone.

    Group arcs lead from the entry node of their start boundary to the exit node of
    their stop boundary, link arcs from exit to entry nodes of the same boundary.
    """

    def __init__(
        self,
        capacities: Mapping[GroupKey, float],
        links: LinkTable,
        total_layers: int,
    ) -> None:
        self._capacities = capacities
        self._links = links
        self._total_layers = total_layers
        self._unlimited = sum(capacities.values()) + 1.0
        self._entries: dict[tuple[int, str], int] = {}
        self._exits: dict[tuple[int, str], int] = {}
        for key in capacities:
            self._entries.setdefault((key.start, key.zone), 2 * len(self._entries) + 2)
            self._exits.setdefault((key.stop, key.zone), 2 * len(self._exits) + 3)
        nodes = 2 * max(len(self._entries), len(self._exits)) + 4
        self._network = FlowNetwork(nodes)

    def solve(self) -> LayerFlow:
        source, sink = 0, 1
        for (boundary, _), node in self._entries.items():
            if boundary == 0:
                self._network.add_arc(source, node, capacity=self._unlimited)
        for (boundary, _), node in self._exits.items():
            if boundary == self._total_layers:
                self._network.add_arc(node, sink, capacity=self._unlimited)
        groups = {key: self._add_group(key) for key in self._capacities}
        hops = self._add_hops()
        total = self._network.maximize(source, sink)
        reachable = self._network.reachable(source)
        moves: list[GroupKey | Hop] = [*groups, *hops]
        return LayerFlow(
            tokens_per_s=total,
            groups={k: sum(map(self._network.flow, a)) for k, a in groups.items()},
            hops={hop: self._network.flow(arc) for hop, arc in hops.items()},
            recrossing=frozenset(m for m in moves if self._recrosses_cut(m, reachable)),
        )

    def _ends(self, move: GroupKey | Hop) -> tuple[int, int]:
        if isinstance(move, GroupKey):
            entry = self._entries[move.start, move.zone]
            return entry, self._exits[move.stop, move.zone]
        exit_node = self._exits[move.boundary, move.from_zone]
        return exit_node, self._entries[move.boundary, move.to_zone]

    def _recrosses_cut(self, move: GroupKey | Hop, reachable: list[bool]) -> bool:
        tail, head = self._ends(move)
        return reachable[head] and not reachable[tail]

    def _add_group(self, key: GroupKey) -> list[int]:
        tail, head = self._ends(key)
        part = self._capacities[key] / CAPACITY_SEGMENTS
        return [
            self._network.add_arc(tail, head, capacity=part, cost=1 + segment)
            for segment in range(CAPACITY_SEGMENTS)
        ]

    def _add_hops(self) -> dict[Hop, int]:
        hops: dict[Hop, int] = {}
        starts: dict[int, list[str]] = defaultdict(list)
        for boundary, zone in self._entries:
            starts[boundary].append(zone)
        for boundary, from_zone in self._exits:
            for to_zone in starts[boundary]:
                hop = Hop(boundary, from_zone, to_zone)
                hops[hop] = self._add_hop(hop)
        return hops

    def _add_hop(self, hop: Hop) -> int:
        tail, head = self._ends(hop)
        link = self._links.get(hop.from_zone, hop.to_zone)
        capacity = min(link.tokens_per_s, self._unlimited)
        cost = 0
        if hop.from_zone != hop.to_zone:
            steps = min(MAX_LATENCY_COST, int(link.latency_s * LATENCY_COSTS_PER_S))
            cost = CROSS_ZONE_COST + steps
        return self._network.add_arc(tail, head, capacity=capacity, cost=cost)
