"""Tests of the explain command."""

import json
from pathlib import Path

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
