"""Choice of a chain of upstreams for each request."""

from persimmonwell.core.routing._bound import FlowBound, achievable_bound
from persimmonwell.core.routing._chains import ChainRouter, NoRoute
from persimmonwell.core.routing._health import HealthTracker
from persimmonwell.core.routing._inflight import InflightTracker
from persimmonwell.core.routing._prefix import PrefixIndex

__all__ = [
    "ChainRouter",
    "FlowBound",
    "HealthTracker",
    "InflightTracker",
    "NoRoute",
    "PrefixIndex",
    "achievable_bound",
]
