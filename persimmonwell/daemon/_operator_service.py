"""Serve operators' calls on their own port."""

import hmac
import json
import uuid
from collections.abc import Callable
from typing import Any

import attrs

from persimmonwell._exceptions import (
    BadRequestError,
    NotFoundError,
    PlatformUnavailableError,
    UnauthorizedError,
)
from persimmonwell.core import Outcome
from persimmonwell.core.claims import ClaimKey
from persimmonwell.core.control import Control, PatchSubmitted
from persimmonwell.daemon._claims_part import ClaimsPart
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.daemon._orders_part import OrdersPart
from persimmonwell.front import HttpRequest, HttpResponse, error_response, json_response
from persimmonwell.settings import Settings

PATCH_TIMEOUT_S = 5.0
OPEN_ROUTES = ("/healthz", "/readyz")

Route = Callable[[HttpRequest], HttpResponse]


@attrs.frozen
class OperatorService:
    """Answer operators' calls from the control state."""

    settings: Settings
    control: ControlPort
    is_draining: Callable[[], bool]
    claims: ClaimsPart
    orders: OrdersPart

    def handle(self, http: HttpRequest) -> HttpResponse:
        """Answer one HTTP request."""
        if http.path not in OPEN_ROUTES:
            self._check_token(http)
        routes: dict[tuple[str, str], Route] = {
            ("GET", "/healthz"): self._health,
            ("GET", "/readyz"): self._readiness,
            ("GET", "/config"): self._show_config,
            ("POST", "/config"): self._apply_patch,
            ("GET", "/hosts"): self._show_hosts,
            ("GET", "/upstreams"): self._show_upstreams,
            ("GET", "/leases"): self._show_leases,
            ("GET", "/orders"): self._show_orders,
        }
        route = routes.get((http.method, http.path))
        if http.method == "GET" and http.path.startswith("/claims/"):
            route = self._show_claim
        if route is None:
            raise NotFoundError("route", f"{http.method} {http.path[:200]}")
        return route(http)

    def _check_token(self, http: HttpRequest) -> None:
        token = self.settings.operators.token
        if token is None:
            return
        given = http.headers.get("authorization", "").encode()
        if not hmac.compare_digest(f"Bearer {token}".encode(), given):
            raise UnauthorizedError("operators")

    def _health(self, http: HttpRequest) -> HttpResponse:
        return json_response({"status": "alive", "host": self.settings.host_id})

    def _readiness(self, http: HttpRequest) -> HttpResponse:
        ready = self.control.inspect(lambda control: control.ready)
        if self.is_draining():
            return json_response({"status": "draining"}, status=503)
        if not ready:
            return json_response({"status": "no configuration"}, status=503)
        return json_response({"status": "ready"})

    def _show_config(self, http: HttpRequest) -> HttpResponse:
        def read(control: Control) -> dict[str, Any]:
            fold = control.config_fold
            return {
                "host": self.settings.host_id,
                "version": fold.version,
                "next_offset": fold.next_offset,
                "document": fold.document,
            }

        return json_response(self.control.inspect(read))

    def _apply_patch(self, http: HttpRequest) -> HttpResponse:
        patch = _read_patch(http.body)
        settled = self.control.submit_patch(patch, timeout_s=PATCH_TIMEOUT_S)
        if settled is None:
            reason = f"patch {patch.patch_id} may or may not take effect"
            error = PlatformUnavailableError("log", reason)
            return error_response(error, Outcome.MAY_HAVE_RUN)
        if settled.error is not None:
            return error_response(settled.error, Outcome.NOT_RUN)
        return json_response({"id": patch.patch_id, "version": settled.version})

    def _show_hosts(self, http: HttpRequest) -> HttpResponse:
        hosts = self.control.inspect(lambda control: control.entry_hosts)
        return json_response({"hosts": [attrs.asdict(host) for host in hosts]})

    def _show_upstreams(self, http: HttpRequest) -> HttpResponse:
        hosts = self.control.inspect(lambda control: control.hosts)
        upstreams = [attrs.asdict(upstream) for upstream in hosts.upstreams]
        replicas = [attrs.asdict(replica) for replica in hosts.replicas]
        return json_response({"upstreams": upstreams, "replicas": replicas})

    def _show_claim(self, http: HttpRequest) -> HttpResponse:
        """Show the winning claim of /claims/{workspace}/{service}/{key}."""
        parts = http.path.split("/", 4)[2:]
        claim = self.claims.find(ClaimKey(*parts)) if len(parts) == 3 else None
        if claim is None:
            raise NotFoundError("claim", "/".join(parts)[:200])
        result = claim.result
        return json_response(
            {
                **{n: getattr(claim, n) for n in ("claim_id", "host", "incarnation")},
                "offset": claim.offset,
                "digest": claim.digest,
                "state": "running" if result is None else "ended",
                "status": None if result is None else result.status,
                "outcome": None if result is None else result.outcome.value,
            }
        )

    def _show_leases(self, http: HttpRequest) -> HttpResponse:
        leases = [attrs.asdict(lease) for lease in self.orders.leases()]
        return json_response({"leases": leases})

    def _show_orders(self, http: HttpRequest) -> HttpResponse:
        """Show the orders of this host, which has some while it holds the lease."""
        book = self.orders.book
        document = {
            "open": [attrs.asdict(order) for order in book.open],
            "recent": [attrs.asdict(settled) for settled in book.recent],
        }
        return json_response(document)


def _read_patch(body: bytes) -> PatchSubmitted:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("body", "must be JSON") from error
    if not isinstance(document, dict):
        raise BadRequestError("body", "must be a JSON object")
    base, merge = document.get("base_version"), document.get("merge")
    if isinstance(base, bool) or not isinstance(base, int):
        raise BadRequestError("base_version", "must be an integer")
    if not isinstance(merge, dict):
        raise BadRequestError("merge", "must be an object")
    patch_id = document.get("id", uuid.uuid4().hex)
    if not isinstance(patch_id, str) or not patch_id:
        raise BadRequestError("id", "must be a non-empty string")
    author = document.get("author", "")
    if not isinstance(author, str):
        raise BadRequestError("author", "must be a string")
    return PatchSubmitted(patch_id, base, merge, author)
