"""Tokens that workspaces were given lately, on this host and by its peers.

A workspace that is served by many hosts would otherwise get a full share at each of
them. Hosts report the heaviest workspaces in the datagrams that they send anyway.
"""

import math
from collections import defaultdict
from collections.abc import Sequence

import attrs

from persimmonwell.core.forwarding._active import PriorityClass

USAGE_MEMORY_S = 5.0
"""Time constant with which usage is forgotten, here and in the queue. It spans two
reports of a host in another zone, which come up to 2.5 s apart."""
MAX_SHARED_PER_SERVICE = 8
"""Workspaces of one service in one datagram."""
MAX_SHARED_WORKSPACES = 16
"""Workspaces in one datagram, some 40 bytes each."""
MAX_SHARED_TOKENS = 1 << 24
"""Bound on the tokens of one entry. A host gives less in USAGE_MEMORY_S, and a wrong
value of a peer is forgotten within a minute."""
MAX_TRACKED = 512
"""Workspaces whose usage is kept, over all services; beyond it the lightest are
dropped."""
MAX_PEER_ENTRIES = 32_768
"""Entries that are kept over all peers, some 8 MB: twice the 16 in a report of each of
1,000 hosts. Anyone can send reports in the names of any number of hosts."""
MIN_TOKENS = 1.0
"""Usage below which a workspace is dropped."""
EXPIRY_INTERVAL_S = 5.0


@attrs.frozen
class WorkspaceTokens:
    """Tokens that one host gave a workspace beyond what it gave every other one.

    Workspaces that the host does not report had at most that common part, so it is left
    out: a workspace would otherwise fall behind by being reported.
    """

    service: str
    priority_class: PriorityClass
    workspace: str
    tokens: float
    """Decayed sum at the time of the last send."""
    age_s: float
    """Time since that send."""

    @property
    def key(self) -> tuple[str, PriorityClass, str]:
        """Return what the tokens were given to."""
        return (self.service, self.priority_class, self.workspace)


_Key = tuple[str, PriorityClass, str]


@attrs.define
class _Decayed:
    """Sum that decays with USAGE_MEMORY_S."""

    tokens: float = 0.0
    at_s: float = 0.0

    def value(self, now_s: float) -> float:
        return self.tokens * math.exp((self.at_s - now_s) / USAGE_MEMORY_S)

    def add(self, tokens: float, now_s: float) -> None:
        decay = math.exp((self.at_s - now_s) / USAGE_MEMORY_S)
        self.tokens = self.tokens * decay + tokens
        self.at_s = now_s


