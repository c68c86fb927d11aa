"""Limits on callers' connections, with the defaults of a host."""

from enum import StrEnum

import attrs


class RefusalReason(StrEnum):
    """Cause for which a request was refused or a connection was ended."""

    NO_MEMORY = "no_memory"
    BODY_TOO_LARGE = "body_too_large"
    HEAD_TOO_LARGE = "head_too_large"
    SLOW_BODY = "slow_body"
    UNREAD_ANSWER = "unread_answer"


@attrs.frozen
class CallerPolicy:
    """Limits that no client within the configured limits reaches."""

    min_body_bytes_per_s: float = 64.0
    """Mean rate of a request body over body_window_s below which it is ended."""
    body_window_s: float = 60.0
    """Four times the idle time-out, within which a client has to send a byte."""
    unread_answer_s: float = 30.0
    """Time without any byte taken after which an unread answer is ended."""
    upload_wait_s: float = 10.0
    """Time for which an upload waits for memory before it is refused."""
    max_waiting_uploads: int = 128
    """Uploads that wait for memory; further ones are refused at once. Each holds up to
    64 KB that were read with its head."""
    shortage_s: float = 1.0
    """Time for which an upload waits before the memory of others is taken."""
    stall_s: float = 2.0
    """Time without progress after which an upload may be ended for others, and the
    time for which the progress of an upload is observed before it is judged."""
    discard_bytes: int = 1_048_576
    """Bytes that are discarded after a refusal, so that the client can read it."""
    discard_s: float = 1.0
    retry_after_s: float = 2.0
    """Time to come back in refusals for lack of memory."""
