"""Define every typed error of the package; each carries its data."""

from typing import ClassVar

import attrs


class PersimmonwellError(Exception):
    """Be the base of all errors of this package."""

    code: ClassVar[str] = "internal"
    """Stable identifier shown to callers and scripts."""
    status: ClassVar[int] = 500
    """HTTP status of an answer that reports this error."""

    def __str__(self) -> str:
        """Return the message built from the error's data."""
        return self.message()

    def message(self) -> str:
        """Return a sentence that names the value and where it stands."""
        return self.code


@attrs.frozen
class ChainCoverageError(PersimmonwellError):
    """Report a chain that does not cover every layer once, in order."""

    ranges: tuple[tuple[int, int], ...]
    total_layers: int

    code: ClassVar[str] = "chain_coverage"

    def message(self) -> str:
        """Return the ranges and the expected number of layers."""
        return f"ranges {self.ranges} do not cover layers 0 to {self.total_layers}"


@attrs.frozen
class Fault:
    """Name one fault in a document and the path at which it stands."""

    path: str
    """JSON pointer, for example /workspaces/a/weight."""
    reason: str


@attrs.frozen
class DocumentError(PersimmonwellError):
    """Report every fault found in a settings or configuration document."""

    faults: tuple[Fault, ...]

    code: ClassVar[str] = "invalid_document"
    status: ClassVar[int] = 422

    def message(self) -> str:
        """Return one line per fault."""
        return "; ".join(f"{fault.path}: {fault.reason}" for fault in self.faults)


@attrs.frozen
class BadRequestError(PersimmonwellError):
    """Report caller input that is refused before anything is sent upstream."""

    field: str
    reason: str

    code: ClassVar[str] = "bad_request"
    status: ClassVar[int] = 400

    def message(self) -> str:
        """Return the field and the reason."""
        return f"{self.field}: {self.reason}"


@attrs.frozen
class BodyTooLargeError(PersimmonwellError):
    """Report a request body over the configured limit."""

    limit_bytes: int

    code: ClassVar[str] = "body_too_large"
    status: ClassVar[int] = 413

    def message(self) -> str:
        """Return the limit."""
        return f"request body exceeds {self.limit_bytes} bytes"


@attrs.frozen
class UnframedBodyError(PersimmonwellError):
    """Report a request body without Content-Length."""

    header: str

    code: ClassVar[str] = "length_required"
    status: ClassVar[int] = 411

    def message(self) -> str:
        """Return the header that frames the body."""
        return f"{self.header} is not supported, send Content-Length"


@attrs.frozen
class UnauthorizedError(PersimmonwellError):
    """Report a missing or wrong credential."""

    realm: str

    code: ClassVar[str] = "unauthorized"
    status: ClassVar[int] = 401

    def message(self) -> str:
        """Return the realm that refused the credential."""
        return f"credential refused for {self.realm}"


@attrs.frozen
class NotFoundError(PersimmonwellError):
    """Report a name that is not in the configuration or the route table."""

    kind: str
    name: str

    code: ClassVar[str] = "not_found"
    status: ClassVar[int] = 404

    def message(self) -> str:
        """Return the kind and the name."""
        return f"{self.kind} {self.name!r} does not exist"


@attrs.frozen
class OverloadedError(PersimmonwellError):
    """Report a request refused by admission control."""

    rank: str
    reason: str
    retry_after_s: float = 1.0

    code: ClassVar[str] = "overloaded"
    status: ClassVar[int] = 429

    def message(self) -> str:
        """Return the rank and the reason."""
        return f"{self.rank} request refused: {self.reason}"


@attrs.frozen
class DeadlineExceededError(PersimmonwellError):
    """Report a deadline that cannot be met or has passed."""

    deadline_ms: float

    code: ClassVar[str] = "deadline_exceeded"
    status: ClassVar[int] = 504

    def message(self) -> str:
        """Return the deadline."""
        return f"deadline of {self.deadline_ms:.0f} ms cannot be met"


