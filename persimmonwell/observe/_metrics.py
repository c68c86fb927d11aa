"""Metrics of the daemon, rendered in the Prometheus text format."""

import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs
from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as HistogramValue
from aioprometheus.renderer import render

from persimmonwell.core import Outcome, Rank
from persimmonwell.observe._token_timer import (
    FIRST_TOKEN_BOUNDS_S,
    TOKEN_GAP_BOUNDS_S,
    HistogramBuckets,
    TokenLatencies,
    TokenTimer,
)
from persimmonwell.observe._top import TopKCounter

MAX_LABEL_VALUES = 64
"""Maximum distinct values of one label; further values are counted as "other"."""
OTHER_LABEL = "other"
TOP_WORKSPACES = 10
TRACKED_WORKSPACES = 64

_COUNTERS: dict[str, tuple[str, tuple[str, ...]]] = {
    "requests_total": ("Ended requests", ("rank", "model", "outcome")),
    "dropped_frames_total": ("Engine frames not accepted", ("reason",)),
    "retries_total": ("Attempts that started over", ("rank",)),
    "resumes_total": ("Attempts that continued an answer", ("rank",)),
    "refusals_total": ("Requests refused before or during service", ("reason",)),
    "platform_failures_total": ("Platform calls without an answer", ("service",)),
}
_GAUGES: dict[str, tuple[str, tuple[str, ...]]] = {
    "queued_requests": ("Requests that wait for an attempt", ("rank",)),
    "in_flight_requests": ("Requests with an attempt", ("rank",)),
    "threads_in_use": ("Server threads in use", ("port",)),
    "config_version": ("Configuration version in force", ()),
    "peers": ("Other entry hosts known", ()),
    "timeline_overwritten_events": ("Timeline events replaced by newer ones", ()),
    "rejected_clock_stamps": ("Peer clock stamps beyond the drift bound", ()),
    "top_workspace_requests": ("Requests of the most active ones", ("workspace",)),
}


@attrs.frozen
class GaugeReadings:
    """Gauge values, read when the metrics are rendered."""

    queued: Mapping[Rank, int]
    in_flight: Mapping[Rank, int]
    threads_in_use: Mapping[str, int]
    """Busy request threads, by name of the port."""
    config_version: int
    peers: int
    timeline_overwritten: int
    rejected_stamps: int


@attrs.frozen
class RenderedMetrics:
    """Body and content type of a metrics response."""

    content_type: str
    body: bytes


class _BoundedLabelValues:
    """Set of known label values, bounded to limit the number of time series."""

    def __init__(self) -> None:
        self._seen: set[str] = set()

    def value_or_other(self, value: str) -> str:
        if value in self._seen:
            return value
        if len(self._seen) >= MAX_LABEL_VALUES:
            return OTHER_LABEL
        self._seen.add(value)
        return value


