"""Quarantine of causes under which upstreams crash: requests, and parts of prompts.

A request may crash each upstream that runs it, and so may each request with one part of
its prompt, although no two of these are alike. The crash may come at any point of the
answer, so that all requests of an upstream are suspected when it crashes, and only a
complete answer shows that one is harmless. A cause is quarantined when crash follows
crash without such an answer and no other cause explains the crashes. Crashes at one
moment may have a common cause such as the loss of a rack; they quarantine a part only
if it was not answered lately, and it is tried again soon. Hosts merge their evidence;
the merge is commutative and idempotent, so that it may arrive in any order and more
than once.
"""

import math
from bisect import bisect_left, bisect_right, insort
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable, Iterator
from hashlib import blake2b
from itertools import pairwise

import attrs

MIN_CRASHES = 2
"""Crashes for the quarantine of a cause that was never answered. Each doubling of the
answers that it had before requires one more."""
EXTRA_LATE_REQUEST_CRASHES = 1
EXTRA_LATE_PART_CRASHES = 2
"""Crashes required beyond that if the request was not starting at all of them. Others
share a part, and refusing it refuses them too."""
EXTRA_AMBIGUOUS_CRASHES = 2
"""Crashes beyond MIN_CRASHES from which one of several requests that explain the same
crashes is quarantined. If the crashes go on without it, another one explains more."""
DEPTH_PREFERENCE = 2.0
"""Crashes by which a part must exceed a deeper one to be preferred. Each request with
the deeper one has both, and news of it may come later from other hosts."""
MAX_TRIAL_SLOT = 20
"""Slot in which a million hosts have their turn."""
MAX_COUNTED_ANSWERS = 63
MIN_CRASH_INTERVAL_S = 0.2
"""Crashes that follow sooner are joint ones, since a common cause such as the loss of a
rack takes many upstreams at the same moment, unless the upstream had answered since."""
EXTRA_JOINT_CRASHES = 1
"""Joint crashes for a quarantine beyond the number of separate ones."""
JOINT_QUIET_S = 1.0
"""Time before joint crashes without an answer to the part; when a rack is lost, other
upstreams answer requests with the parts that are in use."""
LATE_QUIET_S = 2.0
"""Time after an answer in which a crash under a later point of another one does not
count: when many upstreams are lost, it may be that long until each one is noticed."""
COMMON_LOSS_S = 2.0
MIN_COMMON_LOSSES = 2
"""Crashes of other upstreams within that time that make one part of a common loss. That
is weak evidence against requests, and against parts if the answers had begun."""
EXTRA_COMMON_REQUEST_CRASHES = 2
EXTRA_COMMON_PART_CRASHES = 6
"""Crashes required beyond the others if they are parts of common losses. Several
requests that crash upstreams at the same time look like one."""
SAME_CRASH_S = 3.0
"""Reports on one incarnation that differ by less mean the same crash. A stall is seen
up to 2.5 s later than a broken connection, and a replica needs longer to start."""
CRASH_TTL_S = 300.0
"""Time after which a crash that does not quarantine its cause no longer counts, and for
which a quarantined cause waits for a trial."""
ANSWERED_TTL_S = 600.0
"""Time for which answers count in a cause's favour."""
FIRST_TRIAL_S = 30.0
"""Time from the last crash to the first trial of a quarantined cause."""
TRIAL_DELAYS_S = (FIRST_TRIAL_S, 120.0, 480.0, 86_400.0)
"""Time from the last crash to a trial, by the number of trials that ended with one.
A cause may reach them three times after it is known, so the fourth is a day off."""
FIRST_JOINT_TRIAL_S = 2.0
"""Time from the first answer to anything since the last crash to a trial of a part with
joint crashes alone; each separate crash after the first multiplies it by four."""
TRIAL_SLOT_S = 5.0
"""Time for the outcome of a trial to reach all hosts; then twice as many may try."""
SHARE_S = 6.0
"""Time for which changed evidence is sent to all peers. Later a quarantine is sent only
to peers that state another set of quarantined causes."""
MAX_SHARED_CAUSES = 16
"""Changed causes in one message."""
MAX_URGENT_CAUSES = 8
"""Those among them that are nearest to a quarantine; the others are sent in turn."""
MAX_RANKED_CAUSES = 256
"""Changed causes from which those with one crash are no longer among these."""
MAX_REPEATED_CAUSES = 4
"""Unchanged quarantined causes in one message, in turn."""
MAX_CRASHES = 32
"""Crashes kept for one cause, the newest ones."""
MAX_ANSWERED = 8192
"""Answered parts that are kept, and as many answered requests."""
MAX_SUSPECTS = 2048
MAX_LOSSES = 512
"""Crashes of any cause that are kept, the newest ones."""
EXPIRY_INTERVAL_S = 1.0
_MAX_HASH = 1 << 32
REQUEST_PREFIX = "#"
"""First character of a request's cause; ids of parts consist of letters and digits."""


