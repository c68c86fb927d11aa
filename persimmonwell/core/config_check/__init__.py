"""Findings about an operators' configuration before it is sent, and its changes."""

from persimmonwell.core.config_check._checks import HostLimits, check_config
from persimmonwell.core.config_check._differences import (
    Difference,
    check_replacement,
    list_differences,
)
from persimmonwell.core.config_check._findings import Finding, Severity

__all__ = [
    "Difference",
    "Finding",
    "HostLimits",
    "Severity",
    "check_config",
    "check_replacement",
    "list_differences",
]
