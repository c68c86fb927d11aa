"""Choice of the peer that hands over what it has read from the store.

Load pattern: hosts start while the store is away, or while it still lacks what an
operator has to write again after a restore. Without the newest configuration they
would refuse requests, or route them by an older version.
"""

import random
from collections.abc import Iterable

from persimmonwell.core.forwarding._peers import PeerStatus, StoreVersions

HANDOVER_DELAY_S = 0.5
"""Time in which a host that reaches the store has read what its peers know."""
HANDOVER_INTERVAL_S = 1.0
"""Interval between two requests of a host to its peers."""


class HandoverPolicy:
    """Decides when a host asks a peer for its data, and which one."""

    def __init__(self, *, availability_zone: str, seed: int) -> None:
        self._availability_zone = availability_zone
        self._random = random.Random(seed)
        self._behind_since_s: float | None = None
        self._last_request_s = float("-inf")

    def source(
        self,
        peers: Iterable[PeerStatus],
        known: StoreVersions,
        now_s: float,
        *,
        has_registry: bool,
        reads_store: bool,
    ) -> PeerStatus | None:
        """Return the peer to ask now, None while the host is not behind for long.

        The newest configuration decides, then the availability zone; hosts that start
        together spread over the peers left. A host that reads the store waits for its
        own list of a new era. After one from a peer it would count as a later list,
        and what it lacks would be removed at once.
        """

        def is_ahead(versions: StoreVersions) -> bool:
            is_newer_era = versions.registry_era > known.registry_era
            return (
                versions.config_version > known.config_version
                or (is_newer_era and not reads_store)
                or (not has_registry and versions.registry_offset >= 0)
            )

        ahead = [peer for peer in peers if is_ahead(peer.store_versions)]
        if not ahead:
            self._behind_since_s = None
            return None
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if (
            now_s - self._behind_since_s < HANDOVER_DELAY_S
            or now_s - self._last_request_s < HANDOVER_INTERVAL_S
        ):
            return None
        self._last_request_s = now_s
        return max(ahead, key=self._preference)

    def _preference(self, peer: PeerStatus) -> tuple[int, bool, float]:
        return (
            peer.store_versions.config_version,
            peer.availability_zone == self._availability_zone,
            self._random.random(),
        )
