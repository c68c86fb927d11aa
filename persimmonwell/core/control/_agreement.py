"""Configuration agreement: one fold of the log, fed by the log and by peers."""

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
    SnapshotAccepted,
    SnapshotFault,
    SnapshotRejected,
    UnknownSchema,
    normalize_record,
    verify_snapshot,
)
from persimmonwell.core.control._decisions import ControlDecision, ReportFault
from persimmonwell.core.control._events import RecordsRead
from persimmonwell.core.control._snapshots import SnapshotSchedule
from persimmonwell.core.membership import NO_CONFIG_IN_FORCE, ConfigRecords, Heartbeat

PEER_OFFSET_TTL_S = 10.0
"""A peer's announced offset is used this long after its last heartbeat."""
PEER_OFFSET_LOG_WAIT_S = 5.0
"""An announced offset that the log has not reached after this long is ignored."""
LOG_MAX_AGE_S = 10.0
"""A log read within this time takes precedence over a peer's snapshot."""
MAX_REPORTED_FAULTS = 1024
MAX_RESPONSE_RECORDS = 100
MAX_RESPONSE_BYTES = 256 * 1024


@attrs.frozen
class _PeerOffset:
    """Offset that a peer announced in its heartbeats."""

    offset: int
    in_force: bool
    since_s: float
    """Time when the peer first announced this offset."""
    received_s: float


