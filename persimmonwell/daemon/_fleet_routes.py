"""Serve what one host knows of the fleet, and its drain switch."""

import threading
from collections.abc import Callable
from typing import Any

import attrs

from persimmonwell._exceptions import BadRequestError
from persimmonwell.core import ServiceReplica, Upstream
from persimmonwell.core.control import ControlState
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.daemon._operator_routes import Route, read_object
from persimmonwell.front import HttpRequest, HttpResponse, json_response


class DrainSwitch:
    """Hold whether an operator took this host out of service.

    A drained host is not ready, so that the load balancer sends nothing new,
    and still answers what arrives until the load balancer has noticed.
    """

    def __init__(self) -> None:
        self._event = threading.Event()

    @property
    def drained(self) -> bool:
        """Return whether the host is drained."""
        return self._event.is_set()

    def set(self, drained: bool) -> None:
        """Drain the host or put it back into service."""
        if drained:
            self._event.set()
        else:
            self._event.clear()


def fleet_routes(*, host_id: str, control: ControlPort) -> tuple[Route, ...]:
    """Return the routes that list hosts and upstreams."""

    def hosts(http: HttpRequest) -> HttpResponse:
        entry_hosts = control.inspect(lambda state: state.entry_hosts)
        listed = [attrs.asdict(host) for host in entry_hosts]
        return json_response({"host": host_id, "hosts": listed})

    def upstreams(http: HttpRequest) -> HttpResponse:
        def read(state: ControlState) -> dict[str, Any]:
            drained = {
                name
                for name, override in state.config.upstreams.items()
                if override.drained
            }

            def entry(id_: str, item: Upstream | ServiceReplica) -> dict[str, Any]:
                return {**attrs.asdict(item), "drained": id_ in drained}

            listed = state.hosts
            return {
                "host": host_id,
                "upstreams": [entry(u.upstream_id, u) for u in listed.upstreams],
                "replicas": [entry(r.replica_id, r) for r in listed.replicas],
            }

        return json_response(control.inspect(read))

    return (Route("GET", "/hosts", hosts), Route("GET", "/upstreams", upstreams))


def drain_routes(
    *,
    host_id: str,
    switch: DrainSwitch,
    in_flight: Callable[[], int],
    changed: Callable[[bool], None],
) -> tuple[Route, ...]:
    """Return the routes that drain this host and show what is in flight."""

    def show(http: HttpRequest) -> HttpResponse:
        return json_response(
            {"host": host_id, "drained": switch.drained, "in_flight": in_flight()}
        )

    def change(http: HttpRequest) -> HttpResponse:
        drained = read_object(http.body).get("drained")
        if not isinstance(drained, bool):
            raise BadRequestError("drained", "must be true or false")
        if drained != switch.drained:
            switch.set(drained)
            changed(drained)
        return show(http)

    return (Route("GET", "/drain", show), Route("POST", "/drain", change))
