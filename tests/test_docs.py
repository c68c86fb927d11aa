"""Tests that the docs match the code: commands, settings, configuration, metrics."""

import json
import re
import shlex
from pathlib import Path
from typing import Any

import attrs
import pytest

from persimmonwell._exceptions import DocumentError
from persimmonwell.cli import build_application, main
from persimmonwell.cli._base import ToolCommand
from persimmonwell.cli._commands import COMMANDS
from persimmonwell.core import Rank
from persimmonwell.core.config import parse_config
from persimmonwell.observe._metrics import _COUNTERS, _GAUGES
from persimmonwell.settings import parse_settings
from tests.fleet import SmallFleet

ROOT = Path(__file__).resolve().parent.parent
PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").glob("*.md")])
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
HISTOGRAMS = {"first_token_seconds", "inter_token_seconds"}
REQUIRED = "required"


def _shell_lines(text: str) -> list[str]:
    blocks = re.findall(r"^```(?:sh)?\n(.*?)^```", text, flags=re.M | re.S)
    lines = [line for block in blocks for line in block.splitlines()]
    return lines + re.findall(r"`(persimmonwelld? [^`]+)`", text)


def _tool_lines() -> list[str]:
    texts = [page.read_text(encoding="utf-8") for page in PAGES]
    lines = [line for text in texts for line in _shell_lines(text)]
    helps = [line.strip() for c in COMMANDS for line in c.help.splitlines()]
    return sorted({line for line in lines + helps if line.startswith("persimmonwell ")})


