"""Ways to choose among replicas with old load reports, compared by load replays.

Each is a pool of upstreams of one host that differs from the product's in one respect.
"""

import random
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from persimmonwell.core.forwarding import (
    AttemptFailure,
    GenerationSize,
    LoadTable,
    PipelinePath,
    Stage,
)
from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._full_stages import FullStages
from persimmonwell.core.forwarding._paths import StageTable, search_path
from persimmonwell.core.forwarding._shared_capacity import ExpectedLoad, SharedCapacity
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from tests.core.forwarding.load_replay import new_pool

OVERBOOKING = 2.0
FULL_S = 0.3
"""Time for which a replica that refused counts as full."""
GROWTH_WINDOW_S = 3.0


class _FixedExpectation(SharedCapacity):
    """Expected loads that a candidate sets itself."""

    def update(self, now_s: float, *, own_requests: int, peer_requests: int) -> None:
        pass

    def set(self, expected: dict[str, ExpectedLoad]) -> None:
        self._expected = expected

    def ramp_share(self, replica_id: str, now_s: float) -> float:
        return 0.0

    def cost_spread(self, now_s: float) -> float:
        return 0.0

    def valid_share(self, duration_s: float | None, now_s: float) -> float:
        return 1.0


class _NoMemoryReports(FullStages):
    """Memory reports that a candidate ignores beyond LoadTable.record_report."""

    def record(self, replica_id: str, layer_tokens: int, now_s: float) -> None:
        pass


class TodaysPool(UpstreamPool):
    """Choice from the last reports and the own sends alone, as on 4f9703c."""

    def __init__(self, rng: random.Random, hosts: int) -> None:
        super().__init__(availability_zone="za", rng=rng)
        self.hosts = hosts
        self.seed = rng.random()
        self.expectation = _FixedExpectation()
        self.loads.shared = self.expectation
        self.loads.full_stages = _NoMemoryReports()
        self.now_s = 0.0

    def choose_path(self, active: ActiveRequest, now_s: float) -> PipelinePath | None:
        self.now_s = now_s
        return super().choose_path(active, now_s)

    def _search(
        self,
        table: StageTable,
        size: GenerationSize,
        now_s: float,
        first_stage: Stage | None,
    ) -> PipelinePath | None:
        self.prepare(table, size, now_s)
        return self.search(table, size, now_s, self.factor(table, now_s))

    def prepare(self, table: StageTable, size: GenerationSize, now_s: float) -> None:
        """Set the expected loads."""

    def factor(self, table: StageTable, now_s: float) -> Callable[[str], float]:
        """Return the factor on the cost of each replica."""
        return lambda replica_id: 1.0

    def search(
        self,
        table: StageTable,
        size: GenerationSize,
        now_s: float,
        factor: Callable[[str], float],
    ) -> PipelinePath | None:
        """Return the cheapest path by the costs times the factors."""
        return search_path(table, size, loads=self.loads, now_s=now_s, slowness=factor)

    def report_age_s(self) -> float:
        """Return the mean age of the reports of the other hosts."""
        times_s = self.expectation._reported_s.values()
        if not times_s:
            return 0.0
        return max(0.0, self.now_s - sum(times_s) / len(times_s))


class TotalGrowthPool(TodaysPool):
    """Net growth of all own reservations, spread like the own sends of the last 3 s."""

    def __init__(self, rng: random.Random, hosts: int) -> None:
        super().__init__(rng, hosts)
        self.sends: deque[tuple[float, Mapping[str, int]]] = deque()
        self.levels: deque[tuple[float, int]] = deque()

    def reserve(self, active: ActiveRequest) -> None:
        super().reserve(active)
        self.sends.append((self.now_s, dict(active.reserved)))

    def prepare(self, table: StageTable, size: GenerationSize, now_s: float) -> None:
        while self.sends and self.sends[0][0] < now_s - GROWTH_WINDOW_S:
            self.sends.popleft()
        level = sum(load.layer_tokens for load in self.loads.local.values())
        self.levels.append((now_s, level))
        while len(self.levels) > 1 and self.levels[1][0] < now_s - self.report_age_s():
            self.levels.popleft()
        by_replica: dict[str, int] = {}
        for _, reserved in self.sends:
            for replica_id, tokens in reserved.items():
                by_replica[replica_id] = by_replica.get(replica_id, 0) + tokens
        total = sum(by_replica.values())
        growth = max(0, level - self.levels[0][1]) * (self.hosts - 1)
        self.expectation.set(
            {
                replica_id: ExpectedLoad(0.0, growth * tokens / total)
                for replica_id, tokens in by_replica.items()
                if total
            }
        )


