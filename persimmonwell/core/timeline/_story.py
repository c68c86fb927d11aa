"""Tell the story of one request from the decision logs of all hosts."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

CONTEXT_PARTS = frozenset({"upstream", "registry", "placement", "store", "config"})
"""Parts whose lines show what a host believed while it held the request."""


@attrs.frozen
class StoryLine:
    """Hold one line of a decision log."""

    wall_s: float
    host: str
    part: str
    event: str
    fields: Mapping[str, Any]
    is_context: bool
    """Whether the line shows the host's beliefs instead of the request."""


def read_decision_lines(text: Iterable[str]) -> list[dict[str, Any]]:
    """Return the decision lines of a log; other lines are passed over.

    A line may begin with text of whoever collected it, such as a time.
    """
    found = []
    for line in text:
        start = line.find('{"time":')
        if start < 0:
            continue
        try:
            document = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(document, dict) and "event" in document:
            found.append(document)
    return found


def tell_story(
    lines: Iterable[Mapping[str, Any]], request_id: str, *, margin_s: float
) -> tuple[StoryLine, ...]:
    """Return the request's lines, and what its hosts learned meanwhile, in order.

    Lines about replicas are kept for the replicas that the request met, and for those
    that were found dead or left; margin_s widens the interval at both ends.
    """
    known = list(lines)
    own = [line for line in known if line.get("id") == request_id]
    if not own:
        return ()
    first_s = min(float(line["time"]) for line in own) - margin_s
    last_s = max(float(line["time"]) for line in own) + margin_s
    hosts = {str(line.get("host")) for line in own}
    story = [_story_line(line, is_context=False) for line in own]
    for line in known:
        if line.get("part") not in CONTEXT_PARTS or line.get("host") not in hosts:
            continue
        if first_s <= float(line["time"]) <= last_s and line.get("event") != "alive":
            story.append(_story_line(line, is_context=True))
    return tuple(sorted(story, key=lambda each: (each.wall_s, each.is_context)))


def conclude(story: Iterable[StoryLine]) -> str:
    """Return one sentence on how the request ended."""
    own = [line for line in story if not line.is_context]
    if not own:
        return "no log has a line about this request"
    sends = [line for line in own if line.event == "sent"]
    failures = [
        f"{line.fields.get('failure')} ({line.fields.get('detail') or 'no detail'})"
        for line in own
        if line.event == "attempt_failed"
    ]
    took = f"{len(sends)} send(s)"
    if failures:
        took += ", failed: " + ", then ".join(failures)
    last = own[-1]
    if last.event == "answered":
        return f"answered with status {last.fields.get('status')} after {took}"
    if last.event == "ended":
        ending = last.fields.get("ending")
        detail = last.fields.get("detail") or "no detail"
        waited = last.fields.get("ms")
        return f"ended as {ending} ({detail}) after {waited} ms and {took}"
    if last.event == "caller_left":
        return f"the caller left after {last.fields.get('ms')} ms and {took}"
    return f"the log stops after {last.event}; {took}"


def _story_line(line: Mapping[str, Any], *, is_context: bool) -> StoryLine:
    shown = {"time", "host", "part", "event", "id"}
    return StoryLine(
        wall_s=float(line["time"]),
        host=str(line.get("host", "")),
        part=str(line.get("part", "")),
        event=str(line.get("event", "")),
        fields={name: value for name, value in line.items() if name not in shown},
        is_context=is_context,
    )
