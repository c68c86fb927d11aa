"""Tests of the token assembler: frame validation across attempts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell.core.retry import (
    AcceptedEnd,
    AcceptedToken,
    Dropped,
    DropReason,
    EndFrame,
    TokenAssembler,
    TokenFrame,
)

WHOLE = ((0, 2), (2, 4))
TRACES = st.sampled_from(
    [WHOLE, ((0, 4),), ((0, 2),), ((2, 4), (0, 2)), ((0, 3), (2, 4)), ((0, 2),) * 2, ()]
)
IDS, ATTEMPTS = st.sampled_from(["r", "other"]), st.integers(0, 3)
FRAMES = st.one_of(
    st.builds(TokenFrame, IDS, ATTEMPTS, st.integers(0, 5), st.just("t"), TRACES),
    st.builds(EndFrame, IDS, ATTEMPTS, st.integers(0, 5), st.just("stop")),
    ATTEMPTS,
)


def _token(index: int, trace: tuple[tuple[int, int], ...] = WHOLE) -> TokenFrame:
    return TokenFrame("r", 1, index, "t", trace)


@given(st.lists(FRAMES, max_size=60))
def test_any_frames_give_each_index_once_in_order(
    frames: list[TokenFrame | EndFrame | int],
) -> None:
    """Guards against gaps, repeats, stale attempts and tokens of other requests."""
    assembler = TokenAssembler(request_id="r", total_layers=4, max_tokens=4)
    attempt, accepted, ended = 0, 0, False
    for frame in frames:
        if isinstance(frame, int):
            attempt = frame
            assembler.start_attempt(frame)
            continue
        result = assembler.accept(frame)
        if isinstance(result, Dropped):
            continue
        assert not ended and frame.request_id == "r" and frame.attempt == attempt
        if isinstance(result, AcceptedEnd):
            ended = True
            assert result.count == accepted
        else:
            assert isinstance(frame, TokenFrame) and frame.layers in (WHOLE, ((0, 4),))
            assert result.index == accepted < 4
            accepted += 1
    assert assembler.resume_index == accepted and assembler.is_complete == ended


@pytest.mark.parametrize(
    ("frame", "reason"),
    [
        (TokenFrame("other", 1, 1, "t", WHOLE), DropReason.OTHER_REQUEST),
        (TokenFrame("r", 0, 1, "t", WHOLE), DropReason.STALE_ATTEMPT),
        (_token(0), DropReason.REPEATED_INDEX),
        (_token(2), DropReason.MISSING_INDEX),
        (_token(1, ((0, 2), (2, 3))), DropReason.LAYER_TRACE),
        (_token(1, ((0, 2), (0, 2), (2, 4))), DropReason.LAYER_TRACE),
        (EndFrame("r", 1, 2, "stop"), DropReason.WRONG_COUNT),
    ],
)
def test_invalid_frame_is_dropped_with_its_reason(
    frame: TokenFrame | EndFrame, reason: DropReason
) -> None:
    """Guards against an invalid frame that reaches the caller or ends the attempt."""
    assembler = TokenAssembler(request_id="r", total_layers=4, max_tokens=4)
    assembler.start_attempt(1)
    assert assembler.accept(_token(0)) == AcceptedToken(0, "t")
    assert assembler.accept(frame) == Dropped(reason)
    assert assembler.accept(_token(1)) == AcceptedToken(1, "t")


def test_endless_answer_breaks_its_attempt() -> None:
    """Guards against an engine that generates beyond max_tokens until the deadline."""
    assembler = TokenAssembler(request_id="r", total_layers=4, max_tokens=2)
    assembler.start_attempt(1)
    results = [assembler.accept(_token(index)) for index in range(3)]
    assert isinstance(results[2], Dropped) and results[2].breaks_attempt
    assert isinstance(assembler.accept(EndFrame("r", 1, 2, "length")), AcceptedEnd)
