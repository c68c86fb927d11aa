"""Tell the other hosts what this one has sent to the upstreams.

Loads are soft state: each datagram replaces the one before, and a lost one is made up
for by the next.
"""

import asyncio
import math
from collections.abc import Callable, Mapping
from typing import cast

import attrs
import msgspec

from persimmonwell.core.forwarding import PeerStatus, ReplicaLoad, StoreVersions
from persimmonwell.core.retry import Blame

SEND_INTERVAL_S = 0.25
ZONE_PEERS_PER_SEND = 4
OTHER_PEERS_PER_SEND = 2
"""Datagrams of one send, which go round the peers in turn. Every peer at every send
took most of the processor time of 35 hosts; this bounds a host to 24 a second."""
MISSED_REPORTS = 2.5
"""Reports of a peer that may be missing before it counts as gone."""
FORGET_S = 20.0
"""Silence after which a peer's address is not tried any more."""
MAX_LOADS = 60
"""Rows in one datagram, so that it stays below a few kilobytes."""
MAX_BLAMES = 30
MAX_KNOWN_PEERS = 64
"""Addresses passed on in one datagram."""


class _Load(msgspec.Struct, array_like=True):
    replica_id: str
    requests: int
    layer_tokens: int


class _Report(msgspec.Struct, array_like=True):
    host_id: str
    availability_zone: str
    loads: list[_Load]
    peers: list[str]
    lost: list[str]
    """Replicas that did not answer the sender's question."""
    reads_store: bool
    holds_duty: bool
    slow: dict[str, float]
    interval_s: float
    """Time until the sender's next report to the same host."""
    is_reader: bool
    config_version: int
    registry_offset: int
    blames: list[tuple[str, str]]
    """Digests of requests, each with the replica that crashed on it."""
    refused: list[str]
    """Digests of requests that the sender refused and that may come back."""


@attrs.frozen
class _HeardPeer:
    status: PeerStatus
    heard_s: float
    valid_s: float


@attrs.frozen
class PeerReport:
    """Hold what a peer knows of the replicas."""

    host_id: str
    store_versions: StoreVersions
    loads: Mapping[str, ReplicaLoad]
    lost: tuple[str, ...]
    slow: Mapping[str, float]
    blames: tuple[Blame, ...]
    refused: tuple[str, ...]
    valid_s: float
    """Time for which the report holds unless another one comes."""


@attrs.frozen
class OwnState:
    """Hold what the host tells its peers."""

    loads: Mapping[str, ReplicaLoad]
    lost: frozenset[str]
    slow: Mapping[str, float]
    reads_store: bool
    holds_duty: bool
    is_reader: bool
    store_versions: StoreVersions
    blames: tuple[Blame, ...]
    refused: tuple[str, ...]


Address = tuple[str, int]


class PeerDatagrams(asyncio.DatagramProtocol):
    """Hold the peers that were heard of and send them this host's loads."""

    def __init__(
        self,
        *,
        host_id: str,
        availability_zone: str,
        own: Address,
        seeds: frozenset[str],
        own_state: Callable[[], OwnState],
        on_report: Callable[[PeerReport], None],
        clock: Callable[[], float],
    ) -> None:
        self._host_id = host_id
        self._zone = availability_zone
        self._own = own
        self._seeds = seeds - {own[0]}
        self._own_state = own_state
        self._on_report = on_report
        self._clock = clock
        self._heard: dict[str, _HeardPeer] = {}
        self._mentioned: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None
        self._turn = 0

    @property
    def live(self) -> tuple[PeerStatus, ...]:
        """Return the other hosts that were heard a moment ago."""
        now_s = self._clock()
        return tuple(
            peer.status
            for peer in self._heard.values()
            if now_s - peer.heard_s <= peer.valid_s
        )

    def set_seeds(self, seeds: frozenset[str]) -> None:
        """Replace the addresses that are tried before any peer was heard."""
        self._seeds = seeds - {self._own[0]}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        # The event loop's datagram transport is no subclass of this type.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take a peer's loads and the peers that it knows."""
        try:
            report = msgspec.msgpack.decode(data, type=_Report)
        except msgspec.MsgspecError:
            return
        if report.host_id == self._host_id:
            return
        valid_s = MISSED_REPORTS * report.interval_s
        store_versions = StoreVersions(report.config_version, report.registry_offset)
        status = PeerStatus(
            host_id=report.host_id,
            availability_zone=report.availability_zone,
            reads_store=report.reads_store,
            holds_duty=report.holds_duty,
            is_reader=report.is_reader,
            store_versions=store_versions,
        )
        self._heard[addr[0]] = _HeardPeer(status, self._clock(), valid_s)
        self._mentioned.update(report.peers[:MAX_KNOWN_PEERS])
        loads = {
            load.replica_id: ReplicaLoad(load.requests, load.layer_tokens)
            for load in report.loads
        }
        self._on_report(
            PeerReport(
                host_id=report.host_id,
                store_versions=store_versions,
                loads=loads,
                lost=tuple(report.lost),
                slow=report.slow,
                blames=tuple(Blame(*each) for each in report.blames),
                refused=tuple(report.refused),
                valid_s=valid_s,
            )
        )

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers; they are forgotten by their silence."""

    def send(self) -> None:
        """Send the state to the peers whose turn it is."""
        if self._transport is None or self._transport.is_closing():
            return
        now_s = self._clock()
        for address, peer in list(self._heard.items()):
            if now_s - peer.heard_s > FORGET_S:
                del self._heard[address]
                self._mentioned.discard(address)
        known = (self._seeds | self._mentioned | set(self._heard)) - {self._own[0]}
        zone = self._zone_peers()
        self._turn += 1
        self._send_to(sorted(zone), ZONE_PEERS_PER_SEND)
        self._send_to(sorted(known - zone), OTHER_PEERS_PER_SEND)

    def send_to_zone(self) -> None:
        """Send the state to all peers of the zone at once, as it holds news."""
        zone = sorted(self._zone_peers())
        if zone:
            interval_s = math.ceil(len(zone) / ZONE_PEERS_PER_SEND) * SEND_INTERVAL_S
            self._transmit(zone, interval_s)

    def _zone_peers(self) -> set[str]:
        return {
            address
            for address, peer in self._heard.items()
            if peer.status.availability_zone == self._zone
        }

    def _send_to(self, addresses: list[str], count: int) -> None:
        if not addresses:
            return
        rounds = math.ceil(len(addresses) / count)
        start = self._turn % rounds * count
        self._transmit(addresses[start : start + count], rounds * SEND_INTERVAL_S)

    def _transmit(self, addresses: list[str], interval_s: float) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        own = self._own_state()
        rows = list(own.loads.items())[:MAX_LOADS]
        report = _Report(
            host_id=self._host_id,
            availability_zone=self._zone,
            loads=[_Load(key, load.requests, load.layer_tokens) for key, load in rows],
            peers=sorted(self._heard)[:MAX_KNOWN_PEERS],
            lost=sorted(own.lost),
            reads_store=own.reads_store,
            holds_duty=own.holds_duty,
            slow=dict(own.slow),
            interval_s=interval_s,
            is_reader=own.is_reader,
            config_version=own.store_versions.config_version,
            registry_offset=own.store_versions.registry_offset,
            blames=[
                (each.digest, each.upstream_id) for each in own.blames[:MAX_BLAMES]
            ],
            refused=list(own.refused),
        )
        data = msgspec.msgpack.encode(report)
        for address in addresses:
            self._transport.sendto(data, (address, self._own[1]))
