"""Tests of the quarantine of requests and prompt parts that crash upstreams."""

from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.retry import (
    CauseEvidence,
    CauseQuarantine,
    CrashCandidate,
    request_cause,
)
from persimmonwell.core.retry._crash_causes import (
    CRASH_TTL_S,
    FIRST_JOINT_TRIAL_S,
    FIRST_TRIAL_S,
    MAX_COUNTED_ANSWERS,
    MAX_SHARED_CAUSES,
    MAX_SUSPECTS,
    SHARE_S,
    TRIAL_SLOT_S,
)

Crash = tuple[float, tuple[tuple[str, ...], ...]]


def starting(*parts: tuple[str, ...]) -> list[CrashCandidate]:
    """Return requests with these parts whose answers were about to begin."""
    return [CrashCandidate(part_ids) for part_ids in parts]


def running(*digests: str, parts: tuple[str, ...] = ()) -> list[CrashCandidate]:
    """Return requests whose answers had begun."""
    return [CrashCandidate(parts, digest, is_starting=False) for digest in digests]


def after_crashes(
    crashes: Sequence[Crash], answered: Sequence[tuple[str, ...]] = ()
) -> CauseQuarantine:
    """Return the state after answers at second 0 and crashes at the given times."""
    parts = CauseQuarantine()
    for cause_ids in answered:
        parts.record_answer(cause_ids, 0.0)
    for number, (at_s, part_ids) in enumerate(crashes):
        parts.record_crash(f"i-{number}/1", starting(*part_ids), at_s)
    return parts


DEADLY = ("root", "dead")


def evidence_of(causes: CauseQuarantine, now_s: float) -> tuple[CauseEvidence, ...]:
    """Return what a host sends to a peer that knows nothing."""
    return causes.changed_evidence(now_s) + causes.unchanged_evidence(now_s)


@pytest.mark.parametrize(
    ("crashes", "answered", "quarantined"),
    [
        pytest.param([(1.0, (DEADLY,))], [], set(), id="one crash"),
        pytest.param([(1.0, (DEADLY,)), (2.0, (DEADLY,))], [], {"dead"}, id="two"),
        pytest.param(
            [(1.0, (DEADLY,)), (1.1, (DEADLY,))], [], set(), id="two at one moment"
        ),
        pytest.param(
            [(1.0, (DEADLY,)), (1.1, (DEADLY,)), (1.15, (DEADLY,))],
            [("root",)],
            {"dead"},
            id="three at one moment",
        ),
        pytest.param(
            [(0.1 + number / 100, (("root",),)) for number in range(9)],
            [("root",)],
            set(),
            id="a rack under a part that was answered a moment before",
        ),
        pytest.param(
            [(9.0 + number / 100, (("root",),)) for number in range(8)],
            [("root",)] * MAX_COUNTED_ANSWERS,
            set(),
            id="a rack under a part that was often answered",
        ),
        pytest.param(
            [(1.0, (("root",),)), (2.0, (("root",),)), (3.0, (("root",),))],
            [("root",)] * 3,
            set(),
            id="a part that was often answered",
        ),
        pytest.param(
            [(float(second), (DEADLY, ("root", "rare"))) for second in (1, 2, 3, 4)]
            + [(5.0, (DEADLY,))],
            [("root",)],
            {"dead"},
            id="another part was there most times",
        ),
        pytest.param(
            [(float(second), (DEADLY, ("root", "worse"))) for second in (1, 2)]
            + [(3.0, (DEADLY,)), (3.5, (DEADLY,))]
            + [(4.0, (("worse",),)), (5.0, (("worse",),))],
            [("root",)] * 9,
            {"dead", "worse"},
            id="two parts crash upstreams",
        ),
    ],
)
def test_only_the_part_at_fault_is_quarantined(
    crashes: Sequence[Crash], answered: Sequence[tuple[str, ...]], quarantined: set[str]
) -> None:
    """Guards against refusing sound requests that share other parts."""
    assert after_crashes(crashes, answered).quarantined == quarantined


