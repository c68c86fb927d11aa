"""Define the typed decisions that the router returns."""

import attrs

from persimmonwell._exceptions import PersimmonwellError
from persimmonwell.core._types import Chain, Outcome, Rank, ServiceReplica


@attrs.frozen
class Dispatch:
    """Send a model request down a chain, from the given token index on."""

    request_id: str
    attempt: int
    chain: Chain
    resume_index: int
    rank: Rank
    """Passed to the engines as scheduling priority."""
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
    """End a request without a whole answer."""

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
    """Check whether an ejected upstream answers again."""

    upstream_id: str
    address: str


@attrs.frozen
class AnnounceBlame:
    """Tell the other hosts that an upstream was lost to a digest."""

    digest: str
    upstream_id: str


@attrs.frozen
class RecordEvent:
    """Add an event to the time line."""

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
