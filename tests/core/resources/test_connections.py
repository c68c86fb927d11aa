"""Tests of the bound on connections and of the choice of the one to close."""

from collections import Counter

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.resources import (
    CLOSING_CONNECTIONS,
    FILE_DESCRIPTORS,
    FIXED_DESCRIPTORS,
    MIN_CALLER_CONNECTIONS,
    ConnectionTable,
    caller_connection_bound,
)
from persimmonwell.core.resources._connections import NEW_S, RECHECK_INTERVAL_S


@attrs.define(eq=False)
class _Connection:
    name: int
    is_idle: bool = True
    may_be_evicted: bool = True
    address: str = ""
    looked_at: int = 0


def table_of(bound: int, **values: int) -> ConnectionTable[_Connection]:
    def may_be_evicted(connection: _Connection) -> bool:
        connection.looked_at += 1
        return connection.may_be_evicted

    return ConnectionTable(
        bound=bound,
        is_idle=lambda connection: connection.is_idle,
        may_be_evicted=may_be_evicted,
        address_of=lambda connection: connection.address,
        **values,
    )


@pytest.mark.parametrize(
    ("max_fds", "process_limit", "bound"),
    [
        (4100, None, 1800),
        (4100, 20_000, 1800),
        (20_000, 4100, 1800),
        (1024, 1024, 262),
        (500, None, MIN_CALLER_CONNECTIONS),
        (0, None, MIN_CALLER_CONNECTIONS),
        (1 << 48, 0, MIN_CALLER_CONNECTIONS),
    ],
)
def test_bound_leaves_descriptors_for_everything_else(
    max_fds: int, process_limit: int | None, bound: int
) -> None:
    """Guards against callers that take the descriptors of upstreams and the store."""
    assert caller_connection_bound(max_fds, process_limit) == bound
    usable = min(max_fds, process_limit if process_limit is not None else max_fds)
    if bound > MIN_CALLER_CONNECTIONS:
        assert 2 * bound + FILE_DESCRIPTORS + FIXED_DESCRIPTORS <= usable


@pytest.mark.parametrize(
    ("connections", "progress", "expected"),
    [
        # The oldest of equal ones.
        ([(True, True), (True, True)], [], 0),
        ([(True, True), (True, True)], [0], 1),
        ([(False, True), (False, True), (False, True)], [1, 0], 2),
        # An idle one before one with a request, however recent its progress is.
        ([(False, True), (True, True)], [0, 1], 1),
        # Never one whose answer is being read.
        ([(False, False), (False, True)], [], 1),
        ([(False, False), (False, True)], [1, 0], 1),
        ([(True, False), (False, True)], [], 1),
        ([(False, False), (False, False)], [], None),
    ],
)
def test_connection_to_close_is_the_idle_or_slowest_one(
    connections: list[tuple[bool, bool]], progress: list[int], expected: int | None
) -> None:
    """Guards against an ordinary caller that is closed in place of a stalled one."""
    table = table_of(len(connections))
    each = [_Connection(name, *state) for name, state in enumerate(connections)]
    for connection in each:
        table.add(connection, 0.0)
        table.record_progress(connection)
    for name in progress:
        table.record_progress(each[name])
    admission = table.add(_Connection(9), 1.0)
    assert admission.is_admitted is (expected is not None)
    evicted = admission.evicted
    assert (evicted.name if evicted is not None else None) == expected


def test_connection_that_is_idle_no_more_is_not_taken_for_an_idle_one() -> None:
    """Guards against a caller that is closed because its request was not noticed."""
    table = table_of(2)
    began, idle = _Connection(1), _Connection(2)
    table.add(began, 0.0)
    table.add(idle, 0.0)
    began.is_idle = False
    assert table.add(_Connection(3), 1.0).evicted is idle


def test_caller_with_few_connections_is_closed_last() -> None:
    """Guards against clients that come back at once and take every connection.

    An ordinary caller lost its connection before its request was read.
    """
    table = table_of(300)
    ordinary = _Connection(0, address="127.0.0.1")
    table.add(ordinary, 0.0)
    table.record_progress(ordinary)
    for number in range(1, 1000):
        crowd = _Connection(number, address=f"127.0.0.{2 + number % 60}")
        crowd.is_idle = number % 2 == 0
        admission = table.add(crowd, number / 1000)
        assert admission.is_admitted and admission.evicted is not ordinary
        table.record_progress(crowd)


