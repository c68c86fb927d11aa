"""Tests of an exchange driven by answers of upstreams, without connections."""

from collections.abc import Iterable
from typing import Any

import attrs
from hypothesis import example, given
from hypothesis import strategies as st

from persimmonwell.core.forwarding import (
    AttemptFailure,
    CallerRequest,
    Ending,
    Finish,
    ReplicaStatement,
    Send,
)
from persimmonwell.gateway._attempt import MAX_BUFFERED_BYTES
from persimmonwell.gateway._caller_requests import RawRequest
from persimmonwell.gateway._exchange import Exchange

LAST_EVENT = 6
LARGE_BODY = MAX_BUFFERED_BYTES + 9


class RecordingCaller:
    """Caller's connection that records what is written to it."""

    has_room = True

    def __init__(self) -> None:
        self.status = 0
        self.seal = b""
        self.body = b""
        self.is_complete = False
        self.is_aborted = False

    def _write(self, data: bytes) -> None:
        assert not (self.is_complete or self.is_aborted), "bytes after the end"
        self.body += data

    def write_answer(self, status: int, headers: Iterable[Any], body: bytes) -> None:
        assert self.status == 0, "a second head"
        self.status = status
        self.seal = dict(headers).get(b"Response-Seal", b"")
        self._write(body)
        self.is_complete = True

    def begin_answer(self, status: int, headers: Iterable[Any], data: bytes) -> None:
        assert self.status == 0, "a second head"
        self.status = status
        self.seal = dict(headers).get(b"Response-Seal", b"")
        self._write(data)

    def write_data(self, data: bytes) -> None:
        assert self.status, "a body without a head"
        self._write(data)

    def end_answer(self) -> None:
        self._write(b"")
        self.is_complete = True

    def abort_answer(self) -> None:
        self.is_aborted = True

    def hold_answer_bytes(self, count: int, *, is_forced: bool = False) -> bool:
        return is_forced or self.has_room


class ScriptedConnection:
    """Idle upstream connection on which a test plays the answer."""

    keep_alive_s: float | None = None

    def __init__(self) -> None:
        self.handler: Any = None
        self.is_aborted = False

    def send(self, data: bytes, request_id: str, handler: Any) -> None:
        self.handler = handler
        self.sent = data

    def abort(self) -> None:
        self.is_aborted = True


class ScriptedOwner:
    """Owner that retries every failed attempt; it records how each one ended."""

    def __init__(self) -> None:
        self.pool = self
        self.connection = ScriptedConnection()
        self.failures: list[AttemptFailure] = []
        self.completed: list[int] = []

    def acquire_idle(self, address: str, **options: Any) -> ScriptedConnection:
        self.connection = ScriptedConnection()
        return self.connection

    def now_s(self) -> float:
        return 0.0

    def attempt_failed(
        self, exchange: Exchange, failure: AttemptFailure, **facts: Any
    ) -> None:
        self.failures.append(failure)

    def answer_completed(self, exchange: Exchange, status: int) -> None:
        self.completed.append(status)

    def limit_stated(self, exchange: Exchange, rate_per_s: float | None) -> None: ...

    def statement_received(
        self, exchange: Exchange, statement: ReplicaStatement
    ) -> None: ...

    def answer_opened(self, exchange: Exchange) -> None: ...

    def answer_began(self, exchange: Exchange) -> None: ...

    def event_forwarded(self, exchange: Exchange) -> None: ...

    def caller_left(self, exchange: Exchange) -> None: ...


@attrs.frozen
class Answer:
    """Answer of an upstream to one attempt."""

    status: int = 200
    is_sealed: bool = True
    is_stated_not_run: bool = False
    is_whole: bool = True
    is_framed: bool = True
    plain_bytes: int = 0
    """Size of the body where the answer is not a stream of events."""
    events: int = LAST_EVENT
    """Events that a stream sends before it ends; all that are left at the most."""
    cut_bytes: int = 0
    """Bytes of a further event that a broken stream sends."""
    skips_an_event: bool = False

    @property
    def is_event_stream(self) -> bool:
        return self.status == 200 and self.is_sealed and not self.is_stated_not_run

    @property
    def is_last_of_a_stream(self) -> bool:
        return self.is_event_stream and self.is_whole


