"""Tests for the HTML report on the journal's runs."""

import json
from pathlib import Path
from typing import Any

from bench.report import newest_by_day, read_journal, render


def entry(at: str, worth: float, day: str = "trouble-1", **rest: Any) -> dict[str, Any]:
    played = {
        "name": day,
        "G": worth,
        "served": 0.9,
        "parts": [["whole day", 0.5, 0.9], ["worst windows", 0.3, 0.4]],
        "prices": [["cloud calls", 900.0, 0.04], ["orders", 3.0, 0.0]],
        "rules": {},
        **rest,
    }
    return {"site": "lanes", "at": [at, at], "head": "abcdef123", "days": [played]}


def write(folder: Path, *entries: dict[str, Any]) -> None:
    for number, document in enumerate(entries):
        path = folder / f"{number}.json"
        path.write_text(json.dumps(document), encoding="utf-8")


def test_newest_run_of_each_standard_day_is_shown(tmp_path: Path) -> None:
    """Guards against a report that shows an outdated run of a day."""
    write(
        tmp_path,
        entry("2026-12-04T08:00:00Z", 0.5),
        entry("2026-12-04T09:00:00Z", 0.6),
        entry("2026-12-04T09:10:00Z", 0.9, day="hunt-1-2"),
    )
    runs = read_journal(tmp_path)
    assert len(runs) == 3
    assert {day: run.worth for day, run in newest_by_day(runs).items()} == {
        "trouble-1": 0.6
    }


def test_report_names_limiting_part_and_broken_rules(tmp_path: Path) -> None:
    """Guards against a broken rule that the report omits."""
    broken = entry("2026-12-04T08:00:00Z", 0.0, rules={"BUDGET": "3 repeats"})
    write(tmp_path, broken)
    page = render(read_journal(tmp_path))
    assert "worst windows (-0.180)" in page
    assert "cloud calls (-0.040)" in page
    assert "trouble-1 at 2026-12-04T08:00:00Z, abcdef1: BUDGET" in page


def test_entry_without_days_is_skipped(tmp_path: Path) -> None:
    """Guards against a crash on the journal entry of a failed build."""
    write(tmp_path, {"site": "lanes", "at": ["x", "y"], "days": None})
    assert read_journal(tmp_path) == []
    assert "<h1>" in render([])
