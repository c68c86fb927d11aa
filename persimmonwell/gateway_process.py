"""Entry point of a forwarding host: `python -m persimmonwell.gateway_process`.

Importing the gateway takes some tenths of a second, in which the default action of
SIGHUP would end the process. This module ignores the signal before that import.
"""

import signal
import sys


def main() -> int:
    """Ignore SIGHUP until the host installs its handler; run the host."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from persimmonwell.gateway import main as run_host

    return run_host()


if __name__ == "__main__":
    sys.exit(main())
