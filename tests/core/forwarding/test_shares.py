"""Tests of the shares of competing workspaces through the router, without a network.

Each runs a host, or several, with a fixed number of places over virtual time.
"""

import heapq
import random
from collections import Counter

import attrs

from persimmonwell.core.forwarding import (
    Decision,
    Ending,
    Finish,
    ForwardingRouter,
    GenerationSize,
    RouteKind,
    Send,
    Tenant,
    WorkspaceTokens,
)
from persimmonwell.core.forwarding._workspace_usage import USAGE_MEMORY_S
from tests.core.forwarding.fleets import (
    CONFIG,
    desk_replica,
    list_replicas,
    make_router,
    request,
    route,
    staged_replica,
)

ANSWER_S = 0.2
TICK_S = 0.05
REPORT_S = 0.25
TENANTS = ("heavy", *(f"t{number}" for number in range(23)))
SHARED = attrs.evolve(
    CONFIG,
    version=8,
    routes=(
        route("look", RouteKind.SAFE, "desk", timeout_s=4.0),
        route("later", RouteKind.SAFE, "desk", timeout_s=4.0, priority=1),
        route("batch", RouteKind.SAFE, "desk", timeout_s=4.0, priority=2),
        route("urgent", RouteKind.STREAM, "model"),
    ),
    tenants=tuple(Tenant(name, (name,)) for name in TENANTS),
)
CHAIN = (
    staged_replica("a", "za", 0, 30),
    staged_replica("b", "za", 30, 55),
    staged_replica("c", "za", 55, 80),
)


def make_host(slots: int) -> ForwardingRouter:
    router = make_router(desk_replica("d-1", slots=slots))
    router.configure(SHARED)
    return router


@attrs.frozen
class Flow:
    """Arrivals of one tenant on one route at one host."""

    tenant: str
    rate_per_s: float
    route: str = "look"
    host: int = 0
    size: GenerationSize | None = None


class Fleet:
    """Hosts with answers of a fixed duration and arrivals at random times."""

    def __init__(
        self,
        hosts: list[ForwardingRouter],
        *,
        answer_s: float = ANSWER_S,
        loss: float | None = 0.0,
        delay_s: float = 0.0,
    ) -> None:
        self.hosts = hosts
        self.answer_s = answer_s
        self.loss = loss
        """Part of the datagrams that is lost; None without any exchange."""
        self.delay_s = delay_s
        self.random = random.Random(3)
        self.arrived: Counter[Flow] = Counter()
        self.sent: Counter[Flow] = Counter()
        self.refused: Counter[Flow] = Counter()
        self.finishes: list[Finish] = []
        self.now_s = 0.0
        self._events: list[tuple[float, int, str, object]] = []
        self._flow_of: dict[int, Flow] = {}
        self._keys = 0

    def run(self, flows: list[Flow], seconds: float) -> None:
        end_s = self.now_s + seconds
        for flow in flows:
            self._plan(flow)
        for index in range(len(self.hosts)):
            self._push(self.now_s, "tick", index)
            self._push(self.now_s, "report", index)
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, kind, what = heapq.heappop(self._events)
            getattr(self, f"_on_{kind}")(what)
        self._events = [event for event in self._events if event[2] == "answer"]
        heapq.heapify(self._events)
        self.now_s = end_s

    def _push(self, time_s: float, kind: str, what: object) -> None:
        self._keys += 1
        heapq.heappush(self._events, (time_s, self._keys, kind, what))

    def _plan(self, flow: Flow) -> None:
        gap_s = self.random.expovariate(flow.rate_per_s)
        self._push(self.now_s + gap_s, "arrival", flow)

    def _on_arrival(self, flow: Flow) -> None:
        self._plan(flow)
        self._keys += 1
        self.arrived[flow] += 1
        self._flow_of[self._keys] = flow
        caller = request(flow.route, api_key=flow.tenant, size=flow.size)
        router = self.hosts[flow.host]
        self._apply(flow.host, router.request_arrived(self._keys, caller, self.now_s))

    def _on_answer(self, what: tuple[int, int, int]) -> None:
        host, key, attempt = what
        self._apply(host, self.hosts[host].answer_completed(key, attempt, self.now_s))

    def _on_tick(self, host: int) -> None:
        self._push(self.now_s + TICK_S, "tick", host)
        self._apply(host, self.hosts[host].tick(self.now_s))

    def _on_report(self, host: int) -> None:
        self._push(self.now_s + REPORT_S, "report", host)
        if self.loss is None:
            return
        rows = self.hosts[host].workspace_usage.heaviest(self.now_s)
        for other in range(len(self.hosts)):
            if other != host and self.random.random() >= self.loss:
                delay_s = self.delay_s * self.random.random()
                self._push(self.now_s + delay_s, "datagram", (host, other, rows))

    def _on_datagram(self, what: tuple[int, int, tuple[WorkspaceTokens, ...]]) -> None:
        host, other, rows = what
        self.hosts[other].record_peer_usage(f"h{host}", rows, self.now_s)

    def _apply(self, host: int, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, Send):
                self.sent[self._flow_of[decision.key]] += 1
                what = (host, decision.key, decision.attempt)
                self._push(self.now_s + self.answer_s, "answer", what)
            elif isinstance(decision, Finish):
                self.refused[self._flow_of[decision.key]] += 1
                self.finishes.append(decision)


