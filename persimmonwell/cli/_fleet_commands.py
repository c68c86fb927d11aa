"""Commands to list hosts and upstreams, and to drain them."""

import os
import time
from typing import ClassVar

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonwell.cli._base import (
    FleetCommand,
    ToolCommand,
    fleet_option,
    help_text,
    list_field,
)
from persimmonwell.cli._client import OperatorAnswer
from persimmonwell.cli._config_commands import send_patch
from persimmonwell.cli._exits import EXIT_OK, EXIT_PARTIAL, EXIT_REFUSED
from persimmonwell.cli._options import (
    build_client,
    connection_options,
    single_host_address,
)

DRAIN_POLL_S = 0.2


class HostsCommand(FleetCommand):
    """Command that lists the entry hosts."""

    name = "hosts"
    description = "List the entry hosts known to each host asked."
    help = help_text(
        "Print the entry hosts known to each host asked. Hosts that disagree are\n"
        "partitioned or have read the platform's list at different times.",
        "hosts --host 127.0.0.1:7001",
        "hosts --fleet --json",
    )
    options: ClassVar[list[Option]] = [*connection_options(), *fleet_option()]
    path = "/hosts"

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print one line for each known entry host."""
        names = ("host_id", "availability_zone", "operator_address", "leaving")
        headers = ("ASKED", "HOST", "ZONE", "OPERATORS", "LEAVING")
        rows = [
            [answer.host, *(row.get(name) for name in names)]
            for answer in answers
            for row in list_field(answer, "hosts")
        ]
        self.printer.table(headers, rows)


class UpstreamsCommand(FleetCommand):
    """Command that lists engines and service replicas."""

    name = "upstreams"
    description = "List the engines and service replicas known to each host asked."
    help = help_text(
        "Print engines with model and layers, and service replicas.",
        "upstreams --host 127.0.0.1:7001",
        "upstreams --json",
    )
    options: ClassVar[list[Option]] = [*connection_options(), *fleet_option()]
    path = "/upstreams"

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print one line for each known upstream."""
        rows: list[list[object]] = []
        for answer in answers:
            for row in list_field(answer, "upstreams"):
                runs = f"{row.get('model')} {_format_layers(row.get('layers'))}"
                rows.append(_upstream_row(answer, row, row.get("upstream_id"), runs))
            for row in list_field(answer, "replicas"):
                runs = f"service/{row.get('service')}"
                rows.append(_upstream_row(answer, row, row.get("replica_id"), runs))
        headers = ("ASKED", "UPSTREAM", "RUNS", "ZONE", "ADDRESS", "LEAVING", "DRAINED")
        self.printer.table(headers, rows)


def _format_layers(value: object) -> str:
    return "-".join(map(str, value.values())) if isinstance(value, dict) else "?"


def _upstream_row(
    answer: OperatorAnswer, row: dict[str, object], upstream_id: object, runs: str
) -> list[object]:
    names = ("availability_zone", "address", "leaving", "drained")
    return [answer.host, upstream_id, runs, *(row.get(name) for name in names)]


class DrainHostCommand(ToolCommand):
    """Command that drains one entry host."""

    name = "drain host"
    description = "Make one entry host unready; requests in flight are finished."
    help = help_text(
        "The host answers /readyz with 503, so that the load balancer sends nothing\n"
        "new, and serves what still arrives. With --wait the command ends when\n"
        "nothing is in flight, or with status 5 after --timeout. Undo before the\n"
        "host restarts is --undo; a restart also ends the drain.",
        "drain host --host 127.0.0.1:7001 --wait --timeout 60",
        "drain host --host 127.0.0.1:7001 --undo",
    )
    options: ClassVar[list[Option]] = [
        *connection_options(),
        option("undo", None, "Put the host back into service."),
        option("wait", None, "Wait until no request is in flight."),
    ]

    def run_or_raise(self) -> int:
        """Start or end the drain, and wait for requests in flight if --wait is set."""
        client, address = build_client(self), single_host_address(self)
        drained = not self.option("undo")
        fields = {"host": str, "drained": bool, "in_flight": int}
        state = client.request_document(
            address, "POST", "/drain", {"drained": drained}, fields=fields
        )
        while drained and self.option("wait") and state["in_flight"]:
            if client.remaining_s <= DRAIN_POLL_S:
                break
            time.sleep(DRAIN_POLL_S)
            state = client.request_document(address, "GET", "/drain", fields=fields)
        if self.as_json:
            self.printer.json(state)
        else:
            state_text = "drained" if state["drained"] else "in service"
            in_flight = state["in_flight"]
            self.printer.line(f"{state['host']} is {state_text}, {in_flight} in flight")
        waited = drained and self.option("wait")
        return EXIT_PARTIAL if waited and state["in_flight"] else EXIT_OK


class DrainUpstreamCommand(ToolCommand):
    """Command that drains one upstream on all hosts."""

    name = "drain upstream"
    description = "Take one engine or service replica out of service on every host."
    help = help_text(
        "Send a configuration patch on /upstreams/ID/drained with the current\n"
        "version; status 3 means that another patch came first. Work in flight at\n"
        "the upstream is finished.",
        "drain upstream engine-1",
        "drain upstream engine-1 --undo",
    )
    arguments: ClassVar[list[Argument]] = [argument("id", "Id of the upstream.")]
    options: ClassVar[list[Option]] = [
        *connection_options(),
        option("undo", None, "Put the upstream back into service."),
        option(
            "author", None, "Author recorded with the patch. Default: USER.", flag=False
        ),
    ]

    def run_or_raise(self) -> int:
        """Send the patch that starts or ends the drain."""
        client, address = build_client(self), single_host_address(self)
        upstream_id, undo = str(self.argument("id")), bool(self.option("undo"))
        # Draining an unknown id would otherwise appear to succeed.
        if not undo and not self._is_known_upstream(
            client.send_request(address, "GET", "/upstreams")
        ):
            self.printer.error(f"upstream {upstream_id!r} is not known; see upstreams")
            return EXIT_REFUSED
        current = client.request_document(
            address, "GET", "/config", fields={"version": int}
        )
        author = self.option("author") or os.environ.get("USER", "")
        merge = {"upstreams": {upstream_id: {"drained": None if undo else True}}}
        document = send_patch(
            client,
            address,
            merge,
            base_version=current["version"],
            author=str(author),
        )
        if self.as_json:
            self.printer.json(document)
        else:
            state_text = "back in service" if undo else "drained"
            version = document["version"]
            self.printer.line(f"{upstream_id} is {state_text} as of version {version}")
        return EXIT_OK

    def _is_known_upstream(self, answer: OperatorAnswer) -> bool:
        known = {row.get("upstream_id") for row in list_field(answer, "upstreams")}
        known |= {row.get("replica_id") for row in list_field(answer, "replicas")}
        return self.argument("id") in known
