"""Compares the router with a naive one in daemons on loopback: python -m bench.live."""

import argparse
import json
import random
import resource
import threading
import time

import attrs
import urllib3

from bench.measures import percentile
from bench.naive import NaiveRouter
from persimmonwell.core.router import Router
from persimmonwell.daemon import Daemon
from persimmonwell.daemon._router_actor import RoutingCore
from persimmonwell.settings import parse_settings
from standins.engine import expected_tokens
from tests.fleet import LAYERS, MODEL, SmallFleet, wait_until

TOKENS = 40
TOKEN_S = 0.004
RANKS = ("urgent", "normal", "batch")


@attrs.frozen
class Sample:
    """Time to first token and completeness of one streamed answer."""

    rank: str
    first_token_s: float | None
    is_complete: bool


class LiveFleet(SmallFleet):
    """Fleet whose daemons run either the naive router or the project's."""

    def __init__(self, *, naive: bool) -> None:
        super().__init__(token_s=TOKEN_S)
        self._naive = naive

    def add_daemon(self, zone: str) -> str:
        """Start an entry host with the selected router; return its id."""
        number = len(self.daemons)
        host_id = f"host-{number + 1}"
        document = self.settings_document(zone, host_id)
        document["callers"]["threads"] = 128
        core: RoutingCore = (
            NaiveRouter(seed=number)
            if self._naive
            else Router(host_id=host_id, availability_zone=zone, seed=number)
        )
        daemon = Daemon(parse_settings(document), seed=number, core=core)
        daemon.start()
        self.daemons[host_id] = daemon
        return host_id


def send_request(
    address: str, rank: str, prompt: str, pool: urllib3.PoolManager
) -> Sample:
    """Send one streaming request and check its text."""
    body = {"model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": True}
    started_s = time.monotonic()
    response = pool.request(
        "POST",
        f"http://{address}/v1/completions",
        body=json.dumps(body),
        headers={"Persimmonwell-Workspace": "range-a", "Persimmonwell-Rank": rank},
        preload_content=False,
        timeout=60.0,
    )
    first_s, text = None, ""
    for line in response:
        if not line.startswith(b"data: {"):
            continue
        event = json.loads(line[6:])
        if "choices" in event:
            if first_s is None:
                first_s = time.monotonic() - started_s
            text += event["choices"][0]["text"]
    response.release_conn()
    return Sample(rank, first_s, text == "".join(expected_tokens(prompt, TOKENS)))


def measure_router(*, naive: bool, clients: int, seconds: float, seed: int) -> None:
    """Run closed-loop clients and print throughput, CPU use and latency."""
    fleet = LiveFleet(naive=naive)
    fleet.start()
    for zone in ("zone-1", "zone-2"):
        fleet.add_engine(zone, (0, LAYERS // 2))
        fleet.add_engine(zone, (LAYERS // 2, LAYERS))
    addresses = [daemon.caller_address for daemon in fleet.daemons.values()]
    wait_until(lambda: len(fleet.engines) == 8)
    samples: list[Sample] = []
    stop_s = time.monotonic() + seconds
    pool = urllib3.PoolManager(maxsize=clients, retries=False)

    def run_client(number: int) -> None:
        rng = random.Random(seed * 1000 + number)
        while time.monotonic() < stop_s:
            rank, prompt = RANKS[number % 3], f"{number}-{rng.random()}"
            samples.append(send_request(rng.choice(addresses), rank, prompt, pool))

    usage_before = resource.getrusage(resource.RUSAGE_SELF)
    threads = [threading.Thread(target=run_client, args=(n,)) for n in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    usage_after = resource.getrusage(resource.RUSAGE_SELF)
    fleet.close()
    complete_count = sum(sample.is_complete for sample in samples)
    cpu_s = (
        usage_after.ru_utime
        + usage_after.ru_stime
        - usage_before.ru_utime
        - usage_before.ru_stime
    )
    print(
        f"{'naive' if naive else 'ours':6} {complete_count}/{len(samples)} whole, "
        f"{complete_count / seconds:.1f} requests/s, "
        f"{complete_count * TOKENS / seconds:.0f} tokens/s, "
        f"{cpu_s / seconds:.2f} cores for daemons, stand-ins and clients"
    )
    for rank in RANKS:
        times = [
            3600.0 if s.first_token_s is None else s.first_token_s
            for s in samples
            if s.rank == rank
        ]
        percentiles = ", ".join(
            f"p{p} {percentile(times, p):.3f} s" for p in (50, 95, 99)
        )
        print(f"       {rank:6} first token {percentiles}")


def main() -> None:
    """Measure the naive router, then the project's."""
    parser = argparse.ArgumentParser(prog="bench.live")
    parser.add_argument("--clients", type=int, default=48)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for naive in (True, False):
        measure_router(
            naive=naive,
            clients=options.clients,
            seconds=options.seconds,
            seed=options.seed,
        )


if __name__ == "__main__":
    main()
