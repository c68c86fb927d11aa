"""Define the typed events that drive the router."""

from enum import StrEnum

import attrs

from persimmonwell.core._types import (
    InflightCount,
    ModelRequest,
    ServiceCall,
    ServiceReplica,
    Upstream,
)
from persimmonwell.core.config import FleetConfig


class FailureKind(StrEnum):
    """Classify how an attempt failed."""

    NOT_SENT = "not-sent"
    """The connection was refused or the upstream rejected the request unread."""
    LOST = "lost"
    """The connection broke after the request was sent."""
    TIMEOUT = "timeout"
    """No progress within the limit."""
    INVALID_ANSWER = "invalid-answer"
    """The upstream answered something the protocol does not allow."""
    BUSY = "busy"
    """The upstream refused the request for lack of capacity."""


@attrs.frozen
class RequestArrived:
    """Report a parsed and authenticated model request."""

    request: ModelRequest


@attrs.frozen
class ServiceCallArrived:
    """Report a parsed service call whose claim, if it needs one, is won."""

    call: ServiceCall


@attrs.frozen
class RequestCancelled:
    """Report that the caller left or its deadline passed."""

    request_id: str


@attrs.frozen
class FirstToken:
    """Report the first token of an attempt."""

    request_id: str
    attempt: int


@attrs.frozen
class TokensProgressed:
    """Report tokens received since the last report of this attempt."""

    request_id: str
    attempt: int
    tokens: int


@attrs.frozen
class AttemptFinished:
    """Report a whole answer."""

    request_id: str
    attempt: int
    tokens: int
    """Tokens of the whole answer."""


@attrs.frozen
class StageFailed:
    """Report an attempt that ended before the answer was whole."""

    request_id: str
    attempt: int
    upstream_id: str
    """Upstream that failed, or the first stage where it is not known."""
    failure: FailureKind
    tokens_so_far: int
    """Tokens accepted in order, which the next attempt continues from."""


@attrs.frozen
class ServiceCallFinished:
    """Report an answered service call."""

    request_id: str
    attempt: int


@attrs.frozen
class ServiceCallFailed:
    """Report a service call without an answer."""

    request_id: str
    attempt: int
    replica_id: str
    failure: FailureKind


@attrs.frozen
class LoadReported:
    """Report the load an engine published."""

    upstream_id: str
    running: int
    queued: int
    age_s: float
    """Age of the report when it was read, seconds."""


@attrs.frozen
class CacheReported:
    """Report one prefix-cache event of an engine; sequences may have gaps."""

    upstream_id: str
    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@attrs.frozen
class FleetChanged:
    """Replace the set of upstreams, service replicas and hosts."""

    upstreams: tuple[Upstream, ...]
    replicas: tuple[ServiceReplica, ...]
    live_hosts: int
    """Entry hosts believed live, this one included."""


@attrs.frozen
class ConfigChanged:
    """Put a configuration version in force."""

    config: FleetConfig


@attrs.frozen
class PeerInflight:
    """Report the in-flight requests of another entry host."""

    host_id: str
    counts: tuple[InflightCount, ...]


@attrs.frozen
class BlameLearned:
    """Report an upstream lost to a digest, seen by another host."""

    digest: str
    upstream_id: str


@attrs.frozen
class QuarantineCleared:
    """Report that an operator released a digest."""

    digest: str


@attrs.frozen
class ProbeResult:
    """Report the answer to a probe."""

    upstream_id: str
    succeeded: bool
    latency_s: float


@attrs.frozen
class Tick:
    """Let time-driven work run: queue expiry, probes, decay."""


RouterEvent = (
    RequestArrived
    | ServiceCallArrived
    | RequestCancelled
    | FirstToken
    | TokensProgressed
    | AttemptFinished
    | StageFailed
    | ServiceCallFinished
    | ServiceCallFailed
    | LoadReported
    | CacheReported
    | FleetChanged
    | ConfigChanged
    | PeerInflight
    | BlameLearned
    | QuarantineCleared
    | ProbeResult
    | Tick
)
