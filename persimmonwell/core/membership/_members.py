"""Merge the host list, own evidence and peers' reports into upstreams."""

import hashlib
from collections.abc import Iterable

import attrs

from persimmonwell.core._fleet import HostList
from persimmonwell.core._types import ServiceReplica, Upstream
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.membership._messages import LeavingMark

LIST_CURRENT_S = 10.0
"""A list read within this time outweighs what peers say exists."""
LIST_HOLD_S = 7200.0
"""Upstreams outlast an unreachable or empty list this long: a region can be cut
off from the platform for an hour."""
SHRINK_CONFIRM_S = 30.0
"""A list that lost over half of a kind must stay so this long to be believed."""
SHRINK_MINIMUM = 4
"""Smaller kinds may halve in one normal step; only their loss is doubted."""
PEER_HOLD_S = 180.0
"""At least twice the longest time between two pulls from peers."""
EVIDENCE_HOLD_S = 60.0
FAILURES_TO_DROP = 2
"""Consecutive failures that drop an upstream which a doubted list lacks."""
MARK_HOLD_S = 300.0
"""Far above the lag of the host list, which then shows the upstream leaving."""
MARKS_KEPT = 512

Member = Upstream | ServiceReplica
_MarkKey = tuple[str, str]
"""Id and incarnation of an upstream."""


def member_id(member: Member) -> str:
    """Return the id of an upstream or service replica."""
    return member.upstream_id if isinstance(member, Upstream) else member.replica_id


@attrs.define
class _Entry:
    member: Member
    first_seen_s: float
    """When this incarnation was first seen."""
    listed_s: float | None = None
    peer_s: float | None = None
    succeeded_s: float | None = None
    failures: int = 0
    absent: bool = False
    """Whether the latest list lacked it and was doubted."""


