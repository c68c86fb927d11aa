"""Record entry hosts that disappear from the platform's list."""

from collections.abc import Callable

from persimmonwell.core._fleet import HostList
from persimmonwell.core.timeline import EventKind
from persimmonwell.observe import Recorder


def host_watch(recorder: Recorder) -> Callable[[HostList], None]:
    """Return a function that compares each reading with the one before.

    An empty list is no evidence that hosts left and is passed over.
    """
    known: set[str] = set()

    def read(hosts: HostList) -> None:
        listed = {h.host_id for h in hosts.entry_hosts if not h.leaving}
        if not listed:
            return
        for host_id in sorted(known - listed):
            recorder.record(EventKind.HOST_LEFT, detail=host_id)
        known.clear()
        known.update(listed)

    return read
