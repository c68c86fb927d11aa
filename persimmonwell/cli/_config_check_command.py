"""Command that checks an operators' configuration before it is sent."""

import json
import time
from pathlib import Path
from typing import Any, ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonwell._exceptions import DocumentError
from persimmonwell.cli._base import ToolCommand, help_text
from persimmonwell.cli._client import OperatorClient, RefusedError, UnreachableError
from persimmonwell.cli._exits import EXIT_BAD_INPUT, EXIT_OK, EXIT_REFUSED
from persimmonwell.cli._options import UsageError, is_address
from persimmonwell.core.config_check import (
    Difference,
    Finding,
    HostLimits,
    Severity,
    check_config,
    check_replacement,
    list_differences,
)
from persimmonwell.core.forwarding import ForwardingConfig
from persimmonwell.platform import (
    CONFIG_PATH,
    decode_config,
    document_path,
    mask_keys,
    parse_node_file,
)
from persimmonwell.settings import DEREGISTRATION_S

EXIT_WARNINGS = EXIT_REFUSED
"""Status for warnings without errors; errors end with that for bad input."""
FETCH_TIMEOUT_S = 5.0
"""Time for a host to return the version in force, at most 1 MB."""


class ConfigCheckCommand(ToolCommand):
    """Command that names what is wrong with a configuration file."""

    name = "config check"
    description = "Check an operators' configuration before it is sent."
    help = help_text(
        "Read the document with the decoder of the gateway and name each finding\n"
        "with the path of its field. --against lists the changes from the version in\n"
        "force and what would stop being served. Status 1 means warnings only, 2\n"
        "errors or an unreadable version. Only a host that --against names is called.",
        "config check config.json",
        "config check config.json --against in-force.json --json",
        "config check config.json --against 10.0.0.1:8002",
        "config check config.json --settings host-1.conf",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("config", "File with the operators' configuration.")
    ]
    options: ClassVar[list[Option]] = [
        option(
            "against",
            None,
            "File with the version in force, or HOST:PORT of a host's control port.",
            flag=False,
        ),
        option(
            "settings", None, "Settings file of a host, for its limits.", flag=False
        ),
        option("json", None, "Print one JSON document."),
    ]

    def run_or_raise(self) -> int:
        """Check the file and print the findings."""
        host = _read_host_limits(self.option("settings"))
        against = self.option("against")
        differences: tuple[Difference, ...] = ()
        document = _read_bytes(str(self.argument("config")))
        try:
            config = decode_config(document)
            findings = check_config(config, host)
        except DocumentError as error:
            config, findings = None, _as_findings(error, str(self.argument("config")))
        if against is not None:
            try:
                old, is_masked = _read_in_force(str(against))
            except DocumentError as error:
                findings += _as_findings(error, str(against))
            else:
                if config is not None:
                    if is_masked:
                        config = decode_config(mask_keys(document))
                    findings += check_replacement(config, old)
                    differences = list_differences(config, old)
        findings = tuple(
            attrs.evolve(finding, path=document_path(finding.path))
            for finding in findings
        )
        differences = tuple(
            attrs.evolve(change, path=document_path(change.path))
            for change in differences
        )
        self._print(findings, differences, is_compared=against is not None)
        if any(finding.severity is Severity.ERROR for finding in findings):
            return EXIT_BAD_INPUT
        return EXIT_WARNINGS if findings else EXIT_OK

    def _print(
        self,
        findings: tuple[Finding, ...],
        differences: tuple[Difference, ...],
        *,
        is_compared: bool,
    ) -> None:
        if self.as_json:
            document: dict[str, Any] = {
                "findings": [attrs.asdict(finding) for finding in findings]
            }
            if is_compared:
                document["changes"] = [attrs.asdict(change) for change in differences]
            self.printer.json(document)
            return
        for finding in findings:
            self.printer.line(f"{finding.severity}: {finding.path}: {finding.reason}")
        for difference in differences:
            self.printer.line(f"change: {difference.path}: {difference.change}")
        if not findings:
            self.printer.line("nothing found")


def _read_in_force(source: str) -> tuple[ForwardingConfig, bool]:
    """Return the version in a file or of a host, and whether its keys are digests.

    Raises DocumentError or UsageError.
    """
    if Path(source).exists() or not is_address(source):
        return decode_config(_read_bytes(source)), False
    client = OperatorClient(
        token=None,
        ca_file=None,
        timeout_s=FETCH_TIMEOUT_S,
        deadline_s=time.monotonic() + FETCH_TIMEOUT_S,
    )
    try:
        answer = client.request_document(source, "GET", CONFIG_PATH)
    except (UnreachableError, RefusedError) as error:
        # Their statuses would mean warnings, or nothing, to scripts.
        reason = error.reason if isinstance(error, UnreachableError) else str(error)
        raise UsageError(f"cannot read {source!r}: {reason}") from error
    return decode_config(json.dumps(answer).encode()), True


def _read_bytes(name: str) -> bytes:
    try:
        return Path(name).read_bytes()
    except OSError as error:
        raise UsageError(f"cannot read {name!r}: {error}") from error


def _read_host_limits(name: str | None) -> HostLimits:
    if name is None:
        return HostLimits()
    try:
        settings = parse_node_file(_read_bytes(name).decode())
    except (DocumentError, ValueError) as error:
        raise UsageError(f"settings {name!r} are not valid: {error}") from error
    return HostLimits(
        memory_mb=settings.memory_mb,
        retry_slack=settings.retry_slack,
        stop_s=settings.stop_s,
        deregistration_s=DEREGISTRATION_S,
    )


def _as_findings(error: DocumentError, name: str) -> tuple[Finding, ...]:
    """Return the faults of a document that the gateway would not put in force."""
    return tuple(
        Finding(Severity.ERROR, *_split_path(fault.reason, name))
        for fault in error.faults
    )


def _split_path(reason: str, name: str) -> tuple[str, str]:
    """Return the path and the reason in a message of the decoder."""
    text, _, path = reason.partition(" - at `$")
    return path.rstrip("`").lstrip(".") or name, text
