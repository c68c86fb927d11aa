"""Metrics of one host in the text exposition format."""

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
PREFIX = "persimmonwell_gateway"


class GatewayMetrics:
    """Event counters, latency histograms, and gauges that are read at each scrape."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._event_counter = Counter(
            f"{PREFIX}_events_total", "Events by name.", registry=self._registry
        )
        self._gauges = Gauge(
            f"{PREFIX}_state",
            "Values of the host's state by name.",
            registry=self._registry,
        )
        self._first_event_seconds = Histogram(
            f"{PREFIX}_first_event_seconds",
            "Time from a request to the first event of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._answer_seconds = Histogram(
            f"{PREFIX}_answer_seconds",
            "Time from a request to the end of its answer.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._client_counter = Counter(
            f"{PREFIX}_clients_total",
            "Connections and requests refused or terminated, by reason.",
            registry=self._registry,
        )
        self._crossing_counter = Counter(
            f"{PREFIX}_zone_crossings_total",
            "Sends to replicas in another availability zone, by pair of zones.",
            registry=self._registry,
        )
        self._bytes_in_use = Gauge(
            f"{PREFIX}_bytes", "Bytes in use by purpose.", registry=self._registry
        )
        self._descriptors = Gauge(
            f"{PREFIX}_descriptors",
            "Open descriptors by use.",
            registry=self._registry,
        )
        self._gauge_readers: dict[str, Callable[[], float]] = {}
        self._read_bytes: Callable[[], Mapping[str, float]] = dict
        self._read_descriptors: Callable[[], Mapping[str, float]] = dict
        self._group_readers: dict[str, Callable[[], Mapping[str, float]]] = {}

    def count_event(self, event: str) -> None:
        """Increment the counter of an event."""
        self._event_counter.inc({"event": event})

    def count_client(self, action: str, reason: str) -> None:
        """Count a connection or request that was refused or terminated."""
        self._client_counter.inc({"action": action, "reason": reason})

    def count_crossing(self, source: str, target: str) -> None:
        """Count a send from this host's availability zone to another one."""
        self._crossing_counter.inc({"from": source, "to": target})

    def observe_first_event(self, seconds: float) -> None:
        """Record the time to the first event of an answer."""
        self._first_event_seconds.observe({}, seconds)

    def observe_answer(self, seconds: float) -> None:
        """Record the time to the end of an answer."""
        self._answer_seconds.observe({}, seconds)

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        self._gauge_readers[name] = read

    def set_resource_readers(
        self,
        *,
        read_bytes: Callable[[], Mapping[str, float]],
        read_descriptors: Callable[[], Mapping[str, float]],
    ) -> None:
        """Set the functions that return bytes by purpose and descriptors by use."""
        self._read_bytes = read_bytes
        self._read_descriptors = read_descriptors

    def add_gauge_group(
        self, prefix: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add gauges, named by prefix and key, that are read at each scrape.

        A key that was read once has to be read again, with 0 if need be.
        """
        self._group_readers[prefix] = read

    def render(self) -> bytes:
        """Read the gauges and return all metrics as text."""
        for name, read in self._gauge_readers.items():
            self._gauges.set({"name": name}, read())
        for purpose, size in self._read_bytes().items():
            self._bytes_in_use.set({"purpose": purpose}, size)
        for use, count in self._read_descriptors().items():
            self._descriptors.set({"use": use}, count)
        for prefix, read_group in self._group_readers.items():
            for key, value in read_group().items():
                self._gauges.set({"name": f"{prefix}{key}"}, value)
        text: bytes = TextFormatter().marshall(self._registry)
        return text
