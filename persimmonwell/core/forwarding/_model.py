"""Describe routes, services, replicas and requests that hosts forward."""

from enum import Enum

import attrs


class RouteKind(Enum):
    """Say how often a request of a route may run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """Give a service its share of a route's requests."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Hold one route of the configuration."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    """Time to the answer, or to the first event of a stream."""
    priority: int
    """Rank of the requests; 0 is the most urgent."""
    max_attempts: int
    """Upstreams to which one caller's attempt may be sent."""
    is_public: bool = False
    is_resumable: bool = False
    gap_objective_s: float | None = None
    """Longest pause between events of an answer that is on time."""

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.is_resumable


@attrs.frozen
class AcceleratorKind:
    """Describe one kind of accelerator that holds layers."""

    memory_mb: float
    step_factor: float
    """Duration of a decode step in relation to the engine's base figures."""
    read_factor: float
    """Duration of prefill in relation to the engine's base figures."""


@attrs.frozen
class EngineSpec:
    """Give the speed and size of a service's model engines."""

    slots: int
    layers: int
    layer_mb: float
    kv_token_bytes: float
    """Bytes of KV cache that a token takes over all layers."""
    step_ms: float
    sequence_ms: float
    """Added to a step for each request in the batch."""
    context_ms: float
    """Added to a step for each 1,000 tokens of context of a request."""
    read_tokens_per_s: float
    usual_prompt: float
    usual_answer: float
    stage_delay_ms: float
    """Network delay of one hop inside an availability zone."""
    accelerators: tuple[tuple[str, AcceleratorKind], ...]
    load_s: float = 0.0
    """Time to load the weights of all layers onto one replica."""

    def layers_load_s(self, layers: "HeldLayers") -> float:
        """Return the time to load a range of layers."""
        return self.load_s * layers.count / max(1, self.layers)

    @property
    def layer_token_mb(self) -> float:
        """Return the memory of one token's KV cache in one layer."""
        return self.kv_token_bytes / self.layers / 1e6

    def accelerator(self, name: str) -> AcceleratorKind | None:
        """Return a kind by name, None for an unknown one."""
        return dict(self.accelerators).get(name)


@attrs.frozen
class ServiceSpec:
    """Hold one service of the configuration."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@attrs.frozen
class Tenant:
    """Name the workspace that owns keys."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Bound what a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class ForwardingConfig:
    """Hold one version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    tenants: tuple[Tenant, ...] = ()
    limits: CallerLimits = attrs.field(factory=CallerLimits)


@attrs.frozen
class HeldLayers:
    """Name the layers that a replica holds, the end exclusive."""

    start: int
    stop: int

    @property
    def count(self) -> int:
        """Return how many layers are held."""
        return self.stop - self.start


@attrs.frozen
class Replica:
    """Hold what the service registry says of one upstream."""

    replica_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool = False
    born_ms: int = 0
    """Unix time of the start; another value means another incarnation."""
    accelerator: str = ""
    layers: HeldLayers | None = None
    is_busy: bool = False
    """Whether an order is in progress."""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what tells two starts apart."""
        return (self.replica_id, self.born_ms)


@attrs.frozen
class GenerationSize:
    """State the tokens of a request to a model."""

    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None
    """The caller's estimate, often far off."""

    def expected_tokens(self, usual_answer: float) -> int:
        """Return the tokens whose KV cache the request takes on average.

        Its output grows from nothing, so half of it counts; reserving the most that
        each request may take left half of the memory unused at full load.
        """
        output = self.expected_output_tokens or usual_answer
        return self.prompt_tokens + int(min(self.max_output_tokens, output) / 2)


@attrs.frozen
class CallerRequest:
    """Hold what decisions need of one request."""

    request_id: str
    host: str
    path: str
    method: str
    api_key: str | None = None
    deadline_s: float | None = None
    """Time that the caller waits, from its arrival."""
    last_event_id: str | None = None
    digest: str = ""
    """Equal for requests with the same path, caller and body; empty if unknown."""
    size: GenerationSize | None = None


@attrs.frozen
class ReplicaReport:
    """Hold what a replica says of itself, as of some hundred ms ago."""

    orders_accepted: int
    kv_used: int
    """Layer-tokens whose memory cannot be given up."""
    kv_total: int
    """Layer-tokens that the memory beside the layers holds."""
    slowness: float = 1.0
    """Duration of the replica's steps in relation to its kind's usual one."""
    is_busy: bool = False
    """Whether an order is in progress."""
