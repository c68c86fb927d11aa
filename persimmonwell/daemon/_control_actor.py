"""Run the control state as an actor and carry out its decisions."""

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
class _Apply:
    event: ControlEvent


@attrs.frozen
class _SubmitPatch:
    event: PatchSubmitted
    future: pykka.ThreadingFuture[PatchCompleted]


@attrs.frozen
class _Inspect:
    read: Callable[[ControlState], object]


class ControlActor(pykka.ThreadingActor):
    """Hold the control state and the operators waiting for an answer."""

    use_daemon_thread = True

    def __init__(
        self, control: ControlState, *, carry_out: Callable[[ControlDecision], None]
    ) -> None:
        super().__init__()
        self._control = control
        self._carry_out = carry_out
        self._patches: dict[str, pykka.ThreadingFuture[PatchCompleted]] = {}

    def on_receive(self, message: object) -> object:
        """Apply one message from a reader thread or an operator call."""
        match message:
            case _Apply(event):
                self._apply(event)
            case _SubmitPatch(event, future):
                self._patches[event.patch_id] = future
                self._apply(event)
            case _Inspect(read):
                return read(self._control)
        return None

    def _apply(self, event: ControlEvent) -> None:
        for decision in self._control.handle(event, time.monotonic()):
            if isinstance(decision, PatchCompleted):
                future = self._patches.pop(decision.patch_id, None)
                if future is not None:
                    future.set(decision)
            else:
                self._carry_out(decision)


class ControlPort:
    """Let other threads talk to the control actor."""

    def __init__(self, ref: pykka.ActorRef[ControlActor]) -> None:
        self._ref = ref

    def tell(self, event: ControlEvent) -> None:
        """Hand in an event without waiting."""
        self._ref.tell(_Apply(event))

    def submit_patch(
        self, event: PatchSubmitted, *, timeout_s: float
    ) -> PatchCompleted | None:
        """Submit a patch and wait for its result; None after the timeout."""
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
