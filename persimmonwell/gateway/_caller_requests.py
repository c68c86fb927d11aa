"""Parser of the requests of one caller, with their limits and their charges."""

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Protocol

import attrs
import httptools

from persimmonwell.core.forwarding import CallerLimits
from persimmonwell.core.resources import (
    BodyCharge,
    Charge,
    MemoryBudget,
    RefusalReason,
)
from persimmonwell.gateway._request_body import (
    COVERED_BODY_BYTES,
    Content,
    RequestBody,
    Resource,
    UploadBuffers,
)
from persimmonwell.platform import decode_request_id

REQUEST_PARTS = 32
"""Parts as which a request counts: parsing and answering it costs as much time."""
COVERED_HEAD_BYTES = 4096
"""Memory of a head that the base charge covers."""
HEADER_OBJECT_BYTES = 160
"""Memory of one header beside its bytes: a tuple and two objects."""

RawHeaders = Sequence[tuple[bytes, bytes]]


@attrs.frozen
class RawRequest:
    """Request of a caller as parsed from the connection."""

    method: str
    target: str
    host: str
    headers: RawHeaders
    """Header names are in lower case."""
    body: Content
    has_body: bool
    resources: tuple[Resource, ...] = ()
    """Charges of a large head and of the body, and its buffer."""

    @property
    def uncharged_bytes(self) -> int:
        """Return the memory of the request that has no charge of its own."""
        memory = HEADER_OBJECT_BYTES * (4 + len(self.headers)) + len(self.target)
        memory += sum(len(name) + len(value) for name, value in self.headers)
        return memory + (0 if self.resources else len(self.body))


class RequestHandler(Protocol):
    """Receiver of the connection events of one request."""

    def caller_left(self) -> None:
        """Stop all work for the request, since the caller closed its connection."""

    def set_upstream_paused(self, paused: bool) -> None:
        """Pause or resume reading from the upstream as the caller's buffer fills."""


class RequestReceiver(Protocol):
    """Receiver of what the parser finds."""

    @property
    def is_refusing(self) -> bool:
        """Return whether the message that is parsed is refused already."""

    @property
    def accepts_requests(self) -> bool:
        """Return whether further bytes of the caller can still be a request."""

    def request_parsed(self, request: RawRequest) -> None:
        """Receive a complete request."""

    def body_admitted(self) -> None:
        """Learn that the body of the current request may be sent."""

    def reject(self, status: HTTPStatus, reason: RefusalReason | None = None) -> None:
        """Refuse the current message and those after it."""

    def refuse_for_memory(self) -> None:
        """Refuse the current message as not run, since there is no room."""

    def fail(self, error: Exception) -> None:
        """Learn of a fault of the host itself."""


