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
from persimmonwell.core.control import Control, PatchSubmitted
from persimmonwell.daemon._control_actor import ControlPort
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
        }
        route = routes.get((http.method, http.path))
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
            return {
                "host": self.settings.host_id,
                "version": control.config.version,
                "next_offset": control.config_fold.next_offset,
                "document": control.config_document,
                "in_force": {h.host_id: h.version for h in control.host_versions},
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


def _read_patch(body: bytes) -> PatchSubmitted:
    try:
        document = json.loads(body)
        # Infinity and lone surrogates are no JSON; the log would store Infinity
        # as null, which deletes a field.
        json.dumps(document, allow_nan=False, ensure_ascii=False).encode()
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
