"""Decoders of the operators' configuration and the replicas' registry entries.

The structs have the field names of the wire; the decoders return types of core.
"""

import hashlib
import json
import re
from collections.abc import Callable
from difflib import get_close_matches
from typing import Any, TypeGuard, TypeVar

import msgspec

from persimmonwell._exceptions import DocumentError, Fault
from persimmonwell.core.forwarding import (
    AcceleratorKind,
    CallerLimits,
    EngineSpec,
    ForwardingConfig,
    HeldLayers,
    Replica,
    Route,
    RouteKind,
    ServiceSpec,
    Tenant,
    WeightedService,
)
from persimmonwell.platform._header_text import is_header_text
from persimmonwell.platform._numbers import MAX_NUMBER, MAX_REASON_CHARACTERS

CONFIG_TOPIC = "keyed.op"
CONFIG_KEY = "config"
CONFIG_PATH = "/config"
"""Target on a host's control port that returns the document in force."""
DOCUMENT_FIELDS = {
    "prefix": "path_prefix",
    "services": "service",
    "weights": "traffic_split",
    "timeout_s": "timeout_ms",
    "latency_objective_s": "target_latency_ms",
    "gap_objective_s": "gap_aim_ms",
    "is_public": "auth_exempt",
    "is_resumable": "stream_resume",
    "header_timeout_s": "header_timeout_ms",
    "idle_timeout_s": "idle_timeout_ms",
    "keys": "api_keys",
}
"""Names of fields in the document where they differ from those of the model."""
REPLICA_TOPIC = "keyed.servers"
DEFAULT_HOP_DELAY_MS = 0.2
MAX_ENTRY_BYTES = 64 * 1024
"""Far above the size of any valid entry; larger ones of other writers are ignored."""
MAX_NAME_CHARACTERS = 256
MIN_NAME_SIMILARITY = 0.8
"""Ratio of difflib from which a name is taken for a misspelt one. One byte that is
changed, added or lost gives 0.86 or more for a name of seven letters."""
MAX_VERSION = 1 << 62
"""Datagrams between hosts carry the version as a number of 64 bits."""
MAX_LAYERS = 100_000
MIN_FIGURE = 1e-6
MAX_FIGURE = 1e12
"""Range of an engine's figures, some of which divide others."""
_ADDRESS = re.compile(
    r"(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):([1-9]\d{0,4})", re.A
)
_ADDRESS_LIMITS = (255, 255, 255, 255, 65_535)

_Value = TypeVar("_Value", str, int)


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    auth_exempt: bool = False
    stream_resume: bool = False
    gap_aim_ms: float | None = None


class _Accelerator(msgspec.Struct):
    name: str
    mb: float
    pace: float
    """Factor on the time of a decode step. The wire name misleads: in a report, it is
    the state of one replica instead."""
    read_x: float


class _Usual(msgspec.Struct):
    """Typical numbers of prompt and output tokens."""

    prompt: float = 1000.0
    answer: float = 200.0


class _Model(msgspec.Struct):
    load_s: float = 0.0


class _Engine(msgspec.Struct):
    slots: int
    kv_token_bytes: float = 0.0
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 1.0
    usual: _Usual = msgspec.field(default_factory=_Usual)
    layers: int = 0
    layer_mb: float = 0.0
    kinds: list[_Accelerator] = []
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    health_path: str = "/health"
    max_connections: int = 0
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _KeyHolder(msgspec.Struct):
    """Tenant under another field's name."""

    name: str
    api_keys: list[str]


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET
    """Absent where requests need no key; present and empty if no key is valid."""


def decode_config(data: bytes) -> ForwardingConfig:
    """Return the configuration in a document.

    Raises DocumentError that names the first invalid field.
    """
    try:
        document = msgspec.json.decode(data, type=_Config)
        if not 0 <= document.version <= MAX_VERSION:
            raise ValueError(f"version is not from 0 to {MAX_VERSION}")
        if isinstance(document.tenants, msgspec.UnsetType):
            _check_unknown_fields(data)
        return ForwardingConfig(
            version=document.version,
            routes=tuple(_build_route(route) for route in document.routes),
            services=tuple(_build_service(service) for service in document.services),
            tenants=_build_tenants(document.tenants),
            limits=_build_limits(document.limits),
        )
    except (
        msgspec.MsgspecError,
        ValueError,
        ArithmeticError,
        RecursionError,
    ) as error:
        raise DocumentError(faults=(Fault(path="/", reason=str(error)),)) from error


