"""Tests of metrics: counts, histograms, label bounds and rendering."""

import re
import threading
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core import Outcome, Rank
from persimmonwell.observe import GaugeReadings, Metrics
from persimmonwell.observe._metrics import MAX_LABEL_VALUES, TOP_WORKSPACES
from persimmonwell.observe._top import TopKCounter

READINGS = GaugeReadings(
    queued={Rank.BATCH: 4},
    in_flight={Rank.URGENT: 2},
    threads_in_use={"callers": 3},
    config_version=17,
    peers=1,
    timeline_overwritten=5,
    rejected_stamps=6,
)
SAMPLE = re.compile(
    r'^(\w+)(?:\{((?:\w+="(?:[^"\\\n]|\\["\\n])*",?)*)\})? (\S+)$', re.ASCII
)


def samples(metrics: Metrics) -> dict[tuple[str, str], float]:
    """Return the samples by name and labels; fail on a malformed line."""
    found = {}
    rendered = metrics.render(READINGS, accept="application/openmetrics-text")
    assert rendered.content_type.startswith("text/plain")
    for line in rendered.body.decode().splitlines():
        if not line.startswith("#"):
            match = SAMPLE.match(line)
            assert match, f"not in the text format: {line}"
            name = match.group(1).removeprefix("persimmonwell_")
            labels = ",".join(sorted((match.group(2) or "").split(",")))
            found[name, labels] = float(match.group(3))
    return found


def test_counters_and_gauges_are_rendered() -> None:
    """Guards against a metric that is counted but not rendered."""
    metrics = Metrics()
    metrics.count_arrival("range-a")
    metrics.count_ended_request(Rank.URGENT, "coach", Outcome.COMPLETE)
    metrics.count_dropped_frame("stale-attempt")
    metrics.count_retry(Rank.BATCH)
    metrics.count_resume(Rank.NORMAL)
    metrics.count_refusal("overloaded")
    metrics.count_platform_failure("log")
    found = samples(metrics)
    ended = 'model="coach",outcome="complete",rank="urgent"'
    expected = {
        ("requests_total", ended): 1,
        ("dropped_frames_total", 'reason="stale-attempt"'): 1,
        ("retries_total", 'rank="batch"'): 1,
        ("resumes_total", 'rank="normal"'): 1,
        ("refusals_total", 'reason="overloaded"'): 1,
        ("platform_failures_total", 'service="log"'): 1,
        ("queued_requests", 'rank="batch"'): 4,
        ("in_flight_requests", 'rank="urgent"'): 2,
        ("threads_in_use", 'port="callers"'): 3,
        ("config_version", ""): 17,
        ("peers", ""): 1,
        ("timeline_overwritten_events", ""): 5,
        ("rejected_clock_stamps", ""): 6,
        ("top_workspace_requests", 'workspace="range-a"'): 1,
    }
    assert {key: found.get(key) for key in expected} == expected


@given(st.lists(st.floats(0.0, 3.0), max_size=9), st.integers(0, 90))
def test_token_latencies_match_a_direct_count(
    gap_pattern: list[float], repeats: int
) -> None:
    """Guards against tokens that are lost or counted twice between flushes."""
    gaps = gap_pattern * repeats
    metrics = Metrics()
    timer = metrics.new_token_timer(Rank.URGENT)
    now_s = timer._started_s + 0.2
    times = [now_s]
    for gap in gaps:
        times.append(times[-1] + gap)
    for token_s in times:
        timer.record_token(token_s)
    timer.flush()
    timer.flush()
    found = samples(metrics)
    actual_gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    for bound in (0.001, 0.037, 2.0):
        key = ("inter_token_seconds_bucket", f'le="{bound}",rank="urgent"')
        assert found[key] == sum(gap <= bound for gap in actual_gaps)
    assert found["inter_token_seconds_count", 'rank="urgent"'] == len(gaps)
    assert found["first_token_seconds_count", 'rank="urgent"'] == 1
    assert found["first_token_seconds_bucket", 'le="0.1",rank="urgent"'] == 0
    assert found["first_token_seconds_bucket", 'le="0.3",rank="urgent"'] == 1


def test_label_values_are_bounded_and_escaped() -> None:
    """Guards against caller-chosen names that exhaust memory or forge samples."""
    metrics = Metrics()
    for number in range(500):
        metrics.count_ended_request(Rank.URGENT, f"m{number}", Outcome.COMPLETE)
        metrics.count_arrival(f'w{number}"}} 1\nforged 1\\')
    found = samples(metrics)
    ended = [labels for name, labels in found if name == "requests_total"]
    tops = [labels for name, labels in found if name == "top_workspace_requests"]
    assert len(ended) == MAX_LABEL_VALUES + 1
    assert found["requests_total", 'model="other",outcome="complete",rank="urgent"']
    assert len(tops) == TOP_WORKSPACES
    assert not [name for name, _ in found if name.startswith("forged")]


@given(st.lists(st.integers(0, 30), max_size=300))
def test_top_k_counter_keeps_frequent_names(names: list[int]) -> None:
    """Guards against a list of active workspaces that misses a frequent one."""
    top = TopKCounter(8)
    for name in names:
        top.add(str(name))
    kept = dict(top.top(8))
    assert len(kept) <= 8
    for name, count in Counter(map(str, names)).items():
        if count > len(names) / 8:
            assert count <= kept[name] <= count + len(names) / 8


def test_concurrent_counting_loses_no_increments() -> None:
    """Guards against lost increments while another thread renders."""
    metrics = Metrics()

    def work() -> None:
        for _ in range(2000):
            metrics.count_refusal("overloaded")

    threads = [threading.Thread(target=work) for _ in range(4)]
    for thread in threads:
        thread.start()
    for _ in range(20):
        metrics.render(READINGS)
    for thread in threads:
        thread.join()
    assert samples(metrics)["refusals_total", 'reason="overloaded"'] == 8000
