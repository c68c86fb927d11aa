"""Look up the links between availability zones."""

import math
from collections.abc import Sequence

import attrs

from persimmonwell.core._types import LinkCapacity

DEFAULT_LATENCY_S = 0.00025
"""One-way latency between zones where no link is configured, seconds."""
INTERNAL = LinkCapacity("", "", tokens_per_s=math.inf, latency_s=0.0)
"""Link between upstreams of one zone where none is configured."""
UNLISTED = LinkCapacity("", "", tokens_per_s=math.inf, latency_s=DEFAULT_LATENCY_S)
"""Link between two zones where none is configured."""
LINK_SLACK = 1.5
"""Requests on a link beyond its steady share, which keep it busy between them."""


class LinkTable:
    """Hold the links by pair of zones; a reverse direction defaults to the same."""

    def __init__(
        self,
        links: tuple[LinkCapacity, ...] = (),
        *,
        shares: dict[tuple[str, str], float] | None = None,
    ) -> None:
        listed = {(link.from_zone, link.to_zone): link for link in links}
        reverse = {(b, a): link for (a, b), link in listed.items()}
        self._links = {**reverse, **listed}
        for pair, share in (shares or {}).items():
            self._links[pair] = _degraded(self.get(*pair), share)

    def get(self, from_zone: str, to_zone: str) -> LinkCapacity:
        """Return the link between two zones."""
        default = INTERNAL if from_zone == to_zone else UNLISTED
        return self._links.get((from_zone, to_zone), default)


class LinkGate:
    """Hold the requests that cross each link, and close a full link.

    Slots do not bound a slow link: requests that wait for it hold slots on fast
    upstreams. It takes about as many requests as it serves at full-batch speed.
    """

    def __init__(self) -> None:
        self._links = LinkTable()
        self._full_gap_s = 0.0
        self._hosts = 1
        self._crossing: dict[tuple[str, str], int] = {}

    def update(self, links: LinkTable, *, full_gap_s: float) -> None:
        """Replace the links and the usual token gap of a full batch."""
        self._links = links
        self._full_gap_s = full_gap_s

    def share_with(self, hosts: int) -> bool:
        """Set how many hosts load the links; return whether the number changed."""
        changed = hosts != self._hosts
        self._hosts = hosts
        return changed

    def count(self, zones: Sequence[str], change: int) -> bool:
        """Count a request that starts or ends; return whether a link opened or closed.

        The zones are those of the stages in order.
        """
        flipped = False
        for pair in zip(zones, zones[1:], strict=False):
            if pair[0] != pair[1]:
                before = self.is_open(pair)
                self._crossing[pair] = max(0, self._crossing.get(pair, 0) + change)
                flipped |= before != self.is_open(pair)
        return flipped

    def is_open(self, pair: tuple[str, str]) -> bool:
        """Return whether another request may cross a link."""
        rate = self._links.get(*pair).tokens_per_s
        if rate == math.inf:
            return True
        limit = LINK_SLACK * rate * self._full_gap_s / self._hosts
        return self._crossing.get(pair, 0) < max(1.0, limit)

    def token_s(self, from_zone: str, to_zone: str) -> float:
        """Return the time between tokens of one more request on a link."""
        crossing = self._crossing.get((from_zone, to_zone), 0) * self._hosts
        return (crossing + 1) / self._links.get(from_zone, to_zone).tokens_per_s


def _degraded(link: LinkCapacity, share: float) -> LinkCapacity:
    return attrs.evolve(
        link,
        tokens_per_s=link.tokens_per_s * share,
        latency_s=link.latency_s / share,
    )
