"""KV memory of the own zone that a request leaves to others while it is short.

Load pattern: refused callers return during a surge and for seconds after it. Their
answers are late already, and they would take the memory that a new request needs for an
answer in time, so that its caller is refused too and returns as well.
"""

from persimmonwell.core.forwarding._active import ActiveRequest

SHORT_SPARE_SHARE = 0.7
"""Spare share of a zone's memory below which requests leave some. A few replicas that
are lost or full make a zone short of paths while half of its memory is free."""
RETRY_KEPT_SHARE = 0.25
"""Share that a caller's retry leaves. In the replay of a surge, 0.85 of the new streams
are in time from 3 s after the end with 0.1, 0.92 with 0.25 and 0.90 with 0.4, and the
more of it, the more callers are refused twice."""


def kept_at_home(active: ActiveRequest, spare_share: float) -> float:
    """Return the share of the own zone's memory that a request leaves free.

    spare_share is the share of the zone's memory that is free now.
    """
    if spare_share >= SHORT_SPARE_SHARE:
        return 0.0
    return RETRY_KEPT_SHARE if active.is_late_retry else 0.0
