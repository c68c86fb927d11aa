"""Measure one daemon process: relay, memory, polling and restarts."""

import time

from bench.capacity_fleet import (
    TARGET_WORKSPACES,
    build_document,
    build_patch,
    list_entries,
    patch_record,
)
from bench.capacity_process import Bed, ByteCounter, Callers, import_rss_mb
from bench.slopes import Slope, fit
from standins.processes import wait_for

ENGINES = 6
STREAM_SIZES = (64, 128, 256)
TOKEN_S = 0.037
SETTLE_S = 3.0
COUNTED_S = 4.0
REQUEST_RATES = (10, 20, 40)
THREAD_SIZES = (64, 256, 1024)
FLEET_SIZES = ((40, 4, 10), (400, 100, 100), (1300, 340, 580))
"""Upstreams, entry hosts and workspaces."""
LIST_INTERVALS_S = (0.5, 2.0, 8.0)
"""Above 10 s a host takes its list for outdated and asks peers for upstreams."""
RECORD_SIZES = (50, 200, 600)


def _engine(bed: Bed, number: int, *, model: str, token_s: float) -> None:
    address = bed.group.start_standin(
        "engine", "--layers", "0", "64", "--token-s", str(token_s)
    )
    entry = {
        "id": f"engine-{model}-{number}",
        "kind": "engine",
        "address": address,
        "availability_zone": "z0",
        "model": model,
        "layers": {"start": 0, "stop": 64},
        "slots": 64,
        "tokens_per_s": 5000.0,
    }
    bed.list_entries([entry])


def _relay_bed() -> Bed:
    bed = Bed()
    for number in range(ENGINES):
        _engine(bed, number, model="m0", token_s=TOKEN_S)
        _engine(bed, number, model="m1", token_s=0.001)
    document = build_document(10, 2)
    # A workspace limit would refuse the streams of this single caller.
    document["workspaces"] = {"workspace-001": {}}
    bed.parts.publish(document, base_version=0)
    bed.start_host(threads=512, version=1)
    return bed


def _stream_point(bed: Bed, streams: int) -> tuple[float, float, float, float]:
    """Return in-flight streams, tokens/s, CPU share and resident MB."""
    assert bed.host is not None
    callers = Callers(bed.host.callers)
    tokens = round((SETTLE_S + COUNTED_S + 2.0) / TOKEN_S)
    for number in range(streams):
        callers.send("m0", f"stream {streams} {number}", tokens)
    time.sleep(SETTLE_S)
    cpu_s, seen, began_s = bed.cpu_s(), callers.tokens, time.monotonic()
    time.sleep(COUNTED_S)
    spent_s = bed.cpu_s() - cpu_s
    seconds = time.monotonic() - began_s
    rate = (callers.tokens - seen) / seconds
    open_streams = streams - callers.finished
    rss_mb = bed.rss_mb()
    wait_for(lambda: callers.finished == streams, "end of the streams")
    if callers.refused:
        raise RuntimeError(f"{callers.refused} streams were refused")
    callers.close()
    return open_streams, rate, 100 * spent_s / seconds, rss_mb


def _request_point(bed: Bed, rate: int) -> tuple[float, float]:
    """Return answered requests/s of two tokens and the daemon's CPU share."""
    assert bed.host is not None
    callers = Callers(bed.host.callers)
    cpu_s, began_s = bed.cpu_s(), time.monotonic()
    count = round(rate * COUNTED_S)
    for number in range(count):
        time.sleep(max(0.0, began_s + number / rate - time.monotonic()))
        callers.send("m1", f"request {rate} {number}", 2)
    wait_for(lambda: callers.finished == count, "end of the requests")
    seconds = time.monotonic() - began_s
    spent_s = bed.cpu_s() - cpu_s
    if callers.refused:
        raise RuntimeError(f"{callers.refused} requests were refused")
    callers.close()
    return count / seconds, 100 * spent_s / seconds


def measure_relay(seed: int) -> list[Slope]:
    """Return the daemon's CPU against tokens and requests, and memory in flight."""
    bed = _relay_bed()
    try:
        time.sleep(1.0)
        requests = [_request_point(bed, rate) for rate in REQUEST_RATES]
        streams = [_stream_point(bed, size) for size in STREAM_SIZES]
    finally:
        bed.close()
    cpu = "% of a core"
    return [
        fit(
            "relay",
            [(t, c) for _, t, c, _ in streams],
            size_unit="token/s",
            cost_unit=cpu,
        ),
        fit("requests of two tokens", requests, size_unit="request/s", cost_unit=cpu),
        fit(
            "resident memory",
            [(n, rss) for n, _, _, rss in streams],
            size_unit="request in flight",
            cost_unit="MB",
        ),
    ]


def measure_threads(seed: int) -> list[Slope]:
    """Return the memory of an idle daemon against its request threads."""
    points = []
    for threads in THREAD_SIZES:
        bed = Bed()
        try:
            bed.parts.publish(build_document(10, 2), base_version=0)
            bed.start_host(threads=threads, version=1)
            time.sleep(1.0)
            points.append((threads, bed.rss_mb()))
        finally:
            bed.close()
    return [
        fit("resident memory", points, size_unit="idle request thread", cost_unit="MB")
    ]


