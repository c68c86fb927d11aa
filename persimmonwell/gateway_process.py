"""Start a forwarding host with `python -m persimmonwell.gateway_process`.

A module of its own, since importing the gateway takes some tenths of a second: a SIGHUP
in that time ended the process, as nothing handled it yet.
"""

import signal
import sys


def main() -> int:
    """Ignore SIGHUP until the host handles it, then run the host."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from persimmonwell.gateway import main as run_host

    return run_host()


if __name__ == "__main__":
    sys.exit(main())
