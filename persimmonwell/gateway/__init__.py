"""Forward callers' requests to upstreams on an event loop."""

from persimmonwell.gateway._host import GatewayHost
from persimmonwell.gateway._main import main

__all__ = ["GatewayHost", "main"]
