"""Control state of one host: an event-driven core without I/O."""

import attrs

from persimmonwell._exceptions import NotReadyError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core._fleet import EntryHost, HostList
from persimmonwell.core._types import ServiceReplica, Upstream
from persimmonwell.core.config import ConfigFold, FleetConfig, HistoryEntry
from persimmonwell.core.control import _events as ev
from persimmonwell.core.control._agreement import ConfigAgreement
from persimmonwell.core.control._appends import PendingAppends
from persimmonwell.core.control._decisions import (
    ControlDecision,
    PatchCompleted,
    PutConfigInForce,
    ReleaseDigest,
    SendToPeer,
    UpdateFleet,
    UpdatePeerInflight,
)
from persimmonwell.core.control._gossip import Gossip
from persimmonwell.core.control._notices import QUARANTINE_STREAM, QuarantineNotices
from persimmonwell.core.control._patches import CONFIG_STREAM, PendingPatches
from persimmonwell.core.membership import (
    ConfigRecords,
    ConfigRequest,
    Heartbeat,
    HostVersion,
    Member,
    Members,
    MembersDelta,
    MembersRequest,
    PeerMessage,
)

HOUSEKEEPING_INTERVAL_S = 0.5
"""Interval of the checks on all known hosts, patches and snapshots."""
MEMBER_EXPIRY_INTERVAL_S = 5.0
"""Interval of the expiry check on all members; they expire after a minute or more."""
CONFIG_PULL_TIMEOUT_S = 0.5
"""Time without a response after which another peer is asked for records."""
MEMBERS_PULL_INTERVAL_S = 1.0
MEMBERS_PULL_INTERVAL_PER_HOST_S = 0.1
"""Added to the pull interval per known host: with 340 hosts a response has about 7 KB
and the interval is 35 s, which costs about 200 B/s."""
MAX_RECENT_MEMBERS_PULLS = 8
"""Recently asked hosts that are kept; a host gets heartbeats from about five others."""
SLOW_POLL_INTERVALS_S = {CONFIG_STREAM: 4.0, QUARANTINE_STREAM: 10.0}
"""Pause between log reads of a host that relies on the log readers of its zone."""
FAST_POLL_INTERVALS_S = {CONFIG_STREAM: 0.0, QUARANTINE_STREAM: 1.0}
"""Pause between log reads of a log reader; the config stream is long-polled."""
STOPPED_POLL_INTERVAL_S = 5.0
"""Pause after a record of a newer release, which long polls return immediately."""
LEAVING_MARKS_PER_HEARTBEAT = 8
LEAVING_MARKS_PER_DELTA = 512
INFLIGHT_PER_HEARTBEAT = 5
PEER_UPSTREAMS_MAX_AGE_S = 90.0
"""Age up to which upstreams from peers have not expired, so that an unchanged list
need not be sent again."""
SNAPSHOT_APPEND_RETRY_S = 5.0
NOTICE_APPEND_RETRY_S = 60.0


