"""Choice of the transfers to end when every request thread is taken."""

from collections.abc import Hashable, Mapping
from typing import TypeVar

T = TypeVar("T", bound=Hashable)


def choose_stalled(
    idle_s: Mapping[T, float], *, needed: int, stall_s: float
) -> tuple[T, ...]:
    """Return the transfers to end, at most as many as there are requests waiting.

    The map gives the time since the last byte of each transfer that holds a thread.
    Those that have been without a byte for the longest come first.
    """
    stalled = [transfer for transfer, idle in idle_s.items() if idle >= stall_s]
    stalled.sort(key=lambda transfer: idle_s[transfer], reverse=True)
    return tuple(stalled[: max(0, needed)])
