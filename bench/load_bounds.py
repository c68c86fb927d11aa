"""Spread of load that random arrivals and durations cause by themselves, in replays.

Each target of docs/overload.md, section F3, stands beside choices that know more than
a host can know: reports with almost no age, one host that gets all requests, and the
least true load. Run: python -m bench.load_bounds
"""

import argparse
import random
from collections.abc import Callable, Iterable
from itertools import count
from statistics import fmean

import attrs

from persimmonwell.core.forwarding import Replica
from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from tests.core.forwarding.load_candidates import TodaysPool
from tests.core.forwarding.load_replay import (
    COPIES,
    SITES,
    PlainReplay,
    Replay,
    new_pool,
    percentile,
)

PLAIN = {4: (4, 3, 40.0), 65: (22, 12, 240.0)}
"""Hosts, replicas and rate of the service without a pipeline, by target."""
SLOTS = 16
CHAIN_HOSTS = 30
CHAIN_RATE = 60.0
CALM_S = 2.0
SURGE_S = 3.0
FRESH_S = 0.01
ORDER_WEIGHT = 0.9
"""Requests by which the last replica in a host's order looks more loaded; less than one
own request."""
TEST_SEEDS = 4
"""Seeds of the tests, the first ones."""

MakePool = Callable[[random.Random, int], UpstreamPool]


class LeastTrueLoadPool(UpstreamPool):
    """Choice by the requests in flight of all hosts at this moment."""

    def __init__(self, rng: random.Random, pools: "list[LeastTrueLoadPool]") -> None:
        super().__init__(availability_zone="za", rng=rng)
        self._pools = pools

    def choose_replica(self, active: ActiveRequest, now_s: float) -> Replica | None:
        """Return the replica with the fewest requests, at random among equal ones."""

        def load(replica: Replica) -> tuple[int, float]:
            name = replica.replica_id
            loads = (pool.loads.local.get(name) for pool in self._pools)
            total = sum(own.requests for own in loads if own is not None)
            return (total, self._random.random())

        return min(self.available(active.service.name), key=load)


class OwnOrderPool(UpstreamPool):
    """Choice by the own load, the orders of the hosts evenly rotated."""

    def __init__(self, rng: random.Random, offset: float) -> None:
        super().__init__(availability_zone="za", rng=rng)
        self._offset = offset
        """Part of the replicas by which the order is rotated."""

    def choose_replica(self, active: ActiveRequest, now_s: float) -> Replica | None:
        """Return the first replica in the host's order with the fewest own requests."""
        replicas = self.available(active.service.name)

        def load(item: tuple[int, Replica]) -> float:
            own = self.loads.local.get(item[1].replica_id)
            position = (item[0] / len(replicas) - self._offset) % 1.0
            return (own.requests if own is not None else 0) + ORDER_WEIGHT * position

        return min(enumerate(replicas), key=load)[1]


def least_true_load() -> MakePool:
    """Return a function that makes the pools of one replay."""
    pools: list[LeastTrueLoadPool] = []

    def make(rng: random.Random, hosts: int) -> UpstreamPool:
        pools.append(LeastTrueLoadPool(rng, pools))
        return pools[-1]

    return make


def own_order() -> MakePool:
    """Return a function that makes the pools of one replay."""
    numbers = count()
    return lambda rng, hosts: OwnOrderPool(rng, next(numbers) / hosts)


def print_row(name: str, spreads: list[float], pooled: float | None = None) -> None:
    """Print the mean spread over the seeds of the tests and over all seeds."""
    tests = fmean(spreads[:TEST_SEEDS]) if pooled is None else pooled
    print(f"| {name} | {tests:.3f} | {fmean(spreads):.3f} |", flush=True)


def print_plain(hosts: int, seeds: Iterable[int]) -> None:
    """Print the bounds of a service without a pipeline."""
    number, replicas, rate = PLAIN[hosts]
    interval_s = SITES[hosts].report_interval_s
    rows: list[tuple[str, int, float, Callable[[], MakePool]]] = [
        ("4f9703c", number, interval_s, lambda: TodaysPool),
        ("product", number, interval_s, lambda: new_pool),
        ("own load, rotated orders", number, interval_s, own_order),
        (f"product, reports 0 to {FRESH_S} s old", number, FRESH_S, lambda: new_pool),
        ("product, one host", 1, interval_s, lambda: new_pool),
        ("least true load", number, interval_s, least_true_load),
    ]
    print(f"\nplain service, {hosts} hosts\n\n| choice | test seeds | all seeds |")
    print("|---|---|---|")
    for name, host_count, age_s, make_pool in rows:
        shares = [
            PlainReplay(
                host_count,
                replicas,
                rate,
                slots=SLOTS,
                interval_s=age_s,
                seed=seed,
                make_pool=make_pool(),
            ).run()[0]
            for seed in seeds
        ]
        spreads = [percentile(of_seed, 0.95) for of_seed in shares]
        # The tests take the percentile over the samples of all their seeds.
        print_row(name, spreads, percentile(sum(shares[:TEST_SEEDS], []), 0.95))


def print_chains(seeds: Iterable[int]) -> None:
    """Print the bounds of equal chains."""
    site = COPIES[CHAIN_HOSTS]
    age_s = site.report_interval_s
    rows: list[tuple[str, int, float, MakePool]] = [
        ("4f9703c", site.hosts, age_s, TodaysPool),
        ("product", site.hosts, age_s, new_pool),
        (f"product, reports 0 to {FRESH_S} s old", site.hosts, FRESH_S, new_pool),
        ("product, one host", 1, age_s, new_pool),
    ]
    print(f"\nequal chains, {CHAIN_HOSTS} hosts\n\n| choice | test seeds | all seeds |")
    print("|---|---|---|")
    for name, host_count, interval_s, make_pool in rows:
        spreads = [
            Replay(
                attrs.evolve(site, hosts=host_count),
                CHAIN_RATE,
                make_pool=make_pool,
                interval_s=interval_s,
                calm_s=CALM_S,
                surge_s=SURGE_S,
                seed=seed,
            )
            .run()
            .spread
            for seed in seeds
        ]
        print_row(name, spreads)


def main() -> None:
    """Print the 95th percentile of the load over its mean, and its bounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=12)
    seeds = range(1, parser.parse_args().seeds + 1)
    print_chains(seeds)
    for hosts in PLAIN:
        print_plain(hosts, seeds)


if __name__ == "__main__":
    main()
