"""Adapters that read limits, quarantine and claims for the operators' routes."""

import time
from collections.abc import Callable

from persimmonwell.core.claims import ActiveClaim, ClaimKey
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.control import QuarantineClearRequested
from persimmonwell.core.router import Router
from persimmonwell.daemon._control_actor import ControlPort
from persimmonwell.daemon._router_actor import ActorRouterPort, RoutingCore
from persimmonwell.daemon._state_routes import (
    ClaimStatus,
    FindClaim,
    LimitStatus,
    QuarantineEntry,
    ReadLimits,
)


def limits_view(
    router: ActorRouterPort, current_config: Callable[[], FleetConfig | None]
) -> ReadLimits:
    """Return a function that reads the limits in force on this host."""

    def read() -> tuple[LimitStatus, ...]:
        config = current_config() or FleetConfig()
        return router.inspect(lambda core: _read_limits(core, config))

    return read


def _read_limits(core: RoutingCore, config: FleetConfig) -> tuple[LimitStatus, ...]:
    if not isinstance(core, Router):
        return ()
    statuses = []
    for share in core.limits_in_force(time.monotonic()):
        workspace = config.workspace(share.workspace)
        statuses.append(
            LimitStatus(
                workspace=share.workspace,
                tokens_per_s=workspace.tokens_per_s if workspace else None,
                host_tokens_per_s=share.tokens_per_s,
                max_concurrency=workspace.max_concurrency if workspace else None,
                host_max_concurrency=share.max_concurrency,
                in_flight=share.running,
            )
        )
    return tuple(statuses)


class QuarantineView:
    """Quarantine as operators see it: read from the router, cleared by the control."""

    def __init__(self, router: ActorRouterPort, control: ControlPort) -> None:
        self._router = router
        self._control = control

    def entries(self) -> tuple[QuarantineEntry, ...]:
        """Return every digest that is suspect or quarantined."""
        return self._router.inspect(_read_quarantine)

    def clear(self, digest: str) -> bool:
        """Release a digest on every host; return False if it is unknown."""
        is_known = any(entry.digest == digest for entry in self.entries())
        if is_known:
            self._control.post_event(QuarantineClearRequested(digest))
        return is_known


def _read_quarantine(core: RoutingCore) -> tuple[QuarantineEntry, ...]:
    if not isinstance(core, Router):
        return ()
    upstream_ids_by_digest: dict[str, list[str]] = {
        digest: [] for digest in core.quarantined
    }
    for blame in core.suspects:
        upstream_ids_by_digest.setdefault(blame.digest, []).append(blame.upstream_id)
    quarantined = set(core.quarantined)
    return tuple(
        QuarantineEntry(
            digest=digest,
            state="quarantined" if digest in quarantined else "suspect",
            upstream_ids=tuple(upstream_ids),
        )
        for digest, upstream_ids in sorted(upstream_ids_by_digest.items())
    )


def claims_view(find_claim: Callable[[ClaimKey], ActiveClaim | None]) -> FindClaim:
    """Return a function that reads the claim on one key."""

    def read(workspace: str, service: str, key: str) -> ClaimStatus | None:
        claim = find_claim(ClaimKey(workspace, service, key))
        if claim is None:
            return None
        result = claim.result
        return ClaimStatus(
            state="claimed" if result is None else "answered",
            host=claim.host,
            offset=claim.offset,
            status=None if result is None else result.status,
        )

    return read