class TwoChoicesPool(TodaysPool):
    """The better of two paths, each over a random three quarters of the replicas."""

    def search(
        self,
        table: StageTable,
        size: GenerationSize,
        now_s: float,
        factor: Callable[[str], float],
    ) -> PipelinePath | None:
        found = []
        for _ in range(2):
            draws = {
                replica.replica_id: 1.0 if self._random.random() < 0.75 else 3.0
                for replica in table.replicas
            }
            path = super().search(table, size, now_s, draws.__getitem__)
            if path is not None:
                found.append(path)
        return min(found, key=lambda path: path.step_ms, default=None)


class WeightedPool(TodaysPool):
    """Random costs, more so with less spare memory and older reports."""

    def factor(self, table: StageTable, now_s: float) -> Callable[[str], float]:
        capacities = {
            replica.replica_id: capacity
            for replica, capacity in zip(table.replicas, table.capacities, strict=True)
        }
        age = min(1.0, self.report_age_s())

        def weighted(replica_id: str) -> float:
            used = self.loads.used_layer_tokens(replica_id, now_s)
            spare = max(0.02, 1 - used / capacities[replica_id])
            return 1.0 + 0.1 * age * self._random.expovariate(1.0) / spare

        return weighted


class HostOrderPool(TodaysPool):
    """Costs that differ by up to 40% between hosts, the same at each choice."""

    def factor(self, table: StageTable, now_s: float) -> Callable[[str], float]:
        return lambda replica_id: (
            1.0 + 0.4 * random.Random(f"{self.seed}/{replica_id}").random()
        )


class NoisePool(TodaysPool):
    """Costs that differ at random by up to 40% at each choice."""

    def factor(self, table: StageTable, now_s: float) -> Callable[[str], float]:
        return lambda replica_id: 1.0 + 0.4 * self._random.random()


class FairSharePool(TodaysPool):
    """At most this host's share of what was free at the last reports.

    Fractions of a request are rounded by a phase that differs between the hosts.
    """

    def __init__(self, rng: random.Random, hosts: int) -> None:
        super().__init__(rng, hosts)
        self.own = SharedCapacity()

    def reserve(self, active: ActiveRequest) -> None:
        super().reserve(active)
        for replica_id, tokens in active.reserved.items():
            self.own.add(replica_id, 1, tokens)

    def release(self, active: ActiveRequest) -> None:
        for replica_id, tokens in active.reserved.items():
            self.own.add(replica_id, -1, -tokens)
        super().release(active)

    def prepare(self, table: StageTable, size: GenerationSize, now_s: float) -> None:
        self.own._reported_s = self.expectation._reported_s
        self.own.update(now_s, own_requests=0, peer_requests=0)
        tokens = size.expected_tokens(table.spec.typical_output_tokens)
        period = int(now_s / max(0.05, self.report_age_s()))
        phase = (self.seed * 7919 + period * 0.6180339887) % 1
        expected = {}
        for replica, capacity in zip(table.replicas, table.capacities, strict=True):
            replica_id = replica.replica_id
            free = capacity - self.loads.used_layer_tokens(replica_id, now_s)
            growth = self.own._growth.get(replica_id)
            grown = growth.layer_tokens if growth is not None else 0.0
            assert replica.layers is not None
            usable = OVERBOOKING * (free + grown) / self.hosts - grown
            usable += phase * tokens * replica.layers.count
            if usable < free:
                expected[replica_id] = ExpectedLoad(0.0, free - usable)
        self.expectation.set(expected)


