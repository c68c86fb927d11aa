"""Memory and descriptors of one process, and what callers may use of them."""

from persimmonwell.core.resources._connections import (
    CLOSING_CONNECTIONS,
    FILE_DESCRIPTORS,
    FIXED_DESCRIPTORS,
    MIN_CALLER_CONNECTIONS,
    Admission,
    ConnectionTable,
    caller_connection_bound,
)
from persimmonwell.core.resources._memory import (
    SMALL_BODY_BYTES,
    BodyCharge,
    Charge,
    MemoryBudget,
    ProgressCharge,
    memory_budget_bytes,
    peer_load_bound,
)
from persimmonwell.core.resources._pacing import Pacer
from persimmonwell.core.resources._policy import CallerPolicy, RefusalReason
from persimmonwell.core.resources._progress import Progress
from persimmonwell.core.resources._socket_buffers import (
    RECEIVE_BUFFER_BYTES,
    STATUS_BUFFER_BYTES,
    UPLOAD_BUFFER_BYTES,
    BufferPlan,
    SocketBuffers,
    buffer_plan,
    buffered_connection_bound,
)
from persimmonwell.core.resources._threads import choose_stalled

__all__ = [
    "CLOSING_CONNECTIONS",
    "FILE_DESCRIPTORS",
    "FIXED_DESCRIPTORS",
    "MIN_CALLER_CONNECTIONS",
    "RECEIVE_BUFFER_BYTES",
    "SMALL_BODY_BYTES",
    "STATUS_BUFFER_BYTES",
    "UPLOAD_BUFFER_BYTES",
    "Admission",
    "BodyCharge",
    "BufferPlan",
    "CallerPolicy",
    "Charge",
    "ConnectionTable",
    "MemoryBudget",
    "Pacer",
    "Progress",
    "ProgressCharge",
    "RefusalReason",
    "SocketBuffers",
    "buffer_plan",
    "buffered_connection_bound",
    "caller_connection_bound",
    "choose_stalled",
    "memory_budget_bytes",
    "peer_load_bound",
]
