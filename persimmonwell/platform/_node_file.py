"""Parser of the node file, in which the platform writes the settings of one host."""

from collections.abc import Mapping

from persimmonwell._exceptions import DocumentError
from persimmonwell.core._documents import FaultList
from persimmonwell.core.resources import CallerPolicy
from persimmonwell.platform._numbers import (
    MAX_REASON_CHARACTERS,
    parse_count,
    parse_decimal,
)
from persimmonwell.settings import Endpoint, ForwarderSettings

NODE_FILE_VARIABLE = "PERSIMMONWELL_NODE_FILE"
DEFAULT_NODE_FILE = "/etc/persimmonwell/node.conf"
MAX_PORT = 65_535
METRICS_PORT_OFFSET = 1
"""The metrics port is the one after the peer port, which is the first internal port."""
_POLICY = CallerPolicy()
DEFAULT_NUMBERS = {
    "bounds.grace_s": 8.0,
    "bounds.drain_ms": 2000.0,
    "bounds.config_apply_ms": 2000.0,
    "bounds.retry_budget_ratio": 0.2,
    "bounds.retry_budget_slack": 20.0,
    "bounds.budget_window_s": 10.0,
    "limits.memory_mb": 256.0,
    "limits.max_fds": 1024.0,
    "callers.min_body_bytes_per_s": _POLICY.min_body_bytes_per_s,
    "callers.body_window_s": _POLICY.body_window_s,
    "callers.unread_answer_s": _POLICY.unread_answer_s,
    "callers.upload_wait_s": _POLICY.upload_wait_s,
}
"""Values of absent fields: those of `bounds` as in the platform's documentation, and
the limit that processes have by default for `limits.max_fds`."""


def parse_node_file(text: str) -> ForwarderSettings:
    """Parse settings from lines of the form a.b=value; unknown fields are ignored.

    Raises DocumentError that names every missing or invalid field.
    """
    fields = _parse_lines(text)
    faults = FaultList()

    def required_text(name: str) -> str:
        if not fields.get(name):
            faults.add(name, "is required")
        return fields.get(name, "")

    def required_endpoint(name: str) -> Endpoint:
        return _parse_endpoint(name, required_text(name), faults)

    def positive_or_default(name: str) -> float:
        number = number_or_default(name)
        if not number:
            faults.add(name, "is not above 0")
        return number

    def number_or_default(name: str) -> float:
        value = fields.get(name, "")
        if not value:
            return DEFAULT_NUMBERS[name]
        number = parse_decimal(value)
        if number is None:
            faults.add(name, f"is not a number: {_describe(value)}")
            return DEFAULT_NUMBERS[name]
        return number

    peer_port = _parse_first_port(fields.get("internal_ports", ""), faults)
    control = fields.get("listen.control", "")
    settings = ForwarderSettings(
        host_id=required_text("node"),
        availability_zone=required_text("zone"),
        ip=required_text("ip"),
        callers=required_endpoint("listen.front"),
        readiness=required_endpoint("listen.ready_addr"),
        control=_parse_endpoint("listen.control", control, faults) if control else None,
        peer_port=peer_port,
        metrics_port=peer_port + METRICS_PORT_OFFSET,
        seeds=tuple(
            _parse_endpoint("seeds", seed, faults)
            for seed in fields.get("seeds", "").split(",")
            if seed
        ),
        store=required_endpoint("platform.address"),
        memory_mb=int(number_or_default("limits.memory_mb")),
        max_fds=int(number_or_default("limits.max_fds")),
        grace_s=number_or_default("bounds.grace_s"),
        drain_s=positive_or_default("bounds.drain_ms") / 1000,
        config_apply_s=positive_or_default("bounds.config_apply_ms") / 1000,
        retry_ratio=number_or_default("bounds.retry_budget_ratio"),
        retry_slack=number_or_default("bounds.retry_budget_slack"),
        retry_window_s=number_or_default("bounds.budget_window_s"),
        caller_policy=CallerPolicy(
            min_body_bytes_per_s=number_or_default("callers.min_body_bytes_per_s"),
            body_window_s=positive_or_default("callers.body_window_s"),
            unread_answer_s=positive_or_default("callers.unread_answer_s"),
            upload_wait_s=positive_or_default("callers.upload_wait_s"),
        ),
    )
    faults.raise_if_any()
    return settings


def _parse_lines(text: str) -> Mapping[str, str]:
    fields: dict[str, str] = {}
    for line in text.splitlines():
        name, separator, value = line.strip().partition("=")
        if separator and not name.startswith("#"):
            fields[name.strip()] = value.strip()
    return fields


def _parse_endpoint(name: str, value: str, faults: FaultList) -> Endpoint:
    host, separator, port = value.rpartition(":")
    number = parse_count(port) or 0
    if not separator or not 0 < number <= MAX_PORT:
        if value:
            faults.add(name, f"is not IP:PORT: {_describe(value)}")
        return Endpoint("", 0)
    return Endpoint(host, number)


def _parse_first_port(value: str, faults: FaultList) -> int:
    first = parse_count(value.partition(",")[0])
    if first is None or first + METRICS_PORT_OFFSET > MAX_PORT:
        faults.add("internal_ports", f"is not a range of ports: {_describe(value)}")
        return 0
    return first


def _describe(value: str) -> str:
    return f"{value[:MAX_REASON_CHARACTERS]!a}"


def read_node_file(path: str) -> ForwarderSettings:
    """Read and parse the settings file.

    Raises OSError or DocumentError.
    """
    # A byte that is no text makes its own field invalid, and no other one.
    with open(path, encoding="utf-8", errors="replace") as file:
        return parse_node_file(file.read())


__all__ = [
    "DEFAULT_NODE_FILE",
    "NODE_FILE_VARIABLE",
    "DocumentError",
    "parse_node_file",
    "read_node_file",
]
