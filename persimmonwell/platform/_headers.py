"""Translate the headers and bodies that callers and replicas exchange."""

import json
from collections.abc import Iterable, Sequence
from hashlib import blake2b

import attrs

from persimmonwell.core.forwarding import (
    CallerRequest,
    GenerationSize,
    PipelinePath,
    ReplicaReport,
)

Headers = Sequence[tuple[bytes, bytes]]

REPORT_PATH = "/persimmonwell/report"
ORDER_PATH = "/persimmonwell/order"

_REQUEST_ID = b"request-id"
_DEADLINE = b"deadline-remaining"
_KEY = b"api-key"
_LAST_EVENT = b"last-event-id"
_TOKENS = b"token-count"
_HINT = b"length-hint"
_HOP_BY_HOP = frozenset(
    {
        *(b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate"),
        *(b"proxy-authorization", b"te", b"trailer", b"transfer-encoding", b"upgrade"),
        b"content-length",
    }
)
_SET_BY_HOST = frozenset(
    {
        *(_DEADLINE, _KEY, _LAST_EVENT, b"tenant", b"expect-instance", b"hop-count"),
        b"expect",
    }
)


def decode_request(
    method: str, target: str, headers: Headers, *, host: str, body: bytes
) -> CallerRequest:
    """Return what decisions need of a caller's request."""
    found = {name: value.decode("latin-1") for name, value in headers}
    return CallerRequest(
        request_id=found.get(_REQUEST_ID, ""),
        host=host,
        path=target,
        method=method,
        api_key=found.get(_KEY),
        timeout_s=_seconds(found.get(_DEADLINE)),
        last_event_id=found.get(_LAST_EVENT),
        digest=_digest(method, host, target, found.get(_KEY, ""), body),
        size=_size(found.get(_TOKENS), found.get(_HINT)),
    )


def _digest(method: str, host: str, target: str, key: str, body: bytes) -> str:
    digest = blake2b("\0".join((method, host, target, key)).encode(), digest_size=8)
    digest.update(body)
    return digest.hexdigest()


def _seconds(milliseconds: str | None) -> float | None:
    try:
        return float(milliseconds) / 1000 if milliseconds else None
    except ValueError:
        return None


def _size(tokens: str | None, hint: str | None) -> GenerationSize | None:
    if not tokens:
        return None
    prompt, _, output = tokens.partition(",")
    try:
        expected = int(float(hint)) if hint else None
        return GenerationSize(int(prompt), int(output), expected)
    except ValueError:
        return None


def encode_request_head(
    method: str,
    target: str,
    headers: Headers,
    *,
    body_bytes: int | None,
    deadline_ms: int,
    replica_id: str,
    tenant: str | None,
    last_event_id: str | None,
    path: PipelinePath | None,
) -> bytes:
    """Return the request line and headers that a replica gets."""
    lines = [f"{method} {target} HTTP/1.1".encode("latin-1")]
    lines += [
        name + b": " + value
        for name, value in headers
        if name not in _HOP_BY_HOP and name not in _SET_BY_HOST
    ]
    lines.append(b"deadline-remaining: %d" % max(1, deadline_ms))
    lines.append(b"expect-instance: " + replica_id.encode())
    if tenant is not None:
        lines.append(b"tenant: " + tenant.encode("latin-1", "replace"))
    if last_event_id is not None:
        lines.append(b"last-event-id: " + last_event_id.encode("latin-1", "replace"))
    if path is not None:
        lines.append(b"hop-count: " + _hops(path).encode())
    if body_bytes is not None:
        lines.append(b"content-length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _hops(path: PipelinePath) -> str:
    return ",".join(
        f"{stage.address}={stage.start}-{stage.stop}" for stage in path.stages
    )


@attrs.frozen
class AnswerHead:
    """Hold what decisions need of a replica's answer."""

    status: int
    request_id: str | None
    not_run: bool
    is_wrong_replica: bool
    fault_address: str | None
    """Replica that the answering one holds responsible."""
    has_seal: bool
    keep_alive_s: float | None
    will_close: bool


def decode_answer_head(status: int, headers: Headers) -> AnswerHead:
    """Return the typed head of a replica's answer."""
    found = {name.lower(): value for name, value in headers}
    request_id = found.get(_REQUEST_ID)
    fault = found.get(b"at-server")
    return AnswerHead(
        status=status,
        request_id=request_id.decode("latin-1") if request_id else None,
        not_run=b"not-executed" in found or status == 421,
        is_wrong_replica=status == 421,
        fault_address=fault.decode("latin-1") if fault else None,
        has_seal=b"response-seal" in found,
        keep_alive_s=_keep_alive_s(found.get(b"keep-alive")),
        will_close=b"close" in found.get(b"connection", b"").lower(),
    )


def _keep_alive_s(value: bytes | None) -> float | None:
    if value is None:
        return None
    for word in value.split(b","):
        name, _, number = word.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def answer_headers(headers: Headers) -> Iterable[tuple[bytes, bytes]]:
    """Return the headers of a replica's answer that go to the caller."""
    for name, value in headers:
        if name.lower() not in _HOP_BY_HOP:
            yield name, value


def own_answer_headers(
    request_id: str, retry_after_s: float | None
) -> list[tuple[bytes, bytes]]:
    """Return the headers of an answer that the host gives without an upstream."""
    headers = [(b"content-type", b"application/json")]
    if request_id:
        headers.append((_REQUEST_ID, request_id.encode("latin-1", "replace")))
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%.2f" % retry_after_s))
    return headers


def order_headers(replica_id: str) -> tuple[tuple[str, str], ...]:
    """Return the headers that keep an order from another replica's address."""
    return (("Expect-Instance", replica_id),)


def encode_place_order(*, start: int, stop: int, expected_orders: int) -> bytes:
    """Return the body that asks a replica to hold a range of layers."""
    # "expect" names the count of orders accepted so far, not a state.
    order = {"op": "place", "from": start, "to": stop, "strategy": "cancel"}
    return json.dumps({**order, "expect": expected_orders}).encode()


def encode_reroute_order(request_id: str, path: PipelinePath) -> bytes:
    """Return the body that moves a running request to another path."""
    order = {"op": "repath", "id": request_id, "path": _hops(path)}
    return json.dumps(order).encode()


def decode_report(body: bytes) -> ReplicaReport | None:
    """Return what a replica reports, None for a report that cannot be read."""
    try:
        document = json.loads(body)
        return ReplicaReport(
            # Here "sequence" counts orders; in the registry it counts heartbeats.
            orders_accepted=int(document["sequence"]),
            kv_used=int(document.get("kv_used") or 0),
            kv_total=int(document.get("kv_total") or 0),
            # Here "pace" tells of this replica; in the configuration, of its kind.
            slowness=max(1.0, float(document.get("pace") or 1.0)),
            is_busy=document.get("busy") is True,
        )
    except (ValueError, LookupError, TypeError, AttributeError, RecursionError):
        return None


def decode_stalled(body: bytes) -> dict[str, str]:
    """Return the address of the silent stage by request id from a report."""
    try:
        rows = json.loads(body).get("stalled") or []
        return {str(row["id"]): str(row["address"]) for row in rows}
    except (ValueError, LookupError, TypeError, AttributeError, RecursionError):
        return {}
