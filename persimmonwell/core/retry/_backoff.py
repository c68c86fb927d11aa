"""Exponential back-off with full jitter."""

import random

MAX_DOUBLINGS = 16


def backoff_s(failures: int, *, base_s: float, cap_s: float, rng_seed: int) -> float:
    """Return the retry delay in seconds after 1 or more failures."""
    doublings = min(failures - 1, MAX_DOUBLINGS)
    return random.Random(rng_seed).uniform(0.0, min(cap_s, base_s * 2**doublings))