def _check_unknown_fields(data: bytes) -> None:
    """Raise ValueError for a field that is tenants under a misspelt name.

    Requests need no key without tenants, so that one spoiled byte of the name would let
    anybody in. Other unknown fields may be those of a later format.
    """
    known = {field.name for field in msgspec.structs.fields(_Config)}
    fields = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    for name in fields.keys() - known:
        if get_close_matches(
            name[:MAX_NAME_CHARACTERS], ("tenants",), cutoff=MIN_NAME_SIMILARITY
        ) or _holds_keys(fields[name]):
            raise ValueError(f"{name[:MAX_REASON_CHARACTERS]!r} in place of tenants")


def _holds_keys(value: msgspec.Raw) -> bool:
    try:
        return bool(msgspec.json.decode(value, type=list[_KeyHolder]))
    except msgspec.MsgspecError:
        return False


def mask_keys(data: bytes) -> bytes:
    """Return a valid document with the digest of each API key in place of the key.

    Fields that the decoder does not know are left out, since they may hold secrets.
    """
    document = msgspec.json.decode(data, type=_Config)
    if not isinstance(document.tenants, msgspec.UnsetType):
        for tenant in document.tenants:
            tenant.api_keys = [
                hashlib.sha256(key.encode()).hexdigest() for key in tenant.api_keys
            ]
    return msgspec.json.encode(document)


def _build_tenants(
    tenants: list[_Tenant] | msgspec.UnsetType,
) -> tuple[Tenant, ...] | None:
    if isinstance(tenants, msgspec.UnsetType):
        return None
    return tuple(
        Tenant(
            tenant.name,
            tuple(tenant.api_keys),
            tenant.priority,
            can_be_sent=is_header_text(tenant.name),
        )
        for tenant in tenants
    )


def _build_route(route: _Route) -> Route:
    services = tuple(
        WeightedService(split.service, split.weight) for split in route.traffic_split
    )
    if not services:
        services = (WeightedService(route.service or "", 1.0),)
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=RouteKind(route.kind),
        services=services,
        timeout_s=route.timeout_ms / 1000,
        latency_objective_s=route.target_latency_ms / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        is_public=route.auth_exempt,
        is_resumable=route.stream_resume,
        gap_objective_s=route.gap_aim_ms / 1000 if route.gap_aim_ms else None,
    )


def _build_service(service: _Service) -> ServiceSpec:
    engine = service.engine
    return ServiceSpec(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_connections,
        engine=_build_engine(engine) if engine is not None else None,
    )


def _build_engine(engine: _Engine) -> EngineSpec:
    return EngineSpec(
        slots=engine.slots,
        layers=min(MAX_LAYERS, max(0, engine.layers)),
        layer_mb=_clamp(engine.layer_mb),
        kv_token_bytes=_clamp(engine.kv_token_bytes),
        step_ms=_clamp(engine.step_ms),
        step_ms_per_sequence=_clamp(engine.per_seq_ms),
        step_ms_per_1k_context=_clamp(engine.context_per_k),
        prefill_tokens_per_s=_clamp(engine.read_per_s),
        typical_prompt_tokens=_clamp(engine.usual.prompt),
        typical_output_tokens=_clamp(engine.usual.answer),
        hop_delay_ms=DEFAULT_HOP_DELAY_MS,
        load_s=max((_clamp(model.load_s) for model in engine.models), default=0.0),
        accelerators=tuple(
            (
                kind.name,
                AcceleratorKind(
                    _clamp(kind.mb), _clamp(kind.pace), _clamp(kind.read_x)
                ),
            )
            for kind in engine.kinds
        ),
    )


