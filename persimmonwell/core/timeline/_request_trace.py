"""Trace of one request, reconstructed from the decision logs of all hosts."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

CONTEXT_PARTS = frozenset({"upstream", "registry", "placement", "store", "config"})
"""Components whose lines show the state that a host saw during the request."""


@attrs.frozen
class TraceLine:
    """Line of a decision log that belongs to the trace."""

    wall_s: float
    host: str
    part: str
    event: str
    fields: Mapping[str, Any]
    is_context: bool
    """Whether the line shows the state that the host saw, not the request itself."""


def read_decision_lines(log_lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the decision lines of a log and skip all other lines.

    A line may begin with a prefix of a log collector, such as a time.
    """
    decision_lines = []
    for line in log_lines:
        start = line.find('{"time":')
        if start < 0:
            continue
        try:
            document = json.loads(line[start:])
        except ValueError:
            continue
        if not (isinstance(document, dict) and "event" in document):
            continue
        if isinstance(document["time"], int | float):
            decision_lines.append(document)
    return decision_lines


def trace_request(
    lines: Iterable[Mapping[str, Any]], request_id: str, *, margin_s: float
) -> tuple[TraceLine, ...]:
    """Return the lines of a request and the context lines of its hosts, by time.

    Context lines come from the interval of the request, which margin_s extends at
    both ends. Lines that only say that a replica is alive are left out.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.get("id") == request_id]
    if not request_lines:
        return ()
    first_s = min(float(line["time"]) for line in request_lines) - margin_s
    last_s = max(float(line["time"]) for line in request_lines) + margin_s
    hosts = {str(line.get("host")) for line in request_lines}
    trace = [_trace_line(line, is_context=False) for line in request_lines]
    for line in all_lines:
        if line.get("part") not in CONTEXT_PARTS or line.get("host") not in hosts:
            continue
        if first_s <= float(line["time"]) <= last_s and line.get("event") != "alive":
            trace.append(_trace_line(line, is_context=True))
    return tuple(sorted(trace, key=lambda line: (line.wall_s, line.is_context)))


def summarize_trace(trace: Iterable[TraceLine]) -> str:
    """Return one sentence that says how the request ended."""
    request_lines = [line for line in trace if not line.is_context]
    if not request_lines:
        return "no log has a line about this request"
    sends = [line for line in request_lines if line.event == "sent"]
    failures = [
        f"{line.fields.get('failure')} ({line.fields.get('detail') or 'no detail'})"
        for line in request_lines
        if line.event == "attempt_failed"
    ]
    sends_summary = f"{len(sends)} send(s)"
    if failures:
        sends_summary += ", failed: " + ", then ".join(failures)
    last = request_lines[-1]
    if last.event == "answered":
        return f"answered with status {last.fields.get('status')} after {sends_summary}"
    if last.event == "ended":
        ending = last.fields.get("ending")
        detail = last.fields.get("detail") or "no detail"
        waited = last.fields.get("ms")
        return f"ended as {ending} ({detail}) after {waited} ms and {sends_summary}"
    if last.event == "caller_left":
        return f"the caller left after {last.fields.get('ms')} ms and {sends_summary}"
    return f"the log stops after {last.event}; {sends_summary}"


def _trace_line(line: Mapping[str, Any], *, is_context: bool) -> TraceLine:
    header_fields = {"time", "host", "part", "event", "id"}
    return TraceLine(
        wall_s=float(line["time"]),
        host=str(line.get("host", "")),
        part=str(line.get("part", "")),
        event=str(line.get("event", "")),
        fields={
            name: value for name, value in line.items() if name not in header_fields
        },
        is_context=is_context,
    )
