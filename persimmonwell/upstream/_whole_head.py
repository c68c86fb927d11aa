"""Connection pool that rejects answers which end within their head, or are none."""

import http.client
from typing import Any, BinaryIO

import urllib3
from urllib3.connection import HTTPConnection

END_OF_HEAD = (b"\r\n", b"\n")
FINAL_STATUSES = range(200, 600)
SWITCHING_PROTOCOLS = 101
MAX_INTERIM_HEADS = 16
"""Interim heads that are skipped before an answer."""


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
    """Answer whose head has ended with an empty line and has a status that exists.

    http.client takes the end of a connection for the end of the head, and then an
    answer without a length is complete with no body. It skips the interim status 100
    alone, so that the answer after another one is left to the next request.
    """

    def begin(self) -> None:
        """Read the head of the answer, after any interim ones.

        Raises http.client.IncompleteRead if the connection ends within a head, and
        http.client.BadStatusLine for a status that no answer has.
        """
        for _ in range(1 + MAX_INTERIM_HEADS):
            self._read_head()
            if (
                self.status >= FINAL_STATUSES.start
                or self.status == SWITCHING_PROTOCOLS
            ):
                break
            # http.client reads a head only where there is none yet.
            self.headers = self.msg = None  # type: ignore[assignment]
        if self.status not in FINAL_STATUSES:
            raise http.client.BadStatusLine(str(self.status))

    def _read_head(self) -> None:
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
