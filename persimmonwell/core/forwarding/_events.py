"""Name the decisions of the forwarding state and the reasons behind them."""

from enum import Enum
from typing import TypeAlias

import attrs

from persimmonwell.core.forwarding._paths import Path


class Ending(Enum):
    """Say why a request ends without an upstream's answer."""

    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_KEY = "unknown_key"
    NOT_READY = "not_ready"
    """No configuration or no usable upstream yet; the request has not run."""
    OVERLOADED = "overloaded"
    """The request has not run."""
    QUARANTINED = "quarantined"
    """The request crashes replicas; it has not run this time."""
    UPSTREAM_FAILED = "upstream_failed"
    """The request may have run."""
    TIMED_OUT = "timed_out"
    """The request may have run."""

    @property
    def has_not_run(self) -> bool:
        """Return whether the ending promises that no upstream ran the request."""
        return self in (Ending.NOT_READY, Ending.OVERLOADED, Ending.QUARANTINED)


@attrs.frozen
class Send:
    """Send a request to a replica."""

    key: int
    attempt: int
    replica_id: str
    address: str
    path: Path | None
    deadline_s: float
    """Moment at which the replica may stop working, on the host's steady clock."""
    may_reuse_idle: bool
    """Whether a connection that idled for long may carry the request."""
    tenant: str | None


@attrs.frozen
class Finish:
    """End a request without an answer of an upstream."""

    key: int
    ending: Ending
    retry_after_s: float = 0.0
    detail: str = ""


@attrs.frozen
class CancelAttempt:
    """Stop an attempt at its replica."""

    key: int
    attempt: int


@attrs.frozen
class AskStalled:
    """Ask the first replica of silent requests which stages have stopped."""

    replica_id: str
    address: str


@attrs.frozen
class CheckReplica:
    """Ask a suspected replica whether it is alive."""

    replica_id: str
    address: str


@attrs.frozen
class Reroute:
    """Move a running request to another path with the same first replica."""

    key: int
    attempt: int
    address: str
    path: Path


@attrs.frozen
class Quarantined:
    """Tell operators of a request that is refused since it crashes replicas."""

    digest: str


RequestDecision: TypeAlias = Send | Finish | CancelAttempt | Reroute
Decision: TypeAlias = RequestDecision | AskStalled | CheckReplica | Quarantined


class AttemptFailure(Enum):
    """Say how an attempt failed."""

    NOT_RUN = "not_run"
    """The upstream said that it has not run the request, or never got it."""
    WRONG_REPLICA = "wrong_replica"
    """Another replica has the address, or a part of the path is not there."""
    NO_CONNECTION = "no_connection"
    """No connection was made, so nothing was sent."""
    BROKEN = "broken"
    """The answer broke off or made no sense; the request may have run."""
    SILENT = "silent"
    """No answer came in time; the request may have run."""
    ERROR = "error"
    """The upstream answered with an error of its own."""

    @property
    def has_run(self) -> bool:
        """Return whether the upstream may have run the request."""
        return self in (
            AttemptFailure.BROKEN,
            AttemptFailure.SILENT,
            AttemptFailure.ERROR,
        )
