"""Check how host list, evidence and peers' reports become upstreams."""

from typing import Any

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core._fleet import EntryHost, HostList
from persimmonwell.core._types import LayerRange, ServiceReplica, Upstream
from persimmonwell.core.config import parse_config
from persimmonwell.core.membership import (
    LeavingMark,
    Members,
    choose_peers,
    choose_readers,
)
from persimmonwell.core.membership._members import (
    FAILURES_TO_DROP,
    LIST_CURRENT_S,
    LIST_HOLD_S,
    MARK_HOLD_S,
    MARKS_KEPT,
    PEER_HOLD_S,
    SHRINK_CONFIRM_S,
)

CONFIG = parse_config({}, 0)


def engine(name: str, **rest: Any) -> Upstream:
    given: dict[str, Any] = {"address": f"10.0.0.1:{name}", **rest}
    return Upstream(
        name, availability_zone="z", model="m", layers=LayerRange(0, 8), **given
    )


def listing(*names: str, **rest: Any) -> HostList:
    return HostList(0.0, upstreams=tuple(engine(name, **rest) for name in names))


def state(members: Members, config: Any = CONFIG) -> dict[str, bool]:
    """Return whether each known upstream is leaving."""
    return {u.upstream_id: u.leaving for u in members.current(config)[0]}


def test_leaving_wins_at_once_and_is_passed_on() -> None:
    """Guards against new work for an upstream that another host saw leaving."""
    first, second = Members(), Members()
    first.list_read(listing("1", "2"), 0.0)
    second.list_read(listing("1", "2"), 0.0)
    first.list_read(HostList(0.0, (engine("1", leaving=True), engine("2"))), 5.0)
    marks = first.leaving_marks(5.0, limit=8)
    assert second.marks_reported(marks, 5.1)
    assert state(second) == {"1": True, "2": False}
    second.list_read(listing("1", "2"), 6.0)
    assert state(second)["1"], "a list that lags must not bring it back"
    assert not second.marks_reported(marks, 6.0)
    assert first.marks_digest == second.marks_digest


@pytest.mark.parametrize(
    ("before", "after", "mark"),
    [
        ({"incarnation": "a"}, {"incarnation": "b"}, "a"),
        ({}, {"address": "10.0.0.2:1"}, ""),
    ],
)
def test_mark_does_not_stick_to_a_new_incarnation(
    before: dict[str, str], after: dict[str, str], mark: str
) -> None:
    """Guards against a returned host that never gets work again."""
    members = Members()
    members.list_read(listing("1", **before), 0.0)
    members.marks_reported([LeavingMark("1", mark, 0.0)], 1.0)
    assert state(members) == {"1": True}
    members.list_read(listing("1", **after), 2.0)
    assert state(members) == {"1": False}
    members.marks_reported([LeavingMark("1", mark, 1.5)], 2.5)
    assert state(members) == {"1": False}, "a late mark concerns the old one"


def test_unnamed_incarnation_returns_after_it_was_listed_leaving() -> None:
    """Guards against a lasting mark where the list names no incarnations."""
    members = Members()
    members.list_read(listing("1"), 0.0)
    members.list_read(listing("1", leaving=True), 1.0)
    members.list_read(listing("1"), 2.0)
    assert state(members) == {"1": False}
    assert members.marks_reported([LeavingMark("1", "", 0.0)], 3.0)
    assert state(members) == {"1": True}, "it can leave once more"


def test_mark_for_an_incarnation_not_yet_listed_is_kept() -> None:
    """Guards against a mark lost because the own list lags behind it."""
    members = Members()
    members.list_read(listing("1", incarnation="a"), 0.0)
    members.marks_reported([LeavingMark("1", "b", 0.0)], 1.0)
    assert state(members) == {"1": False}
    members.list_read(listing("1", incarnation="b"), 2.0)
    assert state(members) == {"1": True}


