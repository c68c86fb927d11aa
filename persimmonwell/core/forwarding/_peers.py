"""Decide from the peers that a host hears what it does itself.

Load pattern: dozens of hosts of one zone whose reads of the store all return the same.
Each call is priced, and every host that reads all heartbeats of all replicas takes
more bytes than control may cost. A few hosts of each zone read often and tell the
others when there is something new; what is new is always read from the store itself.
"""

from collections.abc import Iterable

import attrs

READERS_PER_ZONE = 2
"""One may be lost or turned away by the store while the other goes on."""


@attrs.frozen
class StoreMarks:
    """Name the newest state that a host has read from the store."""

    config_version: int = 0
    registry_offset: int = -1
    """Offset of the newest change of an entry; heartbeats change none."""


@attrs.frozen
class PeerStatus:
    """Hold what a peer said of itself a moment ago."""

    host_id: str
    availability_zone: str
    reads_store: bool
    """Whether its last read of the registry was answered."""
    holds_duty: bool
    is_reader: bool
    marks: StoreMarks


def should_read_often(
    host_id: str, availability_zone: str, peers: Iterable[PeerStatus]
) -> bool:
    """Return whether too few hosts of the zone before this one read the store."""
    readers = sum(
        1
        for peer in peers
        if peer.availability_zone == availability_zone
        and peer.is_reader
        and peer.reads_store
        and peer.host_id < host_id
    )
    return readers < READERS_PER_ZONE


def should_stand_in(
    host_id: str, availability_zone: str, peers: Iterable[PeerStatus]
) -> bool:
    """Return whether a host that cannot read the store orders for its zone.

    The lowest host of the zone does, while no host that is heard holds the duty or
    reads the store.
    """
    live = tuple(peers)
    if any(peer.holds_duty or peer.reads_store for peer in live):
        return False
    names = [p.host_id for p in live if p.availability_zone == availability_zone]
    return host_id <= min(names, default=host_id)
