"""Operator routes for the known hosts and upstreams, and for the host drain."""

import threading
from collections.abc import Callable
from typing import Any

import attrs

from persimmonwell._exceptions import BadRequestError
from persimmonwell.core import ServiceReplica, Upstream
from persimmonwell.core.control import ControlState
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.daemon._operator_routes import Route, parse_json_object
from persimmonwell.front import HttpRequest, HttpResponse, json_response


class DrainSwitch:
    """Flag set by an operator to drain this host.

    A drained host reports that it is not ready, so that the load balancer sends no
    new requests. It still serves those that arrive until the load balancer reacts.
    """

    def __init__(self) -> None:
        self._event = threading.Event()

    @property
    def is_drained(self) -> bool:
        """Return whether an operator has drained the host."""
        return self._event.is_set()

    def set_drained(self, drained: bool) -> None:
        """Drain the host, or return it to service."""
        if drained:
            self._event.set()
        else:
            self._event.clear()


def fleet_routes(*, host_id: str, control: ControlPort) -> tuple[Route, ...]:
    """Return the routes that list entry hosts and upstreams."""

    def list_hosts(http: HttpRequest) -> HttpResponse:
        entry_hosts = control.inspect(lambda state: state.entry_hosts)
        listed = [attrs.asdict(host) for host in entry_hosts]
        return json_response({"host": host_id, "hosts": listed})

    def list_upstreams(http: HttpRequest) -> HttpResponse:
        def read(state: ControlState) -> dict[str, Any]:
            drained_ids = {
                upstream_id
                for upstream_id, override in state.config.upstreams.items()
                if override.drained
            }

            def to_entry(
                member_id: str, member: Upstream | ServiceReplica
            ) -> dict[str, Any]:
                return {**attrs.asdict(member), "drained": member_id in drained_ids}

            listed = state.hosts
            return {
                "host": host_id,
                "upstreams": [to_entry(u.upstream_id, u) for u in listed.upstreams],
                "replicas": [to_entry(r.replica_id, r) for r in listed.replicas],
            }

        return json_response(control.inspect(read))

    return (
        Route("GET", "/hosts", list_hosts),
        Route("GET", "/upstreams", list_upstreams),
    )


def drain_routes(
    *,
    host_id: str,
    switch: DrainSwitch,
    in_flight: Callable[[], int],
    on_change: Callable[[bool], None],
) -> tuple[Route, ...]:
    """Return the routes that show and set the drain of this host.

    on_change is called with the new value after each change.
    """

    def show_drain(http: HttpRequest) -> HttpResponse:
        return json_response(
            {"host": host_id, "drained": switch.is_drained, "in_flight": in_flight()}
        )

    def change_drain(http: HttpRequest) -> HttpResponse:
        drained = parse_json_object(http.body).get("drained")
        if not isinstance(drained, bool):
            raise BadRequestError("drained", "must be true or false")
        if drained != switch.is_drained:
            switch.set_drained(drained)
            on_change(drained)
        return show_drain(http)

    return (Route("GET", "/drain", show_drain), Route("POST", "/drain", change_drain))
