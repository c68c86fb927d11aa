"""Compose configuration, membership and gossip into one event-driven state."""

import attrs

from persimmonwell._exceptions import NotReadyError
from persimmonwell.core._documents import JsonObject
from persimmonwell.core._fleet import EntryHost, HostList
from persimmonwell.core._types import ServiceReplica, Upstream
from persimmonwell.core.config import ConfigFold, FleetConfig, HistoryEntry
from persimmonwell.core.control import _events as ev
from persimmonwell.core.control._agreement import ConfigAgreement
from persimmonwell.core.control._appends import Appends
from persimmonwell.core.control._decisions import (
    ControlDecision,
    LearnInflight,
    PatchSettled,
    PutConfigInForce,
    ReleaseDigest,
    SendToPeer,
    UpdateFleet,
)
from persimmonwell.core.control._gossip import Gossip
from persimmonwell.core.control._notices import QUARANTINE_STREAM, Notices
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

HOUSEKEEPING_S = 0.5
"""Pause between looks at every known host."""
EXPIRY_S = 5.0
"""Pause between looks at every known upstream; they expire after a minute or more."""
PULL_TIMEOUT_S = 0.5
"""Another peer is asked when one has not answered for so long."""
MEMBERS_PULL_S = 1.0
MEMBERS_PULL_PER_HOST_S = 0.1
"""Added to the pull interval per known host: 340 hosts make an answer of about
7 KB, which at 35 s costs some 200 B/s."""
MEMBERS_ASKED = 8
"""Hosts asked last; a host hears about five others."""
SLOW_POLL_S = {CONFIG_STREAM: 4.0, QUARANTINE_STREAM: 10.0}
"""Pause between log reads of a host that relies on the readers of its zone."""
FAST_POLL_S = {CONFIG_STREAM: 0.0, QUARANTINE_STREAM: 1.0}
"""Pause of a reader; the config stream is long-polled."""
STOPPED_POLL_S = 5.0
"""Pause after a record of a newer release, which a read returns at once."""
LEAVING_PER_HEARTBEAT = 8
MARKS_PER_DELTA = 512
INFLIGHT_PER_HEARTBEAT = 5
UPSTREAMS_HELD_S = 90.0
"""Upstreams from peers surely have not expired within this time."""
SNAPSHOT_APPEND_S = 5.0
NOTICE_APPEND_S = 60.0


