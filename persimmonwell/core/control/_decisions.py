"""Define the typed decisions that the control state returns."""

import attrs

from persimmonwell._exceptions import PersimmonwellError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import ServiceReplica, Upstream
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.membership import PeerMessage
from persimmonwell.core.router import InflightCount


@attrs.frozen
class AppendRecords:
    """Append records to a log stream; the answer comes back as an event."""

    append_id: int
    stream: str
    records: tuple[JsonObject, ...]


@attrs.frozen
class PutConfigInForce:
    """Hand an accepted configuration to the router."""

    config: FleetConfig


@attrs.frozen
class UpdateFleet:
    """Hand the current upstreams and replicas to the router."""

    upstreams: tuple[Upstream, ...]
    replicas: tuple[ServiceReplica, ...]
    live_hosts: int


@attrs.frozen
class PatchSettled:
    """Answer the operator who sent a patch."""

    patch_id: str
    version: int
    """Version in force after the patch was folded."""
    error: PersimmonwellError | None
    """Reason of a refusal; None means accepted."""


@attrs.frozen
class SendToPeer:
    """Send a message to another entry host."""

    host_id: str
    address: str
    """Address of the peers' port; empty when only the peer's link is known."""
    message: PeerMessage


@attrs.frozen
class LearnInflight:
    """Hand a peer's in-flight requests to the router."""

    host_id: str
    counts: tuple[InflightCount, ...]


@attrs.frozen
class LearnBlame:
    """Hand another host's blame to the router."""

    digest: str
    upstream_id: str


@attrs.frozen
class ReleaseDigest:
    """Tell the router that an operator cleared a digest."""

    digest: str


@attrs.frozen
class ReportFault:
    """Report something an operator should look at."""

    part: str
    kind: str
    """Stable identifier, used as a metric label."""
    detail: str


ControlDecision = (
    AppendRecords
    | PutConfigInForce
    | UpdateFleet
    | PatchSettled
    | SendToPeer
    | LearnInflight
    | LearnBlame
    | ReleaseDigest
    | ReportFault
)