@attrs.frozen
class NoRouteError(PersimmonwellError):
    """Report that the live upstreams do not cover a model or service."""

    target: str
    reason: str

    code: ClassVar[str] = "no_route"
    status: ClassVar[int] = 503

    def message(self) -> str:
        """Return the target and the reason."""
        return f"no route to {self.target!r}: {self.reason}"


@attrs.frozen
class UpstreamFailedError(PersimmonwellError):
    """Report a request whose upstream failed and that was not retried."""

    upstream_id: str
    reason: str

    code: ClassVar[str] = "upstream_failed"
    status: ClassVar[int] = 502

    def message(self) -> str:
        """Return the upstream and the reason."""
        return f"upstream {self.upstream_id!r} failed: {self.reason}"


@attrs.frozen
class QuarantinedError(PersimmonwellError):
    """Report a request whose digest is quarantined after losing upstreams."""

    digest: str

    code: ClassVar[str] = "quarantined"
    status: ClassVar[int] = 403

    def message(self) -> str:
        """Return the digest."""
        return f"request digest {self.digest} is quarantined"


@attrs.frozen
class ClaimsUnavailableError(PersimmonwellError):
    """Report a non-repeatable call refused because the log is unreachable."""

    key: str

    code: ClassVar[str] = "claims_unavailable"
    status: ClassVar[int] = 503

    def message(self) -> str:
        """Return the key and why the call was not sent."""
        return f"claim for key {self.key!r} cannot be recorded; call not sent"


@attrs.frozen
class ClaimLostError(PersimmonwellError):
    """Report a key claimed earlier whose result is not known here."""

    key: str
    holder: str

    code: ClassVar[str] = "claimed_elsewhere"
    status: ClassVar[int] = 409

    def message(self) -> str:
        """Return the key and the holder of the winning claim."""
        return f"key {self.key!r} was claimed by host {self.holder!r}; result unknown"


@attrs.frozen
class KeyReusedError(PersimmonwellError):
    """Report an idempotency key sent again with another body."""

    key: str

    code: ClassVar[str] = "idempotency_key_reused"
    status: ClassVar[int] = 422

    def message(self) -> str:
        """Return the key."""
        return f"key {self.key!r} was used with another request body"


@attrs.frozen
class ResultNotKeptError(PersimmonwellError):
    """Report a key whose call ended but whose answer was too large to record."""

    key: str
    result_status: int
    """HTTP status of the answer that the first caller received."""

    code: ClassVar[str] = "result_not_kept"
    status: ClassVar[int] = 409

    def message(self) -> str:
        """Return the key and the status of the lost answer."""
        return (
            f"call under key {self.key!r} was answered with status "
            f"{self.result_status}; its body was too large to keep"
        )


@attrs.frozen
class ConfigConflictError(PersimmonwellError):
    """Report a patch whose base version is not the current version."""

    base_version: int
    current_version: int

    code: ClassVar[str] = "version_conflict"
    status: ClassVar[int] = 409

    def message(self) -> str:
        """Return both versions."""
        return (
            f"patch is based on version {self.base_version}, "
            f"current version is {self.current_version}"
        )


@attrs.frozen
class PlatformUnavailableError(PersimmonwellError):
    """Report a platform service that did not answer; the effect is unknown."""

    service: str
    reason: str

    code: ClassVar[str] = "platform_unavailable"
    status: ClassVar[int] = 503

    def message(self) -> str:
        """Return the service and the reason."""
        return f"{self.service} did not answer: {self.reason}"


@attrs.frozen
class NotReadyError(PersimmonwellError):
    """Report a host that has no configuration yet or is draining."""

    reason: str

    code: ClassVar[str] = "not_ready"
    status: ClassVar[int] = 503

    def message(self) -> str:
        """Return the reason."""
        return f"host is not ready: {self.reason}"
