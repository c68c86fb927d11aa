"""Weigh, eject, probe and readmit upstreams by their failures and latency."""

import random
from collections import defaultdict, deque
from collections.abc import Callable, Hashable, Iterable, Mapping

import attrs

EJECT_AFTER_FAILURES = 3
FAILURE_SHARE = 0.25
"""Weight factor for each consecutive failure before ejection."""
SLOW_START_S = 3.0
SLOW_START_SHARE = 0.1
"""Weight at the start of the ramp."""
FIRST_PROBE_S = 0.25
MAX_PROBE_S = 5.0
MAX_EJECTION_S = 60.0
SLOW_EJECTION_S = 5.0
"""Least time out of service for latency, since a probe does not show latency."""
PROBE_JITTER = 0.2
"""Relative; hosts that lost an upstream together do not probe it together."""
MIN_SAMPLES = 5
SLOW_RATIO = 3.0
"""Above the 2.5-fold spread between idle and full batches on healthy engines."""
RECOVERED_RATIO = 2.0
EJECT_RATIO = 8.0
MIN_SLOW_GAP = 1.5
"""In units of the gap that the declared throughput gives for a full batch."""
MIN_SLOW_FIRST_TOKEN = 1.5
"""In units of the prefill time that the declared throughput suggests for the whole
prompt. Peers whose caches hold the prompt answer up to a thousand times sooner, so
the relation to them alone would make outliers of all others."""
LEAST_MEDIAN = 0.5
"""Below it the peers' latency says that they cached or idled, not what is normal."""
WINDOW_SAMPLES = 8
STABLE_S = 30.0
"""In service for this long, an upstream's earlier ejections no longer count."""
SUSPECT_SHARE = 0.8
"""Of the highest estimate in a chain; below it a part is not blamed."""
LATENCY_CHECK_S = 0.5


class LatencyWindow:
    """Hold the last latencies of the chains that one part was in.

    Its value is near the least of them: a slow part delays every chain it is in,
    while other parts of those chains also see fast ones.
    """

    def __init__(self) -> None:
        self._latencies: deque[float] = deque(maxlen=WINDOW_SAMPLES)

    @property
    def is_known(self) -> bool:
        """Return whether there are enough latencies to compare."""
        return len(self._latencies) >= MIN_SAMPLES

    @property
    def value(self) -> float:
        """Return the second least latency, 0 without enough of them."""
        return sorted(self._latencies)[1] if self.is_known else 0.0

    def add(self, latency: float) -> None:
        """Add a latency; the oldest one is dropped."""
        self._latencies.append(latency)


@attrs.define(eq=False)
class _Record:
    """Hold the evidence about one upstream or link."""

    peers: Hashable
    incarnation: str
    failures: int = 0
    """Consecutive failures."""
    ejected: bool = False
    ejections: int = 0
    """Consecutive ejections without a success between them."""
    on_trial: bool = False
    """Whether the next failure ejects again."""
    ramp_from_s: float = float("-inf")
    slowness: float = 1.0
    """Latency in relation to the median of its peers, 1 unless an outlier."""
    was_slow: bool = False
    """Whether it returned from an ejection for latency and is not yet known."""
    first_token: LatencyWindow = attrs.field(factory=LatencyWindow)
    gap: LatencyWindow = attrs.field(factory=LatencyWindow)
    probe_at_s: float | None = None
    probe_interval_s: float = FIRST_PROBE_S
    probing: bool = False


