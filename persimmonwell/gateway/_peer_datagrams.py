"""State exchange between hosts over UDP: loads, health, store versions and duty.

The state is soft: each datagram replaces the previous one of its sender, so that a lost
one needs no retransmission.
"""

import asyncio
import ipaddress
import math
from collections.abc import Callable, Mapping, Sequence
from itertools import islice
from typing import cast

import attrs
import msgspec

from persimmonwell.core.forwarding import (
    MAX_SHARED_DIGESTS,
    MAX_SHARED_REPORTS,
    MAX_SHARED_WORKSPACES,
    READERS_PER_ZONE,
    LeavingNotice,
    MemoryReport,
    PeerStatus,
    ReadMark,
    RegistryChanges,
    ReplicaLoad,
    StoreVersions,
    WorkspaceTokens,
)
from persimmonwell.core.resources import Charge
from persimmonwell.core.retry import CauseEvidence
from persimmonwell.gateway._peer_messages import (
    Changes,
    Load,
    Memory,
    Report,
    decode_changes,
    decode_evidence,
    decode_mark,
    decode_notice,
    decode_usage,
    encode_changes,
    encode_evidence,
    encode_mark,
    encode_notice,
    encode_usage,
)

SEND_INTERVAL_S = 0.25
ZONE_PEERS_PER_SEND = 4
OTHER_PEERS_PER_SEND = 2
SILENT_PEERS_PER_SEND = 4
"""Maximum datagrams of one send, round-robin over the peers. Sending to every peer each
time took most of the processor time of 35 hosts; this limits a host to 24 datagrams a
second, and 16 more while there are addresses from which it has not heard."""
MAX_NOTICE_DATAGRAMS = 64
"""Datagrams of one notice to the zone. With 70 hosts in a zone, seven batches for each
filled the link of the sender, which dropped most of them."""
MAX_MISSED_REPORTS = 2.5
"""Report intervals of a peer without a report after which it is not live."""
PEER_EXPIRY_S = 20.0
"""Time without a report after which a peer's address is removed, unless the peer
announced a longer interval."""
ADDRESS_EXPIRY_S = 300.0
"""Time for which a silent address is tried, so that the two sides of a long partition
find each other again without a seed."""
MAX_LOAD_VALIDITY_S = 10.0
"""Time after which the loads of a peer that is seldom heard no longer count."""
MAX_LOADS = 128
"""Loads in one datagram, the largest first; about the replicas that a host uses in its
own availability zone and some of the others."""
MAX_READ_CAUSES = 16
"""Suspected causes of crashes that are read from one datagram."""
MAX_SHARED_LEAVING = 32
"""Leaving replicas in one datagram, the newest ones."""
MAX_PEER_ADDRESSES = 64
"""Peer addresses in one datagram, the next ones in turn; with the same ones each time,
the last hosts of a larger fleet would never learn of each other."""
MAX_PEERS = 4096
"""Peers and learned addresses that are kept, those heard of last: four times 1,000
hosts. Datagrams are not authenticated, so that anyone can name any number of hosts."""
MAX_CHARGED_BYTES = 32 * 1024 * 1024
"""Most that is charged for the datagrams of all peers; the tables that keep what they
say are bounded as well."""
MAX_READ_LOADS = 4 * MAX_LOADS
MAX_READ_REPLICAS = 4096
"""Lost and slow replicas that are read from one datagram; 1,000 hosts have some 3,300
replicas."""
MAX_READ_DIGESTS = 4 * MAX_SHARED_DIGESTS
MAX_READ_CHANGES = 1000
"""Changes that are read from one datagram, which holds some 30. A report with more
counts as one without changes, so that they are read from the store."""
MAX_READ_NAME_CHARACTERS = 320
"""Longer names are ignored: an id has at most 256 characters."""


@attrs.frozen
class _PeerEntry:
    status: PeerStatus
    last_report_s: float
    valid_s: float
    size: int
    """Bytes of the last datagram, most of whose content is kept."""
    quarantine_mark: int | None = None
    """Mark of the causes of crashes that it refuses; None from an earlier build."""


@attrs.frozen
class PeerReport:
    """State of a peer: its view of the replicas and the versions it has read."""

    status: PeerStatus
    loads: Mapping[str, ReplicaLoad]
    lost: tuple[str, ...]
    slow: Mapping[str, float]
    refused: tuple[str, ...]
    valid_s: float
    """Time for which the report is valid if no other one arrives."""
    registry_changes: RegistryChanges | None = None
    """Changes that a host which reads the store relays to its availability zone."""
    cause_evidence: tuple[CauseEvidence, ...] = ()
    leaving: tuple[LeavingNotice, ...] = ()
    usage: tuple[WorkspaceTokens, ...] = ()
    memory: tuple[MemoryReport, ...] = ()

    @property
    def host_id(self) -> str:
        """Return the id of the host that sent the report."""
        return self.status.host_id


