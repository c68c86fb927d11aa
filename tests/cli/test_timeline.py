"""Tests of the merged timeline as text, JSON and HTML."""

from html.parser import HTMLParser
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.cli._output import escape_control_chars
from persimmonwell.cli._timeline_html import render_html
from persimmonwell.cli._timeline_text import render_text
from persimmonwell.core.timeline import (
    EventKind,
    HybridTimestamp,
    RingSnapshot,
    TimelineEvent,
)
from tests.cli.tool import Tool
from tests.fleet import SmallFleet, wait_until

TEXT = st.text(max_size=20) | st.sampled_from(
    ['<script src="//x">', '"><img onerror=x>', "</td>", "&lt;", "\x1b[2J", "a\nb"]
)
TAGS = {
    *("html", "head", "meta", "title", "style", "body", "h1", "p", "ul", "li"),
    *("table", "thead", "tbody", "tr", "th", "td", "div", "b"),
}


def test_timeline_and_metrics_cover_requests_on_all_hosts(
    tool: Tool, listed_fleet: SmallFleet, tmp_path: Path
) -> None:
    """Guards against a request with events or counts missing on one of the hosts."""
    address_1 = listed_fleet.daemons["host-1"].operator_address
    # A request that fails at engine-1 resumes after the token at which engine-3 fails,
    # so that one resume completes it, whichever engine continues it.
    for engine_id, token in (("engine-1", 5), ("engine-3", 3)):
        listed_fleet.engines[engine_id].faults["fail_at"] = token
    third = listed_fleet.add_engine("zone-1", (0, 4))
    wait_until(lambda: third in tool("upstreams", "--host", address_1).out)
    answers = [listed_fleet.complete(h, "a secret") for h in ["host-1", "host-2"] * 4]
    ids = [answer.headers["Persimmonwell-Request-Id"] for answer in answers]

    def events(*options: str) -> list[dict[str, str]]:
        document = tool("timeline", "--host", address_1, "--json", *options).document
        return list(document["events"])

    def kinds(request_id: str) -> list[str]:
        return [event["kind"] for event in events("--request", request_id)]

    wait_until(lambda: all("finished" in kinds(request_id) for request_id in ids))
    courses = [kinds(request_id) for request_id in ids]
    start = ["received", "admitted", "dispatched", "first-token"]
    resumed = [*start, "resumed", "dispatched", "first-token", "finished"]
    assert resumed in courses, courses
    assert [course for course in courses if course[:4] != start] == []
    merged = events("--last", "60", "--workspace", "range-a")
    assert {event["host"] for event in merged} == {"host-1", "host-2"}
    stamps = [(event["wall_us"], event["logical"]) for event in merged]
    assert stamps == sorted(stamps)
    assert "dispatched" in {event["kind"] for event in events("--upstream", third)}
    assert "config-in-force" in {event["kind"] for event in events()}
    assert events("--until", "2001-01-01") + events("--workspace", "range-b") == []
    assert {e["host"] for e in events("--only", "--limit", "3")} == {"host-1"}
    text = tool("timeline", "--host", address_1, "--limit", "3").out
    assert "host-2: older matching events left out" in text
    page = tmp_path / "timeline.html"
    html = ("--format", "html", "--output", str(page))
    assert tool("timeline", "--host", address_1, *html).code == 0
    shown = page.read_text(encoding="utf-8")
    metrics = listed_fleet.http.request(
        "GET", f"http://{address_1}/metrics"
    ).data.decode()
    assert all(request_id in shown for request_id in ids)
    assert "secret" not in shown + text + metrics
    for sample in (
        'requests_total{model="coach",outcome="complete",rank="urgent"} 4',
        'first_token_seconds_count{rank="urgent"} 4',
        'inter_token_seconds_count{rank="urgent"} 60',
        'in_flight_requests{rank="urgent"} 0',
        'queued_requests{rank="urgent"} 0',
        "config_version 1",
        "peers 1",
    ):
        assert f"persimmonwell_{sample}" in metrics


class _Reader(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.texts: list[str] = []
        self.tags: set[str] = set()
        self.attributes: set[str] = set()

    def handle_starttag(self, tag: str, attrs: list[tuple[str, str | None]]) -> None:
        self.tags.add(tag)
        self.attributes.update(name for name, _ in attrs)

    def handle_data(self, data: str) -> None:
        self.texts.append(data)


@given(TEXT, TEXT, TEXT, TEXT, TEXT)
def test_html_escapes_all_text(
    host: str, request_id: str, workspace: str, upstream: str, detail: str
) -> None:
    """Guards against text from a host or caller that becomes markup or script."""
    event = TimelineEvent(
        host,
        0,
        HybridTimestamp(1_700_000_000_000_000),
        EventKind.REFUSED,
        request_id,
        workspace,
        (upstream,),
        detail,
    )
    ring = RingSnapshot(host, 3, (event,))
    page = render_html([event], [ring], {host: detail})
    reader = _Reader()
    reader.feed(page)
    assert reader.tags <= TAGS
    assert reader.attributes <= {
        *("lang", "charset", "http-equiv", "content", "class", "title")
    }
    shown = "".join(reader.texts)
    for text in (host, request_id, workspace, upstream, detail):
        assert escape_control_chars(text).strip() in shown
    assert len(render_text([event], [ring]).splitlines()) == 3


def test_timestamp_beyond_datetime_range_is_formatted() -> None:
    """Guards against a crash on a timestamp from a host with a wrong clock."""
    event = TimelineEvent("h", 0, HybridTimestamp(2**63 - 1, 4), EventKind.OTHER)
    assert "9999-12-31T23:59:59.000000Z+4" in render_text([event], [])
