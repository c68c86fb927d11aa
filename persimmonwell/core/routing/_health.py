"""Outlier detection: ejection, probes, readmission and slow start of upstreams."""

import random
from collections import defaultdict, deque
from collections.abc import Callable, Hashable, Iterable, Mapping

import attrs

EJECT_AFTER_FAILURES = 3
FAILURE_WEIGHT_FACTOR = 0.25
"""Weight factor per consecutive failure before ejection."""
SLOW_START_S = 3.0
SLOW_START_INITIAL_SHARE = 0.1
"""Weight at the start of slow start."""
INITIAL_PROBE_INTERVAL_S = 0.25
MAX_PROBE_INTERVAL_S = 5.0
MAX_EJECTION_S = 60.0
MIN_LATENCY_EJECTION_S = 5.0
"""Minimum ejection time for latency, since probes do not show latency."""
PROBE_JITTER = 0.2
"""Relative jitter, so that hosts that lost an upstream together do not probe it
together."""
MIN_SAMPLES = 5
SLOW_RATIO = 3.0
"""Higher than the 2.5-fold spread between idle and full batches on healthy engines."""
RECOVERED_RATIO = 2.0
EJECT_RATIO = 8.0
MIN_SLOW_GAP = 1.5
"""In units of the full-batch inter-token time by the declared throughput."""
MIN_SLOW_FIRST_TOKEN = 1.5
"""In units of the prefill time of the whole prompt by the declared throughput. Peers
that have the prompt cached answer up to a thousand times sooner, so a comparison with
them alone would make all others outliers."""
MIN_PEER_MEDIAN = 0.5
"""Lower bound of the median used for comparison. A lower median shows that the peers
were idle or had the prompt cached, not what is normal."""
WINDOW_SAMPLES = 8
EJECTION_RESET_S = 30.0
"""Time in service after which a success resets the count of ejections."""
SUSPECT_LATENCY_SHARE = 0.8
"""Share of the highest latency in a chain below which a part is not suspected."""
LATENCY_CHECK_S = 0.5


class LatencyWindow:
    """Recent latencies of the chains that one part, an upstream or link, was in.

    The value is close to the minimum: a slow part delays every chain it is in, while
    the other parts of those chains are also in fast ones.
    """

    def __init__(self) -> None:
        self._latencies: deque[float] = deque(maxlen=WINDOW_SAMPLES)

    @property
    def is_known(self) -> bool:
        """Return whether there are enough samples for a comparison."""
        return len(self._latencies) >= MIN_SAMPLES

    @property
    def value(self) -> float:
        """Return the second lowest latency, 0 without enough samples."""
        return sorted(self._latencies)[1] if self.is_known else 0.0

    def add(self, latency: float) -> None:
        """Add a latency; the oldest of WINDOW_SAMPLES is dropped."""
        self._latencies.append(latency)


@attrs.define(eq=False)
class _HealthRecord:
    """Health of one upstream or link."""

    peer_group: Hashable
    incarnation: str
    failures: int = 0
    """Consecutive failures."""
    ejected: bool = False
    ejections: int = 0
    """Consecutive ejections without a success between them."""
    ejects_on_next_failure: bool = False
    """Whether the next failure ejects again."""
    ramp_from_s: float = float("-inf")
    slowness: float = 1.0
    """Latency relative to the median of the peer group; 1 unless an outlier."""
    was_latency_outlier: bool = False
    """Whether it reached EJECT_RATIO; reset once the gap window has enough samples."""
    first_token: LatencyWindow = attrs.field(factory=LatencyWindow)
    gap: LatencyWindow = attrs.field(factory=LatencyWindow)
    probe_at_s: float | None = None
    probe_interval_s: float = INITIAL_PROBE_INTERVAL_S
    probing: bool = False


