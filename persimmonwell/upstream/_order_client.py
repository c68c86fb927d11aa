"""Client that sends orders to engines and reads back their state."""

import json
from collections.abc import Callable

import attrs
import urllib3

from persimmonwell.core._documents import JsonObject, JsonValue
from persimmonwell.core.leases import Order, OrderResult

READ_TIMEOUT_S = 1.0
STALE_FENCE_STATUS = 409
UNEXPECTED_STATE_STATUS = 412


@attrs.frozen
class OrderAnswer:
    """Result of one attempt to send an order."""

    result: OrderResult
    state: JsonObject | None
    """State that the engine reported, or None if it is unknown."""


class OrderClient:
    """HTTP client for orders to engines."""

    def __init__(self, *, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pool = urllib3.PoolManager(num_pools=64, maxsize=2, retries=False)

    def close(self) -> None:
        """Close all connections."""
        self._pool.clear()

    def send(
        self,
        order: Order,
        fence: int,
        *,
        timeout_s: float,
        may_send: Callable[[], bool],
    ) -> OrderAnswer:
        """Send an order with a fencing token and return its result.

        Nothing is sent when may_send returns False. Without a conclusive answer the
        engine's state is read back to find out whether the order was applied.
        """
        body = json.dumps(
            {
                "order_id": order.order_id,
                "kind": order.kind.value,
                "fence": fence,
                "expected": order.expected,
                "state": order.target,
            }
        ).encode()
        connect_s = min(self._connect_timeout_s, timeout_s)
        timeout = urllib3.Timeout(connect=connect_s, total=timeout_s)
        # Checked last, since the process may have been paused for any time before.
        if not may_send():
            return OrderAnswer(OrderResult.NOT_SENT, None)
        try:
            response = self._pool.request(
                "POST",
                f"http://{order.address}/v1/orders",
                body=body,
                headers={"Content-Type": "application/json", "Connection": "close"},
                timeout=timeout,
            )
            status, state = response.status, _parse_state(json.loads(response.data))
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return self._read_back(order)
        if status == STALE_FENCE_STATUS:
            return OrderAnswer(OrderResult.STALE_FENCE, state)
        if status == UNEXPECTED_STATE_STATUS:
            return OrderAnswer(OrderResult.UNEXPECTED_STATE, state)
        if status == 200 and state is not None and _matches_target(state, order.target):
            return OrderAnswer(OrderResult.APPLIED, state)
        return self._read_back(order)

    def fetch_state(self, address: str) -> JsonObject | None:
        """Return the state that an engine reports, or None without a valid answer."""
        try:
            response = self._pool.request(
                "GET", f"http://{address}/v1/state", timeout=READ_TIMEOUT_S
            )
            document = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, OSError, ValueError):
            return None
        return document if isinstance(document, dict) else None

    def _read_back(self, order: Order) -> OrderAnswer:
        state = self.fetch_state(order.address)
        if state is not None and _matches_target(state, order.target):
            return OrderAnswer(OrderResult.APPLIED, state)
        return OrderAnswer(OrderResult.UNKNOWN, state)


def _parse_state(document: JsonValue) -> JsonObject | None:
    state = document.get("state") if isinstance(document, dict) else None
    return state if isinstance(state, dict) else None


def _matches_target(state: JsonObject, target: JsonObject) -> bool:
    return all(state.get(name) == value for name, value in target.items())
