"""Codec of the headers and bodies exchanged with callers and replicas."""

import json
import math
import re
from collections.abc import Iterable, Mapping, Sequence
from hashlib import blake2b
from http import HTTPStatus
from typing import Any

import attrs

from persimmonwell._exceptions import BadRequestError
from persimmonwell.core.forwarding import (
    CallerRequest,
    GenerationSize,
    PipelinePath,
    ReplicaReport,
    ReplicaStatement,
    RerouteFailure,
    UpstreamAnswer,
)
from persimmonwell.platform._header_text import (
    decode_header_text,
    encode_header_text,
)
from persimmonwell.platform._numbers import (
    MAX_NUMBER,
    MAX_REASON_CHARACTERS,
    parse_count,
    parse_decimal,
)

Headers = Sequence[tuple[bytes, bytes]]

REPORT_PATH = "/persimmonwell/report"
ORDER_PATH = "/persimmonwell/order"
MAX_SLOWNESS = 1000.0
"""Upper bound of a replica's slowness; reports may state any number."""

_REQUEST_ID = b"request-id"
_DEADLINE_REMAINING = b"deadline-remaining"
_API_KEY = b"api-key"
_LAST_EVENT_ID = b"last-event-id"
_TOKEN_COUNT = b"token-count"
_LENGTH_HINT = b"length-hint"
_PROMPT_PREFIX = b"prompt-prefix"
_PART_ID = re.compile("[0-9A-Za-z]{1,64}")
_UNIQUE_HEADERS = (
    *(_REQUEST_ID, b"response-seal", b"not-executed", b"content-length"),
    b"transfer-encoding",
)
"""Headers that occur at most once in an answer."""
_HOP_BY_HOP = frozenset(
    {
        *(b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate"),
        *(b"proxy-authorization", b"te", b"trailer", b"transfer-encoding", b"upgrade"),
        b"content-length",
    }
)
_NOT_FORWARDED = _HOP_BY_HOP | {b"retry-after"}
"""Headers of answers that callers do not get. The time to come back to a replica is not
that to come back to the host."""
_HANDLED_BY_HOST = frozenset(
    {
        *(
            _DEADLINE_REMAINING,
            _API_KEY,
            _LAST_EVENT_ID,
            b"tenant",
            b"expect-instance",
            b"hop-count",
        ),
        b"expect",
    }
)
"""Request headers that the host consumes, or sets itself."""
_NOT_SENT = _HOP_BY_HOP | _HANDLED_BY_HOST
_MALFORMED = (
    *(ValueError, LookupError, TypeError, AttributeError),
    *(RecursionError, OverflowError),
)
"""Errors that a malformed document raises while its fields are read."""


def decode_request(
    method: str,
    target: str,
    headers: Headers,
    *,
    host: str,
    body: bytes | bytearray | memoryview,
) -> CallerRequest:
    """Return the parts of a caller's request that the router needs.

    Raises BadRequestError that names the first header whose number is invalid.
    """
    values = {name: value.decode("latin-1") for name, value in headers}
    shared_parts = _parse_shared_parts(values.get(_PROMPT_PREFIX))
    key = dict(headers).get(_API_KEY)
    api_key = decode_header_text(key) if key is not None else None
    return CallerRequest(
        request_id=values.get(_REQUEST_ID, ""),
        host=host,
        path=target,
        method=method,
        api_key=api_key,
        timeout_s=_parse_timeout_s(values.get(_DEADLINE_REMAINING)),
        last_event_id=_parse_last_event_id(values.get(_LAST_EVENT_ID)),
        digest=_digest((method, host, target, api_key or "", *shared_parts), body),
        size=_parse_generation_size(values.get(_TOKEN_COUNT), values.get(_LENGTH_HINT)),
        shared_parts=shared_parts,
    )


def decode_request_id(headers: Headers) -> str:
    """Return the id that a caller gave its request, empty if it gave none."""
    return dict(headers).get(_REQUEST_ID, b"").decode("latin-1")


def _digest(names: Iterable[str], body: bytes | bytearray | memoryview) -> str:
    digest = blake2b("\0".join(names).encode(), digest_size=8)
    digest.update(b"\0\0")
    digest.update(body)
    return digest.hexdigest()


def _parse_timeout_s(milliseconds: str | None) -> float | None:
    if not milliseconds:
        return None
    timeout_ms = parse_decimal(milliseconds)
    if timeout_ms is None:
        raise _header_error(_DEADLINE_REMAINING, milliseconds)
    return timeout_ms / 1000


def _parse_generation_size(
    tokens: str | None, hint: str | None
) -> GenerationSize | None:
    expected = parse_decimal(hint) if hint else None
    if hint and expected is None:
        raise _header_error(_LENGTH_HINT, hint)
    if not tokens:
        return None
    prompt, _, output = (parse_count(part) for part in tokens.partition(","))
    if prompt is None or output is None:
        raise _header_error(_TOKEN_COUNT, tokens)
    return GenerationSize(prompt, output, None if expected is None else int(expected))


def _parse_last_event_id(event_id: str | None) -> int | None:
    if not event_id:
        return None
    number = parse_count(event_id)
    if number is None:
        raise _header_error(_LAST_EVENT_ID, event_id)
    return number


def _header_error(name: bytes, value: str) -> BadRequestError:
    reason = f"{value[:MAX_REASON_CHARACTERS]!a} is no number in range"
    return BadRequestError(field=name.decode(), reason=reason)


def _parse_shared_parts(prefix: str | None) -> tuple[str, ...]:
    """Return the ids of all parts but the last, which belongs to the request alone."""
    if not prefix:
        return ()
    ids = (entry.partition(":")[0].strip() for entry in prefix.split(",")[:-1])
    return tuple(dict.fromkeys(filter(_PART_ID.fullmatch, ids)))


def encode_request_head(
    method: str,
    target: str,
    headers: Headers,
    *,
    body_bytes: int | None,
    deadline_ms: int,
    replica_id: str,
    tenant: str | None,
    last_event_id: int | None,
    path: PipelinePath | None,
) -> bytes:
    """Return the request line and headers that are sent to a replica.

    Hop-by-hop headers and those that the host handles itself are not forwarded. Raises
    ValueError for a tenant whose name a header cannot carry.
    """
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in headers if name not in _NOT_SENT]
    lines.append(b"deadline-remaining: %d" % max(1, deadline_ms))
    lines.append(b"expect-instance: " + replica_id.encode())
    if tenant is not None:
        lines.append(b"tenant: " + encode_header_text(tenant))
    if last_event_id is not None:
        lines.append(b"last-event-id: %d" % last_event_id)
    if path is not None:
        lines.append(b"hop-count: " + _encode_path(path).encode())
    if body_bytes is not None:
        lines.append(b"content-length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _encode_path(path: PipelinePath) -> str:
    return ",".join(
        f"{stage.address}={stage.start}-{stage.stop}" for stage in path.stages
    )


@attrs.frozen
class AnswerHead:
    """Parts of the head of a replica's answer that the gateway needs."""

    facts: UpstreamAnswer
    request_id: str | None
    fault_address: str | None
    """Address of the replica that the answering one reports as faulty."""
    keep_alive_s: float | None
    rate_limit_per_s: float | None
    """Requests a second that the replica takes from all hosts together."""
    statement: ReplicaStatement | None
    """What the replica says about itself; None if another replica answered."""
    is_joined: bool = False
    """Whether the bytes of two heads are mixed, so that no field is reliable."""

    @property
    def status(self) -> int:
        """Return the status code."""
        return self.facts.status


@attrs.frozen
class AnswerName:
    """What the head of an answer says about the request that it answers."""

    request_id: str | None
    is_joined: bool
    """Whether the bytes of two heads are mixed, so that no field is reliable."""


def decode_answer_name(headers: Headers) -> AnswerName:
    """Return which request an answer names, without the rest of its head."""
    values = {name.lower(): value for name, value in headers}
    return AnswerName(_decode_id(values), _is_joined(headers, values))


def decode_answer_head(status: int, headers: Headers) -> AnswerHead:
    """Return the parts of an answer's head that the gateway needs."""
    values = {name.lower(): value for name, value in headers}
    fault = values.get(b"at-server")
    return AnswerHead(
        facts=UpstreamAnswer(
            status=status,
            has_seal=b"response-seal" in values,
            not_run=b"not-executed" in values or status == 421,
            is_wrong_replica=status == 421,
        ),
        request_id=_decode_id(values),
        fault_address=fault.decode("latin-1") if fault else None,
        keep_alive_s=_parse_keep_alive_s(values.get(b"keep-alive")),
        rate_limit_per_s=_parse_non_negative(values.get(b"server-limit")),
        statement=_parse_statement(status, values),
        is_joined=_is_joined(headers, values),
    )


def _decode_id(values: Mapping[bytes, bytes]) -> str | None:
    request_id = values.get(_REQUEST_ID)
    return request_id.decode("latin-1") if request_id else None


def _is_joined(headers: Headers, values: Mapping[bytes, bytes]) -> bool:
    """Return whether a head has the fields of two answers."""
    if len(values) == len(headers):
        return False  # No name occurs twice.
    names = [name.lower() for name, _ in headers]
    return any(names.count(name) > 1 for name in _UNIQUE_HEADERS)


def _parse_statement(
    status: int, values: Mapping[bytes, bytes]
) -> ReplicaStatement | None:
    if status == 421:
        return None
    hold_off_s = None
    if status == 503:
        hold_off_s = _parse_non_negative(values.get(b"retry-after"))
    is_leaving = values.get(b"server-leaving", b"").strip() == b"1"
    return ReplicaStatement(is_leaving, hold_off_s)


def _parse_non_negative(value: bytes | None) -> float | None:
    try:
        rate = float(value) if value is not None else math.nan
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0.0 else None


def _parse_keep_alive_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    for word in value.split(b","):
        name, _, number = word.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def forwarded_answer_headers(headers: Headers) -> Iterable[tuple[bytes, bytes]]:
    """Yield the headers of a replica's answer that are forwarded to the caller."""
    for name, value in headers:
        if name.lower() not in _NOT_FORWARDED:
            yield name, value


def local_answer_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that the host itself generates."""
    headers = [(b"content-type", b"application/json")]
    if request_id:
        headers.append((_REQUEST_ID, request_id.encode("latin-1", "replace")))
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.2f" % retry_after_s))
    return headers


def expected_replica_headers(replica_id: str) -> tuple[tuple[str, str], ...]:
    """Return the headers with which another replica at the address refuses a call."""
    return (("Expect-Instance", replica_id),)


def encode_placement_order(*, start: int, stop: int, expected_orders: int) -> bytes:
    """Return the body of an order to load a range of layers."""
    # The wire name misleads: "expect" is the count of orders accepted so far.
    order = {"op": "place", "from": start, "to": stop, "strategy": "cancel"}
    return json.dumps({**order, "expect": expected_orders}).encode()


def encode_reroute_order(request_id: str, path: PipelinePath) -> bytes:
    """Return the body of an order to move a running request to another path."""
    order = {"op": "repath", "id": request_id, "path": _encode_path(path)}
    return json.dumps(order).encode()


def decode_reroute_failure(status: int) -> RerouteFailure | None:
    """Return why a path change was not carried out, None if it was.

    The status is 0 if no answer arrived.
    """
    if status == 0:
        return RerouteFailure.NO_ANSWER
    if status == HTTPStatus.NOT_FOUND:
        return RerouteFailure.REQUEST_UNKNOWN
    if 200 <= status < 300:
        return None
    return RerouteFailure.STAGE_UNAVAILABLE


def decode_refusing_stage(body: bytes) -> str | None:
    """Return the address of the stage that refused a path change, None if unknown."""
    try:
        address = json.loads(body)["address"]
    except _MALFORMED:
        return None
    return address if isinstance(address, str) else None


def decode_report(body: bytes) -> ReplicaReport | None:
    """Return a replica's report, None if it is malformed."""
    try:
        document = json.loads(body)
        return ReplicaReport(
            # Here "sequence" counts orders; in the registry it counts heartbeats.
            orders_accepted=_bounded(document["sequence"]),
            kv_used=_bounded(document.get("kv_used") or 0),
            kv_total=_bounded(document.get("kv_total") or 0),
            # Here "pace" is the state of this replica; in the configuration, it is a
            # property of its accelerator.
            slowness=min(MAX_SLOWNESS, max(1.0, float(document.get("pace") or 1.0))),
            is_busy=document.get("busy") is True,
        )
    except _MALFORMED:
        return None


def _bounded(number: Any) -> int:
    return min(MAX_NUMBER, max(0, int(number)))


def decode_stalled_stages(body: bytes) -> dict[str, str]:
    """Return the address of the stalled stage by request id, from a report."""
    try:
        rows = json.loads(body).get("stalled") or []
        return {str(row["id"]): str(row["address"]) for row in rows}
    except _MALFORMED:
        return {}