class HealthTracker:
    """Health of upstreams and links by id.

    may_eject returns whether the fleet still covers every layer without an upstream.
    If it does not, the upstream stays in service at low weight.
    """

    def __init__(self, *, seed: int, may_eject: Callable[[str], bool]) -> None:
        self._random = random.Random(seed)
        self._may_eject = may_eject
        self._records: dict[str, _HealthRecord] = {}
        self._by_peer_group: dict[Hashable, set[str]] = defaultdict(set)
        self._groups_with_new_samples: set[Hashable] = set()
        self._scheduled: set[str] = set()
        self._checked_s = float("-inf")

    def update(
        self, tracked: Mapping[str, tuple[Hashable, str]], *, now_s: float
    ) -> None:
        """Replace the tracked ids; each maps to its peer group and incarnation.

        A new id or incarnation goes through slow start, except in the first fleet,
        where no other upstream could take its load.
        """
        first = not self._records
        for key in self._records.keys() - tracked.keys():
            self._remove(key)
        for key, (peer_group, incarnation) in tracked.items():
            record = self._records.get(key)
            if record is not None and record.incarnation == incarnation:
                if record.peer_group == peer_group:
                    continue
            if record is not None:
                self._remove(key)
            ramp_from_s = float("-inf") if first else now_s
            self._records[key] = _HealthRecord(
                peer_group, incarnation, ramp_from_s=ramp_from_s
            )
            self._by_peer_group[peer_group].add(key)

    def _remove(self, key: str) -> None:
        record = self._records.pop(key)
        self._scheduled.discard(key)
        self._by_peer_group[record.peer_group].discard(key)
        if not self._by_peer_group[record.peer_group]:
            del self._by_peer_group[record.peer_group]

    def is_ejected(self, key: str) -> bool:
        """Return whether an upstream is ejected."""
        record = self._records.get(key)
        return record is not None and record.ejected

    def ramp(self, key: str, now_s: float) -> float:
        """Return the slow-start factor of an upstream, up to 1."""
        record = self._records.get(key)
        if record is None:
            return 1.0
        done = (now_s - record.ramp_from_s) / SLOW_START_S
        return min(
            1.0,
            SLOW_START_INITIAL_SHARE
            + (1.0 - SLOW_START_INITIAL_SHARE) * max(0.0, done),
        )

    def capacity_share(self, key: str) -> float:
        """Return the share of the declared throughput to plan with; 0 when ejected."""
        record = self._records.get(key)
        if record is None:
            return 1.0
        return 0.0 if record.ejected else 1.0 / record.slowness

    def weight(self, key: str, now_s: float) -> float:
        """Return the weight for choosing an upstream, up to 1; 0 when ejected."""
        record = self._records.get(key)
        if record is None:
            return 1.0
        failures = min(record.failures, EJECT_AFTER_FAILURES)
        confidence = float(FAILURE_WEIGHT_FACTOR**failures) * self.capacity_share(key)
        return self.ramp(key, now_s) * confidence

    def record_failure(self, key: str, *, now_s: float) -> None:
        """Count a failure: schedules a probe, and ejects after several in a row."""
        record = self._records.get(key)
        if record is None or record.ejected:
            return
        record.failures += 1
        if record.ejects_on_next_failure or record.failures >= EJECT_AFTER_FAILURES:
            self._eject(key, record, INITIAL_PROBE_INTERVAL_S, now_s)
        elif not record.probing:
            self._schedule(key, record, now_s)

    def record_success(self, key: str, *, now_s: float) -> None:
        """Reset consecutive failures; has no effect on an ejected upstream."""
        record = self._records.get(key)
        if record is None or record.ejected:
            return
        record.failures = 0
        record.ejects_on_next_failure = False
        if now_s >= record.ramp_from_s + EJECTION_RESET_S:
            record.ejections = 0

    def record_first_token(self, keys: Iterable[str], latency: float) -> None:
        """Record a chain's time to first token, in a unit common to the peer group."""
        self._record_latency(keys, latency, lambda record: record.first_token)

    def record_token_gap(self, keys: Iterable[str], gap: float) -> None:
        """Record a chain's inter-token time, in a unit common to the peer group."""
        self._record_latency(keys, gap, lambda record: record.gap)

    def _record_latency(
        self,
        keys: Iterable[str],
        latency: float,
        window_of: Callable[[_HealthRecord], LatencyWindow],
    ) -> None:
        """Record a chain's latency for those of its parts that may have caused it.

        A part that is ejected or clearly slower than the others explains a high
        latency. Recording it for the others too would make outliers of all parts
        that share chains with it.
        """
        records = [self._records[key] for key in keys if key in self._records]
        highest = max((window_of(record).value for record in records), default=0.0)
        suspects = [
            record for record in records if record.ejected or record.was_latency_outlier
        ]
        for record in records:
            window = window_of(record)
            blamed = (
                not window.is_known or window.value >= SUSPECT_LATENCY_SHARE * highest
            )
            if suspects:
                blamed = record in suspects
            if not record.ejected and (blamed or latency <= window.value):
                window.add(latency)
                self._groups_with_new_samples.add(record.peer_group)

    def readmit(self, key: str, *, now_s: float) -> None:
        """Return an ejected upstream to service with slow start."""
        record = self._records.get(key)
        if record is None or not record.ejected:
            return
        record.ejected = False
        record.ejects_on_next_failure = True
        record.failures = 0
        record.slowness = 1.0
        record.first_token = LatencyWindow()
        record.gap = LatencyWindow()
        record.ramp_from_s = now_s
        record.probe_at_s = None
        self._scheduled.discard(key)

    def _eject(
        self, key: str, record: _HealthRecord, min_interval_s: float, now_s: float
    ) -> None:
        if not self._may_eject(key):
            return
        record.ejected = True
        record.probe_interval_s = min(
            MAX_EJECTION_S, min_interval_s * 2**record.ejections
        )
        record.ejections += 1
        if not record.probing:
            self._schedule(key, record, now_s + self._jittered(record))

    def _jittered(self, record: _HealthRecord) -> float:
        return record.probe_interval_s * self._random.uniform(1.0, 1.0 + PROBE_JITTER)

    def _schedule(self, key: str, record: _HealthRecord, at_s: float) -> None:
        record.probe_at_s = at_s
        self._scheduled.add(key)

    def probes_due(self, now_s: float) -> tuple[str, ...]:
        """Return the upstreams to probe now, each once until its result arrives."""
        due: list[str] = []
        for key in sorted(self._scheduled):
            record = self._records[key]
            if record.probe_at_s is not None and record.probe_at_s <= now_s:
                record.probe_at_s = None
                record.probing = True
                self._scheduled.discard(key)
                due.append(key)
        return tuple(due)

    def apply_probe_result(self, key: str, *, succeeded: bool, now_s: float) -> None:
        """Apply the result of a probe.

        A success readmits an ejected upstream. It does not reset the failures of one
        in service, which may answer probes and still fail every request.
        """
        record = self._records.get(key)
        if record is None:
            return
        record.probing = False
        if succeeded:
            self.readmit(key, now_s=now_s)
        elif record.ejected:
            doubled = max(INITIAL_PROBE_INTERVAL_S, 2 * record.probe_interval_s)
            record.probe_interval_s = min(MAX_PROBE_INTERVAL_S, doubled)
            self._schedule(key, record, now_s + self._jittered(record))
        else:
            self.record_failure(key, now_s=now_s)

    def check_latency(self, now_s: float) -> set[str]:
        """Compare recent latencies within peer groups; return the ids that changed.

        Runs at most every LATENCY_CHECK_S, and only for groups with new samples.
        """
        if now_s < self._checked_s + LATENCY_CHECK_S:
            return set()
        self._checked_s = now_s
        changed: set[str] = set()
        for peer_group in sorted(
            self._groups_with_new_samples & self._by_peer_group.keys(), key=repr
        ):
            changed |= self._compare_with_peers(peer_group, now_s)
        self._groups_with_new_samples.clear()
        return changed

    def _compare_with_peers(self, peer_group: Hashable, now_s: float) -> set[str]:
        keys = sorted(self._by_peer_group[peer_group])
        records = {k: self._records[k] for k in keys if not self._records[k].ejected}
        first = _ratios({k: r.first_token for k, r in records.items()})
        gaps = _ratios({k: r.gap for k, r in records.items()})
        changed: set[str] = set()
        for key, record in records.items():
            ratio = 1.0
            if record.gap.value > MIN_SLOW_GAP:
                ratio = gaps.get(key, 1.0)
            if record.first_token.value > MIN_SLOW_FIRST_TOKEN:
                ratio = max(ratio, first.get(key, 1.0))
            limit = RECOVERED_RATIO if record.slowness > 1.0 else SLOW_RATIO
            slowness = ratio if ratio > limit else 1.0
            if slowness != record.slowness:
                record.slowness = slowness
                changed.add(key)
            if record.gap.is_known:
                record.was_latency_outlier = False
            if slowness >= EJECT_RATIO:
                record.was_latency_outlier = True
                self._eject(key, record, MIN_LATENCY_EJECTION_S, now_s)
        return changed


def _ratios(latencies: Mapping[str, LatencyWindow]) -> dict[str, float]:
    """Return each latency relative to the lower median of all."""
    known = {k: window.value for k, window in latencies.items() if window.is_known}
    if len(known) < 2:
        return {}
    median = sorted(known.values())[(len(known) - 1) // 2]
    return {key: value / max(median, MIN_PEER_MEDIAN) for key, value in known.items()}
