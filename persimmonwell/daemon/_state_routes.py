"""Serve limits, quarantine and claims, each read through a small port."""

from collections.abc import Callable
from typing import Protocol

import attrs

from persimmonwell._exceptions import BadRequestError, NotFoundError
from persimmonwell.daemon._operator_routes import Route, read_object
from persimmonwell.front import HttpRequest, HttpResponse, json_response


@attrs.frozen
class LimitStatus:
    """Describe the limits of one workspace on one host."""

    workspace: str
    tokens_per_s: float | None
    """Limit over all hosts together; None means unlimited."""
    host_tokens_per_s: float | None
    """This host's share of the limit."""
    max_concurrency: int | None
    """Limit over all hosts together; None means unlimited."""
    host_max_concurrency: int | None
    in_flight: int
    """Requests of the workspace in flight on this host."""


@attrs.frozen
class QuarantineEntry:
    """Describe one request digest that was running on lost upstreams."""

    digest: str
    state: str
    """suspect or quarantined."""
    upstream_ids: tuple[str, ...]
    """Upstreams lost while they ran the digest."""


@attrs.frozen
class ClaimStatus:
    """Describe the claim that decides a key."""

    state: str
    """claimed, answered or released."""
    host: str
    """Host that holds the winning claim."""
    offset: int
    """Offset of the winning claim in stream claims."""
    status: int | None = None
    """HTTP status of the recorded answer."""


class QuarantinePort(Protocol):
    """Describe what the operators' port needs of the quarantine."""

    def entries(self) -> tuple[QuarantineEntry, ...]:
        """Return every digest that is suspect or quarantined."""
        ...

    def clear(self, digest: str) -> bool:
        """Release a digest on every host; False when it is not known."""
        ...


ReadLimits = Callable[[], tuple[LimitStatus, ...]]
FindClaim = Callable[[str, str, str], ClaimStatus | None]
"""Take workspace, service and key."""


def limits_routes(*, host_id: str, read: ReadLimits) -> tuple[Route, ...]:
    """Return the route that shows the limits of the workspaces."""

    def show(http: HttpRequest) -> HttpResponse:
        limits = [attrs.asdict(limit) for limit in read()]
        return json_response({"host": host_id, "limits": limits})

    return (Route("GET", "/limits", show),)


def quarantine_routes(*, host_id: str, quarantine: QuarantinePort) -> tuple[Route, ...]:
    """Return the routes that list and clear quarantined digests."""

    def show(http: HttpRequest) -> HttpResponse:
        entries = [attrs.asdict(entry) for entry in quarantine.entries()]
        return json_response({"host": host_id, "quarantine": entries})

    def clear(http: HttpRequest) -> HttpResponse:
        digest = read_object(http.body).get("clear")
        if not isinstance(digest, str) or not digest:
            raise BadRequestError("clear", "must be a digest")
        if not quarantine.clear(digest):
            raise NotFoundError("digest", digest[:200])
        return json_response({"host": host_id, "cleared": digest})

    return (
        Route("GET", "/quarantine", show),
        Route("POST", "/quarantine", clear),
    )


def claims_routes(*, host_id: str, find: FindClaim) -> tuple[Route, ...]:
    """Return the route that shows the claim of one key."""

    def show(http: HttpRequest) -> HttpResponse:
        # A key may contain slashes; a workspace and a service may not.
        parts = http.path.encode("latin-1").decode("utf-8", "replace").split("/", 4)
        if len(parts) != 5 or not all(parts[2:]):
            reason = "must be /claims/WORKSPACE/SERVICE/KEY"
            raise BadRequestError("path", reason)
        _, _, workspace, service, key = parts
        status = find(workspace, service, key)
        if status is None:
            raise NotFoundError("claim", f"{workspace}/{service}/{key}"[:300])
        claim = {"workspace": workspace, "service": service, "key": key}
        return json_response({"host": host_id, **claim, **attrs.asdict(status)})

    return (Route("GET", "/claims/", show),)
