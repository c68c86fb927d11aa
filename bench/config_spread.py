"""Time until an accepted configuration patch is in force on all hosts.

Run with python -m bench.config_spread [patches]. Four daemons and the stand-ins run in
this process on loopback. One host reads the log through a separate address, which is
unavailable in the second half.
"""

import sys
import time
from functools import partial

from persimmonwell.observe import configure_logs
from persimmonwell.settings import LogSettings
from standins.log import Log
from tests.fleet import SmallFleet, wait_until


class _LogView(Log):
    """Serves the records of another log at its own address, with its own faults."""

    def __init__(self, log: Log) -> None:
        super().__init__()
        self._topics, self._first_offsets = log._topics, log._first_offsets
        self._changed = log._changed


def propagation_times(fleet: SmallFleet, patches: int) -> list[float]:
    """Apply patches; return the sorted seconds until each is in force everywhere."""
    times = []
    for number in range(patches):
        base_version = fleet.config_version("host-1")
        url = f"http://{fleet.daemons['host-1'].operator_address}/config"
        merge = {"workspaces": {"range-a": {"weight": number + 1}}}
        began_s = time.monotonic()
        answer = fleet.http.request(
            "POST", url, json={"base_version": base_version, "merge": merge}
        )
        assert answer.status == 200
        wait_until(partial(_all_newer_than, fleet, base_version))
        times.append(time.monotonic() - began_s)
        time.sleep(0.05 * (number % 7))
    return sorted(times)


def _all_newer_than(fleet: SmallFleet, version: int) -> bool:
    return all(fleet.config_version(host_id) > version for host_id in fleet.daemons)


def print_times(title: str, times: list[float]) -> None:
    """Print the median and the maximum of sorted times."""
    median_s, longest_s = times[len(times) // 2], times[-1]
    print(f"{title}: median {1e3 * median_s:.0f} ms, longest {1e3 * longest_s:.0f} ms")


def main(patches: int) -> None:
    """Measure with the log reachable, then with one host cut off from it."""
    configure_logs(LogSettings(level="ERROR"), host_id="bench")
    fleet = SmallFleet()
    fleet.start()
    view = _LogView(fleet.log)
    view.start()
    fleet.add_daemon("zone-1")
    isolated_host = fleet.add_daemon("zone-2", log_url=view.server.url)
    wait_until(lambda: fleet.config_version(isolated_host) == 1)
    time.sleep(2.0)
    print_times(f"log reachable, {patches} patches", propagation_times(fleet, patches))
    view.faults["down"] = True
    time.sleep(2.0)
    print_times("log unreachable for one host", propagation_times(fleet, patches))
    fleet.close()
    view.close()


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 40)
