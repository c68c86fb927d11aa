"""Fold the records of the config stream into accepted versions."""

import hashlib
import json
from collections import OrderedDict

import attrs

from persimmonwell._exceptions import DocumentError, Fault
from persimmonwell.core._documents import JsonObject, JsonValue
from persimmonwell.core.config._model import FleetConfig, parse_config

CONFIG_SCHEMA = 1
RECENT_IDS_KEPT = 4096


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


@attrs.frozen
class Duplicate:
    """Report a record that was folded before."""

    patch_id: str


@attrs.frozen
class Snapshotted:
    """Report a snapshot record."""

    version: int


@attrs.frozen
class Gap:
    """Report an offset that does not follow the last folded one."""

    expected: int
    got: int


@attrs.frozen
class UnknownSchema:
    """Report a record written by a newer release; the fold stops before it."""

    schema: int


FoldResult = (
    Accepted | Conflict | Invalid | Duplicate | Snapshotted | Gap | UnknownSchema
)


@attrs.frozen
class LogRecord:
    """Hold one record of a log stream."""

    offset: int
    data: JsonObject


def merge_patch(target: JsonValue, patch: JsonValue) -> JsonValue:
    """Apply an RFC 7396 merge patch and return the new value."""
    if not isinstance(patch, dict):
        return patch
    merged: JsonObject = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged


def document_digest(document: JsonObject) -> str:
    """Return the digest of a document in canonical JSON."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class ConfigFold:
    """Hold the configuration reached by folding records in offset order."""

    def __init__(self) -> None:
        self._next_offset = 0
        self._document: JsonObject = {}
        self._config = parse_config({}, 0)
        self._results: OrderedDict[str, Accepted | Conflict | Invalid] = OrderedDict()

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to fold."""
        return self._next_offset

    @property
    def version(self) -> int:
        """Return the current version."""
        return self._config.version

    @property
    def config(self) -> FleetConfig:
        """Return the current configuration."""
        return self._config

    @property
    def document(self) -> JsonObject:
        """Return the current document."""
        return self._document

    def result_of(self, patch_id: str) -> Accepted | Conflict | Invalid | None:
        """Return the result of a folded patch, or None when not seen."""
        return self._results.get(patch_id)

    def apply(self, record: LogRecord) -> FoldResult:
        """Fold one record; on Gap or UnknownSchema the state is unchanged."""
        if record.offset < self._next_offset:
            return Duplicate(patch_id=str(record.data.get("id", "")))
        if record.offset > self._next_offset:
            return Gap(expected=self._next_offset, got=record.offset)
        schema = record.data.get("schema", CONFIG_SCHEMA)
        if schema != CONFIG_SCHEMA:
            return UnknownSchema(schema=schema if isinstance(schema, int) else -1)
        self._next_offset = record.offset + 1
        if record.data.get("type") == "snapshot":
            return Snapshotted(version=self.version)
        return self._apply_patch(record.data)

    def _apply_patch(self, data: JsonObject) -> FoldResult:
        patch_id, base = data.get("id"), data.get("base_version")
        if not isinstance(patch_id, str) or not isinstance(base, int):
            fault = Fault(path="/", reason="patch needs id and base_version")
            return Invalid(patch_id=str(patch_id), faults=(fault,))
        if patch_id in self._results:
            return Duplicate(patch_id=patch_id)
        result = self._evaluate(patch_id, base, data.get("merge"))
        self._results[patch_id] = result
        while len(self._results) > RECENT_IDS_KEPT:
            self._results.popitem(last=False)
        return result

    def _evaluate(
        self, patch_id: str, base: int, merge: JsonValue
    ) -> Accepted | Conflict | Invalid:
        if base != self.version:
            return Conflict(
                patch_id=patch_id, base_version=base, current_version=self.version
            )
        document = merge_patch(self._document, merge)
        if not isinstance(document, dict):
            fault = Fault(path="/merge", reason="must be an object")
            return Invalid(patch_id=patch_id, faults=(fault,))
        try:
            config = parse_config(document, self.version + 1)
        except DocumentError as error:
            return Invalid(patch_id=patch_id, faults=error.faults)
        self._document, self._config = document, config
        return Accepted(patch_id=patch_id, version=config.version)
