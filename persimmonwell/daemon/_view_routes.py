"""Serve the timeline and the metrics of one host."""

import math
from collections.abc import Callable
from urllib.parse import parse_qsl

from persimmonwell._exceptions import BadRequestError
from persimmonwell.core.timeline import EventFilter, ring_to_document
from persimmonwell.daemon._operator_routes import Route
from persimmonwell.front import HttpRequest, HttpResponse, json_response
from persimmonwell.observe import Recorder, RenderedMetrics

DEFAULT_LIMIT_EVENTS = 5000
MAX_LIMIT_EVENTS = 1_000_000
_PARAMETERS = ("request", "workspace", "upstream", "since_s", "until_s", "limit")


def timeline_routes(recorder: Recorder) -> tuple[Route, ...]:
    """Return the route that reads the timeline."""

    def show(http: HttpRequest) -> HttpResponse:
        wanted, limit = read_timeline_query(http.query)
        return json_response(ring_to_document(recorder.read(wanted, limit=limit)))

    return (Route("GET", "/timeline", show),)


def metrics_routes(render: Callable[[str], RenderedMetrics]) -> tuple[Route, ...]:
    """Return the route that renders metrics for an Accept header."""

    def show(http: HttpRequest) -> HttpResponse:
        rendered = render(http.headers.get("accept", ""))
        headers = (
            ("Content-Type", rendered.content_type),
            ("Content-Length", str(len(rendered.body))),
        )
        return HttpResponse(200, headers, (rendered.body,))

    return (Route("GET", "/metrics", show),)


def read_timeline_query(query: str) -> tuple[EventFilter, int]:
    """Return the filter and the limit; raise BadRequestError."""
    given = dict(parse_qsl(query, keep_blank_values=True))
    for name in given:
        if name not in _PARAMETERS:
            reason = f"is not one of {', '.join(_PARAMETERS)}"
            raise BadRequestError(name[:40], reason)
    limit = given.get("limit", str(DEFAULT_LIMIT_EVENTS))
    if not limit.isdecimal() or not 1 <= int(limit[:9]) <= MAX_LIMIT_EVENTS:
        raise BadRequestError("limit", f"must be 1 to {MAX_LIMIT_EVENTS}")
    wanted = EventFilter(
        request_id=given.get("request"),
        workspace=given.get("workspace"),
        upstream_id=given.get("upstream"),
        since_s=_seconds(given, "since_s"),
        until_s=_seconds(given, "until_s"),
    )
    return wanted, int(limit)


def _seconds(given: dict[str, str], name: str) -> float | None:
    if name not in given:
        return None
    try:
        value = float(given[name])
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise BadRequestError(name, "must be seconds since the Unix epoch")
    return value
