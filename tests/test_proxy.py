"""Tests of the proxy that injects faults into connections."""

import resource
import socket
from collections.abc import Iterator

import pytest

from standins.proxy import FaultyProxy

DESCRIPTORS = 1100
"""More than select() takes."""


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    """Keep so many descriptors open that later ones are above 1,023."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    soft_limit = max(limits[0], DESCRIPTORS + 100)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, limits[1]))
    sockets = [socket.socket() for _ in range(DESCRIPTORS)]
    yield
    for each in sockets:
        each.close()
    resource.setrlimit(resource.RLIMIT_NOFILE, limits)


@pytest.mark.usefixtures("many_descriptors")
def test_proxy_relays_in_a_process_with_many_descriptors() -> None:
    """Guards against hosts without a store in a soak of a hundred processes."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()[:2]
        proxy = FaultyProxy(f"{host}:{port}")
        proxy.start()
        proxy_host, _, proxy_port = proxy.address.rpartition(":")
        caller = socket.create_connection((proxy_host, int(proxy_port)), timeout=2.0)
        server, _ = listener.accept()
        with caller, server:
            server.settimeout(2.0)
            caller.sendall(b"hello")
            assert server.recv(10) == b"hello"
            server.sendall(b"world")
            assert caller.recv(10) == b"world"
            proxy.mode = "reset"
            assert caller.recv(10) == b""
        proxy.close()
