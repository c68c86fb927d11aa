"""Choose chains of upstreams."""

from persimmonwell.core.routing._chains import ChainRouter, NoRoute

__all__ = ["ChainRouter", "NoRoute"]
