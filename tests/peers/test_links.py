"""Tests of peer links over real sockets on loopback."""

import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import zmq

from persimmonwell.core.membership import ConfigRequest, PeerMessage
from persimmonwell.peers import CurveKeys, PeerLinks, encode_message
from persimmonwell.peers._links import MAX_OUTBOX_MESSAGES
from tests.fleet import wait_until


class LinkEndpoint:
    """Links of one host and the messages it received."""

    def __init__(self, curve: CurveKeys | None = None) -> None:
        self.messages: list[PeerMessage] = []
        self.links = PeerLinks(
            address="127.0.0.1:0", on_message=self.messages.append, curve=curve
        )
        self.links.start()

    def send_until_received(
        self, other: "LinkEndpoint", host_id: str, *, sender_id: str = "a"
    ) -> None:
        """Send until the other endpoint has received a new message."""
        previous_count = len(other.messages)

        def arrived() -> bool:
            message = ConfigRequest(sender_id, previous_count)
            self.links.send(host_id, other.links.address, message)
            time.sleep(0.02)
            return len(other.messages) > previous_count

        wait_until(arrived)


EndpointFactory = Callable[..., LinkEndpoint]


@pytest.fixture
def open_endpoint() -> Iterator[EndpointFactory]:
    hosts: list[LinkEndpoint] = []

    def build(curve: CurveKeys | None = None) -> LinkEndpoint:
        hosts.append(LinkEndpoint(curve))
        return hosts[-1]

    yield build
    for host in hosts:
        host.links.close()


@pytest.fixture
def raw_dealer() -> Iterator[Any]:
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.setsockopt(zmq.LINGER, 0)
    yield dealer
    context.destroy(linger=0)


def test_reply_uses_the_link_of_the_request(open_endpoint: EndpointFactory) -> None:
    """Guards against a reply lost because the requester's address is unknown."""
    first, second = open_endpoint(), open_endpoint()
    first.send_until_received(second, "b")
    second.links.send("a", "", ConfigRequest("b", 7))
    wait_until(lambda: ConfigRequest("b", 7) in first.messages)
    second.links.send("unknown", "", ConfigRequest("b", 8))
    wait_until(lambda: second.links.counts.get("dropped_messages") == 1)


def test_malformed_frames_are_counted_without_closing_the_port(
    open_endpoint: EndpointFactory, raw_dealer: Any
) -> None:
    """Guards against a faulty peer that stops the exchange with the others."""
    host, other_endpoint = open_endpoint(), open_endpoint()
    raw_dealer.connect(f"tcp://{host.links.address}")
    bad = [b"", b"\x93\x01", encode_message(ConfigRequest("x", 1))[:-1]]
    for frame in bad:
        raw_dealer.send(frame)
    raw_dealer.send_multipart([b"a", b"b", b"c"])
    wait_until(lambda: host.links.counts.get("refused_frames") == 4)
    ip, port = host.links.address.split(":")
    for raw in (b"GET / HTTP/1.1\r\n\r\n" + bytes(512), b"\xff" * 100):
        with socket.create_connection((ip, int(port))) as other:
            other.sendall(raw)
    wait_until(lambda: host.links.counts.get("accepted_connections") == 3)
    wait_until(lambda: host.links.counts.get("refused_handshakes") == 1)
    assert host.links.counts["completed_handshakes"] == 1
    assert not host.messages
    other_endpoint.send_until_received(host, "host")
    assert "loop_errors" not in host.links.counts


@pytest.mark.parametrize("address", ["127.0.0.1", "[::1]"])
def test_bound_address_keeps_the_configured_form(address: str) -> None:
    """Guards against announcing an address that other hosts cannot connect to."""
    links = PeerLinks(address=f"{address}:0", on_message=lambda message: None)
    assert links.address.rpartition(":")[0] == address
    links.close()


def test_failing_message_handler_does_not_end_the_thread(
    open_endpoint: EndpointFactory,
) -> None:
    """Guards against an exception in the message handler that stops the port."""
    host, other_endpoint = open_endpoint(), open_endpoint()
    seen: list[PeerMessage] = []

    def fail_once(message: PeerMessage) -> None:
        seen.append(message)
        if len(seen) == 1:
            raise RuntimeError("fault")

    host.links._on_message = fail_once
    host.messages = seen
    other_endpoint.send_until_received(host, "host")
    other_endpoint.send_until_received(host, "host")
    assert host.links.counts["loop_errors"] == 1


def test_sending_to_unresponsive_peer_is_bounded_and_does_not_block(
    open_endpoint: EndpointFactory,
) -> None:
    """Guards against an unresponsive peer that blocks senders or fills memory."""
    host = open_endpoint()
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        started_s = time.monotonic()
        for number in range(2 * MAX_OUTBOX_MESSAGES):
            host.links.send("b", address, ConfigRequest("a", number))
        assert time.monotonic() - started_s < 5.0
        wait_until(
            lambda: (
                host.links.counts.get("dropped_messages", 0)
                + host.links.counts.get("outbox_full", 0)
                == 2 * MAX_OUTBOX_MESSAGES
            )
        )


def curve_keys(own_keypair: tuple[bytes, bytes], *accepted: str) -> CurveKeys:
    return CurveKeys(own_keypair[0].decode(), own_keypair[1].decode(), accepted)


def test_curve_accepts_only_allowed_keys_and_their_hosts(
    open_endpoint: EndpointFactory, raw_dealer: Any
) -> None:
    """Guards against unknown keys and forged host ids on an authenticated port."""
    one, two, three = (zmq.curve_keypair() for _ in range(3))
    listed = (f"a {one[0].decode()}", f"b {two[0].decode()}")
    first, second = (
        open_endpoint(curve_keys(one, *listed)),
        open_endpoint(curve_keys(two, *listed)),
    )
    first.send_until_received(second, "b")
    second.links.send("a", "", ConfigRequest("b", 1))
    wait_until(lambda: len(first.messages) == 1)
    received_count = len(second.messages)
    for number in range(3):
        first.links.send(
            "b", second.links.address, ConfigRequest("someone-else", number)
        )
    wait_until(lambda: second.links.counts.get("refused_names") == 3)
    outsider = open_endpoint(curve_keys(three, *listed))
    outsider.links.send("b", second.links.address, ConfigRequest("c", 1))
    wait_until(lambda: second.links.counts.get("refused_keys", 0) >= 1)
    raw_dealer.connect(f"tcp://{second.links.address}")
    raw_dealer.send(encode_message(ConfigRequest("d", 1)))
    wait_until(lambda: second.links.counts.get("refused_handshakes", 0) >= 2)
    assert len(second.messages) == received_count
    first.send_until_received(second, "b")


def test_shared_keys_are_tried_in_turn(
    open_endpoint: EndpointFactory, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against key rotation that must happen on all hosts at once."""
    monkeypatch.setattr("persimmonwell.peers._links.KEY_ATTEMPT_TIMEOUT_S", 0.3)
    old, new = zmq.curve_keypair(), zmq.curve_keypair()
    listed = (new[0].decode(), old[0].decode())
    first, second = (
        open_endpoint(curve_keys(new, *listed)),
        open_endpoint(curve_keys(old, *listed)),
    )
    first.send_until_received(second, "b")
