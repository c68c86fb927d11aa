"""Spread blame and its clearing by heartbeats and stream quarantine."""

from collections import OrderedDict

from persimmonwell.core._documents import JsonObject, JsonValue
from persimmonwell.core.config import LogRecord
from persimmonwell.core.control._decisions import (
    ControlDecision,
    LearnBlame,
    ReleaseDigest,
)
from persimmonwell.core.membership import QuarantineNotice

QUARANTINE_STREAM = "quarantine"
QUARANTINE_SCHEMA = 1
NOTICE_ROUNDS = 3
"""Heartbeat rounds that repeat a notice, against lost messages."""
NOTICES_PER_HEARTBEAT = 4
NOTICES_KEPT = 4096
MAX_CHARACTERS = 128


class Notices:
    """Hold the blamed digests and the notices still to be sent."""

    def __init__(self, host_id: str, incarnation: int) -> None:
        self._prefix = f"{host_id}:{incarnation}"
        self._last_number = 0
        self._blamed: OrderedDict[str, set[str]] = OrderedDict()
        self._seen: OrderedDict[str, None] = OrderedDict()
        self._outgoing: dict[str, tuple[QuarantineNotice, int]] = {}
        self._position = 0

    @property
    def position(self) -> int:
        """Return the offset to read the quarantine stream from."""
        return self._position

    @property
    def blamed(self) -> tuple[tuple[str, tuple[str, ...]], ...]:
        """Return each blamed digest with the upstreams lost to it."""
        return tuple((d, tuple(sorted(u))) for d, u in self._blamed.items())

    def announce(self, digest: str, upstream_id: str) -> JsonObject | None:
        """Return the record of an own blame or clearing; None when known."""
        if upstream_id and upstream_id in self._blamed.get(digest, set()):
            return None
        self._last_number += 1
        notice = QuarantineNotice(
            f"{self._prefix}:{self._last_number}", digest, upstream_id
        )
        self._spread(notice)
        self._apply(digest, upstream_id)
        kind = "blame" if upstream_id else "clear"
        return {
            "type": kind,
            "schema": QUARANTINE_SCHEMA,
            "id": notice.notice_id,
            "digest": digest,
            "upstream_id": upstream_id,
        }

    def heard(self, notices: tuple[QuarantineNotice, ...]) -> list[ControlDecision]:
        """Apply a peer's notices and pass new ones on."""
        decisions: list[ControlDecision] = []
        for notice in notices:
            if notice.notice_id not in self._seen:
                self._spread(notice)
                decisions += self._apply(notice.digest, notice.upstream_id)
        return decisions

    def _spread(self, notice: QuarantineNotice) -> None:
        self._seen[notice.notice_id] = None
        self._outgoing[notice.notice_id] = (notice, NOTICE_ROUNDS)
        while len(self._seen) > NOTICES_KEPT:
            self._outgoing.pop(self._seen.popitem(last=False)[0], None)

    def _apply(self, digest: str, upstream_id: str) -> list[ControlDecision]:
        if not upstream_id:
            known = self._blamed.pop(digest, None) is not None
            return [ReleaseDigest(digest)] if known else []
        upstreams = self._blamed.setdefault(digest, set())
        if upstream_id in upstreams:
            return []
        upstreams.add(upstream_id)
        while len(self._blamed) > NOTICES_KEPT:
            self._blamed.popitem(last=False)
        return [LearnBlame(digest, upstream_id)]

    def records_read(
        self, first_offset: int, records: tuple[LogRecord, ...]
    ) -> list[ControlDecision]:
        """Apply records of the quarantine stream in offset order.

        Records are applied even when their notice was heard before, so that the
        order of blame and clearing in the log holds in the end on every host.
        """
        self._position = max(self._position, first_offset)
        decisions: list[ControlDecision] = []
        for record in records:
            if record.offset != self._position:
                continue
            self._position += 1
            data = record.data
            digest, upstream = _text(data.get("digest")), _text(data.get("upstream_id"))
            if data.get("schema") != QUARANTINE_SCHEMA or not digest:
                continue
            if data.get("type") == "clear":
                decisions += self._apply(digest, "")
            elif data.get("type") == "blame" and upstream:
                decisions += self._apply(digest, upstream)
        return decisions

    @property
    def waiting(self) -> bool:
        """Return whether a notice was not sent yet."""
        return any(left == NOTICE_ROUNDS for _, left in self._outgoing.values())

    def next_round(self) -> tuple[QuarantineNotice, ...]:
        """Return the notices of one heartbeat round, the least sent ones first."""
        by_rounds = sorted(self._outgoing.values(), key=lambda item: -item[1])
        chosen = by_rounds[:NOTICES_PER_HEARTBEAT]
        for notice, left in chosen:
            if left > 1:
                self._outgoing[notice.notice_id] = (notice, left - 1)
            else:
                del self._outgoing[notice.notice_id]
        return tuple(notice for notice, _ in chosen)


def _text(value: JsonValue) -> str:
    return value if isinstance(value, str) and len(value) <= MAX_CHARACTERS else ""
