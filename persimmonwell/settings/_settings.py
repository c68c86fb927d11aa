"""Settings classes of the daemon, and parsing and validation of the file."""

import json
import re
from pathlib import Path

import attrs

from persimmonwell._exceptions import DocumentError, Fault
from persimmonwell.core._documents import FaultList, JsonValue, ObjectReader

Z85_KEY_CHARACTERS = 40
_ADDRESS = re.compile(r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$")


@attrs.frozen
class TlsSettings:
    """Certificate and private key files of one listener, PEM."""

    certificate: str
    key: str


@attrs.frozen
class CallerSettings:
    """Settings of the callers' port."""

    address: str
    threads: int = 384
    """Maximum requests in flight, each of which occupies a thread. At the target
    size a host has 264 in flight at its peak, and a fifth more after the loss of an
    availability zone."""
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 32_768
    """Limit on a request line and its headers."""
    io_timeout_s: float = 30.0
    """Timeout for a caller to send or read data, seconds."""
    tls: TlsSettings | None = None


@attrs.frozen
class OperatorSettings:
    """Settings of the operators' port."""

    address: str
    token: str | None = None
    """Bearer token of operator calls; None disables authentication."""
    tls: TlsSettings | None = None


@attrs.frozen
class CurveSettings:
    """ZeroMQ CURVE keys of the peers' port, Z85 text."""

    public_key: str
    secret_key: str
    peer_public_keys: tuple[str, ...]
    """Accepted public keys; the form "HOST-ID KEY" binds a key to one host."""


@attrs.frozen
class PeerSettings:
    """Settings of the peers' port."""

    address: str
    heartbeat_s: float = 0.5
    curve: CurveSettings | None = None


@attrs.frozen
class PlatformSettings:
    """Settings of the platform services: log and host list."""

    log_url: str
    host_list_url: str
    timeout_s: float = 2.0
    host_list_interval_s: float = 1.0
    claim_window_s: float = 0.02
    """Minimum interval between two appends of claims by this host, seconds."""
    claim_appends_per_s: float = 250.0
    """Maximum appends of claims per second, over all expected hosts."""
    claim_timeout_s: float = 5.0
    """Timeout until a claim is recorded and read back, seconds."""
    claim_send_limit_s: float = 30.0
    """Maximum time from the append of a claim to the send of its call, seconds. The
    sum of it and the longest service timeout must be below the log's retention."""


@attrs.frozen
class OrderSettings:
    """Settings of leases and orders to engines; must be the same on all hosts."""

    lease_ttl_s: float = 10.0
    order_timeout_s: float = 3.0
    """Maximum time from the send of an order to its last effect, seconds."""
    load_interval_s: float = 10.0
    """Minimum interval between two weight loads of the whole fleet, seconds; limits
    the load on the weight store."""
    plan_interval_s: float = 10.0


@attrs.frozen
class EngineSettings:
    """Settings of connections to engines."""

    connect_timeout_s: float = 0.5
    stall_timeout_s: float = 0.8
    """Maximum gap between two frames of an answer, seconds."""
    first_frame_timeout_s: float = 10.0
    """Timeout for the first frame of an attempt, seconds."""
    load_polls_per_s: float = 4.0
    """Load reports read per second, over all engines."""


@attrs.frozen
class LogSettings:
    """Settings of the daemon's log output."""

    level: str = "INFO"
    json: bool = False
    """Whether each line is a JSON object."""
    repeat_limit: int = 10
    """Maximum repeats of a message per interval; further ones are only counted."""
    repeat_interval_s: float = 10.0


@attrs.frozen
class LimitSettings:
    """Limits of the machine."""

    memory_mb: int = 256
    """Memory of the process; a fifth of what is above 64 MB is for callers' bodies."""


@attrs.frozen
class Settings:
    """Validated settings of one daemon."""

    host_id: str
    availability_zone: str
    callers: CallerSettings
    operators: OperatorSettings
    peers: PeerSettings
    platform: PlatformSettings
    engines: EngineSettings = EngineSettings()
    orders: OrderSettings = OrderSettings()
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()
    region: str = "default"
    expected_hosts: int = 4
    """Entry hosts in the whole fleet; determines each host's safe share of limits."""
    drain_notice_s: float = 2.0
    """Delay between becoming unready and closing the callers' port, seconds."""
    drain_timeout_s: float = 60.0
    """Timeout for requests in flight to finish after SIGTERM, seconds."""
    timeline_events: int = 20_000
    """Capacity of the timeline ring buffer, events."""


def load_settings(path: Path) -> Settings:
    """Return the settings from a file; raise DocumentError with all faults."""
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        fault = Fault(path="/", reason=f"cannot read {path}: {error}")
        raise DocumentError(faults=(fault,)) from error
    return parse_settings(document)


def parse_settings(document: JsonValue) -> Settings:
    """Return the settings from a document; raise DocumentError with all faults."""
    faults = FaultList()
    root = ObjectReader(document, "", faults)
    settings = Settings(
        host_id=root.text("host_id", max_length=64),
        availability_zone=root.text("availability_zone", max_length=64),
        region=root.text("region", "default", max_length=64),
        callers=_read_callers(root.child("callers")),
        operators=_read_operators(root.child("operators")),
        peers=_read_peers(root.child("peers")),
        platform=_read_platform(root.child("platform")),
        engines=_read_engines(root.child("engines")),
        orders=_read_orders(root.child("orders")),
        log=_read_log(root.child("log")),
        limits=_read_limits(root.child("limits")),
        expected_hosts=root.integer("expected_hosts", 4, minimum=1),
        drain_notice_s=root.number("drain_notice_s", 2.0),
        drain_timeout_s=root.number("drain_timeout_s", 60.0),
        timeline_events=root.integer("timeline_events", 20_000, minimum=100),
    )
    root.report_unknown_fields()
    faults.raise_if_any()
    return settings


def _read_address(reader: ObjectReader) -> str:
    address = reader.text("address")
    match = _ADDRESS.match(address)
    if address and (match is None or int(match.group(3)) > 65535):
        reader.add_fault("address", f"must be a numeric IP and port, got {address!r}")
    return address


def _read_url(reader: ObjectReader, name: str) -> str:
    url = reader.text(name)
    if url and not re.match(r"^https?://[^/\s]+", url):
        reader.add_fault(name, f"must be an http or https URL, got {url!r}")
    return url.rstrip("/")


def _read_tls(reader: ObjectReader) -> TlsSettings | None:
    if not reader.has("tls"):
        return None
    section = reader.child("tls")
    tls = TlsSettings(certificate=section.text("certificate"), key=section.text("key"))
    section.report_unknown_fields()
    return tls


def _read_callers(reader: ObjectReader) -> CallerSettings:
    callers = CallerSettings(
        address=_read_address(reader),
        threads=reader.integer("threads", 384, minimum=4, maximum=4096),
        max_body_bytes=reader.integer("max_body_bytes", 4 * 1024 * 1024, minimum=1024),
        max_header_bytes=reader.integer("max_header_bytes", 32_768, minimum=1024),
        io_timeout_s=reader.number("io_timeout_s", 30.0, minimum=0.1),
        tls=_read_tls(reader),
    )
    reader.report_unknown_fields()
    return callers


def _read_operators(reader: ObjectReader) -> OperatorSettings:
    operators = OperatorSettings(
        address=_read_address(reader),
        token=reader.optional_text("token"),
        tls=_read_tls(reader),
    )
    reader.report_unknown_fields()
    return operators


def _read_peers(reader: ObjectReader) -> PeerSettings:
    curve = None
    if reader.has("curve"):
        section = reader.child("curve")
        curve = CurveSettings(
            public_key=section.text("public_key"),
            secret_key=section.text("secret_key"),
            peer_public_keys=section.texts("peer_public_keys"),
        )
        for name in ("public_key", "secret_key", "peer_public_keys"):
            for entry in _as_tuple(getattr(curve, name)):
                if len(entry.rpartition(" ")[2]) != Z85_KEY_CHARACTERS:
                    section.add_fault(name, "must hold keys of 40 Z85 characters")
        section.report_unknown_fields()
    peers = PeerSettings(
        address=_read_address(reader),
        heartbeat_s=reader.number("heartbeat_s", 0.5, minimum=0.05),
        curve=curve,
    )
    reader.report_unknown_fields()
    return peers


def _as_tuple(value: str | tuple[str, ...]) -> tuple[str, ...]:
    return (value,) if isinstance(value, str) else value


def _read_platform(reader: ObjectReader) -> PlatformSettings:
    platform = PlatformSettings(
        log_url=_read_url(reader, "log_url"),
        host_list_url=_read_url(reader, "host_list_url"),
        timeout_s=reader.number("timeout_s", 2.0, minimum=0.05),
        host_list_interval_s=reader.number("host_list_interval_s", 1.0, minimum=0.05),
        claim_window_s=reader.number("claim_window_s", 0.02, maximum=10.0),
        claim_appends_per_s=reader.number("claim_appends_per_s", 250.0, minimum=1.0),
        claim_timeout_s=reader.number("claim_timeout_s", 5.0, minimum=0.05),
        claim_send_limit_s=reader.number("claim_send_limit_s", 30.0, minimum=0.1),
    )
    reader.report_unknown_fields()
    return platform


def _read_engines(reader: ObjectReader) -> EngineSettings:
    default = EngineSettings()
    engines = EngineSettings(
        connect_timeout_s=reader.number(
            "connect_timeout_s", default.connect_timeout_s, minimum=0.01
        ),
        stall_timeout_s=reader.number(
            "stall_timeout_s", default.stall_timeout_s, minimum=0.05
        ),
        first_frame_timeout_s=reader.number(
            "first_frame_timeout_s", default.first_frame_timeout_s, minimum=0.05
        ),
        load_polls_per_s=reader.number(
            "load_polls_per_s", default.load_polls_per_s, minimum=0.1, maximum=100.0
        ),
    )
    reader.report_unknown_fields()
    return engines


def _read_orders(reader: ObjectReader) -> OrderSettings:
    default = OrderSettings()
    orders = OrderSettings(
        lease_ttl_s=reader.number("lease_ttl_s", default.lease_ttl_s, minimum=0.2),
        order_timeout_s=reader.number(
            "order_timeout_s", default.order_timeout_s, minimum=0.05
        ),
        load_interval_s=reader.number("load_interval_s", default.load_interval_s),
        plan_interval_s=reader.number(
            "plan_interval_s", default.plan_interval_s, minimum=0.05
        ),
    )
    # The holder renews the lease after 0.3 of its TTL, and an order must complete
    # in the remaining time.
    if orders.order_timeout_s > orders.lease_ttl_s / 2:
        reader.add_fault("order_timeout_s", "must be at most half of lease_ttl_s")
    reader.report_unknown_fields()
    return orders


def _read_limits(reader: ObjectReader) -> LimitSettings:
    limits = LimitSettings(
        memory_mb=reader.integer("memory_mb", LimitSettings().memory_mb, minimum=64)
    )
    reader.report_unknown_fields()
    return limits


def _read_log(reader: ObjectReader) -> LogSettings:
    levels = ("DEBUG", "INFO", "WARNING", "ERROR")
    default = LogSettings()
    log = LogSettings(
        level=reader.text("level", default.level, choices=levels),
        json=reader.boolean("json", default.json),
        repeat_limit=reader.integer("repeat_limit", default.repeat_limit, minimum=1),
        repeat_interval_s=reader.number(
            "repeat_interval_s", default.repeat_interval_s, minimum=0.1
        ),
    )
    reader.report_unknown_fields()
    return log
