"""Fold the claims stream into the winner and the result of each key."""

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
_CLAIM_TEXTS = ("workspace", "service", "key", "digest", "host", "incarnation")


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


@attrs.define
class _Held:
    """Hold one claim in the form that is cheap to fold.

    Most results are never asked for on a host, so they are decoded on demand.
    """

    key: _Key
    digest: str
    host: str
    incarnation: str
    offset: int
    last_offset: int
    result: JsonObject | None = None


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
        self._claims: dict[str, _Held] = {}
        self._by_key: dict[_Key, str | tuple[str, ...]] = {}
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
        claim_ids = self._ids((key.workspace, key.service, key.key))
        return tuple(_decode(c, self._claims[c]) for c in claim_ids)

    def claim(self, claim_id: str) -> KnownClaim | None:
        """Return a claim that is neither withdrawn nor past retention."""
        held = self._claims.get(claim_id)
        return None if held is None else _decode(claim_id, held)

    def _ids(self, key: _Key) -> tuple[str, ...]:
        claim_ids = self._by_key.get(key, ())
        return (claim_ids,) if isinstance(claim_ids, str) else claim_ids

    def is_withdrawn(self, claim_id: str) -> bool:
        """Return whether a withdrawal of the claim was folded."""
        return claim_id in self._withdrawn

    def read(self, first_offset: int, records: Iterable[LogRecord]) -> FoldChange:
        """Fold the records that follow the last folded one; skip others."""
        keys: set[_Key] = set()
        relanded: list[str] = []
        if first_offset > self._first_offset:
            self._first_offset = first_offset
            self._next_offset = max(self._next_offset, first_offset)
            self._drop_unretained(keys)
        for record in records:
            if record.offset != self._next_offset:
                continue
            self._next_offset += 1
            self._apply(record.offset, record.data, keys, relanded)
        # Sorted, because the order of a set of strings differs between processes.
        return FoldChange(tuple(ClaimKey(*k) for k in sorted(keys)), tuple(relanded))

    def _apply(
        self, offset: int, data: JsonObject, keys: set[_Key], relanded: list[str]
    ) -> None:
        kind, claim_id = data.get("type"), data.get("claim_id")
        if not isinstance(claim_id, str) or not claim_id:
            return
        if kind == "claim":
            held = _read_claim(data, offset)
            if held is None:
                return
            self._landed.append((offset, claim_id))
            if claim_id in self._withdrawn:
                self._withdrawn[claim_id] = offset
                relanded.append(claim_id)
            else:
                self._add(claim_id, held)
                keys.add(held.key)
        elif kind == "result":
            known = self._claims.get(claim_id)
            if known is not None and known.result is None:
                known.result = data
                keys.add(known.key)
        elif kind == "released":
            self._landed.append((offset, claim_id))
            self._withdrawn[claim_id] = offset
            self._remove(claim_id, keys)

    def _add(self, claim_id: str, held: _Held) -> None:
        known = self._claims.get(claim_id)
        if known is not None:
            known.last_offset = held.offset
            return
        self._claims[claim_id] = held
        earlier = self._ids(held.key)
        self._by_key[held.key] = (*earlier, claim_id) if earlier else claim_id

    def _remove(self, claim_id: str, keys: set[_Key]) -> None:
        held = self._claims.pop(claim_id, None)
        if held is None:
            return
        keys.add(held.key)
        rest = tuple(c for c in self._ids(held.key) if c != claim_id)
        if rest:
            self._by_key[held.key] = rest
        else:
            del self._by_key[held.key]

    def _drop_unretained(self, keys: set[_Key]) -> None:
        while self._landed and self._landed[0][0] < self._first_offset:
            offset, claim_id = self._landed.popleft()
            if self._withdrawn.get(claim_id) == offset:
                del self._withdrawn[claim_id]
            known = self._claims.get(claim_id)
            if known is not None and known.last_offset == offset:
                self._remove(claim_id, keys)


def _read_claim(data: JsonObject, offset: int) -> _Held | None:
    texts = [value for name in _CLAIM_TEXTS if isinstance(value := data.get(name), str)]
    if len(texts) != len(_CLAIM_TEXTS):
        return None
    workspace, service, key, digest, host, incarnation = texts
    # A few values repeat in every record; interned, each is held once.
    intern = sys.intern
    return _Held(
        key=(intern(workspace), intern(service), key),
        digest=digest,
        host=intern(host),
        incarnation=intern(incarnation),
        offset=offset,
        last_offset=offset,
    )


def _decode(claim_id: str, held: _Held) -> KnownClaim:
    return KnownClaim(
        claim_id=claim_id,
        key=ClaimKey(*held.key),
        digest=held.digest,
        host=held.host,
        incarnation=held.incarnation,
        offset=held.offset,
        last_offset=held.last_offset,
        result=None if held.result is None else decode_result(held.result),
    )
