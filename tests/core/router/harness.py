"""Harness that feeds events to a router and checks each decision's invariants."""

from collections import Counter
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
from persimmonwell.core import router as r
from persimmonwell.core.config import parse_config

FailureKind = r.FailureKind
NOT_RUN = (FailureKind.NOT_SENT, FailureKind.BUSY)


def upstream(name: str, *, slots: int = 2, model: str = "m", **rest: Any) -> Upstream:
    layers = LayerRange(0, 2)
    return Upstream(name, f"{name}:1", "a", model, layers, slots=slots, **rest)


def replica(name: str, zone: str = "a") -> ServiceReplica:
    return ServiceReplica(name, f"{name}:1", zone, "s")


class Harness:
    """Router under test, with its running attempts and the end of each request."""

    def __init__(
        self, *upstreams: Upstream, replicas: Any = (), hosts: int = 1, **document: Any
    ) -> None:
        self.now_s = 0.0
        self.router = r.Router(
            host_id="h", availability_zone="a", seed=7, expected_hosts=hosts
        )
        self.requests: dict[str, ModelRequest | ServiceCall] = {}
        self.running: dict[str, r.Dispatch | r.DispatchService] = {}
        self.first_dispatch_s: dict[str, float] = {}
        self.may_have_run: Counter[str] = Counter()
        self.ended: dict[str, Outcome | None] = {}
        self.errors: dict[str, str] = {}
        self.failed: list[str] = []
        self.dispatches: list[r.Dispatch | r.DispatchService] = []
        self.decisions: list[r.RouterDecision] = []
        models = {"m": {"layers": 2}, "n": {"layers": 2}}
        workspaces: Any = {name: {} for name in ("w", "x", "big", "small")}
        base = {"models": models, "services": {"s": {}}, "workspaces": workspaces}
        self.document = {**base, **document}
        self.handle(r.ConfigChanged(parse_config(self.document, 1)))
        self.set_fleet(upstreams, replicas)

    def set_fleet(self, upstreams: Any, replicas: Any = (), hosts: int = 1) -> None:
        self.handle(r.FleetChanged(tuple(upstreams), tuple(replicas), hosts))

    def handle(self, event: r.RouterEvent) -> tuple[r.RouterDecision, ...]:
        decisions = self.router.handle(event, self.now_s)
        self.decisions += decisions
        for decision in decisions:
            match decision:
                case r.Dispatch() | r.DispatchService():
                    self._dispatched(decision)
                case r.Refuse(name, error, outcome):
                    ran = self.may_have_run[name] or name in self.running
                    expected = Outcome.MAY_HAVE_RUN if ran else Outcome.NOT_RUN
                    assert outcome is expected, decision
                    self.errors[name] = error.code
                    self._check_cancelled(name, decisions)
                    self._end(name, outcome)
                case r.CancelAttempt(name, attempt):
                    assert self.running[name].attempt == attempt
        assert self.router.in_flight == len(self.requests) - len(self.ended)
        return decisions

    def _check_cancelled(self, name: str, decisions: Any) -> None:
        attempt = self.running.get(name)
        if isinstance(attempt, r.Dispatch):
            cancel = r.CancelAttempt(name, attempt.attempt, attempt.chain)
            assert cancel in decisions, "attempt not cancelled with its request"

    def _dispatched(self, decision: r.Dispatch | r.DispatchService) -> None:
        name = decision.request_id
        work = self.requests[name]
        assert name not in self.ended and name not in self.running
        if isinstance(work, ServiceCall) and not work.repeatable:
            assert not self.may_have_run[name], "non-repeatable call sent twice"
        self.running[name] = decision
        self.first_dispatch_s.setdefault(name, self.now_s)
        self.dispatches.append(decision)

    def _end(self, name: str, outcome: Outcome | None) -> None:
        assert name not in self.ended, "request ended twice"
        self.ended[name] = outcome
        self.running.pop(name, None)

    def arrive(self, name: str, **values: Any) -> tuple[r.RouterDecision, ...]:
        fields = {"model": "m", "prompt_tokens": 10, "max_tokens": 10}
        work = ModelRequest(**self._fields(name, {**fields, **values}))
        self.requests[name] = work
        return self.handle(r.RequestArrived(work))

    def call(self, name: str, **values: Any) -> tuple[r.RouterDecision, ...]:
        fields = {"service": "s", "repeatable": True}
        work = ServiceCall(**self._fields(name, {**fields, **values}))
        self.requests[name] = work
        return self.handle(r.ServiceCallArrived(work))

    def _fields(self, name: str, values: dict[str, Any]) -> dict[str, Any]:
        deadline_s = self.now_s + 1000
        common = {"request_id": name, "digest": name, "deadline_s": deadline_s}
        return {"workspace": "w", "rank": Rank.URGENT, **common, **values}

    def first_token(self, name: str) -> tuple[r.RouterDecision, ...]:
        return self.handle(r.FirstToken(name, self.running[name].attempt))

    def finish(self, name: str, **values: Any) -> tuple[r.RouterDecision, ...]:
        """Complete the running attempt, by default with max_tokens tokens."""
        attempt, work = self.running[name].attempt, self.requests[name]
        self._end(name, None)
        if isinstance(work, ServiceCall):
            return self.handle(r.ServiceCallFinished(name, attempt))
        tokens = values.get("tokens", work.max_tokens)
        return self.handle(r.AttemptFinished(name, attempt, tokens))

    def fail(
        self, name: str, kind: FailureKind = FailureKind.LOST, tokens: int = 0
    ) -> tuple[r.RouterDecision, ...]:
        """Fail the running attempt at its first upstream."""
        upstream_id, attempt = self.upstream_of(name), self.running.pop(name).attempt
        self.failed.append(upstream_id)
        self.may_have_run[name] += kind not in NOT_RUN
        if isinstance(self.requests[name], ServiceCall):
            return self.handle(r.ServiceCallFailed(name, attempt, upstream_id, kind))
        return self.handle(r.StageFailed(name, attempt, upstream_id, kind, tokens))

    def cancel(self, name: str) -> tuple[r.RouterDecision, ...]:
        self.ended[name] = None
        decisions = self.handle(r.RequestCancelled(name))
        self._check_cancelled(name, decisions)
        self.running.pop(name, None)
        return decisions

    def tick(self, seconds: float = 0.0) -> tuple[r.RouterDecision, ...]:
        self.now_s += seconds
        return self.handle(r.Tick())

    def kill(self, upstream_id: str, tokens: int = 0) -> tuple[str, ...]:
        """Fail all attempts on an upstream as lost; return their request ids."""
        names = tuple(n for n in self.running if self.upstream_of(n) == upstream_id)
        for name in names:
            if name in self.running:
                self.fail(name, FailureKind.LOST, tokens)
        return names

    def upstream_of(self, name: str) -> str:
        """Return the first upstream or the replica of a request, or an empty string."""
        decision = self.running.get(name)
        if isinstance(decision, r.Dispatch):
            return decision.chain.upstream_ids[0]
        return "" if decision is None else decision.replica.replica_id

    def run_script(self, script: str) -> None:
        """Run a script such as "arrive a b*3 workspace=x; tick 1; runs a".

        "b*3" expands to b0 b1 b2. The steps "runs", "refused" and "waiting" are
        assertions: the requests that run, those refused so far, and how many wait.
        """
        for step in filter(None, map(str.strip, script.split(";"))):
            verb, *words = step.split()
            values = {
                k: _value(v) for k, _, v in (w.partition("=") for w in words) if v
            }
            names = [n for word in words if "=" not in word for n in _expand(word)]
            match verb:
                case "arrive" | "call" | "first_token" | "finish" | "cancel":
                    for name in names:
                        getattr(self, verb)(name, **values)
                case "fail":
                    self.fail(names[0], FailureKind(names[1]), int((*names, "0")[2]))
                case "kill":
                    self.kill(names[0])
                case "tick":
                    self.tick(float(names[0]))
                case "probe":
                    upstream_id = self.failed[int(names[0])]
                    self.handle(r.ProbeResult(upstream_id, names[1] == "answers", 0.1))
                case "blame":
                    self.handle(r.BlameReceived(*names))
                case "fleet":
                    self.set_fleet(
                        [upstream(name, slots=1, **values) for name in names]
                    )
                case "remove":
                    models = {"m": {"layers": 2}}
                    document = {**self.document, "models": models}
                    self.handle(r.ConfigChanged(parse_config(document, 2)))
                case "runs":
                    assert set(names) == self.running.keys(), step
                case "refused":
                    assert set(names) == self.errors.keys(), step
                case "waiting":
                    assert self.router.waiting_count == int(names[0]), step
                case _:
                    raise ValueError(step)

    def any_running(self) -> str:
        return next(iter(self.running))


def _expand(word: str) -> list[str]:
    stem, _, count = word.partition("*")
    return [f"{stem}{index}" for index in range(int(count))] if count else [word]


def _value(text: str) -> Any:
    if text.upper() in Rank.__members__:
        return Rank[text.upper()]
    return float(text) if text[0].isdigit() else {"no": False}.get(text, text)
