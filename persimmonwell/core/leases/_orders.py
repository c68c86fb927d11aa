"""Orders to engines, and the order book that paces loads from the weight store."""

import hashlib
import json
from collections import deque
from enum import StrEnum

import attrs

from persimmonwell.core._documents import JsonObject, JsonValue

MAX_RECENT_ATTEMPTS = 100


class OrderKind(StrEnum):
    """What an order changes on an engine."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    LOAD_VERSION = "load-version"
    CHANGE_ROLE = "change-role"


class OrderResult(StrEnum):
    """Result of one attempt to carry out an order."""

    APPLIED = "applied"
    STALE_FENCE = "stale-fence"
    UNEXPECTED_STATE = "unexpected-state"
    UNKNOWN = "unknown"
    """The answer was lost, and the state read back does not show the effect."""
    NOT_SENT = "not-sent"
    """The lease had expired or would have expired before the order timed out."""


@attrs.frozen
class Order:
    """Request to one engine to change from an expected state to a target state."""

    order_id: str
    kind: OrderKind
    model: str
    """Model whose demand the order serves."""
    upstream_id: str
    address: str
    expected: JsonObject
    target: JsonObject
    checks_fencing: bool = False

    @property
    def loads_weights(self) -> bool:
        """Return whether the engine reads from the weight store for this order."""
        return self.kind is not OrderKind.CHANGE_ROLE


def order_id_of(
    kind: OrderKind, upstream_id: str, expected: JsonValue, target: JsonValue
) -> str:
    """Return an id that is the same for the same change of the same upstream."""
    text = json.dumps([kind.value, upstream_id, expected, target], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


@attrs.frozen
class OrderAttempt:
    """Attempt to carry out an order, with its result."""

    order: Order
    fence: int
    result: OrderResult
    at_s: float


class OrderBook:
    """Open orders of the lease holder, and its recent attempts."""

    def __init__(self, *, load_interval_s: float, retry_delay_s: float = 1.0) -> None:
        self._load_interval_s = load_interval_s
        self._retry_delay_s = retry_delay_s
        self._open_orders: dict[str, Order] = {}
        self._not_before_s: dict[str, float] = {}
        self._next_load_s = float("-inf")
        self._uncertain_order_ids: set[str] = set()
        self._recent_attempts: deque[OrderAttempt] = deque(maxlen=MAX_RECENT_ATTEMPTS)

    @property
    def open_orders(self) -> tuple[Order, ...]:
        """Return the orders without a final result."""
        return tuple(self._open_orders.values())

    @property
    def recent_attempts(self) -> tuple[OrderAttempt, ...]:
        """Return the most recent attempts, oldest first."""
        return tuple(self._recent_attempts)

    @property
    def busy_upstreams(self) -> frozenset[str]:
        """Return the upstreams with an open order whose effect is unknown."""
        return frozenset(
            self._open_orders[i].upstream_id for i in self._uncertain_order_ids
        )

    def clear(self) -> None:
        """Drop all open orders, for example after the loss of the lease."""
        self._open_orders.clear()
        self._uncertain_order_ids.clear()
        self._not_before_s.clear()

    def replace_open_orders(self, orders: tuple[Order, ...]) -> None:
        """Replace the open orders by those of a new plan.

        An order whose effect is unknown stays open until its result is known.
        """
        uncertain_orders = {
            i: o for i, o in self._open_orders.items() if i in self._uncertain_order_ids
        }
        self._open_orders = {
            **uncertain_orders,
            **{order.order_id: order for order in orders},
        }
        self._not_before_s = {
            i: at_s for i, at_s in self._not_before_s.items() if i in self._open_orders
        }

    def next_order(self, now_s: float) -> Order | None:
        """Return an order that may be sent now, or None.

        Loads of weights are spaced by the load interval, so that many engines do not
        read from the weight store at once.
        """
        for order in self._open_orders.values():
            if now_s < self._not_before_s.get(order.order_id, now_s):
                continue
            if order.loads_weights and now_s < self._next_load_s:
                continue
            return order
        return None

    def record_result(
        self, order: Order, fence: int, result: OrderResult, now_s: float
    ) -> None:
        """Record the result of one attempt.

        An order that was not sent or whose effect is unknown stays open for a retry.
        """
        self._recent_attempts.append(OrderAttempt(order, fence, result, now_s))
        # An attempt of unknown effect may have started a load, so it counts as one.
        started = result in (OrderResult.APPLIED, OrderResult.UNKNOWN)
        if started and order.loads_weights:
            self._next_load_s = now_s + self._load_interval_s
        if result in (OrderResult.UNKNOWN, OrderResult.NOT_SENT):
            self._not_before_s[order.order_id] = now_s + self._retry_delay_s
        else:
            self._open_orders.pop(order.order_id, None)
        if result is OrderResult.UNKNOWN and order.order_id in self._open_orders:
            self._uncertain_order_ids.add(order.order_id)
        elif result is not OrderResult.NOT_SENT:
            self._uncertain_order_ids.discard(order.order_id)
