"""Typed exceptions of the package, with their error codes and HTTP statuses."""

from typing import ClassVar

import attrs


class PersimmonwellError(Exception):
    """Base class of all exceptions of this package."""

    code: ClassVar[str] = "internal"
    """Stable error code in responses, for callers and scripts to match."""
    status: ClassVar[int] = 500
    """HTTP status of a response that reports this error."""

    def __str__(self) -> str:
        """Return the message."""
        return self.message()

    def message(self) -> str:
        """Return the human-readable message; subclasses name the value at fault."""
        return self.code


@attrs.frozen
class ChainCoverageError(PersimmonwellError):
    """Raised for a chain whose stages do not cover every layer once, in order."""

    ranges: tuple[tuple[int, int], ...]
    total_layers: int

    code: ClassVar[str] = "chain_coverage"

    def message(self) -> str:
        """Return the layer ranges and the expected number of layers."""
        return f"ranges {self.ranges} do not cover layers 0 to {self.total_layers}"


@attrs.frozen
class Fault:
    """One validation error in a document."""

    path: str
    """JSON pointer to the value, for example /workspaces/a/weight."""
    reason: str


@attrs.frozen
class DocumentError(PersimmonwellError):
    """Raised with all validation errors of a settings or configuration document."""

    faults: tuple[Fault, ...]

    code: ClassVar[str] = "invalid_document"
    status: ClassVar[int] = 422

    def message(self) -> str:
        """Return path and reason of each fault, separated by semicolons."""
        return "; ".join(f"{fault.path}: {fault.reason}" for fault in self.faults)


@attrs.frozen
class BadRequestError(PersimmonwellError):
    """Raised for invalid caller input, before anything is sent upstream."""

    field: str
    reason: str

    code: ClassVar[str] = "bad_request"
    status: ClassVar[int] = 400

    def message(self) -> str:
        """Return the name of the field and why its value is invalid."""
        return f"{self.field}: {self.reason}"


@attrs.frozen
class BodyTooLargeError(PersimmonwellError):
    """Raised for a request body over the configured size limit."""

    limit_bytes: int

    code: ClassVar[str] = "body_too_large"
    status: ClassVar[int] = 413

    def message(self) -> str:
        """Return the size limit in bytes."""
        return f"request body exceeds {self.limit_bytes} bytes"


@attrs.frozen
class UnframedBodyError(PersimmonwellError):
    """Raised for a request body that is not framed by Content-Length."""

    header: str

    code: ClassVar[str] = "length_required"
    status: ClassVar[int] = 411

    def message(self) -> str:
        """Return the unsupported header that frames the body."""
        return f"{self.header} is not supported, send Content-Length"


@attrs.frozen
class UnauthorizedError(PersimmonwellError):
    """Raised for a missing or wrong credential."""

    realm: str

    code: ClassVar[str] = "unauthorized"
    status: ClassVar[int] = 401

    def message(self) -> str:
        """Return the realm that rejected the credential."""
        return f"credential refused for {self.realm}"


@attrs.frozen
class NotFoundError(PersimmonwellError):
    """Raised for a name that is not in the configuration or the route table."""

    kind: str
    name: str

    code: ClassVar[str] = "not_found"
    status: ClassVar[int] = 404

    def message(self) -> str:
        """Return the kind of object and the unknown name."""
        return f"{self.kind} {self.name!r} does not exist"


@attrs.frozen
class OverloadedError(PersimmonwellError):
    """Raised for a request rejected by admission control."""

    rank: str
    reason: str
    retry_after_s: float = 1.0

    code: ClassVar[str] = "overloaded"
    status: ClassVar[int] = 429

    def message(self) -> str:
        """Return the rank of the request and why it was rejected."""
        return f"{self.rank} request refused: {self.reason}"


@attrs.frozen
class DeadlineExceededError(PersimmonwellError):
    """Raised for a deadline that has passed or cannot be met."""

    deadline_ms: float

    code: ClassVar[str] = "deadline_exceeded"
    status: ClassVar[int] = 504

    def message(self) -> str:
        """Return the deadline in milliseconds."""
        return f"deadline of {self.deadline_ms:.0f} ms cannot be met"


