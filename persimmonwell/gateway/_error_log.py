"""Log of unexpected errors, with the trace of each cause once."""

import asyncio
import traceback
from typing import Any

from persimmonwell.gateway._metrics import GatewayMetrics
from persimmonwell.observe import DecisionLog

MAX_TRACE_CHARACTERS = 4000
MAX_LOGGED_CAUSES = 256
"""Causes of unexpected errors whose trace is logged once; later ones log it anew."""


class ErrorLog:
    """Causes of the unexpected errors whose trace is in the log."""

    def __init__(self, *, log: DecisionLog, metrics: GatewayMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._logged_causes: set[str] = set()

    def log_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Log an error of one callback, with its trace once; the host goes on."""
        self._metrics.count_event("unexpected_errors")
        error = context.get("exception")
        trace: list[str] = []
        if (cause := _error_cause(error)) not in self._logged_causes:
            trace = traceback.format_exception(error) if error is not None else []
            if len(self._logged_causes) < MAX_LOGGED_CAUSES:
                self._logged_causes.add(cause)
        self._log.write(
            "host",
            "unexpected_error",
            message=context.get("message"),
            error=repr(error)[:MAX_TRACE_CHARACTERS],
            trace="".join(trace)[-MAX_TRACE_CHARACTERS:] or None,
        )


def _error_cause(error: BaseException | None) -> str:
    """Return the type of an error and the line that raised it."""
    frames = traceback.extract_tb(error.__traceback__) if error is not None else []
    line = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    return f"{type(error).__name__} {line}"
