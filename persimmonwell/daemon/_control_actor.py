"""Actor that runs the control state, and the interface to it for other threads."""

import time
from collections.abc import Callable
from typing import TypeVar, cast

import attrs
import pykka

from persimmonwell.core.control import (
    ControlDecision,
    ControlEvent,
    ControlState,
    PatchCompleted,
    PatchSubmitted,
)

T = TypeVar("T")


@attrs.frozen
class _ApplyEvent:
    event: ControlEvent


@attrs.frozen
class _SubmitPatch:
    event: PatchSubmitted
    future: pykka.ThreadingFuture[PatchCompleted]


@attrs.frozen
class _Inspect:
    read: Callable[[ControlState], object]


class ControlActor(pykka.ThreadingActor):
    """Actor that owns the control state and the futures of submitted patches."""

    use_daemon_thread = True

    def __init__(
        self,
        control: ControlState,
        *,
        execute_decision: Callable[[ControlDecision], None],
    ) -> None:
        super().__init__()
        self._control = control
        self._execute_decision = execute_decision
        self._patch_futures: dict[str, pykka.ThreadingFuture[PatchCompleted]] = {}

    def on_receive(self, message: object) -> object:
        """Process one message from another thread."""
        match message:
            case _ApplyEvent(event):
                self._apply_event(event)
            case _SubmitPatch(event, future):
                self._patch_futures[event.patch_id] = future
                self._apply_event(event)
            case _Inspect(read):
                return read(self._control)
        return None

    def _apply_event(self, event: ControlEvent) -> None:
        for decision in self._control.handle(event, time.monotonic()):
            if isinstance(decision, PatchCompleted):
                future = self._patch_futures.pop(decision.patch_id, None)
                if future is not None:
                    future.set(decision)
            else:
                self._execute_decision(decision)


class ControlPort:
    """Thread-safe interface to the control actor."""

    def __init__(self, ref: pykka.ActorRef[ControlActor]) -> None:
        self._ref = ref

    def post_event(self, event: ControlEvent) -> None:
        """Post an event to the control state without waiting."""
        self._ref.tell(_ApplyEvent(event))

    def submit_patch(
        self, event: PatchSubmitted, *, timeout_s: float
    ) -> PatchCompleted | None:
        """Submit a patch and return its result, or None after the timeout."""
        future: pykka.ThreadingFuture[PatchCompleted] = pykka.ThreadingFuture()
        self._ref.tell(_SubmitPatch(event, future))
        try:
            return cast(PatchCompleted, future.get(timeout=timeout_s))
        except pykka.Timeout:
            return None

    def close(self) -> None:
        """Stop the actor."""
        self._ref.stop()

    def inspect(self, read: Callable[[ControlState], T]) -> T:
        """Return what a function reads from the control state."""
        return cast(T, self._ref.ask(_Inspect(read)))
