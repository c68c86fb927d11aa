"""HTML rendering of a merged timeline, with one column per host."""

from collections.abc import Mapping, Sequence
from html import escape

from persimmonwell.cli._output import escape_control_chars
from persimmonwell.cli._timeline_text import describe_missing_events, format_stamp
from persimmonwell.core.timeline import EventKind, RingSnapshot, TimelineEvent

US_PER_MS = 1000

# The policy blocks scripts and external sources, as a second line of defence if text
# from a host is not escaped.
_PAGE_HEAD = """<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
 content="default-src 'none'; style-src 'unsafe-inline'">
<title>persimmonwell timeline</title>
<style>
body { font: 13px/1.4 sans-serif; margin: 1.5em; color: #222; }
table { border-collapse: collapse; }
th { position: sticky; top: 0; background: #fff; text-align: left; }
th, td { padding: 2px 10px; border-left: 1px solid #ccc; vertical-align: top; }
td.time { font-family: monospace; white-space: nowrap; border-left: 0; }
tr:hover td { background: #f4f4f4; }
.event { border-left: 4px solid #888; padding-left: 6px; max-width: 34em; }
.good { border-color: #2a7d2a; }
.bad { border-color: #b3261e; }
.change { border-color: #b06f00; }
.id { color: #666; font-family: monospace; overflow-wrap: anywhere; }
</style></head><body>
"""
_CSS_CLASSES = {
    EventKind.FINISHED: "good",
    EventKind.FIRST_TOKEN: "good",
    EventKind.CLAIM_WON: "good",
    EventKind.REFUSED: "bad",
    EventKind.CLAIM_LOST: "bad",
    EventKind.HOST_LEFT: "bad",
    EventKind.RESUMED: "change",
    EventKind.RETRIED: "change",
    EventKind.CONFIG_IN_FORCE: "change",
    EventKind.LEASE_TAKEN: "change",
    EventKind.ORDER_SENT: "change",
}


def render_html(
    events: Sequence[TimelineEvent],
    rings: Sequence[RingSnapshot],
    unreachable: Mapping[str, str],
) -> str:
    """Return an HTML page without scripts or external sources; all text is escaped."""
    hosts = sorted({event.host for event in events} | {ring.host for ring in rings})
    first_us = events[0].stamp.wall_us if events else 0
    rows = "\n".join(_render_row(event, hosts, first_us) for event in events)
    lanes = "".join(f"<th>{_escape(host)}</th>" for host in hosts)
    notes = [
        *describe_missing_events(rings),
        *(f"{address}: {reason}" for address, reason in unreachable.items()),
    ]
    note_items = "".join(f"<li>{_escape(note)}</li>" for note in notes)
    start = f", from {format_stamp(events[0].stamp)}" if events else ""
    return (
        f"{_PAGE_HEAD}<h1>Timeline</h1>\n"
        f"<p>{len(events)} events on {len(hosts)} hosts{_escape(start)}.</p>\n"
        f"<ul>{note_items}</ul>\n"
        f"<table><thead><tr><th>ms</th>{lanes}</tr></thead><tbody>\n"
        f"{rows}\n</tbody></table></body></html>"
    )


def _render_row(event: TimelineEvent, hosts: Sequence[str], first_us: int) -> str:
    offset_ms = (event.stamp.wall_us - first_us) / US_PER_MS
    cells = "".join(
        f"<td>{_render_event(event) if host == event.host else ''}</td>"
        for host in hosts
    )
    stamp = _escape(format_stamp(event.stamp))
    return f'<tr><td class="time" title="{stamp}">{offset_ms:.3f}</td>{cells}</tr>'


def _render_event(event: TimelineEvent) -> str:
    ids = [event.request_id, event.workspace, *event.upstream_ids]
    return (
        f'<div class="event {_CSS_CLASSES.get(event.kind, "")}">'
        f"<b>{_escape(event.kind.value)}</b> {_escape(event.detail)}"
        f'<div class="id">{_escape(" ".join(filter(None, ids)))}</div></div>'
    )


def _escape(text: str) -> str:
    return escape(escape_control_chars(text), quote=True)
