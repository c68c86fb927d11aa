"""Operator routes for limits, quarantine and claims, and the data they return."""

from collections.abc import Callable
from typing import Protocol

import attrs

from persimmonwell._exceptions import BadRequestError, NotFoundError
from persimmonwell.daemon._operator_routes import Route, parse_json_object
from persimmonwell.front import HttpRequest, HttpResponse, json_response


@attrs.frozen
class LimitStatus:
    """Limits of one workspace on one host."""

    workspace: str
    tokens_per_s: float | None
    """Limit over all hosts together; None means unlimited."""
    host_tokens_per_s: float | None
    """Share of this host in tokens_per_s."""
    max_concurrency: int | None
    """Limit over all hosts together; None means unlimited."""
    host_max_concurrency: int | None
    in_flight: int
    """Requests of the workspace in flight on this host."""


@attrs.frozen
class QuarantineEntry:
    """Digest of a request that was running on upstreams when they were lost."""

    digest: str
    state: str
    """Either suspect or quarantined."""
    upstream_ids: tuple[str, ...]
    """Upstreams lost while they ran a request with the digest."""


@attrs.frozen
class ClaimStatus:
    """Winning claim on an idempotency key."""

    state: str
    """Either claimed or answered."""
    host: str
    """Host that made the claim."""
    offset: int
    """Offset of the claim in the claims stream."""
    status: int | None = None
    """HTTP status of the recorded answer, or None without an answer."""


class QuarantinePort(Protocol):
    """Interface of the quarantine to the operators' routes."""

    def entries(self) -> tuple[QuarantineEntry, ...]:
        """Return every digest that is suspect or quarantined."""
        ...

    def clear(self, digest: str) -> bool:
        """Release a digest on every host; return False if it is unknown."""
        ...


ReadLimits = Callable[[], tuple[LimitStatus, ...]]
FindClaim = Callable[[str, str, str], ClaimStatus | None]
"""Function of workspace, service and key."""


def limits_routes(*, host_id: str, read_limits: ReadLimits) -> tuple[Route, ...]:
    """Return the route that shows the limits of the workspaces."""

    def show(http: HttpRequest) -> HttpResponse:
        limits = [attrs.asdict(limit) for limit in read_limits()]
        return json_response({"host": host_id, "limits": limits})

    return (Route("GET", "/limits", show),)


def quarantine_routes(*, host_id: str, quarantine: QuarantinePort) -> tuple[Route, ...]:
    """Return the routes that list and clear quarantined digests."""

    def show(http: HttpRequest) -> HttpResponse:
        entries = [attrs.asdict(entry) for entry in quarantine.entries()]
        return json_response({"host": host_id, "quarantine": entries})

    def clear(http: HttpRequest) -> HttpResponse:
        digest = parse_json_object(http.body).get("clear")
        if not isinstance(digest, str) or not digest:
            raise BadRequestError("clear", "must be a digest")
        if not quarantine.clear(digest):
            raise NotFoundError("digest", digest[:200])
        return json_response({"host": host_id, "cleared": digest})

    return (
        Route("GET", "/quarantine", show),
        Route("POST", "/quarantine", clear),
    )


def claims_routes(*, host_id: str, find_claim: FindClaim) -> tuple[Route, ...]:
    """Return the route that shows the claim on one key."""

    def show(http: HttpRequest) -> HttpResponse:
        # A key may contain slashes; a workspace and a service may not.
        segments = http.path.encode("latin-1").decode("utf-8", "replace").split("/", 4)
        if len(segments) != 5 or not all(segments[2:]):
            reason = "must be /claims/WORKSPACE/SERVICE/KEY"
            raise BadRequestError("path", reason)
        _, _, workspace, service, key = segments
        status = find_claim(workspace, service, key)
        if status is None:
            raise NotFoundError("claim", f"{workspace}/{service}/{key}"[:300])
        claim = {"workspace": workspace, "service": service, "key": key}
        return json_response({"host": host_id, **claim, **attrs.asdict(status)})

    return (Route("GET", "/claims/", show),)
