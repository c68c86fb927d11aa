"""State of the answer that one caller gets, over all attempts of its request.

It answers the failure of a stage in the middle of a stream: the stream is resumed at
another upstream, which may refuse it, fail, or answer with something else. What the
caller was promised with the first bytes limits how the answer may end.
"""

from enum import Enum

import attrs

from persimmonwell.core.forwarding._events import AttemptFailure

HTTP_OK = 200
FIRST_ERROR_STATUS = 300
FIRST_SERVER_ERROR_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that their request has not run."""


class AnswerPhase(Enum):
    """What the caller has received so far."""

    PENDING = "pending"
    PLAIN = "plain"
    """The head and a part of one upstream's body, which only that upstream can end."""
    STREAM = "stream"
    """Complete events of a stream, which may be resumed at its next event."""
    ENDED = "ended"


class BodyUse(Enum):
    """What to do with the body of an upstream's answer."""

    FORWARD_EVENTS = "forward_events"
    FORWARD_PLAIN = "forward_plain"
    """Buffer it, and forward it in parts if it is large."""
    BUFFER = "buffer"
    """Keep it for the end of the answer; one that is too large fails the attempt."""
    DISCARD = "discard"
    """Its head alone decides what follows."""


class Completion(Enum):
    """How a complete answer of an upstream completes the one to the caller."""

    WHOLE = "whole"
    """The head and the body are sent at once."""
    END_OF_PLAIN = "end_of_plain"
    END_OF_STREAM = "end_of_stream"


@attrs.frozen
class UpstreamAnswer:
    """Facts in the head of an upstream's answer."""

    status: int
    has_seal: bool
    """Whether a replica signed the answer; a success without it is invalid."""
    not_run: bool = False
    is_wrong_replica: bool = False

    @property
    def is_unsealed_success(self) -> bool:
        """Return whether the answer claims a success that no replica signed."""
        return self.status < FIRST_ERROR_STATUS and not self.has_seal

    @property
    def is_failure(self) -> bool:
        """Return whether the upstream reports a failure of its own."""
        return self.status >= FIRST_SERVER_ERROR_STATUS or self.is_false_promise

    @property
    def is_false_promise(self) -> bool:
        """Return whether the status promises what the upstream does not state.

        Callers may repeat a request after it, and the upstream may have run it.
        """
        return self.status in NOT_RUN_STATUSES and not self.not_run


@attrs.frozen
class FailedAttempt:
    """Attempt that cannot end the caller's answer."""

    failure: AttemptFailure
    detail: str


class AnswerState:
    """Decides what each part and each end of an attempt means for the caller."""

    def __init__(self) -> None:
        self._phase = AnswerPhase.PENDING
        self._attempt = 0
        self._began_at = 0
        self._attempt_has_events = False

    @property
    def phase(self) -> AnswerPhase:
        """Return what the caller has received so far."""
        return self._phase

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the answer was sent and the rest is owed."""
        return self._phase in (AnswerPhase.PLAIN, AnswerPhase.STREAM)

    @property
    def is_ended(self) -> bool:
        """Return whether nothing more may be sent to the caller."""
        return self._phase is AnswerPhase.ENDED

    def begin_attempt(self, attempt: int) -> None:
        """Record that the next answer belongs to this attempt."""
        self._attempt = attempt
        self._attempt_has_events = False

    def body_use(self, answer: UpstreamAnswer, *, is_stream: bool) -> BodyUse:
        """Return what to do with the body that follows a head."""
        if answer.not_run or answer.is_unsealed_success:
            return BodyUse.DISCARD
        if is_stream and answer.status == HTTP_OK:
            # A plain answer that began cannot be continued by a stream.
            is_plain = self._phase is AnswerPhase.PLAIN
            return BodyUse.DISCARD if is_plain else BodyUse.FORWARD_EVENTS
        if self.has_begun and self._attempt != self._began_at:
            return BodyUse.DISCARD
        return BodyUse.BUFFER if answer.is_failure else BodyUse.FORWARD_PLAIN

    def begin_plain(self) -> None:
        """Record that a part of a plain answer was sent."""
        self._begin(AnswerPhase.PLAIN)

    def add_events(self) -> None:
        """Record that events of a stream were sent."""
        self._attempt_has_events = True
        if self._phase is not AnswerPhase.STREAM:
            self._begin(AnswerPhase.STREAM)

    def _begin(self, phase: AnswerPhase) -> None:
        assert self._phase in (AnswerPhase.PENDING, phase)
        self._phase = phase
        self._began_at = self._attempt

    def end(self) -> None:
        """Record that the answer has ended, whole or broken off."""
        self._phase = AnswerPhase.ENDED

    def judge_end(
        self,
        answer: UpstreamAnswer,
        *,
        is_stream: bool,
        ends_within_event: bool,
        is_framed: bool,
    ) -> Completion | FailedAttempt:
        """Return what the complete answer of the current attempt means.

        Only the end of a stream completes a stream, and only the upstream that began a
        plain answer completes it.
        """
        status = f"status {answer.status}"
        if answer.is_wrong_replica:
            return FailedAttempt(AttemptFailure.WRONG_REPLICA, status)
        if answer.not_run:
            return FailedAttempt(AttemptFailure.NOT_RUN, status)
        if answer.is_unsealed_success:
            return FailedAttempt(AttemptFailure.BROKEN, "answer without a seal")
        use = self.body_use(answer, is_stream=is_stream)
        if use is BodyUse.FORWARD_EVENTS:
            return self._judge_end_of_stream(
                ends_within_event=ends_within_event, is_framed=is_framed
            )
        if use is BodyUse.DISCARD:
            detail = f"{status} instead of the rest of the answer"
            return FailedAttempt(AttemptFailure.ERROR, detail)
        if self._phase is AnswerPhase.PLAIN:
            return Completion.END_OF_PLAIN
        if answer.is_failure:
            return FailedAttempt(AttemptFailure.ERROR, status)
        return Completion.WHOLE

    def _judge_end_of_stream(
        self, *, ends_within_event: bool, is_framed: bool
    ) -> Completion | FailedAttempt:
        if ends_within_event or self._phase is not AnswerPhase.STREAM:
            return FailedAttempt(AttemptFailure.BROKEN, "stream ended within an event")
        if not self._attempt_has_events and not is_framed:
            # A closed connection alone does not show that no event is missing.
            return FailedAttempt(AttemptFailure.BROKEN, "stream without an event")
        return Completion.END_OF_STREAM