def request_cause(digest: str) -> str:
    """Return the id of the cause that is one request, sent any number of times."""
    return REQUEST_PREFIX + digest


@attrs.frozen
class CrashCandidate:
    """Request that ran on an upstream when it crashed."""

    parts: tuple[str, ...]
    """Prompt parts that other requests may have too, in order."""
    digest: str = ""
    is_starting: bool = True
    """Whether the upstream may have been writing the first part of the answer."""
    sent_s: float | None = None
    """Time from which it ran there, None if unknown."""
    answered_s: float | None = None
    """Time at or after which the upstream sent a part of the answer, None if it sent
    none."""

    @property
    def causes(self) -> Iterator[tuple[str, int]]:
        """Yield the ids of the possible causes with their depths, the request last."""
        for depth, part_id in enumerate(self.parts):
            yield part_id, depth
        if self.digest:
            yield request_cause(self.digest), len(self.parts)


@attrs.frozen
class CauseEvidence:
    """Evidence about one cause, as hosts send it to each other.

    Times are ages, since the clocks of two hosts differ.
    """

    cause_id: str
    depth: int
    """Position in the prompt; fewer requests share a deeper part."""
    answers: int
    """Complete answers, as far as one host counted them."""
    answer_age_s: float | None
    """Time since the last complete answer, None if there was none."""
    crash_ages_s: tuple[tuple[int, float], ...]
    """Id of the incarnation that crashed and time since then, for each crash. An id may
    occur twice: an incarnation is known by its registry entry, and a replica that is
    back serves before its new entry is read."""
    late: frozenset[int] = frozenset()
    """Positions of the crashes at which the request was past the start."""
    separate: frozenset[int] = frozenset()
    """Positions of the crashes that are no joint ones, however soon they followed."""
    is_quarantined: bool = False


@attrs.frozen
class CauseCount:
    """Crashes that count against a cause, and those that quarantine it."""

    cause_id: str
    crashes: int
    separate_crashes: int
    """Crashes that are no joint ones."""
    needed: float
    """Separate crashes from which the cause is quarantined."""


@attrs.frozen
class _Crash:
    incarnation_id: int
    at_s: float
    is_late: bool = False
    is_separate: bool = False
    """Whether it is no joint crash although it follows another one soon: the request
    was sent after that, or the upstream answered after it."""

    def is_same(self, other: "_Crash") -> bool:
        """Return whether two reports mean the same crash."""
        return (
            self.incarnation_id == other.incarnation_id
            and abs(self.at_s - other.at_s) < SAME_CRASH_S
        )

    def is_among(self, crashes: Iterable["_Crash"]) -> bool:
        """Return whether a report of the same crash is among others."""
        return any(self.is_same(other) for other in crashes)


@attrs.define
class _Answers:
    count: int = 0
    last_s: float = float("-inf")


