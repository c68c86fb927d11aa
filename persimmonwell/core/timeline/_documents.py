"""Conversion of ring snapshots to and from JSON documents."""

from persimmonwell.core._documents import (
    FaultList,
    JsonObject,
    JsonValue,
    ObjectReader,
)
from persimmonwell.core.timeline._clock import HybridTimestamp
from persimmonwell.core.timeline._events import EventKind, TimelineEvent
from persimmonwell.core.timeline._ring import RingSnapshot

MAX_COUNTER = 2**63 - 1


def ring_to_document(ring: RingSnapshot) -> JsonObject:
    """Return the JSON form of a ring snapshot."""
    return {
        "host": ring.host,
        "overwritten": ring.overwritten,
        "truncated": ring.truncated,
        "events": [event_to_document(event) for event in ring.events],
    }


def event_to_document(event: TimelineEvent) -> JsonObject:
    """Return the JSON form of an event without empty fields."""
    document: JsonObject = {
        "host": event.host,
        "sequence": event.sequence,
        "wall_us": event.stamp.wall_us,
        "logical": event.stamp.logical,
        "kind": event.kind.value,
        "request_id": event.request_id,
        "workspace": event.workspace,
        "upstream_ids": list(event.upstream_ids),
        "detail": event.detail,
    }
    return {name: value for name, value in document.items() if value not in ("", [])}


def ring_from_document(document: JsonValue) -> RingSnapshot:
    """Parse a ring snapshot; raise DocumentError that lists every fault."""
    faults = FaultList()
    reader = ObjectReader(document, "", faults)
    entries = document.get("events") if isinstance(document, dict) else None
    if not isinstance(entries, list):
        faults.add("/events", "must be a list")
        entries = []
    ring = RingSnapshot(
        host=reader.text("host"),
        overwritten=reader.integer("overwritten", 0, maximum=MAX_COUNTER),
        truncated=reader.boolean("truncated", False),
        events=tuple(
            _read_event(ObjectReader(entry, f"/events/{index}", faults))
            for index, entry in enumerate(entries)
        ),
    )
    faults.raise_if_any()
    return ring


def _read_event(reader: ObjectReader) -> TimelineEvent:
    return TimelineEvent(
        host=reader.text("host"),
        sequence=reader.integer("sequence", maximum=MAX_COUNTER),
        stamp=HybridTimestamp(
            reader.integer("wall_us", maximum=MAX_COUNTER),
            reader.integer("logical", 0, maximum=MAX_COUNTER),
        ),
        kind=EventKind.parse(reader.text("kind")),
        request_id=reader.text("request_id", ""),
        workspace=reader.text("workspace", ""),
        upstream_ids=reader.texts("upstream_ids"),
        detail=reader.text("detail", ""),
    )
