"""Events that the router handles."""

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
    """Kind of a failed attempt."""

    NOT_SENT = "not-sent"
    """The connection was refused, or the request was rejected without being read."""
    LOST = "lost"
    """The connection broke after the request was sent."""
    TIMEOUT = "timeout"
    """No progress within the time limit."""
    INVALID_ANSWER = "invalid-answer"
    """The answer violates the protocol."""
    BUSY = "busy"
    """The upstream refused the request for lack of capacity."""


@attrs.frozen
class RequestArrived:
    """A parsed and authenticated model request arrived."""

    request: ModelRequest


@attrs.frozen
class ServiceCallArrived:
    """A parsed service call arrived; its claim, if it needs one, is already won."""

    call: ServiceCall


@attrs.frozen
class RequestCancelled:
    """The caller disconnected or its deadline passed."""

    request_id: str


@attrs.frozen
class FirstToken:
    """An attempt generated its first token."""

    request_id: str
    attempt: int


@attrs.frozen
class TokensProgressed:
    """An attempt generated tokens since its last such event."""

    request_id: str
    attempt: int
    tokens: int


@attrs.frozen
class AttemptFinished:
    """An attempt delivered the complete answer."""

    request_id: str
    attempt: int
    tokens: int
    """Tokens of the complete answer, resumed ones included."""


@attrs.frozen
class StageFailed:
    """An attempt of a model request ended before the answer was complete."""

    request_id: str
    attempt: int
    upstream_id: str
    """Upstream that failed; the first stage if that is not known."""
    failure: FailureKind
    tokens_so_far: int
    """Tokens accepted in order; the next attempt resumes after them."""


@attrs.frozen
class ServiceCallFinished:
    """A service call was answered."""

    request_id: str
    attempt: int


@attrs.frozen
class ServiceCallFailed:
    """An attempt of a service call failed."""

    request_id: str
    attempt: int
    replica_id: str
    failure: FailureKind


@attrs.frozen
class LoadReported:
    """An engine published a load report."""

    upstream_id: str
    running: int
    queued: int
    age_s: float
    """Age of the report when it was read, seconds."""


@attrs.frozen
class CacheReported:
    """An engine published a prefix-cache event; sequence numbers may have gaps."""

    upstream_id: str
    sequence: int
    stored: tuple[int, ...]
    evicted: tuple[int, ...]


@attrs.frozen
class FleetChanged:
    """The set of upstreams, service replicas and hosts changed; holds the new one."""

    upstreams: tuple[Upstream, ...]
    replicas: tuple[ServiceReplica, ...]
    live_hosts: int
    """QueueEntry hosts that membership considers live, including this one."""


@attrs.frozen
class ConfigChanged:
    """A configuration version came into force."""

    config: FleetConfig


@attrs.frozen
class PeerInflight:
    """Another entry host published its in-flight counts."""

    host_id: str
    counts: tuple[InflightCount, ...]


@attrs.frozen
class BlameReceived:
    """Another host attributes the loss of an upstream to a digest."""

    digest: str
    upstream_id: str


@attrs.frozen
class QuarantineCleared:
    """An operator released a digest from quarantine."""

    digest: str


@attrs.frozen
class ProbeResult:
    """A health probe was answered or failed."""

    upstream_id: str
    succeeded: bool
    latency_s: float


@attrs.frozen
class Tick:
    """Periodic tick for time-driven work: queue expiry, probes, decay."""


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
    | BlameReceived
    | QuarantineCleared
    | ProbeResult
    | Tick
)
