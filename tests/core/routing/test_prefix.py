"""Check the prefix index: bounds, matches and handling of cache events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.routing import PrefixIndex

BLOCKS = st.lists(st.integers(0, 12), max_size=9).map(tuple)
HOLDERS = st.lists(st.sampled_from("abcdef"), min_size=1, max_size=3, unique=True)
STEPS = st.one_of(
    st.tuples(st.just("routed"), BLOCKS, HOLDERS.map(tuple)),
    st.tuples(st.just("event"), st.integers(0, 9), BLOCKS, BLOCKS),
    st.tuples(st.just("forget"), st.sampled_from("abcdef")),
)


@given(st.lists(STEPS, max_size=40), st.integers(3, 12))
def test_index_stays_bounded_and_consistent(
    steps: list[tuple[object, ...]], bound: int
) -> None:
    """Guards against unbounded growth, a wrong size, and matches never recorded."""
    index = PrefixIndex(max_entries=bound)
    held: set[tuple[int, str]] = set()
    for step in steps:
        match step:
            case ("routed", tuple(blocks), tuple(ids)):
                index.record_routed(blocks, ids)
                held |= {(b, u) for b in blocks for u in ids}
            case ("event", int(sequence), tuple(stored), tuple(evicted)):
                event = {"sequence": sequence, "stored": stored, "evicted": evicted}
                index.apply_cache_event("a", **event)
                held |= {(b, "a") for b in stored}
                held -= {(b, "a") for b in evicted if b not in stored}
            case ("forget", str(name)):
                index.drop_upstream(name)
                held = {(b, u) for b, u in held if u != name}
        pairs = {(b, u) for b in range(13) for u in index.find_matches((b,))}
        assert len(index) == len(pairs) <= bound
        assert pairs <= held


@pytest.mark.parametrize(
    ("routed", "asked", "expected"),
    [(16, 16, 16), (4, 16, 4), (5, 16, 4), (16, 3, 2), (1, 1, 1), (0, 4, None)],
)
def test_match_is_within_a_factor_of_two(
    routed: int, asked: int, expected: int | None
) -> None:
    """Guards against a match that overstates or misses the shared prefix."""
    index = PrefixIndex(max_entries=100)
    index.record_routed(tuple(range(routed)), ("a",))
    assert index.find_matches(tuple(range(asked))).get("a") == expected


def test_late_event_only_evicts_and_gap_lowers_confidence() -> None:
    """Guards against a late event that restores evicted blocks, and ignored gaps."""
    index = PrefixIndex(max_entries=100)
    for sequence, stored, evicted in ((1, (1,), ()), (3, (2,), ()), (2, (9,), (2,))):
        index.apply_cache_event("a", sequence=sequence, stored=stored, evicted=evicted)
    assert index.find_matches((9,)) == index.find_matches((2,)) == {}
    assert index.find_matches((1,)) == {"a": 1}
    after_gap = index.confidence("a")
    assert after_gap == 0.5
    index.apply_cache_event("a", sequence=4, stored=(), evicted=())
    assert after_gap < index.confidence("a") < 1
