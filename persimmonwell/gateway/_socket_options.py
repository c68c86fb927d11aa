"""Options of the sockets of callers' and upstreams' connections."""

import asyncio
import contextlib
import socket

TCP_USER_TIMEOUT_MS = 3000
"""Time without acknowledgement after which the connection to an upstream that lost
power or its network is closed. The kernel also counts the time in which a peer that is
alive reads nothing. Callers may pause, so they have no such limit: CallerTimeOuts ends
answers that they do not read, and keep-alive probes find those that are gone."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_READ_BYTES = 65_536
"""Largest read; what is not handled at once of it stays in memory."""


def set_read_size(transport: asyncio.BaseTransport, size: int) -> None:
    """Set the size that the selector transport passes to recv, 256 KB by default.

    Other transports ignore it. BufferedProtocol is no cheaper for small reads.
    """
    transport.max_size = size  # type: ignore[attr-defined]


def set_buffer_sizes(
    sock: socket.socket | None,
    *,
    receive_bytes: int | None = None,
    send_bytes: int | None = None,
    window_bytes: int | None = None,
) -> None:
    """Set buffer sizes as the kernel counts them; it doubles what it is given.

    The window of a connection does not grow with its buffer unless it is set as well.

    A socket without such buffers, or one that is closed, is left as it is.
    """
    if sock is None:
        return
    sizes = ((socket.SO_RCVBUF, receive_bytes), (socket.SO_SNDBUF, send_bytes))
    for option, size in sizes:
        if size is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, option, size // 2)
    if window_bytes is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, window_bytes)


def set_socket_options(
    transport: asyncio.BaseTransport, *, user_timeout_ms: int | None = None
) -> None:
    """Bound reads, disable Nagle's algorithm, detect peers that stopped responding."""
    set_read_size(transport, MAX_READ_BYTES)
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
    if user_timeout_ms is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
