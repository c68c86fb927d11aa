"""Agree on the configuration from the log and from peers' records."""

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config import (
    Accepted,
    ConfigFold,
    Conflict,
    Duplicate,
    FleetConfig,
    Gap,
    Invalid,
    LogRecord,
    RecentRecords,
    SnapshotFault,
    SnapshotRejected,
    Snapshotted,
    UnknownSchema,
    normalize_record,
    verify_snapshot,
)
from persimmonwell.core.control._decisions import ControlDecision, ReportFault
from persimmonwell.core.control._events import RecordsRead
from persimmonwell.core.control._snapshots import SnapshotSchedule
from persimmonwell.core.membership import NO_CONFIG_IN_FORCE, ConfigRecords, Heartbeat

CLAIM_HOLD_S = 10.0
"""A peer's announced offset counts this long after its last heartbeat."""
CLAIM_DOUBT_S = 5.0
"""An offset that the log does not reach for so long is not waited for."""
LOG_CURRENT_S = 10.0
"""A log read within this time is preferred to a peer's snapshot."""
REPORTS_KEPT = 1024
ANSWER_RECORDS = 100
ANSWER_BYTES = 256 * 1024


@attrs.frozen
class _Claim:
    """Hold the offset that a peer announced."""

    offset: int
    in_force: bool
    since_s: float
    """When the peer first announced this offset."""
    heard_s: float


