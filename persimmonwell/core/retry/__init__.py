"""Retry budget, back-off, stream resumption and quarantine of crashing requests."""

from persimmonwell.core.retry._attempts import (
    AcceptedEnd,
    AcceptedToken,
    Dropped,
    DropReason,
    EndFrame,
    TokenAssembler,
    TokenFrame,
)
from persimmonwell.core.retry._backoff import backoff_s
from persimmonwell.core.retry._budget import RetryBudget
from persimmonwell.core.retry._crash_causes import (
    MAX_CRASHES,
    REQUEST_PREFIX,
    CauseCount,
    CauseEvidence,
    CauseQuarantine,
    CrashCandidate,
    request_cause,
)
from persimmonwell.core.retry._quarantine import Blame, Quarantine, QuarantineChange

__all__ = [
    "MAX_CRASHES",
    "REQUEST_PREFIX",
    "AcceptedEnd",
    "AcceptedToken",
    "Blame",
    "CrashCandidate",
    "DropReason",
    "Dropped",
    "EndFrame",
    "CauseCount",
    "CauseEvidence",
    "CauseQuarantine",
    "Quarantine",
    "QuarantineChange",
    "RetryBudget",
    "TokenAssembler",
    "TokenFrame",
    "backoff_s",
    "request_cause",
]
