"""Fold the claims stream into the winner and the result of each key."""

from collections import deque
from collections.abc import Iterable

import attrs

from persimmonwell.core.claims._records import (
    CallResult,
    ClaimKey,
    ClaimRecord,
    ReleaseRecord,
    ResultRecord,
    decode_record,
)
from persimmonwell.core.config import LogRecord


@attrs.frozen
class KnownClaim:
    """Hold one claim that is neither withdrawn nor past retention."""

    claim_id: str
    key: ClaimKey
    digest: str
    host: str
    incarnation: str
    offset: int
    """Offset of the first record of this claim."""
    last_offset: int
    """Offset of the last repetition of the record, which decides retention."""
    result: CallResult | None = None


@attrs.frozen
class FoldChange:
    """Report what one slice of the stream changed."""

    keys: tuple[ClaimKey, ...] = ()
    """Keys whose claims or results changed."""
    relanded: tuple[str, ...] = ()
    """Claims recorded after their own withdrawal."""


class ClaimFold:
    """Hold the claims of the retained part of the stream.

    The claim with the lowest offset that is not withdrawn wins its key. A host
    with an older view of retention knows more claims than one with a newer view,
    so it lets a claim win only where the other does.
    """

    def __init__(self) -> None:
        self._first_offset = 0
        self._next_offset = 0
        self._claims: dict[str, KnownClaim] = {}
        self._by_key: dict[ClaimKey, tuple[str, ...]] = {}
        self._withdrawn: dict[str, int] = {}
        self._landed: deque[tuple[int, str]] = deque()

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
        """Return the number of keys held."""
        return len(self._by_key)

    def winner(self, key: ClaimKey) -> KnownClaim | None:
        """Return the winning claim of a key, or None when the key is free."""
        claims = self.claims_of(key)
        return claims[0] if claims else None

    def claims_of(self, key: ClaimKey) -> tuple[KnownClaim, ...]:
        """Return the claims of a key in offset order."""
        return tuple(self._claims[c] for c in self._by_key.get(key, ()))

    def claim(self, claim_id: str) -> KnownClaim | None:
        """Return a claim that is neither withdrawn nor past retention."""
        return self._claims.get(claim_id)

    def is_withdrawn(self, claim_id: str) -> bool:
        """Return whether a withdrawal of the claim was folded."""
        return claim_id in self._withdrawn

    def read(self, first_offset: int, records: Iterable[LogRecord]) -> FoldChange:
        """Fold the records that follow the last folded one; skip others."""
        keys: dict[ClaimKey, None] = {}
        relanded: list[str] = []
        if first_offset > self._first_offset:
            self._first_offset = first_offset
            self._next_offset = max(self._next_offset, first_offset)
            self._drop_unretained(keys)
        for record in records:
            if record.offset != self._next_offset:
                continue
            self._next_offset += 1
            self._apply(record, keys, relanded)
        return FoldChange(tuple(keys), tuple(relanded))

    def _apply(
        self, record: LogRecord, keys: dict[ClaimKey, None], relanded: list[str]
    ) -> None:
        match decode_record(record.data):
            case ClaimRecord() as claim:
                self._landed.append((record.offset, claim.claim_id))
                if claim.claim_id in self._withdrawn:
                    self._withdrawn[claim.claim_id] = record.offset
                    relanded.append(claim.claim_id)
                else:
                    self._add(claim, record.offset)
                    keys[claim.key] = None
            case ResultRecord(claim_id, result):
                known = self._claims.get(claim_id)
                if known is not None and known.result is None:
                    self._claims[claim_id] = attrs.evolve(known, result=result)
                    keys[known.key] = None
            case ReleaseRecord(claim_id):
                self._landed.append((record.offset, claim_id))
                self._withdrawn[claim_id] = record.offset
                self._remove(claim_id, keys)

    def _add(self, claim: ClaimRecord, offset: int) -> None:
        known = self._claims.get(claim.claim_id)
        if known is not None:
            self._claims[claim.claim_id] = attrs.evolve(known, last_offset=offset)
            return
        self._claims[claim.claim_id] = KnownClaim(
            claim_id=claim.claim_id,
            key=claim.key,
            digest=claim.digest,
            host=claim.host,
            incarnation=claim.incarnation,
            offset=offset,
            last_offset=offset,
        )
        earlier = self._by_key.get(claim.key, ())
        self._by_key[claim.key] = (*earlier, claim.claim_id)

    def _remove(self, claim_id: str, keys: dict[ClaimKey, None]) -> None:
        known = self._claims.pop(claim_id, None)
        if known is None:
            return
        keys[known.key] = None
        rest = tuple(c for c in self._by_key[known.key] if c != claim_id)
        if rest:
            self._by_key[known.key] = rest
        else:
            del self._by_key[known.key]

    def _drop_unretained(self, keys: dict[ClaimKey, None]) -> None:
        while self._landed and self._landed[0][0] < self._first_offset:
            offset, claim_id = self._landed.popleft()
            if self._withdrawn.get(claim_id) == offset:
                del self._withdrawn[claim_id]
            known = self._claims.get(claim_id)
            if known is not None and known.last_offset == offset:
                self._remove(claim_id, keys)
