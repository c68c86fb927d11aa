"""Text and JSON rendering of a merged timeline."""

import json
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

from persimmonwell.cli._output import escape_control_chars, table_lines
from persimmonwell.core.timeline import (
    HybridTimestamp,
    RingSnapshot,
    TimelineEvent,
    event_to_document,
)

MICROSECONDS_PER_S = 1_000_000
MAX_FORMATTED_US = 253_402_300_799 * MICROSECONDS_PER_S
"""End of the year 9999, the last instant that datetime can represent."""


def format_stamp(stamp: HybridTimestamp) -> str:
    """Return a timestamp in UTC with microseconds and the logical counter."""
    seconds, micros = divmod(min(stamp.wall_us, MAX_FORMATTED_US), MICROSECONDS_PER_S)
    moment = datetime.fromtimestamp(seconds, tz=UTC)
    logical = f"+{stamp.logical}" if stamp.logical else ""
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{micros:06d}Z{logical}"


def describe_missing_events(rings: Sequence[RingSnapshot]) -> tuple[str, ...]:
    """Return notes on events that were overwritten or exceed the limit."""
    notes: list[str] = []
    for ring in rings:
        if ring.truncated:
            notes.append(f"{ring.host}: older matching events left out, see --limit")
        if ring.overwritten:
            notes.append(f"{ring.host}: {ring.overwritten} older events overwritten")
    return tuple(notes)


def render_text(events: Sequence[TimelineEvent], rings: Sequence[RingSnapshot]) -> str:
    """Return one line for each event, then notes on missing events."""
    rows = [
        (
            format_stamp(event.stamp),
            event.host,
            event.kind.value,
            event.request_id,
            event.workspace,
            event.upstream_ids,
            event.detail,
        )
        for event in events
    ]
    headers = ("TIME", "HOST", "EVENT", "REQUEST", "WORKSPACE", "UPSTREAMS", "DETAIL")
    notes = (escape_control_chars(note) for note in describe_missing_events(rings))
    return "\n".join([*table_lines(headers, rows), *notes])


def render_json(
    events: Sequence[TimelineEvent],
    rings: Sequence[RingSnapshot],
    unreachable: list[dict[str, Any]],
) -> str:
    """Return the events, hosts and unreachable hosts as one JSON document."""
    document = {
        "events": [event_to_document(event) for event in events],
        "hosts": [
            {"host": r.host, "overwritten": r.overwritten, "truncated": r.truncated}
            for r in rings
        ],
        "unreachable": unreachable,
    }
    return json.dumps(document, indent=2)
