"""Parsing and validation of callers' requests."""

import hashlib
import hmac
import json
import re
import uuid
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from persimmonwell._exceptions import (
    BadRequestError,
    BodyTooLargeError,
    NotFoundError,
    UnauthorizedError,
)
from persimmonwell.core._types import ModelRequest, Rank, ServiceCall
from persimmonwell.core.config import FleetConfig

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 65_536
DEFAULT_DEADLINE_MS = 120_000.0
MAX_DEADLINE_MS = 24 * 3600 * 1000.0
PREFIX_BLOCK_CHARS = 64
MAX_PREFIX_BLOCKS = 64
CHARS_PER_TOKEN = 4
MAX_IDEMPOTENCY_KEY_CHARS = 200
MAX_LENGTH_DIGITS = 18
"""Digits of a Content-Length; any limit has fewer."""
FORWARDED_PARAMETERS = ("temperature", "top_p", "stop", "seed", "presence_penalty")

_VISIBLE_ASCII = re.compile(r"^[\x21-\x7e]+$")
_SERVICE_PATH = re.compile(r"^/services/([A-Za-z0-9._-]{1,64})(/.*)?$")


@attrs.frozen
class HttpRequest:
    """HTTP request as the server received it."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    """Header values by lower-case header name."""
    body: bytes
    is_caller_connected: Callable[[], bool] = lambda: True
    """Whether the caller has not closed its side of the connection."""


@attrs.frozen
class ParsedModelRequest:
    """Validated model request."""

    request: ModelRequest
    prompt: str
    stream: bool
    chat: bool
    deadline_ms: float
    parameters: dict[str, Any]


@attrs.frozen
class ParsedServiceCall:
    """Validated call of a service."""

    call: ServiceCall
    method: str
    path: str
    """Path and query string to send to the replica."""
    body: bytes
    first_attempt: bool
    """Whether the caller marks this as its first attempt with the idempotency key."""
    timeout_s: float


ParsedRequest = ParsedModelRequest | ParsedServiceCall


def read_body(
    read: Callable[[int], bytes], content_length: str, *, limit_bytes: int
) -> bytes:
    """Return the request body.

    Raise BadRequestError on an invalid length or a truncated body, and
    BodyTooLargeError above the limit.
    """
    if not content_length:
        return b""
    if not (content_length.isascii() and content_length.isdigit()):
        raise BadRequestError("Content-Length", "must be a whole number")
    # More digits than any limit has; Python does not convert thousands of them.
    length = int(content_length[:MAX_LENGTH_DIGITS])
    if length > limit_bytes or len(content_length) > MAX_LENGTH_DIGITS:
        raise BodyTooLargeError(limit_bytes)
    body = read(length)
    if len(body) != length:
        raise BadRequestError("body", "is shorter than Content-Length")
    return body


def parse_request(
    http: HttpRequest, config: FleetConfig, now_s: float
) -> ParsedRequest:
    """Return the request validated against the configuration.

    Raise a PersimmonwellError that names the invalid field.
    """
    if http.path in ("/v1/chat/completions", "/v1/completions"):
        if http.method != "POST":
            raise BadRequestError("method", f"{http.path} accepts only POST")
        return _parse_model_request(http, config, now_s)
    match = _SERVICE_PATH.match(http.path)
    if match is None:
        raise NotFoundError("route", http.path[:200])
    return _parse_service_call(
        http,
        config,
        service=match.group(1),
        replica_path=match.group(2) or "/",
        now_s=now_s,
    )


def _parse_model_request(
    http: HttpRequest, config: FleetConfig, now_s: float
) -> ParsedModelRequest:
    workspace = _authenticate_workspace(http, config)
    document = _parse_json_object(http.body)
    model = document.get("model")
    if not isinstance(model, str) or not model:
        raise BadRequestError("model", "must be a non-empty string")
    if model not in config.models:
        raise NotFoundError("model", model[:200])
    chat = http.path.endswith("/chat/completions")
    prompt = _chat_prompt(document) if chat else _completion_prompt(document)
    max_tokens = document.get("max_tokens", DEFAULT_MAX_TOKENS)
    if isinstance(max_tokens, bool) or not isinstance(max_tokens, int):
        raise BadRequestError("max_tokens", "must be an integer")
    if not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        raise BadRequestError("max_tokens", f"must be 1 to {MAX_TOKENS_LIMIT}")
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        raise BadRequestError("stream", "must be true or false")
    deadline_ms = _parse_deadline_ms(http)
    request = ModelRequest(
        request_id=uuid.uuid4().hex,
        workspace=workspace,
        rank=_parse_rank(http),
        model=model,
        digest=request_digest(workspace, model, prompt, str(max_tokens)),
        prompt_tokens=max(1, len(prompt) // CHARS_PER_TOKEN),
        max_tokens=max_tokens,
        deadline_s=now_s + deadline_ms / 1000,
        prefix_blocks=hash_prefix_blocks(model, prompt),
    )
    return ParsedModelRequest(
        request=request,
        prompt=prompt,
        stream=stream,
        chat=chat,
        deadline_ms=deadline_ms,
        parameters={k: document[k] for k in FORWARDED_PARAMETERS if k in document},
    )


def _parse_service_call(
    http: HttpRequest,
    config: FleetConfig,
    *,
    service: str,
    replica_path: str,
    now_s: float,
) -> ParsedServiceCall:
    workspace = _authenticate_workspace(http, config)
    if service not in config.services:
        raise NotFoundError("service", service)
    settings = config.services[service]
    key = http.headers.get("idempotency-key")
    if key is not None and (
        len(key) > MAX_IDEMPOTENCY_KEY_CHARS or not _VISIBLE_ASCII.match(key)
    ):
        reason = f"must be 1 to {MAX_IDEMPOTENCY_KEY_CHARS} visible ASCII characters"
        raise BadRequestError("Idempotency-Key", reason)
    path = replica_path + (f"?{http.query}" if http.query else "")
    if not _VISIBLE_ASCII.match(path):
        raise BadRequestError("path", "must be visible ASCII")
    deadline_ms = _parse_deadline_ms(http)
    call = ServiceCall(
        request_id=uuid.uuid4().hex,
        workspace=workspace,
        rank=_parse_rank(http),
        service=service,
        digest=request_digest(http.method, path, http.body.decode("latin-1")),
        deadline_s=now_s + deadline_ms / 1000,
        repeatable=http.method in settings.repeatable_methods,
        idempotency_key=key,
    )
    return ParsedServiceCall(
        call=call,
        method=http.method,
        path=path,
        body=http.body,
        first_attempt=http.headers.get("idempotency-attempt", "") == "1",
        timeout_s=min(settings.timeout_s, deadline_ms / 1000),
    )


def request_digest(*parts: str) -> str:
    """Return a digest of the parts; moving text between parts changes it."""
    text = json.dumps(parts)
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def hash_prefix_blocks(model: str, prompt: str) -> tuple[int, ...]:
    """Return chained hashes of the full prompt blocks, for prefix-cache lookups."""
    hashes: list[int] = []
    chained = hashlib.blake2b(model.encode(), digest_size=8)
    full = len(prompt) // PREFIX_BLOCK_CHARS
    for number in range(min(full, MAX_PREFIX_BLOCKS)):
        start = number * PREFIX_BLOCK_CHARS
        chained.update(prompt[start : start + PREFIX_BLOCK_CHARS].encode())
        hashes.append(int.from_bytes(chained.digest(), "big"))
    return tuple(hashes)


def _authenticate_workspace(http: HttpRequest, config: FleetConfig) -> str:
    name = http.headers.get("persimmonwell-workspace", "")
    if not name:
        raise BadRequestError("Persimmonwell-Workspace", "is required")
    workspace = config.workspace(name)
    if workspace is None:
        raise NotFoundError("workspace", name[:200])
    if workspace.key is not None:
        expected = f"Bearer {workspace.key}".encode()
        given = http.headers.get("authorization", "").encode()
        if not hmac.compare_digest(expected, given):
            raise UnauthorizedError(f"workspace {name}")
    return name


def _parse_rank(http: HttpRequest) -> Rank:
    text = http.headers.get("persimmonwell-rank", "normal")
    rank = Rank.parse(text)
    if rank is None:
        names = ", ".join(member.name.lower() for member in Rank)
        raise BadRequestError("Persimmonwell-Rank", f"must be one of {names}")
    return rank


def _parse_deadline_ms(http: HttpRequest) -> float:
    text = http.headers.get("persimmonwell-deadline-ms")
    if text is None:
        return DEFAULT_DEADLINE_MS
    if not re.fullmatch(r"[0-9]{1,9}", text):
        reason = "must be a whole number of milliseconds"
        raise BadRequestError("Persimmonwell-Deadline-Ms", reason)
    deadline_ms = float(text)
    if not 0 < deadline_ms <= MAX_DEADLINE_MS:
        reason = f"must be 1 to {MAX_DEADLINE_MS:.0f}"
        raise BadRequestError("Persimmonwell-Deadline-Ms", reason)
    return deadline_ms


def _parse_json_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("body", "must be JSON") from error
    if not isinstance(document, dict):
        raise BadRequestError("body", "must be a JSON object")
    return document


def _completion_prompt(document: dict[str, Any]) -> str:
    prompt = document.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise BadRequestError("prompt", "must be a non-empty string")
    return _check_encodable(prompt, "prompt")


def _chat_prompt(document: dict[str, Any]) -> str:
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise BadRequestError("messages", "must be a non-empty list")
    lines: list[str] = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            raise BadRequestError(f"messages[{index}]", "must be an object")
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            reason = "must have role and content as strings"
            raise BadRequestError(f"messages[{index}]", reason)
        lines.append(f"{role}: {content}")
    return _check_encodable("\n".join(lines), "messages")


def _check_encodable(text: str, field: str) -> str:
    # JSON strings may contain unpaired surrogates, which UTF-8 cannot encode.
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise BadRequestError(field, "contains an unpaired surrogate") from error
    return text
