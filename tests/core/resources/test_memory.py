"""Tests of the memory budget: leaks, order of admission, reserve, choice to end."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.resources import (
    BodyCharge,
    CallerPolicy,
    MemoryBudget,
    memory_budget_bytes,
)

MB = 1024 * 1024
POLICY = CallerPolicy(
    upload_wait_s=10.0, shortage_s=1.0, stall_s=2.0, max_waiting_uploads=8
)


class Uploads:
    """Bodies of a budget; records what the budget decides about them."""

    def __init__(self, total_bytes: int = 16 * MB) -> None:
        self.budget = MemoryBudget(total_bytes, policy=POLICY)
        self.granted: list[str] = []
        self.refused: list[str] = []
        self.ended: list[tuple[str, bool]] = []
        self.bodies: dict[str, BodyCharge] = {}

    def open(self, name: str, address: str = "a", now_s: float = 0.0) -> BodyCharge:
        def refuse() -> None:
            self.refused.append(name)
            self.bodies[name].close()

        def end(is_stalled: bool) -> None:
            self.ended.append((name, is_stalled))
            self.bodies[name].close()

        body = self.bodies[name] = self.budget.open_body(
            address,
            now_s,
            on_granted=lambda: self.granted.append(name),
            on_refused=refuse,
            on_ended=end,
        )
        return body

    def request(
        self, name: str, size: int, address: str = "a", now_s: float = 0.0
    ) -> bool:
        return self.open(name, address, now_s).request(size, now_s)


@pytest.mark.parametrize(
    ("memory_mb", "budget_mb"), [(64, 16), (100, 16), (200, 27), (300, 47)]
)
def test_budget_is_a_fifth_of_what_the_process_does_not_need(
    memory_mb: int, budget_mb: int
) -> None:
    """Guards against a budget that exceeds the machine, or that serves nobody."""
    assert memory_budget_bytes(memory_mb) // MB == budget_mb


def test_reserved_share_is_left_to_small_requests() -> None:
    """Guards against ordinary callers without memory beside uploads."""
    uploads = Uploads()
    assert uploads.request("one", 8 * MB)
    assert uploads.request("two", 4 * MB)
    assert not uploads.request("three", MB)
    assert not uploads.budget.open_charge("pipelines").grow(MB)
    assert uploads.budget.open_charge("heads", is_small=True).grow(3 * MB)
    assert uploads.request("small", 65_536)
    assert uploads.granted == []


def test_single_upload_above_the_budget_is_admitted() -> None:
    """Guards against a body within the limits that a small host never serves."""
    uploads = Uploads()
    assert uploads.request("large", 64 * MB)
    assert not uploads.request("next", 64 * MB)
    uploads.bodies["large"].close()
    uploads.budget.tick(0.1)
    assert uploads.granted == ["next"]


def test_uploads_are_admitted_in_the_order_in_which_they_wait() -> None:
    """Guards against a large upload that later smaller ones overtake without end."""
    uploads = Uploads()
    uploads.request("first", 8 * MB)
    assert not uploads.request("large", 8 * MB)
    assert not uploads.request("little", MB)
    uploads.budget.tick(0.5)
    assert uploads.granted == []
    uploads.bodies["first"].close()
    uploads.budget.tick(0.6)
    assert uploads.granted == ["large", "little"]


def test_half_read_uploads_go_before_new_ones() -> None:
    """Guards against uploads that hold room for a longer time than they need."""
    uploads = Uploads()
    uploads.request("whole", 8 * MB, "w")
    half = uploads.open("half", "h")
    assert half.request(2 * MB, 0.0, claim=4 * MB)
    assert not uploads.request("new", 4 * MB, "n")
    assert not half.request(5 * MB, 0.0, claim=5 * MB)
    uploads.bodies["whole"].close()
    uploads.budget.tick(0.1)
    assert uploads.granted == ["half", "new"]


def test_half_read_uploads_do_not_wait_for_each_other() -> None:
    """Guards against a deadlock of uploads that grow in steps; seen with 40 of 4 MB."""
    uploads = Uploads()
    open_names = [f"u{number}" for number in range(8)]
    wanted = dict.fromkeys(open_names, 0)
    for name in open_names:
        uploads.open(name)
    now_s = 0.0
    for _ in range(1000):
        for name in list(open_names):
            body = uploads.bodies[name]
            if body.is_waiting:
                continue
            if body.size == wanted[name] == 4 * MB:
                body.close()
                open_names.remove(name)
                continue
            if body.size == wanted[name]:
                wanted[name] += MB // 2
                body.add_received(MB // 2, now_s)
                body.request(wanted[name], now_s, claim=4 * MB)
        now_s += 0.01
        uploads.budget.tick(now_s)
    assert open_names == []
    assert (uploads.refused, uploads.ended) == ([], [])


def test_address_gets_no_more_than_its_share_while_others_wait() -> None:
    """Guards against one caller that takes the room of all others."""
    uploads = Uploads()
    for number in range(3):
        assert uploads.request(f"a{number}", 4 * MB, "a")
    assert not uploads.request("a3", 4 * MB, "a")
    assert not uploads.request("b", 4 * MB, "b")
    uploads.bodies["a0"].close()
    uploads.budget.tick(0.1)
    assert uploads.granted == ["b"]
    uploads.bodies["b"].close()
    uploads.budget.tick(0.2)
    # Nobody else waits.
    assert uploads.granted == ["b", "a3"]


def test_upload_that_waits_too_long_is_refused() -> None:
    """Guards against callers that wait without end."""
    uploads = Uploads()
    uploads.request("running", 12 * MB)
    uploads.bodies["running"].end_receiving()
    uploads.request("waiting", 4 * MB)
    uploads.budget.tick(9.9)
    assert uploads.refused == []
    uploads.budget.tick(10.0)
    assert uploads.refused == ["waiting"]
    assert uploads.budget.waiting_count == 0


def test_number_of_waiting_uploads_is_bounded() -> None:
    """Guards against a queue whose end cannot be served in time."""
    uploads = Uploads()
    uploads.request("running", 12 * MB)
    for number in range(POLICY.max_waiting_uploads + 1):
        uploads.request(f"w{number}", 4 * MB)
    assert uploads.refused == [f"w{POLICY.max_waiting_uploads}"]


def received(uploads: Uploads, name: str, size: int, count: int, at_s: float) -> None:
    body = uploads.open(name, name, 0.0)
    assert body.request(size, 0.0)
    body.add_received(count, at_s)


def test_nothing_is_ended_while_nobody_waits() -> None:
    """Guards against slow clients that are ended without need."""
    uploads = Uploads()
    received(uploads, "stalled", 4 * MB, MB, 0.1)
    uploads.budget.tick(60.0)
    assert uploads.ended == []


def test_stalled_upload_is_ended_before_the_one_that_arrived_last() -> None:
    """Guards against callers who pay for clients that stopped sending."""
    uploads = Uploads()
    received(uploads, "stalled", 4 * MB, 4 * MB - 1, 0.1)
    received(uploads, "less", 2 * MB, MB, 0.1)
    received(uploads, "moving", 4 * MB, MB, 2.9)
    assert not uploads.request("new", 4 * MB, "n", 1.0)
    uploads.budget.tick(1.9)
    assert uploads.ended == []
    uploads.budget.tick(3.0)
    assert uploads.ended == [("stalled", True)]
    assert uploads.granted == ["new"]


def test_dripping_upload_is_ended_while_others_wait() -> None:
    """Guards against an upload that holds its room with one byte now and then."""
    uploads = Uploads()
    drip = uploads.open("drip", "d")
    assert drip.request(12 * MB, 0.0)
    assert not uploads.request("new", 4 * MB, "n", 1.0)
    for tenth in range(1, 40):
        drip.add_received(1, tenth / 10)
        uploads.budget.tick(tenth / 10)
    assert uploads.ended == [("drip", True)]
    assert uploads.granted == ["new"]


def test_upload_that_the_host_paused_is_ended_last() -> None:
    """Guards against blame for a client whose bytes the host itself does not read."""
    uploads = Uploads()
    paused = uploads.open("paused", "p")
    assert paused.request(8 * MB, 0.0)
    received(uploads, "stalled", 2 * MB, MB, 0.1)
    assert not paused.request(40 * MB, 0.2)
    uploads.budget.tick(2.2)
    assert uploads.ended == [("stalled", True)]
    # It is the only one that holds room now.
    assert uploads.granted == ["paused"]


def test_largest_upload_is_ended_where_all_wait_for_each_other() -> None:
    """Guards against uploads above the budget that wait for each other."""
    uploads = Uploads()
    for name, size in (("more", 6 * MB), ("less", 5 * MB)):
        assert uploads.open(name, name).request(size, 0.0)
    for name in ("more", "less"):
        assert not uploads.bodies[name].request(40 * MB, 0.1)
    uploads.budget.tick(1.2)
    assert uploads.ended == [("more", False)]
    assert uploads.granted == ["less"]


def test_running_request_is_never_ended() -> None:
    """Guards against a request that is cut although its caller did its part."""
    uploads = Uploads()
    received(uploads, "running", 12 * MB, 12 * MB, 0.1)
    uploads.bodies["running"].end_receiving()
    uploads.request("new", 4 * MB, "n", 1.0)
    for second in range(2, 10):
        uploads.budget.tick(float(second))
    assert uploads.ended == []


def test_unread_answer_is_ended_when_memory_is_short() -> None:
    """Guards against answers that nobody reads and whose memory others need."""
    ended: list[bool] = []
    budget = MemoryBudget(16 * MB, policy=POLICY)
    charge = budget.open_transfer("answers", 0.0, on_ended=ended.append)
    charge.force(13 * MB)
    budget.tick(1.0)
    assert ended == []
    budget.tick(2.0)
    assert ended[0] is True


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ["open", "small", "grow", "shrink", "force", "request", "close", "tick"]
        ),
        st.integers(0, 9),
        st.integers(0, 6 * MB),
    ),
    max_size=120,
)


@given(ACTIONS)
def test_budget_returns_to_zero(actions: list[tuple[str, int, int]]) -> None:
    """Guards against charges that are never credited back, which lower the capacity."""
    uploads = Uploads()
    budget = uploads.budget
    small = [budget.open_charge("heads", is_small=True) for _ in range(3)]
    transfers = [
        budget.open_transfer("answers", 0.0, on_ended=lambda stalled: None)
        for _ in range(2)
    ]
    for body_number in range(5):
        uploads.open(str(body_number), str(body_number % 2))
    charges = [*small, *transfers, *uploads.bodies.values()]
    now_s = 0.0
    for action, number, size in actions:
        charge = charges[number]
        now_s += size / MB / 4
        if action == "open" and number >= 5:
            charges[number].close()
            charges[number] = uploads.open(str(number - 5), str(number % 2), now_s)
        elif action == "small":
            charge.resize(size % 65_536)
        elif action == "grow":
            charge.grow(size)
        elif action == "shrink":
            charge.shrink(size)
        elif action == "force":
            charge.force(size)
        elif action == "request" and isinstance(charge, BodyCharge):
            charge.request(size, now_s, claim=6 * MB)
        elif action == "close":
            charge.close()
        else:
            budget.tick(now_s)
        assert budget.used_bytes == sum(charge.size for charge in charges)
        assert budget.used_bytes == sum(budget.used_by_purpose.values())
        assert all(charge.size >= 0 for charge in charges)
    for charge in charges:
        charge.close()
        charge.close()
        assert not charge.grow(1)
    budget.tick(now_s + 100.0)
    assert (budget.used_bytes, budget.used_by_purpose) == (0, {})
    assert budget.waiting_count == 0
