"""Decisions that the router returns for its caller to carry out."""

import attrs

from persimmonwell._exceptions import PersimmonwellError
from persimmonwell.core._types import Chain, Outcome, Rank, ServiceReplica


@attrs.frozen
class Dispatch:
    """Send a model request to a chain, starting at the given token index."""

    request_id: str
    attempt: int
    chain: Chain
    resume_index: int
    rank: Rank
    """Scheduling priority to pass to the engines."""
    delay_s: float = 0.0
    """Backoff before the attempt is sent, seconds."""


@attrs.frozen
class DispatchService:
    """Send a service call to one replica."""

    request_id: str
    attempt: int
    replica: ServiceReplica
    delay_s: float = 0.0
    """Backoff before the attempt is sent, seconds."""


@attrs.frozen
class Refuse:
    """End a request with an error instead of a complete answer."""

    request_id: str
    error: PersimmonwellError
    outcome: Outcome


@attrs.frozen
class CancelAttempt:
    """Cancel an attempt at its upstreams."""

    request_id: str
    attempt: int
    chain: Chain


@attrs.frozen
class Probe:
    """Send a health probe to a suspected or ejected upstream."""

    upstream_id: str
    address: str


@attrs.frozen
class AnnounceBlame:
    """Tell the other hosts that requests with this digest crashed an upstream."""

    digest: str
    upstream_id: str


@attrs.frozen
class RecordEvent:
    """Add an event to the timeline."""

    kind: str
    request_id: str = ""
    workspace: str = ""
    upstream_id: str = ""
    detail: str = ""


RouterDecision = (
    Dispatch
    | DispatchService
    | Refuse
    | CancelAttempt
    | Probe
    | AnnounceBlame
    | RecordEvent
)