class Control:
    """Hold what one host knows of configuration, upstreams and entry hosts."""

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
        own = EntryHost(host_id, address, availability_zone, operator_address)
        self._agreement = ConfigAgreement()
        self._appends = Appends()
        self._patches = PendingPatches(self._appends)
        self._members = Members()
        self._gossip = Gossip(own, incarnation=incarnation, heartbeat_s=heartbeat_s)
        self._notices = Notices(host_id, incarnation)
        self._inflight = ev.InflightObserved((), 0)
        self._list_as_of_s = 0.0
        self._triggered = False
        self._housekeeping_s = self._expiry_s = float("-inf")
        self._pull_s: float | None = None
        self._pulled_from = ""
        self._members_pull_s: float | None = None
        self._members_asked: list[str] = []
        self._peer_upstreams_digest = b""
        self._peer_upstreams_s: float | None = None
        self._fleet_key: tuple[int, int, int] | None = None
        self._fleet: UpdateFleet | None = None

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
        """Return the upstreams and entry hosts currently believed to exist."""
        upstreams, replicas = self._members.current_members(self.config)
        return HostList(self._list_as_of_s, upstreams, replicas, self.entry_hosts)

    @property
    def entry_hosts(self) -> tuple[EntryHost, ...]:
        """Return the entry hosts currently believed to exist, this one included."""
        return self._gossip.hosts

    @property
    def peers(self) -> tuple[EntryHost, ...]:
        """Return the hosts that get this host's heartbeats."""
        return self._gossip.peers

    @property
    def host_versions(self) -> tuple[HostVersion, ...]:
        """Return the configuration version in force on each host, as last heard."""
        return self._gossip.versions

    @property
    def blamed(self) -> tuple[tuple[str, tuple[str, ...]], ...]:
        """Return each blamed digest with the upstreams lost to it."""
        return self._notices.blamed

    def is_up_to_date(self, now_s: float) -> bool:
        """Return whether neither the log nor a live peer is known to hold more."""
        return self.ready and not self._agreement.is_behind(now_s)

    def read_offset(self, stream: str) -> int:
        """Return the offset from which to read a stream."""
        if stream == QUARANTINE_STREAM:
            return self._notices.position
        return self._agreement.position

    def read_pause_s(self, stream: str, now_s: float) -> float:
        """Return the pause between two reads of a stream.

        A few hosts of each zone read often; the others rely on them and on
        peers, and read often only while no peer is heard.
        """
        if stream == CONFIG_STREAM and self._agreement.stopped:
            return STOPPED_POLL_S
        fast = (
            not self.ready
            or not self._gossip.hears_peers(now_s)
            or self._gossip.is_reader
        )
        return (FAST_POLL_S if fast else SLOW_POLL_S)[stream]

    def handle(
        self, event: ev.ControlEvent, now_s: float
    ) -> tuple[ControlDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        decisions = [*self._apply(event, now_s)]
        decisions += self._settle_config(now_s)
        decisions += self._fleet_update()
        if self._triggered or isinstance(event, ev.ControlTick):
            decisions += self._heartbeat_round(now_s)
        return tuple(decisions)

    def _apply(
        self, event: ev.ControlEvent, now_s: float
    ) -> tuple[ControlDecision, ...] | list[ControlDecision]:
        match event:
            case ev.HostListRead(hosts):
                self._list_read(hosts, now_s)
            case ev.RecordsRead(stream):
                if stream == CONFIG_STREAM:
                    return self._agreement.records_read(event, now_s)
                if stream == QUARANTINE_STREAM:
                    return self._notices.records_read(event.first_offset, event.records)
            case ev.PatchSubmitted():
                return self._patch_submitted(event, now_s)
            case ev.AppendConfirmed(append_id, _):
                self._appends.confirmed(append_id)
            case ev.AppendUncertain(append_id):
                return self._appends.uncertain(append_id, now_s)
            case ev.PeerMessageReceived(message):
                return self._message_received(message, now_s)
            case ev.UpstreamEvidence(upstream_id, succeeded):
                self._members.record_outcome(
                    upstream_id, succeeded=succeeded, now_s=now_s
                )
            case ev.InflightObserved():
                self._inflight = event
            case ev.BlameAnnounced(digest, upstream_id):
                return self._announce(digest, upstream_id, now_s)
            case ev.QuarantineClearRequested(digest):
                return self._announce(digest, "", now_s)
            case ev.ControlTick():
                return self._tick(now_s)
        return ()

    def _list_read(self, hosts: HostList, now_s: float) -> None:
        before = self._members.marks_digest
        self._list_as_of_s = hosts.as_of_s
        self._members.apply_host_list(hosts, now_s)
        self._gossip.list_read(hosts.entry_hosts)
        if self._members.is_list_current(now_s):
            self._peer_upstreams_s = None
        self._triggered |= self._members.marks_digest != before

    def _patch_submitted(
        self, patch: ev.PatchSubmitted, now_s: float
    ) -> tuple[ControlDecision, ...]:
        if self._agreement.stopped:
            error = NotReadyError("a record of a newer release stopped the fold")
            return (PatchSettled(patch.patch_id, self.config.version, error),)
        return self._patches.submit(patch, self._agreement.fold, now_s)

    def _announce(
        self, digest: str, upstream_id: str, now_s: float
    ) -> tuple[ControlDecision, ...]:
        known = digest in {blamed for blamed, _ in self.blamed}
        record = self._notices.announce(digest, upstream_id)
        if record is None:
            return ()
        self._triggered = True
        append = self._appends.start(
            QUARANTINE_STREAM, record, give_up_s=now_s + NOTICE_APPEND_S
        )
        if upstream_id or not known:
            return (append,)
        return (append, ReleaseDigest(digest))

    def _settle_config(self, now_s: float) -> list[ControlDecision]:
        decisions: list[ControlDecision] = []
        config = self._agreement.put_in_force(now_s)
        if config is not None:
            decisions.append(PutConfigInForce(config))
            self._gossip.own_version(config.version)
            self._triggered = True
        decisions += self._patches.settle(self._agreement.fold)
        return decisions

    def _fleet_update(self) -> list[ControlDecision]:
        """Return the upstreams when they differ from what the router has."""
        live = len(self._gossip.live_hosts)
        key = (self._members.revision, self._agreement.version, live)
        if key == self._fleet_key:
            return []
        self._fleet_key = key
        upstreams, replicas = self._members.current_members(self.config)
        fleet = UpdateFleet(upstreams, replicas, live_hosts=live)
        if fleet == self._fleet or not (upstreams or replicas):
            return []
        self._fleet = fleet
        return [fleet]

    def _tick(self, now_s: float) -> list[ControlDecision]:
        if now_s < self._housekeeping_s:
            return []
        self._housekeeping_s = now_s + HOUSEKEEPING_S
        self._patches.expire(now_s)
        if now_s >= self._expiry_s:
            self._expiry_s = now_s + EXPIRY_S
            self._members.expire(now_s)
        for host_id in self._gossip.housekeep(now_s):
            self._agreement.forget_host(host_id)
        record = self._agreement.snapshot_due(self._gossip.rank, now_s)
        if record is None:
            return []
        give_up_s = now_s + SNAPSHOT_APPEND_S
        return [self._appends.start(CONFIG_STREAM, record, give_up_s=give_up_s)]

    def _heartbeat_round(self, now_s: float) -> list[ControlDecision]:
        if not self._gossip.round_due(now_s, triggered=self._triggered):
            return []
        targets = self._gossip.start_round(now_s)
        self._triggered = False
        if not targets:
            return []
        beat = self._heartbeat(now_s)
        self._triggered = self._notices.waiting
        return [
            SendToPeer(
                peer.host_id, peer.address, attrs.evolve(beat, wants_reply=asked)
            )
            for peer, asked in targets
        ]

    def _heartbeat(self, now_s: float, *, with_notices: bool = True) -> Heartbeat:
        own = self._gossip.own
        counts = sorted(
            self._inflight.counts, key=lambda c: (-c.requests, c.upstream_id)
        )
        return Heartbeat(
            host_id=own.host_id,
            incarnation=self._gossip.incarnation,
            sequence=self._gossip.next_sequence(),
            address=own.address,
            availability_zone=own.availability_zone,
            config_version=self._agreement.version,
            config_offset=self._agreement.fold.next_offset,
            config_digest=self._agreement.digest,
            members_digest=self._members_digest(),
            load=self._inflight.load,
            leaving=self._members.leaving_marks(now_s, limit=LEAVING_PER_HEARTBEAT),
            inflight=tuple(counts[:INFLIGHT_PER_HEARTBEAT]),
            notices=self._notices.next_round() if with_notices else (),
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
                answer = self._agreement.answer(self._gossip.own.host_id, from_offset)
                return [] if answer is None else [self._to(host_id, answer)]
            case ConfigRecords():
                return self._records_received(message, now_s)
            case MembersRequest():
                return [self._to(message.host_id, self._delta(message, now_s))]
            case MembersDelta():
                self._delta_received(message, now_s)
        return []

    def _to(self, host_id: str, message: PeerMessage) -> SendToPeer:
        return SendToPeer(host_id, "", message)

    def _heartbeat_received(
        self, beat: Heartbeat, now_s: float
    ) -> list[ControlDecision]:
        if not self._gossip.accept(beat, now_s):
            return []
        self._agreement.heartbeat_heard(beat, now_s)
        self._triggered |= self._members.merge_leaving_marks(beat.leaving, now_s)
        decisions = self._notices.heard(beat.notices)
        self._triggered |= self._notices.waiting
        decisions.append(LearnInflight(beat.host_id, beat.inflight))
        decisions += self._agreement.report_divergence(beat)
        decisions += self._pull_config(beat.host_id, beat.config_offset, now_s)
        decisions += self._pull_members(beat, now_s)
        behind = beat.config_offset < self._agreement.fold.next_offset
        if beat.wants_reply or behind:
            if self._gossip.may_reply(beat.host_id, now_s):
                reply = self._heartbeat(now_s, with_notices=False)
                decisions.append(self._to(beat.host_id, reply))
        return decisions

    def _pull_config(
        self, host_id: str, offset: int, now_s: float
    ) -> list[ControlDecision]:
        """Ask a peer that holds more, one at a time."""
        if offset <= self._agreement.fold.next_offset or self._agreement.stopped:
            return []
        if self._pull_s is not None and now_s - self._pull_s < PULL_TIMEOUT_S:
            return []
        self._pull_s, self._pulled_from = now_s, host_id
        own_id = self._gossip.own.host_id
        request = ConfigRequest(own_id, self._agreement.fold.next_offset)
        return [self._to(host_id, request)]

    def _records_received(
        self, message: ConfigRecords, now_s: float
    ) -> list[ControlDecision]:
        before = self._agreement.fold.next_offset
        decisions = [*self._agreement.records_passed_on(message, now_s)]
        if message.host_id == self._pulled_from:
            self._pull_s = None
        if self._agreement.fold.next_offset > before:
            self._triggered = True
            decisions += self._pull_config(message.host_id, message.next_offset, now_s)
        return decisions

    def _pull_members(self, beat: Heartbeat, now_s: float) -> list[ControlDecision]:
        """Ask a peer whose view differs, seldom enough for the byte budget."""
        wants_upstreams = not self._members.is_list_current(now_s)
        if beat.members_digest == self._members_digest() and not wants_upstreams:
            return []
        hosts = len(self._gossip.versions)
        interval_s = MEMBERS_PULL_S + MEMBERS_PULL_PER_HOST_S * hosts
        last_s = self._members_pull_s
        if last_s is not None and now_s - last_s < interval_s:
            return []
        # Asking the hosts in turn: rounds that keep step would otherwise make the
        # same host the first to be heard after each interval.
        others = self._gossip.heard_count(now_s) - 1
        if beat.host_id in self._members_asked[-others:] and others > 0:
            return []
        self._members_asked = [*self._members_asked, beat.host_id][-MEMBERS_ASKED:]
        self._members_pull_s = now_s
        heard_s = self._peer_upstreams_s
        held = heard_s is not None and now_s - heard_s < UPSTREAMS_HELD_S
        digest = self._peer_upstreams_digest if held else b""
        request = MembersRequest(self._gossip.own.host_id, wants_upstreams, digest)
        return [self._to(beat.host_id, request)]

    def _delta(self, request: MembersRequest, now_s: float) -> MembersDelta:
        listed = self._members.listed_members(now_s) if request.wants_upstreams else ()
        digest = self._members.listed_digest() if listed else b""
        if digest == request.upstreams_digest:
            listed = ()
        return MembersDelta(
            host_id=self._gossip.own.host_id,
            leaving=self._members.leaving_marks(now_s, limit=MARKS_PER_DELTA),
            versions=self._gossip.versions,
            upstreams=tuple(m for m in listed if isinstance(m, Upstream)),
            replicas=tuple(m for m in listed if isinstance(m, ServiceReplica)),
            upstreams_digest=digest,
        )

    def _delta_received(self, delta: MembersDelta, now_s: float) -> None:
        self._triggered |= self._members.merge_leaving_marks(delta.leaving, now_s)
        self._gossip.learn_versions(delta.versions)
        if delta.upstreams_digest:
            self._peer_upstreams_digest = delta.upstreams_digest
            self._peer_upstreams_s = now_s
            if delta.upstreams or delta.replicas:
                members: tuple[Member, ...] = (*delta.upstreams, *delta.replicas)
                self._members.merge_peer_members(members, now_s)
            else:
                self._members.renew_peer_members(now_s)
