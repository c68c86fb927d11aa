"""Tests of the parsing and validation of callers' requests."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell._exceptions import (
    BadRequestError,
    BodyTooLargeError,
    NotFoundError,
    PersimmonwellError,
    UnauthorizedError,
)
from persimmonwell.core.config import parse_config
from persimmonwell.front import HttpRequest, ParsedServiceCall, parse_request
from persimmonwell.front._parsing import read_body

CONFIG = parse_config(
    {
        "models": {"coach": {"layers": 4}},
        "services": {"booking": {}},
        "workspaces": {"open": {}, "locked": {"key": "s3cret"}},
    },
    1,
)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=12,
)


def _request(
    document: Any = None,
    *,
    path: str = "/v1/completions",
    method: str = "POST",
    body: bytes | None = None,
    query: str = "",
    **headers: str,
) -> HttpRequest:
    sent = {"persimmonwell-workspace": "open"}
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    encoded = json.dumps(document).encode() if body is None else body
    return HttpRequest(method, path, query, sent, encoded)


GOOD = {"model": "coach", "prompt": "x", "max_tokens": 4}


@pytest.mark.parametrize(
    ("http", "error", "field"),
    [
        (_request(GOOD, method="GET"), BadRequestError, "method"),
        (_request({**GOOD, "model": 3}), BadRequestError, "model"),
        (_request({**GOOD, "model": "none"}), NotFoundError, "none"),
        (_request({**GOOD, "prompt": ""}), BadRequestError, "prompt"),
        (_request({**GOOD, "prompt": "\ud800"}), BadRequestError, "prompt"),
        (_request({**GOOD, "max_tokens": 0}), BadRequestError, "max_tokens"),
        (_request({**GOOD, "max_tokens": True}), BadRequestError, "max_tokens"),
        (_request({**GOOD, "max_tokens": 10**9}), BadRequestError, "max_tokens"),
        (_request({**GOOD, "stream": "yes"}), BadRequestError, "stream"),
        (_request([1]), BadRequestError, "body"),
        (_request(body=b"{"), BadRequestError, "body"),
        (_request(body=b"[" * 100_000), BadRequestError, "body"),
        (_request(GOOD, persimmonwell_rank="high"), BadRequestError, "Rank"),
        (
            _request(GOOD, persimmonwell_deadline_ms="-1"),
            BadRequestError,
            "Deadline",
        ),
        (_request(GOOD, persimmonwell_deadline_ms="0"), BadRequestError, "Deadline"),
        (_request(GOOD, persimmonwell_workspace=""), BadRequestError, "Workspace"),
        (_request(GOOD, persimmonwell_workspace="x"), NotFoundError, "x"),
        (_request(GOOD, persimmonwell_workspace="locked"), UnauthorizedError, "locked"),
        (_request(GOOD, path="/services/none/a"), NotFoundError, "none"),
        (_request(GOOD, path="/services/booking/a b"), BadRequestError, "path"),
        (
            _request(GOOD, path="/services/booking/\r\nX: y"),
            PersimmonwellError,
            "",
        ),
        (
            _request(GOOD, path="/services/booking/a", idempotency_key="a b"),
            BadRequestError,
            "Idempotency-Key",
        ),
        (
            _request(GOOD, path="/services/booking/a", idempotency_key="k" * 300),
            BadRequestError,
            "Idempotency-Key",
        ),
        (_request(GOOD, path="/operators"), NotFoundError, "operators"),
    ],
)
def test_invalid_input_is_refused_with_the_field_name(
    http: HttpRequest, error: type[PersimmonwellError], field: str
) -> None:
    """Guards against invalid input that is accepted, or an error without the field."""
    with pytest.raises(error) as caught:
        parse_request(http, CONFIG, 0.0)
    assert field in str(caught.value)


def test_correct_workspace_key_is_accepted() -> None:
    """Guards against a correct credential that is refused."""
    http = _request(
        GOOD, persimmonwell_workspace="locked", authorization="Bearer s3cret"
    )
    assert parse_request(http, CONFIG, 0.0)


@given(document=JSON_VALUES, path=st.sampled_from(["completions", "chat/completions"]))
def test_any_json_body_is_parsed_or_refused_with_a_typed_error(
    document: Any, path: str
) -> None:
    """Guards against an untyped exception on an unexpected JSON body."""
    body = json.dumps(document).encode()
    try:
        parse_request(_request(path=f"/v1/{path}", body=body), CONFIG, 0.0)
    except PersimmonwellError as error:
        assert 400 <= error.status < 500


@given(body=st.binary(max_size=60), header_value=st.text(max_size=20))
def test_arbitrary_bytes_are_refused_with_a_typed_error(
    body: bytes, header_value: str
) -> None:
    """Guards against an untyped exception on arbitrary bytes or header values."""
    http = _request(
        body=body,
        persimmonwell_rank=header_value,
        persimmonwell_deadline_ms=header_value,
    )
    with pytest.raises(PersimmonwellError):
        parse_request(http, CONFIG, 0.0)


@given(path=st.text(max_size=40), query=st.text(max_size=20), key=st.text(max_size=20))
def test_service_path_and_key_cannot_inject_headers(
    path: str, query: str, key: str
) -> None:
    """Guards against line breaks that reach the upstream request line or a header."""
    http = _request(
        {}, path=f"/services/booking/{path}", query=query, idempotency_key=key
    )
    try:
        parsed = parse_request(http, CONFIG, 0.0)
    except PersimmonwellError:
        return
    assert isinstance(parsed, ParsedServiceCall)
    sent = parsed.path + (parsed.call.idempotency_key or "")
    assert sent.isascii() and sent.isprintable() and " " not in sent


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_call_is_repeatable_only_with_a_repeatable_method(method: str) -> None:
    """Guards against a retry of a booking, which must not run twice."""
    parsed = parse_request(
        _request({}, path="/services/booking/a", method=method), CONFIG, 0.0
    )
    assert isinstance(parsed, ParsedServiceCall)
    assert parsed.call.repeatable == (method == "GET")


@pytest.mark.parametrize(
    ("length", "error"),
    [
        *(("8²", BadRequestError), ("-1", BadRequestError), ("x", BadRequestError)),
        *(("9" * 5000, BodyTooLargeError), ("101", BodyTooLargeError)),
    ],
)
def test_odd_length_of_a_body_is_rejected(
    length: str, error: type[PersimmonwellError]
) -> None:
    """Guards against an untyped error for digits that Python does not convert."""
    with pytest.raises(error):
        read_body(lambda count: b"x" * count, length, limit_bytes=100)