def event(number: int) -> bytes:
    return b"id: %d\ndata: %d\n\n" % (number, number)


WHOLE_STREAM = b"".join(event(number) for number in range(1, LAST_EVENT + 1))


def headers_of(answer: Answer, attempt: int) -> list[tuple[bytes, bytes]]:
    headers = [(b"Request-Id", b"r")]
    headers += [(b"Response-Seal", b"%d" % attempt)] if answer.is_sealed else []
    headers += [(b"Not-Executed", b"1")] if answer.is_stated_not_run else []
    return headers


def body_of(
    answer: Answer, *, attempt: int, first_event: int, is_stream: bool
) -> bytes:
    if not (is_stream and answer.is_event_stream):
        return b"%d" % attempt * answer.plain_bytes
    # Where a new stream begins is up to its upstream; only a gap shows as one. Without
    # a later event there is no gap: an empty answer to a resume is that of a stream
    # which has already sent its last event.
    skips = answer.skips_an_event and 1 < first_event < LAST_EVENT
    start = first_event + skips
    # A stream that ends whole has sent its last event.
    count = LAST_EVENT if answer.is_whole else answer.events
    stop = min(LAST_EVENT + 1, start + count)
    body = b"".join(event(number) for number in range(start, stop))
    return body if answer.is_whole else body + event(stop)[: answer.cut_bytes]


def new_exchange(
    caller: RecordingCaller,
    owner: ScriptedOwner,
    *,
    is_stream: bool,
    last_event_id: int | None = None,
) -> Exchange:
    return Exchange(
        key=1,
        owner=owner,  # type: ignore[arg-type]
        caller=caller,  # type: ignore[arg-type]
        raw=RawRequest("POST", "/x", "h", (), b"", True),
        request=CallerRequest("r", "h", "/x", "POST", last_event_id=last_event_id),
        is_stream=lambda: is_stream,
    )


def play(
    answers: list[Answer], *, is_stream: bool
) -> tuple[RecordingCaller, ScriptedOwner]:
    """Play one answer an attempt until the caller's answer ends; then give up."""
    caller, owner = RecordingCaller(), ScriptedOwner()
    exchange = new_exchange(caller, owner, is_stream=is_stream)
    for attempt, answer in enumerate(answers, start=1):
        exchange.send(Send(1, attempt, f"u{attempt}", "a:1", None, 9.0, True, None))
        connection = owner.connection
        first_event = caller.body.count(b"\n\n") + 1
        body = body_of(
            answer, attempt=attempt, first_event=first_event, is_stream=is_stream
        )
        connection.handler.on_head(answer.status, headers_of(answer, attempt))
        half = len(body) // 2
        for part in (body[:half], body[half:]):
            if part and not connection.is_aborted:
                connection.handler.on_data(part)
        if not connection.is_aborted:
            if answer.is_whole:
                connection.handler.on_end(is_framed=answer.is_framed)
            else:
                connection.handler.on_broken("closed")
        if owner.completed:
            break
    else:
        exchange.finish(Finish(1, Ending.UPSTREAM_FAILED))
    return caller, owner


def test_resume_by_the_caller_starts_at_the_next_event() -> None:
    """Guards against a gap or a repeat where the caller itself resumes a stream."""
    for first_event, is_sound in ((2, False), (3, True), (4, False)):
        caller, owner = RecordingCaller(), ScriptedOwner()
        exchange = new_exchange(caller, owner, is_stream=True, last_event_id=2)
        exchange.send(Send(1, 1, "u1", "a:1", None, 9.0, True, None))
        assert b"last-event-id: 2\r\n" in owner.connection.sent
        owner.connection.handler.on_head(200, headers_of(Answer(), 1))
        owner.connection.handler.on_data(event(first_event))
        assert caller.body == (event(first_event) if is_sound else b"")
        assert owner.failures == ([] if is_sound else [AttemptFailure.BROKEN])


