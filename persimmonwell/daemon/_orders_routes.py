"""Show operators the leases and the orders sent under them."""

import attrs

from persimmonwell.daemon._operator_routes import Route
from persimmonwell.daemon._orders_part import OrdersPart
from persimmonwell.front import HttpRequest, HttpResponse, json_response


def orders_routes(*, host_id: str, orders: OrdersPart) -> tuple[Route, ...]:
    """Return the routes of leases and of this host's orders.

    A host has orders while it holds a lease.
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
                "recent": [attrs.asdict(settled) for settled in book.recent_attempts],
            }
        )

    return (
        Route("GET", "/leases", show_leases),
        Route("GET", "/orders", show_orders),
    )
