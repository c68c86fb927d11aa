"""Talk to the platform's log service and host list."""

from persimmonwell.platform._host_list import HostListClient
from persimmonwell.platform._log_client import LogClient, StreamSlice

__all__ = ["HostListClient", "LogClient", "StreamSlice"]
