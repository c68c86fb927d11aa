"""Send calls to plain services."""

import attrs
import urllib3

from persimmonwell.core.router import FailureKind

MAX_ANSWER_BYTES = 16 * 1024 * 1024
READ_CHUNK_BYTES = 256 * 1024
FORWARDED_HEADERS = frozenset(
    {"content-type", "location", "etag", "cache-control", "retry-after"}
)


@attrs.frozen
class ServiceAnswer:
    """Hold the answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@attrs.frozen
class ServiceCallError(Exception):
    """Report a service call without a whole answer."""

    failure: FailureKind
    reason: str


class ServiceClient:
    """Hold the connections to all plain services."""

    def __init__(self, *, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=64, retries=False)

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
        """Send one call and return its answer; raise ServiceCallError without."""
        timeout = urllib3.Timeout(connect=self._connect_timeout_s, read=timeout_s)
        # A kept-alive connection may be closed by the server just as the call is
        # sent, and then nobody knows whether it ran. A new connection for each
        # call keeps a refused connection distinguishable from a lost answer.
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
    """Read up to the end or just past the size limit.

    urllib3 notices a missing end of the body only on the read that follows the
    last data, so a single sized read would accept a truncated answer.
    """
    data = b""
    while len(data) <= MAX_ANSWER_BYTES:
        chunk = response.read(READ_CHUNK_BYTES, decode_content=False)
        if not chunk:
            break
        data += chunk
    return data
