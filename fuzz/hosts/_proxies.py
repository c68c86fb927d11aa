"""Filters of proxies that apply the changes of a run, and the proxy of datagrams."""

import base64
import binascii
import re
import socket
import threading
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence

import attrs

from fuzz.hosts._changes import TEXT_KINDS, Change, Kind, Side, alter, place
from standins.proxy import Filter

_ADDRESS = re.compile(rb"\d+\.\d+\.\d+\.\d+")
_BASE64 = re.compile(rb"[A-Za-z0-9+/=]{16,}")
_REQUEST_ID = re.compile(rb"(?i)\r\nrequest-id: *([0-9a-z]+)\r\n")
_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)\r\n")
MAX_DATAGRAM_BYTES = 65_536


class ChangeTable:
    """Changes of a run by message, and those that were applied."""

    def __init__(self, changes: Iterable[Change]) -> None:
        self._changes = {(each.side, each.number): each for each in changes}
        self._lock = threading.Lock()
        self._counts: dict[Side, int] = defaultdict(int)
        self.is_active = True
        """Whether messages are still changed."""
        self.applied: list[Change] = []

    def next_change(self, side: Side) -> Change | None:
        """Count a message of a side while changes are made; return its change."""
        with self._lock:
            if not self.is_active:
                return None
            number = self._counts[side]
            self._counts[side] += 1
        return self.change(side, number)

    def of_side(self, side: Side) -> list[Change]:
        """Return the changes of a side in the order of its messages."""
        changes = [each for each in self._changes.values() if each.side is side]
        return sorted(changes, key=lambda each: each.number)

    def change(self, side: Side, number: int) -> Change | None:
        """Return the change of a message."""
        return self._changes.get((side, number)) if self.is_active else None

    def alter(self, change: Change, data: bytes, at: int) -> bytes:
        """Return changed data, unless it names an address outside loopback."""
        altered = alter(change, data, at)
        if not stays_on_loopback(altered):
            return data
        self.record(change)
        return altered

    def record(self, change: Change) -> None:
        """Count a change as applied."""
        self.applied.append(change)


@attrs.define
class Delivery:
    """Message as it was sent, and as the host got it."""

    change: Change | None = None
    sent: bytes = b""
    delivered: bytes = b""
    is_altered: bool = False


class Deliveries:
    """Messages that belong to requests, by the id of the request."""

    def __init__(
        self, table: ChangeTable, side: Side, request_ids: Sequence[str]
    ) -> None:
        self._table = table
        self._side = side
        self._numbers = {each: number for number, each in enumerate(request_ids)}
        self.by_request: dict[str, list[Delivery]] = defaultdict(list)

    def is_altered(self, request_id: str) -> bool:
        """Return whether a host got other bytes of a message than were sent."""
        return any(each.is_altered for each in self.by_request.get(request_id, ()))

    def start(self, request: bytes) -> Delivery | None:
        """Return the delivery of a new message, None if the bytes start none."""
        match = _REQUEST_ID.search(request)
        if match is None:
            return None
        request_id = match[1].decode()
        deliveries = self.by_request[request_id]
        delivery = Delivery()
        number = self._numbers.get(request_id)
        if not deliveries and number is not None:
            delivery.change = self._table.change(self._side, number)
        deliveries.append(delivery)
        return delivery

    def open_request_filter(self) -> Filter:
        """Return the filter of a connection whose caller's bytes are changed."""
        forward = _open_forward(self._table, joins=True)
        delivery: Delivery | None = None

        def change_request(data: bytes, from_server: bool) -> Iterable[_Piece]:
            nonlocal delivery
            if from_server:
                return ((0.0, data),)
            delivery = self.start(data) or delivery
            return forward(delivery, data) if delivery else ((0.0, data),)

        return change_request

    def open_response_filter(self) -> Filter:
        """Return the filter of a connection whose server's bytes are changed."""
        forward = _open_forward(self._table)
        delivery: Delivery | None = None

        def change_response(data: bytes, from_server: bool) -> Iterable[_Piece]:
            nonlocal delivery
            if not from_server:
                if data.startswith((b"POST ", b"GET ")):
                    delivery = self.start(data)
                return ((0.0, data),)
            return forward(delivery, data) if delivery else ((0.0, data),)

        return change_response


_Piece = tuple[float, bytes]


def open_store_filter(table: ChangeTable) -> Filter:
    """Return the filter of a connection to the store, whose answers are changed."""
    forward = _open_forward(table)
    delivery = Delivery()

    def change_answer(data: bytes, from_server: bool) -> Iterable[_Piece]:
        nonlocal delivery
        if not from_server:
            delivery = Delivery(table.next_change(Side.STORE))
            return ((0.0, data),)
        return forward(delivery, data)

    return change_answer


