"""Reading of a replica's bytes, against which a host's answer is compared; no I/O."""

import attrs

_SEPARATOR = b"\r\n\r\n"


@attrs.frozen
class Reading:
    """Response that bytes may be taken for."""

    status: int
    body: bytes
    is_whole: bool


def read_response(data: bytes) -> Reading | None:
    """Return the response that bytes start with, None if they start with none.

    It accepts more than a host has to: without a length, all bytes are the body.
    """
    head, separator, rest = data.partition(_SEPARATOR)
    lines = head.split(b"\r\n")
    parts = lines[0].split(b" ", 2)
    if not separator or len(parts) < 2 or not parts[1].isdigit():
        return None
    fields = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(b":") for line in lines[1:])
    }
    status = int(parts[1][:9])
    if fields.get(b"transfer-encoding", b"").lower() == b"chunked":
        return Reading(status, *_read_chunks(rest))
    length = fields.get(b"content-length", b"")
    if length.isdigit() and len(length) < 10:
        return Reading(status, rest[: int(length)], len(rest) >= int(length))
    return Reading(status, rest, True)


def _read_chunks(data: bytes) -> tuple[bytes, bool]:
    """Return the content of chunks, and whether their end was reached."""
    body = b""
    while True:
        line, separator, data = data.partition(b"\r\n")
        try:
            size = int(line.partition(b";")[0], 16)
        except ValueError:
            return body, False
        if not separator or size < 0 or len(data) < size:
            return body + data[: max(0, size)], False
        if size == 0:
            return body, True
        body += data[:size]
        data = data[size:].removeprefix(b"\r\n")


def read_events(body: bytes) -> list[bytes]:
    """Return the events of a stream without its comments."""
    blocks = body.split(b"\n\n")
    return [block for block in blocks if block and not block.startswith(b":")]