@attrs.frozen
class LocalState:
    """State that this host sends to its peers."""

    loads: Mapping[str, ReplicaLoad]
    lost: frozenset[str]
    slow: Mapping[str, float]
    reads_store: bool
    holds_duty: bool
    is_reader: bool
    store_versions: StoreVersions
    refused: tuple[str, ...]
    registry_changes: RegistryChanges | None = None
    cause_evidence: tuple[CauseEvidence, ...] = ()
    """Evidence about causes of crashes that has changed lately."""
    repeated_evidence: tuple[CauseEvidence, ...] = ()
    """Evidence for peers that refuse other causes than this host."""
    quarantine_mark: int = 0
    """Mark of the causes that this host refuses."""
    leaving: tuple[LeavingNotice, ...] = ()
    usage: tuple[WorkspaceTokens, ...] = ()
    memory: tuple[MemoryReport, ...] = ()


SocketAddress = tuple[str, int]


class PeerDatagrams(asyncio.DatagramProtocol):
    """Datagram endpoint that exchanges state with peers and tracks the live ones.

    Peers are discovered from seed addresses and from the addresses in peers' reports.
    """

    def __init__(
        self,
        *,
        host_id: str,
        availability_zone: str,
        local_address: SocketAddress,
        seeds: frozenset[str],
        local_state: Callable[[], LocalState],
        on_report: Callable[[PeerReport], None],
        clock: Callable[[], float],
        on_mark: Callable[[PeerStatus, ReadMark], None] = lambda peer, mark: None,
        charge: Charge | None = None,
    ) -> None:
        self._charge = charge
        """The last datagram of each peer, never refused for lack of memory."""
        self._kept_bytes = 0
        self._host_id = host_id
        self._availability_zone = availability_zone
        self._local_address = local_address
        self._seeds = seeds - {local_address[0]}
        self._local_state = local_state
        self._on_report = on_report
        self._on_mark = on_mark
        self._clock = clock
        self._peers: dict[str, _PeerEntry] = {}
        self._learned_addresses: dict[str, float] = {}
        """Time at which each address was last named by a peer or heard from."""
        self._transport: asyncio.DatagramTransport | None = None
        self._send_count = 0
        self._next_peer = 0

    @property
    def live_peers(self) -> tuple[PeerStatus, ...]:
        """Return the status of the other hosts whose last report is still valid."""
        now_s = self._clock()
        return tuple(
            peer.status
            for peer in self._peers.values()
            if now_s - peer.last_report_s <= peer.valid_s
        )

    def address_of(self, host_id: str) -> str | None:
        """Return the IP address of a peer, None for an unknown one."""
        for address, peer in self._peers.items():
            if peer.status.host_id == host_id:
                return address
        return None

    def set_seeds(self, seeds: frozenset[str]) -> None:
        """Replace the seed addresses."""
        self._seeds = seeds - {self._local_address[0]}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # The transport of the event loop is not a subclass of this type, so an
        # isinstance check fails.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Release the local port; nothing is sent or received any more."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: SocketAddress) -> None:
        """Apply a peer's report; malformed datagrams are ignored."""
        self._charge_kept(len(data))
        try:
            self._read_datagram(data, addr)
        finally:
            self._charge_kept()

    def _charge_kept(self, extra_bytes: int = 0) -> None:
        if self._charge is not None:
            kept_bytes = min(self._kept_bytes, MAX_CHARGED_BYTES)
            self._charge.force(kept_bytes + extra_bytes)

    def _read_datagram(self, data: bytes, addr: SocketAddress) -> None:
        mark = decode_mark(data)
        if mark is not None:
            # The sender's report names its zone; without one the mark says nothing.
            if addr[0] in self._peers:
                self._on_mark(self._peers[addr[0]].status, mark)
            return
        try:
            report = msgspec.msgpack.decode(data, type=Report)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return
        if report.host_id == self._host_id:
            return
        if not (_is_short(report.host_id) and _is_short(report.availability_zone)):
            return
        valid_s = MAX_MISSED_REPORTS * report.interval_s
        store_versions = StoreVersions(
            report.config_version, report.registry_offset, report.registry_era
        )
        status = PeerStatus(
            host_id=report.host_id,
            availability_zone=report.availability_zone,
            reads_store=report.reads_store,
            holds_duty=report.holds_duty,
            is_reader=report.is_reader,
            store_versions=store_versions,
        )
        self._record_peer(
            addr[0],
            _PeerEntry(
                status, self._clock(), valid_s, len(data), report.quarantine_mark
            ),
        )
        self._learn_addresses(report.peers[:MAX_PEER_ADDRESSES])
        loads = {
            load.replica_id: ReplicaLoad(load.requests, load.layer_tokens)
            for load in report.loads[:MAX_READ_LOADS]
            if _is_short(load.replica_id)
        }
        self._on_report(
            PeerReport(
                status=status,
                loads=loads,
                lost=tuple(filter(_is_short, report.lost[:MAX_READ_REPLICAS])),
                slow={
                    replica_id: factor
                    for replica_id, factor in islice(
                        report.slow.items(), MAX_READ_REPLICAS
                    )
                    if _is_short(replica_id)
                },
                refused=tuple(filter(_is_short, report.refused[:MAX_READ_DIGESTS])),
                valid_s=min(valid_s, MAX_LOAD_VALIDITY_S),
                cause_evidence=tuple(
                    decode_evidence(cause) for cause in report.causes[:MAX_READ_CAUSES]
                ),
                leaving=tuple(
                    decode_notice(message)
                    for message in report.leaving[:MAX_SHARED_LEAVING]
                ),
                registry_changes=_read_changes(report.registry_changes),
                usage=tuple(
                    decode_usage(message)
                    for message in report.usage[:MAX_SHARED_WORKSPACES]
                ),
                memory=tuple(
                    MemoryReport(row.replica_id, row.layer_tokens, row.age_s)
                    for row in report.memory[:MAX_SHARED_REPORTS]
                    if _is_short(row.replica_id)
                ),
            )
        )

    def _record_peer(self, address: str, entry: _PeerEntry) -> None:
        """Record a report of a peer; drop the peer that was heard of first."""
        if address in self._peers:
            self._forget_peer(address)
        self._peers[address] = entry
        self._kept_bytes += entry.size
        if len(self._peers) > MAX_PEERS:
            self._forget_peer(next(iter(self._peers)))

    def _forget_peer(self, address: str) -> None:
        self._kept_bytes -= self._peers.pop(address).size

    def _learn_address(self, address: str, learned_s: float) -> None:
        """Record an address; drop the one that was named first."""
        self._learned_addresses.pop(address, None)
        self._learned_addresses[address] = learned_s
        if len(self._learned_addresses) > MAX_PEERS:
            del self._learned_addresses[next(iter(self._learned_addresses))]

    def _learn_addresses(self, addresses: list[str]) -> None:
        now_s = self._clock()
        for address in addresses:
            if address in self._learned_addresses or _is_ipv4_address(address):
                self._learn_address(address, now_s)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers; they expire when they send no reports."""

    def send(self) -> None:
        """Expire silent peers and send the state to the next peers in turn."""
        if self._transport is None or self._transport.is_closing():
            return
        now_s = self._clock()
        for address, peer in list(self._peers.items()):
            if now_s - peer.last_report_s > max(PEER_EXPIRY_S, peer.valid_s):
                self._forget_peer(address)
                self._learn_address(address, peer.last_report_s)
        self._charge_kept()
        for address, learned_s in list(self._learned_addresses.items()):
            if now_s - learned_s > ADDRESS_EXPIRY_S:
                del self._learned_addresses[address]
        zone_addresses = self._zone_addresses()
        other_addresses = self._peers.keys() - zone_addresses
        silent_addresses = (self._seeds | self._learned_addresses.keys()) - {
            self._local_address[0],
            *self._peers,
        }
        self._send_count += 1
        # One state for all, so that each peer gets all evidence in turn.
        state = self._local_state()
        self._send_round_robin(sorted(zone_addresses), ZONE_PEERS_PER_SEND, state)
        self._send_round_robin(sorted(other_addresses), OTHER_PEERS_PER_SEND, state)
        self._send_round_robin(sorted(silent_addresses), SILENT_PEERS_PER_SEND, state)

    def send_to_zone(self, batches: Sequence[RegistryChanges] = ()) -> None:
        """Send the state to all peers of the availability zone, after a change.

        Each batch takes a datagram. Where that would be too many, the newest changes of
        the state are sent instead.
        """
        zone_addresses = sorted(self._zone_addresses())
        if not zone_addresses:
            return
        interval_s = (
            math.ceil(len(zone_addresses) / ZONE_PEERS_PER_SEND) * SEND_INTERVAL_S
        )
        state = self._local_state()
        states = [state]
        if 0 < len(batches) * len(zone_addresses) <= MAX_NOTICE_DATAGRAMS:
            states = [attrs.evolve(state, registry_changes=batch) for batch in batches]
        for each in states:
            self._transmit(zone_addresses, interval_s, each)

    def send_mark(self, mark: ReadMark) -> None:
        """Send a mark to the zone, if it has hosts that do not read the store."""
        zone_addresses = self._zone_addresses()
        if self._transport is None or self._transport.is_closing():
            return
        if len(zone_addresses) < READERS_PER_ZONE:
            return
        data = encode_mark(mark)
        for address in zone_addresses:
            self._transport.sendto(data, (address, self._local_address[1]))

    def _zone_addresses(self) -> set[str]:
        return {
            address
            for address, peer in self._peers.items()
            if peer.status.availability_zone == self._availability_zone
        }

    def _next_peer_addresses(self) -> list[str]:
        addresses = sorted(self._peers)
        if len(addresses) <= MAX_PEER_ADDRESSES:
            return addresses
        start = self._next_peer % len(addresses)
        self._next_peer = start + MAX_PEER_ADDRESSES
        return (addresses + addresses)[start : start + MAX_PEER_ADDRESSES]

    def _send_round_robin(
        self, addresses: list[str], count: int, state: LocalState
    ) -> None:
        if not addresses:
            return
        rounds = math.ceil(len(addresses) / count)
        start = self._send_count % rounds * count
        selected = addresses[start : start + count]
        self._transmit(selected, rounds * SEND_INTERVAL_S, state)

    def _transmit(
        self, addresses: list[str], interval_s: float, state: LocalState
    ) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        unaware = [
            address
            for address in addresses
            if state.repeated_evidence and self._is_unaware(address, state)
        ]
        if unaware:
            evidence = state.cause_evidence + state.repeated_evidence
            full_state = attrs.evolve(
                state, cause_evidence=evidence, repeated_evidence=()
            )
            self._transmit(unaware, interval_s, full_state)
            addresses = [each for each in addresses if each not in unaware]
        if not addresses:
            return
        rows = sorted(
            state.loads.items(), key=lambda row: row[1].layer_tokens, reverse=True
        )[:MAX_LOADS]
        report = Report(
            host_id=self._host_id,
            availability_zone=self._availability_zone,
            loads=[Load(key, load.requests, load.layer_tokens) for key, load in rows],
            peers=self._next_peer_addresses(),
            lost=sorted(state.lost),
            reads_store=state.reads_store,
            holds_duty=state.holds_duty,
            slow=dict(state.slow),
            interval_s=interval_s,
            is_reader=state.is_reader,
            config_version=state.store_versions.config_version,
            registry_offset=state.store_versions.registry_offset,
            blames=[],
            refused=list(state.refused),
            registry_changes=encode_changes(state.registry_changes),
            suspect_parts=[],
            registry_era=state.store_versions.registry_era,
            leaving=[
                encode_notice(notice) for notice in state.leaving[-MAX_SHARED_LEAVING:]
            ],
            usage=[
                message
                for row in state.usage[:MAX_SHARED_WORKSPACES]
                if (message := encode_usage(row)) is not None
            ],
            memory=[
                Memory(row.replica_id, row.layer_tokens, row.age_s)
                for row in state.memory[:MAX_SHARED_REPORTS]
            ],
            causes=[encode_evidence(evidence) for evidence in state.cause_evidence],
            quarantine_mark=state.quarantine_mark,
        )
        data = msgspec.msgpack.encode(report)
        for address in addresses:
            self._transport.sendto(data, (address, self._local_address[1]))

    def _is_unaware(self, address: str, state: LocalState) -> bool:
        """Return whether a peer refuses other causes of crashes than this host."""
        peer = self._peers.get(address)
        if peer is None or peer.quarantine_mark is None:
            return False
        return peer.quarantine_mark != state.quarantine_mark


def _read_changes(changes: Changes | None) -> RegistryChanges | None:
    if changes is None or len(changes.changes) > MAX_READ_CHANGES:
        return None
    return decode_changes(changes)


def _is_short(name: str) -> bool:
    """Return whether a name may be kept."""
    return len(name) <= MAX_READ_NAME_CHARACTERS


def _is_ipv4_address(text: str) -> bool:
    """Return whether a datagram can be sent there without a blocking name look-up."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True