@attrs.define
class _Suspect:
    depth: int
    changed_s: float
    is_request: bool
    answers: _Answers = attrs.field(factory=_Answers)
    crashes: list[_Crash] = attrs.field(factory=list)
    """Crashes since the last answer."""
    resumed_s: float | None = None
    """Time of the first answer to any request since the newest crash."""
    tried_s: float = float("-inf")
    """Time at which this host let a request through as a trial."""
    shares: int = 0
    """Messages with the evidence since it changed."""
    losses: "_Losses" = attrs.field(kw_only=True)
    """Crashes of any cause, for all suspects of a host."""

    def record_change(self, now_s: float) -> None:
        """Send the evidence to all peers again."""
        self.changed_s = now_s
        self.shares = 0

    def is_after_crashes(self, moment_s: float | None) -> bool:
        """Return whether a moment is known and lies after the known crashes."""
        return (
            moment_s is not None
            and bool(self.crashes)
            and moment_s >= max(crash.at_s for crash in self.crashes)
        )

    def count_separate(self, crashes: Iterable[_Crash]) -> int:
        """Return the number of crashes that are no joint ones."""
        count, counted_s = 0, float("-inf")
        for crash in sorted(crashes, key=lambda each: each.at_s):
            if crash.is_separate or crash.at_s - counted_s >= MIN_CRASH_INTERVAL_S:
                count, counted_s = count + 1, crash.at_s
        return count

    @property
    def part_depth(self) -> int:
        """Return the depth of the part, or of the deepest one of the request."""
        return max(0, self.depth - self.is_request)

    @property
    def crashes_needed(self) -> float:
        answers = min(self.answers.count, MAX_COUNTED_ANSWERS)
        return MIN_CRASHES + math.log2(1 + answers)

    def unexplained(self, explained: Collection[_Crash]) -> list[_Crash]:
        """Return the crashes that another cause does not explain."""
        if not explained:
            return self.crashes
        return [crash for crash in self.crashes if not crash.is_among(explained)]

    def excess(self, explained: Collection[_Crash] = ()) -> float:
        """Return by how much the crashes exceed those needed, below 0 for too few."""
        quiet_s = self.answers.last_s + LATE_QUIET_S
        crashes = [
            crash
            for crash in self.unexplained(explained)
            if not crash.is_late or crash.at_s >= quiet_s
        ]
        extra = (
            EXTRA_COMMON_REQUEST_CRASHES
            if self.is_request
            else EXTRA_COMMON_PART_CRASHES
        )
        single = [crash for crash in crashes if not self._is_common(crash)]
        return max(
            self._separate_excess(single),
            self._separate_excess(crashes) - extra,
            self._joint_excess([crash for crash in single if not crash.is_late]),
        )

    def _separate_excess(self, crashes: Collection[_Crash]) -> float:
        early = [crash for crash in crashes if not crash.is_late]
        extra = (
            EXTRA_LATE_REQUEST_CRASHES if self.is_request else EXTRA_LATE_PART_CRASHES
        )
        count = max(self.count_separate(early), self.count_separate(crashes) - extra)
        return count - self.crashes_needed

    def _is_common(self, crash: _Crash) -> bool:
        """Return whether a crash is part of a common loss, and so weak evidence."""
        at_s = crash.at_s
        if not (crash.is_late or self.is_request):
            return False
        own = sum(abs(crash.at_s - at_s) <= COMMON_LOSS_S for crash in self.crashes)
        return self.losses.count_near(at_s) - own >= MIN_COMMON_LOSSES

    def _joint_excess(self, early: Collection[_Crash]) -> float:
        # One request passes through many upstreams of a rack, and so proves nothing.
        if self.is_request or not early:
            return float("-inf")
        if min(crash.at_s for crash in early) - self.answers.last_s < JOINT_QUIET_S:
            return float("-inf")
        return len(early) - self.crashes_needed - EXTRA_JOINT_CRASHES

    def is_explained_by(self, other: "_Suspect", crashes: Iterable[_Crash]) -> bool:
        """Return whether another cause explains the same crashes at least as well."""
        return (
            other.is_request is self.is_request
            and (self.is_request or other.depth >= self.depth)
            and other.crashes_needed <= self.crashes_needed
            and all(crash.is_among(other.crashes) for crash in crashes)
        )

    @property
    def trial_due_s(self) -> float:
        """Return the time from which one request may show that it is harmless."""
        times_s = sorted(crash.at_s for crash in self.crashes)
        last_s = times_s[-1]
        separate = self.count_separate(self.crashes)
        if separate >= math.ceil(self.crashes_needed) or self.resumed_s is None:
            failed = sum(
                later_s - at_s >= FIRST_TRIAL_S for at_s, later_s in pairwise(times_s)
            )
            return last_s + TRIAL_DELAYS_S[min(failed, len(TRIAL_DELAYS_S) - 1)]
        # Upstreams that crashed together are back together. A trial before that would
        # have no outcome, and all hosts would have their turn by then.
        return self.resumed_s + FIRST_JOINT_TRIAL_S * 4.0 ** max(0, separate - 1)

    def add_crash(self, crash: _Crash) -> bool:
        """Add a crash, and drop the oldest one if there are too many.

        Two reports of one crash become the earlier one, which is an early crash if any
        of them is. Returns whether the crashes have changed.
        """
        known = next((each for each in self.crashes if each.is_same(crash)), None)
        if known is not None:
            merged = _Crash(
                crash.incarnation_id,
                min(known.at_s, crash.at_s),
                known.is_late and crash.is_late,
                known.is_separate or crash.is_separate,
            )
            if merged == known:
                return False
            self.crashes.remove(known)
            crash = merged
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


