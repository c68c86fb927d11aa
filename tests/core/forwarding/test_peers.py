"""Tests of the roles that a host takes on from its peers' reports."""

import pytest

from persimmonwell.core.forwarding import (
    PeerStatus,
    StoreVersions,
    count_readers,
    should_be_reader,
    should_plan_without_store,
)


def peer(name: str, zone: str = "za", **overrides: bool) -> PeerStatus:
    values = {"reads_store": True, "holds_duty": False, "is_reader": True, **overrides}
    return PeerStatus(name, zone, store_versions=StoreVersions(), **values)


@pytest.mark.parametrize(
    ("peers", "reads"),
    [
        ((), True),
        ((peer("h1"),), True),
        ((peer("h1"), peer("h2")), False),
        ((peer("h1"), peer("h9")), True),
        ((peer("h1"), peer("h2", "zb")), True),
        ((peer("h1"), peer("h2", reads_store=False)), True),
        ((peer("h1"), peer("h2", is_reader=False)), True),
        ((peer("h1", reads_store=False), peer("h2"), peer("h3")), False),
    ],
)
def test_two_hosts_of_a_zone_are_readers(
    peers: tuple[PeerStatus, ...], reads: bool
) -> None:
    """Guards against a zone without a reader, and against too many readers."""
    assert should_be_reader("h5", "za", peers) is reads


@pytest.mark.parametrize(
    ("peers", "count"),
    [
        ((), 1),
        ((peer("h1"), peer("h2", is_reader=False), peer("h3", "zb")), 2),
        ((peer("h1", reads_store=False), peer("h2", reads_store=False)), 3),
    ],
)
def test_readers_of_the_zone_are_counted(
    peers: tuple[PeerStatus, ...], count: int
) -> None:
    """Guards against a reader that waits for hosts that do not poll the store."""
    assert count_readers("za", peers) == count


def test_reader_choice_converges_to_two_working_readers() -> None:
    """Guards against hosts that each rely on the others to read."""
    names = [f"h{number:02}" for number in range(12)]
    reading = dict.fromkeys(names, True)
    for _ in range(len(names)):
        peers = {
            n: peer(n, is_reader=reading[n], reads_store=n != "h00") for n in names
        }
        reading = {
            name: should_be_reader(
                name, "za", [each for other, each in peers.items() if other != name]
            )
            for name in names
        }
    # The store refuses h00, so the next two hosts read for the zone as well.
    assert [name for name in names if reading[name]] == ["h00", "h01", "h02"]


@pytest.mark.parametrize(
    ("peers", "plans"),
    [
        ((), True),
        ((peer("h9", reads_store=False),), True),
        ((peer("h1", reads_store=False),), False),
        ((peer("h1", "zb", reads_store=False),), True),
        ((peer("h9", "zb"),), False),
        ((peer("h9", reads_store=False, holds_duty=True),), False),
    ],
)
def test_one_host_plans_for_a_zone_without_store(
    peers: tuple[PeerStatus, ...], plans: bool
) -> None:
    """Guards against several planners, or none, in a zone cut off from the store."""
    assert should_plan_without_store("h5", "za", peers) is plans
