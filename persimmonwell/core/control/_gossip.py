"""Choose peers, time heartbeats and know the state of the other entry hosts."""

import hashlib

import attrs

from persimmonwell.core._fleet import EntryHost
from persimmonwell.core.membership import (
    Heartbeat,
    HostVersion,
    choose_log_readers,
    choose_peers,
)

HEARTBEAT_SPACING_S = 0.22
"""Added interval per peer: five peers at 1.1 s and about 170 bytes each keep a
host near 1.6 KB/s, sent and received. The clock stamp adds 13 bytes to a frame."""
TRIGGER_SPACING_S = 0.2
"""Bounds extra rounds when changes come in a burst."""
REPLY_SPACING_S = 1.0
HOSTS_KEPT = 2048
"""Bounds memory against forged host ids; six times the designed fleet."""
REORDER_S = 10.0
"""After so long a silence, a host counts as restarted even if its clock is behind."""
HOST_HOLD_S = 60.0
"""Hosts that the list lacks vanish this long after their last heartbeat."""
SILENT_S = 6.0
SILENT_INTERVALS = 8
"""Heartbeat intervals without a word before another peer takes the place."""
RETRY_SILENT_S = 30.0
DIGEST_BYTES = 8
PEER_CURRENT_S = 3.0
"""Without a word from any peer for so long, a host reads the log itself."""


@attrs.frozen
class _Heard:
    heartbeat: Heartbeat
    at_s: float


