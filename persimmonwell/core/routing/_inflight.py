"""Estimate the requests in flight and the backlog of each upstream."""

import math
import random
from collections import defaultdict, deque
from collections.abc import Iterable

import attrs

from persimmonwell.core._types import Chain, InflightCount

REPORT_TTL_S = 5.0
"""A load report older than this says nothing any more."""
PEER_TTL_S = 5.0
"""Counts of a peer not heard from for this long are dropped."""
HISTORY_ENTRIES = 64
"""Own counts kept for each upstream, to look up the one at a report's time."""


@attrs.define(eq=False)
class UpstreamLoad:
    """Hold the estimated load of one upstream."""

    own: int = 0
    """Requests this host has in flight there."""
    backlog_tokens: float = 0.0
    """Tokens still to generate for this host's requests."""
    reported_others: int = 0
    """Requests of other hosts at the time of the last report."""
    reported_queued: int = 0
    """Requests of any host that waited at the engine then."""
    report_taken_s: float = float("-inf")
    peer_requests: int = 0
    """Requests of other hosts by their own counts."""
    history: deque[tuple[float, int]] = attrs.field(
        factory=lambda: deque(maxlen=HISTORY_ENTRIES)
    )
    own_then: int = 0
    """Own requests when the requests of others were counted."""
    rounding: float = 0.0
    """Drawn from 0 to 1 at each count, so that hosts round differently."""
    others: int = 0
    """Estimated requests of other hosts."""
    total: int = 0
    """Estimated requests in flight."""

    def recount(self) -> None:
        """Update the estimates after one of the counts changed.

        The report covers hosts that this one does not hear from, the peers'
        counts are newer; both count the same requests, so the larger holds.
        """
        self.others = max(self.reported_others, self.peer_requests)
        self.total = self.own + self.others

    def free_for_host(self, limit: int, *, hosts: int) -> int:
        """Return how many more requests this host should start.

        Of the slots that were free at the last count each host takes its part, or
        gives up its part of an excess: hosts that all took every free slot would
        overfill the upstream until the next report, and drain it after. Parts of a
        slot are rounded at random, so that the hosts together take as many as were
        free. An equal share of the slots is open to each host while none queues, so
        that a host that starts late is not shut out.
        """
        free_then = limit - self.own_then - self.others
        part = math.floor(free_then / hosts + self.rounding)
        allowed = self.own_then + part
        if not self.reported_queued:
            allowed = max(allowed, limit // hosts)
        return min(limit, allowed) - self.own

    def change_own(self, change: int, now_s: float) -> None:
        """Count own requests that started or ended."""
        self.own += change
        self.history.append((now_s, self.own))
        self.recount()

    def own_at(self, time_s: float) -> int:
        """Return how many own requests were in flight at a past time."""
        for changed_s, own in reversed(self.history):
            if changed_s <= time_s:
                return own
        return self.history[0][1] if len(self.history) == HISTORY_ENTRIES else 0

    def effective(self, tokens: int) -> float:
        """Return the mean number of requests that run beside one of so many tokens."""
        return self.others + min(self.own, self.backlog_tokens / max(1, tokens))


@attrs.define(eq=False)
class _ChainLoad:
    """Count what one chain has in flight."""

    requests: int = 0
    tokens: float = 0.0
    progressed_s: float | None = None
    """Time of the last progress since the number of requests changed."""


@attrs.define(eq=False)
class _PeerCounts:
    received_s: float
    requests: dict[str, int]


class InflightTracker:
    """Hold the load estimate of every upstream."""

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(seed)
        self._loads: dict[str, UpstreamLoad] = defaultdict(UpstreamLoad)
        self._chains: dict[tuple[str, ...], _ChainLoad] = {}
        self._peers: dict[str, _PeerCounts] = {}

    @property
    def peer_count(self) -> int:
        """Return the number of peers heard from lately."""
        return len(self._peers)

    def load(self, upstream_id: str) -> UpstreamLoad:
        """Return the load of an upstream; the object stays current."""
        return self._loads[upstream_id]

    def started(self, chain: Chain, *, tokens: int, now_s: float) -> None:
        """Count a request at every upstream of its chain, once for each."""
        chain_load = self._chains.setdefault(chain.upstream_ids, _ChainLoad())
        chain_load.requests += 1
        chain_load.progressed_s = None
        chain_load.tokens += tokens
        for upstream_id in set(chain.upstream_ids):
            load = self._loads[upstream_id]
            load.backlog_tokens += tokens
            load.change_own(1, now_s)

    def progressed(self, chain: Chain, *, tokens: int, now_s: float) -> float | None:
        """Take generated tokens off the backlog; return their mean gap, seconds.

        The gap is known from the second progress on, where the chain runs one
        request only: the calls do not tell the requests of one chain apart.
        """
        chain_load = self._chains.get(chain.upstream_ids)
        if chain_load is None or tokens <= 0:
            return None
        self._take(chain, chain_load, min(tokens, chain_load.tokens))
        before_s, chain_load.progressed_s = chain_load.progressed_s, now_s
        if before_s is None or chain_load.requests != 1:
            return None
        return (now_s - before_s) / tokens

    def finished(self, chain: Chain, *, now_s: float) -> bool:
        """Stop counting a request; return False when none is in flight there.

        Its remaining tokens are not known one by one: the mean of the requests on
        the same chain is taken off, which is exact for the last one.
        """
        chain_load = self._chains.get(chain.upstream_ids)
        if chain_load is None:
            return False
        self._take(chain, chain_load, chain_load.tokens / chain_load.requests)
        chain_load.requests -= 1
        chain_load.progressed_s = None
        if not chain_load.requests:
            del self._chains[chain.upstream_ids]
        for upstream_id in set(chain.upstream_ids):
            load = self._loads[upstream_id]
            load.change_own(-1, now_s)
            if not load.own:
                load.backlog_tokens = 0.0
        return True

    def _take(self, chain: Chain, chain_load: _ChainLoad, tokens: float) -> None:
        chain_load.tokens -= tokens
        for upstream_id in set(chain.upstream_ids):
            load = self._loads[upstream_id]
            load.backlog_tokens = max(0.0, load.backlog_tokens - tokens)

    def load_reported(
        self, upstream_id: str, *, running: int, queued: int, age_s: float, now_s: float
    ) -> None:
        """Apply a report; own requests in it are counted by this host already."""
        load = self._loads[upstream_id]
        taken_s = now_s - age_s
        if taken_s < load.report_taken_s:
            return
        load.report_taken_s = taken_s
        load.own_then = load.own_at(taken_s)
        load.rounding = self._random.random()
        load.reported_others = max(0, running + queued - load.own_then)
        load.reported_queued = queued
        load.recount()

    def peer_inflight(
        self, host_id: str, counts: Iterable[InflightCount], *, now_s: float
    ) -> set[str]:
        """Replace the counts of one peer and return the upstreams affected."""
        requests = {c.upstream_id: max(0, c.requests) for c in counts}
        affected = self._drop_peer(host_id) | set(requests)
        self._peers[host_id] = _PeerCounts(now_s, requests)
        for upstream_id, count in requests.items():
            load = self._loads[upstream_id]
            load.peer_requests += count
            if load.peer_requests > load.others:
                load.own_then = load.own
                load.rounding = self._random.random()
            load.recount()
        return affected

    def _drop_peer(self, host_id: str) -> set[str]:
        peer = self._peers.pop(host_id, None)
        if peer is None:
            return set()
        for upstream_id, count in peer.requests.items():
            load = self._loads[upstream_id]
            load.peer_requests -= count
            load.recount()
        return set(peer.requests)

    def expire(self, now_s: float) -> set[str]:
        """Drop reports and peers that are too old; return the upstreams affected."""
        affected: set[str] = set()
        for host_id in tuple(self._peers):
            if self._peers[host_id].received_s < now_s - PEER_TTL_S:
                affected |= self._drop_peer(host_id)
        for upstream_id, load in self._loads.items():
            known = load.reported_others or load.reported_queued
            changed = known or load.own_then != load.own
            if changed and load.report_taken_s < now_s - REPORT_TTL_S:
                # Counts anew without a report, so that the host's part can grow.
                load.own_then = load.own
                load.reported_others = load.reported_queued = 0
                load.recount()
                affected.add(upstream_id)
        return affected

    def retain(self, upstream_ids: set[str]) -> None:
        """Forget upstreams outside the fleet that have nothing in flight."""
        for upstream_id in tuple(self._loads):
            load = self._loads[upstream_id]
            known = upstream_id in upstream_ids
            if not (known or load.own or load.peer_requests):
                del self._loads[upstream_id]

    def inflight(self) -> tuple[InflightCount, ...]:
        """Return what this host has in flight, largest first."""
        busy = [(load.own, key) for key, load in self._loads.items() if load.own]
        busy.sort(key=lambda entry: (-entry[0], entry[1]))
        return tuple(InflightCount(key, own) for own, key in busy)