class WorkspaceUsage:
    """Recent usage by service, priority class and workspace; lost with the process."""

    def __init__(self) -> None:
        self._own: dict[_Key, _Decayed] = {}
        self._peers: dict[str, dict[_Key, _Decayed]] = {}
        """Usage by peer, the one that reported first at the beginning."""
        self._peer_entry_count = 0
        self._expired_s = float("-inf")

    def record(
        self,
        service: str,
        priority_class: PriorityClass,
        workspace: str,
        tokens: int,
        now_s: float,
    ) -> None:
        """Record tokens that this host gave a workspace."""
        key = (service, priority_class, workspace)
        usage = self._own.get(key)
        if usage is None:
            if len(self._own) >= MAX_TRACKED:
                self._drop_lightest(now_s)
            usage = self._own[key] = _Decayed()
        usage.add(tokens, now_s)

    def share(
        self, service: str, priority_class: PriorityClass, workspace: str
    ) -> float:
        """Return a workspace's share of the recent tokens of a class on this host."""
        usage = self._own.get((service, priority_class, workspace))
        if usage is None or not usage.tokens:
            return 0.0
        # The time does not matter, since all sums decay alike.
        total = sum(
            other.value(usage.at_s)
            for key, other in self._own.items()
            if key[0] == service and key[1] == priority_class
        )
        return usage.tokens / total

    def top_shares(self, now_s: float, count: int) -> dict[_Key, float]:
        """Return the shares of the workspaces with the most recent tokens.

        A share is that of the class's recent tokens on this host.
        """
        tokens = {key: usage.value(now_s) for key, usage in self._own.items()}
        totals: dict[tuple[str, PriorityClass], float] = defaultdict(float)
        for key, value in tokens.items():
            totals[key[:2]] += value
        top = sorted(tokens, key=lambda key: tokens[key], reverse=True)[:count]
        return {key: tokens[key] / totals[key[:2]] for key in top if tokens[key] > 0}

    def heaviest(self, now_s: float) -> tuple[WorkspaceTokens, ...]:
        """Return what this host gave the heaviest workspaces, the heaviest first."""
        rows = sorted(
            ((usage.value(now_s), key) for key, usage in self._own.items()),
            key=lambda row: row[0],
            reverse=True,
        )
        listed: list[tuple[float, _Key]] = []
        listed_by_service: dict[str, int] = defaultdict(int)
        common: dict[tuple[str, PriorityClass], float] = {}
        """Most that a workspace was given which is not listed."""
        for tokens, key in rows:
            service, priority_class, _ = key
            if (
                len(listed) < MAX_SHARED_WORKSPACES
                and listed_by_service[service] < MAX_SHARED_PER_SERVICE
            ):
                listed_by_service[service] += 1
                listed.append((tokens, key))
            else:
                common.setdefault((service, priority_class), tokens)
        shared = []
        for tokens, key in listed:
            excess = tokens - common.get(key[:2], 0.0)
            if excess >= MIN_TOKENS:
                age_s = now_s - self._own[key].at_s
                at_send = excess * math.exp(age_s / USAGE_MEMORY_S)
                shared.append(WorkspaceTokens(*key, at_send, age_s))
        return tuple(shared)

    def merge_peer(
        self, peer: str, rows: Sequence[WorkspaceTokens], now_s: float
    ) -> tuple[WorkspaceTokens, ...]:
        """Record a peer's report; return what it gave since its reports before.

        Each report holds the whole usage, so that the next one makes up for a lost
        one. A repeated one adds nothing, and a late one at most what decayed meanwhile.
        """
        if not rows:
            return ()
        known = self._peers.pop(peer, {})
        self._peers[peer] = known
        self._peer_entry_count -= len(known)
        added = []
        for row in rows:
            tokens = min(row.tokens, MAX_SHARED_TOKENS)
            reported = _Decayed(tokens, now_s - row.age_s).value(now_s)
            usage = known.setdefault(row.key, _Decayed(0.0, now_s))
            new_tokens = reported - usage.value(now_s)
            if new_tokens > 0:
                usage.add(new_tokens, now_s)
                added.append(attrs.evolve(row, tokens=new_tokens, age_s=0.0))
        self._peer_entry_count += len(known)
        while self._peer_entry_count > MAX_PEER_ENTRIES:
            dropped = self._peers.pop(next(iter(self._peers)))
            self._peer_entry_count -= len(dropped)
        return tuple(added)

    def expire(self, now_s: float) -> None:
        """Drop the usage that has decayed to nothing."""
        if now_s - self._expired_s < EXPIRY_INTERVAL_S:
            return
        self._expired_s = now_s
        self._own = _without_decayed(self._own, now_s)
        self._peers = {
            peer: left
            for peer, known in self._peers.items()
            if (left := _without_decayed(known, now_s))
        }
        self._peer_entry_count = sum(map(len, self._peers.values()))

    def _drop_lightest(self, now_s: float) -> None:
        keys = sorted(self._own, key=lambda key: self._own[key].value(now_s))
        for key in keys[: MAX_TRACKED // 4]:
            del self._own[key]


def _without_decayed(table: dict[_Key, _Decayed], now_s: float) -> dict[_Key, _Decayed]:
    return {
        key: usage for key, usage in table.items() if usage.value(now_s) >= MIN_TOKENS
    }
