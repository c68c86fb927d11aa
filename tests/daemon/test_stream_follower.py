"""Tests of the follower of a log stream."""

import threading

from persimmonwell.daemon._stream_follower import follow_stream
from persimmonwell.platform import JsonLog, StoreClient
from standins.log import Log
from tests.fleet import wait_until


def test_claims_at_offsets_given_out_again_are_read() -> None:
    """Guards against a second booking, since a claim in a restored log is not seen."""
    store = Log()
    store.start()
    client = StoreClient(url=store.server.url, timeout_s=2.0)
    stopping = threading.Event()
    read: list[object] = []
    thread = threading.Thread(
        target=follow_stream,
        args=(JsonLog(client), "claims"),
        kwargs={
            "stopping": stopping,
            "deliver": lambda piece, read_s: read.extend(
                record.data.get("name") for record in piece.records
            ),
        },
        daemon=True,
    )
    try:
        thread.start()
        copy = store.copy()
        store.put("claims", *({"type": "claim", "name": name} for name in "abc"))
        wait_until(lambda: read == ["a", "b", "c"])
        store.faults["down"] = True
        wait_until(lambda: store.refused_calls > 0)
        store.restore(copy)
        store.put("claims", *({"type": "claim", "name": name} for name in "xyz"))
        store.faults["down"] = False
        wait_until(lambda: read[-3:] == ["x", "y", "z"], timeout_s=3.0)
    finally:
        stopping.set()
        thread.join(timeout=2.0)
        client.close()
        store.close()
