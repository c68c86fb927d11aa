"""Track every request between its arrival and its single end."""

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

SPARE_EXPIRIES = 256
"""Stale heap items kept before a sweep removes them."""


class Phase(Enum):
    """Name where a request stands."""

    QUEUED = 0
    """Waits for its first dispatch, uncharged."""
    RESUMING = 1
    """Charged, and waits for another attempt."""
    RUNNING = 2


@attrs.define(eq=False)
class Active:
    """Track one request that has not ended."""

    work: ModelRequest | ServiceCall
    target: str
    entry: QueueEntry
    arrived_s: float
    expires_s: float
    phase: Phase = Phase.QUEUED
    charged: bool = False
    attempt: int = 0
    chain: Chain | None = None
    replica: ServiceReplica | None = None
    excluded: frozenset[str] = frozenset()
    suspected: frozenset[str] = frozenset()
    """Upstreams of chains that fell silent, one of which has to be at fault."""
    suspected_heads: frozenset[str] = frozenset()
    """First stages of those chains, which passed tokens on before the silence."""
    may_have_run: bool = False
    tokens: int = 0
    """Tokens accepted in order at the end of the last attempt."""
    generated: int = 0
    """Tokens reported so far, those of the running attempt included."""
    sent_s: float = 0.0
    first_token_s: float | None = None
    failures: int = 0
    failed_s: float = 0.0
    not_before_s: float = 0.0
    last_error: UpstreamFailedError | None = None
    uncovered: str | None = None
    """Why live upstreams cannot serve the target, when that is the case."""

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
        """Return the upstreams of the running attempt."""
        return () if self.chain is None else self.chain.upstream_ids

    @property
    def remaining_tokens(self) -> int:
        """Return the tokens that another attempt may still generate."""
        if isinstance(self.work, ServiceCall):
            return 1
        return max(0, self.work.max_tokens - self.tokens)

    @property
    def used_tokens(self) -> int:
        """Return the tokens to charge when the request ends early."""
        if not self.may_have_run and self.phase is not Phase.RUNNING:
            return 0
        if isinstance(self.work, ServiceCall):
            return self.entry.cost_tokens
        return self.work.prompt_tokens + max(self.tokens, self.generated)


class ActiveTable:
    """Index the requests that have not ended."""

    def __init__(self) -> None:
        self._by_id: dict[str, Active] = {}
        self._by_digest: dict[str, set[str]] = {}
        self._by_upstream: dict[str, set[str]] = {}
        self._waiting = dict.fromkeys(Rank, 0)
        self._expiries: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of requests queued or running."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[Active]:
        """Iterate over a copy of all requests."""
        return iter(tuple(self._by_id.values()))

    @property
    def waiting_total(self) -> int:
        """Return the number of requests that wait for an attempt."""
        return sum(self._waiting.values())

    def waiting(self, rank: Rank) -> int:
        """Return the number of requests of a rank that wait for an attempt."""
        return self._waiting[rank]

    def get(self, request_id: str) -> Active | None:
        """Return the request with this id, or None after its end."""
        return self._by_id.get(request_id)

    def running(self, request_id: str, attempt: int) -> Active | None:
        """Return the request if this attempt of it is running."""
        active = self._by_id.get(request_id)
        if active is None or active.phase is not Phase.RUNNING:
            return None
        return active if active.attempt == attempt else None

    def with_digest(self, digest: str) -> tuple[Active, ...]:
        """Return the requests with this digest in a stable order."""
        ids = sorted(self._by_digest.get(digest, ()))
        return tuple(self._by_id[request_id] for request_id in ids)

    def running_on(self, upstream_id: str) -> tuple[Active, ...]:
        """Return the requests running on an upstream."""
        ids = self._by_upstream.get(upstream_id, ())
        return tuple(self._by_id[request_id] for request_id in ids)

    def add(self, active: Active) -> None:
        """Add a request that waits."""
        self._by_id[active.request_id] = active
        self._by_digest.setdefault(active.work.digest, set()).add(active.request_id)
        self._waiting[active.rank] += 1
        self.expire_at(active, active.expires_s)

    def discard(self, active: Active) -> None:
        """Remove a request that ended."""
        if active.phase is not Phase.RUNNING:
            self._waiting[active.rank] -= 1
        self.release_upstreams(active)
        del self._by_id[active.request_id]
        digest = active.work.digest
        self._by_digest[digest].discard(active.request_id)
        if not self._by_digest[digest]:
            del self._by_digest[digest]

    def run(self, active: Active) -> None:
        """Move a waiting request to its running attempt."""
        active.phase = Phase.RUNNING
        self._waiting[active.rank] -= 1
        for upstream_id in active.upstream_ids:
            self._by_upstream.setdefault(upstream_id, set()).add(active.request_id)

    def wait(self, active: Active, expires_s: float) -> None:
        """Move a request whose attempt ended back to waiting."""
        active.phase = Phase.RESUMING
        self._waiting[active.rank] += 1
        self.expire_at(active, expires_s)

    def release_upstreams(self, active: Active) -> None:
        """Forget on which upstreams an attempt ran."""
        for upstream_id in active.upstream_ids:
            ids = self._by_upstream.get(upstream_id)
            if ids is not None:
                ids.discard(active.request_id)
                if not ids:
                    del self._by_upstream[upstream_id]

    def expire_at(self, active: Active, expires_s: float) -> None:
        """Set until when a request may wait."""
        active.expires_s = expires_s
        heapq.heappush(self._expiries, (expires_s, active.request_id))
        if len(self._expiries) > 2 * self.waiting_total + SPARE_EXPIRIES:
            self._expiries = [
                (active.expires_s, active.request_id)
                for active in self._by_id.values()
                if active.phase is not Phase.RUNNING
            ]
            heapq.heapify(self._expiries)

    def pop_expired(self, now_s: float) -> Active | None:
        """Return a request that waited too long, or None."""
        while self._expiries and self._expiries[0][0] <= now_s:
            expires_s, request_id = heapq.heappop(self._expiries)
            active = self._by_id.get(request_id)
            if active is None or active.phase is Phase.RUNNING:
                continue
            if active.expires_s == expires_s:
                return active
        return None