def _mark_full(
    full_until_s: dict[str, float],
    active: ActiveRequest,
    fault_address: str | None,
    now_s: float,
) -> None:
    """Let the replica that refused a request count as full for a time."""
    assert active.path is not None
    for stage in active.path.stages:
        if stage.address == fault_address:
            full_until_s[stage.replica_id] = now_s + FULL_S


class LearningPool(TodaysPool):
    """A replica that refused counts as full for this host for 0.3 s."""

    def __init__(self, rng: random.Random, hosts: int) -> None:
        super().__init__(rng, hosts)
        self.full_until_s: dict[str, float] = {}

    def record_failure(
        self,
        active: ActiveRequest,
        failure: AttemptFailure,
        fault_address: str | None,
        now_s: float,
    ) -> None:
        super().record_failure(active, failure, fault_address, now_s)
        _mark_full(self.full_until_s, active, fault_address, now_s)

    def prepare(self, table: StageTable, size: GenerationSize, now_s: float) -> None:
        self.expectation.set(
            {
                replica_id: ExpectedLoad(0.0, 1e12)
                for replica_id, until_s in self.full_until_s.items()
                if now_s < until_s
            }
        )


class MemoryOnlyPool(UpstreamPool):
    """The product's expected sends in the memory, not in slots and step times."""

    def __init__(self, rng: random.Random, hosts: int) -> None:
        super().__init__(availability_zone="za", rng=rng)
        self.loads = _MemoryOnlyLoads()


class _MemoryOnlyLoads(LoadTable):
    def update_expected(self, now_s: float) -> None:
        super().update_expected(now_s)
        self.shared._expected = {
            replica_id: ExpectedLoad(0.0, load.layer_tokens)
            for replica_id, load in self.shared.expected.items()
        }


class _FullTrust(SharedCapacity):
    """The product's expected sends at full strength without a refusal."""

    def _trust(self, now_s: float) -> float:
        return 1.0


class _SameCosts(SharedCapacity):
    """The product's choice without its random factor on costs."""

    def cost_spread(self, now_s: float) -> float:
        return 0.0


def with_shared(
    shared: type[SharedCapacity],
) -> Callable[[random.Random, int], UpstreamPool]:
    """Return a function that makes the product's pool with other expected loads."""

    def make(rng: random.Random, hosts: int) -> UpstreamPool:
        pool = new_pool(rng, hosts)
        pool.loads.shared = shared()
        return pool

    return make


class LearningProductPool(UpstreamPool):
    """The product's choice; a replica that refused counts as full for 0.3 s."""

    def __init__(self, rng: random.Random, hosts: int) -> None:
        super().__init__(availability_zone="za", rng=rng)
        self.loads = _LearningLoads()

    def record_failure(
        self,
        active: ActiveRequest,
        failure: AttemptFailure,
        fault_address: str | None,
        now_s: float,
    ) -> None:
        super().record_failure(active, failure, fault_address, now_s)
        _mark_full(self.loads.full_until_s, active, fault_address, now_s)


class _LearningLoads(LoadTable):
    def __init__(self) -> None:
        super().__init__()
        self.full_until_s: dict[str, float] = {}

    def used_layer_tokens(self, replica_id: str, now_s: float) -> int:
        if now_s < self.full_until_s.get(replica_id, now_s):
            return 10**12
        return super().used_layer_tokens(replica_id, now_s)


CANDIDATES: dict[str, Any] = {
    "today": TodaysPool,
    "total growth x peers": TotalGrowthPool,
    "better of two": TwoChoicesPool,
    "weighted random": WeightedPool,
    "order by host": HostOrderPool,
    "random costs": NoisePool,
    "fair share": FairSharePool,
    "learn refusals": LearningPool,
    "product": new_pool,
    " at full strength": with_shared(_FullTrust),
    " in memory only": MemoryOnlyPool,
    " without random costs": with_shared(_SameCosts),
    " and learn refusals": LearningProductPool,
}
