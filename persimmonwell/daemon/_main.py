"""Command line of the daemon."""

import argparse
import json
import signal
import sys
import threading
import time
from pathlib import Path

from persimmonwell._exceptions import DocumentError
from persimmonwell.daemon._daemon import Daemon
from persimmonwell.observe import configure_logs, log_suppressed
from persimmonwell.settings import load_settings

EXIT_CANNOT_START = 1
EXIT_BAD_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Run one entry host until SIGTERM or SIGINT; return the exit status."""
    parser = argparse.ArgumentParser(
        prog="persimmonwelld", description="Run one persimmonwell entry host."
    )
    parser.add_argument("--settings", type=Path, required=True, help="JSON settings")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except DocumentError as error:
        for fault in error.faults:
            print(f"{fault.path}: {fault.reason}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        print("settings are valid")
        return 0
    limiter = configure_logs(settings.log, host_id=settings.host_id)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    try:
        daemon = Daemon(settings, seed=time.time_ns())
        daemon.start()
    except OSError as error:
        # Typically a port in use or an unreadable certificate. No request was accepted
        # yet, so there is nothing to drain.
        print(f"cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    # The starting process needs the addresses when the settings ask for port 0.
    print(json.dumps(daemon.addresses), flush=True)
    stop.wait()
    daemon.close()
    log_suppressed(limiter)
    return 0
