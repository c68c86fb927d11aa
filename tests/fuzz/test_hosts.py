"""Tests of the fuzzer of whole hosts, and a short seeded run of it."""

import random
from collections import Counter

import pytest

from fuzz.hosts._callers import Seen, Sending
from fuzz.hosts._changes import Change, Kind, Side, alter, from_json, to_json
from fuzz.hosts._checks import request_violations
from fuzz.hosts._proxies import (
    ChangeTable,
    Deliveries,
    Delivery,
    open_store_filter,
    stays_on_loopback,
)
from fuzz.hosts._reading import Reading, read_response
from fuzz.hosts._runner import changes_of, reduce_changes, run_seed
from standins.replica import STREAM_EVENTS, ReceivedRequest
from standins.soak_load import Answer

SEED, REQUESTS = 7, 120
MIN_CHANGES = 5
"""Changes of each side that a run of CI applies at least."""
HEAD = b"HTTP/1.1 200 OK\r\n"
SEALS = frozenset({"seal-a"})
PLAIN = HEAD + b"Content-Length: 14\r\n\r\na POST /look/1x"


def test_no_violations_with_changed_bytes_on_all_sides() -> None:
    """Guards against guarantees that fail on bytes that only whole hosts meet."""
    report = run_seed(SEED, requests=REQUESTS)
    assert report.violations == ()
    assert report.statuses[200] > REQUESTS / 4
    sides = Counter(change.side for change in report.applied)
    assert min(sides[side] for side in Side) >= MIN_CHANGES, sides


def plain(body: bytes = b"a POST /look/1x", status: int = 200, **headers: str) -> Seen:
    values = {"request-id": "1x", "response-seal": "seal-a", **headers}
    answer = Answer("1x", "look", status, values, body, "/look/1x")
    return Seen(Sending("1x", "look", 0, True), answer)


def stream(*ids: int, text: str = "") -> Seen:
    body = "".join(f"id: {n}\ndata: 1x {n}{text}\n\n" for n in ids).encode()
    values = {"request-id": "1x", "response-seal": "seal-a"}
    answer = Answer("1x", "fixed", 200, values, body, "/fixed/1x")
    return Seen(Sending("1x", "fixed", 0, True), answer)


def booked(status: int, *, has_key: bool = True) -> Seen:
    values = {"request-id": "1x", "response-seal": "seal-a"}
    answer = Answer("1x", "book", status, values, b"a POST /book/1x", "/book/1x")
    return Seen(Sending("1x", "book", 0, has_key), answer)


def delivered(data: bytes, kind: Kind = Kind.BYTE) -> Delivery:
    change = Change(Side.CALLERS, 1, kind, 0)
    return Delivery(change, b"", data, is_altered=True)


ALL_EVENTS = tuple(range(1, STREAM_EVENTS + 1))
STREAM_1 = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDED_EARLY = STREAM_1 + b"12\r\nid: 1\ndata: 1x 1\n\n\r\n0\r\n\r\n"
CUT_EARLY = ENDED_EARLY.removesuffix(b"0\r\n\r\n")
BOOKING = b"POST /book/1x HTTP/1.1\r\nApi-Key: key-1\r\n\r\n"
RAN = ReceivedRequest("POST", "/book/1x", {"request-id": "1x"}, b"1x")


@pytest.mark.parametrize(
    "seen, runs, request_delivery, responses, rules",
    [
        (plain(), 1, None, [], []),
        (plain(b"a POST /look/2x"), 1, None, [], ["wrong success"]),
        (plain(**{"request-id": "2x, 1x"}), 1, None, [], ["wrong success"]),
        (plain(**{"response-seal": "seal-b"}), 1, None, [], ["wrong success"]),
        (plain(b"a POST /lo"), 1, None, [], ["wrong success"]),
        (plain(b"a POST /look/2x"), 1, None, [delivered(PLAIN)], ["wrong success"]),
        (plain(b"a POST /look/1"), 1, None, [delivered(PLAIN)], []),
        (plain(status=503), 1, None, [], []),
        (booked(200), 2, None, [], ["ran twice"]),
        (booked(503), 1, None, [], ["refused but ran"]),
        (booked(502), 1, None, [], []),
        (booked(200, has_key=False), 1, None, [], ["ran without a valid key"]),
        (booked(401, has_key=False), 0, None, [], []),
        (booked(200), 2, delivered(BOOKING), [], ["ran twice"]),
        (booked(200), 2, delivered(BOOKING, Kind.REPEAT), [], []),
        (
            *(booked(200), 1, delivered(BOOKING.replace(b"key-1", b"key-2"))),
            *([], ["ran without a valid key"]),
        ),
        (stream(*ALL_EVENTS), 1, None, [], []),
        (stream(1), 1, None, [], ["wrong success"]),
        (stream(*ALL_EVENTS[1:]), 1, None, [], ["wrong success"]),
        (stream(1, 1, *ALL_EVENTS[1:]), 1, None, [], ["wrong success"]),
        (stream(1), 1, None, [delivered(ENDED_EARLY)], []),
        (stream(1), 1, None, [delivered(CUT_EARLY)], ["wrong success"]),
        (stream(1, 3), 1, None, [delivered(ENDED_EARLY)], ["wrong success"]),
        (
            *(stream(*ALL_EVENTS, text="y"), 1, None),
            *([delivered(ENDED_EARLY)], ["wrong success"]),
        ),
        (Seen(plain().sending, plain().answer, True), 0, None, [], ["host hangs"]),
    ],
)
def test_rules_find_planted_violations(
    seen: Seen,
    runs: int,
    request_delivery: Delivery | None,
    responses: list[Delivery],
    rules: list[str],
) -> None:
    """Guards against a fuzzer that holds everything for right, or for a finding."""
    found = request_violations(seen, [RAN] * runs, request_delivery, responses, SEALS)
    assert [each.rule for each in found] == rules