def test_a_replica_that_crashes_again_under_its_old_entry_counts_twice() -> None:
    """Guards against crashes that do not count until the registry shows the restart."""
    one, two = CauseQuarantine(), CauseQuarantine()
    assert one.record_crash("i-1/1", starting(DEADLY), 1.0) == ()
    # The other host sees the same crash later, as a stalled stage.
    assert two.record_crash("i-1/1", starting(DEADLY), 3.4) == ()
    for evidence in evidence_of(one, 3.5):
        assert two.record_peer_evidence(evidence, 3.5) == ()
    assert one.record_crash("i-1/1", starting(DEADLY), 5.1) == ("dead",)
    for evidence in evidence_of(one, 5.2):
        two.record_peer_evidence(evidence, 5.2)
    assert two.quarantined == {"dead"}


def test_an_answer_ends_the_quarantine_on_all_hosts() -> None:
    """Guards against a sound part that stays refused after crashes by chance."""
    one = after_crashes([(1.0, (DEADLY,)), (2.0, (DEADLY,))])
    two = CauseQuarantine()
    for evidence in evidence_of(one, 2.5):
        two.record_peer_evidence(evidence, 2.5)
    assert two.find_quarantined(DEADLY) == "dead"
    two.record_answer(DEADLY, 3.0)
    for evidence in evidence_of(two, 3.5):
        one.record_peer_evidence(evidence, 3.5)
    assert one.quarantined == two.quarantined == frozenset()
    for evidence in evidence_of(one, 3.6):
        two.record_peer_evidence(evidence, 3.6)
    assert two.quarantined == frozenset()


def test_a_host_that_starts_late_learns_of_a_quarantine() -> None:
    """Guards against a restarted host that crashes replicas again."""
    parts = after_crashes([(1.0, (DEADLY,)), (2.0, (DEADLY,))])
    late_s = 2.0 + 5 * SHARE_S
    new_host = CauseQuarantine()
    for evidence in evidence_of(parts, late_s):
        new_host.record_peer_evidence(evidence, late_s)
    assert new_host.quarantined == {"dead"}


def test_a_quarantined_cause_is_tried_again_more_and_more_seldom() -> None:
    """Guards against a cause that is refused for ever, and against frequent trials.

    It may reach upstreams three times a day after the fifth crash.
    """
    parts = after_crashes([(1.0, (DEADLY,)), (2.0, (DEADLY,))])
    assert not parts.begin_trial("dead", 1.9 + FIRST_TRIAL_S, host_rank=lambda: 0)
    trials_s, last_s, day_s = [], 2.0, 86_400.0
    for second in range(3, int(day_s)):
        parts.expire(second)
        assert parts.quarantined == {"dead"}
        if parts.begin_trial("dead", second, host_rank=lambda: 0):
            trials_s.append(second - last_s)
            last_s = second + 0.5
            parts.record_crash(f"i-{second}/1", starting(DEADLY), last_s)
    assert trials_s == [FIRST_TRIAL_S, 120.5, 480.5]


def test_quarantine_that_nobody_tries_ends() -> None:
    """Guards against memory of causes that no request has any more."""
    parts = after_crashes([(1.0, (DEADLY,)), (2.0, (DEADLY,))])
    due_s = 2.0 + FIRST_TRIAL_S
    parts.expire(due_s + CRASH_TTL_S - 1.0)
    assert parts.quarantined == {"dead"}
    parts.expire(due_s + CRASH_TTL_S)
    assert parts.quarantined == frozenset()