def test_marks_are_bounded_in_time_and_number() -> None:
    """Guards against memory that grows with forged or old marks."""
    members = Members()
    marks = [LeavingMark(f"u{n}", "", 0.0) for n in range(2 * MARKS_KEPT)]
    members.marks_reported(marks, 0.0)
    assert len(members.leaving_marks(0.0, limit=10_000)) == MARKS_KEPT
    members.expire(MARK_HOLD_S + 1.0)
    assert not members.leaving_marks(0.0, limit=1)
    assert not members.marks_reported([LeavingMark("u", "", MARK_HOLD_S)], 0.0)


def test_empty_list_keeps_the_fleet_and_a_lost_half_needs_time() -> None:
    """Guards against a fleet emptied by a faulty or partial host list."""
    members = Members()
    members.list_read(listing(*"123456"), 0.0)
    members.list_read(HostList(0.0), 1.0)
    assert len(state(members)) == 6
    members.list_read(listing(*"12"), 2.0)
    assert len(state(members)) == 6
    for _ in range(2):
        members.evidence("3", succeeded=False, now_s=3.0)
        members.evidence("1", succeeded=False, now_s=3.0)
    assert sorted(state(members)) == list("12456"), "the list still holds 1"
    members.list_read(listing(*"12"), 2.0 + SHRINK_CONFIRM_S)
    assert sorted(state(members)) == list("12")


def test_an_empty_list_is_no_reading_of_the_list() -> None:
    """Guards against an upstream dropped, or a list called current, by an empty one."""
    members = Members()
    members.list_read(listing(*"123456"), 0.0)
    for _ in range(FAILURES_TO_DROP):
        members.evidence("1", succeeded=False, now_s=1.0)
    members.list_read(HostList(0.0), LIST_CURRENT_S + 0.5)
    assert "1" in state(members)
    assert not members.list_is_current(LIST_CURRENT_S + 1.0)


def test_all_replicas_of_a_kind_missing_is_doubted_too() -> None:
    """Guards against a plain service lost by a list that lacks its kind."""
    members = Members()
    replica = ServiceReplica("r", "10.0.0.3:1", "z", "booking")
    members.list_read(HostList(0.0, (engine("1"),), (replica,)), 0.0)
    members.list_read(listing("1"), 1.0)
    assert members.current(CONFIG)[1] == (replica,)


def test_plausible_absence_and_a_taken_address_count_at_once() -> None:
    """Guards against new work for upstreams that are gone for sure."""
    members = Members()
    members.list_read(listing(*"123456"), 0.0)
    members.list_read(listing(*"12345"), 1.0)
    assert "6" not in state(members)
    moved = engine("9", address="10.0.0.1:1")
    members.list_read(HostList(0.0, (moved,)), 2.0)
    assert sorted(state(members)) == list("23459")


def test_entries_vanish_without_any_source() -> None:
    """Guards against upstreams that outlive every source that named them."""
    members = Members()
    members.peers_reported((engine("p"),), 0.0)
    members.list_read(listing("1"), 0.0)
    members.peers_reported((engine("q"),), 5.0)
    assert sorted(state(members)) == ["1", "p"], "a current list outweighs peers"
    members.expire(PEER_HOLD_S + 1.0)
    assert sorted(state(members)) == ["1"]
    members.evidence("1", succeeded=True, now_s=LIST_HOLD_S)
    members.expire(LIST_HOLD_S + 1.0)
    assert sorted(state(members)) == ["1"]
    members.expire(LIST_HOLD_S + 100.0)
    assert not state(members)


def test_peers_word_is_not_passed_on_as_own() -> None:
    """Guards against two hosts that keep an entry alive for each other."""
    members = Members()
    members.peers_reported((engine("p"),), 0.0)
    assert members.listed(0.0) == ()
    members.list_read(listing("1"), 0.0)
    assert [m.address for m in members.listed(1.0)] == ["10.0.0.1:1"]
    assert members.listed(100.0) == ()


