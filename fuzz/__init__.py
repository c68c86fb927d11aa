"""Fuzzer of the decoders of what reaches a host from outside."""

from fuzz._mutations import mutate
from fuzz._runner import Finding, Report, run_target, shrink
from fuzz._targets import TARGETS, Target

__all__ = [
    "TARGETS",
    "Finding",
    "Report",
    "Target",
    "mutate",
    "run_target",
    "shrink",
]
