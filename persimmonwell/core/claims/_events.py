"""Events handled by the claims state of one host."""

import attrs

from persimmonwell.core.claims._records import CallResult, ClaimKey
from persimmonwell.core.config import LogRecord


@attrs.frozen
class ClaimRequested:
    """A call needs a claim on its key before it may be sent."""

    request_id: str
    key: ClaimKey
    digest: str
    deadline_s: float
    first_attempt: bool
    """Whether the caller declares that it has not sent this key before."""


@attrs.frozen
class CallFinished:
    """A call whose claim was won has ended."""

    claim_id: str
    result: CallResult | None
    """None only when the call was certainly not sent."""


@attrs.frozen
class ClaimsRead:
    """A range of records was read from the claims stream."""

    first_offset: int
    """Lowest offset that the log still retains."""
    records: tuple[LogRecord, ...]
    read_s: float
    """Time on the host's clock before the read was sent."""
    era: int | None = None
    """Number of times that the log came back from an older copy, None if unknown."""


@attrs.frozen
class ClaimsAppended:
    """The log confirmed an append."""

    batch_id: int


@attrs.frozen
class ClaimsAppendUncertain:
    """An append got no answer; the log may have applied it or may still do so."""

    batch_id: int


@attrs.frozen
class ClaimsTick:
    """Time has passed: time-outs and queued appends may be due."""


ClaimsEvent = (
    ClaimRequested
    | CallFinished
    | ClaimsRead
    | ClaimsAppended
    | ClaimsAppendUncertain
    | ClaimsTick
)
