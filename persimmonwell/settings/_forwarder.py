"""Settings of a host that forwards requests on the users' platform."""

import attrs


@attrs.frozen
class Endpoint:
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return HOST:PORT."""
        return f"{self.host}:{self.port}"


@attrs.frozen
class CallerProgress:
    """Time and rate at which callers have to send their requests and read answers.

    The defaults are slower than any client that keeps the limits of the configuration
    needs: it sends a head within 3 s, and at least a byte every 15 s.
    """

    min_body_bytes_per_s: float = 64.0
    """Rate of a body below which its connection may be closed for another one."""
    body_window_s: float = 60.0
    """Time over which that rate is measured: four times the idle time-out."""
    unread_answer_s: float = 30.0
    """Time for which a caller may leave an answer unread."""
    upload_wait_s: float = 10.0
    """Time for which an upload waits for room before it is refused."""


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
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    caller_progress: CallerProgress
