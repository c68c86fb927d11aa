"""Hold what the parts of the router share."""

import random
from collections import Counter, OrderedDict
from itertools import islice

import attrs

from persimmonwell.core._types import Rank, Upstream
from persimmonwell.core.admission import AdmissionQueue, Limits
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.retry import Quarantine, RetryBudget
from persimmonwell.core.router._active import Active, ActiveTable
from persimmonwell.core.router._decisions import RecordEvent, RouterDecision
from persimmonwell.core.router._replicas import ReplicaPool
from persimmonwell.core.routing import ChainRouter


@attrs.define(eq=False)
class Lane:
    """Hold the waiting requests of one model or service."""

    target: str
    queue: AdmissionQueue
    resumes: dict[Rank, OrderedDict[str, None]] = attrs.field(
        factory=lambda: {rank: OrderedDict() for rank in Rank}
    )
    """Ids of the requests that wait for another attempt, oldest first."""
    requests: int = 0
    """Requests of this target that have not ended."""
    uncovered_since_s: float | None = None
    """Since when live upstreams cannot serve the target; None when they can."""
    is_configured: bool = True
    """Whether the configuration still names the target."""

    @property
    def has_waiting(self) -> bool:
        """Return whether any request waits."""
        return len(self.queue) > 0 or any(self.resumes.values())

    def first_resumes(self, rank: Rank, count: int) -> tuple[str, ...]:
        """Return the ids of the requests to resume next."""
        return tuple(islice(self.resumes[rank], count))

    def waiting(self, rank: Rank) -> int:
        """Return the number of waiting requests of a rank."""
        return self.queue.size(rank) + len(self.resumes[rank])


@attrs.define(eq=False)
class RouterState:
    """Hold the state of one entry host's routing decisions."""

    chains: ChainRouter
    pool: ReplicaPool
    random: random.Random
    expected_hosts: int
    config: FleetConfig = FleetConfig()
    live_hosts: int = 1
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    lanes: dict[str, Lane] = attrs.field(factory=dict)
    table: ActiveTable = attrs.field(factory=ActiveTable)
    limits: Limits = attrs.field(factory=Limits)
    budget: RetryBudget = attrs.field(factory=lambda: RetryBudget(ratio=0.1))
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    refusals: Counter[str] = attrs.field(factory=Counter)
    decisions: list[RouterDecision] = attrs.field(factory=list)
    unsettled: set[str] = attrs.field(factory=set)
    """Targets with a change that may let a waiting request start."""
    turn: int = 0

    def emit(self, decision: RouterDecision) -> None:
        """Add a decision to those of the current event."""
        self.decisions.append(decision)

    def record(
        self, kind: str, active: Active, *, upstream_id: str = "", detail: str = ""
    ) -> None:
        """Add an event of a request to the time line."""
        self.emit(
            RecordEvent(
                kind=kind,
                request_id=active.request_id,
                workspace=active.work.workspace,
                upstream_id=upstream_id,
                detail=detail,
            )
        )

    def weight(self, workspace: str) -> float:
        """Return the configured weight of a workspace."""
        settings = self.config.workspace(workspace)
        return 1.0 if settings is None else settings.weight

    def unsettle_all(self) -> None:
        """Look at all targets with waiting requests after the current event."""
        self.unsettled.update(
            target for target, lane in self.lanes.items() if lane.has_waiting
        )


def model_target(model: str) -> str:
    """Return the queue name of a model."""
    return f"model:{model}"


def service_target(service: str) -> str:
    """Return the queue name of a plain service."""
    return f"service:{service}"
