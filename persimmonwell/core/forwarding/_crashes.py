"""Quarantine of requests and prompt parts that crash the replicas that run them.

Such a request takes down every replica that starts to run it, and its caller retries
at any host; requests with such a part come from many callers. Each crash removes
layers from a zone for seconds, so a request is refused once the crashes are attributed
to it or to one of its parts.
"""

from collections.abc import Iterable

import attrs

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._model import CallerRequest, Replica
from persimmonwell.core.membership import rendezvous_order
from persimmonwell.core.retry import (
    REQUEST_PREFIX,
    CauseCount,
    CauseEvidence,
    CauseQuarantine,
    CrashCandidate,
    request_cause,
)

CONFIRM_TIMEOUT_S = 0.5
"""A replica that answers no probe for this long counts as crashed."""
SAME_LOSS_S = 2.0
"""Failures at one replica that follow each other within this time mean one crash."""
MIN_LOGGED_CRASHES = 2
"""Crashes from which a request is named in the report about one."""


@attrs.frozen
class _Suspicion:
    incarnation: str
    candidates: tuple[CrashCandidate, ...]
    at_s: float


@attrs.frozen
class CrashVerdict:
    """What follows from the end of a suspicion that a replica crashed."""

    quarantined: tuple[str, ...] = ()
    """Newly quarantined digests and prompt parts."""
    cause_counts: tuple[CauseCount, ...] = ()
    """Crashes that count against the requests that ran there and their parts."""
    is_dismissed: bool = False
    """Whether the replica was suspected and is alive."""


