"""Plan how requests pass the layer graph of one model."""

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
    solve,
)
from persimmonwell.core.routing._flow import FlowNetwork
from persimmonwell.core.routing._groups import Group, Member
from persimmonwell.core.routing._links import LinkGate, LinkTable

NO_IDS: frozenset[str] = frozenset()


class Node(NamedTuple):
    """Name the point at which a request left a layer range, and in which zone."""

    boundary: int
    zone: str


class Tier(IntEnum):
    """Order the steps by their part in the maximum flow."""

    PRIMARY = 0
    """Carries flow."""
    SPARE = 1
    """Carries none, but costs none either; used when the others are full."""
    WASTEFUL = 2
    """Uses the bottleneck twice; used only where nothing else covers the model."""


@attrs.frozen(eq=False)
class Step:
    """Describe the move from a node into a group."""

    group: Group
    weight: float
    tier: Tier
    end: Node
    link: tuple[str, str] | None
    """Zones of the link it crosses, where it crosses one."""


class Plan:
    """Hold the groups of one model, their flow, and the steps between them."""

    def __init__(
        self,
        members: Sequence[Member],
        *,
        links: LinkTable,
        total_layers: int,
        home_zone: str,
        gate: LinkGate,
    ) -> None:
        self.total_layers = total_layers
        self._gate = gate
        self.entry = Node(0, home_zone)
        self._groups: dict[GroupKey, Group] = {}
        self._capacities: dict[GroupKey, float] = defaultdict(float)
        for member in members:
            key = group_key(member.upstream)
            if not 0 <= key.start < key.stop <= total_layers:
                continue
            self._groups.setdefault(key, Group(key)).add(member)
            self._capacities[key] += member.planned_tokens_per_s
        self.flow = solve(self._capacities, links, total_layers)
        self.steps = self._connect(self.flow)
        self.nodes = sorted(self.steps, key=lambda node: -node.boundary)
        self._member_ids = frozenset(
            m.upstream_id for g in self._groups.values() for m in g.members
        )
        self._routes: dict[bool, Routes] = {}

    def _connect(self, flow: LayerFlow) -> dict[Node, tuple[Step, ...]]:
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
            into = inflow[Node(key.start, key.zone)]
            carried *= self.flow.hops.get(hop, 0.0) / into if into else 0.0
        tier = Tier.PRIMARY if carried > 0 else Tier.SPARE
        if any(move in self.flow.wasteful for move in moves):
            tier = Tier.WASTEFUL
        weight = carried or max(self._capacities[key], 1.0)
        return Step(group, weight, tier, Node(key.stop, key.zone), link)

    def refresh(self, member: Member, *, service_changed: bool = False) -> None:
        """Recount a member's free slots."""
        if member.upstream_id not in self._member_ids:
            return
        if self._groups[group_key(member.upstream)].refresh(member) or service_changed:
            self._routes.clear()

    def reset_routes(self) -> None:
        """Find routes anew after a link filled up or opened."""
        self._routes.clear()

    def routes(self, excluded: frozenset[str], *, urgent: bool) -> "Routes":
        """Return the steps that lead to the last layer over free members."""
        excluded = excluded & self._member_ids if excluded else NO_IDS
        if excluded:
            return self._find_routes(excluded, urgent)
        known = self._routes.get(urgent)
        if known is None:
            known = self._routes[urgent] = self._find_routes(NO_IDS, urgent)
        return known

    def _find_routes(self, excluded: frozenset[str], urgent: bool) -> "Routes":
        def is_open(group: Group) -> bool:
            return group.has_free(excluded, urgent=urgent)

        def is_covered(group: Group) -> bool:
            return group.is_covered(excluded)

        gate = self._gate
        routes = Routes(self, is_open, Tier.SPARE, urgent=urgent, gate=gate)
        if routes.complete:
            return routes
        routes.covered = Routes(self, is_covered, Tier.SPARE, urgent=urgent).complete
        if routes.covered:
            return routes
        routes = Routes(self, is_open, Tier.WASTEFUL, urgent=urgent, gate=gate)
        if not routes.complete:
            wasteful = Routes(self, is_covered, Tier.WASTEFUL, urgent=urgent)
            routes.covered = wasteful.complete
        return routes

    def free_slots(self) -> int:
        """Return how many requests could start now over complete chains."""
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
    """Hold the nodes from which open groups lead to the last layer."""

    def __init__(
        self,
        plan: Plan,
        is_open: Callable[[Group], bool],
        highest_tier: Tier,
        *,
        urgent: bool,
        gate: LinkGate | None = None,
    ) -> None:
        self._plan = plan
        self._urgent = urgent
        self._tier = highest_tier
        self._open: dict[Group, bool] = {}
        self._is_open = is_open
        self._gate = gate
        self._leading: set[Node] = set()
        for node in plan.nodes:
            if any(self._leads_on(step) for step in plan.steps[node]):
                self._leading.add(node)
        self.complete = plan.entry in self._leading
        self.covered = self.complete
        self._weighted: dict[tuple[Node, bool], tuple[list[Step], list[float]]] = {}

    def _leads_on(self, step: Step) -> bool:
        if step.tier > self._tier:
            return False
        at_end = step.end.boundary == self._plan.total_layers
        if not at_end and step.end not in self._leading:
            return False
        if self._gate is not None and step.link and not self._gate.is_open(step.link):
            return False
        group = step.group
        if group not in self._open:
            self._open[group] = self._is_open(group)
        return self._open[group]

    def steps(self, node: Node, *, local: bool) -> tuple[list[Step], list[float]]:
        """Return the best usable steps and their cumulative weights."""
        found = self._weighted.get((node, local))
        if found is None:
            found = self._weigh(node, local)
            self._weighted[node, local] = found
        return found

    def _weigh(self, node: Node, local: bool) -> tuple[list[Step], list[float]]:
        usable = [s for s in self._plan.steps[node] if self._leads_on(s)]
        best = min(step.tier for step in usable)
        usable = [step for step in usable if step.tier == best]
        near = [step for step in usable if step.end.zone == node.zone]
        if local and near:
            usable = near
        return usable, list(accumulate(step.weight for step in usable))

    def walk(
        self,
        rng: random.Random,
        excluded: frozenset[str],
        *,
        local: bool = False,
        preferred: Sequence[Member] = (),
    ) -> list[Member]:
        """Return one chain, each step drawn in proportion to the flow.

        A local walk stays in the zone where it can. Preferred members are taken
        where a usable step leads to them.
        """
        chain: list[Member] = []
        node = self._plan.entry
        while node.boundary != self._plan.total_layers:
            steps, cumulative = self.steps(node, local=local)
            member = None
            if preferred:
                member = self._preferred(node.boundary, steps, preferred, excluded)
            if member is None:
                drawn = bisect(cumulative, rng.random() * cumulative[-1])
                step = steps[min(drawn, len(steps) - 1)]
                member = step.group.pick(rng, excluded, urgent=self._urgent)
            if member is None:
                return []
            chain.append(member)
            node = Node(member.stage.layers.stop, member.zone)
        return chain

    def _preferred(
        self,
        boundary: int,
        steps: Sequence[Step],
        preferred: Sequence[Member],
        excluded: frozenset[str],
    ) -> Member | None:
        """Return the first preferred member that a step leads to."""
        for member in preferred:
            layers = member.stage.layers
            if layers.start != boundary or member.upstream_id in excluded:
                continue
            key, urgent = member.upstream_id, self._urgent
            if any(step.group.is_free(key, urgent=urgent) for step in steps):
                return member
        return None
