"""Count what one host forwards, in the text format of metrics."""

from collections.abc import Callable

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
PREFIX = "persimmonwell_gateway"


class GatewayMetrics:
    """Hold counters, latency histograms and gauges read at each scrape."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._events = Counter(
            f"{PREFIX}_events_total", "Events by name.", registry=self._registry
        )
        self._gauges = Gauge(
            f"{PREFIX}_state",
            "Values of the host's state by name.",
            registry=self._registry,
        )
        self._first_event = Histogram(
            f"{PREFIX}_first_event_seconds",
            "Time from a request to the first event of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._answer = Histogram(
            f"{PREFIX}_answer_seconds",
            "Time from a request to the end of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._readings: dict[str, Callable[[], float]] = {}

    def count(self, event: str) -> None:
        """Count one event."""
        self._events.inc({"event": event})

    def first_event(self, seconds: float) -> None:
        """Add the time to a first event."""
        self._first_event.observe({}, seconds)

    def answered(self, seconds: float) -> None:
        """Add the time to a complete answer."""
        self._answer.observe({}, seconds)

    def add_reading(self, name: str, read: Callable[[], float]) -> None:
        """Show a value that is read at each scrape."""
        self._readings[name] = read

    def render(self) -> bytes:
        """Return the metrics as text."""
        for name, read in self._readings.items():
            self._gauges.set({"name": name}, read())
        text: bytes = TextFormatter().marshall(self._registry)
        return text
