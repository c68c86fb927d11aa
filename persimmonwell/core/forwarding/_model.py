"""Data model: routes, services, replicas and callers' requests."""

from enum import Enum

import attrs


class RouteKind(Enum):
    """Retry semantics of a route: idempotent, at most once, or an event stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """Service with its weight in a route's traffic split."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Route of the configuration, matched by host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    latency_objective_s: float
    """Latency objective of the answer, or of the first event of a stream."""
    priority: int
    """Priority of the requests; 0 is the most urgent."""
    max_attempts: int
    """Distinct upstreams to which one request may be sent."""
    is_public: bool = False
    is_resumable: bool = False
    gap_objective_s: float | None = None
    """Objective for the gap between two events of a stream."""

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may be attempted again after it may have run."""
        return self.kind is RouteKind.SAFE or self.is_resumable


@attrs.frozen
class AcceleratorKind:
    """Memory and speed of one kind of accelerator."""

    memory_mb: float
    step_factor: float
    """Multiplies the duration of the engine's decode steps."""
    prefill_factor: float
    """Multiplies the duration of the engine's prefill."""


@attrs.frozen
class EngineSpec:
    """Cost model of a service's engines; times are those of the base accelerator."""

    slots: int
    layers: int
    layer_mb: float
    kv_token_bytes: float
    """KV cache of one token over all layers."""
    step_ms: float
    step_ms_per_sequence: float
    """Added to a decode step for each request in the batch."""
    step_ms_per_1k_context: float
    """Added to a decode step for each 1,000 tokens of a request's context."""
    prefill_tokens_per_s: float
    typical_prompt_tokens: float
    typical_output_tokens: float
    hop_delay_ms: float
    """Network delay of one hop within an availability zone."""
    accelerators: tuple[tuple[str, AcceleratorKind], ...]
    load_s: float = 0.0
    """Time to load the weights of all layers into one replica."""

    def load_time_s(self, layers: "HeldLayers") -> float:
        """Return the time to load the weights of a range of layers."""
        return self.load_s * layers.count / max(1, self.layers)

    @property
    def kv_mb_per_layer_token(self) -> float:
        """Return the KV cache of one token in one layer, in megabytes."""
        return self.kv_token_bytes / self.layers / 1e6

    def accelerator(self, name: str) -> AcceleratorKind | None:
        """Return an accelerator kind by name, None for an unknown one."""
        return dict(self.accelerators).get(name)


@attrs.frozen
class ServiceSpec:
    """Service of the configuration; engine is None where no model is served."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class Tenant:
    """Workspace with its API keys and its priority."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    can_be_sent: bool = True
    """Whether an upstream can be told the exact name; if not, requests are refused."""


@attrs.frozen
class CallerLimits:
    """Size limits and timeouts of callers' connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class ForwardingConfig:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    tenants: tuple[Tenant, ...] | None = None
    """Workspaces; None where requests need no key. With none left, no key is valid."""
    limits: CallerLimits = attrs.field(factory=CallerLimits)

    @property
    def requires_keys(self) -> bool:
        """Return whether a request needs a key, which may be held by no tenant."""
        return self.tenants is not None


@attrs.frozen
class HeldLayers:
    """Range of model layers that a replica holds, the end exclusive."""

    start: int
    stop: int

    @property
    def count(self) -> int:
        """Return the number of layers in the range."""
        return self.stop - self.start


@attrs.frozen
class Replica:
    """Entry of one replica in the service registry."""

    replica_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False
    started_at_ms: int = 0
    """Unix time of the process start, which identifies the incarnation."""
    accelerator: str = ""
    layers: HeldLayers | None = None
    is_busy: bool = False
    """Whether a placement order is in progress."""
    heartbeat: int | None = attrs.field(default=None, eq=False)
    """Count of the heartbeat since the start, None if unknown."""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the id and the start time, which differ after a restart."""
        return (self.replica_id, self.started_at_ms)


@attrs.frozen
class GenerationSize:
    """Token counts of a request to a model."""

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None
    """The caller's estimate, which is often inaccurate."""

    def total_tokens(self, typical_output_tokens: float) -> int:
        """Return the tokens of the prompt and of the expected output."""
        output = self.expected_output_tokens or typical_output_tokens
        return self.prompt_tokens + int(min(self.max_output_tokens, output))

    def expected_tokens(self, typical_output_tokens: float) -> int:
        """Return the tokens whose KV cache the request occupies on average.

        The output grows from zero, so half of it counts. Reserving the maximum of
        each request would leave half of the memory unused at full load.
        """
        output = self.expected_output_tokens or typical_output_tokens
        return self.prompt_tokens + int(min(self.max_output_tokens, output) / 2)


@attrs.frozen
class CallerRequest:
    """Caller's request as far as forwarding decisions need it."""

    request_id: str
    host: str
    path: str
    method: str
    api_key: str | None = None
    timeout_s: float | None = None
    """Time that the caller waits, counted from the arrival."""
    last_event_id: int | None = None
    digest: str = ""
    """Digest of path, caller, shared parts and body; empty if unknown."""
    shared_parts: tuple[str, ...] = ()
    """Ids of the prompt's parts that other requests may have too."""
    size: GenerationSize | None = None


@attrs.frozen
class ReplicaReport:
    """Replica's report of its own state, a few hundred milliseconds old."""

    orders_accepted: int
    kv_used: int
    """Layer-tokens in the KV cache that cannot be evicted."""
    kv_total: int
    """Layer-tokens that fit into the memory beside the weights."""
    slowness: float = 1.0
    """Duration of the replica's steps relative to its accelerator kind's normal one."""
    is_busy: bool = False
    """Whether a placement order is in progress."""
