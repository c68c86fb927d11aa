"""Operator routes for the timeline and the metrics of one host."""

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
    """Return the route that reads the timeline with an event filter."""

    def show(http: HttpRequest) -> HttpResponse:
        event_filter, limit = parse_timeline_query(http.query)
        return json_response(ring_to_document(recorder.read(event_filter, limit=limit)))

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


def parse_timeline_query(query: str) -> tuple[EventFilter, int]:
    """Return the event filter and the limit of a query string.

    Raise BadRequestError for an unknown parameter or an invalid value.
    """
    parameters = dict(parse_qsl(query, keep_blank_values=True))
    for name in parameters:
        if name not in _PARAMETERS:
            reason = f"is not one of {', '.join(_PARAMETERS)}"
            raise BadRequestError(name[:40], reason)
    limit = parameters.get("limit", str(DEFAULT_LIMIT_EVENTS))
    if not limit.isdecimal() or not 1 <= int(limit[:9]) <= MAX_LIMIT_EVENTS:
        raise BadRequestError("limit", f"must be 1 to {MAX_LIMIT_EVENTS}")
    event_filter = EventFilter(
        request_id=parameters.get("request"),
        workspace=parameters.get("workspace"),
        upstream_id=parameters.get("upstream"),
        since_s=_parse_seconds(parameters, "since_s"),
        until_s=_parse_seconds(parameters, "until_s"),
    )
    return event_filter, int(limit)


def _parse_seconds(parameters: dict[str, str], name: str) -> float | None:
    if name not in parameters:
        return None
    try:
        value = float(parameters[name])
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise BadRequestError(name, "must be seconds since the Unix epoch")
    return value
