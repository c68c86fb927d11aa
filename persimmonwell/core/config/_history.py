"""Results of recent patches, for operators and for the detection of duplicates."""

import attrs

from persimmonwell._exceptions import Fault
from persimmonwell.core._documents import JsonObject, JsonValue, escape_json_pointer

MAX_FAULTS = 4
MAX_FAULT_CHARACTERS = 200
MAX_CHANGED_PATHS = 8
MAX_PATH_DEPTH = 3
"""Longest recorded path of a changed field: section, name, field."""


@attrs.frozen
class Accepted:
    """The patch took effect."""

    patch_id: str
    version: int


@attrs.frozen
class Conflict:
    """The base version of the patch was not the current version."""

    patch_id: str
    base_version: int
    current_version: int


@attrs.frozen
class Invalid:
    """The record is malformed or does not yield a valid configuration."""

    patch_id: str
    faults: tuple[Fault, ...]


PatchResult = Accepted | Conflict | Invalid


@attrs.frozen
class HistoryEntry:
    """Folded patch with its result."""

    patch_id: str
    author: str
    offset: int
    version: int
    """Version in force after the patch was folded."""
    result: PatchResult
    changed: tuple[str, ...] = ()
    """JSON pointers of the changed fields, without values, which can be secrets."""


def changed_paths(merge: JsonValue) -> tuple[str, ...]:
    """Return the JSON pointers of the fields that a merge patch changes."""
    return tuple(_pointers_below(merge, "", MAX_PATH_DEPTH))[:MAX_CHANGED_PATHS]


def _pointers_below(value: JsonValue, path: str, depth: int) -> list[str]:
    if not isinstance(value, dict) or not value or depth == 0:
        return [path or "/"]
    return [
        pointer
        for name in sorted(value)
        for pointer in _pointers_below(
            value[name], f"{path}/{escape_json_pointer(name)}", depth - 1
        )
    ]


def entry_to_json(entry: HistoryEntry) -> JsonObject:
    """Return the JSON form used in snapshot records and shown to operators."""
    document: JsonObject = {
        "id": entry.patch_id,
        "author": entry.author,
        "offset": entry.offset,
        "version": entry.version,
        "changed": list(entry.changed),
    }
    match entry.result:
        case Accepted():
            document["result"] = "accepted"
        case Conflict(_, base, _):
            document["result"] = "conflict"
            document["base_version"] = base
        case Invalid(_, faults):
            document["result"] = "invalid"
            document["faults"] = [
                [fault.path[:MAX_FAULT_CHARACTERS], fault.reason[:MAX_FAULT_CHARACTERS]]
                for fault in faults[:MAX_FAULTS]
            ]
    return document


def entry_from_json(document: JsonValue) -> HistoryEntry | None:
    """Return the entry of a snapshot record, or None when it is malformed."""
    if not isinstance(document, dict):
        return None
    patch_id, author = document.get("id"), document.get("author")
    offset, version = document.get("offset"), document.get("version")
    if not isinstance(patch_id, str) or not isinstance(author, str):
        return None
    if type(offset) is not int or type(version) is not int:
        return None
    result = _result_from_json(document, patch_id, version)
    if result is None:
        return None
    changed = document.get("changed")
    paths = changed if isinstance(changed, list) else []
    return HistoryEntry(
        patch_id, author, offset, version, result, tuple(str(path) for path in paths)
    )


def _result_from_json(
    document: JsonObject, patch_id: str, version: int
) -> PatchResult | None:
    match document.get("result"):
        case "accepted":
            return Accepted(patch_id, version)
        case "conflict":
            base = document.get("base_version")
            return Conflict(patch_id, base, version) if type(base) is int else None
        case "invalid":
            faults = document.get("faults")
            entries = faults if isinstance(faults, list) else []
            pairs = [entry for entry in entries if isinstance(entry, list)]
            return Invalid(
                patch_id,
                tuple(Fault(str(p[0]), str(p[1])) for p in pairs if len(p) == 2),
            )
        case _:
            return None
