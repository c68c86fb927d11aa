"""Command line of a forwarding host: settings, signals and exit statuses."""

import argparse
import asyncio
import os
import signal
import sys
import time

from persimmonwell._exceptions import DocumentError
from persimmonwell.gateway._host import GatewayHost
from persimmonwell.platform import (
    DEFAULT_NODE_FILE,
    NODE_FILE_VARIABLE,
    read_node_file,
)

EXIT_CANNOT_START = 1
EXIT_BAD_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Run a host until SIGTERM or SIGINT and return the exit status.

    SIGHUP reads the settings file again.
    """
    parser = argparse.ArgumentParser(
        prog="persimmonwell-gateway", description="Run a forwarding host."
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(NODE_FILE_VARIABLE, DEFAULT_NODE_FILE),
        help="settings file with lines of the form a.b=value",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args(arguments)
    try:
        settings = read_node_file(options.settings)
    except OSError as error:
        print(f"settings: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except DocumentError as error:
        for fault in error.faults:
            print(f"settings: {fault.path} {fault.reason}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        print("settings are valid")
        return 0
    try:
        return asyncio.run(_run(GatewayHost(settings, seed=time.time_ns()), options))
    except OSError as error:
        print(f"cannot start: {error}", file=sys.stderr)
        return EXIT_CANNOT_START


async def _run(host: GatewayHost, options: argparse.Namespace) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload(host, options.settings))
    await host.start()
    await stop.wait()
    await host.drain()
    return 0


def _reload(host: GatewayHost, path: str) -> None:
    try:
        host.reload(read_node_file(path))
    except (OSError, DocumentError) as error:
        host.reload_failed(str(error))
