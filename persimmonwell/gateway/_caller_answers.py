"""Writing of answers to one caller, and how far the caller has taken them."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}".encode()
    for status in HTTPStatus
}


class AnswerWriter:
    """Bytes that were written to one caller."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.is_paused = False
        """Whether the caller takes no bytes at present."""
        self._written_bytes = 0
        self._taken_bytes = 0
        self.taken_s = 0.0
        """When the caller last took bytes, as far as was checked."""

    @property
    def is_open(self) -> bool:
        """Return whether anything can still be written."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Return how many written bytes the kernel has not taken."""
        return self.transport.get_write_buffer_size() if self.transport else 0

    def write(self, data: bytes | bytearray) -> None:
        """Write bytes, unless the connection is closing."""
        transport = self.transport
        if transport is not None and not transport.is_closing():
            self._written_bytes += len(data)
            transport.write(data)

    def take_progress(self, now_s: float) -> int | None:
        """Return how many bytes were taken since the last call.

        None if there are unsent bytes of which the caller took none.
        """
        unsent_bytes = self.unsent_bytes
        taken_bytes = self._written_bytes - unsent_bytes
        if unsent_bytes and taken_bytes == self._taken_bytes:
            return None
        taken_since = max(0, taken_bytes - self._taken_bytes)
        self._taken_bytes, self.taken_s = taken_bytes, now_s
        return taken_since

    def is_unread(self, unread_s: float, now_s: float) -> bool:
        """Return whether the caller took nothing of unsent bytes for a time."""
        return bool(self.unsent_bytes) and now_s - self.taken_s >= unread_s


def encode_answer_head(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body_bytes: int | None,
    *,
    is_last: bool,
) -> bytes:
    """Return the head of an answer, which is chunked without a size of its body."""
    lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d Unknown" % status]
    lines += [name + b": " + value for name, value in headers]
    if is_last:
        lines.append(b"connection: close")
    if body_bytes is None:
        lines.append(b"transfer-encoding: chunked\r\n\r\n")
    else:
        lines.append(b"content-length: %d\r\n\r\n" % body_bytes)
    return b"\r\n".join(lines)


def encode_chunk(data: bytes | bytearray) -> bytes:
    """Return a chunk of an answer with chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)  # type: ignore[str-format]
