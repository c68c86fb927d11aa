"""Settings of one daemon: classes, defaults, parsing and validation."""

from persimmonwell.settings._forwarder import (
    DEREGISTRATION_S,
    Endpoint,
    ForwarderSettings,
)
from persimmonwell.settings._settings import (
    CallerSettings,
    CurveSettings,
    EngineSettings,
    LogSettings,
    OperatorSettings,
    OrderSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TlsSettings,
    load_settings,
    parse_settings,
)

__all__ = [
    "DEREGISTRATION_S",
    "CallerSettings",
    "CurveSettings",
    "Endpoint",
    "EngineSettings",
    "ForwarderSettings",
    "LogSettings",
    "OperatorSettings",
    "OrderSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "TlsSettings",
    "load_settings",
    "parse_settings",
]
