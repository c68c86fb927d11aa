"""Settings of a host that forwards requests on the users' platform."""

import attrs

from persimmonwell.core.resources import CallerPolicy

DEREGISTRATION_S = 2.2
"""Time in which the platform stops sending new connections: it probes readiness each
second and deregisters a host after two failed probes."""
GRACE_MARGIN_S = 0.4
"""Part of the grace time that is left for closing."""


@attrs.frozen
class Endpoint:
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return HOST:PORT."""
        return f"{self.host}:{self.port}"


@attrs.frozen
class ForwarderSettings:
    """Settings of one forwarding host, read when it starts."""

    host_id: str
    availability_zone: str
    ip: str
    callers: Endpoint
    readiness: Endpoint
    control: Endpoint | None
    peer_port: int
    metrics_port: int
    """Like peer_port, in the range reserved for traffic between hosts."""
    seeds: tuple[Endpoint, ...]
    store: Endpoint
    memory_mb: int
    max_fds: int
    """Descriptors that the process may have open."""
    grace_s: float
    """Time from SIGTERM to SIGKILL."""
    drain_s: float
    """Time for which a replica may get requests after it has registered as draining, or
    was removed."""
    config_apply_s: float
    """Time in which an accepted configuration has to be in force."""
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    caller_policy: CallerPolicy

    @property
    def stop_s(self) -> float:
        """Return the time from SIGTERM at which open requests are ended."""
        return self.grace_s - GRACE_MARGIN_S
