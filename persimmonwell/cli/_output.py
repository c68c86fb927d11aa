"""Output of untrusted text from hosts, with control characters escaped."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
from cleo.io.io import IO
from cleo.io.outputs.output import Type

COLUMN_GAP = "  "


@attrs.frozen
class Printer:
    """Writer of raw lines, since cleo would interpret tags in text as markup."""

    io: IO

    def line(self, text: str) -> None:
        """Write one line to standard output, with control characters escaped."""
        self.io.write_line(escape_control_chars(text), type=Type.RAW)

    def preformatted(self, text: str) -> None:
        """Write text that contains line breaks and is escaped already."""
        self.io.write_line(text, type=Type.RAW)

    def fragment(self, text: str) -> None:
        """Write a part of an answer without a line end, and flush it."""
        self.io.write(escape_control_chars(text, keep="\n\t"), type=Type.RAW)
        self.io.output.flush()

    def error(self, text: str) -> None:
        """Write one line to standard error, with control characters escaped."""
        self.io.error_output.write_line(escape_control_chars(text), type=Type.RAW)

    def json(self, document: Any) -> None:
        """Write one JSON document, with non-ASCII characters escaped."""
        self.io.write_line(json.dumps(document, indent=2), type=Type.RAW)

    def table(self, headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
        """Write a table with aligned columns."""
        for line in table_lines(headers, rows):
            self.line(line)


def escape_control_chars(text: str, *, keep: str = "") -> str:
    """Escape control characters, which could move the cursor or set colours.

    Characters in keep are left unescaped.
    """
    return "".join(
        c if c.isprintable() or c in keep else c.encode("unicode_escape").decode()
        for c in text
    )


def table_lines(
    headers: Sequence[str], rows: Iterable[Sequence[Any]]
) -> tuple[str, ...]:
    """Return the lines of a table with aligned columns."""
    cells = [
        [escape_control_chars(_format_cell(value)) for value in row]
        for row in (headers, *rows)
    ]
    widths = [max(len(row[i]) for row in cells) for i in range(len(headers))]
    return tuple(
        COLUMN_GAP.join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or "-"
    return str(value) or "-"
