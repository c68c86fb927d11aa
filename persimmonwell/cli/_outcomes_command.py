"""Command that lists what became of the requests that must not be repeated."""

from collections import Counter
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, ClassVar

import attrs
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonwell.cli._base import ToolCommand, help_text
from persimmonwell.cli._exits import EXIT_OK
from persimmonwell.cli._options import UsageError, read_log_file
from persimmonwell.cli._output import escape_control_chars
from persimmonwell.core.timeline import (
    LandedOutcome,
    OutcomeFilter,
    RequestOutcome,
    count_dropped_lines,
    list_outcomes,
)


class OutcomesCommand(ToolCommand):
    """Command that tells which requests landed, from the logs of all hosts."""

    name = "outcomes"
    description = "List which requests that must not be repeated have run."
    help = help_text(
        "Read decision log lines from files, those of hosts that are gone included,\n"
        "and print each request that must not be repeated with its outcome: not_run,\n"
        "answered, answer_lost (it ran) or may_have_run, and the replica that decides\n"
        "it. Where the log of a host stops after a send, the request may have run. No\n"
        "running host is contacted.",
        "outcomes all.log --since 2026-12-04T15:20:00Z --route lane-booking",
        "outcomes host-1.log host-2.log --upstream i-7f3a --json",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("logs", "Files with the hosts' output.", multiple=True),
    ]
    options: ClassVar[list[Option]] = [
        option("since", None, "First time, as Unix seconds or ISO 8601.", flag=False),
        option("until", None, "Last time, as Unix seconds or ISO 8601.", flag=False),
        option("route", None, "Name of the route.", flag=False),
        option("upstream", None, "Id of the replica.", flag=False),
        option("json", None, "Print one JSON document."),
    ]

    def run_or_raise(self) -> int:
        """Read the logs and print the outcomes and how many there are of each."""
        lines: list[dict[str, Any]] = []
        for name in self.argument("logs"):
            lines += read_log_file(Path(str(name)))
        selection = OutcomeFilter(
            since_s=self._time_option("since"),
            until_s=self._time_option("until"),
            route=self.option("route"),
            replica=self.option("upstream"),
        )
        outcomes = list_outcomes(lines, selection)
        dropped = count_dropped_lines(lines)
        counts = Counter(outcome.outcome for outcome in outcomes)
        totals = {kind.value: counts[kind] for kind in LandedOutcome}
        if self.as_json:
            rows = [
                {**attrs.asdict(outcome), "outcome": outcome.outcome.value}
                for outcome in outcomes
            ]
            self.printer.json(
                {"outcomes": rows, "totals": totals, "lines_dropped": dropped}
            )
            return EXIT_OK
        for outcome in outcomes:
            self.printer.line(_format_outcome(outcome))
        summary = ", ".join(f"{count} {name}" for name, count in totals.items())
        self.printer.line(f"{len(outcomes)} requests: {summary}")
        for host, count in dropped.items():
            self.printer.line(
                escape_control_chars(
                    f"{host} dropped {count} lines; some may be missing"
                )
            )
        return EXIT_OK

    def _time_option(self, name: str) -> float | None:
        text = self.option(name)
        if text is None:
            return None
        try:
            return float(text)
        except ValueError:
            pass
        try:
            return datetime.fromisoformat(text).timestamp()
        except ValueError as error:
            raise UsageError(f"--{name} is not a time: {text}") from error


def _format_outcome(outcome: RequestOutcome) -> str:
    time_text = datetime.fromtimestamp(outcome.wall_s, UTC).isoformat(
        timespec="milliseconds"
    )
    replica = "-"
    if outcome.replica is not None:
        replica = f"{outcome.replica}@{outcome.born_ms}"
    return escape_control_chars(
        f"{time_text} {outcome.outcome.value:12} {outcome.request_id} {outcome.route} "
        f"tenant={outcome.tenant or '-'} replica={replica} host={outcome.host} "
        f"last: {outcome.last_known}"
    )
