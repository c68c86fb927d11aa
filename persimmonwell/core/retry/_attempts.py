"""Accept the tokens of one request across attempts, each index once."""

from enum import StrEnum

import attrs

from persimmonwell.core._types import covers_all_layers


class DropReason(StrEnum):
    """Name why a frame was not accepted."""

    OTHER_REQUEST = "other-request"
    STALE_ATTEMPT = "stale-attempt"
    REPEATED_INDEX = "repeated-index"
    MISSING_INDEX = "missing-index"
    TOO_MANY = "too-many"
    LAYER_TRACE = "layer-trace"
    WRONG_COUNT = "wrong-count"
    AFTER_END = "after-end"


@attrs.frozen
class TokenFrame:
    """Hold one token as an engine chain reports it."""

    request_id: str
    attempt: int
    index: int
    text: str
    layers: tuple[tuple[int, int], ...]
    """Layer ranges that the token passed, in order."""


@attrs.frozen
class EndFrame:
    """Hold the end of an answer as an engine chain reports it."""

    request_id: str
    attempt: int
    count: int
    """Tokens of the whole answer, resumed ones included."""
    finish_reason: str


@attrs.frozen
class AcceptedToken:
    """Pass on a token that is next in order."""

    index: int
    text: str


@attrs.frozen
class AcceptedEnd:
    """Report that the answer is whole."""

    count: int
    finish_reason: str


@attrs.frozen
class Dropped:
    """Report a frame that must not reach the caller."""

    reason: DropReason

    @property
    def breaks_attempt(self) -> bool:
        """Return whether the attempt cannot continue after this frame."""
        return self.reason in _BREAKING


_BREAKING = frozenset(
    {
        DropReason.MISSING_INDEX,
        DropReason.TOO_MANY,
        DropReason.LAYER_TRACE,
        DropReason.WRONG_COUNT,
    }
)


class TokenAssembler:
    """Hold the accepted tokens of one request."""

    def __init__(self, *, request_id: str, total_layers: int, max_tokens: int) -> None:
        self._request_id = request_id
        self._max_tokens = max_tokens
        self._total_layers = total_layers
        self._attempt = 0
        self._texts: list[str] = []
        self._ended = False
        self._checked_trace: tuple[tuple[int, int], ...] | None = None

    @property
    def attempt(self) -> int:
        """Return the current attempt."""
        return self._attempt

    @property
    def resume_index(self) -> int:
        """Return the index of the next token."""
        return len(self._texts)

    @property
    def texts(self) -> tuple[str, ...]:
        """Return the accepted tokens in order."""
        return tuple(self._texts)

    @property
    def ended(self) -> bool:
        """Return whether the answer is whole."""
        return self._ended

    def start_attempt(self, attempt: int) -> None:
        """Make an attempt the current one; frames of earlier ones are dropped."""
        self._attempt = attempt
        self._checked_trace = None

    def accept(
        self, frame: TokenFrame | EndFrame
    ) -> AcceptedToken | AcceptedEnd | Dropped:
        """Check one frame against the request, the attempt and the next index."""
        if frame.request_id != self._request_id:
            return Dropped(DropReason.OTHER_REQUEST)
        if frame.attempt != self._attempt:
            return Dropped(DropReason.STALE_ATTEMPT)
        if self._ended:
            return Dropped(DropReason.AFTER_END)
        if isinstance(frame, EndFrame):
            return self._accept_end(frame)
        if frame.index < len(self._texts):
            return Dropped(DropReason.REPEATED_INDEX)
        if frame.index > len(self._texts):
            return Dropped(DropReason.MISSING_INDEX)
        if frame.index >= self._max_tokens:
            # An engine that never ends would hold its caller until the deadline.
            return Dropped(DropReason.TOO_MANY)
        if not self._trace_is_complete(frame.layers):
            return Dropped(DropReason.LAYER_TRACE)
        self._texts.append(frame.text)
        return AcceptedToken(index=frame.index, text=frame.text)

    def _accept_end(self, frame: EndFrame) -> AcceptedEnd | Dropped:
        if frame.count != len(self._texts):
            return Dropped(DropReason.WRONG_COUNT)
        self._ended = True
        return AcceptedEnd(count=frame.count, finish_reason=frame.finish_reason)

    def _trace_is_complete(self, trace: tuple[tuple[int, int], ...]) -> bool:
        # The trace rarely changes within an attempt, so it is checked once.
        if trace == self._checked_trace:
            return True
        if not covers_all_layers(trace, self._total_layers):
            return False
        self._checked_trace = trace
        return True
