"""Route type and request parsing shared by the routes of the operators' port."""

import json
from collections.abc import Callable
from typing import Any

import attrs

from persimmonwell._exceptions import BadRequestError
from persimmonwell.front import HttpRequest, HttpResponse

Handler = Callable[[HttpRequest], HttpResponse]


@attrs.frozen
class Route:
    """Handler of one HTTP method and path."""

    method: str
    path: str
    """Exact path, or a prefix if it ends with a slash."""
    handler: Handler

    def matches(self, http: HttpRequest) -> bool:
        """Return whether the route handles this request."""
        if http.method != self.method:
            return False
        is_below = self.path.endswith("/") and http.path.startswith(self.path)
        return is_below or http.path == self.path


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Parse a JSON object; raise BadRequestError for anything else."""
    try:
        document = json.loads(body)
        # Python parses Infinity and lone surrogates, which are not valid JSON. The
        # log would store Infinity as null, which deletes a field.
        json.dumps(document, allow_nan=False, ensure_ascii=False).encode()
    except (ValueError, RecursionError) as error:
        raise BadRequestError("body", "must be JSON") from error
    if not isinstance(document, dict):
        raise BadRequestError("body", "must be a JSON object")
    return document