def measure_idle(seed: int) -> list[Slope | str]:
    """Return CPU, memory and platform bytes of an idle daemon against the fleet."""
    base_mb = import_rss_mb()
    lines: list[Slope | str] = [f"resident memory after imports: {base_mb:.1f} MB"]
    memory, cpu, listed, polls = [], [], [], []
    for upstreams, hosts, workspaces in FLEET_SIZES:
        bed = Bed()
        try:
            engine = bed.group.start_standin("engine", "--layers", "0", "64")
            bed.list_entries(list_entries(upstreams, hosts, seed, engine))
            bed.parts.publish(build_document(workspaces), base_version=0)
            bed.start_host(threads=256, version=1)
            time.sleep(5.0)
            bed.log_bytes.reset()
            bed.list_bytes.reset()
            cpu_s, began_s = bed.cpu_s(), time.monotonic()
            time.sleep(10.0)
            seconds = time.monotonic() - began_s
            cpu.append((upstreams, 100 * (bed.cpu_s() - cpu_s) / seconds))
            memory.append((upstreams, bed.rss_mb() - base_mb))
            reads = bed.list_bytes.requests["/hosts"]
            listed.append((upstreams + hosts, bed.list_bytes.bytes["/hosts"] / reads))
            polls.append((upstreams, reads / seconds))
            lines += _log_lines(bed, seconds, upstreams)
        finally:
            bed.close()
    lines += [
        fit(
            "memory added by control and routing state",
            memory,
            size_unit="upstream",
            cost_unit="MB",
        ),
        fit(
            "CPU of an idle daemon", cpu, size_unit="upstream", cost_unit="% of a core"
        ),
        fit("one read of the host list", listed, size_unit="entry", cost_unit="bytes"),
        fit("reads of the host list", polls, size_unit="upstream", cost_unit="1/s"),
    ]
    return lines


def measure_list_interval(seed: int) -> list[Slope]:
    """Return the CPU of an idle daemon of the large fleet against list reads."""
    upstreams, hosts, workspaces = FLEET_SIZES[-1]
    points = []
    for interval_s in LIST_INTERVALS_S:
        bed = Bed()
        try:
            engine = bed.group.start_standin("engine", "--layers", "0", "64")
            bed.list_entries(list_entries(upstreams, hosts, seed, engine))
            bed.parts.publish(build_document(workspaces), base_version=0)
            bed.start_host(threads=256, version=1, list_interval_s=interval_s)
            time.sleep(5.0)
            cpu_s, began_s = bed.cpu_s(), time.monotonic()
            time.sleep(16.0)
            seconds = time.monotonic() - began_s
            points.append((1 / interval_s, 100 * (bed.cpu_s() - cpu_s) / seconds))
        finally:
            bed.close()
    return [
        fit(
            "CPU of an idle daemon of the large fleet",
            points,
            size_unit="host list read/s",
            cost_unit="% of a core",
        )
    ]


def _log_lines(bed: Bed, seconds: float, upstreams: int) -> list[str]:
    counts = bed.log_bytes
    return [
        f"log reads of {path}, {upstreams} upstreams: {count / seconds:.2f}/s, "
        f"{counts.bytes[path] / count:.0f} bytes each, "
        f"{counts.bytes[path] / seconds:.0f} B/s"
        for path, count in sorted(counts.requests.items())
    ]


def measure_polls(seed: int) -> list[Slope | str]:
    """Return the bytes of load and cache polls of one engine."""
    bed = Bed()
    try:
        address = bed.group.start_standin("engine", "--layers", "0", "64")
        counter = ByteCounter(address)
        bed.list_entries(list_entries(4, 4, seed, counter.address))
        bed.parts.publish(build_document(10), base_version=0)
        bed.start_host(threads=64, version=1)
        time.sleep(2.0)
        counter.reset()
        began_s = time.monotonic()
        time.sleep(8.0)
        seconds = time.monotonic() - began_s
        lines = [
            f"engine polls of {path}: {count / seconds:.2f}/s, "
            f"{counter.bytes[path] / count:.0f} bytes each, "
            f"{counter.bytes[path] / seconds:.0f} B/s"
            for path, count in sorted(counter.requests.items())
        ]
        counter.close()
    finally:
        bed.close()
    return [*lines]


def measure_restart(seed: int) -> list[Slope]:
    """Return the time of a started daemon to fold the log, against its records."""
    points = []
    for count in RECORD_SIZES:
        bed = Bed()
        try:
            records = [patch_record(0, build_document(TARGET_WORKSPACES))]
            for number in range(1, count):
                records.append(build_patch(number, number % TARGET_WORKSPACES, number))
            bed.parts.log._topics["config"].extend(records)
            points.append((count, bed.start_host(threads=64, version=count)))
        finally:
            bed.close()
    return [
        fit(
            "start of a daemon until the log is folded",
            points,
            size_unit="record",
            cost_unit="s",
        )
    ]
