"""Check the retry budget, the backoff and the quarantine on their own."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.retry import Quarantine, RetryBudget, backoff_s
from persimmonwell.core.retry._budget import FLEET_BURST, WORKSPACE_BURST
from persimmonwell.core.retry._quarantine import MAX_QUARANTINED, MAX_SUSPECTS


@given(st.lists(st.tuples(st.booleans(), st.sampled_from("abcdefgh")), max_size=300))
def test_repeats_stay_within_ratio_and_burst(steps: list[tuple[bool, str]]) -> None:
    """Guards against a retry storm, of one workspace or of all together."""
    budget = RetryBudget(ratio=0.1)
    admitted = dict.fromkeys("abcdefgh", 0)
    repeated = dict.fromkeys("abcdefgh", 0)
    for is_admission, workspace in steps:
        if is_admission:
            budget.admitted(workspace)
            admitted[workspace] += 1
        else:
            repeated[workspace] += budget.spend(workspace)
        own = WORKSPACE_BURST + 0.1 * admitted[workspace]
        assert repeated[workspace] <= own + 1e-6
        total = FLEET_BURST + 0.1 * sum(admitted.values())
        assert sum(repeated.values()) <= total + 1e-6


@pytest.mark.parametrize(
    ("ratio", "names", "allowed"),
    [(0.0, "a", 0), (0.1, "a", 10), (1.0, "a", 10), (0.1, "abcdefgh", 50)],
)
def test_burst_and_switching_off(ratio: float, names: str, allowed: int) -> None:
    """Guards against repeats after an operator set the ratio to 0."""
    budget = RetryBudget(ratio=0.5)
    budget.configure(ratio)
    assert sum(budget.spend(name) for name in names * 30) == allowed


@given(st.integers(1, 40), st.integers(0, 2**32))
def test_backoff_is_bounded_and_repeatable(failures: int, seed: int) -> None:
    """Guards against unbounded delays and hidden randomness."""
    first = backoff_s(failures, base_s=0.02, cap_s=1.0, rng_seed=seed)
    assert 0 <= first <= min(1.0, 0.02 * 2 ** (failures - 1))
    assert first == backoff_s(failures, base_s=0.02, cap_s=1.0, rng_seed=seed)


def _lose(quarantine: Quarantine, upstream_id: str, digests: str, now_s: float) -> None:
    """Lose an upstream; capitals are digests that generated tokens there."""
    running = frozenset(digests.lower())
    fresh = running & frozenset(digests)
    quarantine.lost(upstream_id, running, fresh=fresh, now_s=now_s)
    quarantine.resolve(upstream_id, lost=True, now_s=now_s)


@pytest.mark.parametrize(
    ("losses", "expected"),
    [
        ("u1:p u2:p", "p"),
        ("u1:pxy u2:pz", "p"),
        ("u1:p u1:p", ""),  # One upstream, lost twice.
        ("u1:px u2:px", ""),  # Either one may be the cause,
        ("u1:px u2:px u3:px u4:p", "p"),  # until one of them runs apart.
        ("u1:px u2:yz u3:q", ""),
        ("u1:px u2:pX", "p"),
        ("u1:px u2:P", ""),  # Got past its first loss, then hit by another.
        ("u1:px u2:PX u3:p", "p"),
        ("u1:PXY u2:p", ""),  # Resumed onto an upstream that dies as well.
        ("u1:PXY u2:PZ u3:p", "p"),  # Crashes late, after some tokens.
    ],
)
def test_losses_identify_one_digest(losses: str, expected: str) -> None:
    """Guards against a missed culprit and against blaming a neighbour."""
    quarantine = Quarantine()
    for step, loss in enumerate(losses.split()):
        _lose(quarantine, *loss.split(":"), 10.0 * step)
    assert "".join(quarantine.digests) == expected


def test_losses_with_a_common_cause_accuse_nobody() -> None:
    """Guards against quarantine after the loss of a rack or a zone."""
    quarantine = Quarantine()
    for step, digests in enumerate(("ab", "cd", "ae", "f", "g", "h")):
        _lose(quarantine, f"u{step}", digests, 0.1 * step)
    assert not quarantine.is_held("a") and not quarantine.digests
    assert {blame.digest for blame in quarantine.suspects} <= set("ab")


def test_evidence_is_bounded_and_expires() -> None:
    """Guards against memory that grows with crashes and with peers' reports."""
    quarantine = Quarantine()
    for number in range(MAX_SUSPECTS + 50):
        quarantine.learn(f"d{number}", "u1", 0.0)
    assert len(quarantine.suspects) == MAX_SUSPECTS
    for number in range(MAX_QUARANTINED + 50):
        quarantine.learn(f"q{number}", "u1", 1.0)
        quarantine.learn(f"q{number}", "u2", 1.0)
    assert len(quarantine.digests) == MAX_QUARANTINED
    quarantine.expire(700.0)
    assert not quarantine.suspects and quarantine.digests
    quarantine.expire(90_000.0)
    assert not quarantine.digests
