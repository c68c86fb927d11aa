"""Tests of the membership table and of the choice of peers and log readers."""

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
    choose_log_readers,
    choose_peers,
)
from persimmonwell.core.membership._members import (
    FAILURES_TO_REMOVE,
    LEAVING_MARK_TTL_S,
    LIST_MAX_AGE_S,
    LISTED_MEMBER_TTL_S,
    MAX_LEAVING_MARKS,
    PEER_MEMBER_TTL_S,
    SHRINK_CONFIRM_S,
)

CONFIG = parse_config({}, 0)


def build_upstream(name: str, **rest: Any) -> Upstream:
    given: dict[str, Any] = {"address": f"10.0.0.1:{name}", **rest}
    return Upstream(
        name, availability_zone="z", model="m", layers=LayerRange(0, 8), **given
    )


def build_host_list(*names: str, **rest: Any) -> HostList:
    return HostList(
        0.0, upstreams=tuple(build_upstream(name, **rest) for name in names)
    )


def leaving_by_id(members: Members, config: Any = CONFIG) -> dict[str, bool]:
    """Return whether each current upstream is leaving, by id."""
    return {u.upstream_id: u.leaving for u in members.current_members(config)[0]}


def test_leaving_mark_applies_at_once_and_reaches_peers() -> None:
    """Guards against new work for an upstream that a peer marked as leaving."""
    first, second = Members(), Members()
    first.apply_host_list(build_host_list("1", "2"), 0.0)
    second.apply_host_list(build_host_list("1", "2"), 0.0)
    first.apply_host_list(
        HostList(0.0, (build_upstream("1", leaving=True), build_upstream("2"))), 5.0
    )
    marks = first.leaving_marks(5.0, limit=8)
    assert second.merge_leaving_marks(marks, 5.1)
    assert leaving_by_id(second) == {"1": True, "2": False}
    second.apply_host_list(build_host_list("1", "2"), 6.0)
    assert leaving_by_id(second)["1"], "a lagging list must not clear the mark"
    assert not second.merge_leaving_marks(marks, 6.0)
    assert first.marks_digest == second.marks_digest


@pytest.mark.parametrize(
    ("before", "after", "mark"),
    [
        ({"incarnation": "a"}, {"incarnation": "b"}, "a"),
        ({}, {"address": "10.0.0.2:1"}, ""),
    ],
)
def test_mark_does_not_apply_to_a_new_incarnation(
    before: dict[str, str], after: dict[str, str], mark: str
) -> None:
    """Guards against a replaced upstream that never gets work again."""
    members = Members()
    members.apply_host_list(build_host_list("1", **before), 0.0)
    members.merge_leaving_marks([LeavingMark("1", mark, 0.0)], 1.0)
    assert leaving_by_id(members) == {"1": True}
    members.apply_host_list(build_host_list("1", **after), 2.0)
    assert leaving_by_id(members) == {"1": False}
    members.merge_leaving_marks([LeavingMark("1", mark, 1.5)], 2.5)
    assert leaving_by_id(members) == {"1": False}, (
        "a late mark is for the old incarnation"
    )


def test_upstream_without_incarnation_returns_after_leaving() -> None:
    """Guards against a permanent mark where the list names no incarnations."""
    members = Members()
    members.apply_host_list(build_host_list("1"), 0.0)
    members.apply_host_list(build_host_list("1", leaving=True), 1.0)
    members.apply_host_list(build_host_list("1"), 2.0)
    assert leaving_by_id(members) == {"1": False}
    assert members.merge_leaving_marks([LeavingMark("1", "", 0.0)], 3.0)
    assert leaving_by_id(members) == {"1": True}, "it can leave again"


def test_mark_for_an_incarnation_not_yet_listed_is_kept() -> None:
    """Guards against a mark lost because this host's list lags behind it."""
    members = Members()
    members.apply_host_list(build_host_list("1", incarnation="a"), 0.0)
    members.merge_leaving_marks([LeavingMark("1", "b", 0.0)], 1.0)
    assert leaving_by_id(members) == {"1": False}
    members.apply_host_list(build_host_list("1", incarnation="b"), 2.0)
    assert leaving_by_id(members) == {"1": True}


