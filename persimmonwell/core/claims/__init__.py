"""Decide which host may send a non-repeatable call."""

from persimmonwell.core.claims._decisions import (
    AppendClaims,
    ClaimAnswered,
    ClaimDecision,
    ClaimRefused,
    ClaimWon,
)
from persimmonwell.core.claims._events import (
    CallFinished,
    ClaimRequested,
    ClaimsAppended,
    ClaimsAppendUncertain,
    ClaimsEvent,
    ClaimsRead,
    ClaimsTick,
)
from persimmonwell.core.claims._fold import ClaimFold, FoldChange, KnownClaim
from persimmonwell.core.claims._records import (
    MAX_RESULT_BODY_BYTES,
    CallResult,
    ClaimKey,
    ClaimRecord,
    ReleaseRecord,
    ResultRecord,
    encode_record,
)
from persimmonwell.core.claims._state import CLAIMS_STREAM, ClaimLimits, ClaimsState

__all__ = [
    "CLAIMS_STREAM",
    "MAX_RESULT_BODY_BYTES",
    "AppendClaims",
    "CallFinished",
    "CallResult",
    "ClaimAnswered",
    "ClaimDecision",
    "ClaimFold",
    "ClaimKey",
    "ClaimLimits",
    "ClaimRecord",
    "ClaimRefused",
    "ClaimRequested",
    "ClaimWon",
    "ClaimsAppendUncertain",
    "ClaimsAppended",
    "ClaimsEvent",
    "ClaimsRead",
    "ClaimsState",
    "ClaimsTick",
    "FoldChange",
    "KnownClaim",
    "ReleaseRecord",
    "ResultRecord",
    "encode_record",
]
