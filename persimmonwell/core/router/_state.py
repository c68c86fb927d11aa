"""State shared by the modules of the router."""

import random
from collections import Counter, OrderedDict
from itertools import islice

import attrs

from persimmonwell.core._types import Rank, Upstream
from persimmonwell.core.admission import AdmissionQueue, Limits
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.retry import Quarantine, RetryBudget
from persimmonwell.core.router._active import ActiveRequest, ActiveRequestTable
from persimmonwell.core.router._decisions import RecordEvent, RouterDecision
from persimmonwell.core.router._replicas import ReplicaPool
from persimmonwell.core.routing import ChainRouter


@attrs.define(eq=False)
class TargetState:
    """Queues of one target, that is one model or plain service."""

    target: str
    queue: AdmissionQueue[Rank, str]
    resume_queues: dict[Rank, OrderedDict[str, None]] = attrs.field(
        factory=lambda: {rank: OrderedDict() for rank in Rank}
    )
    """Ids of the requests that wait for another attempt, next to try first."""
    active_count: int = 0
    """Number of requests of this target that have not ended."""
    uncovered_since_s: float | None = None
    """Time since which no live upstreams cover the target; None if they do."""
    is_configured: bool = True
    """Whether the configuration still names the target."""

    @property
    def has_waiting(self) -> bool:
        """Return whether any request waits."""
        return len(self.queue) > 0 or any(self.resume_queues.values())

    def next_resumes(self, rank: Rank, count: int) -> tuple[str, ...]:
        """Return up to count ids of the requests to resume next."""
        return tuple(islice(self.resume_queues[rank], count))

    def count_waiting(self, rank: Rank) -> int:
        """Return the number of waiting requests of a rank."""
        return self.queue.size(rank) + len(self.resume_queues[rank])


@attrs.define(eq=False)
class RouterState:
    """Routing state of one entry host."""

    chains: ChainRouter
    pool: ReplicaPool
    random: random.Random
    expected_hosts: int
    config: FleetConfig = FleetConfig()
    live_hosts: int = 1
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    target_states: dict[str, TargetState] = attrs.field(factory=dict)
    active_requests: ActiveRequestTable = attrs.field(factory=ActiveRequestTable)
    limits: Limits = attrs.field(factory=Limits)
    budget: RetryBudget = attrs.field(factory=lambda: RetryBudget(ratio=0.1))
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    refusals: Counter[str] = attrs.field(factory=Counter)
    decisions: list[RouterDecision] = attrs.field(factory=list)
    dirty_targets: set[str] = attrs.field(factory=set)
    """Targets with a change that may allow a waiting request to start."""
    rotation: int = 0
    """Dispatch round; decides which target is served first."""

    def emit(self, decision: RouterDecision) -> None:
        """Add a decision to the result of the current event."""
        self.decisions.append(decision)

    def record(
        self,
        kind: str,
        active: ActiveRequest,
        *,
        upstream_id: str = "",
        detail: str = "",
    ) -> None:
        """Emit a timeline event of a request."""
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

    def mark_waiting_targets_dirty(self) -> None:
        """Mark all targets with waiting requests for dispatch after this event."""
        self.dirty_targets.update(
            target
            for target, target_state in self.target_states.items()
            if target_state.has_waiting
        )


def model_target(model: str) -> str:
    """Return the target name of a model."""
    return f"model:{model}"


def service_target(service: str) -> str:
    """Return the target name of a plain service."""
    return f"service:{service}"
