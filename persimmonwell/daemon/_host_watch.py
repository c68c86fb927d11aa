"""Timeline records of entry hosts that disappear from the platform's host list."""

from collections.abc import Callable

from persimmonwell.core._fleet import HostList
from persimmonwell.core.timeline import EventKind
from persimmonwell.observe import Recorder


def host_departure_recorder(recorder: Recorder) -> Callable[[HostList], None]:
    """Return a function that compares each host list with the previous one.

    An empty list is ignored, because it does not prove that every host has left.
    """
    known_ids: set[str] = set()

    def apply_host_list(hosts: HostList) -> None:
        listed_ids = {h.host_id for h in hosts.entry_hosts if not h.leaving}
        if not listed_ids:
            return
        for host_id in sorted(known_ids - listed_ids):
            recorder.record(EventKind.HOST_LEFT, detail=host_id)
        known_ids.clear()
        known_ids.update(listed_ids)

    return apply_host_list
