"""Tests of answers without a length or chunks, cut at each byte, over real sockets."""

from collections.abc import Iterator

import pytest

from standins.platform_config import config
from tests.gateway.harness import GatewayTestbed

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n"
BODY = b"seventeen bytes.."
EVENTS = tuple(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 4))
REQUEST = (
    b"POST %s HTTP/1.1\r\nHost: desk.example\r\nApi-Key: key-1\r\n"
    b"Request-Id: req-1\r\nDeadline-Remaining: 3000\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


@pytest.fixture(scope="module")
def testbed() -> Iterator[GatewayTestbed]:
    """Return a running host with one replica of each service."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    testbed.add_replica("desk-1", "desk")
    testbed.add_replica("model-1", "model")
    testbed.start()
    yield testbed
    testbed.close()


def received(testbed: GatewayTestbed, name: str, path: bytes) -> tuple[bytes, bytes]:
    """Return the head and the body that a caller receives up to the end."""
    host = testbed.host
    assert host is not None
    # The failures of other cuts must not keep requests away from the replica.
    health = host._router.health
    health._evidence.clear()
    health._suspicions.clear()
    head, _, body = testbed.send_raw(REQUEST.replace(b"%s", path)).partition(
        b"\r\n\r\n"
    )
    return head, body


@pytest.mark.parametrize("cut", range(len(HEAD) + len(BODY) + 1))
def test_reset_answer_without_a_length_is_never_whole(
    testbed: GatewayTestbed, cut: int
) -> None:
    """Guards against an answer that was reset on its way and looks complete."""
    replica = testbed.replicas["desk-1"]
    replica.faults.update(raw_answer=(HEAD + BODY)[:cut], raw_reset=True)
    head, body = received(testbed, "desk-1", b"/book/x")
    assert head.startswith(b"HTTP/1.1 502") and BODY[:3] not in body


@pytest.mark.parametrize("cut", range(len(b"".join(EVENTS)) + 1))
def test_stream_that_ends_within_an_event_is_broken_off(
    testbed: GatewayTestbed, cut: int
) -> None:
    """Guards against a stream that ends as complete within an event."""
    events = b"".join(EVENTS)[:cut]
    replica = testbed.replicas["model-1"]
    replica.faults["raw_answer"] = HEAD + events
    head, body = received(testbed, "model-1", b"/fixed/x")
    whole = b"".join(EVENTS[: events.count(b"\n\n")])
    is_whole = body.endswith(b"0\r\n\r\n")
    sent = b"".join(part for part in EVENTS if part in body)
    assert sent == whole
    assert is_whole == (bool(events) and events == whole)
    if not whole:
        assert not head.startswith(b"HTTP/1.1 200")
