"""Tests of the findings about a configuration, and of its differences."""

import json
from collections.abc import Callable
from typing import Any

import attrs
import pytest

from persimmonwell.core.config_check import (
    HostLimits,
    check_config,
    check_replacement,
    list_differences,
)
from persimmonwell.core.forwarding import ForwardingConfig
from persimmonwell.platform import decode_config, document_path
from standins.platform_config import config, route

Change = Callable[[dict[str, Any]], object]


def _sound(version: int) -> dict[str, Any]:
    document = config(version)
    # Its time-out is below its latency objective.
    document["routes"] = [r for r in document["routes"] if r["name"] != "short"]
    return document


def _decode(document: dict[str, Any]) -> ForwardingConfig:
    return decode_config(json.dumps(document).encode())


def _changed(change: Change, version: int = 2) -> ForwardingConfig:
    document = _sound(version)
    change(document)
    return _decode(document)


def _set(section: str, name: str, **values: Any) -> Change:
    def change(document: dict[str, Any]) -> None:
        if section == "limits":
            document["limits"].update(values)
            return
        for entry in document[section]:
            if entry["name"] == name:
                entry.update(values)

    return change


def _add(section: str, entry: dict[str, Any]) -> Change:
    return lambda document: document[section].append(entry)


def _remove(section: str, name: str) -> Change:
    def change(document: dict[str, Any]) -> None:
        entries = document[section]
        document[section] = [entry for entry in entries if entry["name"] != name]

    return change


def _set_kinds(*kinds: dict[str, Any]) -> Change:
    def change(document: dict[str, Any]) -> None:
        document["services"][0]["engine"]["kinds"] = kinds

    return change


BIG = {"name": "big", "mb": 2000.0, "pace": 1.0, "read_x": 1.0}
TINY = {"name": "tiny", "mb": 100.0, "pace": 1.0, "read_x": 1.0}
"""It holds a layer of 100 MB, but no KV cache beside it."""
SPLIT = [{"service": "desk", "weight": 1.0}]
LOOK = 'routes["look"].'
FINDINGS: list[tuple[Change, str, str]] = [
    (
        _add("routes", route("look", "safe", "desk", path_prefix="/other/")),
        "error",
        'routes["look"]',
    ),
    (
        _add("routes", route("new", "safe", "desk", path_prefix="/look/")),
        "warning",
        LOOK + "path_prefix",
    ),
    (_set("routes", "look", path_prefix="/look"), "warning", LOOK + "path_prefix"),
    (_set("routes", "look", path_prefix="look/"), "warning", LOOK + "path_prefix"),
    (_set("routes", "look", host="desk.example:80"), "warning", LOOK + "host"),
    (_set("routes", "look", service="none"), "error", LOOK + "service"),
    (_add("services", {"name": "idle"}), "warning", 'services["idle"]'),
    (
        _set("routes", "look", traffic_split=[{"service": "desk", "weight": -1.0}]),
        "error",
        LOOK + "traffic_split",
    ),
    (
        _set(
            "routes",
            "look",
            traffic_split=[*SPLIT, {"service": "model", "weight": 0.0}],
        ),
        "warning",
        LOOK + "traffic_split",
    ),
    (
        _add("tenants", {"name": "b", "api_keys": ["key-1"]}),
        "error",
        'tenants["b"].api_keys[0]',
    ),
    (_add("tenants", {"name": "b"}), "warning", 'tenants["b"].api_keys'),
    (_add("tenants", {"name": "b ", "api_keys": ["k"]}), "error", 'tenants["b "]'),
    (
        _set("tenants", "range", api_keys=["key-1", ""]),
        "warning",
        'tenants["range"].api_keys[1]',
    ),
    (_set("routes", "look", timeout_ms=0), "error", LOOK + "timeout_ms"),
    (_set("routes", "look", timeout_ms=499), "warning", LOOK + "timeout_ms"),
    (
        _set("routes", "talk", gap_aim_ms=5001),
        "warning",
        'routes["talk"].gap_aim_ms',
    ),
    (_set("routes", "look", gap_aim_ms=40), "warning", LOOK + "gap_aim_ms"),
    (_set("routes", "look", max_attempts=16), "warning", LOOK + "max_attempts"),
    (_set("limits", "", max_body_bytes=0), "error", "limits.max_body_bytes"),
    (_set("limits", "", max_header_bytes=0), "error", "limits.max_header_bytes"),
    (_set("limits", "", max_body_bytes=10**9), "warning", "limits.max_body_bytes"),
    (_set("limits", "", max_header_bytes=10**9), "warning", "limits.max_header_bytes"),
    (_set("limits", "", header_timeout_ms=0), "error", "limits.header_timeout_ms"),
    (_set("limits", "", idle_timeout_ms=0), "error", "limits.idle_timeout_ms"),
    (_set("limits", "", idle_timeout_ms=499), "warning", "limits.idle_timeout_ms"),
    (_set_kinds(TINY), "error", 'services["model"].engine.kinds'),
    (_set_kinds(), "error", 'services["model"].engine.kinds'),
    (_set_kinds(BIG, TINY), "warning", 'services["model"].engine.kinds[1]'),
    (
        _set("tenants", "range", priority=1),
        "warning",
        'tenants["range"].priority',
    ),
]
STOP = HostLimits(stop_s=5.0, deregistration_s=2.2)
HOST_FINDINGS: list[tuple[Change, str, str, HostLimits]] = [
    (
        _set("routes", "book", timeout_ms=5001),
        "warning",
        'routes["book"].timeout_ms',
        STOP,
    ),
    (
        lambda document: None,
        "warning",
        "bounds.grace_s",
        attrs.evolve(STOP, deregistration_s=5.1),
    ),
]
REPLACEMENTS: list[tuple[Change, str, str]] = [
    (lambda document: document.update(version=1), "error", "version"),
    (_remove("routes", "look"), "warning", 'routes["look"]'),
    (
        _set("routes", "look", path_prefix="/other/"),
        "warning",
        'routes["look"]',
    ),
    (_remove("tenants", "range"), "warning", 'tenants["range"].api_keys'),
    (
        _set("tenants", "range", api_keys=["key-2"]),
        "warning",
        'tenants["range"].api_keys',
    ),
    (lambda document: document.pop("tenants"), "warning", "tenants"),
]


