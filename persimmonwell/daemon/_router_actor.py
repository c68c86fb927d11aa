"""Run the router as an actor and deliver its decisions."""

import queue
import time
from collections.abc import Callable
from typing import Protocol, TypeVar, cast

import attrs
import pykka

from persimmonwell.core._types import Chain
from persimmonwell.core.router import (
    CancelAttempt,
    Dispatch,
    DispatchService,
    InflightCount,
    Refuse,
    Router,
    RouterDecision,
    RouterEvent,
    Tick,
)
from persimmonwell.front import Mailbox
from persimmonwell.observe import part_logger

TICK_S = 0.05

Observe = Callable[[RouterEvent, tuple[RouterDecision, ...]], None]


T = TypeVar("T")


class RoutingCore(Protocol):
    """Describe the decision state that the actor runs."""

    def handle(self, event: RouterEvent, now_s: float) -> tuple[RouterDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        ...


@attrs.frozen
class _Submit:
    request_id: str
    event: RouterEvent
    mailbox: Mailbox


@attrs.frozen
class _Forget:
    request_id: str


@attrs.frozen
class _Apply:
    event: RouterEvent


@attrs.frozen
class _CountInFlight:
    pass


@attrs.frozen
class _Inspect:
    read: Callable[[RoutingCore], object]


class RouterActor(pykka.ThreadingActor):
    """Hold the router and the mailboxes of the requests in flight."""

    use_daemon_thread = True

    def __init__(
        self,
        router: RoutingCore,
        *,
        carry_out: Callable[[RouterDecision], None],
        observe: Observe = lambda event, decisions: None,
    ) -> None:
        super().__init__()
        self._router = router
        self._carry_out = carry_out
        self._observe = observe
        self._mailboxes: dict[str, Mailbox] = {}

    def on_receive(self, message: object) -> object:
        """Apply one message from a request thread or a timer."""
        match message:
            case _Submit(request_id, event, mailbox):
                self._mailboxes[request_id] = mailbox
                self._apply(event)
            case _Apply(event):
                self._apply(event)
            case _Forget(request_id):
                self._mailboxes.pop(request_id, None)
            case _CountInFlight():
                return len(self._mailboxes)
            case _Inspect(read):
                return read(self._router)
        return None

    def _apply(self, event: RouterEvent) -> None:
        decisions = self._router.handle(event, time.monotonic())
        # Observed before delivery, so that the causes precede a token's event. A
        # fault in recording must not keep a decision from its request.
        try:
            self._observe(event, decisions)
        except Exception:
            part_logger("router").exception("event not recorded")
        for decision in decisions:
            self._deliver(decision)

    def _deliver(self, decision: RouterDecision) -> None:
        if not isinstance(decision, Dispatch | DispatchService | Refuse):
            self._carry_out(decision)
            return
        mailbox = self._mailboxes.get(decision.request_id)
        if mailbox is not None:
            mailbox.put(decision)


class ActorRouterPort:
    """Let request threads talk to the router actor."""

    def __init__(self, ref: pykka.ActorRef[RouterActor]) -> None:
        self._ref = ref

    def submit(self, request_id: str, event: RouterEvent) -> Mailbox:
        """Hand in a new request and return where its decisions arrive."""
        mailbox: Mailbox = queue.SimpleQueue()
        self._ref.tell(_Submit(request_id, event, mailbox))
        return mailbox

    def post_event(self, event: RouterEvent) -> None:
        """Hand in an event without waiting."""
        self._ref.tell(_Apply(event))

    def stop_delivery(self, request_id: str) -> None:
        """Stop delivering decisions for a request."""
        self._ref.tell(_Forget(request_id))

    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        count = self._ref.ask(_CountInFlight())
        return count if isinstance(count, int) else 0

    def inspect(self, read: Callable[[RoutingCore], T]) -> T:
        """Return what a function reads from the router."""
        return cast(T, self._ref.ask(_Inspect(read)))

    def close(self) -> None:
        """Stop the actor."""
        self._ref.stop()

    def tick(self) -> None:
        """Let time-driven work run."""
        self._ref.tell(_Apply(Tick()))


def inflight_counts(core: RoutingCore) -> tuple[InflightCount, ...]:
    """Return what this host has in flight at each upstream."""
    return core.inflight_counts if isinstance(core, Router) else ()


def cancel_targets(decision: CancelAttempt) -> tuple[str, ...]:
    """Return the addresses at which an attempt has to be cancelled."""
    chain: Chain = decision.chain
    return tuple(s.address for s in (*chain.prefill_stages, *chain.stages))
