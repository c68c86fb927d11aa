"""Commands for limits, quarantine, claims, leases and orders."""

from typing import ClassVar
from urllib.parse import quote

from cleo.helpers import argument
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
from persimmonwell.cli._exits import EXIT_OK
from persimmonwell.cli._options import (
    build_client,
    connection_options,
    single_host_address,
)


class LimitsCommand(FleetCommand):
    """Command that shows the limits of the workspaces."""

    name = "limits"
    description = "Show the limits of each workspace and each host's share."
    help = help_text(
        "Print the limit over all hosts, the share enforced by each host asked,\n"
        "and the requests in flight there.",
        "limits --fleet",
        "limits --json",
    )
    options: ClassVar[list[Option]] = [*connection_options(), *fleet_option()]
    path = "/limits"

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print one line for each workspace."""
        columns = {
            "WORKSPACE": "workspace",
            "TOKENS/S": "tokens_per_s",
            "HERE": "host_tokens_per_s",
            "CONCURRENCY": "max_concurrency",
            "HERE ": "host_max_concurrency",
            "IN FLIGHT": "in_flight",
        }
        rows = [
            [answer.host, *(row.get(name) for name in columns.values())]
            for answer in answers
            for row in list_field(answer, "limits")
        ]
        self.printer.table(("HOST", *columns), rows)


class QuarantineListCommand(FleetCommand):
    """Command that lists suspect and quarantined request digests."""

    name = "quarantine list"
    description = "List request digests that are suspect or quarantined."
    help = help_text(
        "A digest is quarantined when a second upstream was lost while running it.",
        "quarantine list --fleet",
        "quarantine list --json",
    )
    options: ClassVar[list[Option]] = [*connection_options(), *fleet_option()]
    path = "/quarantine"

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print one line for each digest."""
        rows = [
            [answer.host, *(row.get(n) for n in ("digest", "state", "upstream_ids"))]
            for answer in answers
            for row in list_field(answer, "quarantine")
        ]
        self.printer.table(("HOST", "DIGEST", "STATE", "LOST UPSTREAMS"), rows)


class QuarantineClearCommand(ToolCommand):
    """Command that releases one digest from quarantine."""

    name = "quarantine clear"
    description = "Release a request digest on every host."
    help = help_text(
        "Requests with the digest are accepted again.",
        "quarantine clear 4f2a9c",
    )
    arguments: ClassVar[list[Argument]] = [argument("digest", "Digest to release.")]
    options: ClassVar[list[Option]] = connection_options()

    def run_or_raise(self) -> int:
        """Release the digest."""
        client, address = build_client(self), single_host_address(self)
        digest = str(self.argument("digest"))
        document = client.request_document(
            address, "POST", "/quarantine", {"clear": digest}
        )
        if self.as_json:
            self.printer.json(document)
        else:
            self.printer.line(f"{digest} is released")
        return EXIT_OK


class ClaimsShowCommand(ToolCommand):
    """Command that shows the claim of an idempotency key."""

    name = "claims show"
    description = "Show the claim and the recorded answer of one idempotency key."
    help = help_text(
        "Print which host won the key, and whether its answer is recorded.",
        "claims show range-a booking order-17",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("workspace", "Workspace of the caller."),
        argument("service", "Service that was called."),
        argument("key", "Idempotency key."),
    ]
    options: ClassVar[list[Option]] = connection_options()

    def run_or_raise(self) -> int:
        """Fetch and print the claim."""
        client, address = build_client(self), single_host_address(self)
        names = ("workspace", "service", "key")
        parts = [quote(str(self.argument(name)), safe="") for name in names]
        document = client.request_document(address, "GET", f"/claims/{'/'.join(parts)}")
        if self.as_json:
            self.printer.json(document)
        else:
            row = [document.get(n) for n in ("state", "host", "offset", "status")]
            self.printer.table(("STATE", "HOST", "OFFSET", "STATUS"), [row])
        return EXIT_OK


class LeasesCommand(FleetCommand):
    """Command that shows the leases."""

    name = "leases"
    description = "Show the holder of each lease, according to each host asked."
    help = help_text(
        "Print the holder, its fencing token and the time left on the holder's clock.",
        "leases --fleet",
        "leases --json",
    )
    options: ClassVar[list[Option]] = [*connection_options(), *fleet_option()]
    path = "/leases"

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print one line for each lease."""
        columns = {
            "LEASE": "name",
            "HOLDER": "host",
            "FENCE": "fence",
            "HELD HERE": "held_here",
            "VALID FOR": "valid_for_s",
        }
        rows = [
            [answer.host, *(row.get(name) for name in columns.values())]
            for answer in answers
            for row in list_field(answer, "leases")
        ]
        self.printer.table(("HOST", *columns), rows)


class OrdersCommand(FleetCommand):
    """Command that shows open and recent orders."""

    name = "orders"
    description = "Show the open and the latest orders of each host asked."
    help = help_text(
        "Print the orders to engines; only the holder of the lease has open ones.",
        "orders --fleet",
        "orders --json",
    )
    options: ClassVar[list[Option]] = [*connection_options(), *fleet_option()]
    path = "/orders"

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print one line for each order, open ones first."""
        names = ("upstream_id", "kind", "model")
        rows = []
        for answer in answers:
            for order in list_field(answer, "open"):
                rows.append([answer.host, "open", *(order.get(n) for n in names)])
            for completed in list_field(answer, "recent"):
                sent = completed.get("order")
                fields = sent if isinstance(sent, dict) else {}
                cells = [fields.get(name) for name in names]
                rows.append([answer.host, completed.get("result"), *cells])
        self.printer.table(("HOST", "STATE", "UPSTREAM", "KIND", "MODEL"), rows)
