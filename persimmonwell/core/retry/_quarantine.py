"""Find the request digest that loses upstreams, and refuse it."""

from collections import OrderedDict

import attrs

CONFIRM_S = 0.5
"""A lost upstream that does not answer a probe for this long counts as lost."""
LOSS_MEMORY_S = 2.0
"""Reports of one upstream within this time belong to one loss. Losses of other
upstreams within it point to a common cause such as a rack or a zone."""
SUSPECT_S = 600.0
QUARANTINE_S = 86_400.0
MAX_SUSPECTS = 4096
MAX_QUARANTINED = 4096
COMMON_CAUSE_LOSSES = 3
"""Upstreams lost together, without a common digest, that accuse nobody."""
LOSSES_TO_QUARANTINE = 2


@attrs.frozen
class Blame:
    """Name an upstream that was lost to a digest."""

    digest: str
    upstream_id: str


@attrs.frozen
class Verdict:
    """Hold what follows from new evidence."""

    blames: tuple[Blame, ...] = ()
    """Identified losses to tell the other hosts."""
    quarantined: tuple[str, ...] = ()
    released: bool = False
    """Whether a digest that was held back may be dispatched again."""


@attrs.define
class _Loss:
    accused: frozenset[str]
    culprit: str | None
    since_s: float
    digests: frozenset[str]
    confirmed: bool = False


@attrs.define
class _Suspect:
    since_s: float
    blamed: set[str] = attrs.field(factory=set)
    """Upstreams lost before this digest generated anything there."""
    unclear: set[str] = attrs.field(factory=set)
    """Lost upstreams that do not tell this digest from another cause."""

    @property
    def upstreams(self) -> set[str]:
        return self.blamed | self.unclear

    @property
    def is_isolated(self) -> bool:
        # Most requests on an upstream that dies by itself are generating. They
        # are resumed at once; isolation would resume them a few at a time.
        return bool(self.blamed) or len(self.unclear) >= LOSSES_TO_QUARANTINE

    def is_incriminated_without(self, upstream_id: str) -> bool:
        earlier = self.upstreams - {upstream_id}
        return bool(self.blamed - {upstream_id}) or len(earlier) >= LOSSES_TO_QUARANTINE


