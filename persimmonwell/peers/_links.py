"""ZeroMQ links between entry hosts, optionally authenticated with CURVE keys."""

import contextlib
import socket
import threading
import time
from collections import Counter, deque
from collections.abc import Callable

import attrs
import zmq
from zmq.utils.monitor import recv_monitor_message
from zmq.utils.z85 import encode as z85_encode

from persimmonwell.core.membership import PeerMessage
from persimmonwell.peers._messages import (
    MAX_FRAME_BYTES,
    MalformedFrameError,
    decode_message,
    encode_message,
)

HIGH_WATER_MARK_MESSAGES = 256
"""Queued messages per peer; more are dropped, because newer state replaces older."""
MAX_OUTBOX_MESSAGES = 4096
IDLE_LINK_TIMEOUT_S = 60.0
MAX_ROUTES = 2048
KEY_ATTEMPT_TIMEOUT_S = 10.0
"""A link that accepts no message for this long is reopened with the next key."""
POLL_TIMEOUT_MS = 500
MAX_FRAMES_PER_READ = 64
"""Frames read from one socket before the other sockets are served."""
ZAP_ENDPOINT = "inproc://zeromq.zap.01"
CONNECTION_COUNTERS = {
    zmq.Event.ACCEPTED: "accepted_connections",
    zmq.Event.HANDSHAKE_SUCCEEDED: "completed_handshakes",
    zmq.Event.HANDSHAKE_FAILED_AUTH: "refused_handshakes",
    zmq.Event.HANDSHAKE_FAILED_PROTOCOL: "refused_handshakes",
    zmq.Event.HANDSHAKE_FAILED_NO_DETAIL: "refused_handshakes",
}
"""Counter by monitor event. Connections that do not speak ZeroMQ are closed without a
failure event; they show as accepted connections without a completed handshake."""


@attrs.frozen
class CurveKeys:
    """CURVE keys of one host and the public keys it accepts, Z85-encoded."""

    public_key: str
    secret_key: str
    peer_public_keys: tuple[str, ...]
    """Accepted public keys. "host-id key" binds a key to one host. A key alone is
    shared by hosts; links to hosts without a bound key try these in this order."""

    def host_bound_to(self, public_key: str) -> str | None:
        """Return the host id a key is bound to, "" if shared, None if not accepted."""
        for entry in self.peer_public_keys:
            name, _, key = entry.rpartition(" ")
            if key == public_key:
                return name
        return None

    def server_keys_for(self, host_id: str) -> tuple[str, ...]:
        """Return the public keys that a host may use as a server."""
        entries = [entry.rpartition(" ") for entry in self.peer_public_keys]
        bound = tuple(key for name, _, key in entries if name == host_id)
        return bound or tuple(key for name, _, key in entries if not name)


@attrs.frozen
class _Outgoing:
    host_id: str
    address: str
    frame: bytes


@attrs.define
class _Link:
    socket: "zmq.Socket[bytes]"
    address: str
    last_used_s: float
    """Time when a message was last handed to the link."""
    last_accepted_s: float
    """Time when the socket last accepted a message, or was opened."""


