"""Operator routes for leases and for the orders sent under them."""

import attrs

from persimmonwell.daemon._operator_routes import Route
from persimmonwell.daemon._placement_controller import PlacementController
from persimmonwell.front import HttpRequest, HttpResponse, json_response


def orders_routes(*, host_id: str, orders: PlacementController) -> tuple[Route, ...]:
    """Return the routes that list leases and this host's orders.

    Only the holder of the lease has open orders.
    """

    def show_leases(http: HttpRequest) -> HttpResponse:
        leases = [attrs.asdict(lease) for lease in orders.leases()]
        return json_response({"host": host_id, "leases": leases})

    def show_orders(http: HttpRequest) -> HttpResponse:
        book = orders.book
        return json_response(
            {
                "host": host_id,
                "open": [attrs.asdict(order) for order in book.open_orders],
                "recent": [attrs.asdict(attempt) for attempt in book.recent_attempts],
            }
        )

    return (
        Route("GET", "/leases", show_leases),
        Route("GET", "/orders", show_orders),
    )
