"""State of one caller's request from its arrival to its final answer."""

from typing import TypeAlias

import attrs

from persimmonwell.core.forwarding._intervals import IntervalEstimate
from persimmonwell.core.forwarding._model import (
    CallerRequest,
    Route,
    RouteKind,
    ServiceSpec,
    Tenant,
)
from persimmonwell.core.forwarding._paths import PipelinePath

MAX_WAIT_OBJECTIVES = 3.0
"""Queueing limit in multiples of the latency objective; callers abandon a stream
after four objectives without an event."""
MIN_CALLER_TIMEOUT_S = 2.0
"""Callers of streams wait at least this long for an event."""
MAX_WAIT_SHARE = 0.7
"""Part of the caller's timeout that may be spent in the queue; the rest is for the
answer."""
TIMELY_WAIT_SHARE = 0.5
"""Part of the latency objective that a stream may always wait in the queue; the rest is
for its first event. One that waits longer takes the place of another in time, unless
first events are known to come sooner. With 0.3, 4% fewer streams are in time in the
replay of a surge, with 0.7 1% more, since first events take about 0.13 s there."""
MAX_SIZE_FACTOR = 4.0
"""Factor on that wait for requests of four times the typical size and more."""
SERVICE_COST_TOKENS = 100
"""Flat cost of a request to a plain service, which has a queue of its own. The decayed
sums are exchanged as integers, so it is above 1."""
NO_WORKSPACE = ""
"""Workspace of the requests without a tenant."""
EXTRA_ATTEMPTS = 2
"""Attempts beyond the number of upstreams that the route allows."""

PriorityClass: TypeAlias = tuple[int, int]
"""Priority of the tenant, or else of the route, and priority of the route."""


