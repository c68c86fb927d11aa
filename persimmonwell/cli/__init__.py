"""Drive a fleet from the command line."""

from cleo.application import Application

from persimmonwell.cli._commands import COMMANDS

__all__ = ["build_application", "main"]


def build_application() -> Application:
    """Return the application with every command."""
    application = Application("persimmonwell", "0.1.0")
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Run the tool; return the exit status."""
    return build_application().run()
