"""Base classes of commands, and helpers to call several hosts."""

from collections.abc import Mapping
from typing import Any

import attrs
from cleo.commands.command import Command
from cleo.helpers import option

from persimmonwell.cli._client import (
    GatherResult,
    OperatorAnswer,
    OperatorClient,
    RefusedError,
    UnreachableError,
)
from persimmonwell.cli._exits import (
    EXIT_BAD_INPUT,
    EXIT_UNREACHABLE,
    combine_exit_statuses,
)
from persimmonwell.cli._options import (
    UsageError,
    build_client,
    host_addresses,
    is_address,
)
from persimmonwell.cli._output import Printer

EXIT_HELP = (
    "Exit status: 0 ok, 1 refused, 2 bad input, 3 conflict, 4 unreachable, 5 partial."
)


def help_text(text: str, *examples: str) -> str:
    """Return the help text of a command, with examples and exit statuses."""
    lines = "\n".join(f"  persimmonwell {example}" for example in examples)
    return f"{text}\n\nExamples:\n{lines}\n\n{EXIT_HELP}"


class ToolCommand(Command):
    """Base class of all commands, which maps exceptions to exit statuses."""

    @property
    def printer(self) -> Printer:
        """Return the printer that writes to the command's output."""
        return Printer(self.io)

    @property
    def as_json(self) -> bool:
        """Return whether --json is set."""
        return bool(self.option("json"))

    def handle(self) -> int:
        """Run the command and return its exit status."""
        try:
            return self.run_or_raise()
        except UsageError as error:
            self.printer.error(error.message)
            return EXIT_BAD_INPUT
        except UnreachableError as error:
            self.printer.error(error.message())
            if self.as_json:
                self.printer.json({"unreachable": [attrs.asdict(error)]})
            return EXIT_UNREACHABLE
        except RefusedError as error:
            self.printer.error(f"{error.answer.host} refused: {error}")
            if self.as_json:
                self.printer.json(error.answer.document)
            return error.answer.exit_status

    def run_or_raise(self) -> int:
        """Run the command and return its exit status.

        Raise UsageError, UnreachableError or RefusedError.
        """
        raise NotImplementedError


def fleet_option() -> list[Any]:
    """Return the option that extends a command to every entry host."""
    text = "Ask every entry host that the first --host lists."
    return [option("fleet", None, text)]


def only_option() -> list[Any]:
    """Return the option that restricts a command to the --host addresses."""
    return [option("only", None, "Ask only the hosts named by --host.")]


@attrs.frozen
class Targets:
    """Addresses to send a call to, and the hosts known to be at them."""

    addresses: tuple[str, ...]
    host_ids: Mapping[str, str] = attrs.field(factory=dict)
    """Host ids by address, for the hosts on the fleet's list."""
    hosts_without_address: tuple[UnreachableError, ...] = ()
    """One error per host listed without a usable address, with its id as address."""


def discover_hosts(client: OperatorClient, seed_addresses: tuple[str, ...]) -> Targets:
    """Return the addresses of the whole fleet, listed by the first host that answers.

    The seed addresses are kept, since a host that has left the list may still have
    events. Raise UnreachableError if no host answers, RefusedError if it refuses.
    """
    failures: list[UnreachableError] = []
    for address in seed_addresses:
        try:
            answer = client.send_request(address, "GET", "/hosts")
        except UnreachableError as error:
            failures.append(error)
            continue
        if not answer.succeeded:
            raise RefusedError(answer)
        return _build_targets(client, seed_addresses, answer)
    raise failures[0]


def _build_targets(
    client: OperatorClient, seed_addresses: tuple[str, ...], answer: OperatorAnswer
) -> Targets:
    addresses = {client.url(address): address for address in seed_addresses}
    host_ids: dict[str, str] = {}
    hosts_without_address: list[UnreachableError] = []
    for row in list_field(answer, "hosts"):
        host_id, listed = str(row.get("host_id")), str(row.get("operator_address"))
        if not is_address(listed):
            reason = "no operators' address listed"
            hosts_without_address.append(UnreachableError(host_id, reason))
            continue
        address = addresses.setdefault(client.url(listed), listed)
        host_ids[address] = host_id
    return Targets(tuple(addresses.values()), host_ids, tuple(hosts_without_address))


def unreachable_hosts(
    targets: Targets, gathered: GatherResult[OperatorAnswer]
) -> tuple[UnreachableError, ...]:
    """Return the failures of hosts that answered at none of their addresses."""
    answered = {answer.host for answer in gathered.results}
    return tuple(
        failure
        for failure in (*gathered.failures, *targets.hosts_without_address)
        if targets.host_ids.get(failure.address, failure.address) not in answered
    )


class FleetCommand(ToolCommand):
    """Base class of commands that query several hosts and print all answers."""

    path = "/"

    def run_or_raise(self) -> int:
        """Query the hosts, print the answers, and report failures."""
        self.check_options()
        client = build_client(self)
        targets = Targets(host_addresses(self))
        if self.option("fleet"):
            targets = discover_hosts(client, targets.addresses)
        gathered = client.send_to_all(targets.addresses, "GET", self.path)
        failures = unreachable_hosts(targets, gathered)
        answers = deduplicate_by_host(gathered.results)
        successful = tuple(answer for answer in answers if answer.succeeded)
        if self.as_json:
            self.printer.json(
                {
                    "answers": [attrs.asdict(answer) for answer in answers],
                    "unreachable": [attrs.asdict(failure) for failure in failures],
                }
            )
        elif successful:
            self.print_answers(successful)
        for answer in answers:
            if not answer.succeeded:
                self.printer.error(f"{answer.host} refused: {answer.refusal_reason()}")
        for failure in failures:
            self.printer.error(failure.message())
        return combine_exit_statuses(
            tuple(a.exit_status for a in answers), len(failures)
        )

    def check_options(self) -> None:
        """Validate the command's own options before any call; raise UsageError."""

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print the successful answers as text."""
        raise NotImplementedError


def deduplicate_by_host(
    answers: tuple[OperatorAnswer, ...],
) -> tuple[OperatorAnswer, ...]:
    """Return one answer per host, as a host may have several addresses."""
    kept: dict[str, OperatorAnswer] = {}
    for answer in answers:
        kept.setdefault(answer.host, answer)
    return tuple(kept.values())


def list_field(answer: OperatorAnswer, name: str) -> list[dict[str, Any]]:
    """Return the objects in a list field of an answer; other entries are skipped."""
    rows = answer.document.get(name)
    return [r for r in rows if isinstance(r, dict)] if isinstance(rows, list) else []
