"""Daemon process of one entry host."""

from persimmonwell.daemon._daemon import Daemon
from persimmonwell.daemon._main import main

__all__ = ["Daemon", "main"]