class CrashTracker:
    """Attribution of replica crashes to requests and parts, shared with the peers."""

    def __init__(self) -> None:
        self._causes = CauseQuarantine()
        self._host_id = ""
        self._host_ids = frozenset({""})
        self._unconfirmed: dict[str, _Suspicion] = {}
        """Unconfirmed crashes by replica id."""
        self._suspected_s: dict[str, float] = {}
        """Time of the last suspected crash by incarnation, the oldest one first."""

    @property
    def quarantined(self) -> tuple[str, ...]:
        """Return the digests whose requests are refused."""
        return tuple(
            sorted(
                cause.removeprefix(REQUEST_PREFIX)
                for cause in self._causes.quarantined
                if cause.startswith(REQUEST_PREFIX)
            )
        )

    @property
    def quarantined_parts(self) -> frozenset[str]:
        """Return the prompt parts whose requests are refused."""
        return frozenset(
            cause
            for cause in self._causes.quarantined
            if not cause.startswith(REQUEST_PREFIX)
        )

    def find_cause(self, request: CallerRequest) -> str | None:
        """Return the digest or the part because of which a request is refused."""
        cause = self._causes.find_quarantined(_causes_of(request))
        return None if cause is None else cause.removeprefix(REQUEST_PREFIX)

    def is_suspect(self, request: CallerRequest) -> bool:
        """Return whether one more crash may show that a request crashes replicas."""
        return self._causes.has_suspect(_causes_of(request))

    def awaits_verdict(self, active: ActiveRequest) -> bool:
        """Return whether a suspected crash will tell if a request may run again."""
        return (
            bool(self._unconfirmed)
            and not self._unconfirmed.keys().isdisjoint(active.reserved)
            and self.is_suspect(active.request)
        )

    def set_hosts(self, host_id: str, peer_ids: Iterable[str]) -> None:
        """Set this host and its live peers, which take turns in trials."""
        self._host_id = host_id
        self._host_ids = frozenset({host_id, *peer_ids})

    def begin_trial(self, request: CallerRequest, now_s: float) -> bool:
        """Return whether a request may show that its quarantined cause is harmless."""
        cause = self._causes.find_quarantined(_causes_of(request))
        return cause is not None and self._causes.begin_trial(
            cause, now_s, host_rank=lambda: self._host_rank(cause)
        )

    def _host_rank(self, cause: str) -> int:
        return rendezvous_order(cause, self._host_ids).index(self._host_id)

    def record_begin(self, now_s: float) -> None:
        """Record that a replica began an answer."""
        self._causes.record_begin(now_s)

    def record_completion(self, request: CallerRequest, now_s: float) -> None:
        """Clear the suspicion against a request that was answered, and its parts."""
        self._causes.record_answer(_causes_of(request), now_s)

    def record_replica_failure(
        self, replica: Replica, running: Iterable[ActiveRequest], now_s: float
    ) -> bool:
        """Attribute a suspected crash to the running requests.

        Returns whether a probe of the replica should confirm it.
        """
        candidates = tuple(
            CrashCandidate(
                active.request.shared_parts,
                active.request.digest,
                active.is_starting,
                sent_s=max(active.sent_s, active.rerouted_s),
                answered_s=(
                    active.last_event_s
                    if active.has_answer_part or active.has_answer_head
                    else None
                ),
            )
            for active in running
        )
        if not any(candidate.parts or candidate.digest for candidate in candidates):
            return False
        incarnation = f"{replica.replica_id}/{replica.started_at_ms}"
        # Reports about a replica that stays dead go on; all of them mean one crash.
        before_s = self._suspected_s.pop(incarnation, float("-inf"))
        self._suspected_s[incarnation] = now_s
        if now_s - before_s < SAME_LOSS_S:
            return False
        self._unconfirmed[replica.replica_id] = _Suspicion(
            incarnation, candidates, now_s
        )
        return True

    def record_probe(
        self, replica_id: str, *, is_lost: bool, now_s: float
    ) -> CrashVerdict:
        """Confirm or dismiss a suspected crash."""
        crash = self._unconfirmed.pop(replica_id, None)
        if crash is None:
            return CrashVerdict()
        if not is_lost:
            self._suspected_s.pop(crash.incarnation, None)
            return CrashVerdict(is_dismissed=True)
        quarantined = self._causes.record_crash(
            crash.incarnation, crash.candidates, crash.at_s
        )
        cause_ids = dict.fromkeys(
            cause for candidate in crash.candidates for cause, _ in candidate.causes
        )
        counts = self._causes.counts(cause_ids)
        return CrashVerdict(
            _without_prefix(quarantined),
            tuple(
                attrs.evolve(
                    count, cause_id=count.cause_id.removeprefix(REQUEST_PREFIX)
                )
                for count in counts
                if not count.cause_id.startswith(REQUEST_PREFIX)
                or count.crashes >= MIN_LOGGED_CRASHES
            ),
        )

    @property
    def mark(self) -> int:
        """Return a number by which peers see whether they refuse the same causes."""
        return self._causes.mark

    def changed_evidence(self, now_s: float) -> tuple[CauseEvidence, ...]:
        """Return the changed evidence about causes of crashes, for any peer."""
        return self._causes.changed_evidence(now_s)

    def unchanged_evidence(self, now_s: float) -> tuple[CauseEvidence, ...]:
        """Return the evidence for peers with another mark, besides what has changed."""
        return self._causes.unchanged_evidence(now_s)

    def record_peer_evidence(
        self, evidence: CauseEvidence, now_s: float
    ) -> tuple[str, ...]:
        """Merge a peer's evidence; return newly quarantined digests and parts."""
        return _without_prefix(self._causes.record_peer_evidence(evidence, now_s))

    def expire(self, now_s: float) -> tuple[str, ...]:
        """Confirm crashes without a probe result; return newly quarantined causes."""
        quarantined: tuple[str, ...] = ()
        for replica_id, crash in list(self._unconfirmed.items()):
            if now_s - crash.at_s >= CONFIRM_TIMEOUT_S:
                verdict = self.record_probe(replica_id, is_lost=True, now_s=now_s)
                quarantined += verdict.quarantined
        for incarnation, suspected_s in list(self._suspected_s.items()):
            if now_s - suspected_s < SAME_LOSS_S:
                break
            del self._suspected_s[incarnation]
        self._causes.expire(now_s)
        return quarantined


def _causes_of(request: CallerRequest) -> tuple[str, ...]:
    if not request.digest:
        return request.shared_parts
    return (*request.shared_parts, request_cause(request.digest))


def _without_prefix(causes: Iterable[str]) -> tuple[str, ...]:
    return tuple(cause.removeprefix(REQUEST_PREFIX) for cause in causes)
