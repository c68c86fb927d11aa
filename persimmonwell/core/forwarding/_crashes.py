"""Quarantine of requests that crash the replicas that run them.

Such a request takes down every replica that starts to run it, and its caller retries
at any host. Each crash removes layers from a zone for seconds, so a request is refused
once two crashes are attributed to it.
"""

from collections.abc import Iterable

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._model import Replica
from persimmonwell.core.retry import Blame, Quarantine, QuarantineChange

BLAME_GOSSIP_S = 10.0
"""Time for which a crash is repeated to the peers, since single datagrams get lost."""


class CrashTracker:
    """Attribution of replica crashes to request digests, shared with the peers."""

    def __init__(self) -> None:
        self._quarantine = Quarantine()
        self._incarnations: dict[str, str] = {}
        """Incarnations with an unconfirmed crash, by replica id."""
        self._gossip_until_s: dict[Blame, float] = {}

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the digests whose requests are refused."""
        return self._quarantine.digests

    def is_quarantined(self, digest: str) -> bool:
        """Return whether requests with this digest are refused."""
        return self._quarantine.is_quarantined(digest)

    def record_completion(self, digest: str) -> None:
        """Clear the suspicion against a request that was answered."""
        self._quarantine.record_completed(digest)

    def record_replica_failure(
        self, replica: Replica, running: Iterable[ActiveRequest], now_s: float
    ) -> bool:
        """Attribute a suspected crash to the running requests.

        Returns whether a probe of the replica should confirm it.
        """
        digests: set[str] = set()
        fresh: set[str] = set()
        for active in running:
            digests.add(active.request.digest)
            if not active.has_partial_answer:
                fresh.add(active.request.digest)
        digests.discard("")
        incarnation = f"{replica.replica_id}/{replica.started_at_ms}"
        if not digests or not self._quarantine.record_loss(
            incarnation,
            frozenset(digests),
            not_generating=frozenset(fresh & digests),
            now_s=now_s,
        ):
            return False
        self._incarnations[replica.replica_id] = incarnation
        return True

    def record_probe(
        self, replica_id: str, *, is_lost: bool, now_s: float
    ) -> tuple[str, ...]:
        """Confirm or dismiss a suspected crash; return newly quarantined digests."""
        incarnation = self._incarnations.pop(replica_id, None)
        if incarnation is None:
            return ()
        return self._apply_change(
            self._quarantine.resolve_loss(incarnation, lost=is_lost, now_s=now_s), now_s
        )

    def record_peer_blame(self, blame: Blame, now_s: float) -> tuple[str, ...]:
        """Record a crash that a peer attributed; return newly quarantined digests."""
        return self._quarantine.record_peer_blame(
            blame.digest, blame.upstream_id, now_s
        ).quarantined

    def blames(self, now_s: float) -> tuple[Blame, ...]:
        """Return the attributed crashes to share with the peers."""
        return tuple(
            blame for blame, until_s in self._gossip_until_s.items() if until_s > now_s
        )

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Confirm crashes without a probe result; return newly quarantined digests."""
        for blame, until_s in list(self._gossip_until_s.items()):
            if until_s <= now_s:
                del self._gossip_until_s[blame]
        return self._apply_change(self._quarantine.expire(now_s), now_s)

    def _apply_change(self, change: QuarantineChange, now_s: float) -> tuple[str, ...]:
        for blame in change.blames:
            self._gossip_until_s[blame] = now_s + BLAME_GOSSIP_S
        return change.quarantined
