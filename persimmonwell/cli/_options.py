"""Options that commands share, with their parsing and validation."""

import math
import os
import re
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import attrs
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from persimmonwell.cli._client import OperatorClient
from persimmonwell.core.timeline import read_decision_lines

DEFAULT_ADDRESS = "127.0.0.1:7001"
DEFAULT_TIMEOUT_S = 10.0
MAX_TIMEOUT_S = 3600.0
MAX_INTEGER = 2**53
ENV_HOST = "PERSIMMONWELL_HOST"
ENV_TOKEN = "PERSIMMONWELL_TOKEN"

_ADDRESS = re.compile(
    r"^(https?://)?((\d{1,3}\.){3}\d{1,3}|\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+)"
    r":(\d{1,5})/?$"
)


@attrs.frozen
class UsageError(Exception):
    """Raised for an invalid option or argument."""

    message: str


def connection_options() -> list[Option]:
    """Return the options of commands that call the operators' port."""
    return [
        option(
            "host",
            None,
            f"Operators' address of an entry host, IP:PORT or URL; repeatable. "
            f"Default: {ENV_HOST} or {DEFAULT_ADDRESS}.",
            flag=False,
            multiple=True,
        ),
        option("token", None, f"Operators' token. Default: {ENV_TOKEN}.", flag=False),
        option("token-file", None, "File that holds the token.", flag=False),
        *call_options("Print one JSON document."),
    ]


def call_options(json_help: str) -> list[Option]:
    """Return the options of all commands that send a call."""
    return [
        option("ca-file", None, "PEM file of the CA; implies TLS.", flag=False),
        option(
            "timeout",
            None,
            "Time limit of the whole command, seconds.",
            flag=False,
            default=str(DEFAULT_TIMEOUT_S),
        ),
        option("json", None, json_help),
    ]


def text_option(command: Command, name: str) -> str | None:
    """Return the value of an option; raise UsageError if it is blank."""
    value = command.option(name)
    if value is None:
        return None
    if not str(value).strip():
        raise UsageError(f"--{name} needs a value")
    return str(value)


def seconds_option(
    command: Command, name: str, *, maximum: float = MAX_TIMEOUT_S
) -> float:
    """Return the value of an option in seconds; raise UsageError if invalid."""
    text = str(command.option(name))
    value = _parse_finite(text)
    if value is None or not 0 < value <= maximum:
        limit = f"above 0 and at most {maximum:.0f}"
        raise UsageError(f"--{name} must be seconds {limit}, got {text!r}")
    return value


def integer_option(
    command: Command, name: str, *, minimum: int, maximum: int = MAX_INTEGER
) -> int | None:
    """Return an integer option, or None if not given; raise UsageError."""
    text = text_option(command, name)
    return None if text is None else parse_integer(text, f"--{name}", minimum, maximum)


def parse_integer(text: str, label: str, minimum: int, maximum: int) -> int:
    """Return an integer within the bounds; raise UsageError naming the label."""
    # int() also accepts underscores, signs and non-ASCII digits.
    if re.fullmatch(r"[0-9]{1,16}", text) and minimum <= int(text) <= maximum:
        return int(text)
    bounds = f"a whole number, {minimum} to {maximum}"
    raise UsageError(f"{label} must be {bounds}, got {text!r}")


def time_option(command: Command, name: str) -> float | None:
    """Return a time option in seconds since the epoch; raise UsageError.

    The value is such a number or an ISO 8601 time, in UTC if it has no offset.
    """
    text = text_option(command, name)
    if text is None:
        return None
    value = _parse_finite(text)
    if value is not None:
        return value
    try:
        moment = datetime.fromisoformat(text)
    except ValueError as error:
        example = "2026-05-01T09:30:00Z"
        reason = f"must be seconds since the epoch or a time like {example}"
        raise UsageError(f"--{name} {reason}, got {text!r}") from error
    return (moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp()


def _parse_finite(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def address_option(command: Command, name: str, default: str) -> str:
    """Return an address option or its default; raise UsageError if invalid."""
    return validate_address(text_option(command, name) or default, name)


def validate_address(text: str, name: str) -> str:
    """Return an address unchanged; raise UsageError if it is invalid."""
    if not is_address(text):
        raise UsageError(f"--{name} must be IP:PORT or a URL, got {text!r}")
    return text


def is_address(text: str) -> bool:
    """Return whether a text is HOST:PORT or a URL without a path."""
    match = _ADDRESS.match(text)
    return match is not None and 0 < int(match.group(4)) <= 65535


def host_addresses(command: Command) -> tuple[str, ...]:
    """Return the distinct --host addresses; raise UsageError if one is invalid."""
    given = command.option("host") or [os.environ.get(ENV_HOST) or DEFAULT_ADDRESS]
    return tuple(dict.fromkeys(validate_address(str(text), "host") for text in given))


def single_host_address(command: Command) -> str:
    """Return the --host address; raise UsageError if there are several."""
    addresses = host_addresses(command)
    if len(addresses) > 1:
        raise UsageError(f"{command.name} takes one --host, got {len(addresses)}")
    return addresses[0]


def build_client(command: Command) -> OperatorClient:
    """Return a client with the credentials and deadline; raise UsageError."""
    timeout_s = seconds_option(command, "timeout")
    return OperatorClient(
        token=_read_token(command),
        ca_file=ca_file(command),
        timeout_s=timeout_s,
        deadline_s=time.monotonic() + timeout_s,
    )


def ca_file(command: Command) -> str | None:
    """Return the --ca-file path; raise UsageError if it is not a file."""
    path = text_option(command, "ca-file")
    if path is not None and not Path(path).is_file():
        raise UsageError(f"--ca-file {path!r} is not a file")
    return path


def _read_token(command: Command) -> str | None:
    path = text_option(command, "token-file")
    if path is None:
        token = text_option(command, "token") or os.environ.get(ENV_TOKEN)
    else:
        token = read_file(path, "--token-file").strip()
    if token and not re.fullmatch(r"[\x21-\x7e]+", token):
        raise UsageError("the token must be visible ASCII without spaces")
    return token or None


def read_file(path: str, label: str) -> str:
    """Return the text of a file; raise UsageError if it cannot be read."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8 text"
        raise UsageError(f"{label} {path!r}: {reason}") from error


def read_log_file(path: Path) -> list[dict[str, Any]]:
    """Return the decision lines in a file with the output of hosts."""
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error
    return read_decision_lines(text.splitlines())
