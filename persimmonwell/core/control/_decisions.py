"""Decisions returned by the control state, for the daemon to carry out."""

import attrs

from persimmonwell._exceptions import PersimmonwellError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import ServiceReplica, Upstream
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.membership import PeerMessage
from persimmonwell.core.router import InflightCount


@attrs.frozen
class AppendRecords:
    """Append records to a log stream; the result is reported by an event."""

    append_id: int
    stream: str
    records: tuple[JsonObject, ...]


@attrs.frozen
class PutConfigInForce:
    """Apply an accepted configuration in the router."""

    config: FleetConfig


@attrs.frozen
class UpdateFleet:
    """Update the router's upstreams and service replicas."""

    upstreams: tuple[Upstream, ...]
    replicas: tuple[ServiceReplica, ...]
    live_hosts: int


@attrs.frozen
class PatchCompleted:
    """Return the result of a patch to the operator who submitted it."""

    patch_id: str
    version: int
    """Version in force after the patch was folded."""
    error: PersimmonwellError | None
    """Reason for the rejection; None when the patch was accepted."""


@attrs.frozen
class SendToPeer:
    """Send a message to another entry host."""

    host_id: str
    address: str
    """Address of the peer port; empty to reply on the link used by the peer."""
    message: PeerMessage


@attrs.frozen
class UpdatePeerInflight:
    """Update the router's counts of a peer's in-flight requests."""

    host_id: str
    counts: tuple[InflightCount, ...]


@attrs.frozen
class ApplyPeerBlame:
    """Apply in the router a loss that another host blames on a digest."""

    digest: str
    upstream_id: str


@attrs.frozen
class ReleaseDigest:
    """Release in the router a digest that an operator cleared."""

    digest: str


@attrs.frozen
class ReportFault:
    """Report a fault that an operator should look at."""

    part: str
    kind: str
    """Stable identifier, used as a metric label."""
    detail: str


ControlDecision = (
    AppendRecords
    | PutConfigInForce
    | UpdateFleet
    | PatchCompleted
    | SendToPeer
    | UpdatePeerInflight
    | ApplyPeerBlame
    | ReleaseDigest
    | ReportFault
)