class Members:
    """Hold the upstreams and service replicas that one host believes in."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._marks: dict[_MarkKey, float] = {}
        self._read_s: float | None = None
        self._shrunk_since_s: dict[type[Member], float] = {}
        self._listed_digest: bytes | None = None
        self._marks_digest: bytes | None = None
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return a number that changes with the upstreams or their marks."""
        return self._revision

    @property
    def marks_digest(self) -> bytes:
        """Return the digest of the leaving marks."""
        if self._marks_digest is None:
            text = repr(sorted(self._marks))
            digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
            self._marks_digest = digest
        return self._marks_digest

    def list_is_current(self, now_s: float) -> bool:
        """Return whether a host list was read a short time ago."""
        return self._read_s is not None and now_s - self._read_s <= LIST_CURRENT_S

    def list_read(self, hosts: HostList, now_s: float) -> None:
        """Apply a reading of the host list; an empty one is not believed."""
        listed: tuple[Member, ...] = (*hosts.upstreams, *hosts.replicas)
        if not listed:
            return
        self._read_s = now_s
        for member in listed:
            self._list_member(member, now_s)
        ids = {member_id(member) for member in listed}
        addresses = {member.address for member in listed}
        for kind in (Upstream, ServiceReplica):
            self._remove_absent(kind, ids, addresses, now_s)

    def _list_member(self, member: Member, now_s: float) -> None:
        name = member_id(member)
        entry = self._entries.get(name)
        if entry is None or _is_new_incarnation(entry.member, member):
            entry = self._entries[name] = _Entry(member, first_seen_s=now_s)
            self._changed()
        elif entry.member != member or entry.listed_s is None:
            entry.member = member
            self._changed()
        entry.listed_s, entry.absent = now_s, False
        if member.leaving and not self._is_marked(entry):
            self._marks[(name, member.incarnation)] = now_s
            self._changed()

    def _changed(self) -> None:
        self._revision += 1
        self._listed_digest = self._marks_digest = None

    def _drop(self, name: str) -> None:
        del self._entries[name]
        self._changed()

    def _remove_absent(
        self, kind: type[Member], ids: set[str], addresses: set[str], now_s: float
    ) -> None:
        known = [
            name
            for name, entry in self._entries.items()
            if isinstance(entry.member, kind) and entry.listed_s is not None
        ]
        absent = [name for name in known if name not in ids]
        doubted = self._is_doubted(kind, len(known), len(absent), now_s)
        for name in absent:
            entry = self._entries[name]
            replaced = entry.member.address in addresses
            failing = entry.failures >= FAILURES_TO_DROP
            if not doubted or replaced or failing:
                self._drop(name)
            else:
                entry.absent = True

    def _is_doubted(
        self, kind: type[Member], known: int, absent: int, now_s: float
    ) -> bool:
        """Return whether so many absences must first be confirmed by time."""
        halved = known >= SHRINK_MINIMUM and absent * 2 > known
        if not halved and not (known and absent == known):
            self._shrunk_since_s.pop(kind, None)
            return False
        since_s = self._shrunk_since_s.setdefault(kind, now_s)
        return now_s - since_s < SHRINK_CONFIRM_S

    def evidence(self, name: str, *, succeeded: bool, now_s: float) -> None:
        """Apply what the data path saw of one upstream."""
        entry = self._entries.get(name)
        if entry is None:
            return
        if succeeded:
            entry.succeeded_s, entry.failures = now_s, 0
            return
        entry.failures += 1
        if entry.absent and entry.failures >= FAILURES_TO_DROP:
            self._drop(name)

    def marks_reported(self, marks: Iterable[LeavingMark], now_s: float) -> bool:
        """Apply peers' leaving marks; return whether one was new."""
        fresh = False
        for mark in marks:
            since_s = now_s - max(0.0, mark.age_s)
            if mark.age_s < MARK_HOLD_S and self._is_news(mark, since_s):
                self._marks[(mark.upstream_id, mark.incarnation)] = since_s
                self._changed()
                fresh = True
        self._bound_marks()
        return fresh

    def _is_news(self, mark: LeavingMark, since_s: float) -> bool:
        known_s = self._marks.get((mark.upstream_id, mark.incarnation))
        if known_s is None:
            return True
        entry = self._entries.get(mark.upstream_id)
        if entry is None or entry.member.incarnation or mark.incarnation:
            return False
        # Without named incarnations the same key may stand for a later one.
        return known_s < entry.first_seen_s <= since_s

    def _bound_marks(self) -> None:
        excess = len(self._marks) - MARKS_KEPT
        if excess > 0:
            for key in sorted(self._marks, key=self._marks.__getitem__)[:excess]:
                del self._marks[key]
            self._changed()

    def peers_reported(self, members: Iterable[Member], now_s: float) -> None:
        """Apply a peer's upstreams where the own host list is not current."""
        if self.list_is_current(now_s):
            return
        for member in members:
            name = member_id(member)
            entry = self._entries.get(name)
            from_peers = entry is None or entry.listed_s is None
            if entry is None or (
                from_peers and _is_new_incarnation(entry.member, member)
            ):
                entry = self._entries[name] = _Entry(member, first_seen_s=now_s)
                self._changed()
            elif from_peers and entry.member != member:
                entry.member = member
                self._changed()
            entry.peer_s = now_s

    def peers_confirmed(self, now_s: float) -> None:
        """Keep every entry known from peers; they reported no change."""
        for entry in self._entries.values():
            if entry.peer_s is not None:
                entry.peer_s = now_s

    def expire(self, now_s: float) -> None:
        """Drop marks that are too old and entries without any source."""
        for key, since_s in tuple(self._marks.items()):
            if now_s - since_s > MARK_HOLD_S:
                del self._marks[key]
                self._changed()
        for name, entry in tuple(self._entries.items()):
            if entry.listed_s is not None and now_s - entry.listed_s <= LIST_HOLD_S:
                continue
            sources = (
                (entry.peer_s, PEER_HOLD_S),
                (entry.succeeded_s, EVIDENCE_HOLD_S),
            )
            if all(at is None or now_s - at > hold for at, hold in sources):
                self._drop(name)

    def leaving_marks(self, now_s: float, *, limit: int) -> tuple[LeavingMark, ...]:
        """Return the newest leaving marks."""
        newest = sorted(self._marks.items(), key=lambda item: (-item[1], item[0]))
        return tuple(
            LeavingMark(name, incarnation, max(0.0, now_s - since_s))
            for (name, incarnation), since_s in newest[:limit]
        )

    def listed(self, now_s: float) -> tuple[Member, ...]:
        """Return what the own current list holds; empty when it is not current.

        Entries known only from peers are left out: two hosts would otherwise
        keep each other's entries alive without any source.
        """
        if not self.list_is_current(now_s):
            return ()
        return tuple(e.member for e in self._entries.values() if e.listed_s is not None)

    def listed_digest(self) -> bytes:
        """Return the digest of what the list holds."""
        if self._listed_digest is None:
            listed = [
                e.member for e in self._entries.values() if e.listed_s is not None
            ]
            text = repr(sorted(listed, key=member_id))
            digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
            self._listed_digest = digest
        return self._listed_digest

    def current(
        self, config: FleetConfig
    ) -> tuple[tuple[Upstream, ...], tuple[ServiceReplica, ...]]:
        """Return upstreams and replicas with marks and settings applied."""
        upstreams: list[Upstream] = []
        replicas: list[ServiceReplica] = []
        for name, entry in self._entries.items():
            override = config.upstreams.get(name)
            member = entry.member
            drained = override is not None and override.drained
            if not member.leaving and (drained or self._is_marked(entry)):
                member = attrs.evolve(member, leaving=True)
            if isinstance(member, ServiceReplica):
                replicas.append(member)
                continue
            checks = _checks_fencing(member, config)
            if checks != member.checks_fencing:
                member = attrs.evolve(member, checks_fencing=checks)
            upstreams.append(member)
        return tuple(upstreams), tuple(replicas)

    def _is_marked(self, entry: _Entry) -> bool:
        """Return whether a mark concerns the incarnation of an entry.

        Without named incarnations, a mark set before the entry was first seen
        belongs to an earlier one.
        """
        incarnation = entry.member.incarnation
        since_s = self._marks.get((member_id(entry.member), incarnation))
        if since_s is None:
            return False
        return bool(incarnation) or since_s >= entry.first_seen_s


def _checks_fencing(upstream: Upstream, config: FleetConfig) -> bool:
    override = config.upstreams.get(upstream.upstream_id)
    if override is not None and override.checks_fencing is not None:
        return override.checks_fencing
    model = config.models.get(upstream.model)
    return upstream.checks_fencing or (model is not None and model.checks_fencing)


def _is_new_incarnation(known: Member, listed: Member) -> bool:
    if known.incarnation != listed.incarnation or known.address != listed.address:
        return True
    unnamed = not listed.incarnation
    return unnamed and known.leaving and not listed.leaving