class PeerLinks:
    """Peer port and outgoing links of one host.

    All sockets belong to one thread; other threads pass messages to it through a
    bounded queue.
    """

    def __init__(
        self,
        *,
        address: str,
        on_message: Callable[[PeerMessage], None],
        curve: CurveKeys | None = None,
    ) -> None:
        self._curve = curve
        self._on_message = on_message
        self._counts: Counter[str] = Counter()
        self._outbox: deque[_Outgoing] = deque()
        self._links: dict[str, _Link] = {}
        self._routes: dict[str, tuple[bytes, float]] = {}
        self._key_attempts: Counter[str] = Counter()
        self._stopping = threading.Event()
        self._context = zmq.Context()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._wake_write.setblocking(False)
        self._zap = self._open_zap() if curve is not None else None
        self._router = self._open_router(address)
        self._monitor = self._router.get_monitor_socket(sum(CONNECTION_COUNTERS))
        self._thread = threading.Thread(target=self._run, daemon=True, name="peers")

    @property
    def address(self) -> str:
        """Return the bound address, numeric IP and port."""
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        return endpoint.removeprefix("tcp://")

    @property
    def counts(self) -> dict[str, int]:
        """Return counts of messages, bytes, connections and refusals, by name."""
        return dict(self._counts)

    def start(self) -> None:
        """Start the thread that sends and receives messages."""
        self._thread.start()

    def close(self) -> None:
        """Stop the thread and close all sockets."""
        self._stopping.set()
        self._wake()
        if self._thread.is_alive():
            self._thread.join()
        self._router.disable_monitor()
        self._context.destroy(linger=0)
        self._wake_read.close()
        self._wake_write.close()

    def send(self, host_id: str, address: str, message: PeerMessage) -> None:
        """Queue a message; it is dropped when the queue or the link is full.

        Without an address it is sent on the connection that the host opened, or on an
        open link to it.
        """
        if len(self._outbox) >= MAX_OUTBOX_MESSAGES:
            self._counts["outbox_full"] += 1
            return
        self._outbox.append(_Outgoing(host_id, address, encode_message(message)))
        self._wake()

    def _wake(self) -> None:
        with contextlib.suppress(OSError):
            self._wake_write.send(b"\0")

    def _open_zap(self) -> "zmq.Socket[bytes]":
        zap = self._context.socket(zmq.REP)
        zap.bind(ZAP_ENDPOINT)
        return zap

    def _open_router(self, address: str) -> "zmq.Socket[bytes]":
        router = self._context.socket(zmq.ROUTER)
        _set_socket_options(router, address)
        router.setsockopt(zmq.ROUTER_MANDATORY, 1)
        if self._curve is not None:
            router.setsockopt(zmq.CURVE_SERVER, 1)
            router.setsockopt_string(zmq.CURVE_SECRETKEY, self._curve.secret_key)
            router.setsockopt_string(zmq.CURVE_PUBLICKEY, self._curve.public_key)
        router.bind(f"tcp://{address}")
        return router

    def _open_dealer(self, host_id: str, address: str) -> "zmq.Socket[bytes]":
        dealer = self._context.socket(zmq.DEALER)
        _set_socket_options(dealer, address)
        # Queue messages only for completed connections: outdated state is useless.
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.RECONNECT_IVL, 100)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, 2000)
        if self._curve is not None:
            keys = self._curve.server_keys_for(host_id) or (self._curve.public_key,)
            key = keys[self._key_attempts[host_id] % len(keys)]
            dealer.setsockopt_string(zmq.CURVE_SERVERKEY, key)
            dealer.setsockopt_string(zmq.CURVE_SECRETKEY, self._curve.secret_key)
            dealer.setsockopt_string(zmq.CURVE_PUBLICKEY, self._curve.public_key)
        dealer.connect(f"tcp://{address}")
        return dealer

    def _run(self) -> None:
        last_housekeeping_s = 0.0
        while not self._stopping.is_set():
            try:
                self._poll_once()
                now_s = time.monotonic()
                if now_s - last_housekeeping_s > 1.0:
                    last_housekeeping_s = now_s
                    self._close_idle_links(now_s)
            except zmq.ContextTerminated:
                return
            except Exception:
                # A fault with one frame or peer must not stop the others' exchange.
                self._counts["loop_errors"] += 1
                self._stopping.wait(0.01)

    def _poll_once(self) -> None:
        poller = zmq.Poller()
        readable = [self._router, self._monitor]
        readable += [link.socket for link in self._links.values()]
        if self._zap is not None:
            readable.append(self._zap)
        for source in readable:
            poller.register(source, zmq.POLLIN)
        poller.register(self._wake_read.fileno(), zmq.POLLIN)
        ready = {source for source, _ in poller.poll(POLL_TIMEOUT_MS)}
        if self._zap is not None and self._zap in ready:
            self._authenticate(self._zap)
        if self._monitor in ready:
            event = zmq.Event(recv_monitor_message(self._monitor)["event"])
            self._counts[CONNECTION_COUNTERS[event]] += 1
        if self._router in ready:
            self._read_frames(self._router, routed=True)
        for link in tuple(self._links.values()):
            if link.socket in ready:
                self._read_frames(link.socket, routed=False)
        if self._wake_read.fileno() in ready:
            with contextlib.suppress(BlockingIOError):
                self._wake_read.recv(4096)
        self._flush_outbox()

    def _authenticate(self, zap: "zmq.Socket[bytes]") -> None:
        """Answer one ZAP request (ZeroMQ RFC 27) from the accepted keys."""
        version, request_id, _, _, _, mechanism, *credentials = zap.recv_multipart()
        name: str | None = None
        if self._curve is not None and mechanism == b"CURVE" and credentials:
            name = self._curve.host_bound_to(z85_encode(credentials[0]).decode())
        if name is None:
            self._counts["refused_keys"] += 1
            reply = [version, request_id, b"400", b"key refused", b"", b""]
        else:
            reply = [version, request_id, b"200", b"", name.encode(), b""]
        zap.send_multipart(reply)

    def _read_frames(self, source: "zmq.Socket[bytes]", *, routed: bool) -> None:
        for _ in range(MAX_FRAMES_PER_READ):
            try:
                frames = source.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                return
            if len(frames) != (2 if routed else 1):
                self._counts["refused_frames"] += 1
                continue
            route = frames[0].bytes if routed else None
            self._receive(frames[-1], route)

    def _receive(self, frame: zmq.Frame, route: bytes | None) -> None:
        try:
            message = decode_message(frame.bytes)
        except MalformedFrameError:
            self._counts["refused_frames"] += 1
            return
        name = _authenticated_host(frame)
        if name and name != message.host_id:
            self._counts["refused_names"] += 1
            return
        self._counts["received_messages"] += 1
        self._counts["received_bytes"] += len(frame.bytes)
        if route is not None:
            now_s = time.monotonic()
            self._routes[message.host_id] = (route, now_s)
        self._on_message(message)

    def _flush_outbox(self) -> None:
        while self._outbox:
            outgoing = self._outbox.popleft()
            try:
                sent = self._send_frame(outgoing)
            except zmq.Again:
                sent = False
            if sent:
                self._counts["sent_messages"] += 1
                self._counts["sent_bytes"] += len(outgoing.frame)
            else:
                self._counts["dropped_messages"] += 1

    def _send_frame(self, outgoing: _Outgoing) -> bool:
        now_s = time.monotonic()
        if outgoing.address:
            link = self._get_or_open_link(outgoing.host_id, outgoing.address, now_s)
            link.last_used_s = now_s
            link.socket.send(outgoing.frame, zmq.NOBLOCK)
            link.last_accepted_s = now_s
            return True
        open_link = self._links.get(outgoing.host_id)
        route = self._routes.get(outgoing.host_id)
        if route is not None:
            try:
                parts = [route[0], outgoing.frame]
                self._router.send_multipart(parts, zmq.NOBLOCK)
                return True
            except zmq.ZMQError as error:
                if error.errno != zmq.EHOSTUNREACH:
                    raise
                del self._routes[outgoing.host_id]
        if open_link is None:
            return False
        open_link.socket.send(outgoing.frame, zmq.NOBLOCK)
        return True

    def _get_or_open_link(self, host_id: str, address: str, now_s: float) -> _Link:
        link = self._links.get(host_id)
        if link is not None and link.address != address:
            self._close_link(host_id)
            link = None
        if link is None:
            dealer = self._open_dealer(host_id, address)
            link = self._links[host_id] = _Link(dealer, address, now_s, now_s)
        return link

    def _close_link(self, host_id: str) -> None:
        self._links.pop(host_id).socket.close(linger=0)

    def _close_idle_links(self, now_s: float) -> None:
        for host_id, link in tuple(self._links.items()):
            if now_s - link.last_used_s > IDLE_LINK_TIMEOUT_S:
                self._close_link(host_id)
            elif (
                self._curve is not None
                and now_s - link.last_accepted_s > KEY_ATTEMPT_TIMEOUT_S
            ):
                self._key_attempts[host_id] += 1
                self._close_link(host_id)
        for host_id, (_, received_s) in tuple(self._routes.items()):
            if (
                now_s - received_s > IDLE_LINK_TIMEOUT_S
                or len(self._routes) > MAX_ROUTES
            ):
                del self._routes[host_id]


def _set_socket_options(target: "zmq.Socket[bytes]", address: str) -> None:
    target.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK_MESSAGES)
    target.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK_MESSAGES)
    target.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
    target.setsockopt(zmq.LINGER, 0)
    # With IPv6 enabled, an IPv4 listener reports its address in IPv6 form.
    target.setsockopt(zmq.IPV6, int(address.startswith("[")))


def _authenticated_host(frame: zmq.Frame) -> str:
    """Return the id of the host that the sender's key is bound to, or ""."""
    try:
        return str(frame.get("User-Id"))
    except (zmq.ZMQError, KeyError):
        return ""
