"""Define the exit statuses of the tool."""

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_PARTIAL = 5
"""Some hosts answered and some did not, or an answer broke off."""

STATUS_EXITS = {
    400: EXIT_BAD_INPUT,
    409: EXIT_CONFLICT,
    413: EXIT_BAD_INPUT,
    422: EXIT_BAD_INPUT,
}


def exit_of_status(status: int) -> int:
    """Return the exit status for the HTTP status of an answer."""
    if 200 <= status < 300:
        return EXIT_OK
    return STATUS_EXITS.get(status, EXIT_REFUSED)


def combined_exit(exits: tuple[int, ...], unreachable: int) -> int:
    """Return the exit status of a command that asked several hosts."""
    if not exits:
        return EXIT_UNREACHABLE
    if unreachable or len(set(exits)) > 1:
        return EXIT_PARTIAL
    return exits[0]
