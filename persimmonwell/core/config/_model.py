"""Fleet configuration classes and the parser of the JSON document."""

from collections.abc import Mapping

import attrs

from persimmonwell.core._documents import FaultList, JsonObject, ObjectReader
from persimmonwell.core._types import LinkCapacity, Rank

DEFAULT_FLOORS = {Rank.URGENT: 0.0, Rank.NORMAL: 0.15, Rank.BATCH: 0.05}
DEFAULT_FIRST_TOKEN_S = {Rank.URGENT: 1.1, Rank.NORMAL: 5.0, Rank.BATCH: 60.0}
DEFAULT_QUEUE_S = {Rank.URGENT: 0.6, Rank.NORMAL: 15.0, Rank.BATCH: 120.0}
DEFAULT_QUEUE_ENTRIES = {Rank.URGENT: 512, Rank.NORMAL: 512, Rank.BATCH: 512}
DEFAULT_WAITING_THREADS = {Rank.URGENT: 256, Rank.NORMAL: 96, Rank.BATCH: 64}


@attrs.frozen
class PlacementConfig:
    """Placement settings of one model whose engines the placement planner manages."""

    layer_bytes: int
    """Memory that one layer takes, with its share of the KV cache."""
    tokens_per_s: float = 0.0
    """Throughput that the placement must provide."""
    adapters: tuple[str, ...] = ()
    prefill_share: float = 0.0
    """Fraction of the engines of a layer range that serve prefill only."""


@attrs.frozen
class AcceleratorConfig:
    """Memory and speed of one kind of accelerator."""

    name: str
    memory_bytes: int
    layer_tokens_per_s: float
    """Tokens per second through a single layer."""


@attrs.frozen
class ModelConfig:
    """Configuration of one model."""

    name: str
    layers: int
    version: str = "1"
    checks_fencing: bool = False
    """Whether the engines of this model refuse orders with an old fencing token."""
    placement: PlacementConfig | None = None
    """None when the planner must not move the engines of this model."""


@attrs.frozen
class ServiceConfig:
    """Configuration of one plain service."""

    name: str
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    timeout_s: float = 10.0


@attrs.frozen
class WorkspaceConfig:
    """Configuration of one workspace."""

    name: str
    weight: float = 1.0
    """Share within a rank, relative to other workspaces."""
    tokens_per_s: float | None = None
    """Limit over all hosts together; None means unlimited."""
    max_concurrency: int | None = None
    """Limit over all hosts together; None means unlimited."""
    key: str | None = None
    """Bearer token that callers of this workspace must present."""


@attrs.frozen
class RankConfig:
    """Configuration of one rank."""

    rank: Rank
    floor: float
    """Share of token throughput reserved under overload by higher ranks, 0 to 1."""
    first_token_s: float
    """Target time to first token, seconds."""
    queue_s: float
    """Longest time in the queue, seconds."""
    queue_entries: int
    waiting_threads: int
    """Requests of this rank that may hold a thread while queued."""

    @property
    def name(self) -> str:
        """Return the name of the rank in the configuration."""
        return self.rank.name.lower()


@attrs.frozen
class RetryConfig:
    """Configuration of retries."""

    ratio: float = 0.1
    """Retries allowed per admitted request."""
    max_attempts: int = 4
    backoff_base_s: float = 0.02
    backoff_cap_s: float = 1.0


@attrs.frozen
class UpstreamOverride:
    """Operator settings that override the host list for one upstream."""

    upstream_id: str
    checks_fencing: bool | None = None
    drained: bool = False
    """Whether an operator took the upstream out of service."""


@attrs.frozen
class FleetConfig:
    """Accepted version of the fleet configuration."""

    version: int = 0
    models: Mapping[str, ModelConfig] = attrs.field(factory=dict)
    services: Mapping[str, ServiceConfig] = attrs.field(factory=dict)
    workspaces: Mapping[str, WorkspaceConfig] = attrs.field(factory=dict)
    ranks: Mapping[Rank, RankConfig] = attrs.field(factory=dict)
    links: tuple[LinkCapacity, ...] = ()
    retry: RetryConfig = RetryConfig()
    upstreams: Mapping[str, UpstreamOverride] = attrs.field(factory=dict)
    accelerators: tuple[AcceleratorConfig, ...] = ()

    def workspace(self, name: str) -> WorkspaceConfig | None:
        """Return the configuration of a workspace, or None."""
        return self.workspaces.get(name)


def parse_config(document: JsonObject, version: int) -> FleetConfig:
    """Parse a configuration document; raise DocumentError that lists every fault."""
    faults = FaultList()
    root = ObjectReader(document, "", faults)
    config = FleetConfig(
        version=version,
        models={key: _read_model(key, r) for key, r in root.children("models")},
        services={key: _read_service(key, r) for key, r in root.children("services")},
        workspaces={
            key: _read_workspace(key, r) for key, r in root.children("workspaces")
        },
        ranks=_read_ranks(root.child("ranks"), faults),
        links=tuple(_read_link(key, r) for key, r in root.children("links")),
        retry=_read_retry(root.child("retry")),
        upstreams={
            key: _read_override(key, r) for key, r in root.children("upstreams")
        },
        accelerators=tuple(
            _read_accelerator(key, r) for key, r in root.children("accelerators")
        ),
    )
    root.report_unknown_fields()
    faults.raise_if_any()
    return config


