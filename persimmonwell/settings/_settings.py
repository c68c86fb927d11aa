"""Define and check the settings of one daemon."""

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
    """Name the certificate and key files of one listener."""

    certificate: str
    key: str


@attrs.frozen
class CallerSettings:
    """Configure the callers' port."""

    address: str
    threads: int = 384
    """Requests in flight at once; each holds a thread. A host at the target size
    has 264 in flight at its peak and takes a fifth more when a zone is lost."""
    max_body_bytes: int = 4 * 1024 * 1024
    io_timeout_s: float = 30.0
    """Longest wait for a slow caller to send or read, seconds."""
    tls: TlsSettings | None = None


@attrs.frozen
class OperatorSettings:
    """Configure the operators' port."""

    address: str
    token: str | None = None
    """Bearer token of operator calls; None accepts every caller."""
    tls: TlsSettings | None = None


@attrs.frozen
class CurveSettings:
    """Hold the CURVE keys of the peers' port, Z85 text."""

    public_key: str
    secret_key: str
    peer_public_keys: tuple[str, ...]
    """Accepted keys; "host-id key" binds a key to one host."""


@attrs.frozen
class PeerSettings:
    """Configure the peers' port."""

    address: str
    heartbeat_s: float = 0.5
    curve: CurveSettings | None = None


@attrs.frozen
class PlatformSettings:
    """Configure the platform's services."""

    log_url: str
    host_list_url: str
    timeout_s: float = 2.0
    host_list_interval_s: float = 1.0
    claim_window_s: float = 0.02
    """Shortest time between two appends of claims by this host, seconds."""
    claim_appends_per_s: float = 250.0
    """Appends of claims that all expected hosts together may make per second."""
    claim_timeout_s: float = 5.0
    """Longest wait until a claim is recorded and read back, seconds."""
    claim_send_limit_s: float = 30.0
    """Longest time from a claim's append to its send, seconds; together with the
    longest service timeout it must stay below the log's retention."""


@attrs.frozen
class OrderSettings:
    """Configure leases and orders to engines; alike on every host."""

    lease_ttl_s: float = 10.0
    order_timeout_s: float = 3.0
    """Longest time from the send of an order to its last effect, seconds."""
    load_interval_s: float = 10.0
    """Shortest time between two weight loads of the whole fleet, seconds; sets
    the rate that the weight store sees."""
    plan_interval_s: float = 10.0


@attrs.frozen
class EngineSettings:
    """Configure connections to engines."""

    connect_timeout_s: float = 0.5
    stall_timeout_s: float = 0.8
    """Longest gap between two frames of an answer, seconds."""
    first_frame_timeout_s: float = 10.0
    """Longest wait for the first frame of an attempt, seconds."""
    load_polls_per_s: float = 4.0
    """Load reports read per second over all engines."""


@attrs.frozen
class LogSettings:
    """Configure the daemon's log output."""

    level: str = "INFO"
    json: bool = False
    """Whether each line is a JSON object."""
    repeat_limit: int = 10
    """Times that one message is logged per interval; further ones are counted."""
    repeat_interval_s: float = 10.0


@attrs.frozen
class Settings:
    """Hold the checked settings of one daemon."""

    host_id: str
    availability_zone: str
    callers: CallerSettings
    operators: OperatorSettings
    peers: PeerSettings
    platform: PlatformSettings
    engines: EngineSettings = EngineSettings()
    orders: OrderSettings = OrderSettings()
    log: LogSettings = LogSettings()
    region: str = "default"
    expected_hosts: int = 4
    """Entry hosts of the whole fleet; sets the safe share of limits."""
    drain_notice_s: float = 2.0
    """Time between becoming unready and closing the callers' port, seconds."""
    drain_timeout_s: float = 60.0
    """Longest wait for requests in flight after SIGTERM, seconds."""
    timeline_events: int = 20_000
    """Events kept in the timeline's ring buffer."""


def load_settings(path: Path) -> Settings:
    """Read a settings file; raise DocumentError naming every fault."""
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        fault = Fault(path="/", reason=f"cannot read {path}: {error}")
        raise DocumentError(faults=(fault,)) from error
    return parse_settings(document)


def parse_settings(document: JsonValue) -> Settings:
    """Read a settings document; raise DocumentError naming every fault."""
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
        expected_hosts=root.integer("expected_hosts", 4, minimum=1),
        drain_notice_s=root.number("drain_notice_s", 2.0),
        drain_timeout_s=root.number("drain_timeout_s", 60.0),
        timeline_events=root.integer("timeline_events", 20_000, minimum=100),
    )
    root.finish()
    faults.raise_if_any()
    return settings


def _read_address(reader: ObjectReader) -> str:
    address = reader.text("address")
    match = _ADDRESS.match(address)
    if address and (match is None or int(match.group(3)) > 65535):
        reader.fault("address", f"must be a numeric IP and port, got {address!r}")
    return address


def _read_url(reader: ObjectReader, name: str) -> str:
    url = reader.text(name)
    if url and not re.match(r"^https?://[^/\s]+", url):
        reader.fault(name, f"must be an http or https URL, got {url!r}")
    return url.rstrip("/")


def _read_tls(reader: ObjectReader) -> TlsSettings | None:
    if not reader.has("tls"):
        return None
    section = reader.child("tls")
    tls = TlsSettings(certificate=section.text("certificate"), key=section.text("key"))
    section.finish()
    return tls


def _read_callers(reader: ObjectReader) -> CallerSettings:
    callers = CallerSettings(
        address=_read_address(reader),
        threads=reader.integer("threads", 384, minimum=4, maximum=4096),
        max_body_bytes=reader.integer("max_body_bytes", 4 * 1024 * 1024, minimum=1024),
        io_timeout_s=reader.number("io_timeout_s", 30.0, minimum=0.1),
        tls=_read_tls(reader),
    )
    reader.finish()
    return callers


def _read_operators(reader: ObjectReader) -> OperatorSettings:
    operators = OperatorSettings(
        address=_read_address(reader),
        token=reader.optional_text("token"),
        tls=_read_tls(reader),
    )
    reader.finish()
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
                    section.fault(name, "must hold keys of 40 Z85 characters")
        section.finish()
    peers = PeerSettings(
        address=_read_address(reader),
        heartbeat_s=reader.number("heartbeat_s", 0.5, minimum=0.05),
        curve=curve,
    )
    reader.finish()
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
    reader.finish()
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
    reader.finish()
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
    # The holder renews after 0.3 of the TTL and an order must fit into the rest.
    if orders.order_timeout_s > orders.lease_ttl_s / 2:
        reader.fault("order_timeout_s", "must be at most half of lease_ttl_s")
    reader.finish()
    return orders


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
    reader.finish()
    return log
