"""Tests of slow, stalled and silent replicas behind a stream."""

import http.client
import time
from collections.abc import Iterator
from typing import Any

import pytest

from standins.platform_config import config
from tests.fleet import wait_until
from tests.gateway.harness import GatewayTestbed


@pytest.fixture
def testbed() -> Iterator[GatewayTestbed]:
    """Return a running host with two model replicas."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    testbed.add_replica("model-1", "model")
    testbed.add_replica("model-2", "model")
    testbed.start()
    yield testbed
    testbed.close()


def attempts(testbed: GatewayTestbed) -> int:
    return testbed.replica_request_count()


@pytest.mark.parametrize("path", ["/talk/x", "/fixed/x"])
def test_slow_but_sound_stream_is_not_cut(testbed: GatewayTestbed, path: str) -> None:
    """Guards against a stream given up, or started again, because it is slow."""
    for replica in testbed.replicas.values():
        replica.event_interval_s = 0.6
    status, _, body = testbed.send(path)
    assert status == 200 and body.count(b"id:") == 6
    assert attempts(testbed) == 1


def test_stream_of_comments_ends_at_the_deadline(testbed: GatewayTestbed) -> None:
    """Guards against a stalled stream that lives on by a byte now and then."""
    for replica in testbed.replicas.values():
        replica.faults["comments_at"] = 3
    start_s = time.monotonic()
    with pytest.raises((http.client.IncompleteRead, ConnectionResetError)):
        testbed.send("/fixed/x", Deadline_Remaining="1500")
    assert 1.4 < time.monotonic() - start_s < 2.2
    assert attempts(testbed) == 1


@pytest.mark.parametrize("silence_s", [1.0, 3.0])
def test_replica_that_was_only_silent_keeps_its_running_work(
    testbed: GatewayTestbed, silence_s: float
) -> None:
    """Guards against work started again elsewhere although its replica still runs it.

    The replica neither reports nor sends an event, and its entry lapses meanwhile.
    """
    for replica in testbed.replicas.values():
        replica.faults.update(alive=False, stall_at=3, stall_s=silence_s)
    connection = testbed.connect()
    connection.request("POST", "/fixed/x", headers=testbed.caller_headers())
    wait_until(lambda: attempts(testbed) == 1)
    for name in testbed.replicas:
        testbed.store.put_key("keyed.servers", name, None)
    body = connection.getresponse().read()
    connection.close()
    assert body.count(b"id:") == 6
    assert attempts(testbed) == 1


def test_log_shows_after_which_event_a_stream_is_resumed(
    testbed: GatewayTestbed, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a wrong place of resumption that no line of the log shows."""
    assert testbed.host is not None
    sent: list[tuple[int, int | None]] = []

    def record(part: str, event: str, **fields: Any) -> None:
        if event == "sent":
            sent.append((fields["attempt"], fields["after"]))

    monkeypatch.setattr(testbed.host._log, "write", record)
    for replica in testbed.replicas.values():
        replica.faults["reset_at"] = 4
    with pytest.raises((http.client.IncompleteRead, ConnectionResetError)):
        testbed.send("/talk/x", Deadline_Remaining="1500")
    assert sent[:2] == [(1, None), (2, 3)]
