"""Command that checks an operators' configuration before it is sent."""

from pathlib import Path
from typing import Any, ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonwell._exceptions import DocumentError
from persimmonwell.cli._base import ToolCommand, help_text
from persimmonwell.cli._exits import EXIT_BAD_INPUT, EXIT_OK, EXIT_REFUSED
from persimmonwell.cli._options import UsageError
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
from persimmonwell.platform import decode_config, document_path, parse_node_file
from persimmonwell.settings import DEREGISTRATION_S

EXIT_WARNINGS = EXIT_REFUSED
"""Status for warnings without errors; errors end with that for bad input."""


class ConfigCheckCommand(ToolCommand):
    """Command that names what is wrong with a configuration file."""

    name = "config check"
    description = "Check an operators' configuration before it is sent."
    help = help_text(
        "Read the document with the decoder of the gateway and name each finding\n"
        "with the path of its field. --against lists the changes from the version in\n"
        "force and what would stop being served. Status 1 means warnings only, 2\n"
        "errors or an unreadable file. No running host is contacted.",
        "config check config.json",
        "config check config.json --against in-force.json --json",
        "config check config.json --settings host-1.conf",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("config", "File with the operators' configuration.")
    ]
    options: ClassVar[list[Option]] = [
        option("against", None, "File with the version in force.", flag=False),
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
        try:
            config = _read_config(str(self.argument("config")))
            findings = check_config(config, host)
        except DocumentError as error:
            config, findings = None, _as_findings(error, str(self.argument("config")))
        if against is not None:
            try:
                old = _read_config(str(against))
            except DocumentError as error:
                findings += _as_findings(error, str(against))
            else:
                if config is not None:
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


def _read_config(name: str) -> ForwardingConfig:
    """Return the configuration in a file; raise DocumentError if it is unreadable."""
    return decode_config(_read_bytes(name))


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
