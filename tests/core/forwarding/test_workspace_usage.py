"""Tests of the usage of workspaces that hosts report to each other."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.forwarding import WorkspaceTokens
from persimmonwell.core.forwarding._workspace_usage import (
    MAX_SHARED_PER_SERVICE,
    MAX_SHARED_TOKENS,
    MAX_SHARED_WORKSPACES,
    MAX_TRACKED,
    USAGE_MEMORY_S,
    WorkspaceUsage,
)

CLASS = (0, 0)


def usage_of(tokens: dict[str, int], service: str = "model") -> WorkspaceUsage:
    usage = WorkspaceUsage()
    for workspace, count in tokens.items():
        usage.record(service, CLASS, workspace, count, 0.0)
    return usage


def total(rows: tuple[WorkspaceTokens, ...]) -> dict[str, float]:
    return {row.workspace: row.tokens for row in rows}


def test_the_heaviest_workspaces_are_reported_above_the_common_part() -> None:
    """Guards against a workspace that falls behind equal ones by being reported."""
    usage = usage_of({f"w{number}": 1000 for number in range(20)} | {"heavy": 8000})
    assert [(row.workspace, row.tokens) for row in usage.heaviest(0.0)] == [
        ("heavy", 7000)
    ]
    few = usage_of({"a": 5000, "b": 300})
    assert total(few.heaviest(0.0)) == {"a": 5000, "b": 300}


def test_a_report_is_bounded() -> None:
    """Guards against datagrams that grow with the workspaces and services."""
    usage = WorkspaceUsage()
    for service in ("s1", "s2", "s3"):
        for number in range(300):
            tokens = 1000 + number * 10
            usage.record(service, CLASS, f"w{number}", tokens, 0.0)
    rows = usage.heaviest(0.0)
    assert len(rows) <= MAX_SHARED_WORKSPACES
    assert max(sum(r.service == f"s{n}" for r in rows) for n in (1, 2, 3)) <= (
        MAX_SHARED_PER_SERVICE
    )
    assert len(usage._own) <= MAX_TRACKED


def test_usage_is_forgotten() -> None:
    """Guards against a workspace that is held back for what it used long ago."""
    usage = usage_of({"a": 1000})
    (row,) = usage.heaviest(USAGE_MEMORY_S)
    decayed = row.tokens * math.exp(-row.age_s / USAGE_MEMORY_S)
    assert math.isclose(decayed, 1000 / math.e)
    usage.merge_peer("h2", usage.heaviest(0.0), 0.0)
    usage.expire(0.0)
    assert usage._own and usage._peers
    usage.expire(20 * USAGE_MEMORY_S)
    assert not usage._own and not usage._peers
    assert usage.heaviest(20 * USAGE_MEMORY_S) == ()


def test_the_share_of_a_workspace_is_that_of_its_class() -> None:
    """Guards against a refusal whose share does not explain the order of the queue."""
    usage = usage_of({"a": 900, "b": 100})
    usage.record("model", (2, 2), "b", 5000, 0.0)
    usage.record("desk", CLASS, "a", 5000, 0.0)
    assert usage.share("model", CLASS, "a") == 0.9
    assert usage.share("model", CLASS, "b") == 0.1
    assert usage.share("model", CLASS, "c") == 0.0


def test_shares_of_the_heaviest_workspaces() -> None:
    """Guards against a share that counts the tokens of another class."""
    usage = WorkspaceUsage()
    for name, tokens, own in (("a", 60, 0), ("b", 20, 0), ("c", 10, 1)):
        usage.record("desk", (own, own), name, tokens, 0.0)
    shares = usage.top_shares(1.0, 2)
    assert shares == {
        ("desk", (0, 0), "a"): pytest.approx(0.75),
        ("desk", (0, 0), "b"): pytest.approx(0.25),
    }


sends = st.lists(
    st.tuples(st.floats(0.01, 1.0), st.integers(100, 5000), st.booleans()),
    min_size=5,
    max_size=40,
)


@given(sends)
def test_lost_and_repeated_reports_change_nothing_in_the_end(
    steps: list[tuple[float, int, bool]],
) -> None:
    """Guards against usage that is missed with a lost datagram, or counted twice."""
    sender, receiver, now_s, charged = WorkspaceUsage(), WorkspaceUsage(), 0.0, 0.0

    def hear() -> float:
        added = receiver.merge_peer("h2", sender.heaviest(now_s), now_s)
        return sum(row.tokens for row in added)

    for gap_s, tokens, is_lost in steps:
        now_s += gap_s
        charged *= math.exp(-gap_s / USAGE_MEMORY_S)
        sender.record("model", CLASS, "a", tokens, now_s)
        if not is_lost:
            charged += hear()
            assert hear() < 1e-6 * charged
    charged += hear()
    (row,) = sender.heaviest(now_s)
    assert math.isclose(charged, row.tokens, rel_tol=1e-6)


def test_a_late_report_adds_at_most_what_decayed_meanwhile() -> None:
    """Guards against a datagram that overtook another and is counted again."""
    sender, receiver = usage_of({"a": 1000}), WorkspaceUsage()
    late = sender.heaviest(0.0)
    sender.record("model", CLASS, "a", 1000, 0.5)
    receiver.merge_peer("h2", sender.heaviest(0.5), 0.5)
    assert receiver.merge_peer("h2", late, 1.0) == ()
    alone = WorkspaceUsage()
    (row,) = alone.merge_peer("h2", late, 2.0)
    assert row.tokens <= 1000


def test_a_wrong_value_is_bounded() -> None:
    """Guards against a faulty peer that holds a workspace back for hours."""
    usage = WorkspaceUsage()
    row = WorkspaceTokens("model", CLASS, "a", 1e18, 0.0)
    (added,) = usage.merge_peer("h2", (row,), 0.0)
    assert added.tokens == MAX_SHARED_TOKENS


def test_a_restarted_peer_starts_anew() -> None:
    """Guards against usage that a peer's restart takes back or counts again."""
    receiver = WorkspaceUsage()
    receiver.merge_peer("h2", usage_of({"a": 5000}).heaviest(0.0), 0.0)
    assert receiver.merge_peer("h2", usage_of({"a": 200}).heaviest(0.0), 0.1) == ()
    added = receiver.merge_peer("h2", usage_of({"b": 300}).heaviest(0.0), 0.2)
    assert total(added) == {"b": 300}
