"""Routing plan of one model: weighted steps through its layer graph."""

import random
from bisect import bisect
from collections import defaultdict
from collections.abc import Callable, Sequence
from enum import IntEnum
from itertools import accumulate
from typing import NamedTuple

import attrs

from persimmonwell.core.routing._bound import (
    GroupKey,
    Hop,
    LayerFlow,
    group_key,
    solve_layer_flow,
)
from persimmonwell.core.routing._flow import FlowNetwork
from persimmonwell.core.routing._groups import Group, Member
from persimmonwell.core.routing._links import LinkLimiter, LinkTable

NO_IDS: frozenset[str] = frozenset()


class Node(NamedTuple):
    """Position of a request in the layer graph: layer boundary and zone."""

    boundary: int
    zone: str


class Tier(IntEnum):
    """Preference of a step; a lower value is preferred."""

    PRIMARY = 0
    """Carries part of the maximum flow."""
    SPARE = 1
    """Carries no flow but takes none away; used when the primary steps are full."""
    RECROSSING = 2
    """Leads back over the minimum cut, so that a chain uses the bottleneck twice; used
    only if no other step completes a chain."""


@attrs.frozen(eq=False)
class Step:
    """Edge of the layer graph, from a node into a group."""

    group: Group
    weight: float
    tier: Tier
    end: Node
    link: tuple[str, str] | None
    """Zones of the link that it crosses, or None."""


class Plan:
    """Groups of one model, their maximum flow and the steps between them."""

    def __init__(
        self,
        members: Sequence[Member],
        *,
        links: LinkTable,
        total_layers: int,
        home_zone: str,
        link_limiter: LinkLimiter,
    ) -> None:
        self.total_layers = total_layers
        self._link_limiter = link_limiter
        self.entry = Node(0, home_zone)
        self._groups: dict[GroupKey, Group] = {}
        self._capacities: dict[GroupKey, float] = defaultdict(float)
        for member in members:
            key = group_key(member.upstream)
            if not 0 <= key.start < key.stop <= total_layers:
                continue
            self._groups.setdefault(key, Group(key)).add(member)
            self._capacities[key] += member.planned_tokens_per_s
        self.flow = solve_layer_flow(self._capacities, links, total_layers)
        self.steps = self._build_steps(self.flow)
        self.nodes = sorted(self.steps, key=lambda node: -node.boundary)
        self._member_ids = frozenset(
            m.upstream_id for g in self._groups.values() for m in g.members
        )
        self._routes: dict[bool, Routes] = {}

    def _build_steps(self, flow: LayerFlow) -> dict[Node, tuple[Step, ...]]:
        by_start: dict[int, list[Group]] = defaultdict(list)
        inflow: dict[Node, float] = defaultdict(float)
        for key, group in self._groups.items():
            by_start[key.start].append(group)
            inflow[Node(key.start, key.zone)] += flow.groups.get(key, 0.0)
        nodes = {Node(key.stop, key.zone) for key in self._groups}
        steps = {
            node: tuple(self._step(node, g, inflow) for g in by_start[node.boundary])
            for node in nodes
            if node.boundary in by_start
        }
        steps[self.entry] = tuple(
            self._step(self.entry, g, inflow) for g in by_start[0]
        )
        return steps

    def _step(self, node: Node, group: Group, inflow: dict[Node, float]) -> Step:
        key = group.key
        moves: list[GroupKey | Hop] = [key]
        link = None
        carried = self.flow.groups.get(key, 0.0)
        if node != self.entry:
            hop = Hop(node.boundary, node.zone, key.zone)
            moves.append(hop)
            link = (node.zone, key.zone) if node.zone != key.zone else None
            zone_inflow = inflow[Node(key.start, key.zone)]
            carried *= (
                self.flow.hops.get(hop, 0.0) / zone_inflow if zone_inflow else 0.0
            )
        tier = Tier.PRIMARY if carried > 0 else Tier.SPARE
        if any(move in self.flow.recrossing for move in moves):
            tier = Tier.RECROSSING
        weight = carried or max(self._capacities[key], 1.0)
        return Step(group, weight, tier, Node(key.stop, key.zone), link)

    def refresh(self, member: Member, *, service_changed: bool = False) -> None:
        """Recount a member's free slots and invalidate routes that this changes."""
        if member.upstream_id not in self._member_ids:
            return
        if self._groups[group_key(member.upstream)].refresh(member) or service_changed:
            self._routes.clear()

    def reset_routes(self) -> None:
        """Invalidate the cached routes after a link filled up or has capacity again."""
        self._routes.clear()

    def routes(self, excluded: frozenset[str], *, urgent: bool) -> "Routes":
        """Return the routes to the last layer over members with free slots."""
        excluded = excluded & self._member_ids if excluded else NO_IDS
        if excluded:
            return self._find_routes(excluded, urgent)
        cached_routes = self._routes.get(urgent)
        if cached_routes is None:
            cached_routes = self._routes[urgent] = self._find_routes(NO_IDS, urgent)
        return cached_routes

    def _find_routes(self, excluded: frozenset[str], urgent: bool) -> "Routes":
        def is_available(group: Group) -> bool:
            return group.has_free(excluded, urgent=urgent)

        def is_in_service(group: Group) -> bool:
            return group.has_member_in_service(excluded)

        link_limiter = self._link_limiter
        routes = Routes(
            self, is_available, Tier.SPARE, urgent=urgent, link_limiter=link_limiter
        )
        if routes.complete:
            return routes
        routes.covered = Routes(self, is_in_service, Tier.SPARE, urgent=urgent).complete
        if routes.covered:
            return routes
        routes = Routes(
            self,
            is_available,
            Tier.RECROSSING,
            urgent=urgent,
            link_limiter=link_limiter,
        )
        if not routes.complete:
            recrossing = Routes(self, is_in_service, Tier.RECROSSING, urgent=urgent)
            routes.covered = recrossing.complete
        return routes

    def free_slots(self) -> int:
        """Return how many requests could start now on complete chains."""
        slots: dict[tuple[int, int], int] = defaultdict(int)
        for key, group in self._groups.items():
            slots[key.start, key.stop] += group.free_slots
        points = {point for pair in slots for point in pair} | {0, self.total_layers}
        index = {point: number for number, point in enumerate(sorted(points))}
        network = FlowNetwork(len(index))
        for (start, stop), count in slots.items():
            network.add_arc(index[start], index[stop], capacity=count)
        return round(network.maximize(index[0], index[self.total_layers]))


