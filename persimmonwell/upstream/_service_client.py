"""Client for calls of services, which are upstreams other than model engines."""

import attrs
import urllib3

from persimmonwell.core.router import FailureKind
from persimmonwell.upstream._whole_head import create_pool_manager

MAX_ANSWER_BYTES = 16 * 1024 * 1024
READ_CHUNK_BYTES = 256 * 1024
FORWARDED_HEADERS = frozenset(
    {"content-type", "location", "etag", "cache-control", "retry-after"}
)


@attrs.frozen
class ServiceAnswer:
    """Answer of a service replica."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class ServiceCallError(Exception):
    """Raised for a service call without a complete answer."""

    failure: FailureKind
    reason: str


class ServiceClient:
    """HTTP client for all service replicas."""

    def __init__(self, *, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pool = create_pool_manager(num_pools=256, maxsize=64)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def call(
        self,
        *,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_s: float,
    ) -> ServiceAnswer:
        """Send one call and return its answer.

        Raise ServiceCallError without a complete answer.
        """
        timeout = urllib3.Timeout(connect=self._connect_timeout_s, read=timeout_s)
        # A server may close a reused connection just as the call is sent, which
        # leaves it unknown whether the call ran. With a new connection per call, a
        # refused connection is distinguishable from a lost answer.
        sent_headers = {**headers, "Connection": "close"}
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=body or None,
                headers=sent_headers,
                timeout=timeout,
                redirect=False,
                preload_content=False,
            )
            data = _read_body(response)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            kind = FailureKind.NOT_SENT
            raise ServiceCallError(kind, type(error).__name__) from error
        except urllib3.exceptions.ReadTimeoutError as error:
            raise ServiceCallError(FailureKind.TIMEOUT, "no answer in time") from error
        except (urllib3.exceptions.HTTPError, OSError) as error:
            kind = FailureKind.LOST
            raise ServiceCallError(kind, type(error).__name__) from error
        if len(data) > MAX_ANSWER_BYTES:
            raise ServiceCallError(FailureKind.INVALID_ANSWER, "answer too large")
        forwarded_headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() in FORWARDED_HEADERS
        )
        return ServiceAnswer(response.status, forwarded_headers, data)


def _read_body(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body, read to its end or until it exceeds the size limit.

    urllib3 detects a truncated body only on the read after the last data, so a
    single sized read would accept a truncated answer.
    """
    data = b""
    while len(data) <= MAX_ANSWER_BYTES:
        chunk = response.read(READ_CHUNK_BYTES, decode_content=False)
        if not chunk:
            break
        data += chunk
    return data
