"""Resources that callers use: descriptors of the process."""

from persimmonwell.core.resources._connections import (
    CLOSING_CONNECTIONS,
    FILE_DESCRIPTORS,
    FIXED_DESCRIPTORS,
    MIN_CALLER_CONNECTIONS,
    Admission,
    ConnectionTable,
    caller_connection_bound,
)

__all__ = [
    "CLOSING_CONNECTIONS",
    "FILE_DESCRIPTORS",
    "FIXED_DESCRIPTORS",
    "MIN_CALLER_CONNECTIONS",
    "Admission",
    "ConnectionTable",
    "caller_connection_bound",
]