def _read_model(name: str, reader: ObjectReader) -> ModelConfig:
    model = ModelConfig(
        name=name,
        layers=reader.integer("layers", minimum=1, maximum=10_000),
        version=reader.text("version", "1"),
        checks_fencing=reader.boolean("checks_fencing", False),
        placement=_read_placement(reader) if reader.has("placement") else None,
    )
    reader.report_unknown_fields()
    return model


def _read_placement(model: ObjectReader) -> PlacementConfig:
    reader = model.child("placement")
    placement = PlacementConfig(
        layer_bytes=reader.integer("layer_bytes", minimum=1),
        tokens_per_s=reader.number("tokens_per_s", 0.0),
        adapters=reader.texts("adapters"),
        prefill_share=reader.number("prefill_share", 0.0, maximum=0.9),
    )
    reader.report_unknown_fields()
    return placement


def _read_accelerator(name: str, reader: ObjectReader) -> AcceleratorConfig:
    accelerator = AcceleratorConfig(
        name=name,
        memory_bytes=reader.integer("memory_bytes", minimum=1, maximum=10**18),
        layer_tokens_per_s=reader.number("layer_tokens_per_s", exclusive_minimum=True),
    )
    reader.report_unknown_fields()
    return accelerator


def _read_service(name: str, reader: ObjectReader) -> ServiceConfig:
    default = ServiceConfig(name=name)
    methods = reader.texts("repeatable_methods", default.repeatable_methods)
    service = ServiceConfig(
        name=name,
        repeatable_methods=tuple(method.upper() for method in methods),
        timeout_s=reader.number("timeout_s", default.timeout_s, minimum=0.01),
    )
    reader.report_unknown_fields()
    return service


def _read_workspace(name: str, reader: ObjectReader) -> WorkspaceConfig:
    rate = reader.number("tokens_per_s", 0.0)
    concurrency = reader.integer("max_concurrency", 0)
    workspace = WorkspaceConfig(
        name=name,
        weight=reader.number("weight", 1.0, exclusive_minimum=True),
        tokens_per_s=rate or None,
        max_concurrency=concurrency or None,
        key=reader.optional_text("key"),
    )
    reader.report_unknown_fields()
    return workspace


def _read_ranks(root: ObjectReader, faults: FaultList) -> Mapping[Rank, RankConfig]:
    ranks: dict[Rank, RankConfig] = {}
    for rank in Rank:
        reader = root.child(rank.name.lower())
        ranks[rank] = RankConfig(
            rank=rank,
            floor=reader.number("floor", DEFAULT_FLOORS[rank], maximum=0.9),
            first_token_s=reader.number(
                "first_token_s", DEFAULT_FIRST_TOKEN_S[rank], exclusive_minimum=True
            ),
            queue_s=reader.number(
                "queue_s", DEFAULT_QUEUE_S[rank], exclusive_minimum=True
            ),
            queue_entries=reader.integer(
                "queue_entries", DEFAULT_QUEUE_ENTRIES[rank], minimum=1
            ),
            waiting_threads=reader.integer(
                "waiting_threads", DEFAULT_WAITING_THREADS[rank], minimum=1
            ),
        )
        reader.report_unknown_fields()
    if sum(rank.floor for rank in ranks.values()) > 0.9:
        faults.add("/ranks", "floors must add up to at most 0.9")
    root.report_unknown_fields()
    return ranks


def _read_link(name: str, reader: ObjectReader) -> LinkCapacity:
    link = LinkCapacity(
        from_zone=reader.text("from_zone"),
        to_zone=reader.text("to_zone"),
        tokens_per_s=reader.number("tokens_per_s", exclusive_minimum=True),
        latency_s=reader.number("latency_s", 0.00025),
    )
    reader.report_unknown_fields()
    return link


def _read_retry(reader: ObjectReader) -> RetryConfig:
    default = RetryConfig()
    retry = RetryConfig(
        ratio=reader.number("ratio", default.ratio, maximum=1.0),
        max_attempts=reader.integer(
            "max_attempts", default.max_attempts, minimum=1, maximum=16
        ),
        backoff_base_s=reader.number("backoff_base_s", default.backoff_base_s),
        backoff_cap_s=reader.number("backoff_cap_s", default.backoff_cap_s),
    )
    reader.report_unknown_fields()
    return retry


def _read_override(name: str, reader: ObjectReader) -> UpstreamOverride:
    checks = reader.boolean("checks_fencing", False)
    override = UpstreamOverride(
        upstream_id=name,
        checks_fencing=checks if reader.has("checks_fencing") else None,
        drained=reader.boolean("drained", False),
    )
    reader.report_unknown_fields()
    return override
