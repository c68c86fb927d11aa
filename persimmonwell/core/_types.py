"""Data types shared by all core packages."""

from enum import IntEnum, StrEnum

import attrs

from persimmonwell._exceptions import ChainCoverageError


class Rank(IntEnum):
    """Priority of a request; a lower value is more urgent."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2

    @classmethod
    def parse(cls, text: str) -> "Rank | None":
        """Return the rank with this name, ignoring case, or None."""
        return cls.__members__.get(text.strip().upper())


class Outcome(StrEnum):
    """What is known about the execution of a request."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


class UpstreamRole(StrEnum):
    """Phase of generation that an engine serves."""

    ANY = "any"
    PREFILL = "prefill"
    DECODE = "decode"


@attrs.frozen(order=True)
class LayerRange:
    """Half-open range of model layers that one stage runs."""

    start: int
    stop: int

    @property
    def size(self) -> int:
        """Return the number of layers."""
        return self.stop - self.start


@attrs.frozen
class Stage:
    """Stage of a chain: one upstream and its layer range."""

    upstream_id: str
    address: str
    """IP address and port."""
    layers: LayerRange


@attrs.frozen
class Chain:
    """Stages that cover every layer of a model once, in order."""

    stages: tuple[Stage, ...]
    prefill_stages: tuple[Stage, ...] = ()
    """Stages for the prefill phase if it runs on other upstreams, else empty."""

    def check_coverage(self, total_layers: int) -> None:
        """Raise ChainCoverageError unless the stages cover 0..total_layers once."""
        for stages in (self.stages, self.prefill_stages):
            if not stages and stages is self.prefill_stages:
                continue
            ranges = tuple((stage.layers.start, stage.layers.stop) for stage in stages)
            if not covers_all_layers(ranges, total_layers):
                raise ChainCoverageError(ranges=ranges, total_layers=total_layers)

    @property
    def upstream_ids(self) -> tuple[str, ...]:
        """Return the ids of all upstreams of the chain, prefill stages first."""
        return tuple(s.upstream_id for s in (*self.prefill_stages, *self.stages))


def covers_all_layers(ranges: tuple[tuple[int, int], ...], total_layers: int) -> bool:
    """Return whether the ranges, in this order, cover 0..total_layers exactly once."""
    boundary = 0
    for start, stop in ranges:
        if start != boundary or stop <= start:
            return False
        boundary = stop
    return boundary == total_layers and total_layers > 0


@attrs.frozen
class Upstream:
    """Engine replica that holds a layer range of one model."""

    upstream_id: str
    address: str
    availability_zone: str
    model: str
    layers: LayerRange
    accelerator: str = "generic"
    role: UpstreamRole = UpstreamRole.ANY
    slots: int = 16
    """Maximum number of requests in one batch of the engine."""
    tokens_per_s: float = 1000.0
    """Decode throughput over the whole batch, tokens per second."""
    version: str = "1"
    incarnation: str = ""
    leaving: bool = False
    checks_fencing: bool = False


@attrs.frozen
class ServiceReplica:
    """Replica of a plain service."""

    replica_id: str
    address: str
    availability_zone: str
    service: str
    incarnation: str = ""
    leaving: bool = False


@attrs.frozen
class LinkCapacity:
    """Capacity of the link between two availability zones."""

    from_zone: str
    to_zone: str
    tokens_per_s: float
    """Throughput in activations per second; each token is one activation."""
    latency_s: float


@attrs.frozen
class InflightCount:
    """Number of requests that one host has in flight at one upstream."""

    upstream_id: str
    requests: int


@attrs.frozen
class ModelRequest:
    """Model request, as far as admission and routing need it."""

    request_id: str
    workspace: str
    rank: Rank
    model: str
    digest: str
    """Digest of the request body, used to recognize repeats of a request."""
    prompt_tokens: int
    max_tokens: int
    deadline_s: float
    """Time on the host's monotonic clock by which the answer must be complete."""
    prefix_blocks: tuple[int, ...] = ()
    """Hashes of the successive fixed-size blocks of the prompt."""

    @property
    def estimated_tokens(self) -> int:
        """Return the tokens to charge before the actual number is known."""
        return self.prompt_tokens + self.max_tokens


@attrs.frozen
class ServiceCall:
    """Call to a plain service, as far as admission and routing need it."""

    request_id: str
    workspace: str
    rank: Rank
    service: str
    digest: str
    deadline_s: float
    """Time on the host's monotonic clock by which the answer must be complete."""
    repeatable: bool
    idempotency_key: str | None = None
