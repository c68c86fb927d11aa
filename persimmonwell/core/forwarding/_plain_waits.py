"""How long requests to plain services may wait at the host.

Load pattern: under three times the load, a queue in order of arrival makes every answer
late, although the slots are used. A request waits only while its answer can arrive
within the latency objective, so that those behind it can be answered in time too.
"""

from persimmonwell.core.forwarding._active import ActiveRequest

UNKNOWN_ANSWER_SHARE = 0.5
"""Part of the latency objective that is left for the answer while no answer has shown
how long one takes."""
CALLER_RETRY_OBJECTIVES = 1.0
"""Longest wait of a caller's retry in latency objectives: its answer is late already,
and a caller that is refused twice gives up."""


def is_plain(active: ActiveRequest) -> bool:
    """Return whether a request goes to a service without a pipeline."""
    engine = active.service.engine
    return engine is None or engine.layers <= 0


def max_plain_wait_s(active: ActiveRequest, answer_s: float | None) -> float:
    """Return the wait after which the answer to a plain request is late.

    answer_s is the usual duration of an answer, None if that is not known. A request
    that may have run has no such limit: only its deadline ends it.
    """
    if active.may_have_run or active.has_partial_answer:
        return active.max_wait_s
    objective_s = active.route.latency_objective_s
    if active.is_caller_retry:
        return min(active.max_wait_s, CALLER_RETRY_OBJECTIVES * objective_s)
    if answer_s is None:
        answer_s = UNKNOWN_ANSWER_SHARE * objective_s
    return min(active.max_wait_s, max(0.0, objective_s - answer_s))
