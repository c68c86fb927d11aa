"""Membership table, merged from the host list, request outcomes and peer reports."""

import hashlib
from collections.abc import Iterable

import attrs

from persimmonwell.core._fleet import HostList
from persimmonwell.core._types import ServiceReplica, Upstream
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.membership._messages import LeavingMark

LIST_MAX_AGE_S = 10.0
"""A host list read within this time takes precedence over members from peers."""
LISTED_MEMBER_TTL_S = 7200.0
"""Members are kept this long while the list is unreachable or empty, because a region
can be cut off from the platform for an hour."""
SHRINK_CONFIRM_S = 30.0
"""Time for which over half of a kind must be missing before they are removed."""
SHRINK_MIN_MEMBERS = 4
"""A kind with fewer members can halve in normal operation; only losing all of them
must be confirmed."""
PEER_MEMBER_TTL_S = 180.0
"""At least twice the longest interval between two pulls from peers."""
SUCCESS_TTL_S = 60.0
FAILURES_TO_REMOVE = 2
"""Consecutive failures after which a member missing from an unconfirmed list goes."""
LEAVING_MARK_TTL_S = 300.0
"""Far above the lag of the host list, which then lists the upstream as leaving."""
MAX_LEAVING_MARKS = 512

Member = Upstream | ServiceReplica
_LeavingMarkKey = tuple[str, str]
"""Member id and incarnation."""


def member_id(member: Member) -> str:
    """Return the id of an upstream or of a service replica."""
    return member.upstream_id if isinstance(member, Upstream) else member.replica_id


@attrs.define
class _Entry:
    member: Member
    first_seen_s: float
    """Time when this incarnation was first seen."""
    listed_s: float | None = None
    peer_s: float | None = None
    succeeded_s: float | None = None
    failures: int = 0
    is_missing: bool = False
    """Whether the latest list lacks it and the shrink is not yet confirmed."""


