"""Configuration documents and settings files in the platform's format, for tests."""

import random
import socket
from typing import Any

HOST = "desk.example"
LAYERS = 8
API_KEY = "key-1"


def free_port() -> int:
    """Return an even port that is free together with the next one, for TCP and UDP.

    It lies below the ephemeral port range, so that no outgoing connection can take it
    before it is bound.
    """
    while True:
        port = random.randrange(20_000, 30_000, 2)
        try:
            for number in (port, port + 1):
                socket.create_server(("127.0.0.1", number)).close()
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                    datagrams.bind(("127.0.0.1", number))
        except OSError:
            continue
        return port


def node_file(*, ip: str, ports: dict[str, int], store: str, **values: str) -> str:
    """Return the text of a host's settings file; ports are front, ready and peers."""
    fields = {
        "node": "host-1",
        "ip": ip,
        "zone": "za",
        "listen.front": f"{ip}:{ports['front']}",
        "listen.ready_addr": f"{ip}:{ports['ready']}",
        "internal_ports": f"{ports['peers']},{ports['peers'] + 9}",
        "platform.address": store,
        **values,
    }
    return "\n".join(f"{name}={value}" for name, value in fields.items())


def free_ports() -> dict[str, int]:
    """Return distinct free ports for the front, ready and peers listeners."""
    ports: dict[str, int] = {}
    for name in ("front", "ready", "peers"):
        while (port := free_port()) in ports.values():
            pass
        ports[name] = port
    return ports


def route(name: str, kind: str, service: str, **values: Any) -> dict[str, Any]:
    """Return a route of the operators' configuration document."""
    base = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "auth_exempt": False,
        "sticky": kind == "stream",
        "stream_resume": kind == "stream",
    }
    return {**base, **values}


def config(version: int, **values: Any) -> dict[str, Any]:
    """Return an operators' configuration document with the given version."""
    engine = {
        "slots": 8,
        "kv_token_bytes": 8000,
        "step_ms": 0.5,
        "per_seq_ms": 0.01,
        "context_per_k": 0.01,
        "read_per_s": 100_000.0,
        "usual": {"prompt": 100, "answer": 20},
        "models": [{"name": "m", "load_s": 1.0}],
        "layers": LAYERS,
        "layer_mb": 100.0,
        "kinds": [{"name": "big", "mb": 2000.0, "pace": 1.0, "read_x": 1.0}],
    }
    base = {
        "version": version,
        "routes": [
            route("talk", "stream", "model"),
            route("fixed", "stream", "model", stream_resume=False),
            route("look", "safe", "desk"),
            route("book", "unsafe", "desk", max_attempts=1),
            route("short", "safe", "desk", timeout_ms=400),
        ],
        "services": [
            {"name": "model", "health_path": "/health", "engine": engine},
            {"name": "desk", "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 500,
            "idle_timeout_ms": 2000,
        },
        "tenants": [{"name": "range", "api_keys": [API_KEY]}],
    }
    return {**base, **values}
