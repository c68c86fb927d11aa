"""Hand-over of the configuration and the registry from one host to another."""

import threading
import time
from collections.abc import Callable

import attrs
import msgspec
import urllib3

from persimmonwell._exceptions import DocumentError
from persimmonwell.core.forwarding import ForwardingConfig, RegistryChanges
from persimmonwell.gateway._peer_messages import Changes, decode_changes, encode_changes
from persimmonwell.platform import decode_config

STATE_PATH = "/state"
FETCH_TIMEOUT_S = 1.0
MAX_STATE_BYTES = 8 * 1024 * 1024
"""Several times a configuration of thousands of routes; a longer answer is dropped."""
MAX_TRANSFER_S = 10.0
"""Time from the head of an answer to its end. The time-out of the socket alone would
let one peer that sends single bytes hold the only fetch without end."""
_READ_BYTES = 65_536


class _State(msgspec.Struct, array_like=True):
    config: bytes
    """Document of the operators as read from the store, empty if none was read."""
    registry: Changes | None


@attrs.frozen
class HandedState:
    """Newest data of the store that a peer knows."""

    config: ForwardingConfig | None
    config_document: bytes
    registry: RegistryChanges | None
    """All entries of the registry; None if the peer has none."""


@attrs.frozen
class HandoverCallbacks:
    """Callbacks of the fetcher, which are called on its threads."""

    on_state: Callable[[str, HandedState], None]
    """Address of the peer and its state."""
    on_failure: Callable[[str, str], None]
    """Address of the peer and the reason."""
    on_received: Callable[[int], None] = lambda count: None
    """Bytes that are held of a peer's answer; 0 after it was handled."""


class StateFetcher:
    """Fetches the state of a peer, one at a time, in a background thread."""

    def __init__(self, *, port: int, callbacks: HandoverCallbacks) -> None:
        self._port = port
        self._callbacks = callbacks
        self._is_fetching = threading.Lock()

    def fetch(self, address: str) -> None:
        """Start fetching from a peer, unless a fetch is under way."""
        if self._is_fetching.acquire(blocking=False):
            threading.Thread(
                target=self._fetch, args=(address,), name="handover", daemon=True
            ).start()

    def _fetch(self, address: str) -> None:
        try:
            state = decode_state(
                _get(
                    f"http://{address}:{self._port}{STATE_PATH}",
                    self._callbacks.on_received,
                )
            )
        except (
            *(urllib3.exceptions.HTTPError, msgspec.MsgspecError),
            *(ValueError, RecursionError),
        ) as error:
            self._callbacks.on_failure(address, str(error) or type(error).__name__)
        except DocumentError as error:
            self._callbacks.on_failure(address, error.message())
        else:
            self._callbacks.on_state(address, state)
        finally:
            self._callbacks.on_received(0)
            self._is_fetching.release()


def encode_state(config_document: bytes, registry: RegistryChanges | None) -> bytes:
    """Return the message with a host's state."""
    return msgspec.msgpack.encode(_State(config_document, encode_changes(registry)))


def decode_state(data: bytes) -> HandedState:
    """Return the state in a message.

    Raises msgspec.MsgspecError for a malformed message, DocumentError for an invalid
    document.
    """
    state = msgspec.msgpack.decode(data, type=_State)
    return HandedState(
        config=decode_config(state.config) if state.config else None,
        config_document=state.config,
        registry=decode_changes(state.registry),
    )


def _get(url: str, on_received: Callable[[int], None]) -> bytes:
    with urllib3.PoolManager(retries=False, timeout=FETCH_TIMEOUT_S) as pool:
        response = pool.request("GET", url, preload_content=False, decode_content=False)
        try:
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            until_s = time.monotonic() + MAX_TRANSFER_S
            data = bytearray()
            while part := response.read1(_READ_BYTES):
                data += part
                on_received(len(data))
                if len(data) > MAX_STATE_BYTES:
                    raise ValueError(f"more than {MAX_STATE_BYTES} bytes")
                if time.monotonic() > until_s:
                    raise ValueError("the answer does not end")
            return bytes(data)
        finally:
            response.release_conn()
