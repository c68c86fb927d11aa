"""Run one entry host as a daemon."""

from persimmonwell.daemon._daemon import Daemon
from persimmonwell.daemon._main import main

__all__ = ["Daemon", "main"]
