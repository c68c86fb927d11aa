"""Define the messages that entry hosts exchange."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import ServiceReplica, Upstream
from persimmonwell.core.config import LogRecord
from persimmonwell.core.router import InflightCount
from persimmonwell.core.timeline import HybridTimestamp

NOT_IN_FORCE = -1
"""Version announced by a host that has no configuration in force."""


@attrs.frozen
class LeavingMark:
    """State that one incarnation of an upstream is leaving."""

    upstream_id: str
    incarnation: str
    age_s: float
    """Time since the mark was first set on any host, seconds."""


@attrs.frozen
class QuarantineNotice:
    """State that an upstream was lost to a digest, or that a digest is cleared."""

    notice_id: str
    digest: str
    upstream_id: str
    """Empty when the digest is cleared."""


@attrs.frozen
class HostVersion:
    """State which configuration version is in force on one host."""

    host_id: str
    incarnation: int
    """Start time of the daemon, milliseconds since the epoch."""
    version: int


@attrs.frozen
class Heartbeat:
    """Announce the state of one host by digests and bounded lists."""

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
    """Instant of the send on the sender's hybrid logical clock."""


@attrs.frozen
class ConfigRequest:
    """Ask a peer for the records of the config stream from an offset on."""

    host_id: str
    from_offset: int


@attrs.frozen
class ConfigRecords:
    """Pass on records of the config stream, after a snapshot where needed."""

    host_id: str
    next_offset: int
    """Offset of the sender's next record."""
    records: tuple[LogRecord, ...]
    snapshot: JsonObject | None = None
    """Snapshot record; set when the first records are no longer kept."""


@attrs.frozen
class MembersRequest:
    """Ask a peer for its leaving marks and the versions it knows."""

    host_id: str
    wants_upstreams: bool
    """Whether the asker has no current host list of its own."""
    upstreams_digest: bytes = b""
    """Digest of the upstreams that a peer sent last."""


@attrs.frozen
class MembersDelta:
    """Answer with leaving marks, versions and, where asked, the upstreams."""

    host_id: str
    leaving: tuple[LeavingMark, ...]
    versions: tuple[HostVersion, ...]
    upstreams: tuple[Upstream, ...] = ()
    replicas: tuple[ServiceReplica, ...] = ()
    upstreams_digest: bytes = b""
    """Digest of the sender's current list; empty when it has none.

    When it equals the digest in the request, the upstreams are left out.
    """


PeerMessage = Heartbeat | ConfigRequest | ConfigRecords | MembersRequest | MembersDelta
