"""Track appends until the log has answered them."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core.control._decisions import AppendRecords


@attrs.frozen
class _Open:
    append: AppendRecords
    give_up_s: float


class Appends:
    """Hold the appends without an answer and repeat them unchanged.

    A repeated append carries the same record ids, so its fold counts it once.
    """

    def __init__(self) -> None:
        self._open: dict[int, _Open] = {}
        self._last_id = 0

    def start(
        self, stream: str, record: JsonObject, *, give_up_s: float
    ) -> AppendRecords:
        """Return the append of one record, repeated until a point in time."""
        self._last_id += 1
        append = AppendRecords(self._last_id, stream, (record,))
        self._open[append.append_id] = _Open(append, give_up_s)
        return append

    def confirmed(self, append_id: int) -> None:
        """Forget an append that the log has answered."""
        self._open.pop(append_id, None)

    def uncertain(self, append_id: int, now_s: float) -> tuple[AppendRecords, ...]:
        """Return the append to repeat, or nothing when its time is over."""
        found = self._open.get(append_id)
        if found is None:
            return ()
        if now_s >= found.give_up_s:
            del self._open[append_id]
            return ()
        return (found.append,)
