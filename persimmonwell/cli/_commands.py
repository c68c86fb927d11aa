"""Define the commands of the tool."""

import json
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import argument, option

from persimmonwell._exceptions import DocumentError
from persimmonwell.cli._client import (
    EXIT_BAD_INPUT,
    EXIT_OK,
    EXIT_UNREACHABLE,
    OperatorClient,
    UnreachableError,
)
from persimmonwell.settings import load_settings

HOST_OPTIONS = [
    option("host", None, "Operators' address of an entry host.", flag=False),
    option("token", None, "Operators' bearer token.", flag=False),
    option("timeout", None, "Longest wait, seconds.", flag=False, default="10"),
    option("json", None, "Print JSON."),
]


class _HostCommand(Command):
    """Be the base of commands that call one entry host."""

    options = HOST_OPTIONS

    def client(self) -> OperatorClient:
        """Return a client for the host named by the options."""
        return OperatorClient(
            address=self.option("host") or "127.0.0.1:7001",
            token=self.option("token"),
            timeout_s=float(self.option("timeout")),
        )

    def call_host(self, method: str, path: str, document: Any = None) -> int:
        """Send a call, print the answer, and return the exit status."""
        try:
            answer = self.client().call(method, path, document)
        except UnreachableError as error:
            self.line_error(f"{error.address} did not answer: {error.reason}")
            return EXIT_UNREACHABLE
        indent = None if self.option("json") else 2
        self.line(json.dumps(answer.document, indent=indent))
        return answer.exit_code


class ConfigShowCommand(_HostCommand):
    """Show the configuration in force on one host."""

    name = "config show"
    description = "Show the configuration in force on one host."

    def handle(self) -> int:
        """Run the command."""
        return self.call_host("GET", "/config")


class ConfigApplyCommand(_HostCommand):
    """Apply a merge patch to a named base version."""

    name = "config apply"
    description = "Apply a JSON merge patch to a configuration version."
    arguments = [argument("patch", "File with the merge patch.")]
    options = [
        *HOST_OPTIONS,
        option("base-version", None, "Version that the patch changes.", flag=False),
        option("author", None, "Name kept with the patch.", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Run the command."""
        try:
            merge = json.loads(Path(self.argument("patch")).read_text("utf-8"))
            base_version = int(self.option("base-version") or "")
        except (OSError, ValueError) as error:
            self.line_error(f"bad input: {error}")
            return EXIT_BAD_INPUT
        document = {
            "base_version": base_version,
            "merge": merge,
            "author": self.option("author"),
        }
        return self.call_host("POST", "/config", document)


class HostsCommand(_HostCommand):
    """List the entry hosts that one host knows."""

    name = "hosts"
    description = "List the entry hosts that one host knows."

    def handle(self) -> int:
        """Run the command."""
        return self.call_host("GET", "/hosts")


class UpstreamsCommand(_HostCommand):
    """List the upstreams that one host knows."""

    name = "upstreams"
    description = "List the upstreams that one host knows."

    def handle(self) -> int:
        """Run the command."""
        return self.call_host("GET", "/upstreams")


class CheckSettingsCommand(Command):
    """Check a settings file."""

    name = "check-settings"
    description = "Check a settings file and name every fault."
    arguments = [argument("settings", "File with the settings.")]

    def handle(self) -> int:
        """Run the command."""
        try:
            load_settings(Path(self.argument("settings")))
        except DocumentError as error:
            for fault in error.faults:
                self.line_error(f"{fault.path}: {fault.reason}")
            return EXIT_BAD_INPUT
        self.line("settings are valid")
        return EXIT_OK


COMMANDS: tuple[type[Command], ...] = (
    ConfigShowCommand,
    ConfigApplyCommand,
    HostsCommand,
    UpstreamsCommand,
    CheckSettingsCommand,
)
