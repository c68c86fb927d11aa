"""Tests of the choice of the peer that hands over its state."""

import pytest

from persimmonwell.core.forwarding import HandoverPolicy, PeerStatus, StoreVersions

KNOWN = StoreVersions(config_version=5, registry_offset=10, registry_era=1)


def peer(
    name: str, version: int, *, zone: str = "za", offset: int = 10, era: int = 1
) -> PeerStatus:
    return PeerStatus(
        name,
        zone,
        reads_store=False,
        holds_duty=False,
        is_reader=False,
        store_versions=StoreVersions(version, offset, era),
    )


def source(
    policy: HandoverPolicy,
    peers: tuple[PeerStatus, ...],
    now_s: float,
    *,
    has_registry: bool = True,
    reads_store: bool = False,
) -> PeerStatus | None:
    return policy.source(
        peers, KNOWN, now_s, has_registry=has_registry, reads_store=reads_store
    )


def chosen_after_delay(*peers: PeerStatus, **values: bool) -> str | None:
    policy = HandoverPolicy(availability_zone="za", seed=1)
    assert source(policy, peers, 0.0, **values) is None
    chosen = source(policy, peers, 1.0, **values)
    return chosen.host_id if chosen is not None else None


@pytest.mark.parametrize(
    ("peers", "chosen"),
    [
        ((), None),
        ((peer("h1", 5), peer("h2", 4)), None),
        ((peer("h1", 6), peer("h2", 7, zone="zb")), "h2"),
        ((peer("h1", 6, zone="zb"), peer("h2", 6)), "h2"),
        ((peer("h1", 5, era=2),), "h1"),
        ((peer("h1", 5, offset=99),), None),
    ],
)
def test_peer_with_the_newest_data_is_asked(
    peers: tuple[PeerStatus, ...], chosen: str | None
) -> None:
    """Guards against a host that stays behind its peers, and against needless calls."""
    assert chosen_after_delay(*peers) == chosen


def test_host_without_a_registry_asks_a_peer_that_has_one() -> None:
    """Guards against a host that starts in an outage and knows no replica."""
    peers = (peer("h1", 5, offset=-1), peer("h2", 5))
    assert chosen_after_delay(*peers, has_registry=False) == "h2"


def test_host_that_reads_the_store_takes_no_registry_of_a_new_era() -> None:
    """Guards against live replicas dropped at once, as a second list lacks them.

    The first list of an era may lack replicas that register again soon. After a list
    from a peer, the host's own one would count as the second.
    """
    newer_era, newer_version = peer("h1", 5, era=2), peer("h2", 6, era=2)
    assert chosen_after_delay(newer_era, reads_store=True) is None
    assert chosen_after_delay(newer_era, newer_version, reads_store=True) == "h2"


def test_host_asks_once_an_interval_and_only_while_it_is_behind() -> None:
    """Guards against hosts that ask at each report, or after a short delay."""
    policy = HandoverPolicy(availability_zone="za", seed=1)
    ahead, same = (peer("h1", 6),), (peer("h1", 5),)
    asked_s = [
        now_s
        for now_s, peers in (
            *((0.0, ahead), (0.25, ahead), (0.4, same), (0.5, ahead), (0.75, ahead)),
            *((1.0, ahead), (1.25, ahead), (1.75, ahead), (2.0, ahead), (2.5, ahead)),
        )
        if source(policy, peers, now_s) is not None
    ]
    assert asked_s == [1.0, 2.0]


def test_hosts_that_start_together_ask_different_peers() -> None:
    """Guards against one host that sends its state to dozens of others at once."""
    peers = tuple(peer(f"h{number}", 6) for number in range(10))
    chosen = set()
    for seed in range(20):
        policy = HandoverPolicy(availability_zone="za", seed=seed)
        source(policy, peers, 0.0)
        peer_to_ask = source(policy, peers, 1.0)
        assert peer_to_ask is not None
        chosen.add(peer_to_ask.host_id)
    assert len(chosen) > 5
