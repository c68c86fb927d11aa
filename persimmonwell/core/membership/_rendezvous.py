"""Choose peers and readers by rendezvous hashing."""

import hashlib
from collections.abc import Iterable

from persimmonwell.core._fleet import EntryHost

READERS_PER_ZONE = 2
"""Hosts of a zone that poll the log at the high rate; two, so that the loss of
one costs the zone no time."""


def _score(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by descending score for a key."""
    return sorted(names, key=lambda name: (_score(key, name), name), reverse=True)


def choose_peers(
    self_id: str,
    hosts: Iterable[EntryHost],
    *,
    own_zone: int = 3,
    across: int = 2,
) -> tuple[EntryHost, ...]:
    """Return the hosts that one host sends heartbeats to.

    The first peer of each kind is the successor on a ring of hashed ids, which
    keeps each zone and the zones together connected; the others are chosen by
    rendezvous hashing.
    """
    by_id = {host.host_id: host for host in hosts}
    own = by_id.get(self_id)
    if own is None:
        return ()
    zone = own.availability_zone
    inside = {h for h in by_id if by_id[h].availability_zone == zone} - {self_id}
    outside = set(by_id) - inside - {self_id}
    chosen = (
        *_successor_and_best(self_id, inside, own_zone),
        *_successor_and_best(self_id, outside, across),
    )
    return tuple(by_id[host_id] for host_id in chosen)


def _successor_and_best(self_id: str, others: set[str], count: int) -> list[str]:
    if not others or count < 1:
        return []
    place = _ring_place(self_id)
    successor = min(others, key=lambda h: (_ring_place(h) <= place, _ring_place(h)))
    rest = rendezvous_order(self_id, others - {successor})
    return [successor, *rest[: count - 1]]


def _ring_place(host_id: str) -> tuple[bytes, str]:
    return _score("ring", host_id), host_id


def choose_readers(
    availability_zone: str, hosts: Iterable[EntryHost]
) -> tuple[str, ...]:
    """Return the ids of the hosts of a zone that poll the log at the high rate."""
    names = [h.host_id for h in hosts if h.availability_zone == availability_zone]
    return tuple(rendezvous_order("reader", names)[:READERS_PER_ZONE])
