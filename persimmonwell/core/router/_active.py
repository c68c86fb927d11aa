"""Active requests: those admitted that have not yet finished or been refused."""

import heapq
from collections.abc import Iterator
from enum import Enum

import attrs

from persimmonwell._exceptions import UpstreamFailedError
from persimmonwell.core._types import (
    Chain,
    ModelRequest,
    Rank,
    ServiceCall,
    ServiceReplica,
)
from persimmonwell.core.admission import QueueEntry

STALE_EXPIRY_SLACK = 256
"""Stale expiry-heap items allowed beyond twice the waiting requests."""


class Phase(Enum):
    """Stage of a request's life cycle."""

    QUEUED = 0
    """Queued for its first dispatch; not yet charged."""
    RESUMING = 1
    """Charged, and waiting for another attempt after a failed one."""
    RUNNING = 2


@attrs.define(eq=False)
class ActiveRequest:
    """State of one request that has not ended."""

    work: ModelRequest | ServiceCall
    target: str
    entry: QueueEntry[Rank, str]
    arrived_s: float
    expires_s: float
    phase: Phase = Phase.QUEUED
    charged: bool = False
    attempt: int = 0
    chain: Chain | None = None
    replica: ServiceReplica | None = None
    excluded: frozenset[str] = frozenset()
    suspected_upstreams: frozenset[str] = frozenset()
    """Upstreams of chains that stalled mid-answer; which one is at fault is unknown."""
    suspected_first_stages: frozenset[str] = frozenset()
    """First stages of those chains; they delivered tokens before the stall."""
    may_have_run: bool = False
    accepted_tokens: int = 0
    """Tokens accepted in order when the last attempt ended."""
    generated_tokens: int = 0
    """Tokens reported so far, including those of the running attempt."""
    sent_s: float = 0.0
    first_token_s: float | None = None
    failures: int = 0
    last_failure_s: float = 0.0
    not_before_s: float = 0.0
    last_error: UpstreamFailedError | None = None
    uncovered_reason: str | None = None
    """Why the live upstreams cannot serve the target; None when they can."""

    @property
    def request_id(self) -> str:
        """Return the request id."""
        return self.work.request_id

    @property
    def rank(self) -> Rank:
        """Return the rank."""
        return self.work.rank

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Return the upstream ids of the running attempt."""
        return () if self.chain is None else self.chain.upstream_ids

    @property
    def remaining_tokens(self) -> int:
        """Return how many tokens another attempt may still generate."""
        if isinstance(self.work, ServiceCall):
            return 1
        return max(0, self.work.max_tokens - self.accepted_tokens)

    @property
    def tokens_to_charge(self) -> int:
        """Return the tokens to charge if the request ends now without an answer."""
        if not self.may_have_run and self.phase is not Phase.RUNNING:
            return 0
        if isinstance(self.work, ServiceCall):
            return self.entry.cost_tokens
        return self.work.prompt_tokens + max(
            self.accepted_tokens, self.generated_tokens
        )


class ActiveRequestTable:
    """Index of active requests by id, digest, upstream and queue expiry."""

    def __init__(self) -> None:
        self._by_id: dict[str, ActiveRequest] = {}
        self._by_digest: dict[str, set[str]] = {}
        self._by_upstream: dict[str, set[str]] = {}
        self._waiting = dict.fromkeys(Rank, 0)
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of requests queued or running."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[ActiveRequest]:
        """Iterate over a snapshot, so that callers may remove requests."""
        return iter(tuple(self._by_id.values()))

    @property
    def waiting_count(self) -> int:
        """Return the number of requests that wait for an attempt."""
        return sum(self._waiting.values())

    def count_waiting(self, rank: Rank) -> int:
        """Return the number of requests of a rank that wait for an attempt."""
        return self._waiting[rank]

    def get(self, request_id: str) -> ActiveRequest | None:
        """Return the request with this id, or None after its end."""
        return self._by_id.get(request_id)

    def get_running(self, request_id: str, attempt: int) -> ActiveRequest | None:
        """Return the request if the given attempt of it is running, else None."""
        active = self._by_id.get(request_id)
        if active is None or active.phase is not Phase.RUNNING:
            return None
        return active if active.attempt == attempt else None

    def with_digest(self, digest: str) -> tuple[ActiveRequest, ...]:
        """Return the requests with this digest, sorted by id."""
        ids = sorted(self._by_digest.get(digest, ()))
        return tuple(self._by_id[request_id] for request_id in ids)

    def running_on(self, upstream_id: str) -> tuple[ActiveRequest, ...]:
        """Return the requests whose running attempt uses an upstream."""
        ids = self._by_upstream.get(upstream_id, ())
        return tuple(self._by_id[request_id] for request_id in ids)

    def add(self, active: ActiveRequest) -> None:
        """Add a newly admitted request that waits for dispatch."""
        self._by_id[active.request_id] = active
        self._by_digest.setdefault(active.work.digest, set()).add(active.request_id)
        self._waiting[active.rank] += 1
        self.set_expiry(active, active.expires_s)

    def discard(self, active: ActiveRequest) -> None:
        """Remove a request that ended."""
        if active.phase is not Phase.RUNNING:
            self._waiting[active.rank] -= 1
        self.release_upstreams(active)
        del self._by_id[active.request_id]
        digest = active.work.digest
        self._by_digest[digest].discard(active.request_id)
        if not self._by_digest[digest]:
            del self._by_digest[digest]

    def mark_running(self, active: ActiveRequest) -> None:
        """Move a waiting request to the running phase."""
        active.phase = Phase.RUNNING
        self._waiting[active.rank] -= 1
        for upstream_id in active.upstream_ids:
            self._by_upstream.setdefault(upstream_id, set()).add(active.request_id)

    def mark_waiting(self, active: ActiveRequest, expires_s: float) -> None:
        """Move a request whose attempt failed back to waiting."""
        active.phase = Phase.RESUMING
        self._waiting[active.rank] += 1
        self.set_expiry(active, expires_s)

    def release_upstreams(self, active: ActiveRequest) -> None:
        """Remove the running attempt from the index by upstream."""
        for upstream_id in active.upstream_ids:
            ids = self._by_upstream.get(upstream_id)
            if ids is not None:
                ids.discard(active.request_id)
                if not ids:
                    del self._by_upstream[upstream_id]

    def set_expiry(self, active: ActiveRequest, expires_s: float) -> None:
        """Set the time until which a request may wait, in monotonic seconds."""
        active.expires_s = expires_s
        heapq.heappush(self._expiries, (expires_s, active.request_id))
        if len(self._expiries) > 2 * self.waiting_count + STALE_EXPIRY_SLACK:
            self._expiries = [
                (active.expires_s, active.request_id)
                for active in self._by_id.values()
                if active.phase is not Phase.RUNNING
            ]
            heapq.heapify(self._expiries)

    def pop_expired(self, now_s: float) -> ActiveRequest | None:
        """Return a waiting request whose expiry has passed, or None."""
        while self._expiries and self._expiries[0][0] <= now_s:
            expires_s, request_id = heapq.heappop(self._expiries)
            active = self._by_id.get(request_id)
            if active is None or active.phase is Phase.RUNNING:
                continue
            if active.expires_s == expires_s:
                return active
        return None
