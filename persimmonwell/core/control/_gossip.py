"""Gossip between entry hosts: peers, heartbeat rounds and failure detection."""

import hashlib

import attrs

from persimmonwell.core._fleet import EntryHost
from persimmonwell.core.membership import (
    Heartbeat,
    HostVersion,
    choose_log_readers,
    choose_peers,
)

HEARTBEAT_INTERVAL_PER_PEER_S = 0.22
"""Heartbeat interval per peer. Five peers at 1.1 s and about 170 bytes each cost a
host about 1.6 KB/s, sent and received; the clock stamp adds 13 bytes to a frame."""
MIN_ROUND_INTERVAL_S = 0.2
"""Minimum time between rounds, which bounds extra rounds in a burst of changes."""
MIN_REPLY_INTERVAL_S = 1.0
MAX_HEARD_HOSTS = 2048
"""Bounds memory against forged host ids; six times the design size of the fleet."""
REORDER_WINDOW_S = 10.0
"""Reordered heartbeats are rejected this long. After a longer silence any heartbeat
is accepted, so that a host restarted with an earlier clock is heard again."""
UNLISTED_HOST_TTL_S = 60.0
"""Unlisted hosts are removed this long after their last heartbeat."""
MIN_SILENT_S = 6.0
SILENT_INTERVALS = 8
"""Heartbeat intervals without an answer before a silent peer is replaced."""
SILENT_PEER_RETRY_S = 30.0
DIGEST_BYTES = 8
RECENT_HEARTBEAT_S = 3.0
"""Without a heartbeat from any peer for this long, a host polls the log often."""


@attrs.frozen
class _ReceivedHeartbeat:
    heartbeat: Heartbeat
    received_s: float