def test_a_tenant_at_eight_times_its_load_takes_only_its_share() -> None:
    """Guards against a workspace that takes the capacity of its priority class.

    Load: 23 ordinary tenants and one at eight times their rate, twice the room.
    """
    rate_per_s = 6.45
    flows = [Flow(name, rate_per_s) for name in TENANTS[1:]]
    flows.append(Flow("heavy", 8 * rate_per_s))
    slots = 20
    fleet = Fleet([make_host(slots)])
    fleet.run(flows, 30.0)
    room = 30.0 * slots / ANSWER_S
    assert sum(fleet.arrived.values()) > 1.9 * room
    assert sum(fleet.sent.values()) > 0.97 * room
    for flow in flows:
        demand = fleet.arrived[flow]
        assert fleet.sent[flow] >= 0.9 * min(demand, room / 24), flow
    refusals = [each for each in fleet.finishes if each.tenant == "heavy"]
    assert refusals and all(each.ending is Ending.OVERLOADED for each in refusals)
    assert all(0.0 < (each.share or 0.0) <= 1.0 for each in refusals[50:])


def test_urgent_requests_go_first_and_the_others_keep_a_floor() -> None:
    """Guards against a class that is never served in a long surge.

    Load: three classes, each at twice the room.
    """
    slots = 20
    flows = [
        Flow(name, 2 * slots / ANSWER_S / 4, path)
        for path in ("look", "later", "batch")
        for name in TENANTS[:4]
    ]
    fleet = Fleet([make_host(slots)])
    fleet.run(flows, 30.0)
    room = 30.0 * slots / ANSWER_S
    of_route: Counter[str] = Counter()
    for flow, count in fleet.sent.items():
        of_route[flow.route] += count
    assert of_route["look"] >= 0.88 * room
    assert of_route["later"] >= 0.045 * room
    assert of_route["batch"] >= 0.045 * room


def test_the_largest_tenth_keeps_its_share() -> None:
    """Guards against large prompts that are passed over for ever.

    Load: each tenant sends a tenth large requests, twice the memory of a pipeline.
    """
    router = make_router()
    router.configure(SHARED)
    list_replicas(router, *CHAIN)
    small, large = GenerationSize(800, 172), GenerationSize(6000, 600)
    flows = [Flow(name, 18.0, "urgent", size=small) for name in TENANTS[:4]]
    flows += [Flow(name, 2.0, "urgent", size=large) for name in TENANTS[:4]]
    fleet = Fleet([router], answer_s=1.0)
    fleet.run(flows, 30.0)
    answered = sum(fleet.sent.values()) / sum(fleet.arrived.values())
    assert answered < 0.8
    sent = sum(count for flow, count in fleet.sent.items() if flow.size is large)
    arrived = sum(count for flow, count in fleet.arrived.items() if flow.size is large)
    assert sent / arrived >= 0.5 * answered


def test_returning_callers_precede_new_ones_of_their_tenant() -> None:
    """Guards against refusing the same callers again and again."""
    router = make_host(slots=1)
    (send,) = router.request_arrived(0, request("look", api_key="t1"), 0.0)
    assert isinstance(send, Send)
    router.caller_retries.record_peer_refusals(["back"], 5.0)
    for key, digest in ((1, "new1"), (2, "new2"), (3, "back")):
        caller = request("look", api_key="t1", digest=digest)
        assert router.request_arrived(key, caller, 0.01 * key) == ()
    (send,) = router.answer_completed(0, 1, 0.1)
    assert isinstance(send, Send) and send.key == 3


def run_shared_service(loss: float | None, delay_s: float = 0.0) -> dict[str, float]:
    """Return the answers a second of a tenant of two hosts and of one of one host.

    Both hosts have equal places. One tenant uses both, the other the second only.
    """
    fleet = Fleet([make_host(8), make_host(8)], loss=loss, delay_s=delay_s)
    flows = [Flow("heavy", 80.0, host=0), Flow("heavy", 160.0, host=1)]
    flows.append(Flow("t1", 80.0, host=1))
    fleet.run(flows, 10.0)
    before = fleet.sent.copy()
    fleet.run(flows, 20.0)
    count: Counter[str] = Counter()
    for flow, sent in (fleet.sent - before).items():
        count[flow.tenant] += sent
    assert sum(count.values()) > 0.95 * 20.0 * 16 / ANSWER_S
    return {name: number / 20.0 for name, number in count.items()}


def test_a_tenant_that_is_heavy_elsewhere_comes_after_a_light_one() -> None:
    """Guards against a workspace that gets a full share at each host it uses.

    Load: two hosts with 40 answers a second each. The heavy tenant has the first host
    for itself, so the other one's fair share is the second host.
    """
    rates = run_shared_service(loss=0.0)
    assert rates["t1"] >= 0.9 * 40.0


