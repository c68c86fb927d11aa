"""Records of the claims stream and their JSON encoding."""

import base64
import binascii

import attrs

from persimmonwell.core._documents import JsonObject, JsonValue
from persimmonwell.core._types import Outcome

MAX_RESULT_BODY_BYTES = 4096
MAX_RESULT_HEADER_BYTES = 1024


@attrs.frozen(cache_hash=True)
class ClaimKey:
    """Idempotency key of one non-repeatable call, within workspace and service."""

    workspace: str
    service: str
    key: str


@attrs.frozen
class CallResult:
    """Result of a call as recorded for its repeats."""

    status: int
    outcome: Outcome
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = b""
    """None when the body exceeded MAX_RESULT_BODY_BYTES."""


@attrs.frozen
class ClaimRecord:
    """Claim on a key by one host and incarnation."""

    claim_id: str
    key: ClaimKey
    digest: str
    host: str
    incarnation: str
    is_restated: bool = False
    """Whether the claim won before the log came back from an older copy."""


@attrs.frozen
class ResultRecord:
    """Result of the call that was sent under a claim."""

    claim_id: str
    result: CallResult
    is_restated: bool = False


@attrs.frozen
class WithdrawalRecord:
    """Withdrawal of a claim whose call was not sent and never will be."""

    claim_id: str


Record = ClaimRecord | ResultRecord | WithdrawalRecord


def limit_result(result: CallResult) -> CallResult:
    """Return the result without a body or headers that exceed the record limits."""
    body, headers = result.body, result.headers
    if body is not None and len(body) > MAX_RESULT_BODY_BYTES:
        body = None
    if sum(len(name) + len(value) for name, value in headers) > MAX_RESULT_HEADER_BYTES:
        headers = ()
    return attrs.evolve(result, body=body, headers=headers)


def encode_record(record: Record) -> JsonObject:
    """Return the JSON form of a record."""
    match record:
        case ClaimRecord(claim_id, key, digest, host, incarnation, is_restated):
            document: JsonObject = {
                "type": "claim",
                "claim_id": claim_id,
                "workspace": key.workspace,
                "service": key.service,
                "key": key.key,
                "digest": digest,
                "host": host,
                "incarnation": incarnation,
            }
            return document | {"restated": True} if is_restated else document
        case ResultRecord(claim_id, result):
            return {"type": "result", "claim_id": claim_id, **_encode_result(result)}
        case WithdrawalRecord(claim_id):
            return {"type": "released", "claim_id": claim_id}


def _encode_result(result: CallResult) -> JsonObject:
    document: JsonObject = {
        "status": result.status,
        "outcome": result.outcome.value,
        "headers": [[name, value] for name, value in result.headers],
    }
    if result.body is not None:
        try:
            document["body"] = result.body.decode("utf-8")
        except UnicodeDecodeError:
            document["body_base64"] = base64.b64encode(result.body).decode("ascii")
    return document


def decode_result(data: JsonObject) -> CallResult | None:
    """Return the result that a result record holds, or None when it is malformed."""
    status, outcome = data.get("status"), data.get("outcome")
    if isinstance(status, bool) or not isinstance(status, int):
        return None
    if outcome not in tuple(Outcome):
        return None
    return CallResult(
        status=status,
        outcome=Outcome(str(outcome)),
        headers=_decode_headers(data.get("headers")),
        body=_decode_body(data),
    )


def _decode_headers(value: JsonValue) -> tuple[tuple[str, str], ...]:
    pairs = value if isinstance(value, list) else []
    return tuple(
        (str(pair[0]), str(pair[1]))
        for pair in pairs
        if isinstance(pair, list) and len(pair) == 2
    )


def _decode_body(data: JsonObject) -> bytes | None:
    text, encoded = data.get("body"), data.get("body_base64")
    if isinstance(text, str):
        return text.encode("utf-8", "replace")
    if isinstance(encoded, str):
        try:
            return base64.b64decode(encoded, validate=True)
        except (binascii.Error, ValueError):
            return None
    return None
