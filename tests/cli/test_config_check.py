"""Tests of the command that checks a configuration file."""

import json
from pathlib import Path
from typing import Any

import pytest
import urllib3

from persimmonwell.platform import CONFIG_PATH
from standins.platform_config import config, free_port, free_ports, node_file
from tests.cli.tool import Tool
from tests.gateway.harness import GatewayTestbed


def _sound(version: int) -> dict[str, Any]:
    document = config(version)
    # Its time-out is below its latency objective.
    document["routes"] = [r for r in document["routes"] if r["name"] != "short"]
    return document


def _write(folder: Path, name: str, document: Any) -> str:
    path = folder / name
    path.write_text(json.dumps(document), encoding="utf-8")
    return str(path)


def test_statuses_tell_scripts_the_worst_finding(tool: Tool, tmp_path: Path) -> None:
    """Guards against a script that sends a configuration with an error."""
    sound, spare = _sound(1), _sound(1)
    spare["services"].append({"name": "spare"})
    wrong = _sound(1)
    wrong["routes"][0]["service"] = "none"
    expected = ((sound, 0), (spare, 1), (wrong, 2), ({"version": 1}, 2))
    for document, code in expected:
        name = _write(tmp_path, "c.json", document)
        assert tool("config", "check", name).code == code
        findings = tool("config", "check", name, "--json").document["findings"]
        assert bool(findings) is (code > 0)
    assert tool("config", "check", str(tmp_path / "none.json")).code == 2


@pytest.mark.parametrize(
    ("change", "path"),
    [({"timeout_ms": "soon"}, "routes[0].timeout_ms"), ({"kind": "none"}, "c.json")],
)
def test_an_undecodable_field_is_named(
    tool: Tool, tmp_path: Path, change: dict[str, Any], path: str
) -> None:
    """Guards against a document that the hosts would reject without a finding."""
    document = _sound(1)
    document["routes"][0].update(change)
    run = tool("config", "check", _write(tmp_path, "c.json", document), "--json")
    (finding,) = run.document["findings"]
    assert run.code == 2 and finding["path"].endswith(path)


def test_against_lists_changes_and_losses(tool: Tool, tmp_path: Path) -> None:
    """Guards against a replacement that is checked as if nothing were in force."""
    new = _sound(2)
    del new["routes"][0]
    names = _write(tmp_path, "new", new), "--against", _write(tmp_path, "o", _sound(1))
    run = tool("config", "check", *names)
    assert run.code == 1 and 'warning: routes["talk"]: desk.example/talk/' in run.out
    assert "change: version: from 1 to 2" in run.out
    document = tool("config", "check", *names, "--json").document
    assert {"path": 'routes["talk"]', "change": "is removed"} in document["changes"]
    unreadable = _write(tmp_path, "bad", {})
    assert tool("config", "check", names[0], "--against", unreadable).code == 2


def test_against_a_host_compares_keys_without_sending_them(
    tool: Tool, tmp_path: Path
) -> None:
    """Guards against keys that the control port gives away, or that seem changed."""
    testbed = GatewayTestbed()
    testbed.ports["control"] = free_port()
    testbed.store.put_key("keyed.op", "config", _sound(1))
    testbed.add_replica("desk-1", "desk")
    testbed.start()
    host = f"127.0.0.1:{testbed.ports['control']}"
    try:
        answer = urllib3.request("GET", f"http://{host}{CONFIG_PATH}").data
        new = _sound(2)
        run = tool("config", "check", _write(tmp_path, "c", new), "--against", host)
        new["tenants"][0]["api_keys"] = ["key-2"]
        changed = tool("config", "check", _write(tmp_path, "c", new), "--against", host)
    finally:
        testbed.close()
    assert b"key-1" not in answer and b'"api_keys":["' in answer
    assert run.code == 0 and run.out == "change: version: from 1 to 2\nnothing found\n"
    assert changed.code == 1 and "1 of its keys are removed" in changed.out
    gone = tool("config", "check", _write(tmp_path, "c", new), "--against", host)
    assert gone.code == 2 and "cannot read" in gone.err


def test_settings_of_the_host_give_its_limits(tool: Tool, tmp_path: Path) -> None:
    """Guards against a body limit that the hosts of a deployment can't hold."""
    document = _sound(1)
    document["limits"]["max_body_bytes"] = 30 * 1024 * 1024
    name = _write(tmp_path, "c.json", document)
    values = {"limits.memory_mb": "100"}
    text = node_file(ip="127.0.0.1", ports=free_ports(), store="127.0.0.1:1", **values)
    settings = tmp_path / "host.conf"
    settings.write_text(text, encoding="utf-8")
    assert tool("config", "check", name).code == 0
    assert tool("config", "check", name, "--settings", str(settings)).code == 1
    settings.write_text(f"{text}\nbounds.grace_s=2.5", encoding="utf-8")
    run = tool("config", "check", name, "--settings", str(settings))
    assert "bounds.grace_s: " in run.out
    assert tool("config", "check", name, "--settings", name).code == 2