@pytest.mark.parametrize("line", _tool_lines())
def test_documented_command_exists(line: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against docs and help with a command or option that does not exist."""
    monkeypatch.setattr(ToolCommand, "handle", lambda self: 0)
    assert main(shlex.split(line.split(" #")[0])[1:]) == 0


def test_every_command_has_documentation_and_help() -> None:
    """Guards against an undocumented command."""
    found = "\n".join(_tool_lines())
    for command in COMMANDS:
        assert f"persimmonwell {command.name}" in found
        assert "Examples:" in command.help and "Exit status:" in command.help
    assert {c.name for c in COMMANDS} <= set(build_application().all())


def test_documented_make_targets_and_daemon_options_exist() -> None:
    """Guards against a documented make target or daemon option that was removed."""
    makefile = (ROOT / "Makefile").read_text(encoding="utf-8")
    daemon = (ROOT / "persimmonwell" / "daemon" / "_main.py").read_text("utf-8")
    for page in PAGES:
        for line in _shell_lines(page.read_text(encoding="utf-8")):
            if line.startswith("make "):
                assert f"\n{line.split()[1]}:" in makefile, line
            if line.startswith("persimmonwelld "):
                options = re.findall(r"--[a-z-]+", line)
                assert all(f'"{option}"' in daemon for option in options), line


def _table(heading: str) -> dict[str, tuple[str, str]]:
    """Return unit and default by name from the table under a heading."""
    section = OPERATIONS.split(f"\n## {heading}\n")[1].split("\n## ")[0]
    rows = re.findall(r"^\| `([^`]+)` \| ([^|]+) \| ([^|]+) \|", section, flags=re.M)
    return {name: (unit, default.strip("` ")) for name, unit, default in rows}


def _flatten(value: Any, path: str = "") -> dict[str, Any]:
    if not attrs.has(type(value)):
        return {path: value}
    found: dict[str, Any] = {}
    for field in attrs.fields(type(value)):
        inner = f"{path}.{field.name}" if path else field.name
        found |= _flatten(getattr(value, field.name), inner)
    return found


def _shown(value: Any) -> str:
    if value is None:
        return "none"
    return json.dumps(list(value) if isinstance(value, tuple) else value)


def _faults(parse: Any, *arguments: Any) -> set[str]:
    with pytest.raises(DocumentError) as error:
        parse(*arguments)
    return {fault.path[1:].replace("/", ".") for fault in error.value.faults}


def test_settings_table_matches_the_code() -> None:
    """Guards against an undocumented setting or a wrong default in the docs."""
    document = SmallFleet().settings_document("zone-1", "host-1")
    for name in ("callers", "operators", "peers"):
        document[name] = {"address": "127.0.0.1:1"}
    for name in ("log", "expected_hosts", "drain_notice_s", "drain_timeout_s"):
        del document[name]
    del document["platform"]["host_list_interval_s"]
    values = _flatten(parse_settings(document))
    required = _faults(parse_settings, {})
    expected = {n: REQUIRED if n in required else _shown(v) for n, v in values.items()}
    for name in ("callers.tls", "operators.tls", "peers.curve"):
        del expected[name]
        parts = ("certificate", "key") if name.endswith("tls") else _curve_names()
        expected |= {f"{name}.{part}": "none" for part in parts}
    assert {name: row[1] for name, row in _table("Settings").items()} == expected


def _curve_names() -> tuple[str, ...]:
    return ("public_key", "secret_key", "peer_public_keys")


def test_configuration_table_matches_the_code() -> None:
    """Guards against an undocumented key or a wrong default in the docs."""
    link = {"from_zone": "a", "to_zone": "b", "tokens_per_s": 1}
    document: dict[str, Any] = {
        "models": {"NAME": {"layers": 1, "placement": {"layer_bytes": 1}}},
        "accelerators": {"NAME": {"memory_bytes": 1, "layer_tokens_per_s": 1}},
        "links": {"NAME": link},
        **{
            section: {"NAME": {}} for section in ("services", "workspaces", "upstreams")
        },
    }
    config = parse_config(document, 1)
    values = _flatten(config.retry, "retry") | _flatten(config.links[0], "links.NAME")
    values |= _flatten(config.accelerators[0], "accelerators.NAME")
    for section in ("models", "services", "workspaces", "upstreams"):
        values |= _flatten(getattr(config, section)["NAME"], f"{section}.NAME")
    for rank in Rank:
        values |= _flatten(config.ranks[rank], f"ranks.{rank.name.lower()}")
    named = (".name", ".rank", ".upstream_id")
    values = {n: v for n, v in values.items() if not n.endswith(named)}
    bare = {"NAME": {}}
    empty = {
        "models": {"NAME": {"placement": {}}},
        "accelerators": bare,
        "links": bare,
    }
    required = _faults(parse_config, empty, 1)
    expected = {n: REQUIRED if n in required else _shown(v) for n, v in values.items()}
    assert {n: row[1] for n, row in _table("Configuration").items()} == expected


def test_metrics_table_matches_the_code() -> None:
    """Guards against an undocumented metric, and docs of a removed metric."""
    code = {f"persimmonwell_{n}" for n in {*_COUNTERS, *_GAUGES, *HISTOGRAMS}}
    assert set(re.findall(r"^\| `(persimmonwell_\w+)`", OPERATIONS, re.M)) == code


def test_every_failure_in_the_design_has_operating_instructions() -> None:
    """Guards against a failure mode without instructions for operators."""
    design = (ROOT / "docs" / "design.md").read_text(encoding="utf-8")
    table = design.split("## 7. Failures")[1].split("## 8.")[0]
    rows = re.findall(r"^\| ([^|]+) \| [^|]+ \|$", table, flags=re.M)
    wanted = {row for row in rows if row not in ("what fails", "---")}
    sections = re.findall(r"^### ([^\n]+)\n(.*?)(?=^##|\Z)", OPERATIONS, re.M | re.S)
    texts = {title.lower(): text for title, text in sections}
    assert len(wanted) >= 12 and wanted <= set(texts)
    marks = ("See:", "It means:", "persimmonwell ")
    assert not [t for t in wanted if not all(mark in texts[t] for mark in marks)]


def test_module_map_in_the_design_matches_the_code() -> None:
    """Guards against a module missing from the design page, or listed but removed."""
    design = (ROOT / "docs" / "design.md").read_text(encoding="utf-8")
    module_map = design.split("```\npersimmonwell/\n")[1].split("```")[0]
    listed = set(re.findall(r"(?<![\w.])_[a-z_]+", module_map))
    modules = {
        path.stem
        for path in (ROOT / "persimmonwell").rglob("_*.py")
        if not path.stem.startswith("__")
    }
    assert listed == modules
