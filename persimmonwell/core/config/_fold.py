"""Fold of the config stream: applies patches in order to the fleet configuration."""

import hashlib
import json
from collections import OrderedDict

import attrs

from persimmonwell._exceptions import DocumentError, Fault
from persimmonwell.core._documents import JsonObject, JsonValue
from persimmonwell.core.config._history import (
    Accepted,
    Conflict,
    HistoryEntry,
    Invalid,
    PatchResult,
    changed_paths,
)
from persimmonwell.core.config._model import FleetConfig, parse_config
from persimmonwell.core.config._records import LogRecord, normalize_record
from persimmonwell.core.config._snapshot import (
    CONFIG_SCHEMA,
    MAX_RECENT_IDS,
    Snapshot,
    SnapshotFault,
    encode_snapshot,
    verify_snapshot,
)

MAX_ID_CHARACTERS = 128
MAX_AUTHOR_CHARACTERS = 128


@attrs.frozen
class Duplicate:
    """The record or its patch id was folded before."""

    patch_id: str


@attrs.frozen
class SnapshotAccepted:
    """The record is a valid snapshot."""

    offset: int
    """Offset of the first record that the snapshot does not contain."""


@attrs.frozen
class SnapshotRejected:
    """The record is a snapshot that is damaged or contradicts the folded records."""

    reason: str


@attrs.frozen
class Gap:
    """The offset does not follow the last folded one."""

    expected: int
    got: int


@attrs.frozen
class UnknownSchema:
    """The record was written by a newer release; the fold stops before it."""

    schema: int


FoldResult = (
    Accepted
    | Conflict
    | Invalid
    | Duplicate
    | SnapshotAccepted
    | SnapshotRejected
    | Gap
    | UnknownSchema
)


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
    """Return the digest of the canonical JSON of a document."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class ConfigFold:
    """Configuration that results from the records folded so far, in offset order."""

    def __init__(self) -> None:
        self._next_offset = 0
        self._document: JsonObject = {}
        self._digest = document_digest({})
        self._config = parse_config({}, 0)
        self._entries: OrderedDict[str, HistoryEntry] = OrderedDict()

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

    @property
    def digest(self) -> str:
        """Return the digest of the current document."""
        return self._digest

    @property
    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the most recent patches, oldest first."""
        return tuple(self._entries.values())

    def result_of(self, patch_id: str) -> PatchResult | None:
        """Return the result of a recent patch, or None when its id is unknown."""
        entry = self._entries.get(patch_id)
        return None if entry is None else entry.result

    def snapshot_record(self) -> JsonObject:
        """Return a snapshot record of the current state."""
        return encode_snapshot(
            Snapshot(self._next_offset, self._document, self._config, self.history)
        )

    def restore_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace the state by a verified snapshot.

        Return False, without a change, when the snapshot is not newer.
        """
        if snapshot.offset <= self._next_offset:
            return False
        if snapshot.config.version < self.version:
            return False
        self._next_offset = snapshot.offset
        self._document, self._config = snapshot.document, snapshot.config
        self._digest = document_digest(snapshot.document)
        self._entries = OrderedDict((e.patch_id, e) for e in snapshot.entries)
        return True

    def apply(self, record: LogRecord) -> FoldResult:
        """Fold one record; on Gap or UnknownSchema the state does not change."""
        data = normalize_record(record.data)
        if record.offset < self._next_offset:
            return Duplicate(patch_id=str(data.get("id", ""))[:MAX_ID_CHARACTERS])
        if record.offset > self._next_offset:
            return Gap(expected=self._next_offset, got=record.offset)
        schema = data.get("schema")
        if type(schema) is int and schema > CONFIG_SCHEMA:
            return UnknownSchema(schema=schema)
        result = self._fold(data, record.offset)
        self._next_offset = record.offset + 1
        return result

    def _fold(self, data: JsonObject, offset: int) -> FoldResult:
        if data.get("type") == "snapshot":
            return self._check_snapshot(data, offset)
        patch_id, base = data.get("id"), data.get("base_version")
        if (
            data.get("type") != "patch"
            or type(data.get("schema")) is not int
            or data.get("schema") != CONFIG_SCHEMA
            or not isinstance(patch_id, str)
            or not 0 < len(patch_id) <= MAX_ID_CHARACTERS
            or type(base) is not int
        ):
            fault = Fault(path="/", reason="patch needs type, schema, id, base_version")
            return Invalid(patch_id="", faults=(fault,))
        if patch_id in self._entries:
            return Duplicate(patch_id=patch_id)
        result = self._apply_merge(patch_id, base, data.get("merge"))
        author = str(data.get("author", ""))[:MAX_AUTHOR_CHARACTERS]
        self._entries[patch_id] = HistoryEntry(
            patch_id=patch_id,
            author=author,
            offset=offset,
            version=self.version,
            result=result,
            changed=changed_paths(data.get("merge")),
        )
        while len(self._entries) > MAX_RECENT_IDS:
            self._entries.popitem(last=False)
        return result

    def _check_snapshot(self, data: JsonObject, offset: int) -> FoldResult:
        verified = verify_snapshot(data)
        if isinstance(verified, SnapshotFault):
            return SnapshotRejected(verified.reason)
        if verified.offset > offset:
            return SnapshotRejected("snapshot has an offset after its own record")
        if (
            verified.offset == offset
            and data.get("digest") != (self.snapshot_record()["digest"])
        ):
            return SnapshotRejected("snapshot differs from the folded records")
        return SnapshotAccepted(offset=verified.offset)

    def _apply_merge(self, patch_id: str, base: int, merge: JsonValue) -> PatchResult:
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
        self._digest = document_digest(document)
        return Accepted(patch_id=patch_id, version=config.version)
