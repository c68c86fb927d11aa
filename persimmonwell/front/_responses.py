"""Construction of HTTP responses, error documents and server-sent events."""

import json
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import msgspec

from persimmonwell._exceptions import OverloadedError, PersimmonwellError
from persimmonwell.core._types import Outcome

OUTCOME_HEADER = "Persimmonwell-Outcome"
REQUEST_ID_HEADER = "Persimmonwell-Request-Id"

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@attrs.frozen
class HttpResponse:
    """HTTP response; the body may be generated while it is sent."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: Iterable[bytes]

    @property
    def status_line(self) -> str:
        """Return the status code and its reason phrase."""
        return f"{self.status} {REASON_PHRASES.get(self.status, 'Status')}"


def json_response(
    document: Any, *, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
) -> HttpResponse:
    """Return a response with a JSON body."""
    body = json.dumps(document, separators=(",", ":")).encode()
    content_headers = (
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    )
    return HttpResponse(status, (*content_headers, *headers), (body,))


def error_document(error: PersimmonwellError, outcome: Outcome) -> dict[str, Any]:
    """Return the JSON document that describes an error."""
    document: dict[str, Any] = {
        "code": error.code,
        "message": error.message(),
        "outcome": outcome.value,
    }
    faults = getattr(error, "faults", None)
    if faults:
        document["faults"] = [attrs.asdict(fault) for fault in faults]
    current = getattr(error, "current_version", None)
    if current is not None:
        document["current_version"] = current
    return {"error": document}


def error_response(
    error: PersimmonwellError, outcome: Outcome, request_id: str = ""
) -> HttpResponse:
    """Return the response that reports an error and the request's outcome."""
    headers = [(OUTCOME_HEADER, outcome.value)]
    if request_id:
        headers.append((REQUEST_ID_HEADER, request_id))
    if isinstance(error, OverloadedError):
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    return json_response(
        error_document(error, outcome), status=error.status, headers=tuple(headers)
    )


def sse_event(document: Any) -> bytes:
    """Return a JSON document encoded as one server-sent event."""
    return b"data: " + msgspec.json.encode(document) + b"\n\n"


SSE_DONE = b"data: [DONE]\n\n"
_TEXT_PLACEHOLDER = "\x00"


def token_encoder(*, request_id: str, model: str, chat: bool) -> Callable[[str], bytes]:
    """Return a function that encodes the event of one token.

    Only the text differs between the tokens of an answer, so the rest of the event
    is encoded once per answer.
    """
    chunk = completion_chunk(
        request_id=request_id,
        model=model,
        chat=chat,
        text=_TEXT_PLACEHOLDER,
        finish_reason=None,
    )
    encode = msgspec.json.encode
    head, _, tail = sse_event(chunk).partition(encode(_TEXT_PLACEHOLDER))

    def encode_token(text: str) -> bytes:
        return head + encode(text) + tail

    return encode_token


def completion_chunk(
    *, request_id: str, model: str, chat: bool, text: str, finish_reason: str | None
) -> dict[str, Any]:
    """Return one chunk of a streamed completion."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if chat:
        choice["delta"] = {"content": text} if text else {}
    else:
        choice["text"] = text
    kind = "chat.completion.chunk" if chat else "text_completion"
    return {"id": request_id, "object": kind, "model": model, "choices": [choice]}


def completion_document(
    *,
    request_id: str,
    model: str,
    chat: bool,
    text: str,
    finish_reason: str,
    prompt_tokens: int,
    completion_tokens: int,
) -> dict[str, Any]:
    """Return the document of a complete answer."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": request_id,
        "object": "chat.completion" if chat else "text_completion",
        "model": model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        },
    }
