"""Pool of the connections to upstreams."""

import asyncio
import socket
from collections.abc import Callable, Collection

from persimmonwell.core.resources import SocketBuffers
from persimmonwell.gateway._http_connection import MatchAnswer, UpstreamConnection
from persimmonwell.gateway._socket_options import set_buffer_sizes

CONNECT_TIMEOUT_S = 0.5
"""Far above the round-trip time within a region. A lost SYN is retransmitted only after
a second, so it is better to try another upstream."""


class ConnectionPool:
    """Pool of idle connections by address."""

    def __init__(
        self,
        *,
        match_answer: MatchAnswer,
        clock: Callable[[], float],
        default_idle_timeout_s: float,
        buffers: SocketBuffers | None = None,
    ) -> None:
        self._match_answer = match_answer
        self._clock = clock
        self._default_idle_timeout_s = default_idle_timeout_s
        self._buffers = buffers or SocketBuffers()
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened_count = 0
        """Connection attempts since the start."""

    def acquire_idle(
        self,
        address: str,
        *,
        max_idle_s: float,
        excluded: Collection[UpstreamConnection] = (),
    ) -> UpstreamConnection | None:
        """Return the most recently used connection that is within its idle limit.

        The excluded connections stay in the pool.
        """
        connections = self._idle.get(address, [])
        for connection in reversed(list(connections)):
            if connection in excluded and connection.is_open:
                continue
            connections.remove(connection)
            if not connection.is_open:
                continue
            idle_s = self._clock() - connection.idle_since_s
            if idle_s > min(max_idle_s, self._idle_timeout_s(connection)):
                connection.close()
                continue
            return connection
        return None

    def _idle_timeout_s(self, connection: UpstreamConnection) -> float:
        # The margin covers the time that a request takes to reach the replica, which
        # may close the connection at its limit.
        advertised_s = connection.keep_alive_s
        return (
            self._default_idle_timeout_s
            if advertised_s is None
            else max(0.0, advertised_s - 0.5)
        )

    async def connect(self, address: str) -> UpstreamConnection:
        """Open a connection.

        Raises OSError or TimeoutError.
        """
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            sock = await self._open_socket(address)
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(
                    match_answer=self._match_answer,
                    on_idle=self._put_idle,
                    on_lost=self._remove,
                ),
                sock=sock,
            )
        connection.address = address
        return connection

    async def _open_socket(self, address: str) -> socket.socket:
        """Connect a socket whose buffers have their size from the first packet on."""
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            set_buffer_sizes(
                sock,
                receive_bytes=self._buffers.upstream_receive_bytes,
                send_bytes=self._buffers.upstream_send_bytes,
            )
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (host, int(port)))
        except BaseException:
            sock.close()
            raise
        return sock

    def _put_idle(self, connection: UpstreamConnection) -> None:
        connection.idle_since_s = self._clock()
        self._idle.setdefault(connection.address, []).append(connection)

    def _remove(self, connection: UpstreamConnection) -> None:
        connections = self._idle.get(connection.address, [])
        if connection in connections:
            connections.remove(connection)

    def close_expired(self) -> None:
        """Close connections whose idle time is over their limit."""
        for address, connections in list(self._idle.items()):
            for connection in list(connections):
                idle_s = self._clock() - connection.idle_since_s
                if idle_s > self._idle_timeout_s(connection) or not connection.is_open:
                    connections.remove(connection)
                    connection.close()
            if not connections:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()
