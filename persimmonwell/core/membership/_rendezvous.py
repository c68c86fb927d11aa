"""Choice of heartbeat peers and log readers by rendezvous hashing."""

import hashlib
from collections.abc import Iterable

from persimmonwell.core._fleet import EntryHost

LOG_READERS_PER_ZONE = 2
"""Hosts of a zone that poll the log at the high rate; two, so that the zone still
reads at that rate when one is lost."""


def _score(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in descending order of their rendezvous score for a key."""
    return sorted(names, key=lambda name: (_score(key, name), name), reverse=True)


def choose_peers(
    self_id: str,
    hosts: Iterable[EntryHost],
    *,
    same_zone_count: int = 3,
    other_zone_count: int = 2,
) -> tuple[EntryHost, ...]:
    """Return the hosts to which one host sends heartbeats.

    The first peer in its own zone and the first outside it are the successors on a
    ring of hashed ids, which keeps each zone and the whole overlay connected. The
    others are chosen by rendezvous hashing.
    """
    by_id = {host.host_id: host for host in hosts}
    own_host = by_id.get(self_id)
    if own_host is None:
        return ()
    zone = own_host.availability_zone
    same_zone = {h for h in by_id if by_id[h].availability_zone == zone} - {self_id}
    other_zones = set(by_id) - same_zone - {self_id}
    chosen = (
        *_successor_and_best(self_id, same_zone, same_zone_count),
        *_successor_and_best(self_id, other_zones, other_zone_count),
    )
    return tuple(by_id[host_id] for host_id in chosen)


def _successor_and_best(self_id: str, others: set[str], count: int) -> list[str]:
    if not others or count < 1:
        return []
    position = _ring_position(self_id)
    successor = min(
        others, key=lambda h: (_ring_position(h) <= position, _ring_position(h))
    )
    rest = rendezvous_order(self_id, others - {successor})
    return [successor, *rest[: count - 1]]


def _ring_position(host_id: str) -> tuple[bytes, str]:
    return _score("ring", host_id), host_id


def choose_log_readers(
    availability_zone: str, hosts: Iterable[EntryHost]
) -> tuple[str, ...]:
    """Return the ids of a zone's hosts that poll the log at the high rate."""
    names = [h.host_id for h in hosts if h.availability_zone == availability_zone]
    return tuple(rendezvous_order("reader", names)[:LOG_READERS_PER_ZONE])