@pytest.mark.parametrize(
    "data, reading",
    [
        (PLAIN, Reading(200, b"a POST /look/1", True)),
        (PLAIN[:-3], Reading(200, b"a POST /look", False)),
        (HEAD + b"\r\nabc", Reading(200, b"abc", True)),
        (ENDED_EARLY, Reading(200, b"id: 1\ndata: 1x 1\n\n", True)),
        (CUT_EARLY, Reading(200, b"id: 1\ndata: 1x 1\n\n", False)),
        (HEAD, None),
        (b"HTTP/1.1 2x0 OK\r\n\r\n", None),
    ],
)
def test_bytes_of_a_replica_are_read(data: bytes, reading: Reading | None) -> None:
    """Guards against answers that are allowed though no replica's bytes say so."""
    assert read_response(data) == reading


@pytest.mark.parametrize(
    "kind, data, altered",
    [
        (Kind.BYTE, b"x", b"aaxbbb1c12"),
        (Kind.INSERT, b"xy", b"aaxybbbb1c12"),
        (Kind.DELETE, b"", b"aabbb1c12"),
        (Kind.DROP, b"\x03", b"aab1c12"),
        (Kind.DOUBLE, b"\x05", b"aabbbb1bbbb1c12"),
        (Kind.NUMBER, b"-7", b"aabbbb-7c12"),
        (Kind.CUT, b"", b"aa"),
        (Kind.DELAY, b"", b"aabbbb1c12"),
    ],
)
def test_kinds_change_bytes(kind: Kind, data: bytes, altered: bytes) -> None:
    """Guards against kinds that change nothing, so that the table counts them wrongly.

    A kept case has to be read as it was written.
    """
    change = Change(Side.STORE, 0, kind, 2, data)
    assert alter(change, b"aabbbb1c12", 2) == altered
    assert from_json(to_json(change)) == change


@pytest.mark.parametrize(
    "kind, pieces",
    [
        (Kind.BYTE, [(0.0, b"abxde"), (0.0, b"next")]),
        (Kind.LOSE, [(0.0, b"ab"), (0.0, b"next")]),
        (Kind.DELAY, [(0.0, b"ab"), (0.7, b"cde"), (0.0, b"next")]),
        (Kind.LATE, [(0.0, b"abcde"), (0.0, b"abnext")]),
    ],
)
def test_filter_changes_one_message(
    kind: Kind, pieces: list[tuple[float, bytes]]
) -> None:
    """Guards against changes that hit no message, or the next one too."""
    table = ChangeTable([Change(Side.STORE, 0, kind, 2, b"x", 0.7)])
    change = open_store_filter(table)
    sent: list[tuple[float, bytes]] = []
    for data, from_server in (
        *((b"GET /", False), (b"abcde", True), (b"GET /", False), (b"next", True)),
    ):
        answer = list(change(data, from_server))
        sent += answer if from_server else []
    assert sent == pieces
    assert [each.kind for each in table.applied] == [kind]


def test_cut_message_closes_its_connection() -> None:
    """Guards against a cut after which the rest of the message arrives."""
    request = b"POST / HTTP/1.1\r\nRequest-Id: 3x1\r\n\r\n"
    table = ChangeTable([Change(Side.CALLERS, 1, Kind.CUT, 9)])
    requests = Deliveries(table, Side.CALLERS, ["0x1", "3x1"])
    with pytest.raises(ConnectionError):
        list(requests.open_request_filter()(request, False))
    assert requests.by_request["3x1"][0].delivered == request[:9]


@pytest.mark.parametrize(
    "data, is_loopback",
    [
        (b'"127.0.0.1:80"', True),
        (b'"27.0.0.1:80"', False),
        (b'{"value": "eyJhZGRyZXNzIjogIjEyNy4wLjAuMTo4MCJ9"}', True),
        (b'{"value": "eyJhZGRyZXNzIjogIjI3LjAuMC4xOjgwIn0="}', False),
    ],
)
def test_changes_name_no_other_machine(data: bytes, is_loopback: bool) -> None:
    """Guards against hosts that connect to other machines because of a change."""
    assert stays_on_loopback(data) == is_loopback


def test_same_seed_draws_the_same_changes() -> None:
    """Guards against a finding that its seed does not show again."""
    assert changes_of(3, 200) == changes_of(3, 200) != changes_of(4, 200)
    assert {each.side for each in changes_of(3, 200)} == set(Side)
    assert {each.kind for each in changes_of(3, 200)} == set(Kind)


@pytest.mark.parametrize("needed", [{3}, {3, 77}, {0, 50, 99}])
def test_changes_are_reduced_to_those_that_are_needed(needed: set[int]) -> None:
    """Guards against kept cases that hide their cause among other changes."""
    changes = tuple(
        Change(Side.STORE, number, Kind.BYTE, random.Random(number).randrange(99))
        for number in range(100)
    )

    def fails(some: tuple[Change, ...]) -> bool:
        return needed <= {each.number for each in some}

    smallest = reduce_changes(changes, fails, max_runs=400)
    assert {each.number for each in smallest} == needed
