"""Measure claims and the timeline at several sizes."""

import time
import tracemalloc

import msgspec

from bench.claims_cost import appends_per_s, claim_records
from bench.slopes import Slope, fit, time_us
from persimmonwell.core.claims import ClaimFold
from persimmonwell.core.config import LogRecord
from persimmonwell.core.timeline import EventFilter, EventKind
from persimmonwell.observe import Recorder

KEY_SIZES = (5_000, 20_000, 50_000)
EVENT_SIZES = (5_000, 10_000, 20_000)
FLEET_RATES = (100.0, 400.0, 1600.0, 7300.0)
"""Keyed calls per second over all hosts."""
HOST_SIZES = (4, 340)
CLAIM_APPENDS_PER_S = 250.0
FIRST_WINDOW_S = 0.02


def measure_claims(seed: int) -> list[Slope]:
    """Return fold time, memory and log appends of claims."""
    fold_points, memory_points = [], []
    for count in KEY_SIZES:
        wire = [msgspec.json.encode(record.data) for record in claim_records(count)]
        started_s = time.process_time()
        fold = ClaimFold()
        for offset in range(0, len(wire), 500):
            part = [msgspec.json.decode(data) for data in wire[offset : offset + 500]]
            fold.apply_records(
                0, (LogRecord(offset + i, data) for i, data in enumerate(part))
            )
        fold_points.append((count, (time.process_time() - started_s) * 1e3))
        memory_points.append((count, _claim_bytes(count)))
    slopes = [
        fit("decode and fold of claims", fold_points, size_unit="key", cost_unit="ms"),
        fit("memory of claims", memory_points, size_unit="key", cost_unit="bytes"),
    ]
    size = [(n, float(sum(_wire_sizes(n)))) for n in (100, 1000, 5000)]
    slopes.append(fit("claims stream", size, size_unit="key", cost_unit="bytes"))
    for hosts in HOST_SIZES:
        window_s = max(FIRST_WINDOW_S, hosts / CLAIM_APPENDS_PER_S)
        results = [(r, appends_per_s(r / hosts, window_s)) for r in FLEET_RATES]
        for index, name in enumerate(("appends of claims", "wait for a claim")):
            scale, unit = ((hosts, "1/s"), (1e3, "ms"))[index]
            slopes.append(
                fit(
                    f"{name}, {hosts} hosts, window {window_s:.2f} s",
                    [(rate, values[index] * scale) for rate, values in results],
                    size_unit="keyed call/s",
                    cost_unit=unit,
                )
            )
    return slopes


def _wire_sizes(keys: int) -> list[int]:
    return [len(msgspec.json.encode(record.data)) for record in claim_records(keys)]


def _claim_bytes(keys: int) -> float:
    tracemalloc.start()
    fold = ClaimFold()
    for record in claim_records(keys):
        fold.apply_records(0, (record,))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(held)


def _fill(recorder: Recorder, count: int) -> None:
    for number in range(count):
        recorder.record(
            EventKind.DISPATCHED,
            request_id=f"{number // 5:032x}",
            workspace=f"workspace-{number % 580:03}",
            upstream_ids=tuple(f"u{(number + stage) % 1300}" for stage in range(4)),
            detail=f"attempt 1 of {number}",
        )


def measure_timeline(seed: int) -> list[Slope]:
    """Return time and memory of the timeline against recorded events."""
    wanted = EventFilter(request_id=f"{7:032x}")
    record_points, memory_points, read_points = [], [], []
    for count in EVENT_SIZES:
        started_s = time.process_time()
        _fill(Recorder(host_id="h", capacity=count), count)
        record_points.append((count, (time.process_time() - started_s) * 1e3))
        tracemalloc.start()
        recorder = Recorder(host_id="h", capacity=count)
        _fill(recorder, count)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        memory_points.append((count, float(held)))
        read_us = time_us(lambda r=recorder: r.read(wanted, limit=1000), repeats=3)
        read_points.append((count, read_us / 1e3))
    return [
        fit("recording of events", record_points, size_unit="event", cost_unit="ms"),
        fit("memory of events", memory_points, size_unit="event", cost_unit="bytes"),
        fit("read of one request", read_points, size_unit="event", cost_unit="ms"),
    ]
