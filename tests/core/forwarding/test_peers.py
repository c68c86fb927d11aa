"""Check what a host decides from the peers that it hears."""

import pytest

from persimmonwell.core.forwarding import (
    PeerStatus,
    StoreVersions,
    should_be_reader,
    should_plan_without_store,
)


def peer(name: str, zone: str = "za", **rest: bool) -> PeerStatus:
    values = {"reads_store": True, "holds_duty": False, "is_reader": True, **rest}
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
def test_two_hosts_of_a_zone_read_for_the_others(
    peers: tuple[PeerStatus, ...], reads: bool
) -> None:
    """Guards against a zone that nobody reads for, and against all hosts reading."""
    assert should_be_reader("h5", "za", peers) is reads


def test_of_any_set_of_hosts_some_always_read() -> None:
    """Guards against hosts that each wait for the others."""
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
    # The store turns h00 away, so that the two after it read for the zone.
    assert [name for name in names if reading[name]] == ["h00", "h01", "h02"]


@pytest.mark.parametrize(
    ("peers", "stands_in"),
    [
        ((), True),
        ((peer("h9", reads_store=False),), True),
        ((peer("h1", reads_store=False),), False),
        ((peer("h1", "zb", reads_store=False),), True),
        ((peer("h9", "zb"),), False),
        ((peer("h9", reads_store=False, holds_duty=True),), False),
    ],
)
def test_one_host_of_a_cut_zone_orders_for_it(
    peers: tuple[PeerStatus, ...], stands_in: bool
) -> None:
    """Guards against two hosts that order at once, and against none in a cut zone."""
    assert should_plan_without_store("h5", "za", peers) is stands_in
