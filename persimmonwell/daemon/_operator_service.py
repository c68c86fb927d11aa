"""Operators' port: authentication, routing and the health checks."""

import hmac
from collections.abc import Callable

import attrs

from persimmonwell._exceptions import NotFoundError, UnauthorizedError
from persimmonwell.core.control import ControlState
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.daemon._operator_routes import Route
from persimmonwell.front import HttpRequest, HttpResponse, json_response


@attrs.frozen
class OperatorService:
    """HTTP handler of the operators' port, which checks the token of each call."""

    token: str | None
    """Bearer token of operator calls; None accepts every caller."""
    open_routes: tuple[Route, ...]
    """Routes that need no token, such as the load balancer's health checks."""
    routes: tuple[Route, ...]

    def handle(self, http: HttpRequest) -> HttpResponse:
        """Return the answer to one HTTP request.

        Raise UnauthorizedError for a wrong token, NotFoundError for an unknown route.
        """
        for route in self.open_routes:
            if route.matches(http):
                return route.handler(http)
        self._check_token(http)
        for route in self.routes:
            if route.matches(http):
                return route.handler(http)
        raise NotFoundError("route", f"{http.method} {http.path[:200]}")

    def _check_token(self, http: HttpRequest) -> None:
        if self.token is None:
            return
        credentials = http.headers.get("authorization", "").encode()
        if not hmac.compare_digest(f"Bearer {self.token}".encode(), credentials):
            raise UnauthorizedError("operators")


def health_routes(
    *, host_id: str, control: ControlPort, is_draining: Callable[[], bool]
) -> tuple[Route, ...]:
    """Return the routes of the liveness and readiness checks."""

    def health(http: HttpRequest) -> HttpResponse:
        return json_response({"status": "alive", "host": host_id})

    def readiness(http: HttpRequest) -> HttpResponse:
        if is_draining():
            return json_response({"status": "draining", "host": host_id}, status=503)
        if not control.inspect(_is_ready):
            status = "no configuration"
            return json_response({"status": status, "host": host_id}, status=503)
        return json_response({"status": "ready", "host": host_id})

    return (Route("GET", "/healthz", health), Route("GET", "/readyz", readiness))


def _is_ready(control: ControlState) -> bool:
    return control.ready
