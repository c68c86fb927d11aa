"""Minimum-cost maximum flow on small networks."""

import math
from collections import deque

RELATIVE_EPSILON = 1e-9
"""Residual capacity below this share of the largest arc capacity counts as zero."""


class FlowNetwork:
    """Flow network in which an arc and its reverse arc have the ids 2k and 2k+1."""

    def __init__(self, node_count: int) -> None:
        self._arcs: list[list[int]] = [[] for _ in range(node_count)]
        self._heads: list[int] = []
        self._residual: list[float] = []
        self._costs: list[int] = []
        self._epsilon = 0.0

    def add_arc(self, tail: int, head: int, *, capacity: float, cost: int = 0) -> int:
        """Add an arc and return its id; integer costs make sums compare exactly."""
        arc = len(self._heads)
        self._heads += (head, tail)
        self._residual += (capacity, 0.0)
        self._costs += (cost, -cost)
        self._arcs[tail].append(arc)
        self._arcs[head].append(arc + 1)
        self._epsilon = max(self._epsilon, capacity * RELATIVE_EPSILON)
        return arc

    def flow(self, arc: int) -> float:
        """Return the flow on an arc."""
        flow = self._residual[arc + 1]
        return flow if flow > self._epsilon else 0.0

    def maximize(self, source: int, sink: int) -> float:
        """Compute the maximum flow of minimum cost and return its value.

        Paths are augmented in order of cost. All paths of equal cost are found from
        one distance labelling, so there are as many labellings as distinct costs.
        """
        total = 0.0
        while True:
            distances = self._distances(source)
            if distances[sink] == math.inf:
                return total
            total += self._augment_all(source, sink, distances)

    def reachable(self, source: int) -> list[bool]:
        """Return for each node whether residual capacity leads to it.

        After maximize(), these nodes are the source side of a minimum cut.
        """
        return [distance < math.inf for distance in self._distances(source)]

    def _distances(self, source: int) -> list[float]:
        distances = [math.inf] * len(self._arcs)
        distances[source] = 0
        queued = [False] * len(self._arcs)
        pending = deque([source])
        while pending:
            node = pending.popleft()
            queued[node] = False
            for arc in self._arcs[node]:
                head = self._heads[arc]
                distance = distances[node] + self._costs[arc]
                if self._residual[arc] > self._epsilon and distance < distances[head]:
                    distances[head] = distance
                    if not queued[head]:
                        queued[head] = True
                        pending.append(head)
        return distances

    def _augment_all(self, source: int, sink: int, distances: list[float]) -> float:
        total = 0.0
        next_arc = [0] * len(self._arcs)
        while path := self._shortest_path(source, sink, distances, next_arc):
            amount = min(self._residual[arc] for arc in path)
            for arc in path:
                self._residual[arc] -= amount
                self._residual[arc ^ 1] += amount
            total += amount
        return total

    def _shortest_path(
        self, source: int, sink: int, distances: list[float], next_arc: list[int]
    ) -> list[int]:
        path: list[int] = []
        on_path = {source}
        node = source
        while node != sink:
            arc = self._advance(node, distances, next_arc, on_path)
            if arc is not None:
                path.append(arc)
                node = self._heads[arc]
                on_path.add(node)
                continue
            if not path:
                return []
            on_path.discard(node)
            node = self._heads[path.pop() ^ 1]
            next_arc[node] += 1
        return path

    def _advance(
        self,
        node: int,
        distances: list[float],
        next_arc: list[int],
        on_path: set[int],
    ) -> int | None:
        arcs = self._arcs[node]
        while next_arc[node] < len(arcs):
            arc = arcs[next_arc[node]]
            head = self._heads[arc]
            if (
                self._residual[arc] > self._epsilon
                and distances[head] == distances[node] + self._costs[arc]
                and head not in on_path
            ):
                return arc
            next_arc[node] += 1
        return None
