"""HTML report on the journal's runs: scores, limiting parts, prices, broken rules.

Run: python -m bench.report --out target/report.html
"""

import argparse
import base64
import html
import json
from collections import defaultdict
from collections.abc import Iterable, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any

import attrs
import pygal

JOURNAL = Path(__file__).resolve().parent.parent / "journal"
MIN_SHOWN_PRICE = 0.0005
"""Lower prices are left out of the chart; the noise between runs is 0.03."""


@attrs.frozen
class DayRun:
    """Result of one simulated day of one run."""

    site: str
    day: str
    at: str
    commit: str
    worth: float
    """Score of the day, the journal's field G; 0 to 1."""
    served: float
    parts: tuple[tuple[str, float, float], ...]
    """Name, weight and value of each part of the score."""
    prices: tuple[tuple[str, float], ...]
    """Kind and deduction from the score."""
    broken_rules: tuple[str, ...]


def read_journal(folder: Path) -> list[DayRun]:
    """Return all completed days, oldest first."""
    runs: list[DayRun] = []
    for path in sorted(folder.glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        runs += [_day_run(entry, day) for day in entry.get("days") or []]
    return runs


def _day_run(entry: dict[str, Any], day: dict[str, Any]) -> DayRun:
    return DayRun(
        site=str(entry["site"]),
        day=str(day["name"]),
        at=str(entry["at"][0]),
        commit=str(entry.get("head") or "")[:7] + ("+" if entry.get("dirty") else ""),
        worth=float(day["G"] or 0.0),
        served=float(day.get("served") or 0.0),
        parts=tuple((name, weight, value) for name, weight, value in day["parts"]),
        prices=tuple((name, cost) for name, _, cost in day["prices"] if cost > 0),
        broken_rules=tuple(day.get("rules") or ()),
    )


def group_by_site(runs: Iterable[DayRun]) -> dict[str, list[DayRun]]:
    """Return the runs by site, sites in alphabetical order."""
    sites: dict[str, list[DayRun]] = defaultdict(list)
    for run in runs:
        sites[run.site].append(run)
    return dict(sorted(sites.items()))


def newest_by_day(runs: Iterable[DayRun]) -> dict[str, DayRun]:
    """Return the newest run by standard day; generated days are left out."""
    found = {run.day: run for run in runs if _is_standard(run.day)}
    return dict(sorted(found.items()))


def _is_standard(day: str) -> bool:
    name, _, number = day.rpartition("-")
    return name in ("quiet", "trouble", "scale") and number.isdigit()


def render(runs: Sequence[DayRun]) -> str:
    """Return the report as an HTML page."""
    sections = [
        f"<h2>{html.escape(site)}</h2>"
        + _worth_chart(site_runs)
        + _binding_table(newest_by_day(site_runs))
        + _price_chart(newest_by_day(site_runs))
        + _broken_rules_list(site_runs)
        for site, site_runs in group_by_site(runs).items()
    ]
    head = "<meta charset='utf-8'><title>persimmonwell: runs of the journal</title>"
    style = "<style>body{font-family:sans-serif}td,th{padding:2px 8px}</style>"
    return f"<!doctype html>{head}{style}<h1>Runs</h1>{''.join(sections)}\n"


def _embed_chart(chart: Any) -> str:
    image = base64.b64encode(chart.render(is_unicode=False)).decode()
    return f"<img src='data:image/svg+xml;base64,{image}' width='900'>"


def _worth_chart(runs: list[DayRun]) -> str:
    chart = pygal.DateTimeLine(
        title="worth by day over time", x_label_rotation=25, height=420, range=(0, 1)
    )
    series: dict[str, list[tuple[Any, float]]] = defaultdict(list)
    for run in runs:
        if _is_standard(run.day):
            series[run.day].append((_parse_time(run.at), run.worth))
    for day, points in sorted(series.items()):
        chart.add(day, points)
    return _embed_chart(chart)


def _parse_time(at: str) -> datetime:
    return datetime.fromisoformat(at.replace("Z", "+00:00"))


def _binding_table(runs: dict[str, DayRun]) -> str:
    rows = ["<tr><th>day<th>commit<th>worth<th>served<th>binds most<th>largest price"]
    for day, run in runs.items():
        binding = max(run.parts, key=lambda p: p[1] * (1 - p[2]), default=("-", 0, 1))
        price = max(run.prices, key=lambda p: p[1], default=("-", 0.0))
        binds = f"{binding[0]} (-{binding[1] * (1 - binding[2]):.3f})"
        cells = (day, run.commit, f"{run.worth:.3f}", f"{run.served:.3f}", binds)
        text = "<td>".join(html.escape(cell) for cell in cells)
        rows.append(f"<tr><td>{text}<td>{html.escape(price[0])} (-{price[1]:.3f})")
    return f"<table>{''.join(rows)}</table>"


def _price_chart(runs: dict[str, DayRun]) -> str:
    kinds: dict[str, dict[str, float]] = defaultdict(dict)
    for day, run in runs.items():
        for kind, cost in run.prices:
            if cost >= MIN_SHOWN_PRICE:
                kinds[kind][day] = cost
    chart = pygal.StackedBar(title="prices by kind, newest run", height=420)
    chart.x_labels = list(runs)
    for kind, costs in sorted(kinds.items(), key=lambda item: -sum(item[1].values())):
        chart.add(kind, [costs.get(day, 0.0) for day in runs])
    return _embed_chart(chart)


def _broken_rules_list(runs: list[DayRun]) -> str:
    rows = [
        f"<li>{html.escape(run.day)} at {run.at}, {run.commit}: "
        f"{', '.join(run.broken_rules)}"
        for run in runs
        if run.broken_rules
    ]
    return f"<p>Days with a broken rule: {len(rows)}<ul>{''.join(rows)}</ul>"


def main() -> None:
    """Write the report to the output file."""
    parser = argparse.ArgumentParser(description="HTML report on the journal's runs.")
    parser.add_argument("--journal", type=Path, default=JOURNAL)
    parser.add_argument("--out", type=Path, default=Path("target/report.html"))
    options = parser.parse_args()
    runs = read_journal(options.journal)
    options.out.parent.mkdir(parents=True, exist_ok=True)
    options.out.write_text(render(runs), encoding="utf-8")
    print(f"{options.out}: {len(runs)} days")


if __name__ == "__main__":
    main()
