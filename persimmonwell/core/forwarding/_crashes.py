"""Find the requests that crash the replicas that run them.

Load pattern: a request takes down every replica that begins to run it, and its caller
sends it again, to any host. Each crash takes layers out of a zone for seconds, so that
the request is refused once two crashes point to it.
"""

from collections.abc import Iterable

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._model import Replica
from persimmonwell.core.retry import Blame, Quarantine, QuarantineChange

TELL_PEERS_S = 10.0
"""A host that missed some datagrams still hears of each crash within this time."""


class CrashGuard:
    """Hold the evidence against requests, as digests, and tell it to the peers."""

    def __init__(self) -> None:
        self._quarantine = Quarantine()
        self._incarnations: dict[str, str] = {}
        """Names of the failed replicas' incarnations by replica."""
        self._told_until_s: dict[Blame, float] = {}

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the digests whose requests are refused."""
        return self._quarantine.digests

    def refuses(self, digest: str) -> bool:
        """Return whether requests with this digest are refused."""
        return self._quarantine.is_quarantined(digest)

    def answered(self, digest: str) -> None:
        """Clear a request that ran to its end."""
        self._quarantine.record_completed(digest)

    def replica_failed(
        self, replica: Replica, running: Iterable[ActiveRequest], now_s: float
    ) -> bool:
        """Accuse the requests at a replica; return whether to ask if it is alive."""
        digests: set[str] = set()
        fresh: set[str] = set()
        for active in running:
            digests.add(active.request.digest)
            if not active.has_answer:
                fresh.add(active.request.digest)
        digests.discard("")
        name = f"{replica.replica_id}/{replica.born_ms}"
        if not digests or not self._quarantine.record_loss(
            name,
            frozenset(digests),
            not_generating=frozenset(fresh & digests),
            now_s=now_s,
        ):
            return False
        self._incarnations[replica.replica_id] = name
        return True

    def replica_checked(
        self, replica_id: str, *, is_lost: bool, now_s: float
    ) -> tuple[str, ...]:
        """Confirm or disprove a crash; return the digests that are refused now."""
        name = self._incarnations.pop(replica_id, None)
        if name is None:
            return ()
        return self._take(
            self._quarantine.resolve_loss(name, lost=is_lost, now_s=now_s), now_s
        )

    def peer_blamed(self, blame: Blame, now_s: float) -> tuple[str, ...]:
        """Take a crash that another host saw; return the digests refused now."""
        return self._quarantine.record_peer_blame(
            blame.digest, blame.upstream_id, now_s
        ).quarantined

    def blames(self, now_s: float) -> tuple[Blame, ...]:
        """Return the crashes to tell the other hosts."""
        return tuple(
            blame for blame, until_s in self._told_until_s.items() if until_s > now_s
        )

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Confirm crashes without an answer; return the digests refused now."""
        for blame, until_s in list(self._told_until_s.items()):
            if until_s <= now_s:
                del self._told_until_s[blame]
        return self._take(self._quarantine.expire(now_s), now_s)

    def _take(self, verdict: QuarantineChange, now_s: float) -> tuple[str, ...]:
        for blame in verdict.blames:
            self._told_until_s[blame] = now_s + TELL_PEERS_S
        return verdict.quarantined
