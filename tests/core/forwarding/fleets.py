"""Builders of fleets, configurations and requests for the forwarding tests."""

from bench.forwarding_cost import ENGINE
from persimmonwell.core.forwarding import (
    CallerRequest,
    ForwardingConfig,
    ForwardingRouter,
    GenerationSize,
    HeldLayers,
    RegistryRecord,
    Replica,
    Route,
    RouteKind,
    ServiceSpec,
    Tenant,
    WeightedService,
)

__all__ = ["ENGINE"]
ZONES = {
    "za": {"h100": 1, "a100s": 1, "l4": 5, "t4": 7},
    "zb": {"a100s": 1, "l4": 8, "t4": 3},
    "zc": {"a100s": 2, "l4": 4, "t4": 7},
}
LARGE_ZONES = {
    "za": {"a100s": 4, "l4": 11, "t4": 18},
    "zb": {"h100": 1, "a100s": 2, "l4": 13, "t4": 17},
    "zc": {"h100": 1, "a100s": 2, "l4": 20, "t4": 9},
}
SIZE = GenerationSize(prompt_tokens=800, max_output_tokens=172)


def empty_replicas(zones: dict[str, dict[str, int]] | None = None) -> list[Replica]:
    """Return replicas of the model's service without layers, by zone and kind."""
    found = []
    for zone, kinds in (zones or ZONES).items():
        for kind, count in kinds.items():
            for number in range(count):
                index = len(found)
                found.append(
                    Replica(
                        replica_id=f"{zone}-{kind}-{number}",
                        service="model",
                        address=f"10.0.{index // 250}.{index % 250}:80",
                        availability_zone=zone,
                        slots=96,
                        accelerator=kind,
                    )
                )
    return found


def staged_replica(
    name: str, zone: str, start: int, stop: int, kind: str = "h100", **overrides: object
) -> Replica:
    """Return a replica that holds a range of layers."""
    number = sum(name.encode()) % 250
    return Replica(
        replica_id=name,
        service="model",
        address=f"10.1.{len(name)}.{number}:80",
        availability_zone=zone,
        slots=96,
        accelerator=kind,
        layers=HeldLayers(start, stop),
        **overrides,  # type: ignore[arg-type]
    )


def desk_replica(
    name: str, zone: str = "za", slots: int = 6, port: int = 80
) -> Replica:
    """Return a replica of the service without a pipeline."""
    return Replica(
        replica_id=name,
        service="desk",
        address=f"10.2.0.{sum(name.encode()) % 250}:{port}",
        availability_zone=zone,
        slots=slots,
    )


def route(name: str, kind: RouteKind, service: str, **overrides: object) -> Route:
    """Return a route whose prefix is its name."""
    values: dict[str, object] = {
        "host": "desk.example",
        "prefix": f"/{name}/",
        "services": (WeightedService(service, 1.0),),
        "timeout_s": 20.0 if kind is RouteKind.STREAM else 1.2,
        "latency_objective_s": 0.5,
        "priority": 0,
        "max_attempts": 2,
        "is_resumable": kind is RouteKind.STREAM,
        "gap_objective_s": 0.2 if kind is RouteKind.STREAM else None,
    }
    values.update(overrides)
    return Route(name=name, kind=kind, **values)  # type: ignore[arg-type]


CONFIG = ForwardingConfig(
    version=7,
    routes=(
        route("urgent", RouteKind.STREAM, "model"),
        route("batch", RouteKind.STREAM, "model", priority=2),
        route("fixed", RouteKind.STREAM, "model", is_resumable=False),
        route("book", RouteKind.UNSAFE, "desk", max_attempts=1),
        route("look", RouteKind.SAFE, "desk"),
    ),
    services=(
        ServiceSpec("model", "/health", 1058, ENGINE),
        ServiceSpec("desk", "/health", 96),
    ),
    tenants=(Tenant("range", ("key-1",)),),
)


def make_router(
    *replicas: Replica, zone: str = "za", seed: int = 7
) -> ForwardingRouter:
    """Return a router with the configuration and the replicas applied."""
    router = ForwardingRouter(
        availability_zone=zone,
        seed=seed,
        retry_ratio=0.2,
        retry_slack=40.0,
        retry_window_s=10.0,
    )
    router.configure(CONFIG)
    list_replicas(router, *replicas)
    return router


def list_replicas(router: ForwardingRouter, *replicas: Replica) -> None:
    """Replace the registry's entries by these replicas."""
    newest = max(router.registry._offsets.values(), default=0)
    records = tuple(
        RegistryRecord(replica.replica_id, newest + 1 + number, replica)
        for number, replica in enumerate(replicas)
    )
    router.registry.replace(records, 0.0)


def request(route_name: str, **overrides: object) -> CallerRequest:
    """Return a caller's request on one of the routes."""
    values: dict[str, object] = {
        "request_id": "r",
        "host": "desk.example:8000",
        "path": f"/{route_name}/x",
        "method": "POST",
        "api_key": "key-1",
        "timeout_s": 20.0,
        "size": SIZE,
    }
    values.update(overrides)
    return CallerRequest(**values)  # type: ignore[arg-type]
