"""Tests of the outcomes command."""

import json
from pathlib import Path

from tests.cli.tool import Tool


def test_outcomes_lists_the_requests_of_all_hosts(tool: Tool, tmp_path: Path) -> None:
    """Guards against a booking that is missing because its host is gone."""
    names = []
    for number in range(2):
        line = {"time": 5.0 + number, "host": f"h{number}", "part": "request"}
        line |= {"event": "sent", "id": f"r{number}", "route": "book", "attempt": 1}
        line |= {"kind": "unsafe", "to": "i-1", "born": 7}
        path = tmp_path / f"{number}.log"
        path.write_text(json.dumps(line, separators=(",", ":")), encoding="utf-8")
        names.append(str(path))
    run = tool("outcomes", *names)
    assert run.code == 0
    first, second, total = run.out.strip().splitlines()
    assert "may_have_run r0 book" in first and "replica=i-1@7 host=h1" in second
    assert total.startswith("2 requests: 0 not_run") and "2 may_have_run" in total
    since = "1970-01-01T00:00:06Z"
    document = tool("outcomes", *names, "--since", since, "--json").document
    assert [row["request_id"] for row in document["outcomes"]] == ["r1"]
    assert document["totals"]["may_have_run"] == 1
    assert tool("outcomes", *names, "--until", "noon").code == 2
    assert tool("outcomes", str(tmp_path / "none.log")).code == 2


def test_lines_that_a_host_dropped_are_counted(tool: Tool, tmp_path: Path) -> None:
    """Guards against a list that looks complete although lines are missing."""
    fields = {"host": "h1", "part": "log", "event": "lines_dropped"}
    lines = [{"time": 5.0 + n, **fields, "count": 3 + n} for n in range(2)]
    text = "\n".join(json.dumps(line, separators=(",", ":")) for line in lines)
    path = tmp_path / "h1.log"
    path.write_text(text, encoding="utf-8")
    assert "h1 dropped 7 lines" in tool("outcomes", str(path)).out
    document = tool("outcomes", str(path), "--json").document
    assert document["lines_dropped"] == {"h1": 7}