operations = st.lists(
    st.one_of(
        st.tuples(st.just("add"), st.booleans(), st.booleans()),
        st.tuples(st.just("progress"), st.integers(0, 30), st.booleans()),
        st.tuples(st.just("evictable"), st.integers(0, 30), st.booleans()),
        st.tuples(st.just("remove"), st.integers(0, 30), st.booleans()),
    ),
    max_size=60,
)


def plain_choice(kept: list[_Connection]) -> _Connection | None:
    """Return the first of those that may be closed, by address, then idle ones."""
    counts = Counter(each.address for each in kept)
    most = max(counts.values(), default=0)
    candidates = [each for each in kept if each.may_be_evicted]
    return min(
        candidates,
        key=lambda each: (2 * counts[each.address] <= most, not each.is_idle),
        default=None,
    )


@given(operations, st.integers(1, 9))
def test_every_choice_is_that_of_a_plain_search(
    steps: list[tuple[str, int, bool]], bound: int
) -> None:
    """Guards against a wrong order after any sequence, and against a leaked entry."""
    table = table_of(bound, closing_bound=2)
    kept: list[_Connection] = []  # In the order of their last progress.
    closing: list[_Connection] = []
    added: list[_Connection] = []
    for number, (step, value, flag) in enumerate(steps):
        now_s = number * RECHECK_INTERVAL_S
        if step == "add":
            address = "few" if number % 4 == 0 else "many"
            new = _Connection(number, bool(value), flag, address)
            added.append(new)
            admission = table.add(new, now_s)
            if len(kept) < bound:
                expected = None
            else:
                expected = plain_choice(kept)
            assert admission.evicted is expected
            if expected is not None:
                kept.remove(expected)
                closing.append(expected)
            assert admission.is_admitted is (len(kept) < bound)
            (kept if admission.is_admitted else closing).append(new)
            if len(closing) > 2:
                assert admission.aborted is closing.pop(0)
            else:
                assert admission.aborted is None
            if new in kept:
                # Whether it has a request is known from its first progress on.
                table.record_progress(new)
        elif added:
            connection = added[value % len(added)]
            if step == "progress" and connection in kept:
                connection.is_idle = flag
                kept.remove(connection)
                kept.append(connection)
                table.record_progress(connection)
            elif step == "progress":
                table.record_progress(connection)
            elif step == "evictable":
                connection.may_be_evicted = flag
            else:
                table.remove(connection)
                for connections in (kept, closing):
                    if connection in connections:
                        connections.remove(connection)
        assert len(table) == len(kept) + len(closing)
        assert set(table) == {*kept, *closing}
        assert len(table) <= bound + 2
    for connection in added:
        table.remove(connection)
    assert len(table) == 0


def test_connections_that_may_not_be_closed_are_not_searched_each_time() -> None:
    """Guards against a crowd of new connections that takes the event loop's time."""
    table = table_of(1000)
    answered = [_Connection(name, False, False) for name in range(1000)]
    for connection in answered:
        table.add(connection, 0.0)
        table.record_progress(connection)
    for number in range(500):
        assert not table.add(_Connection(2000 + number), 1.0).is_admitted
    assert sum(connection.looked_at for connection in answered) == 1000
    assert len(table) == 1000 + CLOSING_CONNECTIONS
    # Without an event that the table is told of, as when a caller stops reading.
    answered[7].may_be_evicted = True
    admission = table.add(_Connection(3000), 1.0 + RECHECK_INTERVAL_S)
    assert admission.evicted is answered[7]


def test_a_new_connection_is_read_before_it_is_closed() -> None:
    """Guards against clients with a request in progress that displace probes."""
    table = table_of(4)
    busy = [_Connection(number, is_idle=False) for number in range(3)]
    for connection in busy:
        table.add(connection, 0.0)
        table.record_progress(connection)
    probe = _Connection(9)
    table.add(probe, 1.0)
    # Of a connection without progress, only the first moments are spared.
    evicted = [table.add(_Connection(n), 1.0 + n * NEW_S / 3).evicted for n in (1, 2)]
    assert evicted == busy[:2]
    assert table.add(_Connection(3), 1.0 + NEW_S).evicted is probe


def test_a_request_in_progress_is_kept_among_silent_new_connections() -> None:
    """Guards against silent clients that come back and displace requests."""
    table = table_of(8)
    request = _Connection(0, is_idle=False)
    table.add(request, 0.0)
    evicted = []
    for number in range(1, 40):
        table.record_progress(request)
        evicted.append(table.add(_Connection(number), 0.0).evicted)
    # Until it gets no further while the connections of half of the bound follow.
    assert request not in evicted and len(set(evicted)) == 33
