"""Parser of the node file, in which the platform writes the settings of one host."""

from collections.abc import Mapping

from persimmonwell._exceptions import DocumentError
from persimmonwell.core._documents import FaultList
from persimmonwell.settings import Endpoint, ForwarderSettings

NODE_FILE_VARIABLE = "PERSIMMONWELL_NODE_FILE"
DEFAULT_NODE_FILE = "/etc/persimmonwell/node.conf"
METRICS_PORT_OFFSET = 1
"""The metrics port is the one after the peer port, which is the first internal port."""
DEFAULT_NUMBERS = {
    "bounds.grace_s": 8.0,
    "bounds.retry_budget_ratio": 0.2,
    "bounds.retry_budget_slack": 20.0,
    "bounds.budget_window_s": 10.0,
    "limits.memory_mb": 256.0,
}
"""Values of absent fields, as in the platform's documentation."""


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

    def number_or_default(name: str) -> float:
        value = fields.get(name, "")
        if not value:
            return DEFAULT_NUMBERS[name]
        try:
            return float(value)
        except ValueError:
            faults.add(name, f"is not a number: {value!r}")
            return DEFAULT_NUMBERS[name]

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
        grace_s=number_or_default("bounds.grace_s"),
        retry_ratio=number_or_default("bounds.retry_budget_ratio"),
        retry_slack=number_or_default("bounds.retry_budget_slack"),
        retry_window_s=number_or_default("bounds.budget_window_s"),
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
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        if value:
            faults.add(name, f"is not IP:PORT: {value!r}")
        return Endpoint("", 0)
    return Endpoint(host, int(port))


def _parse_first_port(value: str, faults: FaultList) -> int:
    first = value.partition(",")[0]
    if not first.isdigit():
        faults.add("internal_ports", f"is not a range of ports: {value!r}")
        return 0
    return int(first)


def read_node_file(path: str) -> ForwarderSettings:
    """Read and parse the settings file.

    Raises OSError or DocumentError.
    """
    with open(path, encoding="utf-8") as file:
        return parse_node_file(file.read())


__all__ = [
    "DEFAULT_NODE_FILE",
    "NODE_FILE_VARIABLE",
    "DocumentError",
    "parse_node_file",
    "read_node_file",
]
