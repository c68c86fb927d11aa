"""Assembly of one request's tokens across attempts, each index exactly once."""

from enum import StrEnum

import attrs

from persimmonwell.core._types import covers_all_layers


class DropReason(StrEnum):
    """Reason why a frame was not accepted."""

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
    """One token as reported by an engine chain."""

    request_id: str
    attempt: int
    index: int
    text: str
    layers: tuple[tuple[int, int], ...]
    """Layer ranges that computed the token, in order."""


@attrs.frozen
class EndFrame:
    """End of an answer as reported by an engine chain."""

    request_id: str
    attempt: int
    count: int
    """Tokens of the whole answer, including those of earlier attempts."""
    finish_reason: str


@attrs.frozen
class AcceptedToken:
    """A frame's token that is the next one in order."""

    index: int
    text: str


@attrs.frozen
class AcceptedEnd:
    """End of an answer whose tokens have all been accepted."""

    count: int
    finish_reason: str


@attrs.frozen
class Dropped:
    """A frame that must not reach the caller."""

    reason: DropReason

    @property
    def breaks_attempt(self) -> bool:
        """Return whether the attempt cannot continue after this frame."""
        return self.reason in _ATTEMPT_BREAKING_REASONS


_ATTEMPT_BREAKING_REASONS = frozenset(
    {
        DropReason.MISSING_INDEX,
        DropReason.TOO_MANY,
        DropReason.LAYER_TRACE,
        DropReason.WRONG_COUNT,
    }
)


class TokenAssembler:
    """Accepted tokens of one request; rejects stale, repeated and invalid frames."""

    def __init__(self, *, request_id: str, total_layers: int, max_tokens: int) -> None:
        self._request_id = request_id
        self._max_tokens = max_tokens
        self._total_layers = total_layers
        self._attempt = 0
        self._token_texts: list[str] = []
        self._is_complete = False
        self._validated_trace: tuple[tuple[int, int], ...] | None = None

    @property
    def attempt(self) -> int:
        """Return the number of the current attempt."""
        return self._attempt

    @property
    def resume_index(self) -> int:
        """Return the index of the next token, where a new attempt resumes."""
        return len(self._token_texts)

    @property
    def token_texts(self) -> tuple[str, ...]:
        """Return the texts of the accepted tokens in order."""
        return tuple(self._token_texts)

    @property
    def is_complete(self) -> bool:
        """Return whether the end of the answer was accepted."""
        return self._is_complete

    def start_attempt(self, attempt: int) -> None:
        """Make an attempt the current one; frames of earlier ones are dropped."""
        self._attempt = attempt
        self._validated_trace = None

    def accept(
        self, frame: TokenFrame | EndFrame
    ) -> AcceptedToken | AcceptedEnd | Dropped:
        """Validate one frame against the request, the attempt and the next index."""
        if frame.request_id != self._request_id:
            return Dropped(DropReason.OTHER_REQUEST)
        if frame.attempt != self._attempt:
            return Dropped(DropReason.STALE_ATTEMPT)
        if self._is_complete:
            return Dropped(DropReason.AFTER_END)
        if isinstance(frame, EndFrame):
            return self._accept_end(frame)
        if frame.index < len(self._token_texts):
            return Dropped(DropReason.REPEATED_INDEX)
        if frame.index > len(self._token_texts):
            return Dropped(DropReason.MISSING_INDEX)
        if frame.index >= self._max_tokens:
            # An engine that never stops would occupy its caller until the deadline.
            return Dropped(DropReason.TOO_MANY)
        if not self._covers_all_layers(frame.layers):
            return Dropped(DropReason.LAYER_TRACE)
        self._token_texts.append(frame.text)
        return AcceptedToken(index=frame.index, text=frame.text)

    def _accept_end(self, frame: EndFrame) -> AcceptedEnd | Dropped:
        if frame.count != len(self._token_texts):
            return Dropped(DropReason.WRONG_COUNT)
        self._is_complete = True
        return AcceptedEnd(count=frame.count, finish_reason=frame.finish_reason)

    def _covers_all_layers(self, trace: tuple[tuple[int, int], ...]) -> bool:
        # The trace rarely changes within an attempt, so the last valid one is cached.
        if trace == self._validated_trace:
            return True
        if not covers_all_layers(trace, self._total_layers):
            return False
        self._validated_trace = trace
        return True