class HealthTracker:
    """Hold the health of upstreams and links by id.

    may_eject answers whether the fleet still covers every layer without an
    upstream; where it does not, the upstream stays in service at low weight.
    """

    def __init__(self, *, seed: int, may_eject: Callable[[str], bool]) -> None:
        self._random = random.Random(seed)
        self._may_eject = may_eject
        self._records: dict[str, _Record] = {}
        self._by_peers: dict[Hashable, set[str]] = defaultdict(set)
        self._new_evidence: set[Hashable] = set()
        self._scheduled: set[str] = set()
        self._checked_s = float("-inf")

    def update(
        self, known: Mapping[str, tuple[Hashable, str]], *, now_s: float
    ) -> None:
        """Replace the set of ids; each has its peers' key and its incarnation.

        A new id or incarnation starts slowly, except in the first fleet, where no
        other upstream could take its load.
        """
        first = not self._records
        for key in self._records.keys() - known.keys():
            self._remove(key)
        for key, (peers, incarnation) in known.items():
            record = self._records.get(key)
            if record is not None and record.incarnation == incarnation:
                if record.peers == peers:
                    continue
            if record is not None:
                self._remove(key)
            ramp_from_s = float("-inf") if first else now_s
            self._records[key] = _Record(peers, incarnation, ramp_from_s=ramp_from_s)
            self._by_peers[peers].add(key)

    def _remove(self, key: str) -> None:
        record = self._records.pop(key)
        self._scheduled.discard(key)
        self._by_peers[record.peers].discard(key)
        if not self._by_peers[record.peers]:
            del self._by_peers[record.peers]

    def is_ejected(self, key: str) -> bool:
        """Return whether an upstream is out of service."""
        record = self._records.get(key)
        return record is not None and record.ejected

    def ramp(self, key: str, now_s: float) -> float:
        """Return the slow-start share of an upstream, up to 1."""
        record = self._records.get(key)
        if record is None:
            return 1.0
        done = (now_s - record.ramp_from_s) / SLOW_START_S
        return min(1.0, SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * max(0.0, done))

    def capacity_share(self, key: str) -> float:
        """Return the share of its throughput to plan with: 0 when ejected."""
        record = self._records.get(key)
        if record is None:
            return 1.0
        return 0.0 if record.ejected else 1.0 / record.slowness

    def weight(self, key: str, now_s: float) -> float:
        """Return the weight for choosing an upstream: 0 when ejected, up to 1."""
        record = self._records.get(key)
        if record is None:
            return 1.0
        failures = min(record.failures, EJECT_AFTER_FAILURES)
        trust = float(FAILURE_SHARE**failures) * self.capacity_share(key)
        return self.ramp(key, now_s) * trust

    def failed(self, key: str, *, now_s: float) -> None:
        """Count a failure; a first one starts a probe, several eject."""
        record = self._records.get(key)
        if record is None or record.ejected:
            return
        record.failures += 1
        if record.on_trial or record.failures >= EJECT_AFTER_FAILURES:
            self._eject(key, record, FIRST_PROBE_S, now_s)
        elif not record.probing:
            self._schedule(key, record, now_s)

    def succeeded(self, key: str, *, now_s: float) -> None:
        """Clear consecutive failures; a late success does not readmit."""
        record = self._records.get(key)
        if record is None or record.ejected:
            return
        record.failures = 0
        record.on_trial = False
        if now_s >= record.ramp_from_s + STABLE_S:
            record.ejections = 0

    def first_token(self, keys: Iterable[str], latency: float) -> None:
        """Add a time to first token of a chain, in units common to the peers."""
        self._add(keys, latency, lambda record: record.first_token)

    def token_gap(self, keys: Iterable[str], gap: float) -> None:
        """Add an inter-token latency of a chain, in units common to the peers."""
        self._add(keys, gap, lambda record: record.gap)

    def _add(
        self,
        keys: Iterable[str],
        latency: float,
        window_of: Callable[[_Record], LatencyWindow],
    ) -> None:
        """Add a chain's latency to those of its parts that may have caused it.

        A part that is ejected or clearly slower than the others explains a high
        latency; blaming the others too would make outliers of all that share
        chains with it.
        """
        found = [self._records[key] for key in keys if key in self._records]
        highest = max((window_of(record).value for record in found), default=0.0)
        suspects = [record for record in found if record.ejected or record.was_slow]
        for record in found:
            window = window_of(record)
            blamed = not window.is_known or window.value >= SUSPECT_SHARE * highest
            if suspects:
                blamed = record in suspects
            if not record.ejected and (blamed or latency <= window.value):
                window.add(latency)
                self._new_evidence.add(record.peers)

    def readmit(self, key: str, *, now_s: float) -> None:
        """Return an ejected upstream to service with slow start."""
        record = self._records.get(key)
        if record is None or not record.ejected:
            return
        record.ejected = False
        record.on_trial = True
        record.failures = 0
        record.slowness = 1.0
        record.first_token = LatencyWindow()
        record.gap = LatencyWindow()
        record.ramp_from_s = now_s
        record.probe_at_s = None
        self._scheduled.discard(key)

    def _eject(self, key: str, record: _Record, least_s: float, now_s: float) -> None:
        if not self._may_eject(key):
            return
        record.ejected = True
        record.probe_interval_s = min(MAX_EJECTION_S, least_s * 2**record.ejections)
        record.ejections += 1
        if not record.probing:
            self._schedule(key, record, now_s + self._jittered(record))

    def _jittered(self, record: _Record) -> float:
        return record.probe_interval_s * self._random.uniform(1.0, 1.0 + PROBE_JITTER)

    def _schedule(self, key: str, record: _Record, at_s: float) -> None:
        record.probe_at_s = at_s
        self._scheduled.add(key)

    def probes_due(self, now_s: float) -> tuple[str, ...]:
        """Return the upstreams to probe now, each once until its result."""
        due: list[str] = []
        for key in sorted(self._scheduled):
            record = self._records[key]
            if record.probe_at_s is not None and record.probe_at_s <= now_s:
                record.probe_at_s = None
                record.probing = True
                self._scheduled.discard(key)
                due.append(key)
        return tuple(due)

    def probe_result(self, key: str, *, succeeded: bool, now_s: float) -> None:
        """Apply a probe's answer.

        A success readmits an ejected upstream. It does not clear the failures of
        one in service, which may answer probes and still fail every request.
        """
        record = self._records.get(key)
        if record is None:
            return
        record.probing = False
        if succeeded:
            self.readmit(key, now_s=now_s)
        elif record.ejected:
            doubled = max(FIRST_PROBE_S, 2 * record.probe_interval_s)
            record.probe_interval_s = min(MAX_PROBE_S, doubled)
            self._schedule(key, record, now_s + self._jittered(record))
        else:
            self.failed(key, now_s=now_s)

    def check_latency(self, now_s: float) -> set[str]:
        """Compare new evidence with the peers; return the ids that changed.

        Runs at most every LATENCY_CHECK_S and only over peers with new evidence.
        """
        if now_s < self._checked_s + LATENCY_CHECK_S:
            return set()
        self._checked_s = now_s
        changed: set[str] = set()
        for peers in sorted(self._new_evidence & self._by_peers.keys(), key=repr):
            changed |= self._compare(peers, now_s)
        self._new_evidence.clear()
        return changed

    def _compare(self, peers: Hashable, now_s: float) -> set[str]:
        keys = sorted(self._by_peers[peers])
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
                record.was_slow = False
            if slowness >= EJECT_RATIO:
                record.was_slow = True
                self._eject(key, record, SLOW_EJECTION_S, now_s)
        return changed


def _ratios(latencies: Mapping[str, LatencyWindow]) -> dict[str, float]:
    """Return each latency in relation to the lower median of all."""
    known = {k: window.value for k, window in latencies.items() if window.is_known}
    if len(known) < 2:
        return {}
    median = sorted(known.values())[(len(known) - 1) // 2]
    return {key: value / max(median, LEAST_MEDIAN) for key, value in known.items()}
