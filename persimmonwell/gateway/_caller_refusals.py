"""Refusals of callers' requests, and what is discarded after one."""

from collections.abc import Sequence
from http import HTTPStatus

import attrs

from persimmonwell.core.forwarding import Ending
from persimmonwell.core.resources import CallerPolicy
from persimmonwell.platform import local_answer_headers

_OVERLOADED_BODY = b'{"error":"%b"}' % Ending.OVERLOADED.value.encode()


@attrs.frozen
class Rejection:
    """Answer to a request that is not accepted, after which the connection closes."""

    status: HTTPStatus
    headers: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""


def build_rejection(
    status: HTTPStatus, request_id: str, policy: CallerPolicy
) -> Rejection:
    """Return the answer with a status; a 503 states when to come back."""
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        headers = local_answer_headers(request_id, policy.retry_after_s)
        return Rejection(status, headers, _OVERLOADED_BODY)
    if request_id:
        return Rejection(status, local_answer_headers(request_id, None))
    return Rejection(status)


class Discard:
    """Count of what a client sends after a refusal.

    A close with unread bytes resets the connection, and the client may lose the answer.
    """

    def __init__(self, policy: CallerPolicy) -> None:
        self._policy = policy
        self._discarded_bytes = 0
        self.rest_bytes = 0
        """Rest of a refused body within the limits, which its client may still send."""
        self.is_active = False

    def add(self, count: int) -> bool:
        """Count discarded bytes; return whether more may follow."""
        self._discarded_bytes += count
        return self._discarded_bytes <= self._policy.discard_bytes + self.rest_bytes