def _open_forward(
    table: ChangeTable, *, joins: bool = False
) -> Callable[[Delivery, bytes], Iterable[_Piece]]:
    """Return the changes of one direction of one connection.

    With joins, bytes that come late change the message that they precede. A caller has
    sent them itself then, while a replica's belong to no request.
    """
    late = b""
    last: Delivery | None = None

    def forward(delivery: Delivery, data: bytes) -> Iterator[_Piece]:
        nonlocal late, last
        if last is not delivery and last is not None and not last.is_altered:
            change = last.change
            if change is not None and change.kind is Kind.LATE:
                late = last.sent[: change.position]
                # A caller that sends a request again has sent it twice.
                last.is_altered = joins
                table.record(change)
        last = delivery
        prefix, late = late, b""
        if joins and prefix:
            delivery.change, delivery.is_altered = None, True
            delivery.delivered += prefix
        at = len(delivery.sent)
        delivery.sent += data
        change = delivery.change
        if change is None or change.kind is Kind.LATE:
            delivery.delivered += data
            yield 0.0, prefix + data
            return
        index = change.position - at
        if change.kind is Kind.REPEAT:
            delivery.delivered += data
            yield 0.0, prefix + data
            if not delivery.is_altered and _is_whole(delivery.sent):
                delivery.is_altered = True
                table.record(change)
                yield 0.0, delivery.sent
            return
        if delivery.is_altered and change.kind is Kind.LOSE:
            return
        if not 0 <= index < len(data) or delivery.is_altered:
            delivery.delivered += data
            yield 0.0, prefix + data
            return
        if change.kind in TEXT_KINDS:
            altered = table.alter(change, data, index)
            delivery.is_altered = altered != data
            delivery.delivered += altered
            yield 0.0, prefix + altered
            return
        delivery.is_altered = True
        table.record(change)
        delivery.delivered += data[:index]
        yield 0.0, prefix + data[:index]
        if change.kind is Kind.CUT:
            raise ConnectionError("cut by the fuzzer")
        if change.kind is Kind.DELAY:
            delivery.delivered += data[index:]
            yield change.pause_s, data[index:]

    return forward


def _is_whole(message: bytes) -> bool:
    head, separator, body = message.partition(b"\r\n\r\n")
    length = _LENGTH.search(head + b"\r\n")
    if length is not None:
        return bool(separator) and len(body) >= int(length[1])
    return body.endswith(b"0\r\n\r\n")


def stays_on_loopback(data: bytes) -> bool:
    """Return whether all addresses in bytes, also in base64, are of loopback.

    A changed address would make a host connect to another machine.
    """
    texts = [data]
    for match in _BASE64.finditer(data):
        try:
            texts.append(base64.b64decode(match[0]))
        except binascii.Error:
            continue
    return all(
        address.startswith(b"127.")
        for text in texts
        for address in _ADDRESS.findall(text)
    )


class DatagramProxy:
    """Passes the datagrams of two hosts to each other and changes some of them.

    Each host knows the proxy as its only peer, since datagrams name only the addresses
    that their sender has heard from.
    """

    def __init__(
        self, ip: str, port: int, hosts: list[str], table: ChangeTable
    ) -> None:
        self._table = table
        self._port = port
        self._others = dict(zip(hosts, reversed(hosts), strict=True))
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((ip, port))
        self._previous = b""
        self._held: list[bytes] = []
        """Datagrams that are sent after the next one."""
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def start(self) -> None:
        """Start forwarding in a background thread."""
        self._thread.start()

    def close(self) -> None:
        """Stop forwarding."""
        # An empty datagram ends the thread, which a close alone would not wake up.
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(b"", self._socket.getsockname())
        self._thread.join()
        self._socket.close()

    def _serve(self) -> None:
        while True:
            data, (sender, _) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            if not data:
                return
            target = self._others.get(sender)
            if target is None:
                continue
            for piece in self._change(data):
                try:
                    self._socket.sendto(piece, (target, self._port))
                except OSError:
                    # A datagram that became too long, or a host that has ended.
                    continue

    def _change(self, data: bytes) -> list[bytes]:
        previous, self._previous = self._previous, data
        held, self._held = self._held, []
        change = self._table.next_change(Side.PEERS)
        if change is None:
            return [data, *held]
        if change.kind in (*TEXT_KINDS, Kind.CUT):
            return [data, self._table.alter(change, data, place(change, data))]
        self._table.record(change)
        if change.kind is Kind.DELAY:
            self._held = [data]
        if change.kind in (Kind.LOSE, Kind.DELAY):
            return held
        return [data, data] if change.kind is Kind.REPEAT else [data, previous]
