"""Send operators' calls to one entry host."""

import json
from typing import Any

import attrs
import urllib3

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4

STATUS_EXITS = {400: EXIT_BAD_INPUT, 422: EXIT_BAD_INPUT, 409: EXIT_CONFLICT}


@attrs.frozen
class OperatorAnswer:
    """Hold the answer of one entry host."""

    status: int
    document: Any

    @property
    def exit_code(self) -> int:
        """Return the exit status that a command reports for this answer."""
        if 200 <= self.status < 300:
            return EXIT_OK
        return STATUS_EXITS.get(self.status, EXIT_REFUSED)


@attrs.frozen
class UnreachableError(Exception):
    """Report a host that did not answer."""

    address: str
    reason: str


@attrs.frozen
class OperatorClient:
    """Hold the address and credential of one entry host."""

    address: str
    """Base URL or numeric IP and port."""
    token: str | None
    timeout_s: float

    def call(self, method: str, path: str, document: Any = None) -> OperatorAnswer:
        """Send one call; raise UnreachableError when no answer comes."""
        base = self.address if "://" in self.address else f"http://{self.address}"
        headers = {"Content-Type": "application/json"}
        if self.token:
            headers["Authorization"] = f"Bearer {self.token}"
        body = json.dumps(document) if document is not None else None
        try:
            response = urllib3.request(
                method,
                base.rstrip("/") + path,
                body=body,
                headers=headers,
                timeout=self.timeout_s,
                retries=False,
            )
            return OperatorAnswer(response.status, json.loads(response.data))
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise UnreachableError(self.address, type(error).__name__) from error
