"""Log appends that are retried until the log confirms them."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core.control._decisions import AppendRecords


@attrs.frozen
class _PendingAppend:
    append: AppendRecords
    retry_until_s: float


class PendingAppends:
    """Unconfirmed appends, retried unchanged.

    A retry carries the same record ids, so that the fold applies them once.
    """

    def __init__(self) -> None:
        self._pending: dict[int, _PendingAppend] = {}
        self._last_id = 0

    def start(
        self, stream: str, record: JsonObject, *, retry_until_s: float
    ) -> AppendRecords:
        """Return the append of one record; it is retried until the given time."""
        self._last_id += 1
        append = AppendRecords(self._last_id, stream, (record,))
        self._pending[append.append_id] = _PendingAppend(append, retry_until_s)
        return append

    def confirm(self, append_id: int) -> None:
        """Remove an append that the log has confirmed."""
        self._pending.pop(append_id, None)

    def retry(self, append_id: int, now_s: float) -> tuple[AppendRecords, ...]:
        """Return the append to repeat; empty when it is unknown or timed out."""
        pending = self._pending.get(append_id)
        if pending is None:
            return ()
        if now_s >= pending.retry_until_s:
            del self._pending[append_id]
            return ()
        return (pending.append,)