def test_leaving_marks_are_bounded_in_age_and_number() -> None:
    """Guards against memory that grows with forged or outdated marks."""
    members = Members()
    marks = [LeavingMark(f"u{n}", "", 0.0) for n in range(2 * MAX_LEAVING_MARKS)]
    members.merge_leaving_marks(marks, 0.0)
    assert len(members.leaving_marks(0.0, limit=10_000)) == MAX_LEAVING_MARKS
    members.expire(LEAVING_MARK_TTL_S + 1.0)
    assert not members.leaving_marks(0.0, limit=1)
    assert not members.merge_leaving_marks(
        [LeavingMark("u", "", LEAVING_MARK_TTL_S)], 0.0
    )


def test_empty_or_halved_list_does_not_remove_upstreams_at_once() -> None:
    """Guards against upstreams removed by a faulty or partial host list."""
    members = Members()
    members.apply_host_list(build_host_list(*"123456"), 0.0)
    members.apply_host_list(HostList(0.0), 1.0)
    assert len(leaving_by_id(members)) == 6
    members.apply_host_list(build_host_list(*"12"), 2.0)
    assert len(leaving_by_id(members)) == 6
    for _ in range(2):
        members.record_outcome("3", succeeded=False, now_s=3.0)
        members.record_outcome("1", succeeded=False, now_s=3.0)
    assert sorted(leaving_by_id(members)) == list("12456"), "1 is still listed"
    members.apply_host_list(build_host_list(*"12"), 2.0 + SHRINK_CONFIRM_S)
    assert sorted(leaving_by_id(members)) == list("12")


def test_empty_list_does_not_count_as_a_read() -> None:
    """Guards against an empty list that removes upstreams or counts as current."""
    members = Members()
    members.apply_host_list(build_host_list(*"123456"), 0.0)
    for _ in range(FAILURES_TO_REMOVE):
        members.record_outcome("1", succeeded=False, now_s=1.0)
    members.apply_host_list(HostList(0.0), LIST_MAX_AGE_S + 0.5)
    assert "1" in leaving_by_id(members)
    assert not members.is_list_current(LIST_MAX_AGE_S + 1.0)


def test_list_without_any_replica_is_not_applied_at_once() -> None:
    """Guards against losing all service replicas to a list that lacks them."""
    members = Members()
    replica = ServiceReplica("r", "10.0.0.3:1", "z", "booking")
    members.apply_host_list(HostList(0.0, (build_upstream("1"),), (replica,)), 0.0)
    members.apply_host_list(build_host_list("1"), 1.0)
    assert members.current_members(CONFIG)[1] == (replica,)


def test_small_shrink_and_reused_address_apply_at_once() -> None:
    """Guards against new work for upstreams that are certainly gone."""
    members = Members()
    members.apply_host_list(build_host_list(*"123456"), 0.0)
    members.apply_host_list(build_host_list(*"12345"), 1.0)
    assert "6" not in leaving_by_id(members)
    moved = build_upstream("9", address="10.0.0.1:1")
    members.apply_host_list(HostList(0.0, (moved,)), 2.0)
    assert sorted(leaving_by_id(members)) == list("23459")


def test_entries_expire_without_any_source() -> None:
    """Guards against upstreams that outlive every source that reported them."""
    members = Members()
    members.merge_peer_members((build_upstream("p"),), 0.0)
    members.apply_host_list(build_host_list("1"), 0.0)
    members.merge_peer_members((build_upstream("q"),), 5.0)
    assert sorted(leaving_by_id(members)) == ["1", "p"], (
        "a current list takes precedence over peers"
    )
    members.expire(PEER_MEMBER_TTL_S + 1.0)
    assert sorted(leaving_by_id(members)) == ["1"]
    members.record_outcome("1", succeeded=True, now_s=LISTED_MEMBER_TTL_S)
    members.expire(LISTED_MEMBER_TTL_S + 1.0)
    assert sorted(leaving_by_id(members)) == ["1"]
    members.expire(LISTED_MEMBER_TTL_S + 100.0)
    assert not leaving_by_id(members)


def test_members_known_only_from_peers_are_not_sent_on() -> None:
    """Guards against two hosts that keep each other's entries alive."""
    members = Members()
    members.merge_peer_members((build_upstream("p"),), 0.0)
    assert members.listed_members(0.0) == ()
    members.apply_host_list(build_host_list("1"), 0.0)
    assert [m.address for m in members.listed_members(1.0)] == ["10.0.0.1:1"]
    assert members.listed_members(100.0) == ()


