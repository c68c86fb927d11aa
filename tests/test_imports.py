"""Tests of the import rules between the layers of the package."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "persimmonwell"
LOWER_LEVELS = {"core": 0, "settings": 1, "observe": 2, "platform": 2, "peers": 2}
LEVELS = {
    **LOWER_LEVELS,
    "upstream": 2,
    "front": 3,
    "gateway": 4,
    "daemon": 4,
    "cli": 4,
}
ALLOWED_SIDEWAYS = {("front", "upstream")}
NO_IO_IN_CORE = {"socket", "threading", "time", "os", "urllib3", "zmq", "pykka"}


def _imports(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
    return names


@pytest.mark.parametrize("part", sorted(LEVELS))
def test_layers_import_only_inner_layers(part: str) -> None:
    """Guards against an inner layer that depends on an outer one."""
    for path in (PACKAGE / part).rglob("*.py"):
        for name in _imports(path):
            if not name.startswith("persimmonwell."):
                continue
            other = name.split(".")[1]
            if other.startswith("_") or other == part:
                continue
            allowed = LEVELS[other] < LEVELS[part] or (part, other) in ALLOWED_SIDEWAYS
            assert allowed, f"{path} imports {name}"


def test_core_imports_no_io_modules() -> None:
    """Guards against clocks, sockets and threads in the pure core."""
    for path in (PACKAGE / "core").rglob("*.py"):
        found = {name.split(".")[0] for name in _imports(path)} & NO_IO_IN_CORE
        assert not found, f"{path} imports {found}"


def test_cli_does_not_import_the_daemon() -> None:
    """Guards against a command-line tool that depends on the daemon's code."""
    allowed = {"settings", "cli", "_exceptions", "core"}
    for path in (PACKAGE / "cli").rglob("*.py"):
        for name in _imports(path):
            if name.startswith("persimmonwell."):
                part = name.split(".")[1]
                # The checked configuration is decoded as the gateway decodes it.
                is_decoder = path.stem == "_config_check_command" and (
                    part == "platform"
                )
                assert part in allowed or is_decoder, f"{path} imports {name}"
