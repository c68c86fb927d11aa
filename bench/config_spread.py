"""Measure the time from an accepted patch to its version on all hosts.

Run with python -m bench.config_spread [patches]; it starts four daemons and the
stand-ins in this process, on loopback. One host reads the log through an
address of its own, which is taken down for the second half.
"""

import sys
import time
from functools import partial

from persimmonwell.observe import configure_logs
from persimmonwell.settings import LogSettings
from standins.log import Log
from tests.fleet import SmallFleet, wait_until


class _LogView(Log):
    """Serve another log's records on an address with faults of its own."""

    def __init__(self, log: Log) -> None:
        super().__init__()
        self._topics, self._first_offsets = log._topics, log._first_offsets
        self._changed = log._changed


def spread_times(fleet: SmallFleet, patches: int) -> list[float]:
    """Return for each patch the seconds until all hosts have it in force."""
    times = []
    for number in range(patches):
        base = fleet.config_version("host-1")
        url = f"http://{fleet.daemons['host-1'].operator_address}/config"
        merge = {"workspaces": {"range-a": {"weight": number + 1}}}
        began_s = time.monotonic()
        answer = fleet.http.request(
            "POST", url, json={"base_version": base, "merge": merge}
        )
        assert answer.status == 200
        wait_until(partial(_all_beyond, fleet, base))
        times.append(time.monotonic() - began_s)
        time.sleep(0.05 * (number % 7))
    return sorted(times)


def _all_beyond(fleet: SmallFleet, version: int) -> bool:
    return all(fleet.config_version(host_id) > version for host_id in fleet.daemons)


def show(title: str, times: list[float]) -> None:
    """Print the median and the longest time."""
    middle, last = times[len(times) // 2], times[-1]
    print(f"{title}: median {1e3 * middle:.0f} ms, longest {1e3 * last:.0f} ms")


def main(patches: int) -> None:
    """Measure with the log reachable, then unreachable for one host."""
    configure_logs(LogSettings(level="ERROR"), host_id="bench")
    fleet = SmallFleet()
    fleet.start()
    view = _LogView(fleet.log)
    view.start()
    fleet.add_daemon("zone-1")
    cut = fleet.add_daemon("zone-2", log_url=view.server.url)
    wait_until(lambda: fleet.config_version(cut) == 1)
    time.sleep(2.0)
    show(f"log reachable, {patches} patches", spread_times(fleet, patches))
    view.faults["down"] = True
    time.sleep(2.0)
    show("log unreachable for one host", spread_times(fleet, patches))
    fleet.close()
    view.close()


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 40)
