"""Make the daemon's behaviour visible."""

from persimmonwell.observe._logs import configure_logs, part_logger

__all__ = ["configure_logs", "part_logger"]
