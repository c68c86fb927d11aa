"""Forwarding host: an asyncio gateway between callers and upstreams."""

from persimmonwell.gateway._host import GatewayHost
from persimmonwell.gateway._main import main

__all__ = ["GatewayHost", "main"]