@given(
    st.lists(
        st.tuples(
            st.integers(0, 20),
            st.lists(st.sampled_from("abcd"), max_size=3, unique=True).map(tuple),
            st.booleans(),
        ),
        max_size=20,
    ),
    st.randoms(use_true_random=False),
)
def test_hosts_that_hear_of_each_other_agree(
    events: list[tuple[int, tuple[str, ...], bool]], random: object
) -> None:
    """Guards against verdicts that depend on the order in which evidence arrives."""
    hosts = [CauseQuarantine() for _ in range(3)]
    for number, (second, cause_ids, is_crash) in enumerate(sorted(events)):
        host = hosts[number % len(hosts)]
        now_s = second / 4 + number / 100
        if is_crash:
            host.record_crash(f"i-{number}/1", starting(cause_ids), now_s)
        else:
            host.record_answer(cause_ids, now_s)
    pairs = [(a, b) for a in hosts for b in hosts if a is not b] * 3
    random.shuffle(pairs)  # type: ignore[attr-defined]
    for _ in range(3):
        for sender, receiver in pairs:
            for evidence in evidence_of(sender, 5.5):
                receiver.record_peer_evidence(evidence, 5.5)
    assert hosts[0].quarantined == hosts[1].quarantined == hosts[2].quarantined


def test_evidence_of_many_parts_is_bounded() -> None:
    """Guards against datagrams that grow with the number of parts."""
    crashes = [
        (float(second), tuple((f"p{second}-{row}",) for row in range(50)))
        for second in range(5)
    ]
    assert len(evidence_of(after_crashes(crashes), 5.0)) == MAX_SHARED_CAUSES


def test_no_number_of_suspects_evicts_a_quarantined_part() -> None:
    """Guards against a host that fails, or forgets, when many parts are suspected."""
    parts = after_crashes([(1.0, (DEADLY,)), (2.0, (DEADLY,))])
    for number in range(2 * MAX_SUSPECTS):
        parts.record_crash("i-9/1", starting((f"p{number}",)), 3.0)
    assert parts.find_quarantined(DEADLY) == "dead"
    assert not parts.begin_trial("dead", 4.0, host_rank=lambda: 0)


JOINT = [(1.0, (DEADLY,)), (1.1, (DEADLY,)), (1.15, (DEADLY,))]


def test_joint_crashes_are_followed_by_a_trial_once_upstreams_answer_again() -> None:
    """Guards against a trial that all hosts make when the upstreams are back."""
    parts = after_crashes(JOINT, [("root",)])
    assert not parts.begin_trial("dead", 9.0, host_rank=lambda: 0)
    parts.record_answer(("root",), 10.0)
    due_s = 10.0 + FIRST_JOINT_TRIAL_S
    assert not parts.begin_trial("dead", due_s - 0.1, host_rank=lambda: 0)
    assert not parts.begin_trial("dead", due_s, host_rank=lambda: 1)
    assert parts.begin_trial("dead", due_s, host_rank=lambda: 0)
    assert not parts.begin_trial("dead", due_s + 0.1, host_rank=lambda: 0)
    parts.record_crash("i-9/1", starting(DEADLY), due_s + 0.2)
    later_s = due_s + 0.2 + FIRST_TRIAL_S
    assert not parts.begin_trial("dead", later_s - 0.1, host_rank=lambda: 0)
    assert parts.begin_trial("dead", later_s, host_rank=lambda: 0)


def test_earlier_report_of_a_known_crash_does_not_put_off_the_trial() -> None:
    """Guards against a trial that each datagram with a shorter delay puts off."""
    parts = after_crashes(JOINT, [("root",)])
    parts.record_answer(("root",), 10.0)
    (evidence,) = [
        each
        for each in evidence_of(after_crashes(JOINT), 9.0)
        if each.cause_id == "dead"
    ]
    parts.record_peer_evidence(evidence, 8.99)
    due_s = 10.0 + FIRST_JOINT_TRIAL_S
    assert parts.begin_trial("dead", due_s, host_rank=lambda: 0)


def test_more_hosts_try_a_part_of_which_few_requests_come() -> None:
    """Guards against a sound part that is refused until one of many hosts gets it."""
    parts = after_crashes(JOINT, [("root",)])
    parts.record_answer(("root",), 10.0)
    due_s = 10.0 + FIRST_JOINT_TRIAL_S
    assert not parts.begin_trial("dead", due_s + TRIAL_SLOT_S, host_rank=lambda: 2)
    assert parts.begin_trial("dead", due_s + 9 * TRIAL_SLOT_S, host_rank=lambda: 339)


