"""Check recovery from chains that stall after their first tokens."""

from persimmonwell.core import LayerRange, Upstream
from persimmonwell.core import router as r
from tests.core.router.harness import FailureKind, Harness


def _stage(name: str, zone: str, start: int) -> Upstream:
    layers = LayerRange(start, start + 1)
    return Upstream(name, f"{name}:1", zone, "m", layers, slots=16)


STAGES = (
    _stage("first-a", "a", 0),
    _stage("last-a", "a", 1),
    _stage("first-b", "b", 0),
    _stage("last-b", "b", 1),
)


def test_stalled_later_stage_leaves_healthy_chain_in_use() -> None:
    """Guards against truncated answers while one healthy chain is left.

    first-a sends answers of other requests and last-b stalls after three tokens, so
    that only first-b with last-a works. When the stall counted against first-b, every
    request was retried on first-a until its attempts were used up.
    """
    harness = Harness(*STAGES)
    names = [f"q{number}" for number in range(6)]
    for name in names:
        harness.arrive(name)
    for _ in range(40):
        for name in list(harness.running):
            decision = harness.running[name]
            assert isinstance(decision, r.Dispatch)
            stages = decision.chain.upstream_ids
            if "first-a" in stages:
                harness.fail(name, FailureKind.INVALID_ANSWER, 0)
            elif "last-b" in stages:
                harness.first_token(name)
                harness.fail(name, FailureKind.TIMEOUT, 3)
            else:
                harness.finish(name)
        harness.tick(0.1)
    assert not harness.errors
    assert set(harness.ended) == set(names)


def test_stalled_chain_is_avoided_entirely_if_others_exist() -> None:
    """Guards against a retry on the stage that has just stalled."""
    harness = Harness(*STAGES)
    harness.arrive("q")
    first = harness.running["q"]
    assert isinstance(first, r.Dispatch)
    harness.first_token("q")
    harness.fail("q", FailureKind.TIMEOUT, 3)
    harness.tick(0.2)
    second = harness.running["q"]
    assert isinstance(second, r.Dispatch)
    assert not set(first.chain.upstream_ids) & set(second.chain.upstream_ids)
