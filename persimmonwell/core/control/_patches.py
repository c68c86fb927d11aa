"""Settle operators' patches by the results of the fold."""

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
from persimmonwell.core.control._appends import Appends
from persimmonwell.core.control._decisions import ControlDecision, PatchSettled
from persimmonwell.core.control._events import PatchSubmitted

CONFIG_STREAM = "config"
PATCH_RETRY_S = 10.0
"""Appends of a patch are repeated this long; its operator stops waiting sooner."""


class PendingPatches:
    """Hold the patches whose operators wait for a result."""

    def __init__(self, appends: Appends) -> None:
        self._appends = appends
        self._append_ids: dict[str, int] = {}
        self._expiry_s: dict[str, float] = {}

    def submit(
        self, patch: PatchSubmitted, fold: ConfigFold, now_s: float
    ) -> tuple[ControlDecision, ...]:
        """Append a patch, or settle it when its id was folded before."""
        known = fold.result_of(patch.patch_id)
        if known is not None:
            return (_settled(known, fold.version),)
        append = self._appends.start(
            CONFIG_STREAM, _patch_record(patch), give_up_s=now_s + PATCH_RETRY_S
        )
        self._append_ids[patch.patch_id] = append.append_id
        self._expiry_s[patch.patch_id] = now_s + PATCH_RETRY_S
        return (append,)

    def settle(self, fold: ConfigFold) -> tuple[ControlDecision, ...]:
        """Return the results of pending patches that the fold now knows."""
        settled: list[ControlDecision] = []
        for patch_id in tuple(self._append_ids):
            result = fold.result_of(patch_id)
            if result is not None:
                self._appends.confirmed(self._append_ids[patch_id])
                self._forget(patch_id)
                settled.append(_settled(result, fold.version))
        return tuple(settled)

    def expire(self, now_s: float) -> None:
        """Forget the patches whose operators no longer wait."""
        for patch_id, expiry_s in tuple(self._expiry_s.items()):
            if now_s >= expiry_s:
                self._forget(patch_id)

    def _forget(self, patch_id: str) -> None:
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


def _settled(result: PatchResult, version: int) -> PatchSettled:
    match result:
        case Accepted(patch_id, accepted):
            return PatchSettled(patch_id, accepted, None)
        case Conflict(patch_id, base, current):
            error = ConfigConflictError(base_version=base, current_version=current)
            return PatchSettled(patch_id, version, error)
        case Invalid(patch_id, faults):
            return PatchSettled(patch_id, version, DocumentError(faults))
