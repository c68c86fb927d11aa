"""Outcome of each request that must not be repeated, from the hosts' decision logs.

When many replicas or hosts fall at one moment, operators need the requests that landed
and those whose effect has to be checked at the service itself.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

import attrs

UNREPEATABLE_KIND = "unsafe"
NEVER_RAN = frozenset({"not_run", "wrong_replica", "no_connection"})
"""Failures of an attempt that its replica did not run."""
MAY_HAVE_RUN_ENDINGS = frozenset({"upstream_failed", "timed_out"})
"""Endings of requests of which an attempt may have run."""


class LandedOutcome(Enum):
    """What is known of the effect of a request."""

    NOT_RUN = "not_run"
    ANSWERED = "answered"
    """It ran, and its caller was sent the replica's answer."""
    ANSWER_LOST = "answer_lost"
    """It ran, since its replica began to answer, and the caller has no whole answer."""
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class RequestOutcome:
    """Outcome of one request, with the replica that decides it."""

    request_id: str
    host: str
    route: str
    tenant: str | None
    outcome: LandedOutcome
    replica: str | None
    """Replica that ran it or may have; None if none did."""
    born_ms: int | None
    """Unix time in ms at which that incarnation of the replica started."""
    wall_s: float
    """Unix time in s of the last send, or of the end if it was never sent."""
    last_known: str


@attrs.frozen
class OutcomeFilter:
    """Selection of outcomes; None selects everything."""

    since_s: float | None = None
    until_s: float | None = None
    route: str | None = None
    replica: str | None = None

    def selects(self, outcome: RequestOutcome) -> bool:
        """Return whether the outcome is in the span, of the route and the replica."""
        return (
            (self.since_s is None or outcome.wall_s >= self.since_s)
            and (self.until_s is None or outcome.wall_s <= self.until_s)
            and self.route in (None, outcome.route)
            and self.replica in (None, outcome.replica)
        )


def list_outcomes(
    lines: Iterable[Mapping[str, Any]], selection: OutcomeFilter
) -> tuple[RequestOutcome, ...]:
    """Return the outcomes of the requests that must not be repeated, by time."""
    by_request: dict[tuple[str, str], list[Mapping[str, Any]]] = defaultdict(list)
    for line in lines:
        if line.get("part") == "request" and line.get("id"):
            key = (str(line.get("host", "")), str(line["id"]))
            by_request[key].append(line)
    outcomes = []
    for (host, request_id), request_lines in by_request.items():
        request_lines.sort(key=lambda line: float(line["time"]))
        if any(line.get("kind") == UNREPEATABLE_KIND for line in request_lines):
            outcomes.append(_judge(host, request_id, request_lines))
    selected = (outcome for outcome in outcomes if selection.selects(outcome))
    return tuple(sorted(selected, key=lambda outcome: outcome.wall_s))


def count_dropped_lines(lines: Iterable[Mapping[str, Any]]) -> dict[str, int]:
    """Return how many lines each host dropped since its output stalled."""
    counts: Counter[str] = Counter()
    for line in lines:
        if line.get("event") == "lines_dropped":
            counts[str(line.get("host", ""))] += int(line.get("count", 0))
    return dict(counts)


def _judge(
    host: str, request_id: str, lines: list[Mapping[str, Any]]
) -> RequestOutcome:
    sends = [line for line in lines if line["event"] == "sent"]
    failures = {
        line.get("attempt"): line for line in lines if line["event"] == "attempt_failed"
    }
    last = lines[-1]
    outcome, deciding = _judge_unseen_attempts(sends, failures, last), None
    for send in sends:
        found = _judge_attempt(send, failures.get(send.get("attempt")), last)
        if found is not LandedOutcome.NOT_RUN:
            outcome, deciding = found, send
    return RequestOutcome(
        request_id=request_id,
        host=host,
        route=str(next(line["route"] for line in lines if line.get("route"))),
        tenant=next((line["tenant"] for line in sends if line.get("tenant")), None),
        outcome=outcome,
        replica=str(deciding["to"]) if deciding is not None else None,
        born_ms=deciding.get("born") if deciding is not None else None,
        wall_s=float((sends or lines)[-1]["time"]),
        last_known=_describe(last),
    )


def _judge_unseen_attempts(
    sends: list[Mapping[str, Any]],
    failures: Mapping[Any, Mapping[str, Any]],
    last: Mapping[str, Any],
) -> LandedOutcome:
    """Return the outcome of the attempts whose `sent` lines are not in the log.

    A host drops lines if its output stalls, and a file may begin after the send.
    """
    seen = {send.get("attempt") for send in sends}
    if last["event"] == "answered" and last.get("attempt") not in seen:
        return LandedOutcome.ANSWERED
    found = {
        _judge_attempt(failure, failure, last)
        for attempt, failure in failures.items()
        if attempt not in seen
    }
    for outcome in (LandedOutcome.ANSWERED, LandedOutcome.ANSWER_LOST):
        if outcome in found:
            return outcome
    if LandedOutcome.MAY_HAVE_RUN in found:
        return LandedOutcome.MAY_HAVE_RUN
    if not sends and last.get("ending") in MAY_HAVE_RUN_ENDINGS:
        return LandedOutcome.MAY_HAVE_RUN
    return LandedOutcome.NOT_RUN


def _judge_attempt(
    send: Mapping[str, Any], failure: Mapping[str, Any] | None, last: Mapping[str, Any]
) -> LandedOutcome:
    if failure is not None:
        if failure.get("failure") in NEVER_RAN:
            return LandedOutcome.NOT_RUN
        if failure.get("failure") == "error":
            # The replica's own error is forwarded to the caller.
            return LandedOutcome.ANSWERED
        has_answer = failure.get("answer") is not None
        return LandedOutcome.ANSWER_LOST if has_answer else LandedOutcome.MAY_HAVE_RUN
    if last["event"] == "answered" and last.get("attempt") == send.get("attempt"):
        return LandedOutcome.ANSWERED
    # The caller left, the time ran out, or the host stopped writing.
    return LandedOutcome.MAY_HAVE_RUN


def _describe(line: Mapping[str, Any]) -> str:
    names = ("status", "ending", "failure", "detail", "answer", "ms")
    facts = [
        f"{name}={line[name]}" for name in names if line.get(name) not in (None, "")
    ]
    return " ".join([str(line["event"]), *facts])
