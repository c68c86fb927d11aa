"""Keep who changed what in the configuration, as read from the log."""

import threading
from collections import OrderedDict

import attrs

from persimmonwell.core._documents import JsonObject, JsonValue, escape_pointer
from persimmonwell.core.config import LogRecord

KEPT_PATCHES = 500
MAX_CHANGED_PATHS = 50
PATH_DEPTH = 3
"""Levels of a path that are kept: section, name, field."""


@attrs.frozen
class PatchSummary:
    """Describe one patch record without the values it sets.

    Values are left out because they can be workspace keys.
    """

    offset: int
    patch_id: str
    author: str
    base_version: int
    changed: tuple[str, ...]
    """JSON pointers of the changed fields."""


class ConfigHistory:
    """Hold the newest patch records, each id once at its first offset."""

    def __init__(self) -> None:
        self._patches: OrderedDict[str, PatchSummary] = OrderedDict()
        self._lock = threading.Lock()

    def note(self, records: tuple[LogRecord, ...]) -> None:
        """Take in records read from the config stream."""
        for record in records:
            summary = _summarise(record)
            if summary is None:
                continue
            with self._lock:
                self._patches.setdefault(summary.patch_id, summary)
                while len(self._patches) > KEPT_PATCHES:
                    self._patches.popitem(last=False)

    def patches(self) -> tuple[PatchSummary, ...]:
        """Return the patches kept, oldest first."""
        with self._lock:
            return tuple(self._patches.values())


def _summarise(record: LogRecord) -> PatchSummary | None:
    data: JsonObject = record.data
    patch_id, author = data.get("id"), data.get("author")
    base = data.get("base_version")
    if not isinstance(patch_id, str) or not isinstance(base, int):
        return None
    return PatchSummary(
        offset=record.offset,
        patch_id=patch_id,
        author=author if isinstance(author, str) else "",
        base_version=base,
        changed=tuple(_paths(data.get("merge"), "", PATH_DEPTH))[:MAX_CHANGED_PATHS],
    )


def _paths(value: JsonValue, path: str, depth: int) -> list[str]:
    if not isinstance(value, dict) or not value or depth == 0:
        return [path or "/"]
    return [
        inner
        for name in sorted(value)
        for inner in _paths(value[name], f"{path}/{escape_pointer(name)}", depth - 1)
    ]