def test_lost_and_late_datagrams_hardly_change_the_shares() -> None:
    """Guards against shares that depend on every single datagram."""
    assert run_shared_service(loss=0.5)["t1"] >= 0.8 * 40.0
    assert run_shared_service(loss=0.0, delay_s=1.5)["t1"] >= 0.8 * 40.0


def test_a_host_that_hears_nothing_shares_by_its_own_usage() -> None:
    """Guards against a host that stops deciding without its peers."""
    rates = run_shared_service(loss=None)
    assert rates["t1"] >= 0.9 * 20.0
    assert rates["heavy"] >= 0.9 * (40.0 + 20.0)


def test_a_tenant_that_is_heavy_elsewhere_does_not_wait_for_free_places() -> None:
    """Guards against free capacity that is kept from a workspace."""
    router = make_host(slots=4)
    row = WorkspaceTokens("desk", (0, 0), "heavy", 1e7, 0.0)
    router.record_peer_usage("h2", (row,), 0.0)
    for key in range(4):
        (send,) = router.request_arrived(key, request("look", api_key="heavy"), 0.1)
        assert isinstance(send, Send)
    caller = request("look", api_key="heavy")
    assert router.request_arrived(4, caller, 0.11) == ()
    assert router.request_arrived(5, request("look", api_key="t1"), 0.12) == ()
    order = [router.answer_completed(key, 1, 0.2)[0] for key in range(2)]
    assert [each.key for each in order if isinstance(each, Send)] == [5, 4]


def test_a_restarted_host_learns_the_usage_again() -> None:
    """Guards against a restart after which a heavy workspace starts level for long."""
    peer = make_host(slots=4)
    for key in range(4):
        peer.request_arrived(key, request("look", api_key="heavy"), 0.0)
    restarted = make_host(slots=1)
    restarted.request_arrived(0, request("look", api_key="t2"), 0.0)
    restarted.request_arrived(1, request("look", api_key="heavy"), 0.01)
    restarted.request_arrived(2, request("look", api_key="t1"), 0.02)
    queue = restarted._services["desk"].queue
    assert [active.key for active in queue] == [1, 2]
    rows = peer.workspace_usage.heaviest(0.1)
    restarted.record_peer_usage("h2", rows, 0.1)
    assert [active.key for active in queue] == [2, 1]


def test_usage_of_a_past_surge_is_forgotten() -> None:
    """Guards against a workspace that pays for a surge of a minute ago."""
    router = make_host(slots=1)
    row = WorkspaceTokens("desk", (0, 0), "heavy", 1e5, 0.0)
    router.record_peer_usage("h2", (row,), 0.0)
    later_s = 20 * USAGE_MEMORY_S
    router.tick(later_s)
    router.request_arrived(0, request("look", api_key="t2"), later_s)
    for key, name in enumerate(("t1", "heavy", "t1", "t1"), start=1):
        router.request_arrived(key, request("look", api_key=name), later_s + key / 100)
    queue = router._services["desk"].queue
    assert [active.key for active in queue].index(2) <= 1


def test_usage_that_the_configuration_does_not_name_is_ignored() -> None:
    """Guards against tables that grow with what a peer sends."""
    router = make_host(slots=1)
    rows = tuple(
        WorkspaceTokens(service, priorities, name, 1e5, 0.0)
        for service, priorities, name in (
            ("none", (0, 0), "heavy"),
            ("desk", (7, 0), "heavy"),
            ("desk", (0, 0), "nobody"),
        )
    )
    router.record_peer_usage("h2", rows, 0.0)
    assert not router._services and not router.workspace_usage._peers


def test_waiting_requests_are_counted_by_priority() -> None:
    """Guards against operators who cannot see which class waits."""
    router = make_host(slots=1)
    for key, path in enumerate(("look", "look", "batch")):
        router.request_arrived(key, request(path, api_key="t1"), 0.0)
    assert router.queued_by_priority == {0: 1, 2: 1}


def test_a_refusal_has_what_decided_about_the_wait() -> None:
    """Guards against operators who cannot see why a request did not wait."""
    router = make_host(slots=1)
    refusals: list[Finish] = []
    for key in range(40):
        digest = f"d{key % 39}"
        caller = attrs.evolve(request("later", api_key="t1"), digest=digest)
        for decision in router.request_arrived(key, caller, 0.0):
            if isinstance(decision, Finish):
                refusals.append(decision)
    first = refusals[0].facts
    assert first is not None and first.expected_wait_s is not None
    assert first.priority_class == (1, 1) and first.report_age_s is None
    assert first.expected_wait_s > first.allowed_wait_s > 0
    assert not first.is_caller_retry
    again = attrs.evolve(request("later", api_key="t1"), digest="d38")
    assert router.request_arrived(99, again, 0.5) == ()
    facts = router.wait_facts(99, 0.5)
    assert facts is not None and facts.is_caller_retry
