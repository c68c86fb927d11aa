"""Quarantine of requests and prompt parts that crash the replicas that run them.

Such a request takes down every replica that starts to run it, and its caller retries
at any host; requests with such a part come from many callers. Each crash removes
layers from a zone for seconds, so a request is refused once two crashes are attributed
to it or to one of its parts.
"""

from collections.abc import Iterable
from itertools import chain

import attrs

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._model import CallerRequest, Replica
from persimmonwell.core.membership import rendezvous_order
from persimmonwell.core.retry import (
    Blame,
    CauseCount,
    CauseEvidence,
    CauseQuarantine,
    Quarantine,
    QuarantineChange,
)

ANSWERED_TTL_S = 600.0
"""Time after a complete answer for which requests with the same digest are not
suspected. A request that crashes replicas does so at each one, so it has no answer."""
MAX_ANSWERED = 4096
"""Answered digests that are kept, those answered last."""
BLAME_GOSSIP_S = 10.0
"""Time for which a crash is repeated to the peers, since single datagrams get lost."""


@attrs.frozen
class _UnconfirmedCrash:
    incarnation: str
    starting_parts: tuple[tuple[str, ...], ...]
    """Shared prompt parts of each request that was starting."""
    at_s: float


@attrs.frozen
class CrashVerdict:
    """What follows from the end of a suspicion that a replica crashed."""

    quarantined: tuple[str, ...] = ()
    """Newly quarantined digests and prompt parts."""
    cause_counts: tuple[CauseCount, ...] = ()
    """Crashes that count against the parts of the requests that were starting."""
    is_dismissed: bool = False
    """Whether the replica was suspected and is alive."""


class CrashTracker:
    """Attribution of replica crashes to requests and parts, shared with the peers."""

    def __init__(self) -> None:
        self._quarantine = Quarantine()
        self._parts = CauseQuarantine()
        self._host_id = ""
        self._host_ids = frozenset({""})
        self._unconfirmed: dict[str, _UnconfirmedCrash] = {}
        """Unconfirmed crashes by replica id."""
        self._gossip_until_s: dict[Blame, float] = {}
        self._answered_s: dict[str, float] = {}
        """Time of the last complete answer by digest, the oldest one first."""

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the digests whose requests are refused."""
        return self._quarantine.digests

    @property
    def quarantined_parts(self) -> frozenset[str]:
        """Return the prompt parts whose requests are refused."""
        return self._parts.quarantined

    def find_cause(self, request: CallerRequest) -> str | None:
        """Return the digest or the part because of which a request is refused."""
        if self._quarantine.is_quarantined(request.digest):
            return request.digest
        return self._parts.find_quarantined(request.shared_parts)

    def is_suspect(self, request: CallerRequest) -> bool:
        """Return whether a replica crashed under a part of a request before."""
        return self._parts.has_suspect(request.shared_parts)

    def set_hosts(self, host_id: str, peer_ids: Iterable[str]) -> None:
        """Set this host and its live peers, which take turns in trials."""
        self._host_id = host_id
        self._host_ids = frozenset({host_id, *peer_ids})

    def begin_trial(self, cause: str, now_s: float) -> bool:
        """Return whether one request may show that a quarantined part is harmless."""
        return cause in self._parts.quarantined and self._parts.begin_trial(
            cause, now_s, host_rank=lambda: self._host_rank(cause)
        )

    def _host_rank(self, cause: str) -> int:
        return rendezvous_order(cause, self._host_ids).index(self._host_id)

    def record_answer(self, request: CallerRequest, now_s: float) -> None:
        """Record that a replica began the answer to a request."""
        self._parts.record_answer(request.shared_parts, now_s)

    def record_completion(self, digest: str, now_s: float) -> None:
        """Clear the suspicion against a request that was answered."""
        self._quarantine.record_completed(digest)
        self._answered_s.pop(digest, None)
        self._answered_s[digest] = now_s
        if len(self._answered_s) > MAX_ANSWERED:
            del self._answered_s[next(iter(self._answered_s))]

    def _was_answered(self, digest: str, now_s: float) -> bool:
        answered_s = self._answered_s.get(digest, float("-inf"))
        return now_s - answered_s < ANSWERED_TTL_S

    def record_replica_failure(
        self, replica: Replica, running: Iterable[ActiveRequest], now_s: float
    ) -> bool:
        """Attribute a suspected crash to the running requests.

        Returns whether a probe of the replica should confirm it.
        """
        digests: set[str] = set()
        fresh: set[str] = set()
        starting_parts = []
        for active in running:
            digests.add(active.request.digest)
            if not active.has_partial_answer:
                fresh.add(active.request.digest)
            if active.is_starting and active.request.shared_parts:
                starting_parts.append(active.request.shared_parts)
        digests.discard("")
        incarnation = f"{replica.replica_id}/{replica.started_at_ms}"
        if not digests or not self._quarantine.record_loss(
            incarnation,
            frozenset(digests),
            not_generating=frozenset(fresh & digests),
            now_s=now_s,
            harmless=frozenset(
                digest for digest in digests if self._was_answered(digest, now_s)
            ),
        ):
            return False
        self._unconfirmed[replica.replica_id] = _UnconfirmedCrash(
            incarnation, tuple(starting_parts), now_s
        )
        return True

    def record_probe(
        self, replica_id: str, *, is_lost: bool, now_s: float
    ) -> CrashVerdict:
        """Confirm or dismiss a suspected crash."""
        crash = self._unconfirmed.pop(replica_id, None)
        if crash is None:
            return CrashVerdict()
        change = self._quarantine.resolve_loss(
            crash.incarnation, lost=is_lost, now_s=now_s
        )
        quarantined = self._apply_change(change, now_s)
        if not is_lost:
            return CrashVerdict(quarantined, is_dismissed=True)
        quarantined += self._parts.record_crash(
            crash.incarnation, crash.starting_parts, crash.at_s
        )
        cause_ids = dict.fromkeys(chain.from_iterable(crash.starting_parts))
        return CrashVerdict(quarantined, self._parts.counts(cause_ids))

    def cause_evidence(self, now_s: float) -> tuple[CauseEvidence, ...]:
        """Return the evidence about prompt parts to share with the peers."""
        return self._parts.evidence(now_s)

    def record_peer_evidence(
        self, evidence: CauseEvidence, now_s: float
    ) -> tuple[str, ...]:
        """Merge a peer's evidence about a part; return newly quarantined parts."""
        return self._parts.record_peer_evidence(evidence, now_s)

    def record_peer_blame(self, blame: Blame, now_s: float) -> tuple[str, ...]:
        """Record a crash that a peer attributed; return newly quarantined digests.

        Peers repeat each one, which must not outlast an answer.
        """
        if self._was_answered(blame.digest, now_s):
            return ()
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
        quarantined = self._apply_change(self._quarantine.expire(now_s), now_s)
        self._parts.expire(now_s)
        return quarantined

    def _apply_change(self, change: QuarantineChange, now_s: float) -> tuple[str, ...]:
        for blame in change.blames:
            self._gossip_until_s[blame] = now_s + BLAME_GOSSIP_S
        return change.quarantined