class ConfigAgreement:
    """Hold the fold, the position in the log and the configuration in force."""

    def __init__(self) -> None:
        self._fold = ConfigFold()
        self._recent = RecentRecords()
        self._snapshots = SnapshotSchedule()
        self._in_force: FleetConfig | None = None
        self._in_force_document: JsonObject = {}
        self._in_force_digest = ""
        self._position = 0
        self._log_first = 0
        self._log_next: int | None = None
        self._log_read_s: float | None = None
        self._claims: dict[str, _Claim] = {}
        self._stopped_at: int | None = None
        self._rebuilding = False
        self._reported: set[str] = set()

    @property
    def fold(self) -> ConfigFold:
        """Return the fold of the config stream."""
        return self._fold

    @property
    def in_force(self) -> FleetConfig | None:
        """Return the configuration in force; None before one is known."""
        return self._in_force

    @property
    def in_force_document(self) -> JsonObject:
        """Return the document of the configuration in force."""
        return self._in_force_document

    @property
    def position(self) -> int:
        """Return the offset to read the log from.

        It can be below the fold's next offset: records that peers passed on are
        read again from the log and compared.
        """
        return self._position

    @property
    def stopped(self) -> bool:
        """Return whether a record of a newer release has stopped the fold."""
        return self._stopped_at is not None

    @property
    def version(self) -> int:
        """Return the version in force, or NOT_IN_FORCE."""
        return NO_CONFIG_IN_FORCE if self._in_force is None else self._in_force.version

    def records_read(
        self, event: RecordsRead, now_s: float
    ) -> tuple[ControlDecision, ...]:
        """Fold records read from the log."""
        self._log_first = max(self._log_first, event.first_offset)
        self._log_next = max(self._log_next or 0, event.next_offset)
        self._log_read_s = now_s
        self._position = max(self._position, event.first_offset)
        reports: list[ControlDecision] = []
        for record in event.records:
            reports += self._take_from_log(record, now_s)
            if record.offset == self._position and not self.stopped:
                self._position += 1
        if self._rebuilding and self._fold.next_offset >= self._log_next:
            self._rebuilding = False
        self._read_again_from_fold()
        return tuple(reports)

    def _read_again_from_fold(self) -> None:
        """Step back when the search for a snapshot passed records now needed."""
        if self._log_first <= self._fold.next_offset < self._position:
            self._position = self._fold.next_offset

    def _take_from_log(
        self, record: LogRecord, now_s: float
    ) -> tuple[ControlDecision, ...]:
        record = LogRecord(record.offset, normalize_record(record.data))
        if record.offset < self._fold.next_offset:
            return self._compare(record)
        if record.offset > self._fold.next_offset:
            self._try_snapshot(record)
        if record.offset == self._fold.next_offset:
            return self._fold_record(record, now_s)
        return ()

    def _compare(self, record: LogRecord) -> tuple[ControlDecision, ...]:
        if not self._recent.conflicts(record):
            return ()
        # The log decides: what a peer passed on is discarded and the stream is
        # folded again, while the version in force stays until a newer one.
        self._fold, self._recent = ConfigFold(), RecentRecords()
        self._position, self._stopped_at = 0, None
        self._rebuilding = True
        detail = f"log holds another record at offset {record.offset}"
        return (ReportFault("config", "log_conflict", detail),)

    def _try_snapshot(self, record: LogRecord) -> None:
        """Start from a snapshot when all records after it can still be read."""
        found = verify_snapshot(record.data)
        if isinstance(found, SnapshotFault):
            return
        if self._log_first <= found.offset <= record.offset:
            if self._fold.start_from(found):
                self._recent = RecentRecords()
                self._position = found.offset

    def _fold_record(
        self, record: LogRecord, now_s: float
    ) -> tuple[ControlDecision, ...]:
        match self._fold.apply(record):
            case UnknownSchema(schema):
                self._stopped_at = record.offset
                detail = f"record {record.offset} has schema {schema}"
                return self._report_once("unknown_schema", detail)
            case SnapshotRejected(reason):
                self._recent.add(record)
                detail = f"record {record.offset}: {reason}"
                return (ReportFault("config", "snapshot_rejected", detail),)
            case Snapshotted(offset):
                self._snapshots.seen(offset, now_s)
                self._recent.add(record)
            case Accepted() | Conflict() | Invalid() | Duplicate():
                self._recent.add(record)
            case Gap():
                pass
        return ()

    def _report_once(self, kind: str, detail: str) -> tuple[ControlDecision, ...]:
        if f"{kind} {detail}" in self._reported:
            return ()
        if len(self._reported) >= REPORTS_KEPT:
            self._reported.clear()
        self._reported.add(f"{kind} {detail}")
        return (ReportFault("config", kind, detail),)

    def heartbeat_heard(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Note the offset that a peer has reached."""
        offset, name = heartbeat.config_offset, heartbeat.host_id
        known = self._claims.get(name)
        same = known is not None and known.offset == offset
        since_s = known.since_s if known is not None and same else now_s
        in_force = heartbeat.config_version != NO_CONFIG_IN_FORCE
        self._claims[name] = _Claim(offset, in_force, since_s, now_s)

    def report_divergence(self, heartbeat: Heartbeat) -> tuple[ControlDecision, ...]:
        """Report a peer that reached another document at the same offset."""
        if (
            heartbeat.config_offset != self._fold.next_offset
            or heartbeat.config_digest == self.digest
        ):
            return ()
        detail = f"{heartbeat.host_id} differs at offset {heartbeat.config_offset}"
        return self._report_once("divergence", detail)

    @property
    def digest(self) -> bytes:
        """Return the digest that heartbeats carry, 8 bytes."""
        return bytes.fromhex(self._fold.digest[:16])

    def records_passed_on(
        self, message: ConfigRecords, now_s: float
    ) -> tuple[ControlDecision, ...]:
        """Fold records that a peer passed on."""
        if self._rebuilding or self.stopped:
            return ()
        if message.snapshot is not None:
            self._take_peer_snapshot(message.snapshot, now_s)
        reports: list[ControlDecision] = []
        for given in message.records:
            record = LogRecord(given.offset, normalize_record(given.data))
            if record.offset == self._fold.next_offset:
                reports += self._fold_record(record, now_s)
            elif self._recent.conflicts(record):
                detail = f"{message.host_id} differs at offset {record.offset}"
                reports += self._report_once("peer_conflict", detail)
        self._read_again_from_fold()
        return tuple(reports)

    def _take_peer_snapshot(self, data: JsonObject, now_s: float) -> None:
        """Start from a peer's snapshot unless the log itself can be folded."""
        read_s = self._log_read_s
        current = read_s is not None and now_s - read_s <= LOG_CURRENT_S
        if current and self._log_first <= self._fold.next_offset:
            return
        found = verify_snapshot(normalize_record(data))
        if not isinstance(found, SnapshotFault) and self._fold.start_from(found):
            self._recent = RecentRecords()

    def answer(self, host_id: str, from_offset: int) -> ConfigRecords | None:
        """Return what a peer needs from an offset on; None when nothing is newer."""
        if from_offset >= self._fold.next_offset or self._rebuilding:
            return None
        records = self._recent.after(
            from_offset, limit=ANSWER_RECORDS, limit_bytes=ANSWER_BYTES
        )
        snapshot = self._fold.snapshot_record() if records is None else None
        return ConfigRecords(
            host_id, self._fold.next_offset, records or (), snapshot=snapshot
        )

    def is_behind(self, now_s: float) -> bool:
        """Return whether the log or a live peer is known to hold more."""
        goal = self._log_next or 0
        for claim in self._claims.values():
            if self._counts(claim, now_s):
                goal = max(goal, claim.offset)
        return self._fold.next_offset < goal

    def _counts(self, claim: _Claim, now_s: float) -> bool:
        if now_s - claim.heard_s > CLAIM_HOLD_S:
            return False
        refuted = (
            self._log_read_s is not None
            and self._log_read_s - claim.since_s > CLAIM_DOUBT_S
            and (self._log_next or 0) < claim.offset
        )
        return not refuted

    def _has_basis(self, now_s: float) -> bool:
        """Return whether the log or a host with a configuration was heard."""
        return self._log_next is not None or any(
            claim.in_force and self._counts(claim, now_s)
            for claim in self._claims.values()
        )

    def put_in_force(self, now_s: float) -> FleetConfig | None:
        """Return a configuration to put in force now, or None.

        The version only rises. A host without one waits until it holds all that
        the log and its peers are known to hold.
        """
        config = self._fold.config
        if self._in_force is None:
            if self.is_behind(now_s) or not self._has_basis(now_s):
                return None
        elif config.version < self._in_force.version or (
            config.version == self._in_force.version
            and self._fold.digest == self._in_force_digest
        ):
            return None
        self._in_force = config
        self._in_force_document = self._fold.document
        self._in_force_digest = self._fold.digest
        return config

    def snapshot_due(self, rank: int, now_s: float) -> JsonObject | None:
        """Return a snapshot record when it is this host's turn to write one."""
        read_s = self._log_read_s
        if read_s is None or now_s - read_s > LOG_CURRENT_S or self._in_force is None:
            return None
        if self.stopped or self._rebuilding or self.is_behind(now_s):
            return None
        turn = self._snapshots.is_turn(
            self._fold, first_offset=self._log_first, rank=rank, now_s=now_s
        )
        return self._fold.snapshot_record() if turn else None

    def forget_host(self, host_id: str) -> None:
        """Drop what a vanished host announced."""
        self._claims.pop(host_id, None)
