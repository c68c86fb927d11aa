"""Check the merged timeline as text, JSON and HTML."""

from html.parser import HTMLParser
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.cli._output import clean
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


def test_timeline_merges_all_hosts(
    tool: Tool, listed_fleet: SmallFleet, tmp_path: Path
) -> None:
    """Guards against a timeline that misses a host, a filter or the order."""
    one = listed_fleet.daemons["host-1"].operator_address
    ids = {
        host_id: listed_fleet.complete(host_id, "a secret prompt").headers[
            "Persimmonwell-Request-Id"
        ]
        for host_id in listed_fleet.daemons
    }

    def events(*options: str) -> list[dict[str, str]]:
        document = tool("timeline", "--host", one, "--json", *options).document
        return list(document["events"])

    for host_id, request_id in ids.items():
        by_id = ("--request", request_id)
        wait_until(lambda i=by_id: "finished" in [e["kind"] for e in events(*i)])
        found = events(*by_id)
        assert {event["host"] for event in found} == {host_id}
        expected = ["received", "admitted", "dispatched", "first-token", "finished"]
        assert [event["kind"] for event in found] == expected
    merged = events("--last", "60", "--workspace", "range-a")
    assert {event["host"] for event in merged} == set(ids)
    stamps = [(event["wall_us"], event["logical"]) for event in merged]
    assert stamps == sorted(stamps)
    assert events("--until", "2001-01-01") == []
    assert {e["host"] for e in events("--only", "--limit", "3")} == {"host-1"}
    text = tool("timeline", "--host", one, "--limit", "3").out
    assert "host-2: older matching events left out" in text
    page = tmp_path / "timeline.html"
    html = ("--format", "html", "--output", str(page))
    assert tool("timeline", "--host", one, *html).code == 0
    shown = page.read_text(encoding="utf-8")
    assert all(request_id in shown for request_id in ids.values())
    assert "secret" not in shown + text


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
def test_html_escapes_everything(
    host: str, request_id: str, workspace: str, upstream: str, detail: str
) -> None:
    """Guards against text of a host or caller that becomes markup or script."""
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
        assert clean(text).strip() in shown
    assert len(render_text([event], [ring]).splitlines()) == 3


def test_extreme_times_are_shown() -> None:
    """Guards against a crash on the wrong clock of one host."""
    event = TimelineEvent("h", 0, HybridTimestamp(2**63 - 1, 4), EventKind.OTHER)
    assert "9999-12-31T23:59:59.000000Z+4" in render_text([event], [])
