"""Age of what this host knows about the load of each other availability zone.

A host of another zone reports every 1 to 2.5 s, and not at all behind a partition. What
its zone's hosts have sent since then is unknown, and more of it the older the reports
are.
"""

from itertools import repeat

MAX_PEERS = 4096
"""Peers that are counted over all zones, those that reported last. Anyone can send
reports in the names of any number of hosts."""
MAX_AGE_S = 4.0
"""Largest age that counts; most of the requests in an older report have ended. It is
also that of a zone without a known host."""
PEER_EXPIRY_S = 20.0
"""Time without a report after which a host no longer counts; it may have stopped."""


class ZoneReports:
    """Time of the last load report of each host in the other zones."""

    def __init__(self) -> None:
        self._zones: dict[str, str] = {}
        """Zone by peer, the one that reported first at the beginning."""
        self._reported_s: dict[str, dict[str, float]] = {}
        """Time of the last report by zone and peer."""

    def record(self, peer: str, zone: str, now_s: float) -> None:
        """Record that a peer in a zone reported its loads."""
        self._drop(peer)
        self._zones[peer] = zone
        self._reported_s.setdefault(zone, {})[peer] = now_s
        if len(self._zones) > MAX_PEERS:
            self._drop(next(iter(self._zones)))

    def expire(self, now_s: float) -> None:
        """Drop the peers that have been silent for long."""
        gone = [
            peer
            for peers in self._reported_s.values()
            for peer, reported_s in peers.items()
            if now_s - reported_s > PEER_EXPIRY_S
        ]
        for peer in gone:
            self._drop(peer)

    def mean_age_s(self, zone: str, now_s: float) -> float:
        """Return the mean age of the last reports of a zone's hosts.

        It is MAX_AGE_S for a zone from which no host reported.
        """
        peers = self._reported_s.get(zone)
        if not peers:
            return MAX_AGE_S
        times_s = map(max, peers.values(), repeat(now_s - MAX_AGE_S))
        return max(0.0, now_s - sum(times_s) / len(peers))

    def overall_mean_age_s(self, now_s: float) -> float:
        """Return the mean age of the last reports of all hosts in the other zones.

        It is MAX_AGE_S while no host has reported.
        """
        count = len(self._zones)
        if not count:
            return MAX_AGE_S
        return (
            sum(
                len(peers) * self.mean_age_s(zone, now_s)
                for zone, peers in self._reported_s.items()
            )
            / count
        )

    def _drop(self, peer: str) -> None:
        zone = self._zones.pop(peer, None)
        if zone is not None:
            peers = self._reported_s[zone]
            del peers[peer]
            if not peers:
                del self._reported_s[zone]
