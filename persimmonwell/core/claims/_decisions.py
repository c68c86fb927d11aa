"""Decisions returned by the claims state of one host."""

import attrs

from persimmonwell._exceptions import PersimmonwellError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import Outcome
from persimmonwell.core.claims._records import CallResult


@attrs.frozen
class AppendClaims:
    """Append records to the claims stream and report the outcome as an event."""

    batch_id: int
    records: tuple[JsonObject, ...]


@attrs.frozen
class ClaimWon:
    """The request holds the claim on its key and may send its call."""

    request_id: str
    claim_id: str
    send_before_s: float
    """Time on the host's clock from which on the call must not be sent."""


@attrs.frozen
class ClaimAnswered:
    """Answer the request with the result recorded under its key."""

    request_id: str
    key: str
    result: CallResult


@attrs.frozen
class ClaimRefused:
    """Fail the request without sending its call."""

    request_id: str
    error: PersimmonwellError
    outcome: Outcome


ClaimDecision = AppendClaims | ClaimWon | ClaimAnswered | ClaimRefused
