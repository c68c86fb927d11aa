"""Write and verify snapshot records of the config stream."""

import hashlib
import json

import attrs

from persimmonwell._exceptions import DocumentError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config._history import (
    HistoryEntry,
    entry_from_json,
    entry_to_json,
)
from persimmonwell.core.config._model import FleetConfig, parse_config

CONFIG_SCHEMA = 1
RECENT_IDS_KEPT = 512
"""Patch ids remembered; every host must keep the same number, because a host
that forgets earlier would fold a late duplicate differently. 512 patches are
about four hours at 2,800 changes a day."""


@attrs.frozen
class Snapshot:
    """Hold a verified state of the fold before one offset."""

    offset: int
    """Offset of the first record that the state does not contain."""
    document: JsonObject
    config: FleetConfig
    entries: tuple[HistoryEntry, ...]


@attrs.frozen
class SnapshotFault:
    """Report a snapshot record that must be ignored."""

    reason: str


def snapshot_digest(
    version: int, offset: int, document: JsonObject, recent_ids: list[JsonObject]
) -> str:
    """Return the digest over every field that a starting host takes over."""
    text = json.dumps(
        [version, offset, document, recent_ids], sort_keys=True, separators=(",", ":")
    )
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def write_snapshot(snapshot: Snapshot) -> JsonObject:
    """Return the record that lets another host start from this state."""
    recent_ids = [entry_to_json(entry) for entry in snapshot.entries]
    version = snapshot.config.version
    return {
        "type": "snapshot",
        "schema": CONFIG_SCHEMA,
        "version": version,
        "digest": snapshot_digest(
            version, snapshot.offset, snapshot.document, recent_ids
        ),
        "offset": snapshot.offset,
        "document": snapshot.document,
        "recent_ids": list(recent_ids),
    }


def verify_snapshot(data: JsonObject) -> Snapshot | SnapshotFault:
    """Check the shape, digest and document of a snapshot record."""
    version, offset = data.get("version"), data.get("offset")
    document, recent_ids = data.get("document"), data.get("recent_ids")
    if data.get("type") != "snapshot" or data.get("schema") != CONFIG_SCHEMA:
        return SnapshotFault("not a snapshot of a known schema")
    if type(version) is not int or type(offset) is not int:
        return SnapshotFault("version and offset must be integers")
    if not isinstance(document, dict) or not isinstance(recent_ids, list):
        return SnapshotFault("document or recent_ids has the wrong type")
    entries = [entry_from_json(entry) for entry in recent_ids]
    kept = tuple(entry for entry in entries if entry is not None)
    if len(kept) != len(entries) or len(kept) > RECENT_IDS_KEPT:
        return SnapshotFault("recent_ids has a malformed entry or too many")
    accepted = [entry.version for entry in kept]
    if version < 0 or version > offset or accepted != sorted(accepted):
        return SnapshotFault("versions do not fit the offset or the recent ids")
    if (accepted[-1] if accepted else 0) != version:
        return SnapshotFault("version differs from the last folded patch")
    shown = [entry for entry in recent_ids if isinstance(entry, dict)]
    if data.get("digest") != snapshot_digest(version, offset, document, shown):
        return SnapshotFault("digest does not match")
    try:
        config = parse_config(document, version)
    except DocumentError as error:
        return SnapshotFault(error.message()[:200])
    return Snapshot(offset, document, config, kept)
