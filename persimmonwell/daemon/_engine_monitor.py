"""Monitor that polls engines for load and cache events, and probes upstreams."""

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

POLLS_PER_CACHE_READ = 4
"""Number of load polls of an engine for each read of its cache events."""


@attrs.define
class _Cursor:
    """Number of polls of one engine and the last cache event read from it."""

    sequence: int = 0
    polls: int = 0


class EngineMonitor:
    """Round-robin poller of the engines in this zone, or of all if it has none.

    The number of polls per second is fixed and does not grow with the fleet. Between
    two load reports the router counts the requests that it dispatched itself.
    """

    def __init__(
        self,
        *,
        engines: EngineClient,
        workers: ThreadPoolExecutor,
        post_event: Callable[[RouterEvent], None],
        availability_zone: str,
        polls_per_s: float,
    ) -> None:
        self._engines = engines
        self._workers = workers
        self._post_event = post_event
        self._availability_zone = availability_zone
        self._poll_interval_s = 1.0 / polls_per_s
        self._upstreams: tuple[Upstream, ...] = ()
        self._cursors: dict[str, _Cursor] = {}
        self._next_index = 0
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
        """Replace the engines to poll; only this zone's are polled if it has any."""
        live = [u for u in upstreams if not u.leaving]
        same_zone = [u for u in live if u.availability_zone == self._availability_zone]
        self._upstreams = tuple(same_zone or live)
        listed_ids = {u.upstream_id for u in upstreams}
        for upstream_id in set(self._cursors) - listed_ids:
            del self._cursors[upstream_id]

    def probe(self, decision: Probe) -> None:
        """Probe an upstream in a worker thread and post the result to the router."""
        self._workers.submit(self._run_probe, decision)

    def _run_probe(self, decision: Probe) -> None:
        started_s = time.monotonic()
        answered = self._engines.fetch_load(decision.address) is not None
        latency_s = time.monotonic() - started_s
        self._post_event(ProbeResult(decision.upstream_id, answered, latency_s))

    def _poll_loop(self) -> None:
        while not self._stopping.wait(self._poll_interval_s):
            upstreams = self._upstreams
            if upstreams:
                self._next_index = (self._next_index + 1) % len(upstreams)
                self._poll_engine(upstreams[self._next_index])

    def _poll_engine(self, upstream: Upstream) -> None:
        load = self._engines.fetch_load(upstream.address)
        if load is None:
            return
        upstream_id = upstream.upstream_id
        self._post_event(
            LoadReported(upstream_id, load.running, load.queued, load.age_s)
        )
        cursor = self._cursors.setdefault(upstream_id, _Cursor())
        cursor.polls += 1
        if cursor.polls % POLLS_PER_CACHE_READ:
            return
        for event in self._engines.fetch_cache_events(
            upstream.address, cursor.sequence
        ):
            cursor.sequence = max(cursor.sequence, event.sequence)
            self._post_event(
                CacheReported(upstream_id, event.sequence, event.stored, event.evicted)
            )
