"""Configure structured logs."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

from persimmonwell.settings import LogSettings

if TYPE_CHECKING:
    from loguru import Logger

TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {message} {extra}"


def configure_logs(settings: LogSettings, *, host_id: str) -> None:
    """Send logs to standard error as text or JSON lines."""
    logger.remove()
    logger.configure(extra={"host": host_id})
    logger.add(
        sys.stderr,
        level=settings.level,
        format=TEXT_FORMAT,
        serialize=settings.json,
        backtrace=False,
        diagnose=False,
    )


def part_logger(part: str) -> "Logger":
    """Return a logger whose sentences start with the part's prefix."""

    def add_prefix(record: "dict[str, object]") -> None:
        record["message"] = f"{part}: {record['message']}"

    return logger.patch(add_prefix)  # type: ignore[arg-type]
