"""Materialized view of the claims stream: the winning claim and result of each key."""

import sys
from collections import deque
from collections.abc import Iterable

import attrs

from persimmonwell.core._documents import JsonObject
from persimmonwell.core.claims._records import (
    CallResult,
    ClaimKey,
    decode_result,
)
from persimmonwell.core.config import LogRecord

_Key = tuple[str, str, str]
_CLAIM_STRING_FIELDS = ("workspace", "service", "key", "digest", "host", "incarnation")


@attrs.frozen
class ActiveClaim:
    """Claim on a key that is neither withdrawn nor past retention."""

    claim_id: str
    key: ClaimKey
    digest: str
    host: str
    incarnation: str
    offset: int
    """Offset of the first record of this claim."""
    last_offset: int
    """Offset of the last copy of the record; retention of the claim ends with it."""
    result: CallResult | None = None


@attrs.define
class _StoredClaim:
    """Claim in the compact form that the fold stores.

    The result stays undecoded, because a host never reads most of the results.
    """

    key: _Key
    digest: str
    host: str
    incarnation: str
    offset: int
    last_offset: int
    is_restated: bool = False
    result: JsonObject | None = None


@attrs.frozen
class FoldChange:
    """Changes made by one range of records."""

    keys: tuple[ClaimKey, ...] = ()
    """Keys whose claims or results changed."""
    recorded_after_withdrawal: tuple[str, ...] = ()
    """Ids of claims whose record follows their own withdrawal in the log."""


