"""Tests of the structured log of decisions."""

import io
import json

from persimmonwell.observe import DecisionLog
from persimmonwell.observe._decision_log import MAX_BATCH_LINES, MAX_TEXT_CHARACTERS


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


def test_long_text_is_cut() -> None:
    """Guards against a queue of lines whose memory clients choose with their ids."""
    stream = io.BytesIO()
    log = DecisionLog(host_id="h1", stream=stream)
    for _ in range(MAX_BATCH_LINES + 1):
        log.write("request", "sent", id="i" * 16_000, trace="t" * 3000)
    log.start()
    log.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    lengths = {(len(line["id"]), len(line["trace"])) for line in lines}
    assert (len(lines), lengths) == (
        MAX_BATCH_LINES + 1,
        {(MAX_TEXT_CHARACTERS, 3000)},
    )
