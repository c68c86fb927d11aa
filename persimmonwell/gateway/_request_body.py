"""Body of one request while it is received, and the memory that is charged for it."""

import contextlib
import mmap
from collections.abc import Callable
from typing import Protocol

from persimmonwell.core.resources import (
    SMALL_BODY_BYTES,
    UPLOAD_BUFFER_BYTES,
    BodyCharge,
    CallerPolicy,
    Progress,
)

Content = bytes | bytearray | memoryview

COVERED_BODY_BYTES = 4096
"""Size up to which a body is covered by the base charge of its connection."""
SMALL_STEP_BYTES = 16_384
STEP_BYTES = 262_144
"""Steps in which room is asked for a body without an announced length."""
SLICE_MARGIN_BYTES = 65_536
"""Bytes over the limit in one slice, at the most."""
UPLOAD_READ_BYTES = 262_144
"""Largest read of an upload of announced length that has room; reads of 64 KB cost a
tenth more CPU time."""
UPLOAD_OVERHEAD_BYTES = UPLOAD_READ_BYTES + 65_536 + UPLOAD_BUFFER_BYTES
"""Charged with an upload beside its body: a slice that was read, or is sent, and the
kernel's buffer of the bytes to read, or to send."""


class Resource(Protocol):
    """What a request holds and gives back with its end."""

    def close(self) -> None:
        """Give it back; later calls have no effect."""


class UploadBuffers:
    """Buffers of uploads, of which one is kept for the next upload.

    They are private mappings: on the heap, 40 uploads of 4 MB left the allocator with
    up to 100 MB of fragments. The page faults of a new mapping cost a tenth of the CPU
    time of an upload, which the spare one avoids while uploads come one by one.
    """

    def __init__(self, *, may_keep: Callable[[], bool] = lambda: True) -> None:
        self._may_keep = may_keep
        self._spare: mmap.mmap | None = None

    def take(self, size: int) -> mmap.mmap:
        """Return a buffer of this size."""
        spare, self._spare = self._spare, None
        return (
            spare if spare is not None and len(spare) == size else _create_mapping(size)
        )

    def give_back(self, mapping: mmap.mmap) -> None:
        """Keep a buffer, unless one is kept already or something still refers to it."""
        if self._spare is not None or not self._may_keep():
            return
        try:
            # Refused while a view of the buffer exists, which may be written yet.
            mapping.resize(len(mapping))
        except (BufferError, OSError, SystemError):
            return
        self._spare = mapping


class BufferLease:
    """Buffer of one upload up to the end of its request."""

    __slots__ = ("_buffers", "mapping")

    def __init__(self, buffers: UploadBuffers, size: int) -> None:
        self._buffers = buffers
        self.mapping = buffers.take(size)

    def close(self) -> None:
        """Give the buffer back."""
        mapping, self.mapping = self.mapping, _NO_MAPPING
        if mapping is not _NO_MAPPING:
            self._buffers.give_back(mapping)


