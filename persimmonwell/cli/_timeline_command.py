"""Command that merges the timelines of all hosts."""

import time
from pathlib import Path
from typing import ClassVar
from urllib.parse import urlencode

import attrs
from cleo.helpers import option
from cleo.io.inputs.option import Option

from persimmonwell._exceptions import DocumentError
from persimmonwell.cli._base import (
    Targets,
    ToolCommand,
    deduplicate_by_host,
    discover_hosts,
    help_text,
    only_option,
    unreachable_hosts,
)
from persimmonwell.cli._client import OperatorAnswer, UnreachableError
from persimmonwell.cli._exits import combine_exit_statuses
from persimmonwell.cli._options import (
    UsageError,
    build_client,
    connection_options,
    host_addresses,
    integer_option,
    seconds_option,
    text_option,
    time_option,
)
from persimmonwell.cli._timeline_html import render_html
from persimmonwell.cli._timeline_text import render_json, render_text
from persimmonwell.core.timeline import RingSnapshot, merge_rings, ring_from_document

FORMATS = ("text", "json", "html")
MAX_EVENTS = 1_000_000
MAX_LAST_S = 366 * 86_400.0


class TimelineCommand(ToolCommand):
    """Command that merges the timelines of all hosts into one causal order."""

    name = "timeline"
    description = "Merge the events of all entry hosts into one causal order."
    help = help_text(
        "Ask every entry host that the first --host lists. Each host keeps only its\n"
        "newest events in memory; the output says how many were overwritten.",
        "timeline --request 7d1f",
        "timeline --workspace range-a --last 60",
        "timeline --upstream engine-1 --since 2026-05-01T09:30:00Z --json",
        "timeline --last 300 --format html --output timeline.html",
    )
    options: ClassVar[list[Option]] = [
        *connection_options(),
        *only_option(),
        option("request", None, "Only events of this request id.", flag=False),
        option("workspace", None, "Only events of this workspace.", flag=False),
        option("upstream", None, "Only events at this upstream.", flag=False),
        option("since", None, "Earliest time, seconds or ISO 8601.", flag=False),
        option("until", None, "Latest time, seconds or ISO 8601.", flag=False),
        option("last", None, "Only the last seconds.", flag=False),
        option("limit", None, "Newest events of each host.", flag=False),
        option("format", None, f"One of {', '.join(FORMATS)}.", flag=False),
        option("output", None, "File to write instead of standard output.", flag=False),
    ]

    def run_or_raise(self) -> int:
        """Fetch the timelines, merge them and write the result."""
        client, output_format = build_client(self), self._output_format()
        path = f"/timeline?{urlencode(self._build_query())}"
        targets = Targets(host_addresses(self))
        if not self.option("only"):
            targets = discover_hosts(client, targets.addresses)
        gathered = client.send_to_all(targets.addresses, "GET", path)
        answers = deduplicate_by_host(gathered.results)
        failures = list(unreachable_hosts(targets, gathered))
        rings: list[RingSnapshot] = []
        exit_statuses: list[int] = []
        for answer in answers:
            try:
                rings.extend(self._parse_ring(answer))
                exit_statuses.append(answer.exit_status)
            except UnreachableError as error:
                failures.append(error)
        self._write(output_format, tuple(rings), tuple(failures))
        for failure in failures:
            self.printer.error(failure.message())
        return combine_exit_statuses(tuple(exit_statuses), len(failures))

    def _parse_ring(self, answer: OperatorAnswer) -> tuple[RingSnapshot, ...]:
        """Return the ring of an answer, or none if the host refused the call.

        Raise UnreachableError for a malformed answer.
        """
        if not answer.succeeded:
            self.printer.error(f"{answer.host} refused: {answer.refusal_reason()}")
            return ()
        try:
            return (ring_from_document(answer.document),)
        except DocumentError as error:
            fault = error.faults[0]
            reason = f"malformed answer, {fault.path} {fault.reason}"
            raise UnreachableError(answer.address, reason) from error

    def _output_format(self) -> str:
        output_format = text_option(self, "format") or (
            "json" if self.as_json else "text"
        )
        if output_format not in FORMATS:
            raise UsageError(f"--format must be one of {', '.join(FORMATS)}")
        if self.as_json and output_format != "json":
            raise UsageError(f"--json and --format {output_format} exclude each other")
        return output_format

    def _build_query(self) -> dict[str, str]:
        since_s, until_s = time_option(self, "since"), time_option(self, "until")
        if self.option("last") is not None:
            if since_s is not None:
                raise UsageError("--last and --since exclude each other")
            since_s = time.time() - seconds_option(self, "last", maximum=MAX_LAST_S)
        limit = integer_option(self, "limit", minimum=1, maximum=MAX_EVENTS)
        query = {
            "request": text_option(self, "request"),
            "workspace": text_option(self, "workspace"),
            "upstream": text_option(self, "upstream"),
            "since_s": since_s,
            "until_s": until_s,
            "limit": limit,
        }
        return {name: str(value) for name, value in query.items() if value is not None}

    def _write(
        self,
        output_format: str,
        rings: tuple[RingSnapshot, ...],
        failures: tuple[UnreachableError, ...],
    ) -> None:
        events = merge_rings(rings)
        reasons = {failure.address: failure.reason for failure in failures}
        if output_format == "html":
            text = render_html(events, rings, reasons)
        elif output_format == "json":
            text = render_json(events, rings, [attrs.asdict(f) for f in failures])
        else:
            text = render_text(events, rings)
        path = text_option(self, "output")
        if path is None:
            self.printer.preformatted(text)
            return
        try:
            Path(path).write_text(text + "\n", encoding="utf-8")
        except OSError as error:
            raise UsageError(f"--output {path!r}: {error.strerror}") from error
        self.printer.line(f"{len(events)} events written to {path}")
