"""Tests of the kernel's buffers of callers' connections, over loopback sockets."""

import asyncio
import socket

from persimmonwell.core.forwarding import CallerLimits
from persimmonwell.core.resources import (
    RECEIVE_BUFFER_BYTES,
    UPLOAD_BUFFER_BYTES,
    MemoryBudget,
    SocketBuffers,
)
from persimmonwell.gateway._caller_connection import CallerConnection
from persimmonwell.gateway._socket_options import set_buffer_sizes

BODY_BYTES = 1_000_000
SIZES = SocketBuffers(send_bytes=16_384)
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES


def test_only_an_upload_that_has_room_gets_a_large_buffer() -> None:
    """Guards against buffers that all connections fill, and against slow uploads.

    The window of an upload is scaled, which is decided when the connection opens.
    """

    async def run() -> None:
        connection = CallerConnection(
            limits=lambda: CallerLimits(max_body_bytes=BODY_BYTES),
            on_request=lambda caller, request: None,
            is_draining=lambda: False,
            on_open_change=lambda caller, is_open: None,
            budget=MemoryBudget(),
            socket_buffers=SIZES,
        )
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0))
        set_buffer_sizes(listener, receive_bytes=UPLOAD_BUFFER_BYTES)
        server = await loop.create_server(lambda: connection, sock=listener)
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        sizes = []
        for data in (b"", HEAD + bytes(100_000), bytes(BODY_BYTES - 100_000)):
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(0.2)
            assert connection._transport is not None
            accepted = connection._transport.get_extra_info("socket")
            options = (socket.SO_RCVBUF, socket.SO_SNDBUF)
            sizes.append(
                tuple(accepted.getsockopt(socket.SOL_SOCKET, o) for o in options)
            )
        small, large = (RECEIVE_BUFFER_BYTES, 16_384), (UPLOAD_BUFFER_BYTES, 16_384)
        assert sizes == [small, large, small]
        info = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 8)
        # The scale of the own window is the high half of the seventh byte.
        assert info[6] >> 4 >= 1
        writer.close()
        server.close()

    asyncio.run(run())
