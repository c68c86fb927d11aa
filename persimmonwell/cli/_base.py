"""Provide the bases of commands that call one or several hosts."""

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
    """Return a command's help with examples and the exit statuses."""
    lines = "\n".join(f"  persimmonwell {example}" for example in examples)
    return f"{text}\n\nExamples:\n{lines}\n\n{EXIT_HELP}"


class ToolCommand(Command):
    """Be the base of all commands: turn typed errors into exit statuses."""

    @property
    def printer(self) -> Printer:
        """Return the printer of this run."""
        return Printer(self.io)

    @property
    def as_json(self) -> bool:
        """Return whether the output is one JSON document."""
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
        """Run the command; typed errors may be raised."""
        raise NotImplementedError


def fleet_option() -> list[Any]:
    """Return the option that widens a command to every entry host."""
    text = "Ask every entry host that the first --host lists."
    return [option("fleet", None, text)]


def only_option() -> list[Any]:
    """Return the option that narrows a command to the named hosts."""
    return [option("only", None, "Ask only the hosts named by --host.")]


@attrs.frozen
class Targets:
    """Hold the addresses to ask and the hosts that stand behind them."""

    addresses: tuple[str, ...]
    host_ids: Mapping[str, str] = attrs.field(factory=dict)
    """Id of the host by listed address."""
    hosts_without_address: tuple[UnreachableError, ...] = ()
    """Hosts listed without a usable address, by id."""


def discover_hosts(client: OperatorClient, seed_addresses: tuple[str, ...]) -> Targets:
    """Return how to reach the whole fleet; raise UnreachableError.

    The first named host that answers is asked for the list. The named addresses
    stay in it: a host that left the list may still have events.
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
        return _targets(client, seed_addresses, answer)
    raise failures[0]


def _targets(
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
    """Return the hosts that answered at no address."""
    answered = {answer.host for answer in gathered.results}
    return tuple(
        failure
        for failure in (*gathered.failures, *targets.hosts_without_address)
        if targets.host_ids.get(failure.address, failure.address) not in answered
    )


class FleetCommand(ToolCommand):
    """Be the base of commands that ask several hosts and show every answer."""

    path = "/"

    def run_or_raise(self) -> int:
        """Ask the hosts, print the answers, and name the hosts without one."""
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
        """Check the command's own options before any host is asked."""

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print the granted answers as text."""
        raise NotImplementedError


def deduplicate_by_host(
    answers: tuple[OperatorAnswer, ...],
) -> tuple[OperatorAnswer, ...]:
    """Return the answers once per host, which may have several addresses."""
    kept: dict[str, OperatorAnswer] = {}
    for answer in answers:
        kept.setdefault(answer.host, answer)
    return tuple(kept.values())


def list_field(answer: OperatorAnswer, name: str) -> list[dict[str, Any]]:
    """Return a list of objects from an answer; entries of other kinds are left out."""
    rows = answer.document.get(name)
    return [r for r in rows if isinstance(r, dict)] if isinstance(rows, list) else []
