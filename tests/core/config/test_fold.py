"""Test the fold of the config stream and its snapshots."""

import copy
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.config import (
    Accepted,
    ConfigFold,
    Duplicate,
    Gap,
    Invalid,
    LogRecord,
    Snapshot,
    SnapshotAccepted,
    SnapshotFault,
    SnapshotRejected,
    UnknownSchema,
    verify_snapshot,
)
from persimmonwell.core.config._snapshot import MAX_RECENT_IDS


def patch(name: Any, base: Any, weight: Any = 1.0, **rest: Any) -> dict[str, Any]:
    merge = {"workspaces": {"a": {"weight": weight}}}
    record = {"type": "patch", "schema": 1, "id": name, "base_version": base}
    return {"merge": merge, **record, "author": "op", **rest}


def fold_all(records: list[Any], fold: ConfigFold | None = None) -> ConfigFold:
    fold = fold or ConfigFold()
    for offset, data in enumerate(records):
        if offset >= fold.next_offset:
            fold.apply(LogRecord(offset, data))
    return fold


def deep(levels: int) -> Any:
    value: Any = {}
    for _ in range(levels):
        value = {"x": value}
    return value


@pytest.mark.parametrize(
    "data",
    [
        {},
        [],
        "text",
        {"type": "other", "schema": 1},
        patch(3, 0),
        patch("", 0),
        patch("x" * 1000, 0),
        patch("p", True),
        patch("p", "0"),
        patch("p", 0, schema=True),
        patch("p", 0, schema=0),
        patch("p", 0, schema=[2]),
        patch("p", 0, merge=None),
        patch("p", 0, merge=deep(5000)),
        patch("p", 0, weight=-1),
        patch("p", 0, merge={"unknown": 1}),
    ],
)
def test_malformed_record_does_not_stop_the_fold(data: Any) -> None:
    """Guards against a malformed record that blocks every later patch."""
    fold = ConfigFold()
    assert isinstance(fold.apply(LogRecord(0, data)), Invalid)
    assert fold.apply(LogRecord(1, patch("late", 0))) == Accepted("late", 1)


def test_gap_and_newer_schema_leave_the_state_unchanged() -> None:
    """Guards against a fold that skips a gap or a record of a newer release."""
    fold = ConfigFold()
    assert fold.apply(LogRecord(1, patch("a", 0))) == Gap(expected=0, got=1)
    assert fold.apply(LogRecord(0, patch("a", 0, schema=2))) == UnknownSchema(2)
    assert (fold.next_offset, fold.version) == (0, 0)


STEPS = st.lists(
    st.tuples(st.integers(0, 12), st.integers(-1, 1), st.integers(-1, 3)), max_size=30
)


def build_records(steps: list[tuple[int, int, int]]) -> list[Any]:
    """Return patches with repeated ids, stale bases and invalid values."""
    fold, records = ConfigFold(), []
    for number, drift, weight in steps:
        records.append(patch(f"p{number}", max(0, fold.version + drift), weight))
        fold = fold_all(records, fold)
    return records


@given(STEPS, st.data())
def test_start_from_snapshot_equals_full_fold(
    steps: list[tuple[int, int, int]], data: st.DataObject
) -> None:
    """Guards against duplicates that fold differently after a start from a snapshot."""
    records = build_records(steps)
    snapshot_offset = data.draw(st.integers(0, len(records)))
    record = json.loads(
        json.dumps(fold_all(records[:snapshot_offset]).snapshot_record())
    )
    restored = ConfigFold()
    found = verify_snapshot(record)
    assert isinstance(found, Snapshot)
    assert restored.restore_snapshot(found) == (snapshot_offset > 0)
    full_fold, restored = fold_all(records), fold_all(records, restored)
    assert (full_fold.document, full_fold.version) == (
        restored.document,
        restored.version,
    )
    assert [(e.patch_id, e.offset) for e in full_fold.history] == [
        (e.patch_id, e.offset) for e in restored.history
    ]
    assert full_fold.snapshot_record() == restored.snapshot_record()


@given(STEPS)
def test_one_patch_per_base_version_wins(steps: list[tuple[int, int, int]]) -> None:
    """Guards against two accepted patches with the same base version or the same id."""
    fold, accepted = ConfigFold(), []
    for offset, data in enumerate(build_records(steps)):
        result = fold.apply(LogRecord(offset, data))
        if isinstance(result, Accepted):
            accepted.append((data["id"], data["base_version"], result.version))
        if any(name == data["id"] for name, _, _ in accepted[:-1]):
            assert isinstance(result, Duplicate | Accepted)
    assert [base for _, base, _ in accepted] == list(range(len(accepted)))
    assert len({name for name, _, _ in accepted}) == len(accepted)


def test_recent_ids_are_bounded_and_no_old_patch_is_accepted() -> None:
    """Guards against unbounded memory and a second acceptance of a forgotten id."""
    records = [patch(f"p{n}", n) for n in range(MAX_RECENT_IDS + 5)]
    fold = fold_all(records)
    assert len(fold.history) == MAX_RECENT_IDS
    result = fold.apply(LogRecord(fold.next_offset, patch("p0", 0)))
    assert not isinstance(result, Accepted)


def tampered(**changes: Any) -> dict[str, Any]:
    record = fold_all([patch("a", 0), patch("b", 1)]).snapshot_record()
    return {**copy.deepcopy(record), **changes}


@pytest.mark.parametrize(
    "changes",
    [
        {"document": {}},
        {"version": 1},
        {"version": 3},
        {"offset": 1},
        {"offset": 9},
        {"recent_ids": []},
        {"recent_ids": [{"id": "a"}, 5]},
        {"digest": "0" * 32},
        {"document": {"models": 1}},
        {"schema": 2},
        {"version": True},
        {"recent_ids": None},
    ],
)
def test_damaged_snapshot_is_ignored(changes: dict[str, Any]) -> None:
    """Guards against a start from a snapshot that is damaged or forged."""
    assert isinstance(verify_snapshot(tampered(**changes)), SnapshotFault)


def test_snapshot_in_sequence_is_compared_and_changes_nothing() -> None:
    """Guards against a snapshot record that changes a host that is up to date."""
    fold = fold_all([patch("a", 0), patch("b", 1)])
    good = fold.snapshot_record()
    assert fold.apply(LogRecord(2, good)) == SnapshotAccepted(2)
    other = fold_all([patch("c", 0), patch("d", 1), {}]).snapshot_record()
    assert isinstance(fold.apply(LogRecord(3, other)), SnapshotRejected)
    assert isinstance(fold.apply(LogRecord(4, tampered(version=9))), SnapshotRejected)
    assert (fold.version, fold.next_offset) == (2, 5)


def test_history_names_changed_fields_and_stays_bounded() -> None:
    """Guards against a history that reveals values or grows without bound."""
    secret = {"workspaces": {"a/b": {"key": "s3cret"}}}
    many = {"workspaces": {f"w{n}": {} for n in range(100)}}
    fold = fold_all([patch("p0", 0, merge=secret), patch("p1", 1, merge=many)])
    first, second = fold.history
    assert first.changed == ("/workspaces/a~1b/key",)
    assert len(second.changed) == 8
    assert "s3cret" not in str(first)
