"""Tell the other hosts what this one has sent to the upstreams.

Loads are soft state: each datagram replaces the one before, and a lost one is made up
for by the next.
"""

import asyncio
from collections.abc import Callable, Mapping

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
        own_loads: Callable[[], Mapping[str, ReplicaLoad]],
        on_loads: Callable[[str, Mapping[str, ReplicaLoad]], None],
        clock: Callable[[], float],
    ) -> None:
        self._host_id = host_id
        self._zone = availability_zone
        self._own = own
        self._seeds = seeds - {own[0]}
        self._own_loads = own_loads
        self._on_loads = on_loads
        self._clock = clock
        self._heard: dict[str, float] = {}
        self._zones: dict[str, str] = {}
        self._mentioned: set[str] = set()
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def live_peers(self) -> int:
        """Return how many other hosts were heard a moment ago."""
        limit_s = self._clock() - PEER_TIMEOUT_S
        return sum(heard_s >= limit_s for heard_s in self._heard.values())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        assert isinstance(transport, asyncio.DatagramTransport)
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take a peer's loads and the peers that it knows."""
        try:
            report = msgspec.msgpack.decode(data, type=_Report)
        except msgspec.MsgspecError:
            return
        if report.host_id == self._host_id:
            return
        self._heard[addr[0]] = self._clock()
        self._zones[addr[0]] = report.availability_zone
        self._mentioned.update(report.peers[:MAX_KNOWN_PEERS])
        loads = {
            load.replica_id: ReplicaLoad(load.requests, load.layer_tokens)
            for load in report.loads
        }
        self._on_loads(report.host_id, loads)

    def error_received(self, exc: Exception) -> None:
        """Ignore unreachable peers; they are forgotten by their silence."""

    def send(self) -> None:
        """Send the loads to every known peer."""
        if self._transport is None or self._transport.is_closing():
            return
        now_s = self._clock()
        for address, heard_s in list(self._heard.items()):
            if now_s - heard_s > 4 * PEER_TIMEOUT_S:
                del self._heard[address]
                self._mentioned.discard(address)
        targets = (self._seeds | self._mentioned | set(self._heard)) - {self._own[0]}
        rows = list(self._own_loads().items())[:MAX_LOADS]
        report = _Report(
            host_id=self._host_id,
            availability_zone=self._zone,
            loads=[_Load(key, load.requests, load.layer_tokens) for key, load in rows],
            peers=sorted(self._heard)[:MAX_KNOWN_PEERS],
        )
        data = msgspec.msgpack.encode(report)
        for target in targets:
            self._transport.sendto(data, (target, self._own[1]))
