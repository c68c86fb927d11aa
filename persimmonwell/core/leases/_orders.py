"""Define orders to engines and pace them to the weight store."""

import hashlib
import json
from collections import deque
from enum import StrEnum

import attrs

from persimmonwell.core._documents import JsonObject, JsonValue

KEPT_ORDERS = 100


class OrderKind(StrEnum):
    """Name what an order changes."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    LOAD_VERSION = "load-version"
    CHANGE_ROLE = "change-role"


class OrderResult(StrEnum):
    """State what is known of an order that was tried."""

    APPLIED = "applied"
    STALE_FENCE = "stale-fence"
    UNEXPECTED_STATE = "unexpected-state"
    UNKNOWN = "unknown"
    """The answer was lost and the state read back does not show the effect."""
    NOT_SENT = "not-sent"
    """The lease did not outlast the order when it was about to be sent."""


@attrs.frozen
class Order:
    """Ask one engine to go from an expected state to a target state."""

    order_id: str
    kind: OrderKind
    model: str
    """Model that the order is for."""
    upstream_id: str
    address: str
    expected: JsonObject
    target: JsonObject
    checks_fencing: bool = False

    @property
    def loads_weights(self) -> bool:
        """Return whether the engine reads from the weight store for it."""
        return self.kind is not OrderKind.CHANGE_ROLE


def order_id_of(
    kind: OrderKind, upstream_id: str, expected: JsonValue, target: JsonValue
) -> str:
    """Return the same id for the same change of the same upstream."""
    text = json.dumps([kind.value, upstream_id, expected, target], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=12).hexdigest()


@attrs.frozen
class SettledOrder:
    """Hold an order with its last result."""

    order: Order
    fence: int
    result: OrderResult
    at_s: float


class OrderBook:
    """Hold the open orders of one lease holder and the recent results."""

    def __init__(self, *, load_interval_s: float, retry_s: float = 1.0) -> None:
        self._load_interval_s = load_interval_s
        self._retry_s = retry_s
        self._open: dict[str, Order] = {}
        self._not_before_s: dict[str, float] = {}
        self._next_load_s = float("-inf")
        self._uncertain: set[str] = set()
        self._recent: deque[SettledOrder] = deque(maxlen=KEPT_ORDERS)

    @property
    def open(self) -> tuple[Order, ...]:
        """Return the orders that are not settled."""
        return tuple(self._open.values())

    @property
    def recent(self) -> tuple[SettledOrder, ...]:
        """Return the last results, oldest first."""
        return tuple(self._recent)

    @property
    def busy(self) -> frozenset[str]:
        """Return the upstreams that have an order of unknown effect."""
        return frozenset(self._open[i].upstream_id for i in self._uncertain)

    def clear(self) -> None:
        """Forget all open orders, as after the loss of the lease."""
        self._open.clear()
        self._uncertain.clear()
        self._not_before_s.clear()

    def replace(self, orders: tuple[Order, ...]) -> None:
        """Replace the open orders by those of a new plan.

        An order of unknown effect stays until its result is known.
        """
        kept = {i: o for i, o in self._open.items() if i in self._uncertain}
        self._open = {**kept, **{order.order_id: order for order in orders}}
        self._not_before_s = {
            i: at_s for i, at_s in self._not_before_s.items() if i in self._open
        }

    def next(self, now_s: float) -> Order | None:
        """Return an order to send now; loads are spaced by the load interval."""
        for order in self._open.values():
            if now_s < self._not_before_s.get(order.order_id, now_s):
                continue
            if order.loads_weights and now_s < self._next_load_s:
                continue
            return order
        return None

    def settle(
        self, order: Order, fence: int, result: OrderResult, now_s: float
    ) -> None:
        """Record the result of one try; a try without an effect is repeated."""
        self._recent.append(SettledOrder(order, fence, result, now_s))
        # A try of unknown effect may have started a load, so it counts as one.
        started = result in (OrderResult.APPLIED, OrderResult.UNKNOWN)
        if started and order.loads_weights:
            self._next_load_s = now_s + self._load_interval_s
        if result in (OrderResult.UNKNOWN, OrderResult.NOT_SENT):
            self._not_before_s[order.order_id] = now_s + self._retry_s
        else:
            self._open.pop(order.order_id, None)
        if result is OrderResult.UNKNOWN and order.order_id in self._open:
            self._uncertain.add(order.order_id)
        elif result is not OrderResult.NOT_SENT:
            self._uncertain.discard(order.order_id)
