"""Make the daemon's behaviour visible."""

from persimmonwell.observe._logs import configure_logs, part_logger
from persimmonwell.observe._recorder import Recorder

__all__ = ["Recorder", "configure_logs", "part_logger"]
