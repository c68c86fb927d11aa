"""Connection pool that rejects answers which end within their head."""

import http.client
from typing import Any, BinaryIO

import urllib3
from urllib3.connection import HTTPConnection

END_OF_HEAD = (b"\r\n", b"\n")


class _RecordingReader:
    """Reader of an answer that records the last line read."""

    def __init__(self, reader: BinaryIO) -> None:
        self.last_line = b""
        self._reader = reader

    def readline(self, limit: int = -1) -> bytes:
        self.last_line = self._reader.readline(limit)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)


class _WholeHeadResponse(http.client.HTTPResponse):
    """Answer whose head has ended with an empty line.

    http.client takes the end of a connection for the end of the head, and then an
    answer without a length is complete with no body.
    """

    def begin(self) -> None:
        """Read the head.

        Raises http.client.IncompleteRead if the connection ends within it.
        """
        reader = self.fp
        recorder: Any = _RecordingReader(reader)
        self.fp = recorder
        super().begin()
        if recorder.last_line not in END_OF_HEAD:
            raise http.client.IncompleteRead(recorder.last_line)
        self.fp = reader


class _Connection(HTTPConnection):
    response_class = _WholeHeadResponse


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def create_pool_manager(*, num_pools: int, maxsize: int) -> urllib3.PoolManager:
    """Return a pool without retries for answers with a whole head."""
    manager = urllib3.PoolManager(num_pools=num_pools, maxsize=maxsize, retries=False)
    manager.pool_classes_by_scheme = {"http": _Pool}
    return manager