class Quarantine:
    """Hold suspects and quarantined digests, bounded in number and time."""

    def __init__(self) -> None:
        self._quarantined: OrderedDict[str, float] = OrderedDict()
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._losses: dict[str, _Loss] = {}
        self._held: set[str] = set()
        self._running: dict[str, dict[str, str]] = {}

    @property
    def digests(self) -> tuple[str, ...]:
        """Return the quarantined digests, oldest first."""
        return tuple(self._quarantined)

    @property
    def suspects(self) -> tuple[Blame, ...]:
        """Return every upstream that a digest is suspected to have lost."""
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
        """Return whether requests with this digest run apart from each other."""
        suspect = self._suspects.get(digest)
        return suspect is not None and suspect.is_isolated

    def is_held(self, digest: str) -> bool:
        """Return whether a loss that would identify this digest is unconfirmed."""
        return digest in self._held

    def excluded_for(self, digest: str) -> frozenset[str]:
        """Return the upstreams on which another isolated suspect runs."""
        if not self._running or not self.is_isolated(digest):
            return frozenset()
        return frozenset(
            upstream_id
            for upstream_id, running in self._running.items()
            if any(other != digest for other in running.values())
        )

    def started(
        self, request_id: str, digest: str, upstream_ids: tuple[str, ...]
    ) -> None:
        """Reserve the upstreams of a suspect's attempt against other suspects."""
        if self.is_isolated(digest):
            for upstream_id in upstream_ids:
                self._running.setdefault(upstream_id, {})[request_id] = digest

    def progressed(
        self, request_id: str, digest: str, upstream_ids: tuple[str, ...]
    ) -> None:
        """End the isolation of a suspect that got past the point of its loss.

        A digest with several unclear losses stays isolated until its answer is
        complete.
        """
        suspect = self._suspects.get(digest)
        if suspect is None or len(suspect.upstreams) < LOSSES_TO_QUARANTINE:
            self.ended(request_id, upstream_ids)

    def ended(self, request_id: str, upstream_ids: tuple[str, ...]) -> None:
        """Release the upstreams of an attempt."""
        if not self._running:
            return
        for upstream_id in upstream_ids:
            running = self._running.get(upstream_id)
            if running is not None:
                running.pop(request_id, None)
                if not running:
                    del self._running[upstream_id]

    def completed(self, digest: str) -> None:
        """Exonerate a digest whose request ran to the end."""
        if digest in self._suspects:
            del self._suspects[digest]
            self._held.discard(digest)

    def lost(
        self,
        upstream_id: str,
        digests: frozenset[str],
        *,
        fresh: frozenset[str],
        now_s: float,
    ) -> bool:
        """Take a lost upstream and the digests running there.

        Fresh ones have generated nothing there. Return whether the loss is new
        and the upstream has to be probed.
        """
        known = self._losses.get(upstream_id)
        if known is not None and now_s - known.since_s < LOSS_MEMORY_S:
            return False
        prior = frozenset(
            digest
            for digest in digests & self._suspects.keys()
            if self._suspects[digest].upstreams - {upstream_id}
        )
        culprit = self._culprit(upstream_id, prior, fresh, now_s)
        accused = digests if culprit is None else frozenset({culprit})
        if not prior and self._has_common_cause(digests, now_s):
            accused = frozenset()
        for digest in sorted(accused):
            suspect = self._suspect(digest, now_s)
            clear = digest == culprit or (digest in fresh and digest not in prior)
            (suspect.blamed if clear else suspect.unclear).add(upstream_id)
        if culprit is not None:
            self._held.add(culprit)
        self._losses[upstream_id] = _Loss(accused, culprit, now_s, digests)
        return True

    def _culprit(
        self,
        upstream_id: str,
        prior: frozenset[str],
        fresh: frozenset[str],
        now_s: float,
    ) -> str | None:
        """Return the one suspect that this loss identifies, if any.

        A suspect that got past the point of its first loss is more likely the
        victim of another fault. Only isolation until completion, which follows
        an unclear loss, convicts it.
        """
        isolated = frozenset(self._running.get(upstream_id, {}).values())
        likely = [
            digest
            for digest in prior & (fresh | isolated)
            if self._suspects[digest].is_incriminated_without(upstream_id)
        ]
        if len(likely) != 1:
            return None
        (digest,) = likely
        return None if self._falls_with_others(digest, upstream_id, now_s) else digest

    def _falls_with_others(self, digest: str, upstream_id: str, now_s: float) -> bool:
        return any(
            other != upstream_id
            and now_s - loss.since_s < LOSS_MEMORY_S
            and digest not in loss.digests
            for other, loss in self._losses.items()
        )

    def _has_common_cause(self, digests: frozenset[str], now_s: float) -> bool:
        """Return whether several unrelated upstreams fell; absolve their digests."""
        unrelated = {
            other: loss
            for other, loss in self._losses.items()
            if now_s - loss.since_s < LOSS_MEMORY_S and not loss.digests & digests
        }
        if len(unrelated) + 1 < COMMON_CAUSE_LOSSES:
            return False
        for other, loss in unrelated.items():
            if loss.culprit is None:
                for digest in loss.accused:
                    self._absolve(digest, other)
                loss.accused = frozenset()
        return True

    def _suspect(self, digest: str, now_s: float) -> _Suspect:
        suspect = self._suspects.get(digest)
        if suspect is None:
            suspect = self._suspects[digest] = _Suspect(now_s)
            while len(self._suspects) > MAX_SUSPECTS:
                oldest, _ = self._suspects.popitem(last=False)
                self._held.discard(oldest)
        return suspect

    def resolve(self, upstream_id: str, *, lost: bool, now_s: float) -> Verdict:
        """Confirm or disprove a reported loss."""
        loss = self._losses.get(upstream_id)
        if loss is None or loss.confirmed:
            return Verdict()
        if not lost:
            del self._losses[upstream_id]
            for digest in loss.accused:
                self._absolve(digest, upstream_id)
            return self._settle_held((), now_s)
        loss.confirmed = True
        blames: tuple[Blame, ...] = ()
        if loss.culprit is None and len(loss.accused) == 1:
            (digest,) = loss.accused
            suspect = self._suspects.get(digest)
            if suspect is not None and upstream_id in suspect.blamed:
                blames = (Blame(digest, upstream_id),)
        return self._settle_held(blames, now_s)

    def _absolve(self, digest: str, upstream_id: str) -> None:
        suspect = self._suspects.get(digest)
        if suspect is None:
            return
        suspect.blamed.discard(upstream_id)
        suspect.unclear.discard(upstream_id)
        if not suspect.upstreams:
            del self._suspects[digest]

    def _settle_held(self, blames: tuple[Blame, ...], now_s: float) -> Verdict:
        """Judge held digests once every loss blamed on them is settled."""
        found = list(blames)
        quarantined = []
        released = False
        for digest in sorted(self._held):
            suspect = self._suspects.get(digest)
            upstreams = set() if suspect is None else suspect.upstreams
            if any(self._is_pending(upstream_id) for upstream_id in upstreams):
                continue
            self._held.discard(digest)
            if len(upstreams) < LOSSES_TO_QUARANTINE:
                released = True
                continue
            found += [Blame(digest, upstream_id) for upstream_id in sorted(upstreams)]
            quarantined.append(digest)
            self._confine(digest, now_s)
        return Verdict(tuple(found), tuple(quarantined), released)

    def _is_pending(self, upstream_id: str) -> bool:
        loss = self._losses.get(upstream_id)
        return loss is not None and not loss.confirmed

    def _confine(self, digest: str, now_s: float) -> None:
        self._suspects.pop(digest, None)
        self._held.discard(digest)
        self._quarantined[digest] = now_s
        while len(self._quarantined) > MAX_QUARANTINED:
            self._quarantined.popitem(last=False)

    def learn(self, digest: str, upstream_id: str, now_s: float) -> Verdict:
        """Take a loss that another host identified."""
        if digest in self._quarantined:
            return Verdict()
        suspect = self._suspect(digest, now_s)
        suspect.blamed.add(upstream_id)
        if len(suspect.blamed) < LOSSES_TO_QUARANTINE:
            return Verdict()
        self._confine(digest, now_s)
        return Verdict(quarantined=(digest,))

    def clear(self, digest: str) -> None:
        """Release a digest that an operator declared harmless."""
        self._quarantined.pop(digest, None)
        self._suspects.pop(digest, None)
        self._held.discard(digest)

    def unconfirmed(self) -> tuple[str, ...]:
        """Return the upstreams whose loss is neither confirmed nor disproved."""
        return tuple(u for u, loss in self._losses.items() if not loss.confirmed)

    def expire(self, now_s: float) -> Verdict:
        """Confirm losses without a probe's answer and forget old evidence."""
        if not (self._losses or self._suspects or self._quarantined):
            return Verdict()
        verdicts = []
        for upstream_id, loss in tuple(self._losses.items()):
            if not loss.confirmed and now_s - loss.since_s >= CONFIRM_S:
                verdicts.append(self.resolve(upstream_id, lost=True, now_s=now_s))
            elif now_s - loss.since_s >= LOSS_MEMORY_S:
                del self._losses[upstream_id]
        for digest, suspect in tuple(self._suspects.items()):
            if now_s - suspect.since_s < SUSPECT_S:
                break
            del self._suspects[digest]
            self._held.discard(digest)
        while self._quarantined:
            digest, since_s = next(iter(self._quarantined.items()))
            if now_s - since_s < QUARANTINE_S:
                break
            del self._quarantined[digest]
        return Verdict(
            blames=tuple(blame for v in verdicts for blame in v.blames),
            quarantined=tuple(digest for v in verdicts for digest in v.quarantined),
            released=any(v.released for v in verdicts),
        )
