"""Fleets, configuration documents and host lists of a given size."""

import random
from typing import Any

from bench.routing_cost import LAYERS, make_links, make_upstreams
from persimmonwell.core import ModelRequest, Rank, Upstream
from persimmonwell.core._fleet import EntryHost, HostList

ZONES = 6
MODELS = 22
TARGET_UPSTREAMS = 1300
TARGET_WORKSPACES = 580
UPSTREAM_SIZES = (40, 400, 1300)
WORKSPACE_SIZES = (10, 100, 580)
HOST_SIZES = (4, 40, 120, 340)


def model_count(upstreams: int) -> int:
    """Return the number of models that gives about 59 replicas per model."""
    return max(1, round(upstreams * MODELS / TARGET_UPSTREAMS))


def build_upstreams(count: int, seed: int) -> tuple[Upstream, ...]:
    """Return upstreams over six availability zones and model_count(count) models."""
    return make_upstreams(count, zones=ZONES, models=model_count(count), seed=seed)


def build_document(workspaces: int, models: int = MODELS) -> dict[str, Any]:
    """Return a configuration document with weights and limits per workspace."""
    return {
        "models": {f"m{number}": {"layers": LAYERS} for number in range(models)},
        "workspaces": {
            f"workspace-{number:03}": {
                "weight": 1 + number % 4,
                "tokens_per_s": 50_000 + number,
                "max_concurrency": 2000,
            }
            for number in range(workspaces)
        },
        "links": {
            f"{link.from_zone}-{link.to_zone}": {
                "from_zone": link.from_zone,
                "to_zone": link.to_zone,
                "tokens_per_s": link.tokens_per_s,
                "latency_s": link.latency_s,
            }
            for link in make_links(ZONES, 20_000.0)
        },
    }


def build_weight_patch(version: int, workspace: int, weight: float) -> dict[str, Any]:
    """Return a patch record that changes the weight of one workspace."""
    merge = {"workspaces": {f"workspace-{workspace:03}": {"weight": weight}}}
    return build_patch_record(version, merge)


def build_patch_record(version: int, merge: dict[str, Any]) -> dict[str, Any]:
    """Return a patch record of the config stream for a base version."""
    return {
        "type": "patch",
        "schema": 1,
        "id": f"{version:032x}",
        "base_version": version,
        "merge": merge,
        "author": "operator",
    }


def build_entry_hosts(count: int) -> tuple[EntryHost, ...]:
    """Return entry hosts over six availability zones."""
    return tuple(
        EntryHost(
            f"host-{n:03}", f"10.0.{n // 250}.{n % 250}:7000", f"z{n % ZONES}", ""
        )
        for n in range(count)
    )


def build_host_list(upstreams: int, hosts: int, seed: int) -> HostList:
    """Return a parsed host list of upstreams and entry hosts."""
    return HostList(0.0, build_upstreams(upstreams, seed), (), build_entry_hosts(hosts))


def build_list_entries(
    upstreams: int, hosts: int, seed: int, engine_address: str | None = None
) -> list[dict[str, Any]]:
    """Return the platform's host list entries as JSON objects.

    With engine_address, all engines have that address.
    """
    engines = [
        {
            "id": u.upstream_id,
            "kind": "engine",
            "address": engine_address or u.address,
            "availability_zone": u.availability_zone,
            "model": u.model,
            "layers": {"start": u.layers.start, "stop": u.layers.stop},
            "tokens_per_s": u.tokens_per_s,
            "slots": u.slots,
        }
        for u in build_upstreams(upstreams, seed)
    ]
    entries = [
        {
            "id": h.host_id,
            "kind": "entry",
            "address": h.address,
            "availability_zone": h.availability_zone,
        }
        for h in build_entry_hosts(hosts)
    ]
    return engines + entries


def build_request(
    number: int, rng: random.Random, *, model: str, workspace: str
) -> ModelRequest:
    """Return a request of 301 tokens in one of 200 prefix families."""
    family = rng.randrange(200)
    return ModelRequest(
        request_id=str(number),
        workspace=workspace,
        rank=Rank(rng.choice((0, 0, 1, 2))),
        model=model,
        digest=str(number),
        prompt_tokens=400,
        max_tokens=301,
        deadline_s=1e9,
        prefix_blocks=tuple(family * 100 + block for block in range(16)),
    )