class Metrics:
    """Counters and histograms of one process.

    Counts are kept in dictionaries and copied under the lock, so that rendering does
    not block the threads that count.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: dict[str, dict[tuple[str, ...], int]] = {
            name: {} for name in _COUNTERS
        }
        self._model_labels = _BoundedLabelValues()
        self._reason_labels = _BoundedLabelValues()
        self._workspaces = TopKCounter(TRACKED_WORKSPACES)
        self._first_token_buckets = {
            rank: HistogramBuckets(FIRST_TOKEN_BOUNDS_S) for rank in Rank
        }
        self._gap_buckets = {
            rank: HistogramBuckets(TOKEN_GAP_BOUNDS_S) for rank in Rank
        }

    def count_arrival(self, workspace: str) -> None:
        """Count an arrived request for the list of the most active workspaces."""
        with self._lock:
            self._workspaces.add(workspace)

    def count_ended_request(self, rank: Rank, model: str, outcome: Outcome) -> None:
        """Count an ended request; a service call has the model label service/NAME."""
        with self._lock:
            labels = (
                _rank_label(rank),
                self._model_labels.value_or_other(model),
                outcome.value,
            )
            self._increment("requests_total", labels)

    def count_dropped_frame(self, reason: str) -> None:
        """Count an engine frame that was dropped."""
        with self._lock:
            self._increment(
                "dropped_frames_total", (self._reason_labels.value_or_other(reason),)
            )

    def count_retry(self, rank: Rank) -> None:
        """Count an attempt that started the answer over."""
        with self._lock:
            self._increment("retries_total", (_rank_label(rank),))

    def count_resume(self, rank: Rank) -> None:
        """Count an attempt that continued a partial answer."""
        with self._lock:
            self._increment("resumes_total", (_rank_label(rank),))

    def count_refusal(self, reason: str) -> None:
        """Count a refused request by its error code."""
        with self._lock:
            self._increment(
                "refusals_total", (self._reason_labels.value_or_other(reason),)
            )

    def count_platform_failure(self, service: str) -> None:
        """Count a platform call without an answer."""
        with self._lock:
            labels = (self._reason_labels.value_or_other(service),)
            self._increment("platform_failures_total", labels)

    def new_token_timer(self, rank: Rank) -> TokenTimer:
        """Return a latency timer for a request that arrives now."""
        return TokenTimer(
            rank, started_s=time.monotonic(), on_flush=self.add_token_latencies
        )

    def add_token_latencies(self, latencies: TokenLatencies) -> None:
        """Add token latencies of one request to the histograms."""
        with self._lock:
            if latencies.first_token_s is not None:
                self._first_token_buckets[latencies.rank].add(latencies.first_token_s)
            self._gap_buckets[latencies.rank].merge(latencies.gaps)

    def _increment(self, name: str, labels: tuple[str, ...]) -> None:
        counts = self._counts[name]
        counts[labels] = counts.get(labels, 0) + 1

    def render(self, readings: GaugeReadings, *, accept: str = "") -> RenderedMetrics:
        """Return all metrics, formatted according to an Accept header."""
        with self._lock:
            counts = {name: dict(values) for name, values in self._counts.items()}
            top = self._workspaces.top(TOP_WORKSPACES)
            first_token = {
                rank: rank_buckets.copy()
                for rank, rank_buckets in self._first_token_buckets.items()
            }
            gaps = {
                rank: rank_buckets.copy()
                for rank, rank_buckets in self._gap_buckets.items()
            }
        registry = Registry()
        for name, (doc, label_names) in _COUNTERS.items():
            _add_family(registry, Counter, name, doc, label_names, counts[name])
        values = _gauge_values(readings, dict(top))
        for name, (doc, label_names) in _GAUGES.items():
            _add_family(registry, Gauge, name, doc, label_names, values[name])
        _add_histogram(
            registry, "first_token_seconds", "Time to first token", first_token
        )
        _add_histogram(registry, "inter_token_seconds", "Inter-token latency", gaps)
        body, headers = render(registry, [accept] if accept else [])
        return RenderedMetrics(str(headers["Content-Type"]), bytes(body))


def _rank_label(rank: Rank) -> str:
    return rank.name.lower()


def _gauge_values(
    readings: GaugeReadings, top: Mapping[str, int]
) -> dict[str, dict[tuple[str, ...], int]]:
    return {
        "queued_requests": {(_rank_label(r),): n for r, n in readings.queued.items()},
        "in_flight_requests": {
            (_rank_label(r),): n for r, n in readings.in_flight.items()
        },
        "threads_in_use": {(p,): n for p, n in readings.threads_in_use.items()},
        "config_version": {(): readings.config_version},
        "peers": {(): readings.peers},
        "timeline_overwritten_events": {(): readings.timeline_overwritten},
        "rejected_clock_stamps": {(): readings.rejected_stamps},
        "top_workspace_requests": {(name,): n for name, n in top.items()},
    }


def _add_family(
    registry: Any,
    collector: Callable[..., Any],
    name: str,
    doc: str,
    label_names: tuple[str, ...],
    values: Mapping[tuple[str, ...], int],
) -> None:
    family = collector(f"persimmonwell_{name}", doc, registry=registry)
    for label_values, value in values.items():
        escaped = (escape_label(value) for value in label_values)
        family.set(dict(zip(label_names, escaped, strict=True)), value)


def _add_histogram(
    registry: Any, name: str, doc: str, buckets: Mapping[Rank, HistogramBuckets]
) -> None:
    family = Histogram(f"persimmonwell_{name}", doc, registry=registry)
    for rank, rank_buckets in buckets.items():
        value = HistogramValue(*rank_buckets.bounds)
        cumulative = 0
        for bound, count in zip(value.buckets, rank_buckets.counts, strict=True):
            cumulative += count
            value.buckets[bound] = cumulative
        value.observations, value.sum = cumulative, rank_buckets.total
        family.set_value({"rank": _rank_label(rank)}, value)


def escape_label(value: str) -> str:
    """Escape a label value, since aioprometheus writes values unescaped."""
    escaped = value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
    return "".join(c if c.isprintable() else "?" for c in escaped)
