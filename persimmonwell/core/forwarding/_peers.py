"""Roles that a host takes on, decided from the peers whose reports it receives.

Dozens of hosts of a zone would read the same data from the store. The platform charges
for each call, and if every host read all heartbeats of all replicas, control traffic
would exceed its budget. A few readers per zone poll the store and notify the others of
changes; a host that the store does not answer takes the data from a peer instead.
"""

from collections.abc import Iterable

import attrs

READERS_PER_ZONE = 2
"""Two, so that one may fail or be refused by the store."""


@attrs.frozen
class StoreVersions:
    """Versions of the newest data that a host has read from the store."""

    config_version: int = 0
    registry_offset: int = -1
    """Offset of the newest record that changed an entry; heartbeats do not."""
    registry_era: int = 0
    """Era of the store in which the offset counts."""


@attrs.frozen
class PeerStatus:
    """Last reported status of a peer."""

    host_id: str
    availability_zone: str
    reads_store: bool
    """Whether its last read of the registry succeeded."""
    holds_duty: bool
    is_reader: bool
    store_versions: StoreVersions


def should_be_reader(
    host_id: str, availability_zone: str, peers: Iterable[PeerStatus]
) -> bool:
    """Return whether a host is to poll the store for its zone.

    The READERS_PER_ZONE hosts with the lowest ids whose reads succeed are readers.
    """
    readers = sum(
        1
        for peer in peers
        if peer.availability_zone == availability_zone
        and peer.is_reader
        and peer.reads_store
        and peer.host_id < host_id
    )
    return readers < READERS_PER_ZONE


def count_readers(availability_zone: str, peers: Iterable[PeerStatus]) -> int:
    """Return how many hosts of a zone poll the store, this one included.

    In an outage of the store all hosts of the zone become readers.
    """
    return 1 + sum(
        peer.availability_zone == availability_zone and peer.is_reader for peer in peers
    )


def should_plan_without_store(
    host_id: str, availability_zone: str, peers: Iterable[PeerStatus]
) -> bool:
    """Return whether a host that cannot read the store is to place layers in its zone.

    The host with the lowest id of the zone does so while no reachable peer holds the
    placement duty or reads the store.
    """
    live_peers = tuple(peers)
    if any(peer.holds_duty or peer.reads_store for peer in live_peers):
        return False
    zone_host_ids = [
        peer.host_id
        for peer in live_peers
        if peer.availability_zone == availability_zone
    ]
    return host_id <= min(zone_host_ids, default=host_id)
