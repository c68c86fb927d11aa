"""Configuration patches submitted by operators, completed by the fold's results."""

from persimmonwell._exceptions import ConfigConflictError, DocumentError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config import (
    CONFIG_SCHEMA,
    Accepted,
    ConfigFold,
    Conflict,
    Invalid,
    PatchResult,
)
from persimmonwell.core.control._appends import PendingAppends
from persimmonwell.core.control._decisions import ControlDecision, PatchCompleted
from persimmonwell.core.control._events import PatchSubmitted

CONFIG_STREAM = "config"
PATCH_RETRY_S = 10.0
"""Retry time of a patch's append; longer than its operator waits for the result."""


class PendingPatches:
    """Submitted patches without a result yet."""

    def __init__(self, appends: PendingAppends) -> None:
        self._appends = appends
        self._append_ids: dict[str, int] = {}
        self._expiry_s: dict[str, float] = {}

    def submit(
        self, patch: PatchSubmitted, fold: ConfigFold, now_s: float
    ) -> tuple[ControlDecision, ...]:
        """Append a patch, or complete it when its id was folded before."""
        result = fold.result_of(patch.patch_id)
        if result is not None:
            return (_completion(result, fold.version),)
        append = self._appends.start(
            CONFIG_STREAM, _patch_record(patch), retry_until_s=now_s + PATCH_RETRY_S
        )
        self._append_ids[patch.patch_id] = append.append_id
        self._expiry_s[patch.patch_id] = now_s + PATCH_RETRY_S
        return (append,)

    def complete_folded(self, fold: ConfigFold) -> tuple[ControlDecision, ...]:
        """Complete the pending patches that have been folded."""
        completed: list[ControlDecision] = []
        for patch_id in tuple(self._append_ids):
            result = fold.result_of(patch_id)
            if result is not None:
                self._appends.confirm(self._append_ids[patch_id])
                self._remove(patch_id)
                completed.append(_completion(result, fold.version))
        return tuple(completed)

    def expire(self, now_s: float) -> None:
        """Remove the patches whose retry time is over."""
        for patch_id, expiry_s in tuple(self._expiry_s.items()):
            if now_s >= expiry_s:
                self._remove(patch_id)

    def _remove(self, patch_id: str) -> None:
        self._append_ids.pop(patch_id, None)
        self._expiry_s.pop(patch_id, None)


def _patch_record(patch: PatchSubmitted) -> JsonObject:
    return {
        "type": "patch",
        "schema": CONFIG_SCHEMA,
        "id": patch.patch_id,
        "base_version": patch.base_version,
        "merge": patch.merge,
        "author": patch.author,
    }


def _completion(result: PatchResult, version: int) -> PatchCompleted:
    match result:
        case Accepted(patch_id, accepted):
            return PatchCompleted(patch_id, accepted, None)
        case Conflict(patch_id, base, current):
            error = ConfigConflictError(base_version=base, current_version=current)
            return PatchCompleted(patch_id, version, error)
        case Invalid(patch_id, faults):
            return PatchCompleted(patch_id, version, DocumentError(faults))
