"""Tests of the metrics of waits, refusals, shares and caller retries."""

from persimmonwell.core.forwarding import WaitFacts
from persimmonwell.gateway._metrics import MAX_LABEL_VALUES, GatewayMetrics

FACTS = WaitFacts(
    priority_class=(1, 0),
    is_caller_retry=True,
    allowed_wait_s=0.4,
    report_age_s=None,
)


def test_waits_and_retries_are_counted_by_class_and_result() -> None:
    """Guards against a class whose waits cannot be told from the others'."""
    metrics = GatewayMetrics()
    metrics.observe_wait(FACTS, 0.3)
    metrics.observe_wait(FACTS, 0.7, is_refused=True)
    text = metrics.render().decode()
    assert 'wait_seconds_count{class="1/0",result="sent"} 1' in text
    assert 'wait_seconds_sum{class="1/0",result="refused"} 0.7' in text
    assert 'caller_retries_total{result="refused"} 1' in text


def test_reasons_and_classes_are_bounded() -> None:
    """Guards against a time series for each text that others choose."""
    metrics = GatewayMetrics()
    for number in range(MAX_LABEL_VALUES + 5):
        metrics.count_refusal(f"reason {number}")
    text = metrics.render().decode()
    assert 'refusals_total{reason="other"} 5' in text
    assert text.count("refusals_total{") == MAX_LABEL_VALUES + 1


def test_shares_of_workspaces_that_are_idle_disappear() -> None:
    """Guards against time series that grow with each workspace ever seen."""
    metrics = GatewayMetrics()
    shares = {("desk", (0, 0), 'a"b'): 0.25}
    metrics.set_share_reader(lambda: shares)
    labels = '{class="0/0",service="desk",workspace="a\\"b"}'
    assert f"workspace_share{labels} 0.25" in metrics.render().decode()
    shares.clear()
    assert "workspace_share{" not in metrics.render().decode()


def test_purposes_without_bytes_fall_to_zero() -> None:
    """Guards against a size that is shown after all its bytes were credited back."""
    metrics = GatewayMetrics()
    sizes = {"bodies": 9.0}
    metrics.set_resource_readers(read_bytes=lambda: sizes, read_descriptors=dict)
    assert 'bytes{purpose="bodies"} 9.0' in metrics.render().decode()
    sizes.clear()
    assert 'bytes{purpose="bodies"} 0' in metrics.render().decode()
