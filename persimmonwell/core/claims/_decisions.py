"""Define the typed decisions that the claims of one host return."""

import attrs

from persimmonwell._exceptions import PersimmonwellError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import Outcome
from persimmonwell.core.claims._records import CallResult


@attrs.frozen
class AppendClaims:
    """Append records to the claims stream; the answer comes back as an event."""

    batch_id: int
    records: tuple[JsonObject, ...]


@attrs.frozen
class ClaimWon:
    """Let the request send its call."""

    request_id: str
    claim_id: str
    send_before_s: float
    """Time on the host's clock after which the call must not be sent."""


@attrs.frozen
class ClaimAnswered:
    """Answer the request with the recorded result of its key."""

    request_id: str
    key: str
    result: CallResult


@attrs.frozen
class ClaimRefused:
    """End the request without sending its call."""

    request_id: str
    error: PersimmonwellError
    outcome: Outcome


ClaimDecision = AppendClaims | ClaimWon | ClaimAnswered | ClaimRefused
