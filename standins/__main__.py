"""Runs one stand-in as a process: python -m standins KIND --port PORT.

Prints the bound address as its first line of output.
"""

import argparse
import signal
import threading

from standins.engine import Engine
from standins.hosts import HostDirectory
from standins.log import Log
from standins.service import Service


def main() -> None:
    """Serve one stand-in until SIGTERM."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("kind", choices=("engine", "service", "log", "hosts"))
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--layers", type=int, nargs=2, default=(0, 1))
    parser.add_argument("--token-s", type=float, default=0.001)
    parser.add_argument("--checks-fencing", action="store_true")
    options = parser.parse_args()
    standin: Engine | Service | Log | HostDirectory
    if options.kind == "engine":
        standin = Engine(
            layers=tuple(options.layers),
            port=options.port,
            token_s=options.token_s,
            exit_on_crash=True,
            checks_fencing=options.checks_fencing,
        )
    elif options.kind == "service":
        standin = Service(port=options.port)
    elif options.kind == "log":
        standin = Log(port=options.port)
    else:
        standin = HostDirectory(port=options.port)
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    standin.start()
    print(standin.server.address, flush=True)
    stop.wait()
    standin.close()


main()
