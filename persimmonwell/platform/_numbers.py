"""Numbers in headers and settings, checked for their form and range.

Only plain decimal numbers are accepted. What else `int` and `float` read, such as
`inf`, `nan`, `1_0` or thousands of digits, is no number of the protocol, and raises
where it is used.
"""

import re

MAX_NUMBER = 1 << 48
"""Largest count, and largest time in milliseconds."""
MAX_REASON_CHARACTERS = 60
"""Characters of an invalid value in the reason for its rejection."""

_COUNT = re.compile(r"[0-9]{1,15}")
_DECIMAL = re.compile(r"[0-9]{1,15}(?:\.[0-9]{0,32})?")


def parse_count(text: str) -> int | None:
    """Return a whole number from 0 to MAX_NUMBER, None for anything else."""
    text = text.strip(" \t")
    if _COUNT.fullmatch(text) is None or int(text) > MAX_NUMBER:
        return None
    return int(text)


def parse_decimal(text: str) -> float | None:
    """Return a number from 0 to MAX_NUMBER, None for anything else."""
    text = text.strip(" \t")
    if _DECIMAL.fullmatch(text) is None or float(text) > MAX_NUMBER:
        return None
    return float(text)
