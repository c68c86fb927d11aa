"""Decide on retries, resumption and quarantine."""

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
from persimmonwell.core.retry._quarantine import Blame, Quarantine, Verdict

__all__ = [
    "AcceptedEnd",
    "AcceptedToken",
    "Blame",
    "DropReason",
    "Dropped",
    "EndFrame",
    "Quarantine",
    "RetryBudget",
    "TokenAssembler",
    "TokenFrame",
    "Verdict",
    "backoff_s",
]
