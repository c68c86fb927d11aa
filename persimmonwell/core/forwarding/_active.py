"""Hold one request from its arrival to its end."""

import attrs

from persimmonwell.core.forwarding._model import (
    CallerRequest,
    Route,
    ServiceSpec,
    Tenant,
)
from persimmonwell.core.forwarding._paths import Path

WAIT_OBJECTIVES = 3.0
"""Objectives that a request may wait: callers give up streams after four."""
MIN_CALLER_PATIENCE_S = 2.0
"""Callers of streams stay at least this long without an event."""
PATIENCE_SHARE = 0.7
"""Part of the caller's patience spent waiting; the rest is for the answer."""
REPEATED_SENDS = 2
"""Sends beyond the number of upstreams that the route allows."""


@attrs.define(eq=False)
class ActiveRequest:
    """Hold what the host knows of a request that has no final answer."""

    key: int
    request: CallerRequest
    route: Route
    service: ServiceSpec
    tenant: Tenant | None
    arrived_s: float
    give_up_s: float
    """Moment at which the caller or the route stops waiting."""
    attempt: int = 0
    replica_id: str | None = None
    replicas: set[str] = attrs.field(factory=set)
    path: Path | None = None
    runs: int = 0
    """Attempts that an upstream may have run."""
    has_answer: bool = False
    """Whether a part of an answer has gone to the caller."""
    sent_s: float = 0.0
    progress_s: float = 0.0
    rerouted_s: float = float("-inf")
    not_before_s: float = float("-inf")
    """Moment until which a request that was turned away waits."""
    refusals: int = 0
    is_returning: bool = False
    """Whether it was refused before and came back."""
    reserved: dict[str, int] = attrs.field(factory=dict)

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run the request."""
        return self.runs > 0

    @property
    def has_sends_left(self) -> bool:
        """Return whether the request may be sent once more.

        The route bounds the upstreams, of which one may run a request again.
        """
        return self.attempt < self.route.max_attempts + REPEATED_SENDS

    @property
    def may_try_more(self) -> bool:
        """Return whether the route allows one more upstream."""
        return len(self.replicas) < self.route.max_attempts

    @property
    def rank(self) -> tuple[int, int, int, int]:
        """Return the order of service; the tenant's priority goes first.

        Of equal ones, answers that broke off go first, then callers who come back.
        """
        priority = self.route.priority
        if self.tenant is not None and self.tenant.priority is not None:
            priority = self.tenant.priority
        turn = 0 if self.has_answer else 1 if self.is_returning else 2
        return (priority, self.route.priority, turn, self.key)

    @property
    def patience_s(self) -> float:
        """Return how long the request may wait for a send."""
        limit_s = max(
            MIN_CALLER_PATIENCE_S, (WAIT_OBJECTIVES + 1) * self.route.objective_s
        )
        return PATIENCE_SHARE * min(limit_s, self.give_up_s - self.arrived_s)

    def waited_s(self, now_s: float) -> float:
        """Return how long the caller has waited for the next part of the answer."""
        return now_s - (self.progress_s if self.has_answer else self.arrived_s)

    def silent_s(self, now_s: float) -> float:
        """Return the time since the last event, or since the send."""
        return now_s - max(self.progress_s, self.sent_s)

    def may_use(self, replica_id: str) -> bool:
        """Return whether the route allows a send to this upstream."""
        return replica_id in self.replicas or self.may_try_more
