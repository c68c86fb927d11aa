"""Tests of the parsing and validation of settings."""

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from persimmonwell._exceptions import DocumentError
from persimmonwell.daemon import main
from persimmonwell.settings import parse_settings

GOOD: dict[str, Any] = {
    "host_id": "host-1",
    "availability_zone": "zone-1",
    "callers": {"address": "127.0.0.1:8000"},
    "operators": {"address": "127.0.0.1:8001", "token": "t"},
    "peers": {"address": "127.0.0.1:8002"},
    "platform": {
        "log_url": "http://127.0.0.1:9000",
        "host_list_url": "http://127.0.0.1:9001",
    },
}


def test_valid_settings_are_accepted() -> None:
    """Guards against a valid document that is refused."""
    assert parse_settings(GOOD).operators.token == "t"


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("/host_id", ""),
        ("/host_id", 7),
        ("/callers/address", "localhost:80"),
        ("/callers/address", "127.0.0.1:99999"),
        ("/callers/threads", 2),
        ("/callers/threads", "many"),
        ("/operators/tokn", "t"),
        ("/platform/log_url", "ftp://x"),
        ("/platform/timeout_s", -1),
        ("/platform/timeout_s", True),
        ("/engines", []),
        ("/peers/curve", {"public_key": "x"}),
        ("/log", {"level": "LOUD"}),
        ("/unknown", 1),
    ],
)
def test_fault_is_reported_with_its_path(
    path: str, value: Any, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a fault that is accepted or reported without its path."""
    document = copy.deepcopy(GOOD)
    *parents, name = path.split("/")[1:]
    target = document
    for parent in parents:
        target = target.setdefault(parent, {})
    target[name] = value
    file = tmp_path / "settings.json"
    file.write_text(json.dumps(document), encoding="utf-8")
    assert main(["--settings", str(file), "--check"]) == 2
    assert path in capsys.readouterr().err


def test_all_faults_are_reported_together() -> None:
    """Guards against a check that stops at the first fault."""
    with pytest.raises(DocumentError) as caught:
        parse_settings({"host_id": 1, "extra": 2})
    assert len(caught.value.faults) >= 6


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from(sorted(GOOD)), inner, max_size=5)
        ),
        max_leaves=10,
    )
)
def test_any_document_is_parsed_or_refused_with_paths(document: Any) -> None:
    """Guards against an untyped exception on an unexpected document."""
    try:
        parse_settings(document)
    except DocumentError as error:
        assert all(fault.path.startswith("/") for fault in error.faults)
