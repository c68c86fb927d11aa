"""Parser of the platform's host list: upstreams, service replicas, entry hosts."""

import attrs

from persimmonwell.core._documents import (
    FaultList,
    JsonValue,
    ObjectReader,
)
from persimmonwell.core._types import (
    LayerRange,
    ServiceReplica,
    Upstream,
    UpstreamRole,
)


@attrs.frozen
class EntryHost:
    """Entry host: a machine that runs this software."""

    host_id: str
    address: str
    """Address of the peers' port, numeric IP and port."""
    availability_zone: str
    operator_address: str = ""
    """Address of the operators' port, numeric IP and port."""
    incarnation: str = ""
    leaving: bool = False


@attrs.frozen
class HostList:
    """Host list as read from the platform at one time."""

    as_of_s: float
    """Wall-clock time at which the platform produced the list, in seconds."""
    upstreams: tuple[Upstream, ...] = ()
    replicas: tuple[ServiceReplica, ...] = ()
    entry_hosts: tuple[EntryHost, ...] = ()


def parse_host_list(document: JsonValue) -> HostList:
    """Parse the platform's answer; raise DocumentError listing all faults."""
    faults = FaultList()
    root = ObjectReader(document, "", faults)
    as_of = root.number("as_of", 0.0)
    upstreams: list[Upstream] = []
    replicas: list[ServiceReplica] = []
    entry_hosts: list[EntryHost] = []
    entries = document.get("hosts") if isinstance(document, dict) else None
    for index, entry in enumerate(entries if isinstance(entries, list) else []):
        reader = ObjectReader(entry, f"/hosts/{index}", faults)
        kind = reader.text("kind", choices=("engine", "service", "entry"))
        if kind == "engine":
            upstreams.append(_read_upstream(reader))
        elif kind == "service":
            replicas.append(_read_replica(reader))
        elif kind == "entry":
            entry_hosts.append(_read_entry_host(reader))
    if not isinstance(entries, list):
        faults.add("/hosts", "must be a list")
    faults.raise_if_any()
    return HostList(
        as_of_s=as_of,
        upstreams=tuple(upstreams),
        replicas=tuple(replicas),
        entry_hosts=tuple(entry_hosts),
    )


def _is_leaving(reader: ObjectReader) -> bool:
    return reader.text("state", "live", choices=("live", "leaving")) == "leaving"


def _read_upstream(reader: ObjectReader) -> Upstream:
    layers = reader.child("layers")
    roles = tuple(role.value for role in UpstreamRole)
    return Upstream(
        upstream_id=reader.text("id"),
        address=reader.text("address"),
        availability_zone=reader.text("availability_zone"),
        model=reader.text("model"),
        layers=LayerRange(layers.integer("start"), layers.integer("stop", minimum=1)),
        accelerator=reader.text("accelerator", "generic"),
        role=UpstreamRole(reader.text("role", "any", choices=roles)),
        slots=reader.integer("slots", 16, minimum=1),
        tokens_per_s=reader.number("tokens_per_s", 1000.0, exclusive_minimum=True),
        version=reader.text("version", "1"),
        incarnation=reader.optional_text("incarnation") or "",
        leaving=_is_leaving(reader),
    )


def _read_replica(reader: ObjectReader) -> ServiceReplica:
    return ServiceReplica(
        replica_id=reader.text("id"),
        address=reader.text("address"),
        availability_zone=reader.text("availability_zone"),
        service=reader.text("service"),
        incarnation=reader.optional_text("incarnation") or "",
        leaving=_is_leaving(reader),
    )


def _read_entry_host(reader: ObjectReader) -> EntryHost:
    return EntryHost(
        host_id=reader.text("id"),
        address=reader.text("address"),
        availability_zone=reader.text("availability_zone"),
        operator_address=reader.optional_text("operator_address") or "",
        incarnation=reader.optional_text("incarnation") or "",
        leaving=_is_leaving(reader),
    )