class Gossip:
    """Gossip state of one host: known hosts, their last heartbeats and the peers."""

    def __init__(
        self, own_host: EntryHost, *, incarnation: int, heartbeat_s: float
    ) -> None:
        self._own_host = own_host
        self._incarnation = incarnation
        self._heartbeat_s = heartbeat_s
        self._sequence = 0
        self._listed_hosts: dict[str, EntryHost] = {}
        self._received_heartbeats: dict[str, _ReceivedHeartbeat] = {}
        self._unanswered_since_s: dict[str, float] = {}
        self._silent_until_s: dict[str, float] = {}
        self._last_reply_s: dict[str, float] = {}
        self._versions: dict[str, HostVersion] = {}
        self._versions_digest = 0
        self._peers: tuple[EntryHost, ...] = ()
        self._peer_candidates: tuple[EntryHost, ...] = ()
        self._last_round_s: float | None = None
        self._hosts_cache: tuple[EntryHost, ...] | None = None
        self._live_hosts_cache: tuple[EntryHost, ...] | None = None

    @property
    def own_host(self) -> EntryHost:
        """Return the description of this host."""
        return self._own_host

    @property
    def incarnation(self) -> int:
        """Return the start time of this daemon, milliseconds since the epoch."""
        return self._incarnation

    @property
    def peers(self) -> tuple[EntryHost, ...]:
        """Return the hosts to which this host sends heartbeats."""
        return self._peers

    @property
    def hosts(self) -> tuple[EntryHost, ...]:
        """Return all known entry hosts, this one included, by id."""
        if self._hosts_cache is None:
            known = {self._own_host.host_id: self._own_host}
            known.update(self._hosts_from_heartbeats())
            known.update(self._listed_hosts)
            self._hosts_cache = tuple(known[host_id] for host_id in sorted(known))
        return self._hosts_cache

    @property
    def live_hosts(self) -> tuple[EntryHost, ...]:
        """Return the known hosts that are neither leaving nor silent, by id."""
        if self._live_hosts_cache is None:
            self._live_hosts_cache = tuple(
                host
                for host in self.hosts
                if not host.leaving and host.host_id not in self._silent_until_s
            )
        return self._live_hosts_cache

    @property
    def versions(self) -> tuple[HostVersion, ...]:
        """Return the last known version in force on each host, by host id."""
        return tuple(self._versions[host_id] for host_id in sorted(self._versions))

    @property
    def versions_digest(self) -> bytes:
        """Return the digest of all known host versions, 8 bytes."""
        return self._versions_digest.to_bytes(DIGEST_BYTES, "big")

    def _set_version(self, host_id: str, version: HostVersion | None) -> None:
        """Replace one entry and update the digest, the XOR of all entries."""
        previous = self._versions.pop(host_id, None)
        for entry in (previous, version):
            if entry is not None:
                self._versions_digest ^= _version_digest(entry)
        if version is not None:
            self._versions[host_id] = version

    @property
    def interval_s(self) -> float:
        """Return the time between two heartbeat rounds."""
        return max(self._heartbeat_s, HEARTBEAT_INTERVAL_PER_PEER_S * len(self._peers))

    def _hosts_from_heartbeats(self) -> dict[str, EntryHost]:
        return {
            name: EntryHost(
                name, received.heartbeat.address, received.heartbeat.availability_zone
            )
            for name, received in self._received_heartbeats.items()
        }

    def _invalidate_host_caches(self) -> None:
        self._hosts_cache = self._live_hosts_cache = None

    @property
    def host_index(self) -> int:
        """Return the index of this host among the live hosts, ordered by id."""
        own_id = self._own_host.host_id
        return sum(host.host_id < own_id for host in self.live_hosts)

    @property
    def is_log_reader(self) -> bool:
        """Return whether this host polls the log at the high rate for its zone."""
        readers = choose_log_readers(self._own_host.availability_zone, self.live_hosts)
        return self._own_host.host_id in readers

    def has_recent_heartbeat(self, now_s: float) -> bool:
        """Return whether any host sent a heartbeat within RECENT_HEARTBEAT_S."""
        return self.recent_heartbeat_count(now_s) > 0

    def recent_heartbeat_count(self, now_s: float) -> int:
        """Return the number of hosts with a heartbeat within RECENT_HEARTBEAT_S."""
        return sum(
            now_s - h.received_s <= RECENT_HEARTBEAT_S
            for h in self._received_heartbeats.values()
        )

    def apply_host_list(self, hosts: tuple[EntryHost, ...]) -> None:
        """Apply the entry hosts of a host list; an empty list is ignored."""
        listed_own_host = next(
            (h for h in hosts if h.host_id == self._own_host.host_id), None
        )
        if listed_own_host is not None and listed_own_host.operator_address:
            self._own_host = attrs.evolve(
                self._own_host, operator_address=listed_own_host.operator_address
            )
        if hosts:
            own_id = self._own_host.host_id
            self._listed_hosts = {h.host_id: h for h in hosts if h.host_id != own_id}
        self._invalidate_host_caches()

    def accept_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> bool:
        """Record a heartbeat; return False if it is old, repeated or its own."""
        name = heartbeat.host_id
        if name == self._own_host.host_id:
            return False
        previous = self._received_heartbeats.get(name)
        order = (heartbeat.incarnation, heartbeat.sequence)
        if previous is not None and now_s - previous.received_s <= REORDER_WINDOW_S:
            last = previous.heartbeat
            if order <= (last.incarnation, last.sequence):
                return False
        elif previous is None and len(self._received_heartbeats) >= MAX_HEARD_HOSTS:
            return False
        self._received_heartbeats[name] = _ReceivedHeartbeat(heartbeat, now_s)
        if previous is None or name in self._silent_until_s:
            self._silent_until_s.pop(name, None)
            self._invalidate_host_caches()
        self._unanswered_since_s.pop(name, None)
        version = HostVersion(name, heartbeat.incarnation, heartbeat.config_version)
        if self._versions.get(name) != version:
            self._set_version(name, version)
        return True

    def merge_versions(self, versions: tuple[HostVersion, ...]) -> None:
        """Merge a peer's host versions; those of unknown hosts are ignored."""
        known = {host.host_id for host in self.hosts} - {self._own_host.host_id}
        for version in versions:
            if version.host_id in known:
                self._merge_version(version)

    def set_own_version(self, version: int) -> None:
        """Set the version in force on this host."""
        own_version = HostVersion(self._own_host.host_id, self._incarnation, version)
        self._merge_version(own_version)

    def _merge_version(self, version: HostVersion) -> None:
        previous = self._versions.get(version.host_id)
        if previous is not None:
            newer = (version.incarnation, version.version)
            if newer <= (previous.incarnation, previous.version):
                return
        self._set_version(version.host_id, version)

    def run_housekeeping(self, now_s: float) -> tuple[str, ...]:
        """Remove expired hosts and choose peers; return the removed hosts' ids."""
        self._update_silent_hosts(now_s)
        expired = [
            name
            for name, received in self._received_heartbeats.items()
            if now_s - received.received_s > UNLISTED_HOST_TTL_S
        ]
        for name in expired:
            del self._received_heartbeats[name]
            self._last_reply_s.pop(name, None)
            self._invalidate_host_caches()
        self._prune_versions()
        self._choose_peers()
        return tuple(expired)

    def _update_silent_hosts(self, now_s: float) -> None:
        for name, until_s in tuple(self._silent_until_s.items()):
            if until_s <= now_s:
                del self._silent_until_s[name]
                self._invalidate_host_caches()
        limit_s = max(MIN_SILENT_S, SILENT_INTERVALS * self.interval_s)
        for name, since_s in tuple(self._unanswered_since_s.items()):
            received = self._received_heartbeats.get(name)
            last_s = since_s if received is None else max(since_s, received.received_s)
            if now_s - last_s > limit_s:
                self._silent_until_s[name] = now_s + SILENT_PEER_RETRY_S
                del self._unanswered_since_s[name]
                self._invalidate_host_caches()

    def _prune_versions(self) -> None:
        known = {
            *self._listed_hosts,
            *self._received_heartbeats,
            self._own_host.host_id,
        }
        for name in tuple(self._versions):
            if name not in known:
                self._set_version(name, None)

    def _choose_peers(self) -> None:
        """Choose peers among the live hosts, or among all if no other one is live."""
        candidates = self.live_hosts
        if len(candidates) <= 1:
            candidates = tuple(host for host in self.hosts if not host.leaving)
        if candidates != self._peer_candidates:
            self._peer_candidates = candidates
            self._peers = choose_peers(
                self._own_host.host_id, (self._own_host, *candidates)
            )
            chosen = {peer.host_id for peer in self._peers}
            for name in set(self._unanswered_since_s) - chosen:
                del self._unanswered_since_s[name]

    def is_round_due(self, now_s: float, *, requested: bool) -> bool:
        """Return whether a heartbeat round is due; a requested one is due earlier."""
        if self._last_round_s is None:
            return True
        waited_s = now_s - self._last_round_s
        return waited_s >= (MIN_ROUND_INTERVAL_S if requested else self.interval_s)

    def start_round(self, now_s: float) -> tuple[tuple[EntryHost, bool], ...]:
        """Start a round; return each peer and whether to ask it for a reply."""
        self._last_round_s = now_s
        wait_s = 3 * self.interval_s
        targets: list[tuple[EntryHost, bool]] = []
        for peer in self._peers:
            received = self._received_heartbeats.get(peer.host_id)
            wants_reply = received is None or now_s - received.received_s > wait_s
            if wants_reply:
                self._unanswered_since_s.setdefault(peer.host_id, now_s)
            targets.append((peer, wants_reply))
        return tuple(targets)

    def next_sequence(self) -> int:
        """Return the sequence number of the next heartbeat."""
        self._sequence += 1
        return self._sequence

    def try_start_reply(self, host_id: str, now_s: float) -> bool:
        """Return whether to reply to a host now; allows one reply a second."""
        last_s = self._last_reply_s.get(host_id)
        if last_s is not None and now_s - last_s < MIN_REPLY_INTERVAL_S:
            return False
        self._last_reply_s[host_id] = now_s
        return True


def _version_digest(version: HostVersion) -> int:
    text = f"{version.host_id}\0{version.incarnation}\0{version.version}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")
