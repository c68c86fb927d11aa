"""Define the typed decisions that the control state returns."""

import attrs

from persimmonwell._exceptions import PersimmonwellError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core._types import ServiceReplica, Upstream
from persimmonwell.core.config import FleetConfig


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


ControlDecision = AppendRecords | PutConfigInForce | UpdateFleet | PatchSettled
