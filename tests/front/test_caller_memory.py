"""Tests of the memory that request threads reserve for bodies."""

import threading
import time
from collections.abc import Callable

import pytest

from persimmonwell._exceptions import OverloadedError
from persimmonwell.core.resources import CallerPolicy
from persimmonwell.front import CallerMemory

LARGE_BYTES = 4 * 1024 * 1024
"""With its copy, two thirds of what the smallest budget has for large bodies."""
WAIT_S = 0.2
POLICY = CallerPolicy(
    upload_wait_s=WAIT_S, shortage_s=0.0, stall_s=0.05, max_waiting_uploads=1
)


def _reserve(memory: CallerMemory, on_ended: Callable[[], None] = lambda: None):
    return memory.reserve("127.0.0.1", LARGE_BYTES, on_ended)


def _tick_until(memory: CallerMemory, thread: threading.Thread) -> None:
    while thread.is_alive():
        memory.tick()
        time.sleep(0.01)


def test_a_body_waits_until_another_has_ended() -> None:
    """Guards against bodies that together exceed the memory, or wait without end."""
    memory = CallerMemory(64, POLICY)
    first = _reserve(memory)
    first.end_receiving()
    thread = threading.Thread(target=lambda: _reserve(memory).close())
    thread.start()
    first.close()
    _tick_until(memory, thread)
    assert memory.used_bytes == 0


def test_a_body_that_waits_too_long_is_refused() -> None:
    """Guards against a thread that waits without end for memory in use."""
    memory = CallerMemory(64, POLICY)
    first = _reserve(memory)
    first.end_receiving()
    refused = []

    def wait() -> None:
        with pytest.raises(OverloadedError) as error:
            _reserve(memory)
        refused.append(error.value)

    thread = threading.Thread(target=wait)
    thread.start()
    _tick_until(memory, thread)
    assert len(refused) == 1
    first.close()
    assert memory.used_bytes == 0


def test_a_stalled_body_is_ended_for_one_that_waits() -> None:
    """Guards against clients that keep the memory by sending nothing."""
    memory = CallerMemory(64, POLICY)
    ended = threading.Event()
    _reserve(memory, ended.set)
    thread = threading.Thread(target=lambda: _reserve(memory).close())
    thread.start()
    _tick_until(memory, thread)
    assert ended.is_set() and memory.used_bytes == 0