def test_a_sound_configuration_has_no_finding() -> None:
    """Guards against findings that scripts learn to ignore."""
    assert check_config(_decode(_sound(1))) == ()
    assert check_config(_decode(_sound(1)), STOP) == ()
    tenants = _add("tenants", {"name": "b", "api_keys": ["key-2"], "priority": 1})
    assert check_config(_changed(tenants)) == ()
    assert check_replacement(_decode(_sound(2)), _decode(_sound(1))) == ()


@pytest.mark.parametrize(
    ("change", "severity", "path", "host"),
    [*((*row, None) for row in FINDINGS), *HOST_FINDINGS],
)
def test_each_finding_names_its_field(
    change: Change, severity: str, path: str, host: HostLimits | None
) -> None:
    """Guards against a fault that is not found, or one that has another path."""
    (finding,) = check_config(_changed(change), host)
    assert (finding.severity.value, document_path(finding.path)) == (severity, path)


@pytest.mark.parametrize(("change", "severity", "path"), REPLACEMENTS)
def test_what_a_new_version_stops(change: Change, severity: str, path: str) -> None:
    """Guards against a loss that shows only when the version is in force."""
    (finding,) = check_replacement(_changed(change), _decode(_sound(1)))
    assert (finding.severity.value, document_path(finding.path)) == (severity, path)


def test_keys_that_become_required_are_found() -> None:
    """Guards against callers without a key that are refused by surprise."""
    old = _changed(lambda document: document.pop("tenants"), version=1)
    (finding,) = check_replacement(_decode(_sound(2)), old)
    assert finding.path == "tenants" and "without a key" in finding.reason


def test_a_removed_route_names_the_route_that_takes_over() -> None:
    """Guards against a loss that is reported although another route serves it."""
    parent = route("parent", "safe", "desk", path_prefix="/")
    new = _changed(lambda d: [_remove("routes", "look")(d), _add("routes", parent)(d)])
    (finding,) = check_replacement(new, _decode(_sound(1)))
    assert "go to the route of /" in finding.reason


def test_limits_of_the_host_decide_about_sizes_and_attempts() -> None:
    """Guards against checks against the default of another host."""
    change = _set("routes", "look", max_attempts=16)
    new = _changed(change)
    assert check_config(new, HostLimits(retry_slack=100.0)) == ()
    new = _changed(_set("limits", "", max_body_bytes=30 * 1024 * 1024))
    assert check_config(new) == ()
    assert len(check_config(new, HostLimits(memory_mb=100))) == 1


def test_differences_name_fields_of_the_document_and_no_key() -> None:
    """Guards against a change that is left out, and keys in the output."""

    def change(document: dict[str, Any]) -> None:
        _set("routes", "look", timeout_ms=9000, traffic_split=SPLIT)(document)
        _set("tenants", "range", api_keys=["key-2"], priority=1)(document)
        _set("limits", "", idle_timeout_ms=3000)(document)
        _remove("routes", "book")(document)
        _add("routes", route("new", "safe", "desk"))(document)

    found = list_differences(_changed(change), _decode(_sound(1)))
    assert {(document_path(item.path), item.change) for item in found} == {
        ("version", "from 1 to 2"),
        ('routes["look"].timeout_ms', "from 5 s to 9 s"),
        ('routes["book"]', "is removed"),
        ('routes["new"]', "is added"),
        ('tenants["range"].priority', "from None to 1"),
        ('tenants["range"].api_keys', "1 added, 1 removed"),
        ("limits.idle_timeout_ms", "from 2 s to 3 s"),
    }
    assert not any("key-" in item.change for item in found)
