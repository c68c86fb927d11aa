"""Finding about one field of a configuration."""

import json
from enum import StrEnum

import attrs


class Severity(StrEnum):
    """How much a finding matters."""

    ERROR = "error"
    """Requests are refused, or the configuration is not put in force."""
    WARNING = "warning"
    """The configuration works, but part of it has no effect or contradicts itself."""


@attrs.frozen
class Finding:
    """What is wrong with one field."""

    severity: Severity
    path: str
    """Path of the field in the configuration, such as routes["name"].timeout_s."""
    reason: str


def entry_path(section: str, name: str, field: str = "") -> str:
    """Return the path of a named entry of a list, or of one of its fields."""
    path = f"{section}[{json.dumps(name)}]"
    return f"{path}.{field}" if field else path


def error(path: str, reason: str) -> Finding:
    """Return a finding that keeps requests from being served."""
    return Finding(Severity.ERROR, path, reason)


def warning(path: str, reason: str) -> Finding:
    """Return a finding about a part without effect or a contradiction."""
    return Finding(Severity.WARNING, path, reason)
