"""Builders of a pool of upstreams and of requests that choose from it."""

import random

from persimmonwell.core.forwarding import GenerationSize, RegistryRecord, Replica
from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._upstreams import UpstreamPool
from tests.core.forwarding.fleets import CONFIG, request


def make_pool(
    *replicas: Replica, pool: UpstreamPool | None = None, zone: str = "za"
) -> UpstreamPool:
    """Return a pool, a new one by default, whose registry lists these replicas."""
    pool = pool or UpstreamPool(availability_zone=zone, rng=random.Random(3))
    newest = pool.registry.newest_offset
    pool.registry.replace(
        tuple(
            RegistryRecord(replica.replica_id, newest + 1 + number, replica)
            for number, replica in enumerate(replicas)
        ),
        0.0,
    )
    return pool


def make_request(
    size: GenerationSize, key: int = 1, route_name: str = "urgent"
) -> ActiveRequest:
    """Return a request without an attempt on one of the test routes."""
    route = next(route for route in CONFIG.routes if route.name == route_name)
    service_name = route.services[0].service
    service = next(item for item in CONFIG.services if item.name == service_name)
    return ActiveRequest(
        key=key,
        request=request(route_name, size=size),
        route=route,
        service=service,
        tenant=None,
        arrived_s=0.0,
        deadline_s=20.0,
    )
