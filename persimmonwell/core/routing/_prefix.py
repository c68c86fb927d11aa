"""Index of the upstreams that probably have a prompt prefix in their cache."""

from collections import OrderedDict

MAX_HOLDERS = 8
"""Upstreams kept per block: enough for two chains of four stages each."""
MAX_DEPTHS = 10
"""Prefix depths looked up per request; each is twice the one before."""
GAP_CONFIDENCE_FACTOR = 0.5
"""Confidence factor per gap in an upstream's events, since lost events may have been
evictions."""
CONFIDENCE_STEP = 0.1
"""Confidence regained per event without a gap."""
MIN_CONFIDENCE = 0.05


class PrefixIndex:
    """LRU index of (block, upstream) pairs, bounded in size.

    The blocks of a request are indexed at the depths 1, 2, 4, 8, ... only. The length
    of a match is therefore exact to a factor of two, and the cost is bounded for long
    prompts.
    """

    def __init__(self, *, max_entries: int) -> None:
        self._max_entries = max_entries
        self._entries = 0
        self._holders: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self._sequences: dict[str, int] = {}
        self._confidence: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of (block, upstream) pairs."""
        return self._entries

    def record_routed(
        self, blocks: tuple[int, ...], upstream_ids: tuple[str, ...]
    ) -> None:
        """Record that a prompt was sent to these upstreams."""
        for depth in _depths(len(blocks)):
            self._store(blocks[depth - 1], upstream_ids)

    def apply_cache_event(
        self,
        upstream_id: str,
        *,
        sequence: int,
        stored: tuple[int, ...],
        evicted: tuple[int, ...],
    ) -> None:
        """Apply one prefix-cache event; from a late one, only the evictions."""
        last = self._sequences.get(upstream_id)
        for block in evicted:
            self._discard(block, upstream_id)
        if last is not None and sequence <= last:
            return
        for block in stored:
            self._store(block, (upstream_id,))
        confidence = self.confidence(upstream_id)
        if last is not None and sequence > last + 1:
            confidence = max(MIN_CONFIDENCE, confidence * GAP_CONFIDENCE_FACTOR)
        else:
            confidence = min(1.0, confidence + CONFIDENCE_STEP)
        self._sequences[upstream_id] = sequence
        self._confidence[upstream_id] = confidence

    def confidence(self, upstream_id: str) -> float:
        """Return the confidence in matches at an upstream, from 0 to 1."""
        return self._confidence.get(upstream_id, 1.0)

    def find_matches(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Return the length of the matching prefix, in blocks, by upstream."""
        found: dict[str, int] = {}
        for depth in _depths(len(blocks)):
            holders = self._holders.get(blocks[depth - 1])
            if holders is None:
                break
            found.update(dict.fromkeys(holders, depth))
        return found

    def drop_upstream(self, upstream_id: str) -> None:
        """Drop the entries of an upstream that left or restarted."""
        self._sequences.pop(upstream_id, None)
        self._confidence.pop(upstream_id, None)
        held = [b for b, holders in self._holders.items() if upstream_id in holders]
        for block in held:
            self._discard(block, upstream_id)

    def _store(self, block: int, upstream_ids: tuple[str, ...]) -> None:
        old = self._holders.get(block, ())
        if old[: len(upstream_ids)] == upstream_ids and old:
            self._holders.move_to_end(block)
            return
        if old:
            del self._holders[block]
        kept = [u for u in old if u not in upstream_ids]
        holders = (*upstream_ids, *kept)[:MAX_HOLDERS]
        self._holders[block] = holders
        self._entries += len(holders) - len(old)
        while self._entries > self._max_entries:
            _, dropped = self._holders.popitem(last=False)
            self._entries -= len(dropped)

    def _discard(self, block: int, upstream_id: str) -> None:
        old = self._holders.get(block)
        if old is None or upstream_id not in old:
            return
        holders = tuple(u for u in old if u != upstream_id)
        self._entries -= 1
        if holders:
            self._holders[block] = holders
        else:
            del self._holders[block]


def _depths(blocks: int) -> tuple[int, ...]:
    """Return the depths 1, 2, 4, ... up to the number of blocks of a prompt."""
    count = min(blocks.bit_length(), MAX_DEPTHS)
    return tuple(1 << step for step in range(count))
