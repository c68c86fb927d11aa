"""How fresh the readers' word about the store is to the other hosts of a zone.

Load pattern: both readers of a zone are lost while replicas are replaced. Nobody tells
the other hosts which replicas leave, and reports in turn reach each of dozens of hosts
too seldom to show that the readers are gone before the replicas end. A reader therefore
sends a short mark after each read, and a host without a fresh one reads for itself.
"""

from collections.abc import Iterable

import attrs

from persimmonwell.core.forwarding._peers import PeerStatus, StoreVersions


@attrs.frozen
class ReadMark:
    """Word of a reader that it has read the store, without what it has read."""

    store_versions: StoreVersions
    reads_config: bool
    """Whether its last read of the configuration succeeded."""
    age_s: float
    """Time since the read began; the sender knows all that was accepted before."""


class ZoneReaders:
    """Hosts of the zone that read the store, by the time of their last read."""

    def __init__(self, *, valid_s: float) -> None:
        self.valid_s = valid_s
        """Time after a read in which its host counts as a reader."""
        self._read_s: dict[str, float] = {}

    def record(self, host_id: str, mark: ReadMark, now_s: float) -> float:
        """Record the mark of a host of the zone; return when its read began."""
        read_s = max(now_s - mark.age_s, self._read_s.get(host_id, float("-inf")))
        self._read_s[host_id] = read_s
        return read_s

    def readers(
        self, peers: Iterable[PeerStatus], now_s: float
    ) -> tuple[PeerStatus, ...]:
        """Return the peers that have read lately, whatever their last report says."""
        for host_id, read_s in list(self._read_s.items()):
            if now_s - read_s > self.valid_s:
                del self._read_s[host_id]
        return tuple(
            attrs.evolve(peer, is_reader=True, reads_store=True)
            for peer in peers
            if peer.host_id in self._read_s
        )