class Gossip:
    """Hold the entry hosts that one host knows and when it last heard them."""

    def __init__(self, own: EntryHost, *, incarnation: int, heartbeat_s: float) -> None:
        self._own = own
        self._incarnation = incarnation
        self._heartbeat_s = heartbeat_s
        self._sequence = 0
        self._listed: dict[str, EntryHost] = {}
        self._heard: dict[str, _Heard] = {}
        self._contacted_s: dict[str, float] = {}
        self._silent_until_s: dict[str, float] = {}
        self._replied_s: dict[str, float] = {}
        self._versions: dict[str, HostVersion] = {}
        self._versions_digest = 0
        self._peers: tuple[EntryHost, ...] = ()
        self._chosen_from: tuple[EntryHost, ...] = ()
        self._round_s: float | None = None
        self._known: tuple[EntryHost, ...] | None = None
        self._live: tuple[EntryHost, ...] | None = None

    @property
    def own(self) -> EntryHost:
        """Return the description of this host."""
        return self._own

    @property
    def incarnation(self) -> int:
        """Return the start time of this daemon, milliseconds since the epoch."""
        return self._incarnation

    @property
    def peers(self) -> tuple[EntryHost, ...]:
        """Return the hosts that get this host's heartbeats."""
        return self._peers

    @property
    def hosts(self) -> tuple[EntryHost, ...]:
        """Return all known entry hosts, this one included, by id."""
        if self._known is None:
            known = {self._own.host_id: self._own}
            known.update(self._heard_hosts())
            known.update(self._listed)
            self._known = tuple(known[host_id] for host_id in sorted(known))
        return self._known

    @property
    def live_hosts(self) -> tuple[EntryHost, ...]:
        """Return the known hosts that are neither leaving nor silent."""
        if self._live is None:
            self._live = tuple(
                host
                for host in self.hosts
                if not host.leaving and host.host_id not in self._silent_until_s
            )
        return self._live

    @property
    def versions(self) -> tuple[HostVersion, ...]:
        """Return the version in force on each host, as last heard."""
        return tuple(self._versions[host_id] for host_id in sorted(self._versions))

    @property
    def versions_digest(self) -> bytes:
        """Return the digest of the versions known."""
        return self._versions_digest.to_bytes(DIGEST_BYTES, "big")

    def _set_version(self, host_id: str, version: HostVersion | None) -> None:
        """Replace one entry and update the digest, the XOR of all entries."""
        known = self._versions.pop(host_id, None)
        for entry in (known, version):
            if entry is not None:
                self._versions_digest ^= _entry_digest(entry)
        if version is not None:
            self._versions[host_id] = version

    @property
    def interval_s(self) -> float:
        """Return the time between two heartbeat rounds."""
        return max(self._heartbeat_s, HEARTBEAT_SPACING_S * len(self._peers))

    def _heard_hosts(self) -> dict[str, EntryHost]:
        return {
            name: EntryHost(
                name, heard.heartbeat.address, heard.heartbeat.availability_zone
            )
            for name, heard in self._heard.items()
        }

    def _hosts_changed(self) -> None:
        self._known = self._live = None

    @property
    def rank(self) -> int:
        """Return the place of this host among the live ones, by id."""
        own_id = self._own.host_id
        return sum(host.host_id < own_id for host in self.live_hosts)

    @property
    def is_reader(self) -> bool:
        """Return whether this host polls the log for its zone."""
        readers = choose_log_readers(self._own.availability_zone, self.live_hosts)
        return self._own.host_id in readers

    def hears_peers(self, now_s: float) -> bool:
        """Return whether a peer was heard a short time ago."""
        return self.heard_count(now_s) > 0

    def heard_count(self, now_s: float) -> int:
        """Return the number of hosts heard a short time ago."""
        return sum(now_s - h.at_s <= PEER_CURRENT_S for h in self._heard.values())

    def list_read(self, hosts: tuple[EntryHost, ...]) -> None:
        """Apply the entry hosts of a host list; an empty list changes nothing."""
        own = next((h for h in hosts if h.host_id == self._own.host_id), None)
        if own is not None and own.operator_address:
            self._own = attrs.evolve(self._own, operator_address=own.operator_address)
        if hosts:
            own_id = self._own.host_id
            self._listed = {h.host_id: h for h in hosts if h.host_id != own_id}
        self._hosts_changed()

    def accept(self, heartbeat: Heartbeat, now_s: float) -> bool:
        """Take a heartbeat; False when it is old, repeated or this host's own."""
        name = heartbeat.host_id
        if name == self._own.host_id:
            return False
        known = self._heard.get(name)
        order = (heartbeat.incarnation, heartbeat.sequence)
        if known is not None and now_s - known.at_s <= REORDER_S:
            last = known.heartbeat
            if order <= (last.incarnation, last.sequence):
                return False
        elif known is None and len(self._heard) >= HOSTS_KEPT:
            return False
        self._heard[name] = _Heard(heartbeat, now_s)
        if known is None or name in self._silent_until_s:
            self._silent_until_s.pop(name, None)
            self._hosts_changed()
        self._contacted_s.pop(name, None)
        version = HostVersion(name, heartbeat.incarnation, heartbeat.config_version)
        if self._versions.get(name) != version:
            self._set_version(name, version)
        return True

    def learn_versions(self, versions: tuple[HostVersion, ...]) -> None:
        """Merge versions that a peer knows."""
        known = {host.host_id for host in self.hosts} - {self._own.host_id}
        for version in versions:
            if version.host_id in known:
                self._learn(version)

    def own_version(self, version: int) -> None:
        """Note the version in force on this host."""
        own = HostVersion(self._own.host_id, self._incarnation, version)
        self._learn(own)

    def _learn(self, version: HostVersion) -> None:
        known = self._versions.get(version.host_id)
        if known is not None:
            newer = (version.incarnation, version.version)
            if newer <= (known.incarnation, known.version):
                return
        self._set_version(version.host_id, version)

    def housekeep(self, now_s: float) -> tuple[str, ...]:
        """Drop vanished hosts and choose peers; return the vanished ids."""
        self._find_silent(now_s)
        gone = [
            name
            for name, heard in self._heard.items()
            if now_s - heard.at_s > HOST_HOLD_S
        ]
        for name in gone:
            del self._heard[name]
            self._replied_s.pop(name, None)
            self._hosts_changed()
        self._prune_versions()
        self._choose()
        return tuple(gone)

    def _find_silent(self, now_s: float) -> None:
        for name, until_s in tuple(self._silent_until_s.items()):
            if until_s <= now_s:
                del self._silent_until_s[name]
                self._hosts_changed()
        limit_s = max(SILENT_S, SILENT_INTERVALS * self.interval_s)
        for name, since_s in tuple(self._contacted_s.items()):
            heard = self._heard.get(name)
            last_s = since_s if heard is None else max(since_s, heard.at_s)
            if now_s - last_s > limit_s:
                self._silent_until_s[name] = now_s + RETRY_SILENT_S
                del self._contacted_s[name]
                self._hosts_changed()

    def _prune_versions(self) -> None:
        known = {*self._listed, *self._heard, self._own.host_id}
        for name in tuple(self._versions):
            if name not in known:
                self._set_version(name, None)

    def _choose(self) -> None:
        """Choose peers among live hosts, or among all when none is live."""
        candidates = self.live_hosts
        if len(candidates) <= 1:
            candidates = tuple(host for host in self.hosts if not host.leaving)
        if candidates != self._chosen_from:
            self._chosen_from = candidates
            self._peers = choose_peers(self._own.host_id, (self._own, *candidates))
            chosen = {peer.host_id for peer in self._peers}
            for name in set(self._contacted_s) - chosen:
                del self._contacted_s[name]

    def round_due(self, now_s: float, *, triggered: bool) -> bool:
        """Return whether a heartbeat round is due."""
        if self._round_s is None:
            return True
        waited_s = now_s - self._round_s
        return waited_s >= (TRIGGER_SPACING_S if triggered else self.interval_s)

    def start_round(self, now_s: float) -> tuple[tuple[EntryHost, bool], ...]:
        """Begin a round; return each peer and whether it is asked to reply."""
        self._round_s = now_s
        wait_s = 3 * self.interval_s
        targets: list[tuple[EntryHost, bool]] = []
        for peer in self._peers:
            heard = self._heard.get(peer.host_id)
            asked = heard is None or now_s - heard.at_s > wait_s
            if asked:
                self._contacted_s.setdefault(peer.host_id, now_s)
            targets.append((peer, asked))
        return tuple(targets)

    def next_sequence(self) -> int:
        """Return the sequence number of the next heartbeat."""
        self._sequence += 1
        return self._sequence

    def may_reply(self, host_id: str, now_s: float) -> bool:
        """Return whether a reply to a host is due; at most one a second."""
        last_s = self._replied_s.get(host_id)
        if last_s is not None and now_s - last_s < REPLY_SPACING_S:
            return False
        self._replied_s[host_id] = now_s
        return True


def _entry_digest(version: HostVersion) -> int:
    text = f"{version.host_id}\0{version.incarnation}\0{version.version}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
