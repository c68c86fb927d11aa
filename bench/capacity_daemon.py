"""CPU, memory, polling traffic and restart time of one daemon process."""

import time

from bench.capacity_fleet import (
    TARGET_WORKSPACES,
    build_document,
    build_list_entries,
    build_patch_record,
    build_weight_patch,
)
from bench.capacity_process import (
    CountingProxy,
    DaemonTestbed,
    StreamClients,
    import_rss_mb,
)
from bench.slopes import Slope, fit_line
from standins.processes import wait_for

ENGINES = 6
STREAM_SIZES = (64, 128, 256)
TOKEN_S = 0.037
WARMUP_S = 3.0
MEASURED_S = 4.0
REQUEST_RATES = (10, 20, 40)
THREAD_SIZES = (64, 256, 1024)
FLEET_SIZES = ((40, 4, 10), (400, 100, 100), (1300, 340, 580))
"""Numbers of upstreams, entry hosts and workspaces."""
LIST_INTERVALS_S = (0.5, 2.0, 8.0)
"""Below 10 s, after which a host treats its list as stale and asks its peers."""
RECORD_SIZES = (50, 200, 600)


def _start_engine(
    testbed: DaemonTestbed, number: int, *, model: str, token_s: float
) -> None:
    address = testbed.group.start_standin(
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
    testbed.add_list_entries([entry])


def _build_relay_testbed() -> DaemonTestbed:
    testbed = DaemonTestbed()
    for number in range(ENGINES):
        _start_engine(testbed, number, model="m0", token_s=TOKEN_S)
        _start_engine(testbed, number, model="m1", token_s=0.001)
    document = build_document(10, 2)
    # Without limits, which would refuse the streams of this single workspace.
    document["workspaces"] = {"workspace-001": {}}
    testbed.fleet.publish(document, base_version=0)
    testbed.start_host(threads=512, version=1)
    return testbed


def _measure_streams(
    testbed: DaemonTestbed, streams: int
) -> tuple[float, float, float, float]:
    """Run streams; return open streams, tokens/s, CPU percentage and resident MB."""
    assert testbed.host is not None
    clients = StreamClients(testbed.host.callers)
    tokens = round((WARMUP_S + MEASURED_S + 2.0) / TOKEN_S)
    for number in range(streams):
        clients.send("m0", f"stream {streams} {number}", tokens)
    time.sleep(WARMUP_S)
    cpu_s, tokens_before, began_s = testbed.cpu_s(), clients.tokens, time.monotonic()
    time.sleep(MEASURED_S)
    spent_s = testbed.cpu_s() - cpu_s
    seconds = time.monotonic() - began_s
    rate = (clients.tokens - tokens_before) / seconds
    open_streams = streams - clients.finished
    rss_mb = testbed.rss_mb()
    wait_for(lambda: clients.finished == streams, "end of the streams")
    if clients.refused:
        raise RuntimeError(f"{clients.refused} streams were refused, expected none")
    clients.close()
    return open_streams, rate, 100 * spent_s / seconds, rss_mb


def _measure_requests(testbed: DaemonTestbed, rate: int) -> tuple[float, float]:
    """Send two-token requests; return requests/s and the daemon's CPU percentage."""
    assert testbed.host is not None
    clients = StreamClients(testbed.host.callers)
    cpu_s, began_s = testbed.cpu_s(), time.monotonic()
    count = round(rate * MEASURED_S)
    for number in range(count):
        time.sleep(max(0.0, began_s + number / rate - time.monotonic()))
        clients.send("m1", f"request {rate} {number}", 2)
    wait_for(lambda: clients.finished == count, "end of the requests")
    seconds = time.monotonic() - began_s
    spent_s = testbed.cpu_s() - cpu_s
    if clients.refused:
        raise RuntimeError(f"{clients.refused} requests were refused, expected none")
    clients.close()
    return count / seconds, 100 * spent_s / seconds


def measure_relay(seed: int) -> list[Slope]:
    """Return CPU use by tokens/s and requests/s, and memory by requests in flight."""
    testbed = _build_relay_testbed()
    try:
        time.sleep(1.0)
        requests = [_measure_requests(testbed, rate) for rate in REQUEST_RATES]
        streams = [_measure_streams(testbed, size) for size in STREAM_SIZES]
    finally:
        testbed.close()
    cpu = "% of a core"
    return [
        fit_line(
            "relay",
            [(t, c) for _, t, c, _ in streams],
            size_unit="token/s",
            cost_unit=cpu,
        ),
        fit_line(
            "requests of two tokens", requests, size_unit="request/s", cost_unit=cpu
        ),
        fit_line(
            "resident memory",
            [(n, rss) for n, _, _, rss in streams],
            size_unit="request in flight",
            cost_unit="MB",
        ),
    ]


def measure_threads(seed: int) -> list[Slope]:
    """Return the memory of an idle daemon by number of request threads."""
    points = []
    for threads in THREAD_SIZES:
        testbed = DaemonTestbed()
        try:
            testbed.fleet.publish(build_document(10, 2), base_version=0)
            testbed.start_host(threads=threads, version=1)
            time.sleep(1.0)
            points.append((threads, testbed.rss_mb()))
        finally:
            testbed.close()
    return [
        fit_line(
            "resident memory", points, size_unit="idle request thread", cost_unit="MB"
        )
    ]


def measure_idle(seed: int) -> list[Slope | str]:
    """Return CPU, memory and platform traffic of an idle daemon by fleet size."""
    base_mb = import_rss_mb()
    lines: list[Slope | str] = [f"resident memory after imports: {base_mb:.1f} MB"]
    memory, cpu, list_read_sizes, list_read_rates = [], [], [], []
    for upstreams, hosts, workspaces in FLEET_SIZES:
        testbed = DaemonTestbed()
        try:
            engine = testbed.group.start_standin("engine", "--layers", "0", "64")
            testbed.add_list_entries(build_list_entries(upstreams, hosts, seed, engine))
            testbed.fleet.publish(build_document(workspaces), base_version=0)
            testbed.start_host(threads=256, version=1)
            time.sleep(5.0)
            testbed.log_proxy.reset()
            testbed.list_proxy.reset()
            cpu_s, began_s = testbed.cpu_s(), time.monotonic()
            time.sleep(10.0)
            seconds = time.monotonic() - began_s
            cpu.append((upstreams, 100 * (testbed.cpu_s() - cpu_s) / seconds))
            memory.append((upstreams, testbed.rss_mb() - base_mb))
            reads = testbed.list_proxy.requests["/hosts"]
            list_read_sizes.append(
                (upstreams + hosts, testbed.list_proxy.bytes["/hosts"] / reads)
            )
            list_read_rates.append((upstreams, reads / seconds))
            lines += _format_log_reads(testbed, seconds, upstreams)
        finally:
            testbed.close()
    lines += [
        fit_line(
            "memory added by control and routing state",
            memory,
            size_unit="upstream",
            cost_unit="MB",
        ),
        fit_line(
            "CPU of an idle daemon", cpu, size_unit="upstream", cost_unit="% of a core"
        ),
        fit_line(
            "one read of the host list",
            list_read_sizes,
            size_unit="entry",
            cost_unit="bytes",
        ),
        fit_line(
            "reads of the host list",
            list_read_rates,
            size_unit="upstream",
            cost_unit="1/s",
        ),
    ]
    return lines


def measure_list_interval(seed: int) -> list[Slope]:
    """Return the CPU use of an idle daemon of the largest fleet by list reads/s."""
    upstreams, hosts, workspaces = FLEET_SIZES[-1]
    points = []
    for interval_s in LIST_INTERVALS_S:
        testbed = DaemonTestbed()
        try:
            engine = testbed.group.start_standin("engine", "--layers", "0", "64")
            testbed.add_list_entries(build_list_entries(upstreams, hosts, seed, engine))
            testbed.fleet.publish(build_document(workspaces), base_version=0)
            testbed.start_host(threads=256, version=1, list_interval_s=interval_s)
            time.sleep(5.0)
            cpu_s, began_s = testbed.cpu_s(), time.monotonic()
            time.sleep(16.0)
            seconds = time.monotonic() - began_s
            points.append((1 / interval_s, 100 * (testbed.cpu_s() - cpu_s) / seconds))
        finally:
            testbed.close()
    return [
        fit_line(
            "CPU of an idle daemon of the large fleet",
            points,
            size_unit="host list read/s",
            cost_unit="% of a core",
        )
    ]


def _format_log_reads(
    testbed: DaemonTestbed, seconds: float, upstreams: int
) -> list[str]:
    proxy = testbed.log_proxy
    return [
        f"log reads of {path}, {upstreams} upstreams: {count / seconds:.2f}/s, "
        f"{proxy.bytes[path] / count:.0f} bytes each, "
        f"{proxy.bytes[path] / seconds:.0f} B/s"
        for path, count in sorted(proxy.requests.items())
    ]


def measure_polls(seed: int) -> list[Slope | str]:
    """Return the rate and size of load and cache polls of one engine."""
    testbed = DaemonTestbed()
    try:
        address = testbed.group.start_standin("engine", "--layers", "0", "64")
        proxy = CountingProxy(address)
        testbed.add_list_entries(build_list_entries(4, 4, seed, proxy.address))
        testbed.fleet.publish(build_document(10), base_version=0)
        testbed.start_host(threads=64, version=1)
        time.sleep(2.0)
        proxy.reset()
        began_s = time.monotonic()
        time.sleep(8.0)
        seconds = time.monotonic() - began_s
        lines = [
            f"engine polls of {path}: {count / seconds:.2f}/s, "
            f"{proxy.bytes[path] / count:.0f} bytes each, "
            f"{proxy.bytes[path] / seconds:.0f} B/s"
            for path, count in sorted(proxy.requests.items())
        ]
        proxy.close()
    finally:
        testbed.close()
    return [*lines]


def measure_restart(seed: int) -> list[Slope]:
    """Return the time from start until the log is folded, by number of records."""
    points = []
    for count in RECORD_SIZES:
        testbed = DaemonTestbed()
        try:
            records = [build_patch_record(0, build_document(TARGET_WORKSPACES))]
            for number in range(1, count):
                records.append(
                    build_weight_patch(number, number % TARGET_WORKSPACES, number)
                )
            testbed.fleet.log._topics["config"].extend(records)
            points.append((count, testbed.start_host(threads=64, version=count)))
        finally:
            testbed.close()
    return [
        fit_line(
            "start of a daemon until the log is folded",
            points,
            size_unit="record",
            cost_unit="s",
        )
    ]