answers = st.builds(
    Answer,
    status=st.sampled_from([200, 200, 200, 204, 404, 429, 500, 503, 504]),
    is_sealed=st.booleans(),
    is_stated_not_run=st.sampled_from([False, False, False, True]),
    is_whole=st.booleans(),
    is_framed=st.booleans(),
    plain_bytes=st.sampled_from([0, 5, LARGE_BODY]),
    events=st.integers(0, LAST_EVENT),
    cut_bytes=st.integers(0, 5),
    skips_an_event=st.sampled_from([False, False, False, True]),
)


@given(st.lists(answers, min_size=1, max_size=5))
@example(
    [
        Answer(is_sealed=False, events=0),
        Answer(is_whole=False, is_framed=False, events=LAST_EVENT - 1),
        Answer(skips_an_event=True, events=0),
    ]
)
def test_only_the_last_event_completes_a_stream(played: list[Answer]) -> None:
    """Guards against a failed resume that ends a partial stream as if complete."""
    caller, owner = play(played, is_stream=True)
    assert caller.is_complete or caller.is_aborted
    is_success = caller.status == 200
    if is_success and caller.is_complete:
        assert caller.body == WHOLE_STREAM
        last = played[len(owner.failures)]
        assert last.is_last_of_a_stream
    if is_success and caller.is_aborted:
        assert WHOLE_STREAM.startswith(caller.body)


@given(st.lists(answers, min_size=1, max_size=5))
def test_plain_answer_is_never_joined_with_another_run(played: list[Answer]) -> None:
    """Guards against the parts of two answers in one, and unsigned successes."""
    caller, owner = play(played, is_stream=False)
    assert len(set(caller.body)) <= 1 or caller.status >= 500
    if caller.status and caller.status < 300:
        writer = played[int(caller.seal) - 1]
        assert not writer.is_stated_not_run
        assert set(caller.body) <= set(caller.seal)
        if caller.is_complete:
            assert len(caller.body) == writer.plain_bytes and writer.is_whole


def test_failed_resume_with_a_sealed_error_is_not_the_end_of_a_stream() -> None:
    """Guards against the fault of the drawn day fresh-8b0e: a 500 to a resume."""
    broken = Answer(is_whole=False, events=2)
    failed = Answer(status=500, plain_bytes=5)
    caller, owner = play([broken, failed], is_stream=True)
    assert owner.failures == [AttemptFailure.BROKEN, AttemptFailure.ERROR]
    assert caller.is_aborted and not owner.completed
    caller, owner = play([broken, failed, Answer()], is_stream=True)
    assert caller.is_complete and caller.body == WHOLE_STREAM


def test_answer_without_room_is_forwarded_as_it_arrives() -> None:
    """Guards against held answers that exceed the memory of the host together."""
    caller, owner = RecordingCaller(), ScriptedOwner()
    caller.has_room = False
    exchange = new_exchange(caller, owner, is_stream=False)
    exchange.send(Send(1, 1, "u1", "a:1", None, 9.0, True, None))
    handler = owner.connection.handler
    handler.on_head(200, headers_of(Answer(), 1))
    handler.on_data(b"x" * 20_000)
    assert len(caller.body) == 20_000 and not caller.is_complete
    handler.on_data(b"y")
    handler.on_end(is_framed=True)
    assert caller.body == b"x" * 20_000 + b"y" and caller.is_complete


def test_small_answer_needs_no_room() -> None:
    """Guards against ordinary answers that can no longer be retried."""
    caller, owner = RecordingCaller(), ScriptedOwner()
    caller.has_room = False
    exchange = new_exchange(caller, owner, is_stream=False)
    exchange.send(Send(1, 1, "u1", "a:1", None, 9.0, True, None))
    owner.connection.handler.on_head(200, headers_of(Answer(), 1))
    owner.connection.handler.on_data(b"x" * 10_000)
    assert caller.body == b""


def test_failure_without_room_fails_its_attempt() -> None:
    """Guards against the body of an error that is kept with no memory left."""
    caller, owner = RecordingCaller(), ScriptedOwner()
    caller.has_room = False
    exchange = new_exchange(caller, owner, is_stream=False)
    exchange.send(Send(1, 1, "u1", "a:1", None, 9.0, True, None))
    owner.connection.handler.on_head(500, headers_of(Answer(status=500), 1))
    owner.connection.handler.on_data(b"x" * 20_000)
    assert owner.failures == [AttemptFailure.ERROR] and owner.connection.is_aborted
