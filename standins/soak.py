"""Soak test: gateway processes under load with randomly injected faults.

Faults are killed, paused and reloaded hosts, faulty replicas and store connections,
configuration changes, draining replicas, a store that comes back from an older copy,
hosts that start while the store is down, spoiled bytes of streams, odd registry entries
and odd numbers in callers' headers. Three workspaces with very unequal load compete,
one of them in load surges, and its callers retry what was refused. Callers keep their
connections open until a request fails. Checked are at-most-once execution of unsafe
requests, that no refused request ran, complete answers, responses to the workspace with
the least load, recovery, and the propagation of configuration versions and draining
replicas, also after a late heartbeat and without the hosts that read the store.

Run: python -m standins.soak --seed 1 --seeds 50 --seconds 6 --hosts 4
"""

import argparse
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from standins.gateway_process import GatewayProcess
from standins.soak_checks import (
    load_violations,
    request_violations,
    statement_violations,
)
from standins.soak_faults import FaultInjector
from standins.soak_load import Answer, SoakLoad
from standins.soak_site import SoakSite

HOSTS = 4
"""Two hosts of a zone read the store for the others; four hosts cover both kinds."""
PROPAGATION_LIMIT_S = 2.5
"""Time after which a host must know a new version or a draining replica while the
store answers: the required 2 s plus a margin for a loaded test machine."""
READY_TIMEOUT_S = 15.0
READERS = 2
"""Hosts of a zone that read the store, the first ones by name."""
LATE_ENTRY_S = 1.0
"""Time in which hosts have read an entry that the store carried out late."""


class Soak:
    """One soak run, whose faults and requests are drawn from the seed."""

    def __init__(
        self,
        *,
        seed: int,
        seconds: float,
        folder: Path,
        host_count: int = HOSTS,
        starts_without_store: bool = True,
        states: bool = True,
        spoils: bool = True,
        surges: bool = True,
    ) -> None:
        self._seconds = seconds
        self._surges = surges
        self._site = SoakSite(folder=folder, host_count=host_count, has_surges=surges)
        self._load = SoakLoad(seed=seed, site=self._site, has_surges=surges)
        self._faults = FaultInjector(
            seed=seed,
            site=self._site,
            load=self._load,
            starts_without_store=starts_without_store,
            states=states,
            spoils=spoils,
            surges=surges,
        )

    @property
    def answers(self) -> list[Answer]:
        """Return the answers that all callers received."""
        return self._load.answers

    @property
    def steady_answers(self) -> list[Answer]:
        """Return the answers to the workspace with the least load."""
        return self._load.steady_answers

    @property
    def retry_count(self) -> int:
        """Return how many requests were retries of refused callers."""
        return self._load.retry_count

    def run(self) -> list[str]:
        """Inject faults under load; return the violations that were found."""
        try:
            self._site.start()
            if not self._wait_ready():
                return ["hosts were not ready after the start"]
            self._load.start()
            self._faults.run(self._seconds)
            self._load.close()
            return (
                self._faults.violations
                + self._load.violations
                + request_violations(self._site, self._load)
                + (load_violations(self._load) if self._surges else [])
                + statement_violations(self._site, self._load)
                + self._recovery_violations()
                + self._propagation_violations()
                + self._lost_reader_violations()
            )
        finally:
            self._load.close()
            self._site.close()

    def _propagation_violations(self) -> list[str]:
        """Check that all hosts see a new version and a draining replica in time."""
        time.sleep(PROPAGATION_LIMIT_S)
        violations = self._version_violations(self._site.hosts)
        late_entry = self._site.next_entry(self._site.replicas[0])
        violations += self._drain_violations(self._site.hosts)
        self._site.write_entry(self._site.replicas[0], late_entry)
        time.sleep(LATE_ENTRY_S)
        return violations + self._draining_violations(self._site.hosts, "late entry")

    def _lost_reader_violations(self) -> list[str]:
        """Check the same after the two hosts that read the store were killed."""
        others = self._site.hosts[READERS:]
        if not others:
            return []
        self._site.register(self._site.replicas[0])
        time.sleep(PROPAGATION_LIMIT_S)
        for host in self._site.hosts[:READERS]:
            host.stop(signal.SIGKILL)
        return self._drain_violations(others)

    def _drain_violations(self, hosts: list[GatewayProcess]) -> list[str]:
        """Write a version and let a replica drain; check that hosts follow in time."""
        self._site.append_config_version()
        self._site.register(self._site.replicas[0], state="draining")
        time.sleep(PROPAGATION_LIMIT_S)
        return self._draining_violations(hosts, "report")

    def _draining_violations(
        self, hosts: list[GatewayProcess], cause: str
    ) -> list[str]:
        """Check that hosts serve the newest version, at other replicas."""
        replica = self._site.replicas[0]
        received_before = len(replica.received)
        violations = self._version_violations(hosts)
        if len(replica.received) > received_before:
            name = replica.replica_id
            violations.append(f"{name} received requests while draining ({cause})")
        return violations

    def _version_violations(self, hosts: list[GatewayProcess]) -> list[str]:
        if self._site.version < 2:
            return []
        name = f"v{self._site.version}"
        return [
            f"{host.ip} does not serve version {self._site.version} in time"
            for host in hosts
            for number in range(4)
            if self._load.send(host, name, f"{host.ip}-{number}").status != 200
        ]

    def _wait_ready(self) -> bool:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            statuses = {
                self._load.send(host, "look", "ready").status
                for host in self._site.hosts
            }
            if statuses == {200}:
                return True
            time.sleep(0.2)
        return False

    def _recovery_violations(self) -> list[str]:
        return [] if self._wait_ready() else ["hosts not ready after the faults"]


def main() -> int:
    """Run the seeds in order; return 1 if there was a violation."""
    parser = argparse.ArgumentParser(description="Soak test of gateway processes.")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--hosts", type=int, default=HOSTS)
    parser.add_argument("--logs", type=Path, help="folder for the hosts' logs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            if options.logs is not None:
                folder = options.logs / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            soak = Soak(
                seed=seed,
                seconds=options.seconds,
                folder=folder,
                host_count=options.hosts,
            )
            violations = soak.run()
        counts = Counter(answer.status for answer in soak.answers)
        steady = Counter(answer.status for answer in soak.steady_answers)
        print(
            f"seed {seed}: {dict(counts)}, of the least load {dict(steady)}, "
            f"retries {soak.retry_count}; violated: {violations or 'none'}",
            flush=True,
        )
        failed += bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
