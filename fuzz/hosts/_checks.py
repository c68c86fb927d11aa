"""Rules that a run checks on what callers and replicas saw."""

import re
from collections.abc import Callable

import attrs

from fuzz.hosts._callers import STREAM_ROUTES, Seen
from fuzz.hosts._changes import Kind
from fuzz.hosts._proxies import Delivery
from fuzz.hosts._reading import Reading, read_events, read_response
from standins.platform_config import API_KEY
from standins.replica import STREAM_EVENTS, ReceivedRequest
from standins.soak_checks import is_complete, run_violations
from standins.soak_load import REFUSALS

_VALID_KEY = re.compile(rb"(?i)\napi-key:\s*" + API_KEY.encode() + rb"\s*\n")


@attrs.frozen
class Violation:
    """Broken rule with the request that shows it, empty if no single one does."""

    rule: str
    request_id: str
    detail: str


def request_violations(
    seen: Seen,
    runs: list[ReceivedRequest],
    request: Delivery | None,
    responses: list[Delivery],
    seals: frozenset[str],
) -> list[Violation]:
    """Check one request with what replicas ran of it and what the proxies changed."""
    sending, answer = seen.sending, seen.answer
    found = []

    def note(rule: str, detail: object) -> None:
        found.append(Violation(rule, sending.request_id, str(detail)))

    if seen.has_hung:
        note("host hangs", f"no answer to {sending.target}")
    if request is not None and request.is_altered:
        _check_changed_request(seen, runs, request, note)
        return found
    if runs and not sending.has_key:
        note("ran without a valid key", runs[0].target)
    for text in run_violations(answer, len(runs)):
        rule = "ran twice" if "booking" in text else "refused but ran"
        note(rule, f"{text}, answered {answer.status} {answer.headers}")
    if answer.status // 100 == 2 and not _is_sound(seen, responses, seals):
        note("wrong success", f"{answer.status} {answer.headers} {answer.body!r}")
    return found


def _check_changed_request(
    seen: Seen,
    runs: list[ReceivedRequest],
    request: Delivery,
    note: Callable[[str, object], None],
) -> None:
    """Check a request that its host got with other bytes than its caller sent."""
    answer, delivered = seen.answer, request.delivered
    kind = None if request.change is None else request.change.kind
    # The part that comes late is checked with the request that it joins, whose key
    # the caller has sent after it.
    if runs and kind is not Kind.LATE and not _VALID_KEY.search(delivered):
        note("ran without a valid key", delivered)
    is_repeated = kind in (Kind.REPEAT, Kind.LATE)
    bookings = sum(run.target.startswith("/book/") for run in runs)
    if bookings > max(1, delivered.count(b"/book/")) + is_repeated:
        note("ran twice", delivered)
    if delivered.count(b" HTTP/1.") > 1 or is_repeated:
        return
    if answer.status in REFUSALS and "response-seal" not in answer.headers and runs:
        note("refused but ran", f"{delivered!r} answered {answer.status}")
    if answer.status // 100 == 2 and not any(
        is_complete(
            attrs.evolve(
                answer,
                request_id=run.headers.get("request-id", ""),
                route="talk" if "hop-count" in run.headers else "look",
                target=run.target,
            )
        )
        for run in runs
    ):
        note("wrong success", f"{delivered!r} answered {answer}")


def _is_sound(seen: Seen, responses: list[Delivery], seals: frozenset[str]) -> bool:
    """Return whether a success is the whole answer of one replica to its request."""
    is_stream = seen.sending.route in STREAM_ROUTES
    answer = attrs.evolve(seen.answer, route="talk" if is_stream else "look")
    altered = [each for each in responses if each.is_altered]
    if answer.headers.get("response-seal") in seals and is_complete(answer):
        return True
    if not altered:
        return False
    if answer.headers.get("request-id", answer.request_id) != answer.request_id:
        return False
    seal = answer.headers.get("response-seal", "").encode("latin-1")
    if seal.decode("latin-1") not in seals and not any(
        seal in each.delivered for each in altered
    ):
        return False
    readings = [read_response(each.delivered) for each in altered]
    sound = [each for each in readings if each is not None]
    if is_stream:
        return _is_sound_stream(answer.request_id, answer.body, sound)
    return is_complete(answer) or any(
        each.is_whole and each.status == answer.status and each.body == answer.body
        for each in sound
    )


def _is_sound_stream(request_id: str, body: bytes, readings: list[Reading]) -> bool:
    """Return whether a stream has each event once, in order, up to its end.

    A changed byte within the data of an event, or one that ends a response early in a
    valid way, shows nowhere.
    """
    known = {block for each in readings for block in read_events(each.body)}
    blocks = read_events(body)
    for number, block in enumerate(blocks, 1):
        sent = f"id: {number}\ndata: {request_id} {number}".encode()
        # The space is optional in an event stream.
        starts = (b"id: %d\n" % number, b"id:%d\n" % number)
        is_changed = block in known and block.startswith(starts)
        if block != sent and not is_changed:
            return False
    return len(blocks) == STREAM_EVENTS or any(
        each.is_whole and len(read_events(each.body)) == len(blocks)
        for each in readings
    )
