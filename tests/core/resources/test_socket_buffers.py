"""Tests of the sizes of the kernel's socket buffers."""

import attrs
import pytest

from persimmonwell.core.resources import (
    RECEIVE_BUFFER_BYTES,
    UPLOAD_BUFFER_BYTES,
    CallerPolicy,
    buffer_plan,
    buffered_connection_bound,
    caller_connection_bound,
    memory_budget_bytes,
)

MIB = 1024 * 1024
PROCESS_MB = 64
ROUND_TRIP_S = 0.006
UPLOAD_BITS_PER_S = 100e6
LEAST_WINDOW_SHARE = 0.35
"""Share of a receive buffer that is window: packets of 1.4 KB in pages of 4 KB."""


@pytest.mark.parametrize("max_fds", [1024, 4100, 20_000])
@pytest.mark.parametrize("memory_mb", [128, 200, 256, 300, 512, 4096])
def test_all_connections_fit_into_the_memory(memory_mb: int, max_fds: int) -> None:
    """Guards against buffers that exceed the memory when all connections fill them."""
    bound = caller_connection_bound(max_fds, None)
    bound = min(bound, buffered_connection_bound(memory_mb))
    plan = buffer_plan(memory_mb, bound)
    total = 0
    for open_count in range(bound):
        sizes = plan.sizes_for(open_count)
        # What was read at once of an upstream comes on top of the unsent bytes.
        total += sum(attrs.astuple(sizes)) + sizes.unsent_bytes
    total += PROCESS_MB * MIB + memory_budget_bytes(memory_mb)
    total += CallerPolicy().max_waiting_uploads * RECEIVE_BUFFER_BYTES
    assert total <= memory_mb * MIB


def test_upload_sustains_its_rate() -> None:
    """Guards against a window below what 100 Mbit/s need at 6 ms."""
    window = UPLOAD_BUFFER_BYTES * LEAST_WINDOW_SHARE
    assert window * 8 / ROUND_TRIP_S >= UPLOAD_BITS_PER_S