class RequestBody:
    """Body in one buffer that is filled as far as room is granted."""

    __slots__ = (
        "_announced_bytes",
        "_buffers",
        "_charge",
        "_clock",
        "_content",
        "_lease",
        "_max_bytes",
        "_open_charge",
        "_progress",
        "received_bytes",
    )

    def __init__(
        self,
        *,
        announced_bytes: int | None,
        max_bytes: int,
        buffers: UploadBuffers,
        open_charge: Callable[[], BodyCharge],
        clock: Callable[[], float],
    ) -> None:
        self.received_bytes = 0
        self._announced_bytes = announced_bytes
        self._max_bytes = max_bytes
        self._buffers = buffers
        self._open_charge = open_charge
        self._clock = clock
        self._content: bytes | bytearray = b""
        self._lease: BufferLease | None = None
        """Content of an upload."""
        self._charge: BodyCharge | None = None
        self._progress: Progress | None = None

    @property
    def is_chunked(self) -> bool:
        """Return whether the length is not announced."""
        return self._announced_bytes is None

    @property
    def is_waiting(self) -> bool:
        """Return whether the body waits for room."""
        return self._charge is not None and self._charge.is_waiting

    @property
    def covers_unparsed(self) -> bool:
        """Return whether the charge covers a slice that was read and not parsed."""
        return self._charge is not None and self._charge.holds_room

    @property
    def unreceived_bytes(self) -> int:
        """Return how many bytes are missing of an announced length."""
        return (self._announced_bytes or 0) - self.received_bytes

    @property
    def max_rest_bytes(self) -> int:
        """Return how many bytes may follow within the limits."""
        if self._announced_bytes is not None:
            return self.unreceived_bytes
        return max(0, self._max_bytes - self.received_bytes)

    def has_room_for(self, count: int) -> bool:
        """Return whether a part of an upload with its whole room is within its length.

        It may be False where make_room is True.
        """
        charge = self._charge
        return (
            charge is not None
            and self._announced_bytes is not None
            and charge.holds_room
            and not charge.is_waiting
            and count <= self._announced_bytes - self.received_bytes
        )

    def make_room(self, count: int) -> bool:
        """Return whether further bytes may be received now; if not, wait for room."""
        size = self.received_bytes + count
        if self._announced_bytes is not None:
            size = self._announced_bytes
        if size <= COVERED_BODY_BYTES:
            return True
        overhead = 0
        if size > SMALL_BODY_BYTES:
            overhead = UPLOAD_OVERHEAD_BYTES
            if self._announced_bytes is None:
                # A slice that reaches over the limit is covered by the overhead.
                size = -(-size // STEP_BYTES) * STEP_BYTES
                size = min(size, max(self._max_bytes, SMALL_BODY_BYTES + 1))
        elif self._announced_bytes is None:
            size = -(-size // SMALL_STEP_BYTES) * SMALL_STEP_BYTES
        if self._charge is None:
            self._charge = self._open_charge()
            self._progress = self._charge.progress
        if size + overhead <= self._charge.size:
            return True
        if self._charge.is_waiting:
            return False
        claim = size if self._announced_bytes is not None else self._max_bytes
        return self._charge.request(
            size + overhead, self._clock(), claim=claim + overhead, overhead=overhead
        )

    def add(self, data: bytes) -> None:
        """Append a part that make_room has made room for."""
        start = self.received_bytes
        self.received_bytes += len(data)
        if self._charge is not None:
            self._charge.add_received(len(data), self._clock())
        elif self._progress is not None:
            self._progress.add(len(data), self._clock())
        if self._announced_bytes == len(data) or not (start or self._announced_bytes):
            self._content = data
            return
        if self._lease is None and self.received_bytes > SMALL_BODY_BYTES:
            size = self._max_bytes + SLICE_MARGIN_BYTES
            self._lease = BufferLease(self._buffers, size)
            self._lease.mapping[:start] = self._content
            self._content = b""
        if self._lease is not None:
            self._lease.mapping[start : self.received_bytes] = data
            return
        if not isinstance(self._content, bytearray):
            self._content = bytearray(self._content)
        self._content += data

    def set_paused(self, paused: bool) -> None:
        """Record that the host itself reads nothing, or reads on."""
        if self._progress is None:
            return
        if paused:
            self._progress.pause(self._clock())
        else:
            self._progress.resume(self._clock())

    def is_too_slow(self, policy: CallerPolicy, now_s: float) -> bool:
        """Return whether the body came in below the least rate for a whole window."""
        if self._progress is None:
            # Small bodies are observed only if they take longer than one check.
            self._progress = Progress(now_s)
        return self._progress.is_below(
            policy.min_body_bytes_per_s, policy.body_window_s, now_s
        )

    def complete(self) -> tuple[Content, tuple[Resource, ...]]:
        """Return the content, and what is to be closed at the end of its request."""
        content: Content = self._content
        resources: tuple[Resource, ...] = ()
        if self._charge is not None:
            self._charge.end_receiving()
            resources = (self._charge,)
        if self._lease is not None:
            content = memoryview(self._lease.mapping)[: self.received_bytes]
            resources += (self._lease,)
        return content, resources

    def close(self) -> None:
        """Drop the content and credit its room back."""
        self._content = b""
        if self._lease is not None:
            self._lease.close()
        if self._charge is not None:
            self._charge.close()


def _create_mapping(size: int) -> mmap.mmap:
    """Return private memory that takes room as it is written, and none after use."""
    mapping = mmap.mmap(-1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
    # A huge page would take 2 MB with its first byte. Kernels may lack this advice.
    with contextlib.suppress(OSError):
        mapping.madvise(mmap.MADV_NOHUGEPAGE)
    return mapping


_NO_MAPPING = mmap.mmap(-1, mmap.PAGESIZE)