@pytest.mark.parametrize(
    ("document", "leaving", "checks"),
    [
        ({"upstreams": {"1": {"drained": True}}}, True, False),
        ({"upstreams": {"1": {"checks_fencing": True}}}, False, True),
        ({"models": {"m": {"layers": 8, "checks_fencing": True}}}, False, True),
        (
            {
                "models": {"m": {"layers": 8, "checks_fencing": True}},
                "upstreams": {"1": {"checks_fencing": False}},
            },
            False,
            False,
        ),
    ],
)
def test_config_overrides(document: Any, leaving: bool, checks: bool) -> None:
    """Guards against an operator's drain or fencing setting without effect."""
    members = Members()
    members.list_read(listing("1"), 0.0)
    upstream = members.current(parse_config(document, 1))[0][0]
    assert (upstream.leaving, upstream.checks_fencing) == (leaving, checks)


Lists = st.lists(
    st.tuples(st.sets(st.sampled_from("abcdef")), st.sets(st.sampled_from("abcdef"))),
    max_size=12,
)


@given(Lists, st.floats(0.5, 40.0))
def test_any_lists_never_empty_the_fleet_nor_revive_a_mark(
    lists: list[tuple[set[str], set[str]]], step_s: float
) -> None:
    """Guards against sequences of lists that lose the fleet or a leaving mark."""
    members, now_s = Members(), 0.0
    members.list_read(listing(*"abcdef", incarnation="1"), now_s)
    left: dict[str, float] = {}
    for present, leaving in lists:
        now_s += step_s
        upstreams = tuple(
            engine(n, incarnation="1", leaving=n in leaving) for n in sorted(present)
        )
        members.list_read(HostList(0.0, upstreams), now_s)
        members.expire(now_s)
        for name in present & leaving:
            left.setdefault(name, now_s)
        known = state(members)
        assert known
        for name, since_s in left.items():
            if now_s - since_s <= MARK_HOLD_S and name in known:
                assert known[name]


def entry_hosts(count: int, zones: int) -> list[EntryHost]:
    return [EntryHost(f"h{n}", f"10.0.0.{n}:1", f"z{n % zones}") for n in range(count)]


@pytest.mark.parametrize(
    ("count", "zones"),
    [(1, 1), (2, 2), (4, 3), (4, 1), (5, 2), (12, 6), (40, 6), (97, 3), (340, 6)],
)
def test_overlay_is_connected_and_bounded(count: int, zones: int) -> None:
    """Guards against hosts that no heartbeat reaches, and against growth."""
    hosts = entry_hosts(count, zones)
    peers = {h.host_id: choose_peers(h.host_id, hosts) for h in hosts}
    assert max(len(chosen) for chosen in peers.values()) <= 5
    assert all(h not in {p.host_id for p in peers[h]} for h in peers)
    for start in ("h0", f"h{count - 1}"):
        reached, border = {start}, [start]
        while border:
            found = {p.host_id for h in border for p in peers[h]} - reached
            reached |= found
            border = sorted(found)
        assert len(reached) == count


@given(st.integers(2, 60), st.integers(1, 6), st.randoms(use_true_random=False))
def test_losing_hosts_keeps_the_overlay_connected(
    count: int, zones: int, random: Any
) -> None:
    """Guards against an overlay that falls apart when hosts vanish."""
    hosts = entry_hosts(60, zones)
    left = random.sample(hosts, count)
    peers = {h.host_id: choose_peers(h.host_id, left) for h in left}
    reached, border = {left[0].host_id}, [left[0].host_id]
    while border:
        found = {p.host_id for h in border for p in peers[h]} - reached
        reached |= found
        border = sorted(found)
    assert len(reached) == count


def test_readers_are_few_per_zone_and_stable() -> None:
    """Guards against a zone that reads the log with every host or with none."""
    hosts = entry_hosts(340, 6)
    readers = choose_readers("z1", hosts)
    assert len(readers) == 2 and set(readers) <= {
        h.host_id for h in hosts if h.availability_zone == "z1"
    }
    others = [h for h in hosts if h.host_id != readers[0]]
    assert readers[1] in choose_readers("z1", others)
    assert choose_readers("z1", [attrs.evolve(h) for h in hosts]) == readers