def test_a_crash_that_is_confirmed_after_an_answer_does_not_count() -> None:
    """Guards against a refused part whose requests other upstreams answer."""
    parts = CauseQuarantine()
    parts.record_answer(("root",), 1.1)
    for number in range(9):
        parts.record_crash(f"i-{number}/1", starting(("root",)), 1.0)
    assert parts.quarantined == frozenset()
    assert not parts.has_suspect(("root",))


def crash_running(
    causes: CauseQuarantine, times_s: Sequence[float], *digests: str, first: int = 0
) -> None:
    """Crash an upstream at each time under requests whose answers had begun."""
    for number, at_s in enumerate(times_s, first):
        causes.record_crash(f"r-{number}/1", running(*digests, parts=DEADLY), at_s)


def test_request_that_crashes_upstreams_after_its_first_events_is_quarantined() -> None:
    """Guards against a blind quarantine once an answer has begun; review/11."""
    causes = CauseQuarantine()
    causes.record_answer(("root", "dead", request_cause("sound")), 0.0)
    crash_running(causes, [3.0, 4.0], "bad", "x1")
    assert causes.quarantined == frozenset()
    crash_running(causes, [5.0], "bad", "x2", first=2)
    assert causes.quarantined == {request_cause("bad")}


def test_part_that_crashes_upstreams_after_the_first_event_is_quarantined() -> None:
    """Guards against a first event that clears the part; review/12."""
    causes = CauseQuarantine()
    for number in range(4):
        causes.record_answer(("root", f"s{number}"), 2.9 + number)
        causes.record_begin(2.95 + number)
        crash_running(causes, [3.0 + number], f"r{number}", first=number)
    assert causes.quarantined == {"dead"}


@pytest.mark.parametrize("crashes", [2, 3])
def test_neighbour_in_the_same_crashes_is_not_quarantined(crashes: int) -> None:
    """Guards against refusing the one of two requests that did nothing."""
    causes = CauseQuarantine()
    crash_running(causes, [float(second) for second in range(crashes)], "bad", "good")
    assert causes.quarantined == frozenset()
    causes.record_answer((*DEADLY, request_cause("good")), crashes + 1.0)
    crash_running(causes, [crashes + 2.0, crashes + 3.0, crashes + 4.0], "bad", first=9)
    assert causes.quarantined == {request_cause("bad")}


def test_wrong_request_among_equal_ones_is_released() -> None:
    """Guards against a sound request that stays refused after a wrong guess."""
    causes = CauseQuarantine()
    crash_running(causes, [1.0, 2.0, 3.0, 4.0], "bad", "worn")
    (guess,) = causes.quarantined
    (other,) = {request_cause("bad"), request_cause("worn")} - {guess}
    digest = other.removeprefix("#")
    crash_running(causes, [5.0], digest, first=4)
    assert causes.quarantined == {other}


def test_request_on_another_host_explains_the_crashes_of_a_neighbour() -> None:
    """Guards against a host that knows only the neighbours of the request at fault."""
    here, there = CauseQuarantine(), CauseQuarantine()
    for number in range(4):
        here.record_crash(f"i-{number}/1", running("bad"), float(number))
        if number != 2:
            there.record_crash(f"i-{number}/1", running("good"), number + 0.01)
    for evidence in evidence_of(here, 4.0):
        there.record_peer_evidence(evidence, 4.0)
    assert there.quarantined == {request_cause("bad")}


def test_many_upstreams_lost_at_once_blame_no_popular_part() -> None:
    """Guards against a part of all requests that is refused after a herd of crashes."""
    causes = CauseQuarantine()
    for number in range(MAX_COUNTED_ANSWERS):
        causes.record_answer(("root", f"s{number}"), number / 100)
    for number in range(30):
        # Each loss is noticed up to 2.5 s later.
        parts = ("root", f"s{number}")
        candidates = running(f"r{number}", f"q{number}", parts=parts)
        causes.record_crash(f"i-{number}/1", candidates, 0.7 + number / 12)
    assert causes.quarantined == frozenset()


