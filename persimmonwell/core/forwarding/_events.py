"""Decisions that the forwarding router returns, with endings and failure kinds."""

from enum import Enum
from typing import TypeAlias

import attrs

from persimmonwell.core.forwarding._model import CallerRequest, Route
from persimmonwell.core.forwarding._paths import PipelinePath
from persimmonwell.core.forwarding._wait_facts import WaitFacts
from persimmonwell.core.forwarding._zone_choice import ZoneCrossing
from persimmonwell.core.retry import CauseCount


class Ending(Enum):
    """Reason for which a request ends without an upstream's answer."""

    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    NOT_READY = "not_ready"
    """No configuration or no usable upstream yet; the request has not run."""
    OVERLOADED = "overloaded"
    """Shed by admission control; the request has not run."""
    QUARANTINED = "quarantined"
    """Refused because it crashes replicas; this time it has not run."""
    UNSENDABLE_TENANT = "unsendable_tenant"
    """Refused because no upstream can be told the tenant; the request has not run."""
    UPSTREAM_FAILED = "upstream_failed"
    """No attempt succeeded; the request may have run."""
    TIMED_OUT = "timed_out"
    """The deadline passed; the request may have run."""

    @property
    def has_not_run(self) -> bool:
        """Return whether the ending guarantees that no upstream ran the request."""
        return self in (
            Ending.NOT_READY,
            Ending.OVERLOADED,
            Ending.QUARANTINED,
            Ending.UNSENDABLE_TENANT,
        )


@attrs.frozen
class Send:
    """Start an attempt at a replica."""

    key: int
    attempt: int
    replica_id: str
    address: str
    path: PipelinePath | None
    deadline_s: float
    """Moment on the host's monotonic clock after which the answer is useless."""
    may_reuse_idle_connection: bool
    """Whether a connection that has long been idle may carry the request."""
    tenant: str | None
    crossing: ZoneCrossing | None = None
    """Set where the replica is in another availability zone."""


@attrs.frozen
class Finish:
    """End a request without an upstream's answer."""

    key: int
    ending: Ending
    retry_after_s: float = 0.0
    detail: str = ""
    route: Route | None = None
    requests_ahead: int | None = None
    """Queued requests that are served before this one, where that decided."""
    error: Exception | None = None
    """Unexpected error of the host that ended the request."""
    tenant: str | None = None
    share: float | None = None
    """Tenant's share of its class's recent tokens on this host, for a refusal."""
    facts: WaitFacts | None = None
    """What decided about the wait, for a refusal."""


@attrs.frozen
class CancelAttempt:
    """Cancel an attempt at its replica."""

    key: int
    attempt: int


@attrs.frozen
class FetchStallReport:
    """Ask the first replica of silent streams which stages are stalled."""

    replica_id: str
    address: str


@attrs.frozen
class ProbeReplica:
    """Probe a replica that is suspected to be dead or slow."""

    replica_id: str
    address: str


@attrs.frozen
class Reroute:
    """Move a running request to another path with the same first stage."""

    key: int
    attempt: int
    address: str
    path: PipelinePath


class RerouteFailure(Enum):
    """Why a running request was not moved to another path."""

    STAGE_UNAVAILABLE = "stage_unavailable"
    """A stage of the new path does not hold its layers, or has no room."""
    REQUEST_UNKNOWN = "request_unknown"
    """The first replica does not run the request any more."""
    NO_ANSWER = "no_answer"
    """The first replica did not answer, and may carry out the change later."""


@attrs.frozen
class CrashSuspected:
    """Report to operators a lost replica with the requests that may have crashed it."""

    replica_id: str
    starting: tuple[CallerRequest, ...]
    """Requests whose answer had been opened, without any part of it so far."""
    running_count: int
    """All requests of this host that passed through the replica."""


@attrs.frozen
class CrashResolved:
    """Report to operators whether a suspected crash counts, and against which parts."""

    replica_id: str
    cause_counts: tuple[CauseCount, ...]
    is_dismissed: bool


@attrs.frozen
class RateLimitChanged:
    """Report to operators a limit that a replica stated, or takes back with None."""

    replica_id: str
    rate_per_s: float | None


@attrs.frozen
class LeavingChanged:
    """Report that a replica states that it leaves, or no longer does."""

    replica_id: str
    is_leaving: bool
    is_from_peer: bool = False


@attrs.frozen
class HoldOffStated:
    """Report to operators the time for which a replica wants no request."""

    replica_id: str
    seconds: float


@attrs.frozen
class Quarantined:
    """Report to operators a request or prompt part under which replicas crash."""

    cause: str
    """Digest of the request, or id of the part."""


RequestDecision: TypeAlias = Send | Finish | CancelAttempt | Reroute
Report: TypeAlias = (
    CrashSuspected
    | CrashResolved
    | HoldOffStated
    | LeavingChanged
    | Quarantined
    | RateLimitChanged
)
Decision: TypeAlias = RequestDecision | FetchStallReport | ProbeReplica | Report


class AttemptFailure(Enum):
    """How an attempt failed."""

    NOT_RUN = "not_run"
    """The upstream stated that it did not run the request, or never received it."""
    WRONG_REPLICA = "wrong_replica"
    """Another replica has the address, or a stage does not hold its layers."""
    NO_CONNECTION = "no_connection"
    """No connection was made, so nothing was sent."""
    BROKEN = "broken"
    """The answer was truncated or malformed; the request may have run."""
    SILENT = "silent"
    """No answer arrived in time; the request may have run."""
    ERROR = "error"
    """The upstream answered with a server error."""

    @property
    def has_run(self) -> bool:
        """Return whether the upstream may have run the request."""
        return self in (
            AttemptFailure.BROKEN,
            AttemptFailure.SILENT,
            AttemptFailure.ERROR,
        )
