"""Exit statuses of the command-line tool."""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_PARTIAL = 5
"""Only some hosts succeeded, or an answer broke off."""

EXIT_STATUS_BY_HTTP_STATUS = {
    400: EXIT_BAD_INPUT,
    409: EXIT_CONFLICT,
    413: EXIT_BAD_INPUT,
    422: EXIT_BAD_INPUT,
}


def exit_status_for(status: int) -> int:
    """Return the exit status for an HTTP status."""
    if 200 <= status < 300:
        return EXIT_OK
    return EXIT_STATUS_BY_HTTP_STATUS.get(status, EXIT_REFUSED)


def combine_exit_statuses(exit_statuses: tuple[int, ...], unreachable: int) -> int:
    """Return the exit status of a command that called several hosts.

    unreachable is the number of hosts without an answer.
    """
    if not exit_statuses:
        return EXIT_UNREACHABLE
    if unreachable or len(set(exit_statuses)) > 1:
        return EXIT_PARTIAL
    return exit_statuses[0]
