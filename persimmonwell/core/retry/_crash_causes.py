"""Quarantine of prompt parts under which upstreams crash.

Requests that share such a part are otherwise all different, so that no request has a
history of its own. A part is quarantined when crash follows crash while requests with
it were starting and none with it got an answer. Crashes at one moment may have a common
cause such as the loss of a rack; they quarantine a part only if it was not answered
lately, and it is tried again soon. Hosts merge their evidence; the merge
is commutative and idempotent, so that it may arrive in any order and more than once.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from hashlib import blake2b

import attrs

MIN_CRASHES = 2
"""Crashes for the quarantine of a part that was never answered. Each doubling of the
answers that a part had before requires one more."""
MAX_TRIAL_SLOT = 20
"""Slot in which a million hosts have their turn."""
MAX_COUNTED_ANSWERS = 63
MIN_CRASH_INTERVAL_S = 0.2
"""Crashes that follow sooner are joint ones, since a common cause such as the loss of a
rack takes many upstreams at the same moment."""
EXTRA_JOINT_CRASHES = 1
"""Joint crashes for a quarantine beyond the number of separate ones."""
JOINT_QUIET_S = 1.0
"""Time before joint crashes without an answer to the part; when a rack is lost, other
upstreams answer requests with the parts that are in use."""
SAME_CRASH_S = 3.0
"""Reports on one incarnation that differ by less mean the same crash. A stall is seen
up to 2.5 s later than a broken connection, and a replica needs longer to start."""
CRASH_TTL_S = 300.0
"""Time after which a crash no longer counts."""
FIRST_TRIAL_S = 30.0
"""Time from the last crash to a trial of a quarantined part; each crash beyond those
that were needed doubles it."""
FIRST_JOINT_TRIAL_S = 2.0
"""Time from the first answer to anything since the last crash to a trial of a part with
joint crashes alone; each separate crash after the first multiplies it by four."""
TRIAL_SLOT_S = 1.0
"""Time for the outcome of a trial to reach all hosts; then twice as many may try."""
SHARE_S = 20.0
"""Time for which evidence that does not quarantine a part is sent to the peers."""
MAX_SHARED_PARTS = 16
MAX_CRASHES = 32
"""Crashes kept for one part, the newest ones."""
MAX_ANSWERED_PARTS = 8192
MAX_SUSPECT_PARTS = 1024


@attrs.frozen
class CauseEvidence:
    """Evidence about one prompt part, as hosts send it to each other.

    Times are ages, since the clocks of two hosts differ.
    """

    cause_id: str
    depth: int
    """Position in the prompt; fewer requests share a deeper part."""
    answers: int
    """Answers that began, as far as one host counted them."""
    answer_age_s: float | None
    """Time since an answer to a request with the part began, None if none did."""
    crash_ages_s: tuple[tuple[int, float], ...]
    """Id of the incarnation that crashed and time since then, for each crash. An id may
    occur twice: an incarnation is known by its registry entry, and a replica that is
    back serves before its new entry is read."""


@attrs.frozen
class CauseCount:
    """Crashes that count against a part, and those that quarantine it."""

    cause_id: str
    crashes: int
    separate_crashes: int
    """Crashes that did not follow another one within MIN_CRASH_INTERVAL_S."""
    needed: float
    """Separate crashes from which the part is quarantined."""


@attrs.frozen
class _Crash:
    incarnation_id: int
    at_s: float

    def is_same(self, other: "_Crash") -> bool:
        """Return whether two reports mean the same crash."""
        return (
            self.incarnation_id == other.incarnation_id
            and abs(self.at_s - other.at_s) < SAME_CRASH_S
        )


@attrs.define
class _Answers:
    count: int = 0
    last_s: float = float("-inf")


@attrs.define
class _Suspect:
    depth: int
    changed_s: float
    answers: _Answers = attrs.field(factory=_Answers)
    crashes: list[_Crash] = attrs.field(factory=list)
    """Crashes since the last answer."""
    resumed_s: float | None = None
    """Time of the first answer to any request since the newest crash."""
    tried_s: float = float("-inf")
    """Time at which this host let a request through as a trial."""

    @property
    def crashes_needed(self) -> float:
        answers = min(self.answers.count, MAX_COUNTED_ANSWERS)
        return MIN_CRASHES + math.log2(1 + answers)

    def count_crashes(self, explained: Collection[_Crash] = ()) -> int:
        """Return the number of separate crashes, without explained ones."""
        times_s = sorted(self._crash_times_s(explained))
        count, counted_s = 0, float("-inf")
        for at_s in times_s:
            if at_s - counted_s >= MIN_CRASH_INTERVAL_S:
                count, counted_s = count + 1, at_s
        return count

    def _crash_times_s(self, explained: Collection[_Crash]) -> list[float]:
        """Return the times of the crashes without explained ones."""
        return [
            crash.at_s
            for crash in self.crashes
            if not any(crash.is_same(other) for other in explained)
        ]

    def excess(self, explained: Collection[_Crash] = ()) -> float:
        """Return by how much the crashes exceed those needed, below 0 for too few."""
        separate = self.count_crashes(explained) - self.crashes_needed
        return max(separate, self._joint_excess(explained))

    def _joint_excess(self, explained: Collection[_Crash]) -> float:
        times_s = self._crash_times_s(explained)
        if not times_s or min(times_s) - self.answers.last_s < JOINT_QUIET_S:
            return float("-inf")
        return len(times_s) - self.crashes_needed - EXTRA_JOINT_CRASHES

    @property
    def trial_due_s(self) -> float:
        """Return the time from which one request may show that the part is harmless."""
        last_s = max(crash.at_s for crash in self.crashes)
        separate = self.count_crashes()
        extra = separate - math.ceil(self.crashes_needed)
        if extra >= 0 or self.resumed_s is None:
            return last_s + FIRST_TRIAL_S * 2.0 ** max(0, extra)
        # Upstreams that crashed together are back together. A trial before that would
        # have no outcome, and all hosts would have their turn by then.
        return self.resumed_s + FIRST_JOINT_TRIAL_S * 4.0 ** max(0, separate - 1)

    def add_crash(self, crash: _Crash) -> bool:
        """Add a crash, and drop the oldest one if there are too many.

        Of two reports of one crash the earlier one is kept. Returns whether the crashes
        have changed.
        """
        known = next((each for each in self.crashes if each.is_same(crash)), None)
        if known is not None:
            if known.at_s <= crash.at_s:
                return False
            self.crashes.remove(known)
        else:
            self.resumed_s = None
        self.crashes.append(crash)
        if len(self.crashes) > MAX_CRASHES:
            self.crashes.remove(min(self.crashes, key=lambda each: each.at_s))
        return True

    def drop_crashes_before(self, at_s: float) -> bool:
        """Drop the crashes up to a moment; return whether there were any."""
        before = len(self.crashes)
        self.crashes = [crash for crash in self.crashes if crash.at_s > at_s]
        return len(self.crashes) < before


class CauseQuarantine:
    """Answers and crashes by prompt part, bounded in number and age."""

    def __init__(self) -> None:
        self._answered: OrderedDict[str, _Answers] = OrderedDict()
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._quarantined: frozenset[str] = frozenset()

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the parts whose requests are refused."""
        return self._quarantined

    def find_quarantined(self, cause_ids: Iterable[str]) -> str | None:
        """Return the first quarantined part among those of a request, if any."""
        if not self._quarantined:
            return None
        return next((part for part in cause_ids if part in self._quarantined), None)

    def has_suspect(self, cause_ids: Iterable[str]) -> bool:
        """Return whether an upstream crashed under a part that had no answer since."""
        suspects = (self._suspects.get(cause_id) for cause_id in cause_ids)
        return any(suspect is not None and suspect.crashes for suspect in suspects)

    def begin_trial(
        self, cause_id: str, now_s: float, *, host_rank: Callable[[], int]
    ) -> bool:
        """Return whether one request may show that a quarantined part is harmless.

        host_rank returns the place of this host in an order that all hosts agree on.
        The first one begins; in each later slot twice as many hosts have their turn, so
        that a part of which few requests come is tried too.
        """
        suspect = self._suspects[cause_id]
        waited_s = now_s - suspect.trial_due_s
        if waited_s < 0 or now_s - suspect.tried_s < TRIAL_SLOT_S:
            return False
        if host_rank() >= 2.0 ** min(MAX_TRIAL_SLOT, waited_s // TRIAL_SLOT_S):
            return False
        suspect.tried_s = now_s
        return True

    def record_answer(self, cause_ids: Iterable[str], now_s: float) -> None:
        """Record that the answer to a request with these parts began."""
        is_released = False
        for cause_id in self._quarantined:
            quarantined = self._suspects[cause_id]
            if quarantined.resumed_s is None:
                quarantined.resumed_s = now_s
        for cause_id in cause_ids:
            answers = self._answered.pop(cause_id, None) or _Answers()
            self._answered[cause_id] = answers
            if len(self._answered) > MAX_ANSWERED_PARTS:
                self._answered.popitem(last=False)
            answers.count += 1
            answers.last_s = now_s
            suspect = self._suspects.get(cause_id)
            if suspect is None:
                continue
            suspect.answers.count = max(suspect.answers.count, answers.count)
            suspect.answers.last_s = now_s
            if suspect.drop_crashes_before(now_s):
                suspect.changed_s = now_s
                is_released |= cause_id in self._quarantined
        if is_released:
            self._judge()

    def record_crash(
        self, incarnation: str, starting: Iterable[tuple[str, ...]], at_s: float
    ) -> tuple[str, ...]:
        """Record a crash with the parts of each request that was starting.

        Returns the parts that are quarantined because of it.
        """
        crash = _Crash(_incarnation_id(incarnation), at_s)
        for cause_ids in starting:
            for depth, cause_id in enumerate(cause_ids):
                suspect = self._get_or_add_suspect(cause_id, depth, at_s)
                if at_s <= suspect.answers.last_s:
                    continue
                suspect.changed_s = at_s
                suspect.add_crash(crash)
        return self._judge()

    def record_peer_evidence(
        self, evidence: CauseEvidence, now_s: float
    ) -> tuple[str, ...]:
        """Merge a peer's evidence; return the parts that are quarantined by it."""
        if evidence.cause_id not in self._suspects and not evidence.crash_ages_s:
            return ()
        suspect = self._get_or_add_suspect(evidence.cause_id, evidence.depth, now_s)
        answers = suspect.answers
        needed_before = suspect.crashes_needed
        answers.count = max(answers.count, evidence.answers)
        is_changed = False
        if evidence.answer_age_s is not None:
            answers.last_s = max(answers.last_s, now_s - evidence.answer_age_s)
            is_changed = suspect.drop_crashes_before(answers.last_s)
        oldest_s = max(answers.last_s, now_s - CRASH_TTL_S)
        for incarnation_id, age_s in evidence.crash_ages_s:
            if now_s - age_s > oldest_s:
                crash = _Crash(incarnation_id, now_s - age_s)
                is_changed |= suspect.add_crash(crash)
        if is_changed:
            suspect.changed_s = now_s
        elif suspect.crashes_needed == needed_before:
            return ()
        return self._judge()

    def counts(self, cause_ids: Iterable[str]) -> tuple[CauseCount, ...]:
        """Return the crashes counted against those parts that are suspected."""
        suspects = {cause_id: self._suspects.get(cause_id) for cause_id in cause_ids}
        return tuple(
            CauseCount(
                cause_id,
                crashes=len(suspect.crashes),
                separate_crashes=suspect.count_crashes(),
                needed=suspect.crashes_needed,
            )
            for cause_id, suspect in suspects.items()
            if suspect is not None
        )

    def evidence(self, now_s: float) -> tuple[CauseEvidence, ...]:
        """Return the evidence to send to the peers, on quarantined parts first."""
        rows = [
            (cause_id not in self._quarantined, -suspect.changed_s, cause_id, suspect)
            for cause_id, suspect in self._suspects.items()
            if cause_id in self._quarantined or now_s - suspect.changed_s < SHARE_S
        ]
        return tuple(
            CauseEvidence(
                cause_id=cause_id,
                depth=suspect.depth,
                answers=suspect.answers.count,
                answer_age_s=(
                    max(0.0, now_s - suspect.answers.last_s)
                    if math.isfinite(suspect.answers.last_s)
                    else None
                ),
                crash_ages_s=tuple(
                    (crash.incarnation_id, max(0.0, now_s - crash.at_s))
                    for crash in suspect.crashes
                ),
            )
            for _, _, cause_id, suspect in sorted(rows, key=lambda row: row[:3])[
                :MAX_SHARED_PARTS
            ]
        )

    def expire(self, now_s: float) -> None:
        """Drop crashes that no longer count."""
        is_changed = False
        for cause_id, suspect in list(self._suspects.items()):
            is_changed |= suspect.drop_crashes_before(now_s - CRASH_TTL_S)
            if not suspect.crashes and now_s - suspect.changed_s >= SHARE_S:
                del self._suspects[cause_id]
        if is_changed:
            self._judge()

    def _get_or_add_suspect(self, cause_id: str, depth: int, now_s: float) -> _Suspect:
        suspect = self._suspects.get(cause_id)
        if suspect is None:
            answers = self._answered.get(cause_id, _Answers())
            suspect = self._suspects[cause_id] = _Suspect(
                depth, now_s, attrs.evolve(answers)
            )
            if len(self._suspects) > MAX_SUSPECT_PARTS:
                self._evict_oldest()
        suspect.depth = max(suspect.depth, depth)
        return suspect

    def _evict_oldest(self) -> None:
        """Drop the oldest suspect, one that is not quarantined if possible."""
        oldest = next(iter(self._suspects))
        evicted = next(
            (part for part in self._suspects if part not in self._quarantined), oldest
        )
        del self._suspects[evicted]
        self._quarantined -= {evicted}

    def _judge(self) -> tuple[str, ...]:
        """Quarantine the fewest parts that explain the crashes; return the new ones.

        A part that only accompanies a quarantined one loses the crashes that the
        latter explains.
        """
        explained: list[_Crash] = []
        found: set[str] = set()
        while True:
            ranked = []
            for cause_id, suspect in self._suspects.items():
                if cause_id in found:
                    continue
                excess = suspect.excess(explained)
                if excess >= 0:
                    rank = (excess, -suspect.answers.count, suspect.depth, cause_id)
                    ranked.append(rank)
            if not ranked:
                break
            cause_id = max(ranked)[-1]
            found.add(cause_id)
            explained += self._suspects[cause_id].crashes
        new = tuple(sorted(found - self._quarantined))
        self._quarantined = frozenset(found)
        return new


def _incarnation_id(incarnation: str) -> int:
    return int.from_bytes(blake2b(incarnation.encode(), digest_size=4).digest())
