"""Claims on idempotency keys: at most one host sends each non-repeatable call.

Hosts append claims to a shared log stream. The earliest claim on a key wins, and the
result that its host records answers the repeats of the call.
"""

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
from persimmonwell.core.claims._fold import ActiveClaim, ClaimFold, FoldChange
from persimmonwell.core.claims._offsets import ContinuedOffsets, ContinuedRead
from persimmonwell.core.claims._records import (
    MAX_RESULT_BODY_BYTES,
    CallResult,
    ClaimKey,
    ClaimRecord,
    ResultRecord,
    WithdrawalRecord,
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
    "ContinuedOffsets",
    "ContinuedRead",
    "FoldChange",
    "ActiveClaim",
    "WithdrawalRecord",
    "ResultRecord",
    "encode_record",
]
