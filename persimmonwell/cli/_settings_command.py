"""Command that validates a settings file."""

from pathlib import Path
from typing import ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonwell._exceptions import DocumentError
from persimmonwell.cli._base import ToolCommand, help_text
from persimmonwell.cli._exits import EXIT_BAD_INPUT, EXIT_OK
from persimmonwell.settings import load_settings


class CheckSettingsCommand(ToolCommand):
    """Command that validates a settings file and prints all faults."""

    name = "check-settings"
    description = "Check a settings file and name every fault."
    help = help_text(
        "Print every fault with its path in the file. Nothing is started.",
        "check-settings host-1.json",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("settings", "File with the settings.")
    ]
    options: ClassVar[list[Option]] = [option("json", None, "Print one JSON document.")]

    def run_or_raise(self) -> int:
        """Validate the file and print its faults."""
        try:
            load_settings(Path(str(self.argument("settings"))))
        except DocumentError as error:
            for fault in error.faults:
                self.printer.error(f"{fault.path}: {fault.reason}")
            if self.as_json:
                faults = [attrs.asdict(fault) for fault in error.faults]
                self.printer.json({"valid": False, "faults": faults})
            return EXIT_BAD_INPUT
        if self.as_json:
            self.printer.json({"valid": True, "faults": []})
        else:
            self.printer.line("settings are valid")
        return EXIT_OK
