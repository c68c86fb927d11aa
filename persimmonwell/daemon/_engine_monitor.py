"""Poll engines for load and cache events, and run probes."""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs

from persimmonwell.core import Upstream
from persimmonwell.core.router import (
    CacheReported,
    LoadReported,
    Probe,
    ProbeResult,
    RouterEvent,
)
from persimmonwell.upstream import EngineClient

CACHE_POLL_EVERY = 4
"""Cache events are read on every fourth load poll of an engine."""


@attrs.define
class _Cursor:
    """Track what was read from one engine."""

    sequence: int = 0
    polls: int = 0


class EngineMonitor:
    """Hold the engines to poll and the position in their cache events.

    The number of polls per second is bounded and does not grow with the fleet;
    between two reports the router counts what it sent itself.
    """

    def __init__(
        self,
        *,
        engines: EngineClient,
        workers: ThreadPoolExecutor,
        tell: Callable[[RouterEvent], None],
        availability_zone: str,
        polls_per_s: float,
    ) -> None:
        self._engines = engines
        self._workers = workers
        self._tell = tell
        self._availability_zone = availability_zone
        self._interval_s = 1.0 / polls_per_s
        self._upstreams: tuple[Upstream, ...] = ()
        self._cursors: dict[str, _Cursor] = {}
        self._next = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._poll_loop, name="engine-monitor", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def close(self) -> None:
        """Stop polling."""
        self._stopping.set()
        self._thread.join()

    def update_fleet(self, upstreams: tuple[Upstream, ...]) -> None:
        """Replace the engines to poll; those of the own zone come first."""
        live = [u for u in upstreams if not u.leaving]
        own = [u for u in live if u.availability_zone == self._availability_zone]
        self._upstreams = tuple(own or live)
        kept = {u.upstream_id for u in upstreams}
        for upstream_id in set(self._cursors) - kept:
            del self._cursors[upstream_id]

    def probe(self, decision: Probe) -> None:
        """Check in the background whether an upstream answers."""
        self._workers.submit(self._run_probe, decision)

    def _run_probe(self, decision: Probe) -> None:
        started_s = time.monotonic()
        answered = self._engines.fetch_load(decision.address) is not None
        latency_s = time.monotonic() - started_s
        self._tell(ProbeResult(decision.upstream_id, answered, latency_s))

    def _poll_loop(self) -> None:
        while not self._stopping.wait(self._interval_s):
            upstreams = self._upstreams
            if upstreams:
                self._next = (self._next + 1) % len(upstreams)
                self._poll(upstreams[self._next])

    def _poll(self, upstream: Upstream) -> None:
        load = self._engines.fetch_load(upstream.address)
        if load is None:
            return
        upstream_id = upstream.upstream_id
        self._tell(LoadReported(upstream_id, load.running, load.queued, load.age_s))
        cursor = self._cursors.setdefault(upstream_id, _Cursor())
        cursor.polls += 1
        if cursor.polls % CACHE_POLL_EVERY:
            return
        for event in self._engines.fetch_cache_events(
            upstream.address, cursor.sequence
        ):
            cursor.sequence = max(cursor.sequence, event.sequence)
            self._tell(
                CacheReported(upstream_id, event.sequence, event.stored, event.evicted)
            )
