"""Choice between the host's availability zone and the others for one request.

Load pattern: the zone with the most callers has the slowest accelerators, and another
zone has room. All hosts of the first zone see that from the same old reports; if each
of them took the fastest path elsewhere, they would fill it together, and the requests
of that zone would in turn have to leave it. A request leaves its zone only where the
paths there are slow or full. It then goes to one of the zones at random, in proportion
to their spare memory and speed, and uses only what the zone's own requests leave.
"""

from collections.abc import Callable, Iterable, Sequence

import attrs

from persimmonwell.core.forwarding._paths import PipelinePath

CROSS_ZONE_PENALTY_MS = 4.0
"""Added to the step time of a path in another zone when paths are compared."""
SLOW_STEP_SHARE = 0.2
"""Share of the gap objective; slower steps make other zones candidates."""
SLOWER_STEP_SHARE = 0.1
"""Share of the gap objective from which a zone that is MIN_GAIN times as fast is a
candidate. Below it, callers read more slowly than the events arrive."""
MIN_GAIN = 2.0
"""Factor on the speed for which a crossing is worth its bandwidth before the steps are
slow. Zones of unlike accelerators differ by less than that in calm times."""
URGENT_KEPT_SHARE = 0.1
"""Share of a zone's memory that the most urgent requests of other zones leave to its
own, with reports that were just received. With half of that, the zone's own urgent
requests are in time too rarely, below 0.9 of them."""
KEPT_SHARE = 0.15
"""The same for less urgent requests, so that they leave first."""
KEPT_SHARE_PER_S = 0.05
"""Added for each second of the age of the reports of the zone's hosts, since those send
more in the meantime. With MAX_AGE_S, 0.3 stays free of urgent requests of other zones,
about what a zone with ordinary load uses itself. With 0.1, a tenth fewer requests are
in time if a zone cannot exchange reports."""
SHORTAGE_KEPT_SHARE = 0.1
"""Share of the own zone's memory that a request leaves free for more urgent ones that
lately found no room."""
SHORTAGE_KEPT_SHARE_ELSEWHERE = 0.25
"""Added in other zones, so that more urgent requests find a path there as well."""
SPARE_AGE_S = 0.05
"""Time for which a zone's spare share is kept, one tick; the reports are older."""
MIN_SPARE_SHARE = 0.01
"""Spare memory with which a zone counts that has a path but no room on average."""
MIN_STEP_MS = 0.1
SPEED_WEIGHT = 0.1
"""Weight of the newest answer in the measured speed; output lengths are estimates that
are wrong by up to a half."""
MIN_SPEED_SAMPLES = 10
MAX_SPEED_FACTOR = 2.0
"""Bound on the correction of predicted step times by what was delivered."""


@attrs.frozen
class ZonePath:
    """Fastest path of one zone for a request."""

    zone: str
    path: PipelinePath
    """With the time of a crossing in its step time, if it is in another zone."""
    step_ms: float
    """Step time with that of a crossing, corrected by what the zone delivered."""
    spare_share: float
    """Share of the zone's memory that the request's zone may use."""


@attrs.frozen
class ZoneCrossing:
    """Send to a replica in another zone, with the step times that decided."""

    source: str
    target: str
    home_step_ms: float | None
    """Step time of the path in the host's zone, None where no path had room and for
    services without a pipeline."""
    step_ms: float | None
    """That of the path that was taken with the crossing, None without a pipeline."""


def is_slow(step_ms: float, gap_objective_s: float | None) -> bool:
    """Return whether a path in the host's zone is slow enough to leave the zone."""
    if not gap_objective_s:
        return False
    return step_ms > SLOW_STEP_SHARE * gap_objective_s * 1000


def may_be_slow(step_ms: float, gap_objective_s: float | None) -> bool:
    """Return whether a zone that is much faster would be worth a crossing."""
    if not gap_objective_s:
        return False
    return step_ms > SLOWER_STEP_SHARE * gap_objective_s * 1000


def kept_share(
    priority: int, report_age_s: float, *, is_preceded: bool = False
) -> float:
    """Return the share of another zone's memory that a request leaves free.

    Priority 0 is the most urgent one. report_age_s is that of the zone's hosts;
    is_preceded tells whether a more urgent request found no room a moment ago.
    """
    share = KEPT_SHARE if priority > 0 else URGENT_KEPT_SHARE
    if is_preceded:
        share += SHORTAGE_KEPT_SHARE_ELSEWHERE
    return share + KEPT_SHARE_PER_S * report_age_s


def choose_zone(
    local: PipelinePath | None,
    local_spare_share: float,
    others: Iterable[ZonePath],
    *,
    gap_objective_s: float | None,
    draw: Callable[[], float],
) -> ZonePath | None:
    """Return the path in another zone that a request takes, None to stay.

    draw returns a random number from 0 to 1. It is called only where there is a choice,
    so that calm zones see the same random numbers.
    """
    candidates = [
        other
        for other in others
        if local is None or _is_worth_leaving(local, other, gap_objective_s)
    ]
    if not candidates:
        return None
    weights = [_weight(other.step_ms, other.spare_share) for other in candidates]
    stay = 0.0 if local is None else _weight(local.step_ms, local_spare_share)
    left = draw() * (stay + sum(weights)) - stay
    if left < 0.0:
        return None
    return _pick(candidates, weights, left)


def _is_worth_leaving(
    local: PipelinePath, other: ZonePath, gap_objective_s: float | None
) -> bool:
    if is_slow(local.step_ms, gap_objective_s):
        return other.step_ms < local.step_ms
    return (
        may_be_slow(local.step_ms, gap_objective_s)
        and MIN_GAIN * other.step_ms < local.step_ms
    )


def _weight(step_ms: float, spare_share: float) -> float:
    """Return the capacity that is free: memory by the speed at which it is used."""
    return max(MIN_SPARE_SHARE, spare_share) / max(step_ms, MIN_STEP_MS)


def _pick(
    candidates: Sequence[ZonePath], weights: Sequence[float], left: float
) -> ZonePath:
    for candidate, weight in zip(candidates, weights, strict=True):
        left -= weight
        if left < 0.0:
            return candidate
    return candidates[-1]


@attrs.define
class _Speed:
    ratio: float = 0.0
    samples: int = 0


class ZoneSpeeds:
    """Duration of answers by zone relative to the prediction, as measured lately."""

    def __init__(self) -> None:
        self._speeds: dict[str, _Speed] = {}

    def record(self, zone: str, predicted_s: float, actual_s: float) -> None:
        """Record the duration of a complete answer."""
        if predicted_s <= 0.0:
            return
        speed = self._speeds.setdefault(zone, _Speed())
        speed.samples += 1
        weight = max(SPEED_WEIGHT, 1.0 / speed.samples)
        speed.ratio += weight * (actual_s / predicted_s - speed.ratio)

    def factor(self, zone: str, own_zone: str) -> float:
        """Return the factor on a zone's step times when compared to the own zone's."""
        speed, own = self._speeds.get(zone), self._speeds.get(own_zone)
        if speed is None or own is None or own.ratio <= 0.0:
            return 1.0
        if min(speed.samples, own.samples) < MIN_SPEED_SAMPLES:
            return 1.0
        ratio = speed.ratio / own.ratio
        return min(MAX_SPEED_FACTOR, max(1.0 / MAX_SPEED_FACTOR, ratio))