@attrs.frozen
class NoRouteError(PersimmonwellError):
    """Raised when no live upstreams can serve a model or service."""

    target: str
    reason: str

    code: ClassVar[str] = "no_route"
    status: ClassVar[int] = 503

    def message(self) -> str:
        """Return the model or service and why it cannot be served."""
        return f"no route to {self.target!r}: {self.reason}"


@attrs.frozen
class UpstreamFailedError(PersimmonwellError):
    """Raised for a request whose upstream failed and that was not retried."""

    upstream_id: str
    reason: str

    code: ClassVar[str] = "upstream_failed"
    status: ClassVar[int] = 502

    def message(self) -> str:
        """Return the id of the upstream and how it failed."""
        return f"upstream {self.upstream_id!r} failed: {self.reason}"


@attrs.frozen
class QuarantinedError(PersimmonwellError):
    """Raised for a request whose digest is quarantined for crashing upstreams."""

    digest: str

    code: ClassVar[str] = "quarantined"
    status: ClassVar[int] = 403

    def message(self) -> str:
        """Return the quarantined request digest."""
        return f"request digest {self.digest} is quarantined"


@attrs.frozen
class ClaimsUnavailableError(PersimmonwellError):
    """Raised for a non-repeatable call whose claim could not be appended to the log."""

    key: str

    code: ClassVar[str] = "claims_unavailable"
    status: ClassVar[int] = 503

    def message(self) -> str:
        """Return the idempotency key and why the call was not sent."""
        return f"claim for key {self.key!r} cannot be recorded; call not sent"


@attrs.frozen
class ClaimLostError(PersimmonwellError):
    """Raised for an idempotency key claimed earlier, with an unknown result."""

    key: str
    holder: str

    code: ClassVar[str] = "claimed_elsewhere"
    status: ClassVar[int] = 409

    def message(self) -> str:
        """Return the idempotency key and the host that holds the claim."""
        return f"key {self.key!r} was claimed by host {self.holder!r}; result unknown"


@attrs.frozen
class KeyReusedError(PersimmonwellError):
    """Raised for an idempotency key that was reused with another request body."""

    key: str

    code: ClassVar[str] = "idempotency_key_reused"
    status: ClassVar[int] = 422

    def message(self) -> str:
        """Return the reused idempotency key."""
        return f"key {self.key!r} was used with another request body"


@attrs.frozen
class ResultNotKeptError(PersimmonwellError):
    """Raised for an idempotency key whose answer was too large to record."""

    key: str
    result_status: int
    """HTTP status of the answer to the first call."""

    code: ClassVar[str] = "result_not_kept"
    status: ClassVar[int] = 409

    def message(self) -> str:
        """Return the idempotency key and the status of the unrecorded answer."""
        return (
            f"call under key {self.key!r} was answered with status "
            f"{self.result_status}; its body was too large to keep"
        )


@attrs.frozen
class ConfigConflictError(PersimmonwellError):
    """Raised for a patch whose base version is not the current version."""

    base_version: int
    current_version: int

    code: ClassVar[str] = "version_conflict"
    status: ClassVar[int] = 409

    def message(self) -> str:
        """Return the base version and the current version."""
        return (
            f"patch is based on version {self.base_version}, "
            f"current version is {self.current_version}"
        )


@attrs.frozen
class PlatformUnavailableError(PersimmonwellError):
    """Raised when a platform service did not answer; the call may have taken effect."""

    service: str
    reason: str

    code: ClassVar[str] = "platform_unavailable"
    status: ClassVar[int] = 503

    def message(self) -> str:
        """Return the platform service and how the call failed."""
        return f"{self.service} did not answer: {self.reason}"


@attrs.frozen
class NotReadyError(PersimmonwellError):
    """Raised by a host that has no configuration yet or is draining."""

    reason: str

    code: ClassVar[str] = "not_ready"
    status: ClassVar[int] = 503

    def message(self) -> str:
        """Return why the host is not ready."""
        return f"host is not ready: {self.reason}"
