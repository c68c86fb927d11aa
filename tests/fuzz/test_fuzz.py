"""Tests of the fuzzer, and a short seeded run of each target."""

import random
from pathlib import Path

import pytest

from fuzz import TARGETS, Target, mutate, run_target
from fuzz._runner import failure_of

CORPUS = Path(__file__).resolve().parents[2] / "fuzz" / "corpus"
CORPUS_FILES = sorted(path for path in CORPUS.rglob("*") if path.is_file())
BY_NAME = {target.name: target for target in TARGETS}
INPUTS = 4_000


@pytest.mark.parametrize("target", TARGETS, ids=lambda target: target.name)
def test_decoder_holds_on_mutated_samples(target: Target) -> None:
    """Guards against foreign bytes that raise, or that decode to an odd value."""
    for sample in target.samples:
        target.check(sample)
    report = run_target(target, seed=1, inputs=INPUTS)
    assert report.inputs == INPUTS and report.findings == ()


@pytest.mark.parametrize("path", CORPUS_FILES, ids=lambda path: path.name)
def test_decoder_holds_on_inputs_that_once_failed(path: Path) -> None:
    """Guards against a fault that the fuzzer found on an earlier commit."""
    BY_NAME[path.parent.name].check(path.read_bytes())


def _fail_on_odd_number(data: bytes) -> None:
    if b"inf" in data:
        raise OverflowError
    if data.startswith(b"a"):
        raise ValueError


def test_each_cause_is_found_once_and_reduced() -> None:
    """Guards against a fuzzer that finds nothing, or reports a cause many times."""
    target = Target(
        "planted", (b"count: 12, limit: 3.5, more text",), _fail_on_odd_number
    )
    findings = run_target(target, seed=1, inputs=20_000).findings
    assert {finding.cause.split(" ")[0]: finding.data for finding in findings} == {
        "OverflowError": b"inf",
        "ValueError": b"a",
    }


def test_same_seed_draws_the_same_inputs() -> None:
    """Guards against a finding that its seed does not show again."""
    first, second = (
        [mutate(random.Random(seed), b"count: 12") for seed in range(50)]
        for _ in range(2)
    )
    assert first == second and len(set(first)) > 30


def test_stream_with_a_repeated_event_is_a_finding() -> None:
    """Guards against a check of streams that holds for everything."""
    stream = BY_NAME["stream"]
    assert failure_of(stream, b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n") is None
    assert failure_of(stream, b"id: 7\ndata: x\n\nid: 8\ndata: y\n\n") is not None
