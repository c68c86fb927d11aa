"""CPU time and memory of claims and the timeline at several sizes."""

import time
import tracemalloc

import msgspec

from bench.claims_cost import claim_records, simulate_appends
from bench.slopes import Slope, fit_line, time_us
from persimmonwell.core.claims import ClaimFold
from persimmonwell.core.config import LogRecord
from persimmonwell.core.timeline import EventFilter, EventKind
from persimmonwell.observe import Recorder

KEY_SIZES = (5_000, 20_000, 50_000)
EVENT_SIZES = (5_000, 10_000, 20_000)
FLEET_RATES = (100.0, 400.0, 1600.0, 7300.0)
"""Calls with an idempotency key per second, over all hosts."""
HOST_SIZES = (4, 340)
CLAIM_APPENDS_PER_S = 250.0
FIRST_WINDOW_S = 0.02


def measure_claims(seed: int) -> list[Slope]:
    """Return fold time and memory by keys, and log appends by call rate."""
    fold_points, memory_points = [], []
    for count in KEY_SIZES:
        encoded = [msgspec.json.encode(record.data) for record in claim_records(count)]
        started_s = time.process_time()
        fold = ClaimFold()
        for offset in range(0, len(encoded), 500):
            batch = [
                msgspec.json.decode(data) for data in encoded[offset : offset + 500]
            ]
            fold.apply_records(
                0, (LogRecord(offset + i, data) for i, data in enumerate(batch))
            )
        fold_points.append((count, (time.process_time() - started_s) * 1e3))
        memory_points.append((count, _claim_memory_bytes(count)))
    slopes = [
        fit_line(
            "decode and fold of claims", fold_points, size_unit="key", cost_unit="ms"
        ),
        fit_line("memory of claims", memory_points, size_unit="key", cost_unit="bytes"),
    ]
    stream_sizes = [(n, float(sum(_encoded_sizes(n)))) for n in (100, 1000, 5000)]
    slopes.append(
        fit_line("claims stream", stream_sizes, size_unit="key", cost_unit="bytes")
    )
    for hosts in HOST_SIZES:
        window_s = max(FIRST_WINDOW_S, hosts / CLAIM_APPENDS_PER_S)
        results = [(r, simulate_appends(r / hosts, window_s)) for r in FLEET_RATES]
        for index, name in enumerate(("appends of claims", "wait for a claim")):
            scale, unit = ((hosts, "1/s"), (1e3, "ms"))[index]
            slopes.append(
                fit_line(
                    f"{name}, {hosts} hosts, window {window_s:.2f} s",
                    [(rate, values[index] * scale) for rate, values in results],
                    size_unit="keyed call/s",
                    cost_unit=unit,
                )
            )
    return slopes


def _encoded_sizes(keys: int) -> list[int]:
    return [len(msgspec.json.encode(record.data)) for record in claim_records(keys)]


def _claim_memory_bytes(keys: int) -> float:
    tracemalloc.start()
    fold = ClaimFold()
    for record in claim_records(keys):
        fold.apply_records(0, (record,))
    memory_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(memory_bytes)


def _record_events(recorder: Recorder, count: int) -> None:
    for number in range(count):
        recorder.record(
            EventKind.DISPATCHED,
            request_id=f"{number // 5:032x}",
            workspace=f"workspace-{number % 580:03}",
            upstream_ids=tuple(f"u{(number + stage) % 1300}" for stage in range(4)),
            detail=f"attempt 1 of {number}",
        )


def measure_timeline(seed: int) -> list[Slope]:
    """Return record time, read time and memory by number of timeline events."""
    event_filter = EventFilter(request_id=f"{7:032x}")
    record_points, memory_points, read_points = [], [], []
    for count in EVENT_SIZES:
        started_s = time.process_time()
        _record_events(Recorder(host_id="h", capacity=count), count)
        record_points.append((count, (time.process_time() - started_s) * 1e3))
        tracemalloc.start()
        recorder = Recorder(host_id="h", capacity=count)
        _record_events(recorder, count)
        memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        memory_points.append((count, float(memory_bytes)))
        read_us = time_us(
            lambda r=recorder: r.read(event_filter, limit=1000), repeats=3
        )
        read_points.append((count, read_us / 1e3))
    return [
        fit_line(
            "recording of events", record_points, size_unit="event", cost_unit="ms"
        ),
        fit_line(
            "memory of events", memory_points, size_unit="event", cost_unit="bytes"
        ),
        fit_line("read of one request", read_points, size_unit="event", cost_unit="ms"),
    ]
