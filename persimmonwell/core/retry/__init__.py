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

__all__ = [
    "AcceptedEnd",
    "AcceptedToken",
    "DropReason",
    "Dropped",
    "EndFrame",
    "TokenAssembler",
    "TokenFrame",
]