class _Losses:
    """Crashes of upstreams under any cause, in the order of time."""

    def __init__(self) -> None:
        self._crashes: list[tuple[float, int]] = []

    def count_near(self, at_s: float) -> int:
        """Return the number of crashes shortly before and after a moment."""
        first = bisect_left(self._crashes, (at_s - COMMON_LOSS_S, 0))
        end = bisect_right(self._crashes, (at_s + COMMON_LOSS_S, _MAX_HASH))
        return end - first

    def add(self, crash: _Crash) -> None:
        """Add a crash, unless another cause has named it."""
        first = bisect_left(self._crashes, (crash.at_s - SAME_CRASH_S, 0))
        end = bisect_right(self._crashes, (crash.at_s + SAME_CRASH_S, _MAX_HASH))
        if any(each == crash.incarnation_id for _, each in self._crashes[first:end]):
            return
        insort(self._crashes, (crash.at_s, crash.incarnation_id))
        if len(self._crashes) > MAX_LOSSES:
            del self._crashes[0]


class CauseQuarantine:
    """Answers and crashes by cause, bounded in number and age."""

    def __init__(self) -> None:
        self._answered_parts: OrderedDict[str, _Answers] = OrderedDict()
        self._answered_requests: OrderedDict[str, _Answers] = OrderedDict()
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._quarantined: frozenset[str] = frozenset()
        self._mark = 0
        self._losses = _Losses()
        self._sufficient: set[str] = set()
        """Suspects whose crashes would suffice if no other cause explained them."""
        self._expired_s = float("-inf")

    @property
    def quarantined(self) -> frozenset[str]:
        """Return the causes whose requests are refused."""
        return self._quarantined

    @property
    def mark(self) -> int:
        """Return a number that differs between different sets of quarantined causes."""
        return self._mark

    def find_quarantined(self, cause_ids: Iterable[str]) -> str | None:
        """Return the first quarantined cause among those of a request, if any."""
        if not self._quarantined:
            return None
        return next((cause for cause in cause_ids if cause in self._quarantined), None)

    def has_suspect(self, cause_ids: Iterable[str]) -> bool:
        """Return whether one more crash may quarantine a cause of a request."""
        suspects = (self._suspects.get(cause_id) for cause_id in cause_ids)
        return any(
            suspect is not None and suspect.crashes and suspect.excess() >= -1.0
            for suspect in suspects
        )

    def begin_trial(
        self, cause_id: str, now_s: float, *, host_rank: Callable[[], int]
    ) -> bool:
        """Return whether one request may show that a quarantined cause is harmless.

        host_rank returns the place of this host in an order that all hosts agree on.
        The first one begins; in each later slot twice as many hosts have their turn, so
        that a cause of which few requests come is tried too.
        """
        suspect = self._suspects[cause_id]
        waited_s = now_s - suspect.trial_due_s
        if waited_s < 0 or now_s - suspect.tried_s < TRIAL_SLOT_S:
            return False
        if host_rank() >= 2.0 ** min(MAX_TRIAL_SLOT, waited_s // TRIAL_SLOT_S):
            return False
        suspect.tried_s = now_s
        return True

    def record_begin(self, now_s: float) -> None:
        """Record that the answer to any request began."""
        for cause_id in self._quarantined:
            quarantined = self._suspects[cause_id]
            if quarantined.resumed_s is None:
                quarantined.resumed_s = now_s

    def record_answer(self, cause_ids: Iterable[str], now_s: float) -> None:
        """Record the complete answer to a request with these causes."""
        self.record_begin(now_s)
        is_changed = False
        for cause_id in cause_ids:
            answers = self._record_answered(cause_id, now_s)
            suspect = self._suspects.get(cause_id)
            if suspect is None:
                continue
            suspect.answers.count = max(suspect.answers.count, answers.count)
            suspect.answers.last_s = now_s
            if suspect.drop_crashes_before(now_s):
                suspect.record_change(now_s)
                is_changed |= self._update_sufficient(cause_id)
        if is_changed:
            self._judge()

    def _record_answered(self, cause_id: str, now_s: float) -> _Answers:
        table = self._answered_table(cause_id)
        answers = table.pop(cause_id, None)
        if answers is None or now_s - answers.last_s >= ANSWERED_TTL_S:
            answers = _Answers()
        table[cause_id] = answers
        if len(table) > MAX_ANSWERED:
            table.popitem(last=False)
        answers.count += 1
        answers.last_s = now_s
        return answers

    def _answered_table(self, cause_id: str) -> OrderedDict[str, _Answers]:
        if _is_request(cause_id):
            return self._answered_requests
        return self._answered_parts

    def record_crash(
        self, incarnation: str, candidates: Iterable[CrashCandidate], at_s: float
    ) -> tuple[str, ...]:
        """Record a crash with the requests that ran there.

        Returns the causes that are quarantined because of it.
        """
        incarnation_id = _short_hash(incarnation)
        self._losses.add(_Crash(incarnation_id, at_s))
        for candidate in candidates:
            for cause_id, depth in candidate.causes:
                suspect = self._get_or_add_suspect(cause_id, depth, at_s)
                if at_s <= suspect.answers.last_s:
                    continue
                suspect.record_change(at_s)
                suspect.add_crash(
                    _Crash(
                        incarnation_id,
                        at_s,
                        not candidate.is_starting,
                        suspect.is_after_crashes(
                            candidate.sent_s
                            if suspect.is_request
                            else candidate.answered_s
                        ),
                    )
                )
                self._update_sufficient(cause_id)
        return self._judge()

    def record_peer_evidence(
        self, evidence: CauseEvidence, now_s: float
    ) -> tuple[str, ...]:
        """Merge a peer's evidence; return the causes that are quarantined by it."""
        cause_id = evidence.cause_id
        if cause_id not in self._suspects and not evidence.crash_ages_s:
            return ()
        suspect = self._get_or_add_suspect(cause_id, evidence.depth, now_s)
        answers = suspect.answers
        needed_before = suspect.crashes_needed
        answers.count = max(answers.count, evidence.answers)
        is_changed = False
        if evidence.answer_age_s is not None:
            answers.last_s = max(answers.last_s, now_s - evidence.answer_age_s)
            is_changed = suspect.drop_crashes_before(answers.last_s)
        oldest_s = answers.last_s
        if not evidence.is_quarantined:
            oldest_s = max(oldest_s, now_s - CRASH_TTL_S)
        for position, (incarnation_id, age_s) in enumerate(evidence.crash_ages_s):
            if now_s - age_s > oldest_s:
                crash = _Crash(
                    incarnation_id,
                    now_s - age_s,
                    position in evidence.late,
                    position in evidence.separate,
                )
                self._losses.add(crash)
                is_changed |= suspect.add_crash(crash)
        if is_changed:
            suspect.record_change(now_s)
        elif suspect.crashes_needed == needed_before:
            if evidence.crash_ages_s and not suspect.crashes:
                # The peer has not heard of the answer.
                suspect.record_change(now_s)
            return ()
        self._update_sufficient(cause_id)
        return self._judge()

    def counts(self, cause_ids: Iterable[str]) -> tuple[CauseCount, ...]:
        """Return the crashes counted against those causes that are suspected."""
        suspects = {cause_id: self._suspects.get(cause_id) for cause_id in cause_ids}
        return tuple(
            CauseCount(
                cause_id,
                crashes=len(suspect.crashes),
                separate_crashes=suspect.count_separate(suspect.crashes),
                needed=suspect.crashes_needed,
            )
            for cause_id, suspect in suspects.items()
            if suspect is not None
        )

    def changed_evidence(self, now_s: float) -> tuple[CauseEvidence, ...]:
        """Return the changed evidence of the next message to any peer."""
        changed = [
            cause_id
            for cause_id, suspect in self._suspects.items()
            if now_s - suspect.changed_s < SHARE_S
        ]
        ranked = changed
        if len(changed) > MAX_RANKED_CAUSES:
            ranked = [
                cause_id
                for cause_id in changed
                if len(self._suspects[cause_id].crashes) >= MIN_CRASHES
            ]
        by_excess = sorted(ranked, key=lambda each: -self._suspects[each].excess())
        urgent = by_excess[:MAX_URGENT_CAUSES]
        others = [cause_id for cause_id in changed if cause_id not in urgent]
        return self._share(urgent, len(urgent), now_s) + self._share(
            others, MAX_SHARED_CAUSES - len(urgent), now_s
        )

    def unchanged_evidence(self, now_s: float) -> tuple[CauseEvidence, ...]:
        """Return what the next message to a peer with another mark has besides."""
        unchanged = [
            cause_id
            for cause_id in self._quarantined
            if now_s - self._suspects[cause_id].changed_s >= SHARE_S
        ]
        return self._share(unchanged, MAX_REPEATED_CAUSES, now_s)

    def _share(
        self, cause_ids: list[str], limit: int, now_s: float
    ) -> tuple[CauseEvidence, ...]:
        def rank(cause_id: str) -> tuple[int, int, str]:
            suspect = self._suspects[cause_id]
            return suspect.shares, -len(suspect.crashes), cause_id

        cause_ids.sort(key=rank)
        rows = []
        for cause_id in cause_ids[:limit]:
            suspect = self._suspects[cause_id]
            suspect.shares += 1
            rows.append(self._evidence_of(cause_id, suspect, now_s))
        return tuple(rows)

    def _evidence_of(
        self, cause_id: str, suspect: _Suspect, now_s: float
    ) -> CauseEvidence:
        answered_s = suspect.answers.last_s
        return CauseEvidence(
            cause_id=cause_id,
            depth=suspect.depth,
            answers=suspect.answers.count,
            answer_age_s=(
                max(0.0, now_s - answered_s) if math.isfinite(answered_s) else None
            ),
            crash_ages_s=tuple(
                (crash.incarnation_id, max(0.0, now_s - crash.at_s))
                for crash in suspect.crashes
            ),
            late=frozenset(
                position
                for position, crash in enumerate(suspect.crashes)
                if crash.is_late
            ),
            separate=frozenset(
                position
                for position, crash in enumerate(suspect.crashes)
                if crash.is_separate
            ),
            is_quarantined=cause_id in self._quarantined,
        )

    def expire(self, now_s: float) -> None:
        """Drop crashes that no longer count."""
        if now_s - self._expired_s < EXPIRY_INTERVAL_S:
            return
        self._expired_s = now_s
        is_changed = False
        for cause_id, suspect in list(self._suspects.items()):
            oldest_s = now_s - CRASH_TTL_S
            if cause_id in self._quarantined:
                # It counts as a whole until nobody has tried it for that long.
                is_over = suspect.trial_due_s <= oldest_s
                oldest_s = float("inf") if is_over else float("-inf")
            if suspect.drop_crashes_before(oldest_s):
                is_changed |= self._update_sufficient(cause_id)
            if not suspect.crashes and now_s - suspect.changed_s >= SHARE_S:
                del self._suspects[cause_id]
        if is_changed:
            self._judge()

    def _get_or_add_suspect(self, cause_id: str, depth: int, now_s: float) -> _Suspect:
        suspect = self._suspects.get(cause_id)
        if suspect is None:
            answers = self._answered_table(cause_id).get(cause_id, _Answers())
            if now_s - answers.last_s >= ANSWERED_TTL_S:
                answers = _Answers()
            suspect = self._suspects[cause_id] = _Suspect(
                depth,
                now_s,
                _is_request(cause_id),
                attrs.evolve(answers),
                losses=self._losses,
            )
            if len(self._suspects) > MAX_SUSPECTS:
                self._evict_oldest()
        suspect.depth = max(suspect.depth, depth)
        return suspect

    def _evict_oldest(self) -> None:
        """Drop the oldest suspect, one that is not quarantined if possible."""
        oldest = next(iter(self._suspects))
        evicted = next(
            (cause for cause in self._suspects if cause not in self._quarantined),
            oldest,
        )
        del self._suspects[evicted]
        self._sufficient.discard(evicted)
        self._set_quarantined(self._quarantined - {evicted})

    def _set_quarantined(self, cause_ids: frozenset[str]) -> None:
        if cause_ids != self._quarantined:
            self._quarantined = cause_ids
            self._mark = _short_hash(" ".join(sorted(cause_ids))) if cause_ids else 0

    def _update_sufficient(self, cause_id: str) -> bool:
        """Return whether a verdict may have changed with a suspect's evidence."""
        was_sufficient = cause_id in self._sufficient
        suspect = self._suspects.get(cause_id)
        if suspect is not None and suspect.excess() >= 0:
            self._sufficient.add(cause_id)
            return True
        self._sufficient.discard(cause_id)
        return was_sufficient

    def _judge(self) -> tuple[str, ...]:
        """Quarantine the fewest causes that explain the crashes; return the new ones.

        A cause that only accompanies a quarantined one loses the crashes that the
        latter explains. Nothing is quarantined for crashes that several requests
        explain equally well, until there are more of them.
        """
        explained: list[_Crash] = []
        found: set[str] = set()
        left = set(self._sufficient)
        while left:
            ranks = {}
            for cause_id in left:
                suspect = self._suspects[cause_id]
                excess = suspect.excess(explained)
                if excess >= 0:
                    ranks[cause_id] = (
                        excess + DEPTH_PREFERENCE * suspect.part_depth,
                        suspect.count_separate(suspect.unexplained(explained)),
                        -suspect.answers.count,
                        suspect.depth,
                        cause_id,
                    )
            if not ranks:
                break
            cause_id = max(ranks, key=ranks.__getitem__)
            left = ranks.keys() - {cause_id}
            if not self._is_ambiguous(cause_id, explained):
                found.add(cause_id)
            explained += self._suspects[cause_id].crashes
        new = tuple(sorted(found - self._quarantined))
        self._set_quarantined(frozenset(found))
        return new

    def _is_ambiguous(self, cause_id: str, explained: Collection[_Crash]) -> bool:
        """Return whether other requests explain the crashes of a cause as well."""
        suspect = self._suspects[cause_id]
        crashes = suspect.unexplained(explained)
        extra = suspect.count_separate(crashes) - suspect.crashes_needed
        excess = suspect.excess(explained)
        return extra < EXTRA_AMBIGUOUS_CRASHES and any(
            other is not suspect
            and suspect.is_explained_by(other, crashes)
            and other.excess(explained) >= excess
            for other in self._suspects.values()
        )


def _is_request(cause_id: str) -> bool:
    return cause_id.startswith(REQUEST_PREFIX)


def _short_hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=4).digest())