class ConfigAgreement:
    """Fold of the config stream, log read position and configuration in force."""

    def __init__(self) -> None:
        self._fold = ConfigFold()
        self._recent = RecentRecords()
        self._snapshots = SnapshotSchedule()
        self._in_force: FleetConfig | None = None
        self._in_force_document: JsonObject = {}
        self._in_force_digest = ""
        self._read_offset = 0
        self._log_first_offset = 0
        self._log_next_offset: int | None = None
        self._log_read_s: float | None = None
        self._peer_offsets: dict[str, _PeerOffset] = {}
        self._stopped_at: int | None = None
        self._rebuilding = False
        self._reported_faults: set[str] = set()

    @property
    def fold(self) -> ConfigFold:
        """Return the fold of the config stream."""
        return self._fold

    @property
    def in_force(self) -> FleetConfig | None:
        """Return the configuration in force; None before there is one."""
        return self._in_force

    @property
    def in_force_document(self) -> JsonObject:
        """Return the document of the configuration in force."""
        return self._in_force_document

    @property
    def read_offset(self) -> int:
        """Return the offset from which to read the log.

        It can be below the fold's next offset, because records received from peers
        are read from the log as well and compared.
        """
        return self._read_offset

    @property
    def stopped(self) -> bool:
        """Return whether a record of a newer release has stopped the fold."""
        return self._stopped_at is not None

    @property
    def version(self) -> int:
        """Return the version in force, or NO_CONFIG_IN_FORCE."""
        return NO_CONFIG_IN_FORCE if self._in_force is None else self._in_force.version

    def apply_log_records(
        self, event: RecordsRead, now_s: float
    ) -> tuple[ControlDecision, ...]:
        """Fold records read from the log."""
        self._log_first_offset = max(self._log_first_offset, event.first_offset)
        self._log_next_offset = max(self._log_next_offset or 0, event.next_offset)
        self._log_read_s = now_s
        self._read_offset = max(self._read_offset, event.first_offset)
        reports: list[ControlDecision] = []
        for record in event.records:
            reports += self._apply_log_record(record, now_s)
            if record.offset == self._read_offset and not self.stopped:
                self._read_offset += 1
        if self._rebuilding and self._fold.next_offset >= self._log_next_offset:
            self._rebuilding = False
        self._rewind_to_fold()
        return tuple(reports)

    def _rewind_to_fold(self) -> None:
        """Move the read offset back if the snapshot search skipped needed records."""
        if self._log_first_offset <= self._fold.next_offset < self._read_offset:
            self._read_offset = self._fold.next_offset

    def _apply_log_record(
        self, record: LogRecord, now_s: float
    ) -> tuple[ControlDecision, ...]:
        record = LogRecord(record.offset, normalize_record(record.data))
        if record.offset < self._fold.next_offset:
            return self._check_log_conflict(record)
        if record.offset > self._fold.next_offset:
            self._try_log_snapshot(record)
        if record.offset == self._fold.next_offset:
            return self._fold_record(record, now_s)
        return ()

    def _check_log_conflict(self, record: LogRecord) -> tuple[ControlDecision, ...]:
        if not self._recent.conflicts_with(record):
            return ()
        # The log is authoritative: the records from peers are discarded and the
        # stream is folded again. The version in force stays until a newer one.
        self._fold, self._recent = ConfigFold(), RecentRecords()
        self._read_offset, self._stopped_at = 0, None
        self._rebuilding = True
        detail = f"log record at offset {record.offset} differs from a peer's record"
        return (ReportFault("config", "log_conflict", detail),)

    def _try_log_snapshot(self, record: LogRecord) -> None:
        """Start from a snapshot if all records after it can still be read."""
        snapshot = verify_snapshot(record.data)
        if isinstance(snapshot, SnapshotFault):
            return
        if self._log_first_offset <= snapshot.offset <= record.offset:
            if self._fold.restore_snapshot(snapshot):
                self._recent = RecentRecords()
                self._read_offset = snapshot.offset

    def _fold_record(
        self, record: LogRecord, now_s: float
    ) -> tuple[ControlDecision, ...]:
        match self._fold.apply(record):
            case UnknownSchema(schema):
                self._stopped_at = record.offset
                detail = f"record at offset {record.offset} has unknown schema {schema}"
                return self._report_once("unknown_schema", detail)
            case SnapshotRejected(reason):
                self._recent.add(record)
                detail = f"snapshot record at offset {record.offset}: {reason}"
                return (ReportFault("config", "snapshot_rejected", detail),)
            case SnapshotAccepted(offset):
                self._snapshots.record_snapshot(offset, now_s)
                self._recent.add(record)
            case Accepted() | Conflict() | Invalid() | Duplicate():
                self._recent.add(record)
            case Gap():
                pass
        return ()

    def _report_once(self, kind: str, detail: str) -> tuple[ControlDecision, ...]:
        if f"{kind} {detail}" in self._reported_faults:
            return ()
        if len(self._reported_faults) >= MAX_REPORTED_FAULTS:
            self._reported_faults.clear()
        self._reported_faults.add(f"{kind} {detail}")
        return (ReportFault("config", kind, detail),)

    def record_peer_offset(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Record the config offset that a peer announced."""
        offset, name = heartbeat.config_offset, heartbeat.host_id
        previous = self._peer_offsets.get(name)
        is_same_offset = previous is not None and previous.offset == offset
        since_s = previous.since_s if previous is not None and is_same_offset else now_s
        in_force = heartbeat.config_version != NO_CONFIG_IN_FORCE
        self._peer_offsets[name] = _PeerOffset(offset, in_force, since_s, now_s)

    def report_divergence(self, heartbeat: Heartbeat) -> tuple[ControlDecision, ...]:
        """Report a peer whose fold differs from this host's at the same offset."""
        if (
            heartbeat.config_offset != self._fold.next_offset
            or heartbeat.config_digest == self.digest
        ):
            return ()
        detail = (
            f"host {heartbeat.host_id} has another configuration"
            f" at offset {heartbeat.config_offset}"
        )
        return self._report_once("divergence", detail)

    @property
    def digest(self) -> bytes:
        """Return the digest of the fold that heartbeats carry, 8 bytes."""
        return bytes.fromhex(self._fold.digest[:16])

    def apply_peer_records(
        self, message: ConfigRecords, now_s: float
    ) -> tuple[ControlDecision, ...]:
        """Fold the records and the snapshot received from a peer."""
        if self._rebuilding or self.stopped:
            return ()
        if message.snapshot is not None:
            self._try_peer_snapshot(message.snapshot, now_s)
        reports: list[ControlDecision] = []
        for received in message.records:
            record = LogRecord(received.offset, normalize_record(received.data))
            if record.offset == self._fold.next_offset:
                reports += self._fold_record(record, now_s)
            elif self._recent.conflicts_with(record):
                detail = (
                    f"host {message.host_id} sent another record"
                    f" for offset {record.offset}"
                )
                reports += self._report_once("peer_conflict", detail)
        self._rewind_to_fold()
        return tuple(reports)

    def _try_peer_snapshot(self, data: JsonObject, now_s: float) -> None:
        """Start from a peer's snapshot unless the log can be folded instead."""
        read_s = self._log_read_s
        is_log_current = read_s is not None and now_s - read_s <= LOG_MAX_AGE_S
        if is_log_current and self._log_first_offset <= self._fold.next_offset:
            return
        snapshot = verify_snapshot(normalize_record(data))
        if not isinstance(snapshot, SnapshotFault) and self._fold.restore_snapshot(
            snapshot
        ):
            self._recent = RecentRecords()

    def records_from(self, host_id: str, from_offset: int) -> ConfigRecords | None:
        """Return the records from an offset on, or None when there are none.

        A snapshot comes first when the records are no longer kept. The host id is
        that of this host, as the sender.
        """
        if from_offset >= self._fold.next_offset or self._rebuilding:
            return None
        records = self._recent.records_from(
            from_offset, limit=MAX_RESPONSE_RECORDS, limit_bytes=MAX_RESPONSE_BYTES
        )
        snapshot = self._fold.snapshot_record() if records is None else None
        return ConfigRecords(
            host_id, self._fold.next_offset, records or (), snapshot=snapshot
        )

    def is_behind(self, now_s: float) -> bool:
        """Return whether the log or a live peer is known to have more records."""
        highest_offset = self._log_next_offset or 0
        for peer_offset in self._peer_offsets.values():
            if self._is_offset_credible(peer_offset, now_s):
                highest_offset = max(highest_offset, peer_offset.offset)
        return self._fold.next_offset < highest_offset

    def _is_offset_credible(self, peer_offset: _PeerOffset, now_s: float) -> bool:
        if now_s - peer_offset.received_s > PEER_OFFSET_TTL_S:
            return False
        is_disproved = (
            self._log_read_s is not None
            and self._log_read_s - peer_offset.since_s > PEER_OFFSET_LOG_WAIT_S
            and (self._log_next_offset or 0) < peer_offset.offset
        )
        return not is_disproved

    def _has_config_source(self, now_s: float) -> bool:
        """Return whether the log was read or a peer with a configuration is known."""
        return self._log_next_offset is not None or any(
            peer_offset.in_force and self._is_offset_credible(peer_offset, now_s)
            for peer_offset in self._peer_offsets.values()
        )

    def put_in_force(self, now_s: float) -> FleetConfig | None:
        """Put the folded configuration in force if due and return it, else None.

        The version never decreases. A host without a configuration first waits for
        all the records that the log and its peers are known to have.
        """
        config = self._fold.config
        if self._in_force is None:
            if self.is_behind(now_s) or not self._has_config_source(now_s):
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

    def take_due_snapshot(self, host_index: int, now_s: float) -> JsonObject | None:
        """Return the snapshot record that this host must write now, or None."""
        read_s = self._log_read_s
        if read_s is None or now_s - read_s > LOG_MAX_AGE_S or self._in_force is None:
            return None
        if self.stopped or self._rebuilding or self.is_behind(now_s):
            return None
        should_write = self._snapshots.should_write(
            self._fold,
            first_offset=self._log_first_offset,
            host_index=host_index,
            now_s=now_s,
        )
        return self._fold.snapshot_record() if should_write else None

    def remove_host(self, host_id: str) -> None:
        """Remove the announced offset of an expired host."""
        self._peer_offsets.pop(host_id, None)