@pytest.mark.parametrize(
    ("document", "leaving", "checks_fencing"),
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
def test_config_overrides_leaving_and_fencing(
    document: Any, leaving: bool, checks_fencing: bool
) -> None:
    """Guards against drain and fencing settings that have no effect."""
    members = Members()
    members.apply_host_list(build_host_list("1"), 0.0)
    upstream = members.current_members(parse_config(document, 1))[0][0]
    assert (upstream.leaving, upstream.checks_fencing) == (leaving, checks_fencing)


Lists = st.lists(
    st.tuples(st.sets(st.sampled_from("abcdef")), st.sets(st.sampled_from("abcdef"))),
    max_size=12,
)


@given(Lists, st.floats(0.5, 40.0))
def test_no_list_sequence_empties_the_fleet_or_loses_a_leaving_mark(
    lists: list[tuple[set[str], set[str]]], step_s: float
) -> None:
    """Guards against host lists that together remove all upstreams or a mark."""
    members, now_s = Members(), 0.0
    members.apply_host_list(build_host_list(*"abcdef", incarnation="1"), now_s)
    leaving_since_s: dict[str, float] = {}
    for present, leaving in lists:
        now_s += step_s
        upstreams = tuple(
            build_upstream(n, incarnation="1", leaving=n in leaving)
            for n in sorted(present)
        )
        members.apply_host_list(HostList(0.0, upstreams), now_s)
        members.expire(now_s)
        for name in present & leaving:
            leaving_since_s.setdefault(name, now_s)
        current = leaving_by_id(members)
        assert current
        for name, since_s in leaving_since_s.items():
            if now_s - since_s <= LEAVING_MARK_TTL_S and name in current:
                assert current[name]


def build_entry_hosts(count: int, zones: int) -> list[EntryHost]:
    return [EntryHost(f"h{n}", f"10.0.0.{n}:1", f"z{n % zones}") for n in range(count)]


@pytest.mark.parametrize(
    ("count", "zones"),
    [(1, 1), (2, 2), (4, 3), (4, 1), (5, 2), (12, 6), (40, 6), (97, 3), (340, 6)],
)
def test_overlay_is_connected_with_bounded_degree(count: int, zones: int) -> None:
    """Guards against unreachable hosts and against a growing number of peers."""
    hosts = build_entry_hosts(count, zones)
    peers = {h.host_id: choose_peers(h.host_id, hosts) for h in hosts}
    assert max(len(chosen) for chosen in peers.values()) <= 5
    assert all(h not in {p.host_id for p in peers[h]} for h in peers)
    for start in ("h0", f"h{count - 1}"):
        reached, frontier = {start}, [start]
        while frontier:
            found = {p.host_id for h in frontier for p in peers[h]} - reached
            reached |= found
            frontier = sorted(found)
        assert len(reached) == count


@given(st.integers(2, 60), st.integers(1, 6), st.randoms(use_true_random=False))
def test_losing_hosts_keeps_the_overlay_connected(
    count: int, zones: int, random: Any
) -> None:
    """Guards against an overlay that becomes disconnected when hosts disappear."""
    hosts = build_entry_hosts(60, zones)
    remaining = random.sample(hosts, count)
    peers = {h.host_id: choose_peers(h.host_id, remaining) for h in remaining}
    reached, frontier = {remaining[0].host_id}, [remaining[0].host_id]
    while frontier:
        found = {p.host_id for h in frontier for p in peers[h]} - reached
        reached |= found
        frontier = sorted(found)
    assert len(reached) == count


def test_log_readers_are_two_per_zone_and_stable() -> None:
    """Guards against a zone in which every host or no host reads the log often."""
    hosts = build_entry_hosts(340, 6)
    readers = choose_log_readers("z1", hosts)
    assert len(readers) == 2 and set(readers) <= {
        h.host_id for h in hosts if h.availability_zone == "z1"
    }
    others = [h for h in hosts if h.host_id != readers[0]]
    assert readers[1] in choose_log_readers("z1", others)
    assert choose_log_readers("z1", [attrs.evolve(h) for h in hosts]) == readers
