"""Tests of the follower of a log stream."""

import threading
from collections.abc import Iterator

import pytest

from persimmonwell.daemon._stream_follower import follow_stream
from persimmonwell.platform import JsonLog, StoreClient
from standins.log import Log
from tests.fleet import wait_until

STREAM = "claims"


class FollowedStream:
    """Stand-in store, the names that a follower of its stream read, and its thread."""

    def __init__(self) -> None:
        self.store = Log()
        self.names: list[object] = []
        self.thread: threading.Thread | None = None
        self._stopping = threading.Event()
        self.store.start()
        self._client = StoreClient(url=self.store.server.url, timeout_s=2.0)

    def start(self, *, ends_with_era: bool) -> None:
        self.thread = threading.Thread(
            target=follow_stream,
            args=(JsonLog(self._client), STREAM),
            kwargs={
                "stopping": self._stopping,
                "deliver": lambda piece, read_s: self.names.extend(
                    record.data.get("name") for record in piece.records
                ),
                "ends_with_era": ends_with_era,
            },
            daemon=True,
        )
        self.thread.start()

    def close(self) -> None:
        self._stopping.set()
        if self.thread is not None:
            self.thread.join(timeout=2.0)
        self._client.close()
        self.store.close()

    def append(self, names: str) -> None:
        self.store.put(STREAM, *({"type": "claim", "name": name} for name in names))

    def restore_unseen(self) -> None:
        """Lose three records that were read and write three others meanwhile."""
        copy = self.store.copy()
        self.append("abc")
        wait_until(lambda: self.names == ["a", "b", "c"])
        self.store.faults["down"] = True
        wait_until(lambda: self.store.refused_calls > 0)
        self.store.restore(copy)
        self.append("xyz")
        self.store.faults["down"] = False


@pytest.fixture
def stream() -> Iterator[FollowedStream]:
    """Return a stream without a follower."""
    stream = FollowedStream()
    yield stream
    stream.close()


def test_claims_at_offsets_given_out_again_are_read(stream: FollowedStream) -> None:
    """Guards against a second booking, since a claim in a restored log is not seen."""
    stream.start(ends_with_era=False)
    stream.restore_unseen()
    wait_until(lambda: stream.names[-3:] == ["x", "y", "z"], timeout_s=3.0)


def test_records_that_refer_to_offsets_are_not_read_in_another_era(
    stream: FollowedStream,
) -> None:
    """Guards against two holders of a lease, by offsets that name other records."""
    stream.start(ends_with_era=True)
    stream.restore_unseen()
    thread = stream.thread
    assert thread is not None
    wait_until(lambda: not thread.is_alive(), timeout_s=3.0)
    assert stream.names == ["a", "b", "c"]
