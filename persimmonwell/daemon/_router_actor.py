"""Actor that runs the router, and the interface to it for other threads."""

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

ObserveEvent = Callable[[RouterEvent, tuple[RouterDecision, ...]], None]


T = TypeVar("T")


class RoutingCore(Protocol):
    """Interface of the decision state that the actor runs."""

    def handle(self, event: RouterEvent, now_s: float) -> tuple[RouterDecision, ...]:
        """Apply one event and return the decisions that follow from it."""
        ...


@attrs.frozen
class _SubmitRequest:
    request_id: str
    event: RouterEvent
    mailbox: Mailbox


@attrs.frozen
class _StopDelivery:
    request_id: str


@attrs.frozen
class _ApplyEvent:
    event: RouterEvent


@attrs.frozen
class _CountInFlight:
    pass


@attrs.frozen
class _Inspect:
    read: Callable[[RoutingCore], object]


class RouterActor(pykka.ThreadingActor):
    """Actor that owns the router and the mailboxes of the requests in flight."""

    use_daemon_thread = True

    def __init__(
        self,
        router: RoutingCore,
        *,
        execute_decision: Callable[[RouterDecision], None],
        observe: ObserveEvent = lambda event, decisions: None,
    ) -> None:
        super().__init__()
        self._router = router
        self._execute_decision = execute_decision
        self._observe = observe
        self._mailboxes: dict[str, Mailbox] = {}

    def on_receive(self, message: object) -> object:
        """Process one message from another thread."""
        match message:
            case _SubmitRequest(request_id, event, mailbox):
                self._mailboxes[request_id] = mailbox
                self._apply_event(event)
            case _ApplyEvent(event):
                self._apply_event(event)
            case _StopDelivery(request_id):
                self._mailboxes.pop(request_id, None)
            case _CountInFlight():
                return len(self._mailboxes)
            case _Inspect(read):
                return read(self._router)
        return None

    def _apply_event(self, event: RouterEvent) -> None:
        decisions = self._router.handle(event, time.monotonic())
        # Observed before delivery, so that a dispatch is recorded before the tokens
        # that it leads to. A fault in the observer must not block the delivery.
        try:
            self._observe(event, decisions)
        except Exception:
            part_logger("router").exception("observer failed, event not recorded")
        for decision in decisions:
            self._deliver_decision(decision)

    def _deliver_decision(self, decision: RouterDecision) -> None:
        if not isinstance(decision, Dispatch | DispatchService | Refuse):
            self._execute_decision(decision)
            return
        mailbox = self._mailboxes.get(decision.request_id)
        if mailbox is not None:
            mailbox.put(decision)


class ActorRouterPort:
    """Thread-safe interface to the router actor."""

    def __init__(self, ref: pykka.ActorRef[RouterActor]) -> None:
        self._ref = ref

    def submit(self, request_id: str, event: RouterEvent) -> Mailbox:
        """Submit a new request and return the queue that receives its decisions."""
        mailbox: Mailbox = queue.SimpleQueue()
        self._ref.tell(_SubmitRequest(request_id, event, mailbox))
        return mailbox

    def post_event(self, event: RouterEvent) -> None:
        """Post an event to the router without waiting."""
        self._ref.tell(_ApplyEvent(event))

    def stop_delivery(self, request_id: str) -> None:
        """Stop delivering decisions for a request that has ended."""
        self._ref.tell(_StopDelivery(request_id))

    def in_flight(self) -> int:
        """Return the number of requests that still receive decisions."""
        count = self._ref.ask(_CountInFlight())
        return count if isinstance(count, int) else 0

    def inspect(self, read: Callable[[RoutingCore], T]) -> T:
        """Return what a function reads from the router."""
        return cast(T, self._ref.ask(_Inspect(read)))

    def close(self) -> None:
        """Stop the actor."""
        self._ref.stop()

    def tick(self) -> None:
        """Post a tick, so that the router runs its time-driven work."""
        self._ref.tell(_ApplyEvent(Tick()))


def inflight_counts(core: RoutingCore) -> tuple[InflightCount, ...]:
    """Return this host's requests in flight at each upstream."""
    return core.inflight_counts if isinstance(core, Router) else ()


def cancel_addresses(decision: CancelAttempt) -> tuple[str, ...]:
    """Return the addresses of all engines of a cancelled attempt."""
    chain: Chain = decision.chain
    return tuple(s.address for s in (*chain.prefill_stages, *chain.stages))
