"""Define the typed events that drive the claims of one host."""

import attrs

from persimmonwell.core.claims._records import CallResult, ClaimKey
from persimmonwell.core.config import LogRecord


@attrs.frozen
class ClaimRequested:
    """Report a call that needs a claim before it may be sent."""

    request_id: str
    key: ClaimKey
    digest: str
    deadline_s: float
    first_attempt: bool
    """Whether the caller declares that it never sent this key before."""


@attrs.frozen
class CallFinished:
    """Report the end of a call whose claim was won."""

    claim_id: str
    result: CallResult | None
    """None only when it is certain that nothing was sent."""


@attrs.frozen
class ClaimsRead:
    """Report a slice of the claims stream."""

    first_offset: int
    """Lowest offset that retention has kept."""
    records: tuple[LogRecord, ...]
    read_s: float
    """Time on the host's clock before the read was sent."""


@attrs.frozen
class ClaimsAppended:
    """Report that an append was confirmed."""

    batch_id: int


@attrs.frozen
class ClaimsAppendUncertain:
    """Report an append without an answer; it may take effect, also later."""

    batch_id: int


@attrs.frozen
class ClaimsTick:
    """Let time-driven work run."""


ClaimsEvent = (
    ClaimRequested
    | CallFinished
    | ClaimsRead
    | ClaimsAppended
    | ClaimsAppendUncertain
    | ClaimsTick
)
