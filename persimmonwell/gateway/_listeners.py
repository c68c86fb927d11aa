"""Listening sockets of a host: callers, readiness, metrics, control and peers."""

import asyncio
import socket
import time
from collections.abc import Callable

from persimmonwell.core.resources import (
    RECEIVE_BUFFER_BYTES,
    STATUS_BUFFER_BYTES,
    MemoryBudget,
    Pacer,
)
from persimmonwell.gateway._socket_options import set_buffer_sizes
from persimmonwell.gateway._status_server import (
    ACCEPTS_PER_TURN as STATUS_ACCEPTS_PER_TURN,
)
from persimmonwell.gateway._status_server import Answer, StatusServer
from persimmonwell.settings import Endpoint, ForwarderSettings

BACKLOG = 1024
"""Listen backlog; when it is full, new connections are delayed by seconds."""
ACCEPTS_PER_TURN = 32
"""Connections of callers that are accepted in one turn of the event loop. Each is
counted two turns later, so that up to 64 exceed the bound for that time."""


class Listeners:
    """Listening sockets and the status servers behind some of them."""

    def __init__(
        self,
        settings: ForwarderSettings,
        *,
        create_caller_connection: Callable[[], asyncio.BaseProtocol],
        answer_readiness: Callable[[str], Answer],
        answer_control: Callable[[str], Answer],
        answer_peers_and_metrics: Callable[[str], Answer],
        record_client: Callable[[str, str], None],
        budget: MemoryBudget,
    ) -> None:
        self._settings = settings
        self._create_caller_connection = create_caller_connection
        self._answer_readiness = answer_readiness
        self._answer_control = answer_control
        self._answer_peers_and_metrics = answer_peers_and_metrics
        self._record_client = record_client
        self._budget = budget
        self._status_pacer = Pacer()
        self._servers: list[asyncio.Server] = []
        self._status_servers: list[StatusServer] = []
        self._callers_socket: socket.socket | None = None

    @property
    def status_connection_count(self) -> int:
        """Return how many clients of the status servers are connected."""
        return sum(each.connection_count for each in self._status_servers)

    async def open(self, datagrams: asyncio.DatagramProtocol) -> None:
        """Listen on all ports; raise OSError if one cannot be opened."""
        loop = asyncio.get_running_loop()
        settings = self._settings
        await self._listen_for_status(settings.readiness, self._answer_readiness)
        metrics = Endpoint(settings.ip, settings.metrics_port)
        await self._listen_for_status(metrics, self._answer_peers_and_metrics)
        if settings.control is not None:
            await self._listen_for_status(settings.control, self._answer_control)
        self._callers_socket = await self._listen(
            settings.callers,
            self._create_caller_connection,
            accepts_per_turn=ACCEPTS_PER_TURN,
            # A connection that shrank its buffer after the accept would drop packets
            # that it has invited, whose senders back off for seconds.
            buffer_bytes=RECEIVE_BUFFER_BYTES,
        )
        await loop.create_datagram_endpoint(
            lambda: datagrams, local_addr=(settings.ip, settings.peer_port)
        )

    async def _listen_for_status(
        self, endpoint: Endpoint, answer: Callable[[str], Answer]
    ) -> None:
        status_server = StatusServer(
            answer,
            clock=time.monotonic,
            on_terminated=lambda reason: self._record_client("terminated", reason),
            charge=self._budget.open_charge("status"),
            pacer=self._status_pacer,
        )
        self._status_servers.append(status_server)
        await self._listen(
            endpoint,
            status_server.create_connection,
            accepts_per_turn=STATUS_ACCEPTS_PER_TURN,
            buffer_bytes=STATUS_BUFFER_BYTES,
        )

    async def _listen(
        self,
        endpoint: Endpoint,
        factory: Callable[[], asyncio.BaseProtocol],
        *,
        accepts_per_turn: int,
        buffer_bytes: int,
    ) -> socket.socket:
        loop = asyncio.get_running_loop()
        listener = socket.create_server((endpoint.host, endpoint.port), backlog=BACKLOG)
        set_buffer_sizes(listener, receive_bytes=buffer_bytes, send_bytes=buffer_bytes)
        listener.setblocking(False)
        # The event loop accepts up to `backlog` connections in one turn, and only then
        # counts them; the length of the kernel's queue is set again afterwards.
        server = await loop.create_server(
            factory, sock=listener, backlog=accepts_per_turn
        )
        listener.listen(BACKLOG)
        self._servers.append(server)
        return listener

    async def stop_callers(self) -> None:
        """Close the callers' listener, but keep the connections in its queue.

        The kernel resets a connection that was not accepted when the listener closes.
        """
        loop = asyncio.get_running_loop()
        assert self._callers_socket is not None
        for _ in range(BACKLOG):
            try:
                connection, _ = self._callers_socket.accept()
            except OSError:
                # The queue is empty, or no descriptor is left; the stop goes on.
                break
            connection.setblocking(False)
            # Connected one at a time, so that each is counted before the next one.
            await loop.connect_accepted_socket(
                self._create_caller_connection, connection
            )
        self._servers[-1].close()

    def close(self) -> None:
        """Close all sockets and the connections of the status servers."""
        for server in self._servers:
            server.close()
        for status_server in self._status_servers:
            status_server.close()
