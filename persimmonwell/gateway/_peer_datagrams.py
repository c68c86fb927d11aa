"""Tell the other hosts what this one has sent to the upstreams.

Loads are soft state: each datagram replaces the one before, and a lost one is made up
for by the next.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import cast

import attrs
import msgspec

from persimmonwell.core.forwarding import ReplicaLoad

SEND_INTERVAL_S = 0.25
PEER_TIMEOUT_S = 2.5
MAX_LOADS = 60
"""Rows in one datagram, so that it stays below a few kilobytes."""
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


@attrs.frozen
class PeerState:
    """Hold what a peer said of itself a moment ago."""

    host_id: str
    availability_zone: str
    reads_store: bool
    holds_duty: bool
    heard_s: float


@attrs.frozen
class PeerReport:
    """Hold what a peer knows of the replicas."""

    host_id: str
    loads: Mapping[str, ReplicaLoad]
    lost: tuple[str, ...]
    slow: Mapping[str, float]


@attrs.frozen
class OwnState:
    """Hold what the host tells its peers."""

    loads: Mapping[str, ReplicaLoad]
    lost: frozenset[str]
    slow: Mapping[str, float]
    reads_store: bool
    holds_duty: bool


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
        self._heard: dict[str, PeerState] = {}
        self._mentioned: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def live(self) -> tuple[PeerState, ...]:
        """Return the other hosts that were heard a moment ago."""
        limit_s = self._clock() - PEER_TIMEOUT_S
        return tuple(peer for peer in self._heard.values() if peer.heard_s >= limit_s)

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
        self._heard[addr[0]] = PeerState(
            host_id=report.host_id,
            availability_zone=report.availability_zone,
            reads_store=report.reads_store,
            holds_duty=report.holds_duty,
            heard_s=self._clock(),
        )
        self._mentioned.update(report.peers[:MAX_KNOWN_PEERS])
        loads = {
            load.replica_id: ReplicaLoad(load.requests, load.layer_tokens)
            for load in report.loads
        }
        self._on_report(
            PeerReport(report.host_id, loads, tuple(report.lost), report.slow)
        )

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers; they are forgotten by their silence."""

    def send(self) -> None:
        """Send the loads to every known peer."""
        if self._transport is None or self._transport.is_closing():
            return
        now_s = self._clock()
        for address, peer in list(self._heard.items()):
            if now_s - peer.heard_s > 4 * PEER_TIMEOUT_S:
                del self._heard[address]
                self._mentioned.discard(address)
        targets = (self._seeds | self._mentioned | set(self._heard)) - {self._own[0]}
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
        )
        data = msgspec.msgpack.encode(report)
        for target in targets:
            self._transport.sendto(data, (target, self._own[1]))
