"""HTTP client for the operators' port of entry hosts."""

import json
import queue
import threading
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Generic, TypeVar

import attrs
import urllib3

from persimmonwell.cli._exits import EXIT_OK, exit_status_for

T = TypeVar("T")

DEADLINE_GRACE_S = 0.5
"""Grace after the deadline, which lets socket timeouts end the calls first."""


@attrs.frozen
class UnreachableError(Exception):
    """Raised for a host that gave no usable answer."""

    address: str
    reason: str

    def message(self) -> str:
        """Return the error message, with the address."""
        return f"{self.address} did not answer: {self.reason}"


@attrs.frozen
class OperatorAnswer:
    """Answer of one entry host."""

    address: str
    status: int
    document: dict[str, Any]

    @property
    def exit_status(self) -> int:
        """Return the exit status of a command with this answer."""
        return exit_status_for(self.status)

    @property
    def succeeded(self) -> bool:
        """Return whether the host carried out the call."""
        return self.exit_status == EXIT_OK

    @property
    def host(self) -> str:
        """Return the host's id, or its address if the answer has no id."""
        return str(self.document.get("host") or self.address)

    def refusal_reason(self) -> str:
        """Return the host's error message, its error code, or the HTTP status."""
        error = self.document.get("error")
        if not isinstance(error, dict):
            return f"status {self.status}"
        return str(error.get("message") or error.get("code") or self.status)


class RefusedError(Exception):
    """Raised for a host that refused a call; has its answer."""

    def __init__(self, answer: OperatorAnswer) -> None:
        super().__init__(answer.refusal_reason())
        self.answer = answer


@attrs.frozen
class OperatorClient:
    """Client with the credentials and the deadline of one command."""

    token: str | None
    ca_file: str | None
    timeout_s: float
    deadline_s: float
    """Deadline of the command on the monotonic clock, seconds."""

    @property
    def remaining_s(self) -> float:
        """Return the time until the deadline, seconds."""
        return max(0.0, self.deadline_s - time.monotonic())

    def url(self, address: str) -> str:
        """Return the base URL of an address; a CA file implies TLS."""
        scheme = "https" if self.ca_file else "http"
        base = address if "://" in address else f"{scheme}://{address}"
        return base.rstrip("/")

    def send_request(
        self, address: str, method: str, path: str, document: Any = None
    ) -> OperatorAnswer:
        """Send one call and return the answer; raise UnreachableError without one."""
        answers = self.send_to_all([address], method, path, document)
        if answers.failures:
            raise answers.failures[0]
        return answers.results[0]

    def request_document(
        self,
        address: str,
        method: str,
        path: str,
        document: Any = None,
        *,
        fields: Mapping[str, type] | None = None,
    ) -> dict[str, Any]:
        """Send one call and return the JSON document of a successful answer.

        Raise RefusedError for an error status, and UnreachableError without an answer
        or when a field of the given type is missing.
        """
        answer = self.send_request(address, method, path, document)
        if not answer.succeeded:
            raise RefusedError(answer)
        for name, kind in (fields or {}).items():
            if not isinstance(answer.document.get(name), kind):
                raise UnreachableError(address, f"the answer has no field {name}")
        return answer.document

    def send_to_all(
        self, addresses: Sequence[str], method: str, path: str, document: Any = None
    ) -> "GatherResult[OperatorAnswer]":
        """Send one call to several hosts concurrently, until the deadline."""

        def call(address: str) -> OperatorAnswer:
            return self._call(address, method, path, document)

        return gather(addresses, call, timeout_s=self.remaining_s + DEADLINE_GRACE_S)

    def _call(
        self, address: str, method: str, path: str, document: Any
    ) -> OperatorAnswer:
        headers = {"Content-Type": "application/json"}
        if self.token:
            headers["Authorization"] = f"Bearer {self.token}"
        body = json.dumps(document) if document is not None else None
        try:
            with urllib3.PoolManager(retries=False, ca_certs=self.ca_file) as pool:
                response = pool.request(
                    method,
                    self.url(address) + path,
                    body=body,
                    headers=headers,
                    timeout=max(0.01, self.remaining_s),
                    redirect=False,
                )
                document = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise UnreachableError(address, describe_error(error)) from error
        except (ValueError, RecursionError) as error:
            raise UnreachableError(address, "the answer is not JSON") from error
        if not isinstance(document, dict):
            raise UnreachableError(address, "the answer is not a JSON object")
        return OperatorAnswer(address, response.status, document)


@attrs.frozen
class GatherResult(Generic[T]):
    """Results of concurrent calls, and the failures of the other ones."""

    results: tuple[T, ...]
    failures: tuple[UnreachableError, ...]


def gather(
    addresses: Sequence[str], call: Callable[[str], T], *, timeout_s: float
) -> GatherResult[T]:
    """Run a call for each address in its own thread, until the timeout.

    The threads are daemon threads: a host that sends its answer byte by byte never
    hits a socket timeout, and must not keep the command from ending.
    """
    done: queue.SimpleQueue[tuple[str, T | UnreachableError]] = queue.SimpleQueue()

    def run(address: str) -> None:
        try:
            done.put((address, call(address)))
        except UnreachableError as error:
            done.put((address, error))

    for address in addresses:
        threading.Thread(target=run, args=(address,), daemon=True).start()
    timed_out = UnreachableError("", f"no answer in {timeout_s:.1f} s")
    outcomes: dict[str, T | UnreachableError] = {}
    deadline_s = time.monotonic() + timeout_s
    while len(outcomes) < len(set(addresses)):
        try:
            wait_s = max(0.0, deadline_s - time.monotonic())
            address, result = done.get(timeout=wait_s)
        except queue.Empty:
            break
        outcomes[address] = result
    ordered = [
        outcomes.get(address, attrs.evolve(timed_out, address=address))
        for address in dict.fromkeys(addresses)
    ]
    failures = tuple(item for item in ordered if isinstance(item, UnreachableError))
    results = tuple(i for i in ordered if not isinstance(i, UnreachableError))
    return GatherResult(results, failures)


def describe_error(error: Exception) -> str:
    """Return a short description of why a call failed."""
    exceptions = urllib3.exceptions
    if isinstance(error, exceptions.NewConnectionError):
        return "connection refused or no route"
    if isinstance(error, exceptions.TimeoutError):
        return "no answer in time"
    if isinstance(error, exceptions.SSLError):
        return f"TLS failed: {error}"
    if isinstance(error, exceptions.ProtocolError):
        return "the connection broke"
    if isinstance(error, OSError) and error.strerror:
        return f"{error.filename or ''} {error.strerror}".strip()
    return type(error).__name__
