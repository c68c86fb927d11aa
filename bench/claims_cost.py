"""Log appends and added latency of claims: python -m bench.claims_cost.

Appends are counted in a simulation of the claims state on a virtual clock; latency is
measured with daemons on loopback. Fold time and memory of claims are measured by
python -m bench.capacity.
"""

import random
import statistics
import time
from collections.abc import Iterator

from persimmonwell.core import Outcome
from persimmonwell.core.claims import (
    AppendClaims,
    CallFinished,
    CallResult,
    ClaimKey,
    ClaimLimits,
    ClaimRecord,
    ClaimRequested,
    ClaimsAppended,
    ClaimsRead,
    ClaimsState,
    ClaimsTick,
    ClaimWon,
    ResultRecord,
    encode_record,
)
from persimmonwell.core.config import LogRecord
from tests.fleet import SmallFleet

BODY = b'{"booking": 17, "lane": 4, "from": "18:00", "to": "19:00"}' * 3
APPEND_S = 0.004
DURATION_S = 60
CALL_COUNT = 300
LOG_APPENDS_PER_S = 300


def claim_records(keys: int) -> Iterator[LogRecord]:
    """Yield a claim record and a result record for each key."""
    for number in range(keys):
        key = ClaimKey("range-a", "booking", f"{number:032x}")
        claim = ClaimRecord(
            claim_id=f"{'i' * 32}-{number}",
            key=key,
            digest=f"{number:032x}",
            host="host-1",
            incarnation="i" * 32,
        )
        result = CallResult(200, Outcome.COMPLETE, (("Content-Type", "a/b"),), BODY)
        yield LogRecord(2 * number, encode_record(claim))
        result_record = ResultRecord(claim.claim_id, result)
        yield LogRecord(2 * number + 1, encode_record(result_record))


def simulate_appends(rate: float, window_s: float) -> tuple[float, float]:
    """Return appends/s of one host and the mean seconds until a claim is won.

    Calls arrive as a Poisson process of the given rate per second.
    """
    rng = random.Random(1)
    state = ClaimsState(
        host_id="h", incarnation="i", limits=ClaimLimits(window_s=window_s)
    )
    now_s, next_call_s, offset, appends, calls = 0.0, rng.expovariate(rate), 0, 0, 0
    pending_append: tuple[float, AppendClaims] | None = None
    arrival_s: dict[str, float] = {}
    waits: list[float] = []
    while now_s < DURATION_S:
        times = [
            next_call_s,
            state.next_wake_s or 1e9,
            pending_append[0] if pending_append else 1e9,
        ]
        now_s = min(times)
        if pending_append is not None and now_s == pending_append[0]:
            batch = pending_append[1]
            pending_append = None
            read = tuple(
                LogRecord(offset + i, record) for i, record in enumerate(batch.records)
            )
            offset += len(read)
            decisions = state.handle(ClaimsAppended(batch.batch_id), now_s)
            decisions += state.handle(ClaimsRead(0, read, now_s), now_s)
        elif now_s == next_call_s:
            calls += 1
            next_call_s = now_s + rng.expovariate(rate)
            key = ClaimKey("w", "s", str(calls))
            request = ClaimRequested(str(calls), key, "d", now_s + 60, True)
            arrival_s[str(calls)] = now_s
            decisions = state.handle(request, now_s)
        else:
            decisions = state.handle(ClaimsTick(), now_s)
        queue = list(decisions)
        while queue:
            decision = queue.pop()
            if isinstance(decision, AppendClaims):
                appends += 1
                pending_append = (now_s + APPEND_S, decision)
            elif isinstance(decision, ClaimWon):
                waits.append(now_s - arrival_s.pop(decision.request_id))
                result = CallResult(200, Outcome.COMPLETE)
                queue.extend(
                    state.handle(CallFinished(decision.claim_id, result), now_s)
                )
    return appends / DURATION_S, statistics.mean(waits)


def measure_appends() -> None:
    """Print appends per second by call rate and batching window."""
    print(f"append time {APPEND_S * 1e3:.0f} ms; calls/s and appends/s of one host")
    print("window_ms  calls/s  appends/s  won_after_ms   4 hosts  340 hosts")
    for window_s in (0.02, 340 / 250):
        for rate in (1.0, 5.0, 21.5, 100.0, 500.0):
            appends, wait_s = simulate_appends(rate, window_s)
            print(
                f"{window_s * 1e3:9.0f} {rate:8.1f} {appends:10.1f} "
                f"{wait_s * 1e3:13.1f} {4 * appends:9.0f} {340 * appends:10.0f}"
            )
    print(f"the log takes about {LOG_APPENDS_PER_S} appends/s")


def measure_latency() -> None:
    """Print the latency of calls with and without an idempotency key."""
    fleet = SmallFleet()
    fleet.start()
    times: dict[bool, list[float]] = {False: [], True: []}
    for number in range(CALL_COUNT):
        for keyed in (False, True):
            headers = {"Idempotency-Key": f"k{number}"} if keyed else {}
            started_s = time.perf_counter()
            response = fleet.call(
                "host-1", "/services/booking/lanes", {"lane": 1}, headers=headers
            )
            times[keyed].append(time.perf_counter() - started_s)
            assert response.status == 200
    fleet.close()
    for keyed, values in times.items():
        percentiles = statistics.quantiles(values, n=20)
        name = "keyed" if keyed else "unkeyed"
        print(
            f"{name} call: p50 {percentiles[9] * 1e3:.1f} ms, "
            f"p95 {percentiles[18] * 1e3:.1f} ms"
        )


if __name__ == "__main__":
    measure_appends()
    measure_latency()
