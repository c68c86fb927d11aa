"""Commands to show, patch and await the configuration."""

import json
import os
import sys
import time
import uuid
from typing import Any, ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonwell.cli._base import (
    FleetCommand,
    Targets,
    ToolCommand,
    deduplicate_by_host,
    discover_hosts,
    fleet_option,
    help_text,
    list_field,
    only_option,
    unreachable_hosts,
)
from persimmonwell.cli._client import OperatorAnswer, OperatorClient, UnreachableError
from persimmonwell.cli._exits import (
    EXIT_OK,
    EXIT_PARTIAL,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
)
from persimmonwell.cli._options import (
    MAX_INTEGER,
    UsageError,
    build_client,
    connection_options,
    host_addresses,
    integer_option,
    parse_integer,
    read_file,
    single_host_address,
)

WAIT_POLL_S = 0.2
MIN_POLL_S = 0.3
"""Time that a poll needs; with less left, hosts that answered before would be reported
as unreachable."""
DEFAULT_HISTORY_LIMIT = 20


class ConfigShowCommand(FleetCommand):
    """Command that shows the configuration in force."""

    name = "config show"
    description = "Show the configuration in force."
    help = help_text(
        "Print the version of each host asked, and each distinct document once.",
        "config show --host 127.0.0.1:7001",
        "config show --fleet --json",
    )
    options: ClassVar[list[Option]] = [*connection_options(), *fleet_option()]
    path = "/config"

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print the version of each host, then each distinct document once."""
        rows = [(a.host, a.address, a.document.get("version")) for a in answers]
        self.printer.table(("HOST", "ADDRESS", "VERSION"), rows)
        documents = {a.document.get("version"): a.document for a in answers}
        for version, document in sorted(documents.items(), key=lambda i: str(i[0])):
            self.printer.line(f"version {version}:")
            self.printer.json(document.get("document"))


class ConfigApplyCommand(ToolCommand):
    """Command that applies a merge patch to a given base version."""

    name = "config apply"
    description = "Apply a JSON merge patch to a configuration version."
    help = help_text(
        "Send an RFC 7396 merge patch; null removes a field. The patch is refused\n"
        "with status 3 when the base version is no longer the current version.",
        "config apply patch.json --base-version 7",
        "config apply - --base-version 7 --author ada",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("patch", "File with the merge patch; - reads standard input.")
    ]
    options: ClassVar[list[Option]] = [
        *connection_options(),
        option("base-version", None, "Version that the patch changes.", flag=False),
        option(
            "author", None, "Author recorded with the patch. Default: USER.", flag=False
        ),
    ]

    def run_or_raise(self) -> int:
        """Send the patch and print the new version."""
        client, address = build_client(self), single_host_address(self)
        base_version = integer_option(self, "base-version", minimum=0)
        if base_version is None:
            raise UsageError("--base-version is required; config show prints it")
        merge = _read_patch(str(self.argument("patch")))
        author = self.option("author") or os.environ.get("USER", "")
        document = send_patch(
            client, address, merge, base_version=base_version, author=str(author)
        )
        if self.as_json:
            self.printer.json(document)
        else:
            self.printer.line(f"version {document['version']} is accepted")
        return EXIT_OK


def _read_patch(path: str) -> dict[str, Any]:
    text = sys.stdin.read() if path == "-" else read_file(path, "patch")
    try:
        merge = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise UsageError(f"patch {path!r} is not JSON: {error}") from error
    if not isinstance(merge, dict):
        raise UsageError(f"patch {path!r} must be a JSON object")
    return merge


def send_patch(
    client: OperatorClient,
    address: str,
    merge: dict[str, Any],
    *,
    base_version: int,
    author: str,
) -> dict[str, Any]:
    """Send a patch and return the answer; raise UnreachableError or RefusedError."""
    patch_id = uuid.uuid4().hex
    document = {
        "id": patch_id,
        "base_version": base_version,
        "merge": merge,
        "author": author,
    }
    try:
        return client.request_document(
            address, "POST", "/config", document, fields={"version": int}
        )
    except UnreachableError as error:
        reason = f"{error.reason}; patch {patch_id} may take effect, see config history"
        raise attrs.evolve(error, reason=reason) from error


class ConfigHistoryCommand(FleetCommand):
    """Command that shows the latest patches, their authors and results."""

    name = "config history"
    description = "Show the newest patches, their authors and results."
    help = help_text(
        "List patches as read from the log by each host, without the patched values.",
        "config history",
        "config history --limit 5 --json",
    )
    options: ClassVar[list[Option]] = [
        *connection_options(),
        *fleet_option(),
        option(
            "limit",
            None,
            "Newest patches shown as text.",
            flag=False,
            default=str(DEFAULT_HISTORY_LIMIT),
        ),
    ]
    path = "/config/history"

    def check_options(self) -> None:
        """Validate --limit."""
        self._limit()

    def _limit(self) -> int:
        return integer_option(self, "limit", minimum=1) or DEFAULT_HISTORY_LIMIT

    def print_answers(self, answers: tuple[OperatorAnswer, ...]) -> None:
        """Print one line for each of the newest patches of each host."""
        names = ("version", "offset", "author", "changed")
        for answer in answers:
            self.printer.line(f"{answer.host}:")
            rows = [
                [_format_result(patch), *(patch.get(name) for name in names)]
                for patch in list_field(answer, "patches")[-self._limit() :]
            ]
            headers = ("RESULT", "VERSION", "OFFSET", "AUTHOR", "CHANGED")
            self.printer.table(headers, rows)


def _format_result(patch: dict[str, Any]) -> str:
    match patch.get("result"):
        case "conflict":
            return f"conflict with version {patch.get('version')}"
        case "invalid":
            faults = patch.get("faults") or []
            return "invalid: " + "; ".join(": ".join(fault) for fault in faults)
        case result:
            return str(result)


class ConfigWaitCommand(ToolCommand):
    """Command that waits until every host has a version in force."""

    name = "config wait"
    description = "Wait until every entry host has a version in force."
    help = help_text(
        "Ask every entry host that the first --host lists until all have at least\n"
        "the version, or until --timeout has passed.",
        "config wait 8 --timeout 5",
        "config wait 8 --only --host 127.0.0.1:7001 --host 127.0.0.1:7002",
    )
    arguments: ClassVar[list[Argument]] = [argument("version", "Version to wait for.")]
    options: ClassVar[list[Option]] = [*connection_options(), *only_option()]

    def run_or_raise(self) -> int:
        """Poll the hosts until all have the version or the deadline passes."""
        version = parse_integer(
            str(self.argument("version")), "version", 0, MAX_INTEGER
        )
        client = build_client(self)
        targets = Targets(host_addresses(self))
        if not self.option("only"):
            targets = discover_hosts(client, targets.addresses)
        while True:
            gathered = client.send_to_all(targets.addresses, "GET", "/config")
            versions = _version_by_host(gathered.results)
            unreachable = unreachable_hosts(targets, gathered)
            outdated = {host: v for host, v in versions.items() if v < version}
            if not outdated and not unreachable:
                break
            if client.remaining_s <= WAIT_POLL_S + MIN_POLL_S:
                break
            time.sleep(WAIT_POLL_S)
        self._report(version, versions, unreachable)
        if not versions:
            return EXIT_UNREACHABLE
        if not outdated and not unreachable:
            return EXIT_OK
        return EXIT_PARTIAL if len(outdated) < len(versions) else EXIT_REFUSED

    def _report(
        self,
        version: int,
        versions: dict[str, int],
        unreachable: tuple[UnreachableError, ...],
    ) -> None:
        if self.as_json:
            failures = [attrs.asdict(failure) for failure in unreachable]
            document = {"version": version, "hosts": versions, "unreachable": failures}
            self.printer.json(document)
        else:
            self.printer.table(("HOST", "VERSION"), sorted(versions.items()))
        for host, current in sorted(versions.items()):
            if current < 0:
                self.printer.error(f"{host} refused to report its version")
            elif current < version:
                self.printer.error(f"{host} is still at version {current}")
        for failure in unreachable:
            self.printer.error(failure.message())


def _version_by_host(answers: tuple[OperatorAnswer, ...]) -> dict[str, int]:
    """Return the version by host; -1 for a host that refused the call."""
    versions: dict[str, int] = {}
    for answer in deduplicate_by_host(answers):
        reported = answer.document.get("version") if answer.succeeded else None
        versions[answer.host] = reported if isinstance(reported, int) else -1
    return versions
