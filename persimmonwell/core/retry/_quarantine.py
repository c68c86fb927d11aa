"""Detection and quarantine of requests, by digest, that crash upstreams."""

from collections import OrderedDict

import attrs

LOSS_CONFIRM_TIMEOUT_S = 0.5
"""A loss counts as confirmed when the upstream answers no probe for this long."""
LOSS_WINDOW_S = 2.0
"""Reports about one upstream within this time belong to one loss. Losses of other
upstreams within it point to a common cause such as a rack or zone failure."""
SUSPECT_TTL_S = 600.0
QUARANTINE_TTL_S = 86_400.0
MAX_SUSPECTS = 4096
MAX_QUARANTINED = 4096
COMMON_CAUSE_MIN_LOSSES = 3
"""Upstreams lost together, without a shared digest, that make no digest a suspect."""
QUARANTINE_MIN_LOSSES = 2


@attrs.frozen
class Blame:
    """An upstream whose loss is attributed to a request digest."""

    digest: str
    upstream_id: str


@attrs.frozen
class QuarantineChange:
    """Changes that follow from new evidence."""

    blames: tuple[Blame, ...] = ()
    """Attributed losses to send to the other hosts."""
    quarantined: tuple[str, ...] = ()
    released: bool = False
    """Whether a held digest may be dispatched again."""


@attrs.define
class _Loss:
    suspect_digests: frozenset[str]
    identified_digest: str | None
    since_s: float
    digests: frozenset[str]
    confirmed: bool = False


@attrs.define
class _SuspectDigest:
    since_s: float
    attributed: set[str] = attrs.field(factory=set)
    """Upstreams lost before this digest generated anything there."""
    ambiguous: set[str] = attrs.field(factory=set)
    """Lost upstreams that may also have failed for another reason."""

    @property
    def upstreams(self) -> set[str]:
        return self.attributed | self.ambiguous

    @property
    def is_isolated(self) -> bool:
        # When an upstream fails by itself, most of its requests are generating.
        # Isolating them would resume them a few at a time instead of at once.
        return bool(self.attributed) or len(self.ambiguous) >= QUARANTINE_MIN_LOSSES

    def has_enough_evidence_without(self, upstream_id: str) -> bool:
        earlier = self.upstreams - {upstream_id}
        return (
            bool(self.attributed - {upstream_id})
            or len(earlier) >= QUARANTINE_MIN_LOSSES
        )


