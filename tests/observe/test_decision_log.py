"""Tests of the structured log of decisions."""

import io
import json

from persimmonwell.observe import DecisionLog


def test_text_that_is_not_unicode_does_not_end_the_log() -> None:
    """Guards against a log that falls silent after one line it cannot write."""
    stream = io.BytesIO()
    log = DecisionLog(host_id="h1", stream=stream)
    log.start()
    log.write("registry", "seen", replica="i-\ud800")
    log.write("registry", "seen", replica="i-2")
    log.close()
    first, second = stream.getvalue().splitlines()
    assert "ud800" in json.loads(first)["unreadable"]
    assert json.loads(second)["replica"] == "i-2"