@attrs.define(eq=False)
class ActiveRequest:
    """Request without a final answer, with its attempts and its reservations."""

    key: int
    request: CallerRequest
    route: Route
    service: ServiceSpec
    tenant: Tenant | None
    arrived_s: float
    deadline_s: float
    """Moment at which the caller's or the route's timeout ends."""
    attempt: int = 0
    replica_id: str | None = None
    tried_replica_ids: set[str] = attrs.field(factory=set)
    path: PipelinePath | None = None
    home_step_ms: float | None = None
    """Step time of the path in the host's zone when path was chosen, None for none."""
    possible_runs: int = 0
    """Failed or cancelled attempts that an upstream may have run."""
    has_partial_answer: bool = False
    """Whether a part of an answer has been sent to the caller."""
    has_answer_head: bool = False
    """Whether the current attempt has received the head of a success."""
    has_answer_part: bool = False
    """Whether the current attempt has received an event or a part of a body."""
    sent_s: float = 0.0
    last_event_s: float = 0.0
    gaps: IntervalEstimate = attrs.field(factory=IntervalEstimate)
    """Intervals between the events of the current attempt."""
    rerouted_s: float = float("-inf")
    path_before: PipelinePath | None = None
    """Path before the last path change, on which the request stays if it fails."""
    refused_reroutes: int = 0
    """Path changes that were refused since the last event."""
    not_before_s: float = float("-inf")
    """Earliest moment of the next attempt after a refusal."""
    refusals: int = 0
    is_caller_retry: bool = False
    """Whether the caller repeats a request that a host refused."""
    is_trial: bool = False
    """Whether the request was let through to test a quarantined prompt part."""
    reserved: dict[str, int] = attrs.field(factory=dict)
    workspace: str = attrs.field(init=False)
    """Tenant's name; requests without a tenant share a workspace."""
    priority_class: PriorityClass = attrs.field(init=False)
    """Class in the queue; the tenant's priority comes first."""
    cost_tokens: int = attrs.field(init=False)
    """Tokens that the workspace is charged for one send."""

    def __attrs_post_init__(self) -> None:
        """Derive what the queue needs, which each send uses."""
        tenant = self.tenant
        priority = own_priority = self.route.priority
        if tenant is not None and tenant.priority is not None:
            priority = tenant.priority
        self.workspace = tenant.name if tenant is not None else NO_WORKSPACE
        self.priority_class = (priority, own_priority)
        self.cost_tokens = _cost_tokens(self.request, self.service)

    @property
    def is_starting(self) -> bool:
        """Return whether the upstream may be writing the first part of its answer.

        The head of a stream precedes its first event; a plain answer comes at once.
        """
        is_open = self.has_answer_head or self.route.kind is not RouteKind.STREAM
        return self.replica_id is not None and is_open and not self.has_answer_part

    @property
    def may_have_run(self) -> bool:
        """Return whether an upstream may have run an earlier attempt."""
        return self.possible_runs > 0

    @property
    def may_run_again(self) -> bool:
        """Return whether an upstream may run the request after another one may have.

        A plain answer that has begun cannot be joined with that of another run.
        """
        is_joinable = not self.has_partial_answer or self.route.kind is RouteKind.STREAM
        return self.route.is_retryable and is_joinable

    @property
    def has_attempts_left(self) -> bool:
        """Return whether one more attempt is allowed.

        The route limits the number of distinct upstreams; EXTRA_ATTEMPTS may go to an
        upstream that was tried before.
        """
        return self.attempt < self.route.max_attempts + EXTRA_ATTEMPTS

    @property
    def may_use_another_upstream(self) -> bool:
        """Return whether the route allows an upstream that was not tried yet."""
        return len(self.tried_replica_ids) < self.route.max_attempts

    @property
    def precedence(self) -> int:
        """Return the rank in the queue of the workspace, the lowest goes first.

        Interrupted answers precede callers' retries, and these new requests.
        """
        return 0 if self.has_partial_answer else 1 if self.is_caller_retry else 2

    @property
    def is_late_retry(self) -> bool:
        """Return whether the answer is late already, as to a refused caller's retry."""
        return self.is_caller_retry and not self.has_partial_answer

    @property
    def latest_send_s(self) -> float:
        """Return the time until which the request may wait in the queue."""
        return self.max_wait_s + (
            self.last_event_s if self.has_partial_answer else self.arrived_s
        )

    @property
    def max_wait_s(self) -> float:
        """Return how long the request may wait in the queue."""
        limit_s = max(
            MIN_CALLER_TIMEOUT_S,
            (MAX_WAIT_OBJECTIVES + 1) * self.route.latency_objective_s,
        )
        return MAX_WAIT_SHARE * min(limit_s, self.deadline_s - self.arrived_s)

    @property
    def size_factor(self) -> float:
        """Return the size of the request relative to a typical one of its service."""
        engine = self.service.engine
        if engine is None:
            return 1.0
        typical = engine.typical_prompt_tokens + engine.typical_output_tokens
        return self.cost_tokens / max(1.0, typical)

    def max_timely_wait_s(self, first_event_s: float | None) -> float:
        """Return the wait after which a stream that has not run is late.

        first_event_s is the usual time from a send to its first event, None if it is
        not known. Plain requests are short, and the answer to a caller's retry is late
        already. A large request waits longer, as it finds room less often.
        """
        can_be_timely = not (
            self.may_have_run or self.has_partial_answer or self.is_caller_retry
        )
        if self.route.kind is not RouteKind.STREAM or not can_be_timely:
            return float("inf")
        objective_s = self.route.latency_objective_s
        wait_s = TIMELY_WAIT_SHARE * objective_s
        if first_event_s is not None:
            wait_s = max(wait_s, objective_s - first_event_s)
        return wait_s * min(MAX_SIZE_FACTOR, max(1.0, self.size_factor))

    def waited_s(self, now_s: float) -> float:
        """Return the time since the caller got the last part, or since the arrival."""
        return now_s - (
            self.last_event_s if self.has_partial_answer else self.arrived_s
        )

    def silent_s(self, now_s: float) -> float:
        """Return the time since the last event or send, whichever came later."""
        return now_s - max(self.last_event_s, self.sent_s)

    def may_send_to(self, replica_id: str) -> bool:
        """Return whether the route allows an attempt at this upstream."""
        return replica_id in self.tried_replica_ids or self.may_use_another_upstream


def _cost_tokens(request: CallerRequest, service: ServiceSpec) -> int:
    engine = service.engine
    if engine is None or engine.layers <= 0:
        return SERVICE_COST_TOKENS
    size = request.size
    if size is None:
        return int(engine.typical_prompt_tokens + engine.typical_output_tokens)
    return max(1, size.total_tokens(engine.typical_output_tokens))