class RequestParser:
    """State of the message that is being received."""

    def __init__(
        self,
        receiver: RequestReceiver,
        *,
        limits: Callable[[], CallerLimits],
        budget: MemoryBudget,
        buffers: UploadBuffers,
        open_body_charge: Callable[[], BodyCharge],
    ) -> None:
        self._receiver = receiver
        self._limits = limits
        self._budget = budget
        self._buffers = buffers
        self._open_body_charge = open_body_charge
        self._parser = httptools.HttpRequestParser(self)
        self.parts = 0
        """Slices, body parts and requests that were parsed; set back by the reader."""
        self.is_last_request = False
        """Whether the caller asked to close after the last request it sent."""
        self._reset()

    def _reset(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self.body: RequestBody | None = None
        self._small_body = b""
        self._announced_bytes: int | None = 0
        self._head_charge: Charge | None = None
        self._has_body = False
        self._offers_upgrade = False
        self.expects_continue = False
        """Whether the caller waits for `100 Continue`."""
        self._framing_bytes = 0
        """Received bytes of the request since the last byte of its body."""
        self.is_receiving = False
        self.in_body = False

    @property
    def request_id(self) -> str:
        """Return the id of the request whose head is being received."""
        return decode_request_id(self._headers)

    def feed(self, data: bytes) -> None:
        """Parse bytes; reject malformed requests and oversized heads."""
        self._framing_bytes += len(data)
        self.parts += 1
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self._offers_upgrade and self._receiver.accepts_requests:
                # The parser skips the body of such a request. Its head is parsed again
                # without the offer, which RFC 9110, section 7.8, allows to ignore.
                head = self._encode_head_without_upgrade()
                self.drop_message()
                self.feed(head + data[upgrade.args[0] :])
        except httptools.HttpParserCallbackError as error:
            # A fault of the host, not of the request; nothing is promised about it.
            self._receiver.fail(error)
        except httptools.HttpParserError:
            if not self.is_last_request:
                self._receiver.reject(HTTPStatus.BAD_REQUEST)
        else:
            if self.is_receiving and self._receiver.accepts_requests:
                self._check_size()

    def _encode_head_without_upgrade(self) -> bytes:
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self._parser.get_method(), self._url, version)]
        for name, value in self._headers:
            if name == b"connection":
                options = value.split(b",")
                kept = [o for o in options if o.strip().lower() != b"upgrade"]
                value = b",".join(kept)
            if name != b"upgrade":
                lines.append(name + b": " + value)
        return b"\r\n".join((*lines, b"", b""))

    def _check_size(self) -> None:
        """Reject what exceeds the limits, and charge a head that is not small."""
        limits = self._limits()
        body = self.body
        if body is not None and body.received_bytes > limits.max_body_bytes:
            self._reject_body()
            return
        if self._framing_bytes > limits.max_header_bytes:
            self._receiver.reject(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                RefusalReason.HEAD_TOO_LARGE,
            )
            return
        if self.in_body:
            return
        head_bytes = self._framing_bytes + len(self._headers) * HEADER_OBJECT_BYTES
        if head_bytes > COVERED_HEAD_BYTES:
            if self._head_charge is None:
                self._head_charge = self._budget.open_charge("heads", is_small=True)
            if not self._head_charge.resize(max(head_bytes, self._head_charge.size)):
                self._receiver.refuse_for_memory()

    def _reject_body(self) -> None:
        self._receiver.reject(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE, RefusalReason.BODY_TOO_LARGE
        )

    def drop_message(self) -> None:
        """Drop the message that is being received, with its charges."""
        body, head_charge = self.body, self._head_charge
        self._reset()
        if body is not None:
            body.close()
        if head_charge is not None:
            head_charge.close()

    # httptools

    def on_message_begin(self) -> None:
        """Record that a request is received; the state of the last one was reset."""
        self.is_receiving = not self._receiver.is_refusing

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers of a body are not forwarded."""
        if not self.in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Refuse a body that is too large, or else ask for its room."""
        if self._parser.should_upgrade():
            if self._parser.get_method() == b"CONNECT":
                self._receiver.reject(HTTPStatus.NOT_IMPLEMENTED)
            else:
                self._offers_upgrade = True
            return
        self.in_body = True
        self._framing_bytes = 0
        for name, value in self._headers:
            if name == b"content-length":
                # int() refuses thousands of digits, also if most are zeros.
                self._announced_bytes = int(value.lstrip(b"0 ") or b"0")
                self._has_body = True
            elif name == b"transfer-encoding":
                self._announced_bytes = None
                self._has_body = True
            elif name == b"expect" and value.lower() == b"100-continue":
                self.expects_continue = True
        announced_bytes = self._announced_bytes
        if announced_bytes is not None:
            if announced_bytes > self._limits().max_body_bytes:
                self._reject_body()
                return
            if announced_bytes <= COVERED_BODY_BYTES:
                self._receiver.body_admitted()
                return
        if self._open_body().make_room(0):
            self._receiver.body_admitted()

    def _open_body(self) -> RequestBody:
        self.body = RequestBody(
            announced_bytes=self._announced_bytes,
            max_bytes=self._limits().max_body_bytes,
            buffers=self._buffers,
            open_charge=self._open_body_charge,
            clock=asyncio.get_running_loop().time,
        )
        return self.body

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._framing_bytes = 0
        self.parts += 1
        if self.body is not None:
            self.body.add(data)
        elif len(data) == self._announced_bytes:
            self._small_body = data
        elif not self._receiver.is_refusing:
            self._open_body().add(data)

    def on_message_complete(self) -> None:
        """Validate the request and hand it on."""
        self.parts += REQUEST_PARTS
        if self._receiver.is_refusing or self._offers_upgrade:
            return
        host_headers = [value for name, value in self._headers if name == b"host"]
        body, head_charge, has_body = self.body, self._head_charge, self._has_body
        max_body_bytes = self._limits().max_body_bytes
        if body is not None and body.received_bytes > max_body_bytes:
            self._reject_body()
            return
        if len(host_headers) != 1 or not self._url.startswith(b"/"):
            self._receiver.reject(HTTPStatus.BAD_REQUEST)
            return
        content: Content = self._small_body
        resources: tuple[Resource, ...] = ()
        if body is not None:
            content, resources = body.complete()
        if head_charge is not None:
            resources += (head_charge,)
        request = RawRequest(
            method=self._parser.get_method().decode("latin-1"),
            target=self._url.decode("latin-1"),
            host=host_headers[0].decode("latin-1"),
            headers=tuple(self._headers),
            body=content,
            has_body=has_body,
            resources=resources,
        )
        self._reset()
        if not self._parser.should_keep_alive():
            self.is_last_request = True
        self._receiver.request_parsed(request)
