"""Sentences about what decided that a request was refused or answered late."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from persimmonwell.core.timeline._request_trace import TraceLine

LATE_ENDINGS = ("overloaded", "timed_out")


def explain_wait(trace: Iterable[TraceLine]) -> tuple[str, ...]:
    """Return what decided about the wait of a refused or late request.

    Empty for a timely answer, and for lines of a build that does not log it.
    """
    lines = [line for line in trace if not line.is_context]
    if not lines:
        return ()
    last = lines[-1]
    sent = next((line.fields for line in lines if line.event == "sent"), {})
    if last.event == "ended" and last.fields.get("ending") in LATE_ENDINGS:
        # A request that was sent has its reasons in the line of the first send.
        return tuple(_sentences({**sent, **_known(last.fields)}))
    if last.event == "answered" and _is_late(sent, last.fields):
        return tuple(_sentences(sent))
    return ()


def _known(fields: Mapping[str, Any]) -> dict[str, Any]:
    return {name: value for name, value in fields.items() if value is not None}


def _is_late(sent: Mapping[str, Any], answered: Mapping[str, Any]) -> bool:
    objective_ms = _number(sent, "objective_ms")
    # The objective of a stream is that of its first event.
    took_ms = _number(answered, "first_ms" if sent.get("kind") == "stream" else "ms")
    return objective_ms is not None and took_ms is not None and took_ms > objective_ms


def _number(fields: Mapping[str, Any], name: str) -> float | None:
    """Return a number of a line, None for none: anyone can edit a saved log."""
    value = fields.get(name)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number else None


def _sentences(fields: Mapping[str, Any]) -> Iterator[str]:
    def known(*names: str) -> bool:
        return all(fields.get(name) is not None for name in names)

    if known("class") and fields.get("ahead"):
        text = f"{fields['ahead']} requests went first in or above its class"
        yield f"priority class {fields['class']} decided: {text}"
        if (share := _number(fields, "share")) is not None:
            part = f"{100 * share:.1f}%"
            yield f"its workspace had {part} of the recent tokens of the class"
    elif known("class", "ahead"):
        text = "no request was ahead of it, so that neither it nor the share decided"
        yield f"priority class {fields['class']}: {text}"
    elif known("class"):
        yield f"priority class {fields['class']}"
    if known("expected_ms", "allowed_ms"):
        yield f"expected wait {fields['expected_ms']} ms, allowed {_allowed(fields)}"
    elif known("waited_ms", "allowed_ms"):
        yield f"waited {fields['waited_ms']} ms, allowed {_allowed(fields)}"
    elif known("allowed_ms"):
        yield f"allowed wait {_allowed(fields)}"
    if known("class"):
        age_ms = fields.get("reports_ms")
        yield (
            f"load reports of other hosts were {age_ms} ms old"
            if age_ms is not None
            else "no load reports of other hosts of the zone"
        )
    if known("retry"):
        before = "had" if fields["retry"] else "had not"
        yield f"the caller {before} been refused before"


def _allowed(fields: Mapping[str, Any]) -> str:
    return f"{fields['allowed_ms']} ms"
