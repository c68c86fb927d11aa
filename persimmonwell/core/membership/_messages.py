"""Messages that entry hosts exchange."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import ServiceReplica, Upstream
from persimmonwell.core.config import LogRecord
from persimmonwell.core.router import InflightCount
from persimmonwell.core.timeline import HybridTimestamp

NO_CONFIG_IN_FORCE = -1
"""Configuration version announced by a host without a configuration in force."""


@attrs.frozen
class LeavingMark:
    """Mark that one incarnation of an upstream or service replica is leaving."""

    upstream_id: str
    incarnation: str
    age_s: float
    """Time since the mark was first set on any host, in seconds."""


@attrs.frozen
class QuarantineNotice:
    """Notice that a digest is blamed for a lost upstream, or that it is cleared."""

    notice_id: str
    digest: str
    upstream_id: str
    """Empty when the digest is cleared."""


@attrs.frozen
class HostVersion:
    """Configuration version in force on one host."""

    host_id: str
    incarnation: int
    """Start time of the daemon, milliseconds since the epoch."""
    version: int


@attrs.frozen
class Heartbeat:
    """Periodic summary of one host's state, as digests and bounded lists."""

    host_id: str
    incarnation: int
    sequence: int
    address: str
    availability_zone: str
    config_version: int
    config_offset: int
    config_digest: bytes
    members_digest: bytes
    load: int = 0
    leaving: tuple[LeavingMark, ...] = ()
    inflight: tuple[InflightCount, ...] = ()
    notices: tuple[QuarantineNotice, ...] = ()
    wants_reply: bool = False
    stamp: HybridTimestamp = HybridTimestamp(0)
    """Send time on the sender's hybrid logical clock."""


@attrs.frozen
class ConfigRequest:
    """Request for the records of the config stream from an offset on."""

    host_id: str
    from_offset: int


@attrs.frozen
class ConfigRecords:
    """Response with records of the config stream, preceded by a snapshot if needed."""

    host_id: str
    next_offset: int
    """Offset of the sender's next record."""
    records: tuple[LogRecord, ...]
    snapshot: JsonObject | None = None
    """Snapshot record; set when the sender no longer keeps the requested records."""


@attrs.frozen
class MembersRequest:
    """Request for a peer's leaving marks and known configuration versions."""

    host_id: str
    wants_upstreams: bool
    """Whether the sender has no current host list of its own."""
    upstreams_digest: bytes = b""
    """Digest of the upstreams last received from a peer."""


@attrs.frozen
class MembersDelta:
    """Response with leaving marks, versions and, if requested, the upstreams."""

    host_id: str
    leaving: tuple[LeavingMark, ...]
    versions: tuple[HostVersion, ...]
    upstreams: tuple[Upstream, ...] = ()
    replicas: tuple[ServiceReplica, ...] = ()
    upstreams_digest: bytes = b""
    """Digest of the sender's current host list; empty when it has none.

    When it equals the digest in the request, upstreams and replicas are left out.
    """


PeerMessage = Heartbeat | ConfigRequest | ConfigRecords | MembersRequest | MembersDelta
