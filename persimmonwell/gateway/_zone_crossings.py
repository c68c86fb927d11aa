"""Log fields of sends to other availability zones."""

from persimmonwell.core.forwarding import ZoneCrossing


def crossing_fields(crossing: ZoneCrossing | None) -> dict[str, object]:
    """Return the fields that a send to another zone adds to its log line.

    home_step_ms is None where the host's zone had no path. The step time of the path
    that was taken is in the line anyway.
    """
    if crossing is None:
        return {}
    home_step_ms = crossing.home_step_ms
    return {
        "from_zone": crossing.source,
        "to_zone": crossing.target,
        "home_step_ms": round(home_step_ms, 2) if home_step_ms is not None else None,
    }
