"""Unit tests of the retry budget, back-off and quarantine."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.retry import Quarantine, RetryBudget, backoff_s
from persimmonwell.core.retry._budget import HOST_BURST_RETRIES, WORKSPACE_BURST_RETRIES
from persimmonwell.core.retry._quarantine import MAX_QUARANTINED, MAX_SUSPECTS


@given(st.lists(st.tuples(st.booleans(), st.sampled_from("abcdefgh")), max_size=300))
def test_retries_stay_within_ratio_and_burst(steps: list[tuple[bool, str]]) -> None:
    """Guards against a retry storm of one workspace or of all workspaces together."""
    budget = RetryBudget(ratio=0.1)
    admitted = dict.fromkeys("abcdefgh", 0)
    retried = dict.fromkeys("abcdefgh", 0)
    for is_admission, workspace in steps:
        if is_admission:
            budget.record_admission(workspace)
            admitted[workspace] += 1
        else:
            retried[workspace] += budget.try_spend(workspace)
        workspace_limit = WORKSPACE_BURST_RETRIES + 0.1 * admitted[workspace]
        assert retried[workspace] <= workspace_limit + 1e-6
        host_limit = HOST_BURST_RETRIES + 0.1 * sum(admitted.values())
        assert sum(retried.values()) <= host_limit + 1e-6


@pytest.mark.parametrize(
    ("ratio", "names", "allowed"),
    [(0.0, "a", 0), (0.1, "a", 10), (1.0, "a", 10), (0.1, "abcdefgh", 50)],
)
def test_burst_size_by_ratio(ratio: float, names: str, allowed: int) -> None:
    """Guards against retries while the ratio is 0, and against unbounded bursts."""
    budget = RetryBudget(ratio=0.5)
    budget.configure(ratio)
    assert sum(budget.try_spend(name) for name in names * 30) == allowed


@given(st.integers(1, 40), st.integers(0, 2**32))
def test_backoff_is_bounded_and_repeatable(failures: int, seed: int) -> None:
    """Guards against unbounded delays and hidden randomness."""
    first = backoff_s(failures, base_s=0.02, cap_s=1.0, rng_seed=seed)
    assert 0 <= first <= min(1.0, 0.02 * 2 ** (failures - 1))
    assert first == backoff_s(failures, base_s=0.02, cap_s=1.0, rng_seed=seed)


def _lose(quarantine: Quarantine, upstream_id: str, digests: str, now_s: float) -> None:
    """Record a confirmed loss; upper-case digests had generated tokens there."""
    running = frozenset(digests.lower())
    not_generating = running & frozenset(digests)
    quarantine.record_loss(
        upstream_id, running, not_generating=not_generating, now_s=now_s
    )
    quarantine.resolve_loss(upstream_id, lost=True, now_s=now_s)


@pytest.mark.parametrize(
    ("losses", "expected"),
    [
        ("u1:p u2:p", "p"),
        ("u1:pxy u2:pz", "p"),
        ("u1:p u1:p", ""),  # The same upstream, lost twice.
        ("u1:px u2:px", ""),  # Either digest may be the cause,
        ("u1:px u2:px u3:px u4:p", "p"),  # until only one of them is running.
        ("u1:px u2:yz u3:q", ""),
        ("u1:px u2:pX", "p"),
        (
            "u1:px u2:P",
            "",
        ),  # Got past its first loss; the second has another cause.
        ("u1:px u2:PX u3:p", "p"),
        ("u1:PXY u2:p", ""),  # Resumed on an upstream that fails as well.
        ("u1:PXY u2:PZ u3:p", "p"),  # Crashes upstreams only after some tokens.
    ],
)
def test_losses_identify_one_digest(losses: str, expected: str) -> None:
    """Guards against missing the crashing digest or quarantining another one."""
    quarantine = Quarantine()
    for step, loss in enumerate(losses.split()):
        _lose(quarantine, *loss.split(":"), 10.0 * step)
    assert "".join(quarantine.digests) == expected


def test_losses_with_a_common_cause_quarantine_no_digest() -> None:
    """Guards against quarantine after a rack or zone failure."""
    quarantine = Quarantine()
    for step, digests in enumerate(("ab", "cd", "ae", "f", "g", "h")):
        _lose(quarantine, f"u{step}", digests, 0.1 * step)
    assert not quarantine.is_held("a") and not quarantine.digests
    assert {blame.digest for blame in quarantine.suspects} <= set("ab")


def test_evidence_is_bounded_and_expires() -> None:
    """Guards against memory that grows with losses and peer reports."""
    quarantine = Quarantine()
    for number in range(MAX_SUSPECTS + 50):
        quarantine.record_peer_blame(f"d{number}", "u1", 0.0)
    assert len(quarantine.suspects) == MAX_SUSPECTS
    for number in range(MAX_QUARANTINED + 50):
        quarantine.record_peer_blame(f"q{number}", "u1", 1.0)
        quarantine.record_peer_blame(f"q{number}", "u2", 1.0)
    assert len(quarantine.digests) == MAX_QUARANTINED
    quarantine.expire(700.0)
    assert not quarantine.suspects and quarantine.digests
    quarantine.expire(90_000.0)
    assert not quarantine.digests
