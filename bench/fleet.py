"""Fleet, configuration and random requests of the simulated measures."""

import itertools
import random

from persimmonwell.core import LayerRange, ModelRequest, Rank, Upstream
from persimmonwell.core.config import FleetConfig, parse_config

MODEL = "coach"
LAYERS = 32
ZONES = ("zone-1", "zone-2", "zone-3")
SMALL_WORKSPACES = tuple(f"small-{number}" for number in range(1, 9))
LARGE_WORKSPACES = ("large-1", "large-2")
PROMPT_TOKENS = 400
MAX_TOKENS = 100
FULL_BATCH_GAP_S = 0.028
"""Inter-token latency of an engine with a full batch."""
RANK_MIX = ((Rank.URGENT, 0.4), (Rank.NORMAL, 0.35), (Rank.BATCH, 0.25))
DEADLINE_S = {Rank.URGENT: 10.0, Rank.NORMAL: 30.0, Rank.BATCH: 300.0}

# Layer ranges, accelerator and tokens per second of the replicas in each zone. Fast
# accelerators hold halves and slow ones quarters; the others overlap, so that only some
# replicas can continue at their boundaries.
_LAYER_SPLITS: tuple[tuple[tuple[int, int], str, float], ...] = (
    ((0, 16), "fast", 900.0),
    ((16, 32), "fast", 900.0),
    ((0, 16), "medium", 600.0),
    ((16, 32), "medium", 600.0),
    ((0, 8), "slow", 450.0),
    ((8, 16), "slow", 450.0),
    ((16, 24), "slow", 450.0),
    ((24, 32), "slow", 450.0),
    ((0, 12), "medium", 500.0),
    ((12, 24), "medium", 500.0),
    ((24, 32), "medium", 500.0),
    ((8, 24), "fast", 700.0),
    ((0, 32), "large", 300.0),
)


def build_upstreams(*, copies: int = 1) -> tuple[Upstream, ...]:
    """Return 39 replicas of mixed sizes over three zones, for each copy."""
    upstreams = []
    for copy, zone in itertools.product(range(copies), ZONES):
        for number, ((start, stop), kind, speed) in enumerate(_LAYER_SPLITS):
            upstream_id = f"{zone}-{copy}-{number}"
            upstreams.append(
                Upstream(
                    upstream_id=upstream_id,
                    address=upstream_id,
                    availability_zone=zone,
                    model=MODEL,
                    layers=LayerRange(start, stop),
                    accelerator=kind,
                    slots=round(speed * FULL_BATCH_GAP_S),
                    tokens_per_s=speed,
                )
            )
    return tuple(upstreams)


def build_config() -> FleetConfig:
    """Return the configuration of the benchmark fleet."""
    links = {
        f"{a}-{b}": {
            "from_zone": a,
            "to_zone": b,
            "tokens_per_s": 4000.0 if "zone-3" not in (a, b) else 400.0,
            "latency_s": 0.00025,
        }
        for a, b in itertools.permutations(ZONES, 2)
    }
    workspaces = (*SMALL_WORKSPACES, *LARGE_WORKSPACES)
    document = {
        "models": {MODEL: {"layers": LAYERS}},
        "workspaces": {name: {"weight": 1} for name in workspaces},
        "links": links,
    }
    return parse_config(document, 1)  # type: ignore[arg-type]


class RequestFactory:
    """Seeded generator of requests and arrival times."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._count = 0

    def exponential_s(self, rate: float) -> float:
        """Return the seconds to the next arrival of a Poisson process."""
        return self._random.expovariate(rate)

    def pick_rank(self) -> Rank:
        """Return a random rank with the weights of RANK_MIX."""
        ranks, weights = zip(*RANK_MIX, strict=True)
        return self._random.choices(ranks, weights)[0]

    def pick_workspace(self) -> str:
        """Return a random workspace; large ones send four times as many requests."""
        names = (*SMALL_WORKSPACES, *LARGE_WORKSPACES)
        weights = [1.0] * len(SMALL_WORKSPACES) + [4.0] * len(LARGE_WORKSPACES)
        return self._random.choices(names, weights)[0]

    def make(
        self,
        now_s: float,
        *,
        rank: Rank | None = None,
        workspace: str | None = None,
        digest: str | None = None,
    ) -> ModelRequest:
        """Return a request that arrives now."""
        self._count += 1
        chosen = self.pick_rank() if rank is None else rank
        prefix_family = self._random.randrange(200)
        return ModelRequest(
            request_id=f"r{self._count}",
            workspace=workspace or self.pick_workspace(),
            rank=chosen,
            model=MODEL,
            digest=digest or f"d{self._count}",
            prompt_tokens=PROMPT_TOKENS,
            max_tokens=self._random.randint(MAX_TOKENS // 2, MAX_TOKENS * 3 // 2),
            deadline_s=now_s + DEADLINE_S[chosen],
            prefix_blocks=(
                prefix_family * 10,
                prefix_family * 10 + 1,
                prefix_family * 10 + 2,
            ),
        )
