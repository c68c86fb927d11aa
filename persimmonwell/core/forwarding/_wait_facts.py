"""What decided how long a request may wait, for the log and the metrics."""

import attrs

from persimmonwell.core.forwarding._active import PriorityClass


@attrs.frozen
class WaitFacts:
    """Position of a request in its service's queue when a decision was made."""

    priority_class: PriorityClass
    is_caller_retry: bool
    """Whether a host refused the request before."""
    allowed_wait_s: float
    """Time that the request might wait from its arrival."""
    report_age_s: float | None
    """Mean age of the load reports of the zone's hosts; None without any."""
    expected_wait_s: float | None = None
    """Further wait that was expected, for a refusal."""