def test_crash_under_a_popular_request_needs_more_evidence() -> None:
    """Guards against a read that is refused because it is always running."""
    causes = CauseQuarantine()
    popular = request_cause("popular")
    for number in range(50):
        causes.record_answer((popular,), number / 50)
    for number in range(5):
        causes.record_crash(
            f"i-{number}/1", [CrashCandidate((), "popular")], 3.0 + number
        )
    assert causes.quarantined == frozenset()


def test_upstream_that_answered_since_was_not_lost_with_the_one_before() -> None:
    """Guards against quick retries of one request that count as one joint crash."""
    causes = CauseQuarantine()
    for number, at_s in enumerate((1.0, 1.03, 1.06)):
        candidate = CrashCandidate(("dead",), "bad", False, at_s - 0.01, at_s - 0.01)
        causes.record_crash(f"i-{number}/1", [candidate], at_s)
    assert causes.quarantined == {request_cause("bad")}
    other = CauseQuarantine()
    for evidence in evidence_of(causes, 2.0):
        other.record_peer_evidence(evidence, 2.0)
    assert other.quarantined == causes.quarantined


def test_rare_part_in_waves_of_losses_is_not_quarantined() -> None:
    """Guards against a part that is refused since no one asked for it between losses.

    Seen in the bench's day of falling replicas, seeds 6 and 8.
    """
    causes = CauseQuarantine()
    for wave in range(4):
        for number in range(4):
            candidates = running(f"r{wave}", parts=("root", "rare"))
            if number == 2:
                candidates = running(f"q{wave}", parts=("root", "other"))
            elif number == 3:
                candidates = running(f"p{wave}", parts=("root",))
            at_s = 10.0 * wave + number / 2
            causes.record_crash(f"i-{wave}-{number}/1", candidates, at_s)
        causes.record_answer(("root", "other"), 10.0 * wave + 9.0)
    assert causes.quarantined == frozenset()


def test_late_news_of_a_deeper_part_does_not_blame_the_one_before_it() -> None:
    """Guards against the refusal of all requests with the first part of a prompt.

    Seen on the bench: other hosts' evidence about the first part came first.
    """
    here, there = CauseQuarantine(), CauseQuarantine()
    for causes in (here, there):
        causes.record_answer(("root",), 0.0)
        for number in range(3):
            causes.record_crash(f"i-{number}/1", starting(DEADLY), 3.0 + number)
    for number in range(3, 5):
        there.record_crash(f"i-{number}/1", starting(DEADLY), 3.0 + number)
    for evidence in evidence_of(there, 8.0):
        if evidence.cause_id == "root":
            here.record_peer_evidence(evidence, 8.0)
    assert here.quarantined == {"dead"}


@pytest.mark.parametrize("is_starting", [True, False])
def test_several_requests_that_crash_upstreams_at_once_are_all_quarantined(
    is_starting: bool,
) -> None:
    """Guards against causes that hide behind each other's crashes."""
    causes = CauseQuarantine()
    digests = [f"bad{number}" for number in range(6)]
    for second in range(5):
        for number, digest in enumerate(digests):
            at_s = second + number / 6
            candidate = CrashCandidate((), digest, is_starting)
            causes.record_crash(f"i-{second}-{number}/1", [candidate], at_s)
    assert causes.quarantined == {request_cause(digest) for digest in digests}


def test_request_that_was_starting_is_in_the_first_message_about_a_crash() -> None:
    """Guards against evidence that waits behind that about dozens of neighbours."""
    causes = CauseQuarantine()
    neighbours = [f"{number:016x}" for number in range(60)]
    candidates = [*running(*neighbours, parts=("root",)), *starting(DEADLY)]
    causes.record_crash("i-1/1", candidates, 1.0)
    assert "dead" in {each.cause_id for each in causes.changed_evidence(1.1)}
