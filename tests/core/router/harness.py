"""Drive a router event by event and check what every decision promises."""

from typing import Any

from persimmonwell.core import (
    LayerRange,
    ModelRequest,
    Outcome,
    Rank,
    ServiceCall,
    ServiceReplica,
    Upstream,
)
from persimmonwell.core.config import parse_config
from persimmonwell.core.router import (
    AttemptFinished,
    CancelAttempt,
    ConfigChanged,
    Dispatch,
    DispatchService,
    FailureKind,
    FirstToken,
    FleetChanged,
    Refuse,
    RequestArrived,
    RequestCancelled,
    Router,
    RouterDecision,
    RouterEvent,
    ServiceCallArrived,
    ServiceCallFailed,
    ServiceCallFinished,
    StageFailed,
    Tick,
)

NOT_RUN = (FailureKind.NOT_SENT, FailureKind.BUSY)
RANK_NAMES = {"urgent": Rank.URGENT, "normal": Rank.NORMAL, "batch": Rank.BATCH}


def upstream(name: str, *, slots: int = 2, model: str = "m", **rest: Any) -> Upstream:
    """Build an upstream that holds the whole model unless layers are given."""
    values = {"layers": LayerRange(0, 2), "availability_zone": "a", **rest}
    return Upstream(name, f"{name}:1", model=model, slots=slots, **values)


def replica(name: str, zone: str = "a") -> ServiceReplica:
    """Build a replica of service "s"."""
    return ServiceReplica(name, f"{name}:1", zone, "s")


