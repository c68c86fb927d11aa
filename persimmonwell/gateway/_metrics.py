"""Metrics of one host in the text exposition format."""

from collections.abc import Callable, Mapping
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.formats.text import TextFormatter

from persimmonwell.core.forwarding import PriorityClass, WaitFacts
from persimmonwell.observe import escape_label

MAX_LABEL_VALUES = 32
"""Values of one label; further ones are counted as `other`."""
OTHER_LABEL = "other"
MAX_SHOWN_SHARES = 16
"""Workspaces whose share is shown, those with the most tokens."""
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
PREFIX = "persimmonwell_gateway"

WorkspaceKey = tuple[str, PriorityClass, str]
"""Service, priority class and workspace."""


def format_class(priority_class: PriorityClass) -> str:
    """Return the text of a priority class: its tenant's priority and its route's."""
    return "/".join(map(str, priority_class))


def describe_wait(facts: WaitFacts | None) -> dict[str, Any]:
    """Return the log fields about what decided a wait."""
    if facts is None:
        return {}

    def to_ms(seconds: float | None) -> float | None:
        return round(seconds * 1000, 1) if seconds is not None else None

    return {
        "class": format_class(facts.priority_class),
        "retry": facts.is_caller_retry,
        "expected_ms": to_ms(facts.expected_wait_s),
        "allowed_ms": to_ms(facts.allowed_wait_s),
        "reports_ms": to_ms(facts.report_age_s),
    }


class GatewayMetrics:
    """Event counters, latency histograms, and gauges that are read at each scrape."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._event_counter = Counter(
            f"{PREFIX}_events_total", "Events by name.", registry=self._registry
        )
        self._event_counts: dict[str, int] = {}
        """Counts that go to the counter when the metrics are read. The counter checks
        and encodes its labels at each change, which was 7% of a plain request."""
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
        self._wait_seconds = Histogram(
            f"{PREFIX}_wait_seconds",
            "Time from a request to its first send or its refusal, by priority class.",
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._refusal_counter = Counter(
            f"{PREFIX}_refusals_total",
            "Requests that ended without an upstream's answer, by reason.",
            registry=self._registry,
        )
        self._retry_counter = Counter(
            f"{PREFIX}_caller_retries_total",
            "Requests that a host had refused before, by what became of them.",
            registry=self._registry,
        )
        self._shares = Gauge(
            f"{PREFIX}_workspace_share",
            "Share of a class's recent tokens on this host, by workspace.",
            registry=self._registry,
        )
        self._label_values: dict[str, set[str]] = {}
        self._read_shares: Callable[[], Mapping[WorkspaceKey, float]] = dict
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
        self._shown_purposes: set[str] = set()
        """Purposes that had bytes when the metrics were read before."""
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
        self._event_counts[event] = self._event_counts.get(event, 0) + 1

    def count_client(self, action: str, reason: str) -> None:
        """Count a connection or request that was refused or terminated."""
        self._client_counter.inc({"action": action, "reason": reason})

    def count_crossing(self, source: str, target: str) -> None:
        """Count a send from this host's availability zone to another one."""
        self._crossing_counter.inc(
            {
                "from": self._bounded("zone", escape_label(source)),
                "to": self._bounded("zone", escape_label(target)),
            }
        )

    def observe_wait(
        self, facts: WaitFacts, seconds: float, *, is_refused: bool = False
    ) -> None:
        """Record the wait of a request that is sent first or refused."""
        result = "refused" if is_refused else "sent"
        priority = self._bounded("class", format_class(facts.priority_class))
        self._wait_seconds.observe({"class": priority, "result": result}, seconds)
        if facts.is_caller_retry:
            self._retry_counter.inc({"result": result})

    def count_refusal(self, reason: str) -> None:
        """Count a request that ended without an upstream's answer."""
        self._refusal_counter.inc({"reason": self._bounded("reason", reason)})

    def set_share_reader(
        self, read: Callable[[], Mapping[WorkspaceKey, float]]
    ) -> None:
        """Set the function that returns the shares of the heaviest workspaces."""
        self._read_shares = read

    def _bounded(self, label: str, value: str) -> str:
        seen = self._label_values.setdefault(label, set())
        if value in seen or len(seen) < MAX_LABEL_VALUES:
            seen.add(value)
            return value
        return OTHER_LABEL

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
        for event, count in self._event_counts.items():
            self._event_counter.set({"event": event}, count)
        for name, read in self._gauge_readers.items():
            self._gauges.set({"name": name}, read())
        sizes = self._read_bytes()
        # A purpose without bytes is not listed any more, and its last size would stay.
        for purpose in self._shown_purposes.difference(sizes):
            self._bytes_in_use.set({"purpose": purpose}, 0)
        for purpose, size in sizes.items():
            self._bytes_in_use.set({"purpose": purpose}, size)
        self._shown_purposes.update(sizes)
        for use, descriptors in self._read_descriptors().items():
            self._descriptors.set({"use": use}, descriptors)
        self._shares.values.clear()
        for (service, priority_class, workspace), share in self._read_shares().items():
            labels = {
                "service": escape_label(service),
                "class": format_class(priority_class),
                "workspace": escape_label(workspace),
            }
            self._shares.set(labels, share)
        for prefix, read_group in self._group_readers.items():
            for key, value in read_group().items():
                self._gauges.set({"name": f"{prefix}{key}"}, value)
        text: bytes = TextFormatter().marshall(self._registry)
        return text
