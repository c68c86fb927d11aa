"""Sizes of the kernel's socket buffers, which count as memory of the process."""

import attrs

from persimmonwell.core.resources._connections import (
    CLOSING_CONNECTIONS,
    UNCOUNTED_CONNECTIONS,
)
from persimmonwell.core.resources._memory import PROCESS_MB, memory_budget_bytes
from persimmonwell.core.resources._policy import CallerPolicy

MAX_BUFFER_BYTES = 131_072
"""Size that a buffer does not exceed however much memory there is: the kernel's usual
first size of a receive buffer."""
MIN_BUFFER_BYTES = 5120
"""Room for two full packets; the kernel itself takes at least 4.5 KB to send."""
UPLOAD_BUFFER_BYTES = 262_144
"""Receive buffer of an upload, and send buffer towards its upstream. At least a third
of it is window, more than the 75 KB that 100 Mbit/s need at a round trip of 6 ms."""
RECEIVE_BUFFER_BYTES = 131_072
"""Receive buffer of a caller's connection. Half of it is the window of 64 KB that each
connection is granted with its first packet; a smaller one would rule out the window
scaling that uploads need. A window is never withdrawn, so with a smaller buffer the
kernel drops packets that it has invited. The process reads what arrives, and charges
the whole buffer to the budget while it does not."""
STATUS_BUFFER_BYTES = 32_768
"""Each buffer of a connection of the status ports, which carry small requests."""
STATUS_CONNECTIONS = 96
"""Connections of the three status ports."""
MAX_UNSENT_BYTES = 65_536
"""Unsent bytes to one caller above which reading from its upstream is paused."""


@attrs.frozen
class SocketBuffers:
    """Sizes of the buffers of one caller's connection and of that to its upstream.

    Those of sockets are as the kernel counts them, its own overhead included.
    """

    send_bytes: int = MAX_BUFFER_BYTES
    upstream_receive_bytes: int = MAX_BUFFER_BYTES
    upstream_send_bytes: int = MAX_BUFFER_BYTES
    unsent_bytes: int = MAX_UNSENT_BYTES
    """Bytes of an answer that the process holds before it pauses the upstream."""


_PARTS = SocketBuffers(
    send_bytes=4,
    upstream_receive_bytes=3,
    upstream_send_bytes=2,
    unsent_bytes=2,
)
"""Parts of one connection's memory. Answers are larger than requests, and what is read
at once from an upstream comes on top of the unsent bytes."""
FIRST_SHARE = 1 / 8
"""Share of the permitted connections that get half of the memory of all: as many as are
open without a crowd."""
_REST_SHARE = 0.5 / (1 - FIRST_SHARE)
"""What the other connections get of the mean of all."""
_EXTRA_CONNECTIONS = CLOSING_CONNECTIONS + UNCOUNTED_CONNECTIONS
_ALL_PARTS = sum(attrs.astuple(_PARTS)) + _PARTS.unsent_bytes
MIN_FIRST_BYTES = 32_768
"""Size of the buffers of the first connections where the memory allows no more. With
less, an answer of some 16 KB takes further round trips."""
MIN_BUFFERED_CONNECTIONS = 512
"""Connections that a host permits however little memory it has. Only below 128 MB they
may exceed it, and only if all of them fill all buffers."""


@attrs.frozen
class BufferPlan:
    """Sizes for the connections of callers, by how many of them are open."""

    first: SocketBuffers = SocketBuffers()
    rest: SocketBuffers = SocketBuffers()
    first_count: int = 0

    def sizes_for(self, open_count: int) -> SocketBuffers:
        """Return the sizes for a further connection of a caller."""
        return self.first if open_count < self.first_count else self.rest


def buffer_plan(memory_mb: float, caller_bound: int) -> BufferPlan:
    """Return sizes with which all permitted connections fit into the memory."""
    connections = caller_bound + _EXTRA_CONNECTIONS
    part = _available_bytes(memory_mb) / connections / _ALL_PARTS
    rest = _sizes(part * _REST_SHARE, part, MIN_BUFFER_BYTES)
    first = _sizes(part / 2 / FIRST_SHARE, part, MIN_FIRST_BYTES)
    return BufferPlan(first, rest, int(caller_bound * FIRST_SHARE))


def buffered_connection_bound(memory_mb: float) -> int:
    """Return how many connections of callers may be open with the least sizes."""
    smallest_parts = (
        _PARTS.send_bytes * _REST_SHARE,
        _PARTS.upstream_send_bytes,
        _PARTS.unsent_bytes,
    )
    least = MIN_BUFFER_BYTES / min(smallest_parts) * _ALL_PARTS
    bound = int(_available_bytes(memory_mb) / least) - _EXTRA_CONNECTIONS
    return max(MIN_BUFFERED_CONNECTIONS, bound)


def _available_bytes(memory_mb: float) -> float:
    """Return what the connections of callers and to upstreams may take.

    What the process itself, the budget, the uploads that wait and the status ports take
    is set aside.
    """
    mebibyte = 1024 * 1024
    waiting = CallerPolicy().max_waiting_uploads * RECEIVE_BUFFER_BYTES
    status = 2 * STATUS_CONNECTIONS * STATUS_BUFFER_BYTES
    reserved = PROCESS_MB * mebibyte + memory_budget_bytes(memory_mb) + waiting + status
    return memory_mb * mebibyte - reserved


def _sizes(caller_part: float, part: float, min_caller_bytes: int) -> SocketBuffers:
    """Return the sizes for one part of the buffer to a caller and of the others.

    Connections to upstreams are shared by callers, so their buffers are all alike.
    """

    def size(bytes_: float, least: int, most: int = MAX_BUFFER_BYTES) -> int:
        return int(min(most, max(least, bytes_)))

    return SocketBuffers(
        send_bytes=size(caller_part * _PARTS.send_bytes, min_caller_bytes),
        upstream_receive_bytes=size(
            part * _PARTS.upstream_receive_bytes, MIN_BUFFER_BYTES
        ),
        upstream_send_bytes=size(part * _PARTS.upstream_send_bytes, MIN_BUFFER_BYTES),
        unsent_bytes=size(
            part * _PARTS.unsent_bytes, MIN_BUFFER_BYTES, MAX_UNSENT_BYTES
        ),
    )