class Members:
    """Membership table of one host: upstreams, service replicas and leaving marks."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}
        self._marks: dict[_LeavingMarkKey, float] = {}
        self._list_read_s: float | None = None
        self._shrink_seen_s: dict[type[Member], float] = {}
        self._listed_digest: bytes | None = None
        self._marks_digest: bytes | None = None
        self._revision = 0

    @property
    def revision(self) -> int:
        """Return a number that rises with each change of members or leaving marks."""
        return self._revision

    @property
    def marks_digest(self) -> bytes:
        """Return the digest of the leaving marks."""
        if self._marks_digest is None:
            text = repr(sorted(self._marks))
            digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
            self._marks_digest = digest
        return self._marks_digest

    def is_list_current(self, now_s: float) -> bool:
        """Return whether a non-empty host list was read within LIST_MAX_AGE_S."""
        return (
            self._list_read_s is not None
            and now_s - self._list_read_s <= LIST_MAX_AGE_S
        )

    def apply_host_list(self, hosts: HostList, now_s: float) -> None:
        """Apply a host list; an empty one is ignored as faulty."""
        listed: tuple[Member, ...] = (*hosts.upstreams, *hosts.replicas)
        if not listed:
            return
        self._list_read_s = now_s
        for member in listed:
            self._apply_listed_member(member, now_s)
        ids = {member_id(member) for member in listed}
        addresses = {member.address for member in listed}
        for kind in (Upstream, ServiceReplica):
            self._remove_missing(kind, ids, addresses, now_s)

    def _apply_listed_member(self, member: Member, now_s: float) -> None:
        name = member_id(member)
        entry = self._entries.get(name)
        if entry is None or _is_new_incarnation(entry.member, member):
            entry = self._entries[name] = _Entry(member, first_seen_s=now_s)
            self._increment_revision()
        elif entry.member != member or entry.listed_s is None:
            entry.member = member
            self._increment_revision()
        entry.listed_s, entry.is_missing = now_s, False
        if member.leaving and not self._is_marked_leaving(entry):
            self._marks[(name, member.incarnation)] = now_s
            self._increment_revision()

    def _increment_revision(self) -> None:
        self._revision += 1
        self._listed_digest = self._marks_digest = None

    def _remove(self, name: str) -> None:
        del self._entries[name]
        self._increment_revision()

    def _remove_missing(
        self, kind: type[Member], ids: set[str], addresses: set[str], now_s: float
    ) -> None:
        known = [
            name
            for name, entry in self._entries.items()
            if isinstance(entry.member, kind) and entry.listed_s is not None
        ]
        missing = [name for name in known if name not in ids]
        is_unconfirmed = self._is_shrink_unconfirmed(
            kind, len(known), len(missing), now_s
        )
        for name in missing:
            entry = self._entries[name]
            is_replaced = entry.member.address in addresses
            is_failing = entry.failures >= FAILURES_TO_REMOVE
            if not is_unconfirmed or is_replaced or is_failing:
                self._remove(name)
            else:
                entry.is_missing = True

    def _is_shrink_unconfirmed(
        self, kind: type[Member], known_count: int, missing_count: int, now_s: float
    ) -> bool:
        """Return whether the missing members are too many to be removed already."""
        has_halved = (
            known_count >= SHRINK_MIN_MEMBERS and missing_count * 2 > known_count
        )
        if not has_halved and not (known_count and missing_count == known_count):
            self._shrink_seen_s.pop(kind, None)
            return False
        since_s = self._shrink_seen_s.setdefault(kind, now_s)
        return now_s - since_s < SHRINK_CONFIRM_S

    def record_outcome(self, name: str, *, succeeded: bool, now_s: float) -> None:
        """Record a success or failure that the data path saw at one member."""
        entry = self._entries.get(name)
        if entry is None:
            return
        if succeeded:
            entry.succeeded_s, entry.failures = now_s, 0
            return
        entry.failures += 1
        if entry.is_missing and entry.failures >= FAILURES_TO_REMOVE:
            self._remove(name)

    def merge_leaving_marks(self, marks: Iterable[LeavingMark], now_s: float) -> bool:
        """Apply peers' leaving marks; return whether any was new."""
        has_new = False
        for mark in marks:
            since_s = now_s - max(0.0, mark.age_s)
            if mark.age_s < LEAVING_MARK_TTL_S and self._is_newer_mark(mark, since_s):
                self._marks[(mark.upstream_id, mark.incarnation)] = since_s
                self._increment_revision()
                has_new = True
        self._evict_oldest_marks()
        return has_new

    def _is_newer_mark(self, mark: LeavingMark, since_s: float) -> bool:
        known_s = self._marks.get((mark.upstream_id, mark.incarnation))
        if known_s is None:
            return True
        entry = self._entries.get(mark.upstream_id)
        if entry is None or entry.member.incarnation or mark.incarnation:
            return False
        # Without incarnation names the same key may denote a later incarnation.
        return known_s < entry.first_seen_s <= since_s

    def _evict_oldest_marks(self) -> None:
        excess = len(self._marks) - MAX_LEAVING_MARKS
        if excess > 0:
            for key in sorted(self._marks, key=self._marks.__getitem__)[:excess]:
                del self._marks[key]
            self._increment_revision()

    def merge_peer_members(self, members: Iterable[Member], now_s: float) -> None:
        """Apply members reported by a peer; ignored while the host list is current."""
        if self.is_list_current(now_s):
            return
        for member in members:
            name = member_id(member)
            entry = self._entries.get(name)
            is_peer_only = entry is None or entry.listed_s is None
            if entry is None or (
                is_peer_only and _is_new_incarnation(entry.member, member)
            ):
                entry = self._entries[name] = _Entry(member, first_seen_s=now_s)
                self._increment_revision()
            elif is_peer_only and entry.member != member:
                entry.member = member
                self._increment_revision()
            entry.peer_s = now_s

    def renew_peer_members(self, now_s: float) -> None:
        """Renew every entry known from peers, after a peer reported no change."""
        for entry in self._entries.values():
            if entry.peer_s is not None:
                entry.peer_s = now_s

    def expire(self, now_s: float) -> None:
        """Remove expired leaving marks and the members without a recent source."""
        for key, since_s in tuple(self._marks.items()):
            if now_s - since_s > LEAVING_MARK_TTL_S:
                del self._marks[key]
                self._increment_revision()
        for name, entry in tuple(self._entries.items()):
            if (
                entry.listed_s is not None
                and now_s - entry.listed_s <= LISTED_MEMBER_TTL_S
            ):
                continue
            sources = (
                (entry.peer_s, PEER_MEMBER_TTL_S),
                (entry.succeeded_s, SUCCESS_TTL_S),
            )
            if all(
                seen_s is None or now_s - seen_s > ttl_s for seen_s, ttl_s in sources
            ):
                self._remove(name)

    def leaving_marks(self, now_s: float, *, limit: int) -> tuple[LeavingMark, ...]:
        """Return the newest leaving marks, at most limit of them."""
        newest = sorted(self._marks.items(), key=lambda item: (-item[1], item[0]))
        return tuple(
            LeavingMark(name, incarnation, max(0.0, now_s - since_s))
            for (name, incarnation), since_s in newest[:limit]
        )

    def listed_members(self, now_s: float) -> tuple[Member, ...]:
        """Return the members of this host's list; empty when it is not current.

        Members known only from peers are left out: two hosts would otherwise keep
        each other's entries alive without any source.
        """
        if not self.is_list_current(now_s):
            return ()
        return tuple(e.member for e in self._entries.values() if e.listed_s is not None)

    def listed_digest(self) -> bytes:
        """Return the digest of the members of this host's list, 8 bytes."""
        if self._listed_digest is None:
            listed = [
                e.member for e in self._entries.values() if e.listed_s is not None
            ]
            text = repr(sorted(listed, key=member_id))
            digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
            self._listed_digest = digest
        return self._listed_digest

    def current_members(
        self, config: FleetConfig
    ) -> tuple[tuple[Upstream, ...], tuple[ServiceReplica, ...]]:
        """Return upstreams and replicas with leaving marks and overrides applied."""
        upstreams: list[Upstream] = []
        replicas: list[ServiceReplica] = []
        for name, entry in self._entries.items():
            override = config.upstreams.get(name)
            member = entry.member
            is_drained = override is not None and override.drained
            if not member.leaving and (is_drained or self._is_marked_leaving(entry)):
                member = attrs.evolve(member, leaving=True)
            if isinstance(member, ServiceReplica):
                replicas.append(member)
                continue
            checks_fencing = _checks_fencing(member, config)
            if checks_fencing != member.checks_fencing:
                member = attrs.evolve(member, checks_fencing=checks_fencing)
            upstreams.append(member)
        return tuple(upstreams), tuple(replicas)

    def _is_marked_leaving(self, entry: _Entry) -> bool:
        """Return whether a leaving mark applies to the incarnation of an entry.

        Without incarnation names, a mark older than the entry belongs to an
        earlier incarnation.
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
