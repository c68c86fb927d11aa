"""Capacity and load of the links between availability zones."""

import math
from collections.abc import Sequence

import attrs

from persimmonwell.core._types import LinkCapacity

DEFAULT_LATENCY_S = 0.00025
"""One-way latency between zones without a configured link."""
INTRA_ZONE_LINK = LinkCapacity("", "", tokens_per_s=math.inf, latency_s=0.0)
"""Default link between upstreams of one zone."""
UNCONFIGURED_LINK = LinkCapacity(
    "", "", tokens_per_s=math.inf, latency_s=DEFAULT_LATENCY_S
)
"""Default link between two zones."""
LINK_SLACK = 1.5
"""Factor on the number of requests that a link can serve at full-batch speed; the extra
requests keep the link busy between the others."""


class LinkTable:
    """Links by pair of zones; an unconfigured direction equals its reverse."""

    def __init__(
        self,
        links: tuple[LinkCapacity, ...] = (),
        *,
        capacity_shares: dict[tuple[str, str], float] | None = None,
    ) -> None:
        configured = {(link.from_zone, link.to_zone): link for link in links}
        reverse = {(b, a): link for (a, b), link in configured.items()}
        self._links = {**reverse, **configured}
        for pair, share in (capacity_shares or {}).items():
            self._links[pair] = _degraded(self.get(*pair), share)

    def get(self, from_zone: str, to_zone: str) -> LinkCapacity:
        """Return the link between two zones."""
        default = INTRA_ZONE_LINK if from_zone == to_zone else UNCONFIGURED_LINK
        return self._links.get((from_zone, to_zone), default)


class LinkLimiter:
    """Concurrency limiter per link.

    Slots do not bound the load of a slow link, and requests that wait for it hold slots
    on fast upstreams. A link admits about as many requests as it can serve at
    full-batch speed.
    """

    def __init__(self) -> None:
        self._links = LinkTable()
        self._full_batch_gap_s = 0.0
        self._host_count = 1
        self._in_flight: dict[tuple[str, str], int] = {}

    def update(self, links: LinkTable, *, full_batch_gap_s: float) -> None:
        """Replace the links and the typical inter-token time of a full batch."""
        self._links = links
        self._full_batch_gap_s = full_batch_gap_s

    def set_host_count(self, hosts: int) -> bool:
        """Set how many hosts share the links; return whether the number changed."""
        changed = hosts != self._host_count
        self._host_count = hosts
        return changed

    def add_requests(self, zones: Sequence[str], change: int) -> bool:
        """Add to the requests in flight on the links of a chain.

        The zones are those of its stages in order. Returns whether a link reached its
        limit or has capacity again.
        """
        changed = False
        for pair in zip(zones, zones[1:], strict=False):
            if pair[0] != pair[1]:
                had_capacity = self.has_capacity(pair)
                self._in_flight[pair] = max(0, self._in_flight.get(pair, 0) + change)
                changed |= had_capacity != self.has_capacity(pair)
        return changed

    def has_capacity(self, pair: tuple[str, str]) -> bool:
        """Return whether a link can take another request."""
        rate = self._links.get(*pair).tokens_per_s
        if rate == math.inf:
            return True
        limit = LINK_SLACK * rate * self._full_batch_gap_s / self._host_count
        return self._in_flight.get(pair, 0) < max(1.0, limit)

    def token_time_s(self, from_zone: str, to_zone: str) -> float:
        """Return the inter-token time on a link with one more request, in seconds."""
        in_flight = self._in_flight.get((from_zone, to_zone), 0) * self._host_count
        return (in_flight + 1) / self._links.get(from_zone, to_zone).tokens_per_s


def _degraded(link: LinkCapacity, share: float) -> LinkCapacity:
    return attrs.evolve(
        link,
        tokens_per_s=link.tokens_per_s * share,
        latency_s=link.latency_s / share,
    )