class Routes:
    """Nodes from which available groups lead to the last layer."""

    def __init__(
        self,
        plan: Plan,
        is_available: Callable[[Group], bool],
        highest_tier: Tier,
        *,
        urgent: bool,
        link_limiter: LinkLimiter | None = None,
    ) -> None:
        self._plan = plan
        self._urgent = urgent
        self._highest_tier = highest_tier
        self._group_available: dict[Group, bool] = {}
        self._is_group_available = is_available
        self._link_limiter = link_limiter
        self._reaching_nodes: set[Node] = set()
        for node in plan.nodes:
            if any(self._is_usable(step) for step in plan.steps[node]):
                self._reaching_nodes.add(node)
        self.complete = plan.entry in self._reaching_nodes
        self.covered = self.complete
        self._best_steps_cache: dict[
            tuple[Node, bool], tuple[list[Step], list[float]]
        ] = {}

    def _is_usable(self, step: Step) -> bool:
        if step.tier > self._highest_tier:
            return False
        at_end = step.end.boundary == self._plan.total_layers
        if not at_end and step.end not in self._reaching_nodes:
            return False
        if (
            self._link_limiter is not None
            and step.link
            and not self._link_limiter.has_capacity(step.link)
        ):
            return False
        group = step.group
        if group not in self._group_available:
            self._group_available[group] = self._is_group_available(group)
        return self._group_available[group]

    def steps(self, node: Node, *, local: bool) -> tuple[list[Step], list[float]]:
        """Return the usable steps of the best tier and their cumulative weights."""
        best_steps = self._best_steps_cache.get((node, local))
        if best_steps is None:
            best_steps = self._best_steps(node, local)
            self._best_steps_cache[node, local] = best_steps
        return best_steps

    def _best_steps(self, node: Node, local: bool) -> tuple[list[Step], list[float]]:
        usable = [s for s in self._plan.steps[node] if self._is_usable(s)]
        best = min(step.tier for step in usable)
        usable = [step for step in usable if step.tier == best]
        near = [step for step in usable if step.end.zone == node.zone]
        if local and near:
            usable = near
        return usable, list(accumulate(step.weight for step in usable))

    def sample_chain(
        self,
        rng: random.Random,
        excluded: frozenset[str],
        *,
        local: bool = False,
        preferred: Sequence[Member] = (),
    ) -> list[Member]:
        """Return one chain with each step sampled in proportion to the flow.

        With local, steps within the current zone come first. A preferred member is
        chosen wherever a usable step leads to it. Returns an empty list if a group has
        no member left that is not excluded.
        """
        chain: list[Member] = []
        node = self._plan.entry
        while node.boundary != self._plan.total_layers:
            steps, cumulative = self.steps(node, local=local)
            member = None
            if preferred:
                member = self._find_preferred(node.boundary, steps, preferred, excluded)
            if member is None:
                drawn = bisect(cumulative, rng.random() * cumulative[-1])
                step = steps[min(drawn, len(steps) - 1)]
                member = step.group.pick_member(rng, excluded, urgent=self._urgent)
            if member is None:
                return []
            chain.append(member)
            node = Node(member.stage.layers.stop, member.zone)
        return chain

    def _find_preferred(
        self,
        boundary: int,
        steps: Sequence[Step],
        preferred: Sequence[Member],
        excluded: frozenset[str],
    ) -> Member | None:
        """Return the first preferred member that one of the steps leads to."""
        for member in preferred:
            layers = member.stage.layers
            if layers.start != boundary or member.upstream_id in excluded:
                continue
            key, urgent = member.upstream_id, self._urgent
            if any(step.group.is_free(key, urgent=urgent) for step in steps):
                return member
        return None
