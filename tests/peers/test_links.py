"""Check links between hosts over real sockets on loopback."""

import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import zmq

from persimmonwell.core.membership import ConfigRequest, PeerMessage
from persimmonwell.peers import CurveKeys, PeerLinks, encode_message
from persimmonwell.peers._links import OUTBOX_MESSAGES
from tests.fleet import wait_until


class Host:
    """Hold one end and the messages it got."""

    def __init__(self, curve: CurveKeys | None = None) -> None:
        self.messages: list[PeerMessage] = []
        self.links = PeerLinks(
            address="127.0.0.1:0", on_message=self.messages.append, curve=curve
        )
        self.links.start()

    def ask(self, other: "Host", host_id: str, *, own_id: str = "a") -> None:
        """Send until the other end got a new message."""
        before = len(other.messages)

        def arrived() -> bool:
            message = ConfigRequest(own_id, before)
            self.links.send(host_id, other.links.address, message)
            time.sleep(0.02)
            return len(other.messages) > before

        wait_until(arrived)


Make = Callable[..., Host]


@pytest.fixture
def make() -> Iterator[Make]:
    hosts: list[Host] = []

    def build(curve: CurveKeys | None = None) -> Host:
        hosts.append(Host(curve))
        return hosts[-1]

    yield build
    for host in hosts:
        host.links.close()


@pytest.fixture
def stranger() -> Iterator[Any]:
    context = zmq.Context()
    dealer = context.socket(zmq.DEALER)
    dealer.setsockopt(zmq.LINGER, 0)
    yield dealer
    context.destroy(linger=0)


def test_answer_goes_back_on_the_link_it_came_from(make: Make) -> None:
    """Guards against an answer lost because the asker's address is unknown."""
    first, second = make(), make()
    first.ask(second, "b")
    second.links.send("a", "", ConfigRequest("b", 7))
    wait_until(lambda: ConfigRequest("b", 7) in first.messages)
    second.links.send("unknown", "", ConfigRequest("b", 8))
    wait_until(lambda: second.links.counts.get("dropped_messages") == 1)


def test_malformed_frames_are_counted_and_the_port_lives_on(
    make: Make, stranger: Any
) -> None:
    """Guards against one bad peer that ends the exchange with the others."""
    host, good = make(), make()
    stranger.connect(f"tcp://{host.links.address}")
    bad = [b"", b"\x93\x01", encode_message(ConfigRequest("x", 1))[:-1]]
    for frame in bad:
        stranger.send(frame)
    stranger.send_multipart([b"a", b"b", b"c"])
    wait_until(lambda: host.links.counts.get("refused_frames") == 4)
    ip, port = host.links.address.split(":")
    for raw in (b"GET / HTTP/1.1\r\n\r\n" + bytes(512), b"\xff" * 100):
        with socket.create_connection((ip, int(port))) as other:
            other.sendall(raw)
    wait_until(lambda: host.links.counts.get("accepted_connections") == 3)
    wait_until(lambda: host.links.counts.get("refused_handshakes") == 1)
    assert host.links.counts["completed_handshakes"] == 1
    assert not host.messages
    good.ask(host, "host")
    assert "loop_errors" not in host.links.counts


@pytest.mark.parametrize("address", ["127.0.0.1", "[::1]"])
def test_bound_address_has_the_form_of_the_setting(address: str) -> None:
    """Guards against an announced address that other hosts cannot use."""
    links = PeerLinks(address=f"{address}:0", on_message=lambda message: None)
    assert links.address.rpartition(":")[0] == address
    links.close()


def test_failing_receiver_does_not_end_the_thread(make: Make) -> None:
    """Guards against a fault in the control state that silences the port."""
    host, good = make(), make()
    seen: list[PeerMessage] = []

    def fail_once(message: PeerMessage) -> None:
        seen.append(message)
        if len(seen) == 1:
            raise RuntimeError("fault")

    host.links._on_message = fail_once
    host.messages = seen
    good.ask(host, "host")
    good.ask(host, "host")
    assert host.links.counts["loop_errors"] == 1


def test_sending_to_nobody_never_blocks_and_is_bounded(make: Make) -> None:
    """Guards against memory or threads held by an unreachable peer."""
    host = make()
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        began_s = time.monotonic()
        for number in range(2 * OUTBOX_MESSAGES):
            host.links.send("b", address, ConfigRequest("a", number))
        assert time.monotonic() - began_s < 5.0
        wait_until(
            lambda: (
                host.links.counts.get("dropped_messages", 0)
                + host.links.counts.get("outbox_full", 0)
                == 2 * OUTBOX_MESSAGES
            )
        )


def keys(own: tuple[bytes, bytes], *accepted: str) -> CurveKeys:
    return CurveKeys(own[0].decode(), own[1].decode(), accepted)


def test_curve_admits_only_listed_keys(make: Make, stranger: Any) -> None:
    """Guards against strangers and wrong names on an authenticated port."""
    one, two, three = (zmq.curve_keypair() for _ in range(3))
    listed = (f"a {one[0].decode()}", f"b {two[0].decode()}")
    first, second = make(keys(one, *listed)), make(keys(two, *listed))
    first.ask(second, "b")
    second.links.send("a", "", ConfigRequest("b", 1))
    wait_until(lambda: len(first.messages) == 1)
    got = len(second.messages)
    for number in range(3):
        first.links.send(
            "b", second.links.address, ConfigRequest("someone-else", number)
        )
    wait_until(lambda: second.links.counts.get("refused_names") == 3)
    outsider = make(keys(three, *listed))
    outsider.links.send("b", second.links.address, ConfigRequest("c", 1))
    wait_until(lambda: second.links.counts.get("refused_keys", 0) >= 1)
    stranger.connect(f"tcp://{second.links.address}")
    stranger.send(encode_message(ConfigRequest("d", 1)))
    wait_until(lambda: second.links.counts.get("refused_handshakes", 0) >= 2)
    assert len(second.messages) == got
    first.ask(second, "b")


def test_shared_keys_are_tried_in_turn(
    make: Make, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a key change that needs all hosts at the same moment."""
    monkeypatch.setattr("persimmonwell.peers._links.KEY_TRY_S", 0.3)
    old, new = zmq.curve_keypair(), zmq.curve_keypair()
    listed = (new[0].decode(), old[0].decode())
    first, second = make(keys(new, *listed)), make(keys(old, *listed))
    first.ask(second, "b")
