"""Command-line tool for operators of a fleet."""

import sys
from importlib.metadata import PackageNotFoundError, version

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from persimmonwell.cli._commands import COMMANDS
from persimmonwell.cli._exits import EXIT_BAD_INPUT
from persimmonwell.cli._output import escape_control_chars

__all__ = ["build_application", "main"]


def build_application() -> Application:
    """Return the cleo application with all commands."""
    application = Application("persimmonwell", _version())
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def main(arguments: list[str] | None = None) -> int:
    """Run the command-line tool and return its exit status."""
    given = sys.argv[1:] if arguments is None else arguments
    try:
        return build_application().run(ArgvInput(["persimmonwell", *given]))
    except CleoError as error:
        message = " ".join(str(error).split())
        print(escape_control_chars(message), file=sys.stderr)
        return EXIT_BAD_INPUT


def _version() -> str:
    try:
        return version("persimmonwell")
    except PackageNotFoundError:
        return "unknown"