class Quarantine:
    """Suspected and quarantined request digests, bounded in number and age."""

    def __init__(self) -> None:
        self._quarantined: OrderedDict[str, float] = OrderedDict()
        self._suspects: OrderedDict[str, _SuspectDigest] = OrderedDict()
        self._losses: dict[str, _Loss] = {}
        self._held: set[str] = set()
        self._isolated_attempts: dict[str, dict[str, str]] = {}

    @property
    def digests(self) -> tuple[str, ...]:
        """Return the quarantined digests, oldest first."""
        return tuple(self._quarantined)

    @property
    def suspects(self) -> tuple[Blame, ...]:
        """Return every suspected digest with each upstream it may have crashed."""
        return tuple(
            Blame(digest, upstream_id)
            for digest, suspect in self._suspects.items()
            for upstream_id in sorted(suspect.upstreams)
        )

    def is_quarantined(self, digest: str) -> bool:
        """Return whether requests with this digest are refused."""
        return digest in self._quarantined

    def is_suspect(self, digest: str) -> bool:
        """Return whether an upstream was lost while this digest ran there."""
        return digest in self._suspects

    def is_isolated(self, digest: str) -> bool:
        """Return whether requests with this digest run apart from other suspects."""
        suspect = self._suspects.get(digest)
        return suspect is not None and suspect.is_isolated

    def is_held(self, digest: str) -> bool:
        """Return whether dispatch waits until an identifying loss is resolved."""
        return digest in self._held

    def excluded_upstreams(self, digest: str) -> frozenset[str]:
        """Return the upstreams reserved for another isolated suspect."""
        if not self._isolated_attempts or not self.is_isolated(digest):
            return frozenset()
        return frozenset(
            upstream_id
            for upstream_id, running in self._isolated_attempts.items()
            if any(other != digest for other in running.values())
        )

    def reserve_upstreams(
        self, request_id: str, digest: str, upstream_ids: tuple[str, ...]
    ) -> None:
        """Keep other suspects off the upstreams of an isolated digest's attempt."""
        if self.is_isolated(digest):
            for upstream_id in upstream_ids:
                self._isolated_attempts.setdefault(upstream_id, {})[request_id] = digest

    def record_progress(
        self, request_id: str, digest: str, upstream_ids: tuple[str, ...]
    ) -> None:
        """Release the upstreams of a suspect that got past the point of its loss.

        A digest with several ambiguous losses stays isolated until its answer is
        complete.
        """
        suspect = self._suspects.get(digest)
        if suspect is None or len(suspect.upstreams) < QUARANTINE_MIN_LOSSES:
            self.release_upstreams(request_id, upstream_ids)

    def release_upstreams(self, request_id: str, upstream_ids: tuple[str, ...]) -> None:
        """Release the upstreams reserved for an attempt."""
        if not self._isolated_attempts:
            return
        for upstream_id in upstream_ids:
            running = self._isolated_attempts.get(upstream_id)
            if running is not None:
                running.pop(request_id, None)
                if not running:
                    del self._isolated_attempts[upstream_id]

    def record_completed(self, digest: str) -> None:
        """Clear the suspicion against a digest whose request completed."""
        if digest in self._suspects:
            del self._suspects[digest]
            self._held.discard(digest)

    def record_loss(
        self,
        upstream_id: str,
        digests: frozenset[str],
        *,
        not_generating: frozenset[str],
        now_s: float,
        harmless: frozenset[str] = frozenset(),
    ) -> bool:
        """Record a lost upstream and the digests that were running there.

        Digests in not_generating had produced no token there; harmless ones are no
        suspects. Return whether the loss is new, so that the upstream must be probed.
        """
        recent = self._losses.get(upstream_id)
        if recent is not None and now_s - recent.since_s < LOSS_WINDOW_S:
            return False
        previously_suspected = frozenset(
            digest
            for digest in digests & self._suspects.keys()
            if self._suspects[digest].upstreams - {upstream_id}
        )
        identified_digest = self._identify_digest(
            upstream_id, previously_suspected, not_generating, now_s
        )
        suspect_digests = (
            digests if identified_digest is None else frozenset({identified_digest})
        )
        if not previously_suspected and self._detect_common_cause(digests, now_s):
            suspect_digests = frozenset()
        suspect_digests -= harmless
        for digest in sorted(suspect_digests):
            suspect = self._get_or_add_suspect(digest, now_s)
            is_attributable = digest == identified_digest or (
                digest in not_generating and digest not in previously_suspected
            )
            (suspect.attributed if is_attributable else suspect.ambiguous).add(
                upstream_id
            )
        if identified_digest is not None:
            self._held.add(identified_digest)
        self._losses[upstream_id] = _Loss(
            suspect_digests, identified_digest, now_s, digests
        )
        return True

    def _identify_digest(
        self,
        upstream_id: str,
        previously_suspected: frozenset[str],
        not_generating: frozenset[str],
        now_s: float,
    ) -> str | None:
        """Return the one suspect that this loss identifies, if any.

        A suspect that got past the point of its first loss was more likely hit by
        another fault. It is identified only while it runs isolated until
        completion, which follows ambiguous losses.
        """
        isolated = frozenset(self._isolated_attempts.get(upstream_id, {}).values())
        candidates = [
            digest
            for digest in previously_suspected & (not_generating | isolated)
            if self._suspects[digest].has_enough_evidence_without(upstream_id)
        ]
        if len(candidates) != 1:
            return None
        (digest,) = candidates
        return (
            None
            if self._coincides_with_unrelated_loss(digest, upstream_id, now_s)
            else digest
        )

    def _coincides_with_unrelated_loss(
        self, digest: str, upstream_id: str, now_s: float
    ) -> bool:
        return any(
            other != upstream_id
            and now_s - loss.since_s < LOSS_WINDOW_S
            and digest not in loss.digests
            for other, loss in self._losses.items()
        )

    def _detect_common_cause(self, digests: frozenset[str], now_s: float) -> bool:
        """Return whether unrelated upstreams failed together; clear their suspects."""
        unrelated = {
            other: loss
            for other, loss in self._losses.items()
            if now_s - loss.since_s < LOSS_WINDOW_S and not loss.digests & digests
        }
        if len(unrelated) + 1 < COMMON_CAUSE_MIN_LOSSES:
            return False
        for other, loss in unrelated.items():
            if loss.identified_digest is None:
                for digest in loss.suspect_digests:
                    self._withdraw_suspicion(digest, other)
                loss.suspect_digests = frozenset()
        return True

    def _get_or_add_suspect(self, digest: str, now_s: float) -> _SuspectDigest:
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = _SuspectDigest(now_s)
            while len(self._suspects) > MAX_SUSPECTS:
                oldest, _ = self._suspects.popitem(last=False)
                self._held.discard(oldest)
        return suspect

    def resolve_loss(
        self, upstream_id: str, *, lost: bool, now_s: float
    ) -> QuarantineChange:
        """Mark a reported loss as confirmed or disproved."""
        loss = self._losses.get(upstream_id)
        if loss is None or loss.confirmed:
            return QuarantineChange()
        if not lost:
            del self._losses[upstream_id]
            for digest in loss.suspect_digests:
                self._withdraw_suspicion(digest, upstream_id)
            return self._resolve_held((), now_s)
        loss.confirmed = True
        blames: tuple[Blame, ...] = ()
        if loss.identified_digest is None and len(loss.suspect_digests) == 1:
            (digest,) = loss.suspect_digests
            suspect = self._suspects.get(digest)
            if suspect is not None and upstream_id in suspect.attributed:
                blames = (Blame(digest, upstream_id),)
        return self._resolve_held(blames, now_s)

    def _withdraw_suspicion(self, digest: str, upstream_id: str) -> None:
        suspect = self._suspects.get(digest)
        if suspect is None:
            return
        suspect.attributed.discard(upstream_id)
        suspect.ambiguous.discard(upstream_id)
        if not suspect.upstreams:
            del self._suspects[digest]

    def _resolve_held(
        self, blames: tuple[Blame, ...], now_s: float
    ) -> QuarantineChange:
        """Quarantine or release each held digest once all its losses are resolved."""
        found = list(blames)
        quarantined = []
        released = False
        for digest in sorted(self._held):
            suspect = self._suspects.get(digest)
            upstreams = set() if suspect is None else suspect.upstreams
            if any(self._is_loss_unconfirmed(upstream_id) for upstream_id in upstreams):
                continue
            self._held.discard(digest)
            if len(upstreams) < QUARANTINE_MIN_LOSSES:
                released = True
                continue
            found += [Blame(digest, upstream_id) for upstream_id in sorted(upstreams)]
            quarantined.append(digest)
            self._quarantine_digest(digest, now_s)
        return QuarantineChange(tuple(found), tuple(quarantined), released)

    def _is_loss_unconfirmed(self, upstream_id: str) -> bool:
        loss = self._losses.get(upstream_id)
        return loss is not None and not loss.confirmed

    def _quarantine_digest(self, digest: str, now_s: float) -> None:
        self._suspects.pop(digest, None)
        self._held.discard(digest)
        self._quarantined[digest] = now_s
        while len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.popitem(last=False)

    def record_peer_blame(
        self, digest: str, upstream_id: str, now_s: float
    ) -> QuarantineChange:
        """Record a loss that another host attributed to a digest."""
        if digest in self._quarantined:
            return QuarantineChange()
        suspect = self._get_or_add_suspect(digest, now_s)
        suspect.attributed.add(upstream_id)
        if len(suspect.attributed) < QUARANTINE_MIN_LOSSES:
            return QuarantineChange()
        self._quarantine_digest(digest, now_s)
        return QuarantineChange(quarantined=(digest,))

    def clear(self, digest: str) -> None:
        """Remove a digest from quarantine and suspicion at an operator's request."""
        self._quarantined.pop(digest, None)
        self._suspects.pop(digest, None)
        self._held.discard(digest)

    def unconfirmed_losses(self) -> tuple[str, ...]:
        """Return the upstreams whose loss is neither confirmed nor disproved."""
        return tuple(
            upstream_id
            for upstream_id, loss in self._losses.items()
            if not loss.confirmed
        )

    def expire(self, now_s: float) -> QuarantineChange:
        """Confirm losses whose probe timed out and discard old evidence."""
        if not (self._losses or self._suspects or self._quarantined):
            return QuarantineChange()
        changes = []
        for upstream_id, loss in tuple(self._losses.items()):
            if not loss.confirmed and now_s - loss.since_s >= LOSS_CONFIRM_TIMEOUT_S:
                changes.append(self.resolve_loss(upstream_id, lost=True, now_s=now_s))
            elif now_s - loss.since_s >= LOSS_WINDOW_S:
                del self._losses[upstream_id]
        for digest, suspect in tuple(self._suspects.items()):
            if now_s - suspect.since_s < SUSPECT_TTL_S:
                break
            del self._suspects[digest]
            self._held.discard(digest)
        while self._quarantined:
            digest, since_s = next(iter(self._quarantined.items()))
            if now_s - since_s < QUARANTINE_TTL_S:
                break
            del self._quarantined[digest]
        return QuarantineChange(
            blames=tuple(blame for change in changes for blame in change.blames),
            quarantined=tuple(
                digest for change in changes for digest in change.quarantined
            ),
            released=any(change.released for change in changes),
        )