class Harness:
    """Hold a router, its running attempts and the end of each request."""

    def __init__(
        self,
        *,
        upstreams: tuple[Upstream, ...] = (),
        replicas: tuple[ServiceReplica, ...] = (),
        expected_hosts: int = 1,
        **document: Any,
    ) -> None:
        self.now_s = 0.0
        self.router = Router(
            host_id="h", availability_zone="a", seed=7, expected_hosts=expected_hosts
        )
        self.works: dict[str, ModelRequest | ServiceCall] = {}
        self.running: dict[str, Dispatch | DispatchService] = {}
        self.possibly_run: dict[str, int] = {}
        self.ended: dict[str, Outcome | None] = {}
        self.errors: dict[str, str] = {}
        self.dispatches: list[Dispatch | DispatchService] = []
        self.decisions: list[RouterDecision] = []
        base = {
            "models": {"m": {"layers": 2}, "n": {"layers": 2}},
            "services": {"s": {}},
        }
        base["workspaces"] = {name: {} for name in ("w", "x", "big", "small")}
        self.document = {**base, **document}
        self.put_config()
        self.put_fleet(upstreams, replicas)

    def put_config(self, **document: Any) -> None:
        self.document.update(document)
        self.handle(ConfigChanged(parse_config(self.document, 1)))

    def put_fleet(
        self,
        upstreams: tuple[Upstream, ...],
        replicas: tuple[ServiceReplica, ...] = (),
        hosts: int = 1,
    ) -> None:
        self.upstreams = upstreams
        self.replicas = replicas
        self.handle(FleetChanged(upstreams, replicas, hosts))

    def handle(self, event: RouterEvent) -> tuple[RouterDecision, ...]:
        decisions = self.router.handle(event, self.now_s)
        self.decisions += decisions
        for decision in decisions:
            match decision:
                case Dispatch() | DispatchService():
                    self._dispatched(decision)
                case Refuse(request_id, error, outcome):
                    ran = self.possibly_run.get(request_id, 0)
                    ran += request_id in self.running
                    expected = Outcome.MAY_HAVE_RUN if ran else Outcome.NOT_RUN
                    assert outcome is expected, decision
                    self.errors[request_id] = error.code
                    self._end(request_id, outcome)
                case CancelAttempt(request_id, attempt):
                    assert self.running[request_id].attempt == attempt
        assert self.router.in_flight == len(self.works) - len(self.ended)
        return decisions

    def _dispatched(self, decision: Dispatch | DispatchService) -> None:
        request_id = decision.request_id
        work = self.works[request_id]
        assert request_id not in self.ended and request_id not in self.running
        if isinstance(work, ServiceCall) and not work.repeatable:
            assert not self.possibly_run.get(request_id), "repeated a call"
        self.running[request_id] = decision
        self.dispatches.append(decision)

    def _end(self, request_id: str, outcome: Outcome | None) -> None:
        assert request_id not in self.ended, "two terminal results"
        self.ended[request_id] = outcome
        self.running.pop(request_id, None)

    def arrive(self, name: str, **values: Any) -> tuple[RouterDecision, ...]:
        """Send a model request; unnamed values have small defaults."""
        fields: dict[str, Any] = {
            "workspace": "w",
            "rank": Rank.URGENT,
            "model": "m",
            "digest": name,
            "prompt_tokens": 10,
            "max_tokens": 10,
            "deadline_s": self.now_s + 1000,
            **values,
        }
        self.works[name] = ModelRequest(request_id=name, **fields)
        return self.handle(RequestArrived(self.works[name]))

    def call(self, name: str, **values: Any) -> tuple[RouterDecision, ...]:
        """Send a service call."""
        fields: dict[str, Any] = {
            "workspace": "w",
            "rank": Rank.URGENT,
            "service": "s",
            "digest": name,
            "deadline_s": self.now_s + 1000,
            "repeatable": True,
            **values,
        }
        self.works[name] = ServiceCall(request_id=name, **fields)
        return self.handle(ServiceCallArrived(self.works[name]))

    def first_token(self, name: str) -> tuple[RouterDecision, ...]:
        return self.handle(FirstToken(name, self.running[name].attempt))

    def finish(
        self, name: str, tokens: int | None = None
    ) -> tuple[RouterDecision, ...]:
        """Complete the running attempt."""
        attempt, work = self.running[name].attempt, self.works[name]
        self._end(name, None)
        if isinstance(work, ServiceCall):
            return self.handle(ServiceCallFinished(name, attempt))
        tokens = work.max_tokens if tokens is None else tokens
        return self.handle(AttemptFinished(name, attempt, tokens))

    def fail(
        self, name: str, kind: FailureKind = FailureKind.LOST, tokens: int = 0
    ) -> tuple[RouterDecision, ...]:
        """Fail the running attempt at its first upstream."""
        decision = self.running.pop(name)
        if kind not in NOT_RUN:
            self.possibly_run[name] = self.possibly_run.get(name, 0) + 1
        if isinstance(decision, DispatchService):
            replica_id = decision.replica.replica_id
            failed = ServiceCallFailed(name, decision.attempt, replica_id, kind)
            return self.handle(failed)
        upstream_id = decision.chain.upstream_ids[0]
        return self.handle(
            StageFailed(name, decision.attempt, upstream_id, kind, tokens)
        )

    def cancel(self, name: str) -> tuple[RouterDecision, ...]:
        self.ended[name] = None
        decisions = self.handle(RequestCancelled(name))
        self.running.pop(name, None)
        return decisions

    def tick(self, seconds: float = 0.0) -> tuple[RouterDecision, ...]:
        self.now_s += seconds
        return self.handle(Tick())

    def kill(self, upstream_id: str, tokens: int = 0) -> tuple[str, ...]:
        """Lose an upstream with all its attempts; return the request ids."""
        names = tuple(n for n in self.running if self.place(n) == upstream_id)
        for name in names:
            if name in self.running:
                self.fail(name, FailureKind.LOST, tokens)
        return names

    def place(self, name: str) -> str:
        """Return where a request runs, or an empty text."""
        decision = self.running.get(name)
        if isinstance(decision, Dispatch):
            return decision.chain.upstream_ids[0]
        return "" if decision is None else decision.replica.replica_id
