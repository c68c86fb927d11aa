"""Read the platform's list of live and leaving hosts."""

import json
from typing import Any

import attrs
import urllib3

from persimmonwell._exceptions import DocumentError, PlatformUnavailableError
from persimmonwell.core._fleet import HostList, parse_host_list


class HostListClient:
    """Hold the connection to the host list."""

    def __init__(self, *, url: str, timeout_s: float) -> None:
        self._url = url
        self._timeout = urllib3.Timeout(total=timeout_s)
        self._pool = urllib3.PoolManager(maxsize=1, retries=False)
        self._last_hosts: object = None
        self._last: HostList | None = None

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def read(self) -> HostList:
        """Read the list; raise PlatformUnavailableError when it cannot be had."""
        try:
            response = self._pool.request(
                "GET", f"{self._url}/hosts", timeout=self._timeout
            )
            if response.status != 200:
                reason = f"status {response.status}"
                raise PlatformUnavailableError("host-list", reason)
            return self._parse(json.loads(response.data))
        except urllib3.exceptions.HTTPError as error:
            reason = type(error).__name__
            raise PlatformUnavailableError("host-list", reason) from error
        except (ValueError, DocumentError) as error:
            raise PlatformUnavailableError("host-list", str(error)) from error

    def _parse(self, document: Any) -> HostList:
        """Check a list only when its hosts changed.

        Checking 1,640 entries takes 20 ms, which each second would be most of
        what control may cost.
        """
        hosts = document.get("hosts") if isinstance(document, dict) else None
        if self._last is not None and hosts and hosts == self._last_hosts:
            as_of = parse_host_list({**document, "hosts": []}).as_of_s
            return attrs.evolve(self._last, as_of_s=as_of)
        self._last = parse_host_list(document)
        self._last_hosts = hosts
        return self._last