class ControlState:
    """What one host knows about configuration, upstreams and entry hosts.

    Events go in through handle, which returns the decisions to carry out.
    """

    def __init__(
        self,
        *,
        host_id: str,
        availability_zone: str,
        address: str = "",
        operator_address: str = "",
        incarnation: int = 0,
        heartbeat_s: float = 0.5,
    ) -> None:
        own_host = EntryHost(host_id, address, availability_zone, operator_address)
        self._agreement = ConfigAgreement()
        self._appends = PendingAppends()
        self._patches = PendingPatches(self._appends)
        self._members = Members()
        self._gossip = Gossip(
            own_host, incarnation=incarnation, heartbeat_s=heartbeat_s
        )
        self._notices = QuarantineNotices(host_id, incarnation)
        self._inflight = ev.InflightObserved((), 0)
        self._list_as_of_s = 0.0
        self._round_requested = False
        self._next_housekeeping_s = self._next_expiry_s = float("-inf")
        self._config_pull_s: float | None = None
        self._config_pull_host = ""
        self._members_pull_s: float | None = None
        self._recent_members_pulls: list[str] = []
        self._peer_upstreams_digest = b""
        self._peer_upstreams_s: float | None = None
        self._last_fleet_key: tuple[int, int, int] | None = None
        self._last_fleet: UpdateFleet | None = None

    @property
    def config(self) -> FleetConfig:
        """Return the configuration in force, or an empty one of version 0."""
        return self._agreement.in_force or FleetConfig()

    @property
    def config_document(self) -> JsonObject:
        """Return the document of the configuration in force."""
        return self._agreement.in_force_document

    @property
    def config_fold(self) -> ConfigFold:
        """Return the fold of the config stream."""
        return self._agreement.fold

    @property
    def history(self) -> tuple[HistoryEntry, ...]:
        """Return the latest folded patches, oldest first."""
        return self._agreement.fold.history

    @property
    def ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self._agreement.in_force is not None

    @property
    def hosts(self) -> HostList:
        """Return the known upstreams, service replicas and entry hosts."""
        upstreams, replicas = self._members.current_members(self.config)
        return HostList(self._list_as_of_s, upstreams, replicas, self.entry_hosts)

    @property
    def entry_hosts(self) -> tuple[EntryHost, ...]:
        """Return the known entry hosts, this one included."""
        return self._gossip.hosts

    @property
    def peers(self) -> tuple[EntryHost, ...]:
        """Return the hosts to which this host sends heartbeats."""
        return self._gossip.peers

    @property
    def host_versions(self) -> tuple[HostVersion, ...]:
        """Return the last known configuration version in force on each host."""
        return self._gossip.versions

    @property
    def blamed(self) -> tuple[tuple[str, tuple[str, ...]], ...]:
        """Return each blamed digest with the upstreams whose loss it is blamed for."""
        return self._notices.blamed

    def is_up_to_date(self, now_s: float) -> bool:
        """Return whether no newer records are known, in the log or at a live peer."""
        return self.ready and not self._agreement.is_behind(now_s)

    def read_offset(self, stream: str) -> int:
        """Return the offset from which to read a stream."""
        if stream == QUARANTINE_STREAM:
            return self._notices.read_offset
        return self._agreement.read_offset

    def read_pause_s(self, stream: str, now_s: float) -> float:
        """Return the pause between two reads of a stream.

        A few hosts of each zone read often. The others rely on their peers, and
        read often only while they receive no heartbeats.
        """
        if stream == CONFIG_STREAM and self._agreement.stopped:
            return STOPPED_POLL_INTERVAL_S
        is_fast = (
            not self.ready
            or not self._gossip.has_recent_heartbeat(now_s)
            or self._gossip.is_log_reader
        )
        return (FAST_POLL_INTERVALS_S if is_fast else SLOW_POLL_INTERVALS_S)[stream]

    def handle(
        self, event: ev.ControlEvent, now_s: float
    ) -> tuple[ControlDecision, ...]:
        """Apply one event and return the decisions to carry out, in order."""
        decisions = [*self._apply(event, now_s)]
        decisions += self._apply_config(now_s)
        decisions += self._fleet_update()
        if self._round_requested or isinstance(event, ev.ControlTick):
            decisions += self._heartbeat_round(now_s)
        return tuple(decisions)

    def _apply(
        self, event: ev.ControlEvent, now_s: float
    ) -> tuple[ControlDecision, ...] | list[ControlDecision]:
        match event:
            case ev.HostListRead(hosts):
                self._apply_host_list(hosts, now_s)
            case ev.RecordsRead(stream):
                if stream == CONFIG_STREAM:
                    return self._agreement.apply_log_records(event, now_s)
                if stream == QUARANTINE_STREAM:
                    return self._notices.apply_log_records(
                        event.first_offset, event.records
                    )
            case ev.PatchSubmitted():
                return self._patch_submitted(event, now_s)
            case ev.AppendConfirmed(append_id, _):
                self._appends.confirm(append_id)
            case ev.AppendUncertain(append_id):
                return self._appends.retry(append_id, now_s)
            case ev.PeerMessageReceived(message):
                return self._message_received(message, now_s)
            case ev.UpstreamOutcomeObserved(upstream_id, succeeded):
                self._members.record_outcome(
                    upstream_id, succeeded=succeeded, now_s=now_s
                )
            case ev.InflightObserved():
                self._inflight = event
            case ev.BlameAnnounced(digest, upstream_id):
                return self._announce_notice(digest, upstream_id, now_s)
            case ev.QuarantineClearRequested(digest):
                return self._announce_notice(digest, "", now_s)
            case ev.ControlTick():
                return self._tick(now_s)
        return ()

    def _apply_host_list(self, hosts: HostList, now_s: float) -> None:
        before = self._members.marks_digest
        self._list_as_of_s = hosts.as_of_s
        self._members.apply_host_list(hosts, now_s)
        self._gossip.apply_host_list(hosts.entry_hosts)
        if self._members.is_list_current(now_s):
            self._peer_upstreams_s = None
        self._round_requested |= self._members.marks_digest != before

    def _patch_submitted(
        self, patch: ev.PatchSubmitted, now_s: float
    ) -> tuple[ControlDecision, ...]:
        if self._agreement.stopped:
            error = NotReadyError(
                "the config stream has a record of a newer release; upgrade this host"
            )
            return (PatchCompleted(patch.patch_id, self.config.version, error),)
        return self._patches.submit(patch, self._agreement.fold, now_s)

    def _announce_notice(
        self, digest: str, upstream_id: str, now_s: float
    ) -> tuple[ControlDecision, ...]:
        was_blamed = digest in {blamed for blamed, _ in self.blamed}
        record = self._notices.announce(digest, upstream_id)
        if record is None:
            return ()
        self._round_requested = True
        append = self._appends.start(
            QUARANTINE_STREAM, record, retry_until_s=now_s + NOTICE_APPEND_RETRY_S
        )
        if upstream_id or not was_blamed:
            return (append,)
        return (append, ReleaseDigest(digest))

    def _apply_config(self, now_s: float) -> list[ControlDecision]:
        decisions: list[ControlDecision] = []
        config = self._agreement.put_in_force(now_s)
        if config is not None:
            decisions.append(PutConfigInForce(config))
            self._gossip.set_own_version(config.version)
            self._round_requested = True
        decisions += self._patches.complete_folded(self._agreement.fold)
        return decisions

    def _fleet_update(self) -> list[ControlDecision]:
        """Return a fleet update if it differs from the last one sent to the router."""
        live = len(self._gossip.live_hosts)
        key = (self._members.revision, self._agreement.version, live)
        if key == self._last_fleet_key:
            return []
        self._last_fleet_key = key
        upstreams, replicas = self._members.current_members(self.config)
        fleet = UpdateFleet(upstreams, replicas, live_hosts=live)
        if fleet == self._last_fleet or not (upstreams or replicas):
            return []
        self._last_fleet = fleet
        return [fleet]

    def _tick(self, now_s: float) -> list[ControlDecision]:
        if now_s < self._next_housekeeping_s:
            return []
        self._next_housekeeping_s = now_s + HOUSEKEEPING_INTERVAL_S
        self._patches.expire(now_s)
        if now_s >= self._next_expiry_s:
            self._next_expiry_s = now_s + MEMBER_EXPIRY_INTERVAL_S
            self._members.expire(now_s)
        for host_id in self._gossip.run_housekeeping(now_s):
            self._agreement.remove_host(host_id)
        record = self._agreement.take_due_snapshot(self._gossip.host_index, now_s)
        if record is None:
            return []
        retry_until_s = now_s + SNAPSHOT_APPEND_RETRY_S
        return [self._appends.start(CONFIG_STREAM, record, retry_until_s=retry_until_s)]

    def _heartbeat_round(self, now_s: float) -> list[ControlDecision]:
        if not self._gossip.is_round_due(now_s, requested=self._round_requested):
            return []
        targets = self._gossip.start_round(now_s)
        self._round_requested = False
        if not targets:
            return []
        heartbeat = self._build_heartbeat(now_s)
        self._round_requested = self._notices.has_unsent
        return [
            SendToPeer(
                peer.host_id,
                peer.address,
                attrs.evolve(heartbeat, wants_reply=wants_reply),
            )
            for peer, wants_reply in targets
        ]

    def _build_heartbeat(self, now_s: float, *, with_notices: bool = True) -> Heartbeat:
        own_host = self._gossip.own_host
        counts = sorted(
            self._inflight.counts, key=lambda c: (-c.requests, c.upstream_id)
        )
        return Heartbeat(
            host_id=own_host.host_id,
            incarnation=self._gossip.incarnation,
            sequence=self._gossip.next_sequence(),
            address=own_host.address,
            availability_zone=own_host.availability_zone,
            config_version=self._agreement.version,
            config_offset=self._agreement.fold.next_offset,
            config_digest=self._agreement.digest,
            members_digest=self._members_digest(),
            load=self._inflight.load,
            leaving=self._members.leaving_marks(
                now_s, limit=LEAVING_MARKS_PER_HEARTBEAT
            ),
            inflight=tuple(counts[:INFLIGHT_PER_HEARTBEAT]),
            notices=self._notices.take_next_round() if with_notices else (),
        )

    def _members_digest(self) -> bytes:
        marks, versions = self._members.marks_digest, self._gossip.versions_digest
        return bytes(a ^ b for a, b in zip(marks, versions, strict=True))

    def _message_received(
        self, message: PeerMessage, now_s: float
    ) -> list[ControlDecision]:
        match message:
            case Heartbeat():
                return self._heartbeat_received(message, now_s)
            case ConfigRequest(host_id, from_offset):
                response = self._agreement.records_from(
                    self._gossip.own_host.host_id, from_offset
                )
                return (
                    [] if response is None else [self._send_on_link(host_id, response)]
                )
            case ConfigRecords():
                return self._records_received(message, now_s)
            case MembersRequest():
                return [
                    self._send_on_link(
                        message.host_id, self._build_members_delta(message, now_s)
                    )
                ]
            case MembersDelta():
                self._members_delta_received(message, now_s)
        return []

    def _send_on_link(self, host_id: str, message: PeerMessage) -> SendToPeer:
        return SendToPeer(host_id, "", message)

    def _heartbeat_received(
        self, heartbeat: Heartbeat, now_s: float
    ) -> list[ControlDecision]:
        if not self._gossip.accept_heartbeat(heartbeat, now_s):
            return []
        self._agreement.record_peer_offset(heartbeat, now_s)
        self._round_requested |= self._members.merge_leaving_marks(
            heartbeat.leaving, now_s
        )
        decisions = self._notices.merge_peer_notices(heartbeat.notices)
        self._round_requested |= self._notices.has_unsent
        decisions.append(UpdatePeerInflight(heartbeat.host_id, heartbeat.inflight))
        decisions += self._agreement.report_divergence(heartbeat)
        decisions += self._pull_config(
            heartbeat.host_id, heartbeat.config_offset, now_s
        )
        decisions += self._pull_members(heartbeat, now_s)
        behind = heartbeat.config_offset < self._agreement.fold.next_offset
        if heartbeat.wants_reply or behind:
            if self._gossip.try_start_reply(heartbeat.host_id, now_s):
                reply = self._build_heartbeat(now_s, with_notices=False)
                decisions.append(self._send_on_link(heartbeat.host_id, reply))
        return decisions

    def _pull_config(
        self, host_id: str, offset: int, now_s: float
    ) -> list[ControlDecision]:
        """Request records from a peer that has more, one request at a time."""
        if offset <= self._agreement.fold.next_offset or self._agreement.stopped:
            return []
        if (
            self._config_pull_s is not None
            and now_s - self._config_pull_s < CONFIG_PULL_TIMEOUT_S
        ):
            return []
        self._config_pull_s, self._config_pull_host = now_s, host_id
        own_id = self._gossip.own_host.host_id
        request = ConfigRequest(own_id, self._agreement.fold.next_offset)
        return [self._send_on_link(host_id, request)]

    def _records_received(
        self, message: ConfigRecords, now_s: float
    ) -> list[ControlDecision]:
        before = self._agreement.fold.next_offset
        decisions = [*self._agreement.apply_peer_records(message, now_s)]
        if message.host_id == self._config_pull_host:
            self._config_pull_s = None
        if self._agreement.fold.next_offset > before:
            self._round_requested = True
            decisions += self._pull_config(message.host_id, message.next_offset, now_s)
        return decisions

    def _pull_members(
        self, heartbeat: Heartbeat, now_s: float
    ) -> list[ControlDecision]:
        """Request members from a peer whose digest differs, within the byte budget."""
        wants_upstreams = not self._members.is_list_current(now_s)
        if heartbeat.members_digest == self._members_digest() and not wants_upstreams:
            return []
        hosts = len(self._gossip.versions)
        interval_s = MEMBERS_PULL_INTERVAL_S + MEMBERS_PULL_INTERVAL_PER_HOST_S * hosts
        last_s = self._members_pull_s
        if last_s is not None and now_s - last_s < interval_s:
            return []
        # Ask the hosts in turn: with synchronized rounds the same host would
        # otherwise always be the first heard after each interval.
        others = self._gossip.recent_heartbeat_count(now_s) - 1
        if heartbeat.host_id in self._recent_members_pulls[-others:] and others > 0:
            return []
        self._recent_members_pulls = [*self._recent_members_pulls, heartbeat.host_id][
            -MAX_RECENT_MEMBERS_PULLS:
        ]
        self._members_pull_s = now_s
        received_s = self._peer_upstreams_s
        is_current = (
            received_s is not None and now_s - received_s < PEER_UPSTREAMS_MAX_AGE_S
        )
        digest = self._peer_upstreams_digest if is_current else b""
        request = MembersRequest(self._gossip.own_host.host_id, wants_upstreams, digest)
        return [self._send_on_link(heartbeat.host_id, request)]

    def _build_members_delta(
        self, request: MembersRequest, now_s: float
    ) -> MembersDelta:
        listed = self._members.listed_members(now_s) if request.wants_upstreams else ()
        digest = self._members.listed_digest() if listed else b""
        if digest == request.upstreams_digest:
            listed = ()
        return MembersDelta(
            host_id=self._gossip.own_host.host_id,
            leaving=self._members.leaving_marks(now_s, limit=LEAVING_MARKS_PER_DELTA),
            versions=self._gossip.versions,
            upstreams=tuple(m for m in listed if isinstance(m, Upstream)),
            replicas=tuple(m for m in listed if isinstance(m, ServiceReplica)),
            upstreams_digest=digest,
        )

    def _members_delta_received(self, delta: MembersDelta, now_s: float) -> None:
        self._round_requested |= self._members.merge_leaving_marks(delta.leaving, now_s)
        self._gossip.merge_versions(delta.versions)
        if delta.upstreams_digest:
            self._peer_upstreams_digest = delta.upstreams_digest
            self._peer_upstreams_s = now_s
            if delta.upstreams or delta.replicas:
                members: tuple[Member, ...] = (*delta.upstreams, *delta.replicas)
                self._members.merge_peer_members(members, now_s)
            else:
                self._members.renew_peer_members(now_s)
