"""Quarantine notices, spread by heartbeats and by the quarantine stream."""

from collections import OrderedDict

from persimmonwell.core._documents import JsonObject, JsonValue
from persimmonwell.core.config import LogRecord
from persimmonwell.core.control._decisions import (
    ApplyPeerBlame,
    ControlDecision,
    ReleaseDigest,
)
from persimmonwell.core.membership import QuarantineNotice

QUARANTINE_STREAM = "quarantine"
QUARANTINE_SCHEMA = 1
ROUNDS_PER_NOTICE = 3
"""Heartbeat rounds that carry a notice; repeated because messages can be lost."""
NOTICES_PER_HEARTBEAT = 4
MAX_NOTICES = 4096
MAX_FIELD_CHARACTERS = 128


class QuarantineNotices:
    """Blamed digests and the notices still to be sent."""

    def __init__(self, host_id: str, incarnation: int) -> None:
        self._prefix = f"{host_id}:{incarnation}"
        self._last_number = 0
        self._blamed: OrderedDict[str, set[str]] = OrderedDict()
        self._seen: OrderedDict[str, None] = OrderedDict()
        self._outgoing: dict[str, tuple[QuarantineNotice, int]] = {}
        self._read_offset = 0

    @property
    def read_offset(self) -> int:
        """Return the offset to read the quarantine stream from."""
        return self._read_offset

    @property
    def blamed(self) -> tuple[tuple[str, tuple[str, ...]], ...]:
        """Return each blamed digest with the upstreams whose loss it is blamed for."""
        return tuple(
            (digest, tuple(sorted(upstream_ids)))
            for digest, upstream_ids in self._blamed.items()
        )

    def announce(self, digest: str, upstream_id: str) -> JsonObject | None:
        """Queue this host's blame or clearing and return its log record.

        An empty upstream_id clears the digest. None means the blame is known.
        """
        if upstream_id and upstream_id in self._blamed.get(digest, set()):
            return None
        self._last_number += 1
        notice = QuarantineNotice(
            f"{self._prefix}:{self._last_number}", digest, upstream_id
        )
        self._queue_notice(notice)
        self._apply(digest, upstream_id)
        kind = "blame" if upstream_id else "clear"
        return {
            "type": kind,
            "schema": QUARANTINE_SCHEMA,
            "id": notice.notice_id,
            "digest": digest,
            "upstream_id": upstream_id,
        }

    def merge_peer_notices(
        self, notices: tuple[QuarantineNotice, ...]
    ) -> list[ControlDecision]:
        """Apply a peer's notices and queue the new ones for this host's peers."""
        decisions: list[ControlDecision] = []
        for notice in notices:
            if notice.notice_id not in self._seen:
                self._queue_notice(notice)
                decisions += self._apply(notice.digest, notice.upstream_id)
        return decisions

    def _queue_notice(self, notice: QuarantineNotice) -> None:
        self._seen[notice.notice_id] = None
        self._outgoing[notice.notice_id] = (notice, ROUNDS_PER_NOTICE)
        while len(self._seen) > MAX_NOTICES:
            self._outgoing.pop(self._seen.popitem(last=False)[0], None)

    def _apply(self, digest: str, upstream_id: str) -> list[ControlDecision]:
        if not upstream_id:
            was_blamed = self._blamed.pop(digest, None) is not None
            return [ReleaseDigest(digest)] if was_blamed else []
        upstreams = self._blamed.setdefault(digest, set())
        if upstream_id in upstreams:
            return []
        upstreams.add(upstream_id)
        while len(self._blamed) > MAX_NOTICES:
            self._blamed.popitem(last=False)
        return [ApplyPeerBlame(digest, upstream_id)]

    def apply_log_records(
        self, first_offset: int, records: tuple[LogRecord, ...]
    ) -> list[ControlDecision]:
        """Apply records of the quarantine stream in offset order.

        Records are applied even when their notice was received before, so that
        every host ends with the log's order of blame and clearing.
        """
        self._read_offset = max(self._read_offset, first_offset)
        decisions: list[ControlDecision] = []
        for record in records:
            if record.offset != self._read_offset:
                continue
            self._read_offset += 1
            data = record.data
            digest, upstream = (
                _valid_text(data.get("digest")),
                _valid_text(data.get("upstream_id")),
            )
            if data.get("schema") != QUARANTINE_SCHEMA or not digest:
                continue
            if data.get("type") == "clear":
                decisions += self._apply(digest, "")
            elif data.get("type") == "blame" and upstream:
                decisions += self._apply(digest, upstream)
        return decisions

    @property
    def has_unsent(self) -> bool:
        """Return whether any queued notice has not been sent yet."""
        return any(
            rounds_left == ROUNDS_PER_NOTICE
            for _, rounds_left in self._outgoing.values()
        )

    def take_next_round(self) -> tuple[QuarantineNotice, ...]:
        """Take the notices for one heartbeat round, the least sent ones first."""
        by_rounds = sorted(self._outgoing.values(), key=lambda item: -item[1])
        chosen = by_rounds[:NOTICES_PER_HEARTBEAT]
        for notice, rounds_left in chosen:
            if rounds_left > 1:
                self._outgoing[notice.notice_id] = (notice, rounds_left - 1)
            else:
                del self._outgoing[notice.notice_id]
        return tuple(notice for notice, _ in chosen)


def _valid_text(value: JsonValue) -> str:
    return (
        value if isinstance(value, str) and len(value) <= MAX_FIELD_CHARACTERS else ""
    )
