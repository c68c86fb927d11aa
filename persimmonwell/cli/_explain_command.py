"""Command that reconstructs the history of one request from saved logs."""

from pathlib import Path
from typing import Any, ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonwell.cli._base import ToolCommand, help_text
from persimmonwell.cli._exits import EXIT_BAD_INPUT, EXIT_OK
from persimmonwell.cli._options import UsageError, read_log_file
from persimmonwell.cli._output import escape_control_chars
from persimmonwell.core.timeline import (
    TraceLine,
    explain_wait,
    summarize_trace,
    trace_request,
)

DEFAULT_MARGIN_S = 1.0


class ExplainCommand(ToolCommand):
    """Command that shows what happened to one request, from the logs of all hosts."""

    name = "explain"
    description = "Show the history of one request from the saved logs of all hosts."
    help = help_text(
        "Read decision log lines from files and print, in order, the events of the\n"
        "request and the events on its hosts around it, and for a refused or late\n"
        "request what decided that. Lines of other programs are skipped. No running\n"
        "host is contacted.",
        "explain 9c41d07be2a35f68 host-1.log host-2.log",
        "explain 9c41d07be2a35f68 all.log --margin 3 --json",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("request", "Id of the request."),
        argument("logs", "Files with the hosts' output.", multiple=True),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "margin", None, "Seconds to show before and after the request.", flag=False
        ),
        option("json", None, "Print one JSON document."),
    ]

    def run_or_raise(self) -> int:
        """Read the logs and print the history of the request."""
        request_id = str(self.argument("request"))
        lines: list[dict[str, Any]] = []
        for name in self.argument("logs"):
            lines += read_log_file(Path(str(name)))
        trace = trace_request(lines, request_id, margin_s=self._margin_s())
        conclusion = summarize_trace(trace)
        reasons = explain_wait(trace)
        if self.as_json:
            rows = [attrs.asdict(line) for line in trace]
            document = {"request": request_id, "end": conclusion, "reasons": reasons}
            self.printer.json({**document, "lines": rows})
        else:
            for line in trace:
                self.printer.line(_format_line(line, trace[0].wall_s))
            self.printer.line(conclusion)
            for reason in reasons:
                self.printer.line(f"  {reason}")
        return EXIT_OK if trace else EXIT_BAD_INPUT

    def _margin_s(self) -> float:
        text = self.option("margin")
        try:
            return float(text) if text is not None else DEFAULT_MARGIN_S
        except ValueError as error:
            raise UsageError(f"--margin is not a number: {text}") from error


def _format_line(line: TraceLine, start_s: float) -> str:
    mark = " " if line.is_context else "*"
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if value is not None
    )
    text = f"{line.wall_s - start_s:+8.3f}s {mark} {line.host} {line.part}: "
    return escape_control_chars(f"{text}{line.event} {fields}")
