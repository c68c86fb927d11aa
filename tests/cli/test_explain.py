"""Tests of the explain command."""

import json
from pathlib import Path
from typing import Any

import pytest

from tests.cli.tool import Tool


def test_explain_merges_the_logs_of_all_hosts(tool: Tool, tmp_path: Path) -> None:
    """Guards against a history without the events of another host."""
    names = []
    for number, event in enumerate(("sent", "answered")):
        row = {"time": 5.0 + number, "host": f"h{number}", "part": "request"}
        document = {**row, "event": event, "id": "r", "status": 200}
        path = tmp_path / f"{number}.log"
        path.write_text(json.dumps(document, separators=(",", ":")), encoding="utf-8")
        names.append(str(path))
    run = tool("explain", "r", *names)
    assert run.code == 0
    first, second, end = run.out.strip().splitlines()
    assert "h0 request: sent" in first and "h1 request: answered" in second
    assert end == "answered with status 200 after 1 send(s)"
    document = tool("explain", "r", *names, "--json", "--margin", "2").document
    assert [line["event"] for line in document["lines"]] == ["sent", "answered"]
    assert tool("explain", "missing", *names).code == 2
    assert tool("explain", "r", str(tmp_path / "none.log")).code == 2
    assert tool("explain", "r", *names, "--margin", "x").code == 2


def _explain(tool: Tool, folder: Path, *rows: dict[str, Any]) -> list[str]:
    path = folder / "host.log"
    base = {"host": "h", "part": "request", "id": "r"}
    lines = [json.dumps({"time": 1.0 + n, **base, **row}) for n, row in enumerate(rows)]
    text = "\n".join(lines).replace('{"time": ', '{"time":')
    path.write_text(text, encoding="utf-8")
    reasons = tool("explain", "r", str(path), "--json").document["reasons"]
    printed = tool("explain", "r", str(path)).out
    assert all(f"\n  {reason}\n" in printed for reason in reasons)
    return list(reasons)


REFUSED = {"event": "ended", "ending": "overloaded", "detail": "queue", "ms": 1.0}
FACTS = {"class": "1/0", "retry": True, "allowed_ms": 400.0, "reports_ms": 310.0}


def test_explain_says_why_a_request_was_refused(tool: Tool, tmp_path: Path) -> None:
    """Guards against a refusal in a surge without the inputs that led to it."""
    decided = {"ahead": 12, "share": 0.634, "expected_ms": 2100.0}
    assert _explain(tool, tmp_path, {**REFUSED, **FACTS, **decided}) == [
        "priority class 1/0 decided: 12 requests went first in or above its class",
        "its workspace had 63.4% of the recent tokens of the class",
        "expected wait 2100.0 ms, allowed 400.0 ms",
        "load reports of other hosts were 310.0 ms old",
        "the caller had been refused before",
    ]


def test_explain_blames_neither_class_nor_share_without_a_queue(
    tool: Tool, tmp_path: Path
) -> None:
    """Guards against a workspace that is blamed for a lack of capacity."""
    row = {**REFUSED, **FACTS, "ahead": 0, "share": 1.0, "retry": False}
    text = " ".join(_explain(tool, tmp_path, {**row, "reports_ms": None}))
    assert "no request was ahead" in text and "100.0%" not in text
    assert "no load reports" in text and "had not been refused before" in text


@pytest.mark.parametrize(
    "rows",
    [
        [{**REFUSED, "ending": ["overloaded"]}],
        [{"event": "sent", "time": "noon"}, {**REFUSED, **FACTS}],
        [{**REFUSED, **FACTS, "ahead": 1, "share": "much"}],
        [{"event": "sent", "objective_ms": "500"}, {"event": "answered", "ms": 501.0}],
        [{"event": "sent", "objective_ms": 500.0}, {"event": "answered", "ms": [1]}],
    ],
)
def test_explain_reads_lines_with_fields_of_other_types(
    tool: Tool, tmp_path: Path, rows: list[dict[str, Any]]
) -> None:
    """Guards against a trace that one edited line of a saved log ends with an error."""
    assert not any("%" in reason for reason in _explain(tool, tmp_path, *rows))


def test_explain_gives_reasons_only_for_late_answers(
    tool: Tool, tmp_path: Path
) -> None:
    """Guards against reasons for timely answers, and late ones without any."""
    sent = {
        "event": "sent",
        "kind": "stream",
        "waited_ms": 300.0,
        "objective_ms": 500.0,
        **FACTS,
    }
    answered = {"event": "answered", "status": 200, "ms": 2000.0}
    late = _explain(tool, tmp_path, sent, {**answered, "first_ms": 501.0})
    assert "waited 300.0 ms, allowed 400.0 ms" in late
    assert _explain(tool, tmp_path, sent, {**answered, "first_ms": 499.0}) == []
    plain = {**sent, "kind": "safe"}
    assert _explain(tool, tmp_path, plain, {**answered, "first_ms": 499.0}) == late
    earlier_build = {"event": "sent", "waited_ms": 300.0}
    assert _explain(tool, tmp_path, earlier_build, answered) == []
    assert _explain(tool, tmp_path, REFUSED) == []
