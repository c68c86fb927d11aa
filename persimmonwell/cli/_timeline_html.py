"""Render a merged timeline as one HTML page with a lane for each process."""

from collections.abc import Mapping, Sequence
from html import escape

from persimmonwell.cli._output import clean
from persimmonwell.cli._timeline_text import notes_on, time_text
from persimmonwell.core.timeline import EventKind, RingSnapshot, TimelineEvent

US_PER_MS = 1000

# The policy forbids scripts and every outside source, in case text of a host
# were ever written unescaped.
_HEAD = """<!doctype html>
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
_CLASSES = {
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
    """Return a page without scripts or outside sources; all text is escaped."""
    hosts = sorted({event.host for event in events} | {ring.host for ring in rings})
    first_us = events[0].stamp.wall_us if events else 0
    rows = "\n".join(_row(event, hosts, first_us) for event in events)
    lanes = "".join(f"<th>{_safe(host)}</th>" for host in hosts)
    notes = [*notes_on(rings), *(f"{a}: {why}" for a, why in unreachable.items())]
    listed = "".join(f"<li>{_safe(note)}</li>" for note in notes)
    start = f", from {time_text(events[0].stamp)}" if events else ""
    return (
        f"{_HEAD}<h1>Timeline</h1>\n"
        f"<p>{len(events)} events on {len(hosts)} hosts{_safe(start)}.</p>\n"
        f"<ul>{listed}</ul>\n"
        f"<table><thead><tr><th>ms</th>{lanes}</tr></thead><tbody>\n"
        f"{rows}\n</tbody></table></body></html>"
    )


def _row(event: TimelineEvent, hosts: Sequence[str], first_us: int) -> str:
    offset_ms = (event.stamp.wall_us - first_us) / US_PER_MS
    cells = "".join(
        f"<td>{_event(event) if host == event.host else ''}</td>" for host in hosts
    )
    stamp = _safe(time_text(event.stamp))
    return f'<tr><td class="time" title="{stamp}">{offset_ms:.3f}</td>{cells}</tr>'


def _event(event: TimelineEvent) -> str:
    ids = [event.request_id, event.workspace, *event.upstream_ids]
    return (
        f'<div class="event {_CLASSES.get(event.kind, "")}">'
        f"<b>{_safe(event.kind.value)}</b> {_safe(event.detail)}"
        f'<div class="id">{_safe(" ".join(filter(None, ids)))}</div></div>'
    )


def _safe(text: str) -> str:
    return escape(clean(text), quote=True)
