"""Cut a stream into whole events and check their order."""

import attrs


@attrs.frozen
class WholeEvents:
    """Hold the whole events that a piece of a stream completed."""

    data: bytes
    count: int
    last_id: bytes | None
    is_in_order: bool


class EventCutter:
    """Hold the unfinished rest of a stream and the newest event id."""

    def __init__(self) -> None:
        self._rest = b""
        self.last_id: bytes | None = None

    @property
    def has_rest(self) -> bool:
        """Return whether the stream stopped within an event."""
        return bool(self._rest)

    def restart(self) -> None:
        """Drop an unfinished event; another attempt sends it again."""
        self._rest = b""

    def feed(self, data: bytes) -> WholeEvents:
        """Return the events that are whole now."""
        data = self._rest + data if self._rest else data
        end = data.rfind(b"\n\n")
        if end < 0:
            self._rest = data
            return WholeEvents(b"", 0, self.last_id, True)
        whole, self._rest = data[: end + 2], data[end + 2 :]
        count = 0
        in_order = True
        for event in whole[:-2].split(b"\n\n"):
            count += 1
            event_id = _event_id(event)
            if event_id is None:
                continue
            in_order = in_order and _follows(self.last_id, event_id)
            self.last_id = event_id
        return WholeEvents(whole, count, self.last_id, in_order)


def _event_id(event: bytes) -> bytes | None:
    start = 0 if event.startswith(b"id:") else event.find(b"\nid:") + 1
    if start == 0 and not event.startswith(b"id:"):
        return None
    end = event.find(b"\n", start)
    line = event[start : end if end >= 0 else len(event)]
    return line[3:].strip()


def _follows(last_id: bytes | None, event_id: bytes) -> bool:
    """Return whether an id comes after the last one; ids need not be numbers."""
    if last_id is None or not (last_id.isdigit() and event_id.isdigit()):
        return True
    return int(event_id) == int(last_id) + 1