class ClaimFold:
    """Claims in the retained part of the stream, by key.

    The claim with the lowest offset that is not withdrawn wins its key. One that won
    before the log came back from a copy, and is stated again, precedes all others.
    A host whose view of retention is older knows every claim that a host with a newer
    view knows, so a claim that wins on the former also wins on the latter.
    """

    def __init__(self) -> None:
        self._first_offset = 0
        self._next_offset = 0
        self._claims: dict[str, _StoredClaim] = {}
        self._by_key: dict[_Key, str | tuple[str, ...]] = {}
        self._withdrawn: dict[str, int] = {}
        self._retention_queue: deque[tuple[int, str]] = deque()

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to fold."""
        return self._next_offset

    @property
    def first_offset(self) -> int:
        """Return the lowest offset known to be retained."""
        return self._first_offset

    @property
    def key_count(self) -> int:
        """Return the number of keys with an active claim."""
        return len(self._by_key)

    def winner(self, key: ClaimKey) -> ActiveClaim | None:
        """Return the winning claim of a key, or None when the key is unclaimed."""
        claims = self.claims_of(key)
        return claims[0] if claims else None

    def claims_of(self, key: ClaimKey) -> tuple[ActiveClaim, ...]:
        """Return the active claims of a key in offset order."""
        claim_ids = self._claim_ids_of((key.workspace, key.service, key.key))
        return tuple(_to_active_claim(c, self._claims[c]) for c in claim_ids)

    def claim(self, claim_id: str) -> ActiveClaim | None:
        """Return the active claim with an id, or None."""
        stored = self._claims.get(claim_id)
        return None if stored is None else _to_active_claim(claim_id, stored)

    def winners_of(self, incarnation: str) -> tuple[ActiveClaim, ...]:
        """Return the claims of one incarnation that win their keys."""
        first_ids = (
            ids if isinstance(ids, str) else ids[0] for ids in self._by_key.values()
        )
        return tuple(
            _to_active_claim(claim_id, self._claims[claim_id])
            for claim_id in first_ids
            if self._claims[claim_id].incarnation == incarnation
        )

    def _claim_ids_of(self, key: _Key) -> tuple[str, ...]:
        claim_ids = self._by_key.get(key, ())
        return (claim_ids,) if isinstance(claim_ids, str) else claim_ids

    def is_withdrawn(self, claim_id: str) -> bool:
        """Return whether a retained record withdraws the claim."""
        return claim_id in self._withdrawn

    def apply_records(
        self, first_offset: int, records: Iterable[LogRecord]
    ) -> FoldChange:
        """Apply the records that continue the stream and skip all others."""
        keys: set[_Key] = set()
        recorded_after_withdrawal: list[str] = []
        if first_offset > self._first_offset:
            self._first_offset = first_offset
            self._next_offset = max(self._next_offset, first_offset)
            self._drop_unretained(keys)
        for record in records:
            if record.offset != self._next_offset:
                continue
            self._next_offset += 1
            self._apply(record.offset, record.data, keys, recorded_after_withdrawal)
        # Sorted, because the order of a set of strings differs between processes.
        return FoldChange(
            tuple(ClaimKey(*k) for k in sorted(keys)), tuple(recorded_after_withdrawal)
        )

    def _apply(
        self,
        offset: int,
        data: JsonObject,
        keys: set[_Key],
        recorded_after_withdrawal: list[str],
    ) -> None:
        kind, claim_id = data.get("type"), data.get("claim_id")
        if not isinstance(claim_id, str) or not claim_id:
            return
        if kind == "claim":
            stored = _parse_claim(data, offset)
            if stored is None:
                return
            self._retention_queue.append((offset, claim_id))
            if claim_id in self._withdrawn:
                self._withdrawn[claim_id] = offset
                recorded_after_withdrawal.append(claim_id)
            else:
                self._add(claim_id, stored)
                keys.add(stored.key)
        elif kind == "result":
            existing = self._claims.get(claim_id)
            if existing is not None and existing.result is None:
                existing.result = data
                keys.add(existing.key)
        elif kind == "released":
            self._retention_queue.append((offset, claim_id))
            self._withdrawn[claim_id] = offset
            self._remove(claim_id, keys)

    def _add(self, claim_id: str, stored: _StoredClaim) -> None:
        existing = self._claims.get(claim_id)
        if existing is not None:
            existing.last_offset = stored.offset
            return
        self._claims[claim_id] = stored
        others = self._claim_ids_of(stored.key)
        if not others:
            self._by_key[stored.key] = claim_id
        elif stored.is_restated:
            self._by_key[stored.key] = (claim_id, *others)
        else:
            self._by_key[stored.key] = (*others, claim_id)

    def _remove(self, claim_id: str, keys: set[_Key]) -> None:
        stored = self._claims.pop(claim_id, None)
        if stored is None:
            return
        keys.add(stored.key)
        rest = tuple(c for c in self._claim_ids_of(stored.key) if c != claim_id)
        if rest:
            self._by_key[stored.key] = rest
        else:
            del self._by_key[stored.key]

    def _drop_unretained(self, keys: set[_Key]) -> None:
        while (
            self._retention_queue and self._retention_queue[0][0] < self._first_offset
        ):
            offset, claim_id = self._retention_queue.popleft()
            if self._withdrawn.get(claim_id) == offset:
                del self._withdrawn[claim_id]
            existing = self._claims.get(claim_id)
            if existing is not None and existing.last_offset == offset:
                self._remove(claim_id, keys)


def _parse_claim(data: JsonObject, offset: int) -> _StoredClaim | None:
    strings = [
        value
        for name in _CLAIM_STRING_FIELDS
        if isinstance(value := data.get(name), str)
    ]
    if len(strings) != len(_CLAIM_STRING_FIELDS):
        return None
    workspace, service, key, digest, host, incarnation = strings
    # These values recur in many records, so interning saves memory.
    intern = sys.intern
    return _StoredClaim(
        key=(intern(workspace), intern(service), key),
        digest=digest,
        host=intern(host),
        incarnation=intern(incarnation),
        offset=offset,
        last_offset=offset,
        is_restated=data.get("restated") is True,
    )


def _to_active_claim(claim_id: str, stored: _StoredClaim) -> ActiveClaim:
    return ActiveClaim(
        claim_id=claim_id,
        key=ClaimKey(*stored.key),
        digest=stored.digest,
        host=stored.host,
        incarnation=stored.incarnation,
        offset=stored.offset,
        last_offset=stored.last_offset,
        result=None if stored.result is None else decode_result(stored.result),
    )
