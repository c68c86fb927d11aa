"""Observability: logs, metrics, the decision log and the timeline recorder."""

from persimmonwell.observe._decision_log import DecisionLog
from persimmonwell.observe._logs import (
    RepeatLimiter,
    configure_logs,
    log_suppressed,
    part_logger,
)
from persimmonwell.observe._metrics import (
    GaugeReadings,
    Metrics,
    RenderedMetrics,
    escape_label,
)
from persimmonwell.observe._rate_limited import RateLimitedLog
from persimmonwell.observe._recorder import Recorder
from persimmonwell.observe._token_timer import TokenTimer

__all__ = [
    "DecisionLog",
    "GaugeReadings",
    "Metrics",
    "RateLimitedLog",
    "Recorder",
    "RenderedMetrics",
    "RepeatLimiter",
    "TokenTimer",
    "configure_logs",
    "escape_label",
    "log_suppressed",
    "part_logger",
]
