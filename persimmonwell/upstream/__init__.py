"""HTTP clients for upstreams: model engines and service replicas."""

from persimmonwell.upstream._engine_client import (
    Attempt,
    AttemptFailedError,
    EngineCacheEvent,
    EngineClient,
    EngineLoad,
)
from persimmonwell.upstream._order_client import OrderAnswer, OrderClient
from persimmonwell.upstream._service_client import (
    ServiceAnswer,
    ServiceCallError,
    ServiceClient,
)

__all__ = [
    "Attempt",
    "AttemptFailedError",
    "EngineCacheEvent",
    "EngineClient",
    "EngineLoad",
    "OrderAnswer",
    "OrderClient",
    "ServiceAnswer",
    "ServiceCallError",
    "ServiceClient",
]
