"""Encoding and verification of snapshot records of the config stream."""

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
MAX_RECENT_IDS = 512
"""Patch ids kept to detect duplicates. It must be the same on every host, because a
host that drops ids earlier would fold a late duplicate differently. 512 patches
are about four hours at 2,800 changes a day."""


@attrs.frozen
class Snapshot:
    """Verified state of the fold before one offset."""

    offset: int
    """Offset of the first record that the state does not include."""
    document: JsonObject
    config: FleetConfig
    entries: tuple[HistoryEntry, ...]


@attrs.frozen
class SnapshotFault:
    """Reason why a snapshot record must be ignored."""

    reason: str


def snapshot_digest(
    version: int, offset: int, document: JsonObject, recent_ids: list[JsonObject]
) -> str:
    """Return the digest of all fields from which a starting host restores its state."""
    text = json.dumps(
        [version, offset, document, recent_ids], sort_keys=True, separators=(",", ":")
    )
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def encode_snapshot(snapshot: Snapshot) -> JsonObject:
    """Return a record from which another host can restore this state."""
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
    """Verify the shape, digest and document of a snapshot record."""
    version, offset = data.get("version"), data.get("offset")
    document, recent_ids = data.get("document"), data.get("recent_ids")
    if data.get("type") != "snapshot" or data.get("schema") != CONFIG_SCHEMA:
        return SnapshotFault("not a snapshot of a known schema")
    if type(version) is not int or type(offset) is not int:
        return SnapshotFault("version and offset must be integers")
    if not isinstance(document, dict) or not isinstance(recent_ids, list):
        return SnapshotFault("document or recent_ids has the wrong type")
    entries = [entry_from_json(entry) for entry in recent_ids]
    parsed = tuple(entry for entry in entries if entry is not None)
    if len(parsed) != len(entries) or len(parsed) > MAX_RECENT_IDS:
        return SnapshotFault("recent_ids has a malformed entry or too many")
    versions = [entry.version for entry in parsed]
    if version < 0 or version > offset or versions != sorted(versions):
        return SnapshotFault("versions do not fit the offset or the recent ids")
    if (versions[-1] if versions else 0) != version:
        return SnapshotFault("version differs from the last folded patch")
    raw_entries = [entry for entry in recent_ids if isinstance(entry, dict)]
    if data.get("digest") != snapshot_digest(version, offset, document, raw_entries):
        return SnapshotFault("digest does not match")
    try:
        config = parse_config(document, version)
    except DocumentError as error:
        return SnapshotFault(error.message()[:200])
    return Snapshot(offset, document, config, parsed)