def _clamp(figure: float) -> float:
    """Return a figure of an engine within the range that costs can be computed from.

    The configuration was accepted, so that an odd figure may not keep it from use.
    """
    return min(MAX_FIGURE, max(MIN_FIGURE, figure))


def _build_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )


def decode_replica(replica_id: str, data: bytes) -> Replica:
    """Return the replica of a registry entry.

    Other writers may use the topic, so each field is checked. Raises DocumentError that
    names the first invalid field.
    """
    if not _is_name(replica_id):
        raise _entry_error("", "the key is no name")
    if len(data) > MAX_ENTRY_BYTES:
        raise _entry_error("", f"{len(data)} bytes")
    try:
        entry = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise _entry_error("", f"no JSON: {type(error).__name__}") from error
    if not isinstance(entry, dict):
        raise _entry_error("", "no object")
    return Replica(
        replica_id=replica_id,
        service=_checked(entry, "service", _is_name),
        address=_checked(entry, "address", _is_address),
        availability_zone=_checked(entry, "zone", _is_name),
        slots=_checked(entry, "slots", _is_count),
        is_draining=_checked(entry, "state", _is_state) == "draining",
        started_at_ms=_checked(entry, "born", _is_count, default=0),
        accelerator=_checked(entry, "kind", _is_kind, default=""),
        layers=_parse_layers(entry.get("layers")),
        is_busy=entry.get("busy") is True,
        # The entry's "sequence" counts heartbeats; the one in a report counts orders.
        heartbeat=_checked(entry, "sequence", _is_count),
    )


def _entry_error(field: str, reason: str) -> DocumentError:
    return DocumentError(faults=(Fault(path=f"/{field}", reason=reason),))


def _checked(
    entry: dict[str, Any],
    field: str,
    is_valid: Callable[[object], TypeGuard[_Value]],
    *,
    default: _Value | None = None,
    within: str = "",
) -> _Value:
    value = entry.get(field, default)
    if not is_valid(value):
        raise _entry_error(within + field, _describe_value(value))
    return value


def _describe_value(value: object) -> str:
    if isinstance(value, str):
        return f"{value[:MAX_REASON_CHARACTERS]!a}"
    # The text of a number or of nested lists may exceed what Python converts.
    return "out of range" if type(value) is int else type(value).__name__


def _parse_layers(value: object) -> HeldLayers | None:
    if isinstance(value, list) and len(value) == 1:
        value = value[0]
    if value is None or value == []:
        return None
    if not isinstance(value, dict):
        raise _entry_error("layers", "no range")
    start = _checked(value, "from", _is_layer, within="layers/")
    stop = _checked(value, "to", _is_layer, within="layers/")
    if stop < start:
        raise _entry_error("layers", f"{start} to {stop}")
    return HeldLayers(start, stop)


def _is_name(value: object) -> TypeGuard[str]:
    # Names are sent in headers, so that a line break in one would add a header.
    return (
        isinstance(value, str)
        and 0 < len(value) <= MAX_NAME_CHARACTERS
        and value.isascii()
        and value.isprintable()
    )


def _is_kind(value: object) -> TypeGuard[str]:
    return value == "" or _is_name(value)


def _is_state(value: object) -> TypeGuard[str]:
    return value in ("ready", "draining")


def _is_count(value: object) -> TypeGuard[int]:
    return type(value) is int and 0 <= value <= MAX_NUMBER


def _is_layer(value: object) -> TypeGuard[int]:
    return _is_count(value) and value <= MAX_LAYERS


def _is_address(value: object) -> TypeGuard[str]:
    if not isinstance(value, str):
        return False
    match = _ADDRESS.fullmatch(value)
    return match is not None and all(
        int(number) <= largest
        for number, largest in zip(match.groups(), _ADDRESS_LIMITS, strict=True)
    )


def document_path(path: str) -> str:
    """Return the path in the document of a field of the model.

    The last name after the entry is translated: `routes["a"].prefix`.
    """
    entry, dot, field = path.rpartition(".")
    name, bracket, position = field.partition("[")
    if not dot or '"' in field:
        return path
    return f"{entry}.{DOCUMENT_FIELDS.get(name, name)}{bracket}{position}"
