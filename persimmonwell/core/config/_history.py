"""Describe what became of each patch, for operators and for duplicates."""

import attrs

from persimmonwell._exceptions import Fault
from persimmonwell.core._documents import JsonObject, JsonValue, escape_json_pointer

FAULTS_KEPT = 4
FAULT_CHARACTERS = 200
CHANGED_PATHS_KEPT = 8
PATH_DEPTH = 3
"""Levels of a changed path that are kept: section, name, field."""


@attrs.frozen
class Accepted:
    """Report a patch that took effect."""

    patch_id: str
    version: int


@attrs.frozen
class Conflict:
    """Report a patch whose base version was no longer current."""

    patch_id: str
    base_version: int
    current_version: int


@attrs.frozen
class Invalid:
    """Report a record that does not yield a valid configuration."""

    patch_id: str
    faults: tuple[Fault, ...]


PatchResult = Accepted | Conflict | Invalid


@attrs.frozen
class HistoryEntry:
    """Describe one folded patch."""

    patch_id: str
    author: str
    offset: int
    version: int
    """Version in force after the patch was folded."""
    result: PatchResult
    changed: tuple[str, ...] = ()
    """JSON pointers of the changed fields; their values can be secrets."""


def changed_paths(merge: JsonValue) -> tuple[str, ...]:
    """Return the JSON pointers of the fields that a merge patch changes."""
    return tuple(_paths(merge, "", PATH_DEPTH))[:CHANGED_PATHS_KEPT]


def _paths(value: JsonValue, path: str, depth: int) -> list[str]:
    if not isinstance(value, dict) or not value or depth == 0:
        return [path or "/"]
    return [
        inner
        for name in sorted(value)
        for inner in _paths(
            value[name], f"{path}/{escape_json_pointer(name)}", depth - 1
        )
    ]


def entry_to_json(entry: HistoryEntry) -> JsonObject:
    """Return the form that snapshot records and operators read."""
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
                [fault.path[:FAULT_CHARACTERS], fault.reason[:FAULT_CHARACTERS]]
                for fault in faults[:FAULTS_KEPT]
            ]
    return document


def entry_from_json(document: JsonValue) -> HistoryEntry | None:
    """Read an entry of a snapshot record; None when its shape is wrong."""
    if not isinstance(document, dict):
        return None
    patch_id, author = document.get("id"), document.get("author")
    offset, version = document.get("offset"), document.get("version")
    if not isinstance(patch_id, str) or not isinstance(author, str):
        return None
    if type(offset) is not int or type(version) is not int:
        return None
    result = _read_result(document, patch_id, version)
    if result is None:
        return None
    changed = document.get("changed")
    paths = changed if isinstance(changed, list) else []
    return HistoryEntry(
        patch_id, author, offset, version, result, tuple(str(path) for path in paths)
    )


def _read_result(
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
            pairs = faults if isinstance(faults, list) else []
            texts = [pair for pair in pairs if isinstance(pair, list)]
            return Invalid(
                patch_id,
                tuple(Fault(str(t[0]), str(t[1])) for t in texts if len(t) == 2),
            )
        case _:
            return None
