"""Define what the routes of the operators' port have in common."""

import json
from collections.abc import Callable
from typing import Any

import attrs

from persimmonwell._exceptions import BadRequestError
from persimmonwell.front import HttpRequest, HttpResponse

Handler = Callable[[HttpRequest], HttpResponse]


@attrs.frozen
class Route:
    """Bind a method and a path to a handler."""

    method: str
    path: str
    """Whole path; one that ends with / stands for every path below it."""
    handler: Handler

    def matches(self, http: HttpRequest) -> bool:
        """Return whether the route answers this request."""
        if http.method != self.method:
            return False
        below = self.path.endswith("/") and http.path.startswith(self.path)
        return below or http.path == self.path


def read_object(body: bytes) -> dict[str, Any]:
    """Read a JSON object; raise BadRequestError."""
    try:
        document = json.loads(body)
        # Infinity and lone surrogates are no JSON; the log would store Infinity
        # as null, which deletes a field.
        json.dumps(document, allow_nan=False, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise BadRequestError("body", "must be JSON") from error
    if not isinstance(document, dict):
        raise BadRequestError("body", "must be a JSON object")
    return document
