"""Check the commands against real daemons and faulty hosts."""

import json
from pathlib import Path

import pytest

from persimmonwell.cli._exits import combined_exit
from persimmonwell.daemon import Daemon
from persimmonwell.settings import parse_settings
from standins.engine import expected_tokens
from tests.cli.conftest import known_hosts
from tests.cli.tool import DEAD_ADDRESS, Tool, json_answer, list_entry_host, raw_host
from tests.fleet import MODEL, SmallFleet, wait_until
from tests.tls import write_certificate

SEND = ("send", "aim", "--model", MODEL, "--workspace", "range-a")


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("hosts --timeout abc", "--timeout"),
        ("hosts --timeout 0", "--timeout"),
        ("hosts --timeout nan", "--timeout"),
        ("hosts --host nowhere", "--host"),
        ("hosts --host 127.0.0.1:99999", "--host"),
        ("hosts --ca-file /none", "--ca-file"),
        ("hosts --token-file /none", "--token-file"),
        ("hosts --bogus", "--bogus"),
        ("hosts extra", "extra"),
        ("nothing", "nothing"),
        ("config apply /none --base-version 1", "/none"),
        ("config apply {patch}", "--base-version"),
        ("config apply {patch} --base-version -1", "--base-version"),
        ("config apply {patch} --base-version 1_0", "--base-version"),
        ("config apply {list} --base-version 1", "object"),
        ("config apply {broken} --base-version 1", "JSON"),
        ("config apply", "patch"),
        ("config wait x", "version"),
        ("config history --limit 0", "--limit"),
        ("drain host --host 127.0.0.1:1 --host 127.0.0.1:2", "one --host"),
        ("timeline --since yesterday", "--since"),
        ("timeline --last 5 --since 1", "--last"),
        ("timeline --last -5", "--last"),
        ("timeline --format pdf", "--format"),
        ("timeline --json --format html", "--json"),
        ("timeline --limit 1e3", "--limit"),
        ("send x", "--model"),
        ("send x --model m --workspace w --rank high", "--rank"),
        ("send x --model m --workspace w --max-tokens 0", "--max-tokens"),
        ("send x --model m --workspace wä", "--workspace"),
        ("send x --model m --workspace w --to nowhere", "--to"),
        ("check-settings /none", "/none"),
        ("check-settings {patch}", "/host_id"),
    ],
)
def test_bad_input_is_a_sentence(
    tool: Tool, tmp_path: Path, line: str, named: str
) -> None:
    """Guards against a traceback or a wrong status for a typing error."""
    for name, text in (("patch", "{}"), ("list", "[]"), ("broken", "{")):
        path = tmp_path / f"{name}.json"
        path.write_text(text, encoding="utf-8")
        line = line.replace(f"{{{name}}}", str(path))
    run = tool(*line.split())
    assert (run.code, run.out) == (2, "")
    assert named in run.err and "Traceback" not in run.err


@pytest.mark.parametrize(
    ("exits", "unreachable", "expected"),
    [
        ((0, 0), 0, 0),
        ((0,), 1, 5),
        ((0, 1), 0, 5),
        ((1, 1), 0, 1),
        ((3,), 0, 3),
        ((), 2, 4),
        ((1,), 1, 5),
    ],
)
def test_statuses_of_several_hosts(
    exits: tuple[int, ...], unreachable: int, expected: int
) -> None:
    """Guards against a partial answer that a script takes for a whole one."""
    assert combined_exit(exits, unreachable) == expected


def test_configuration_commands(
    tool: Tool, listed_fleet: SmallFleet, tmp_path: Path
) -> None:
    """Guards against a patch command that hides a conflict or an invalid patch."""
    one, two = (d.operator_address for d in listed_fleet.daemons.values())
    patch = tmp_path / "patch.json"
    patch.write_text('{"workspaces": {"range-c": {}}}', encoding="utf-8")
    apply = ("config", "apply", str(patch), "--author", "ada", "--host")
    assert tool(*apply, one, "--base-version", "1").out == "version 2 is accepted\n"
    lost = tool(*apply, two, "--base-version", "1", "--json")
    assert (lost.code, lost.document["error"]["current_version"]) == (3, 2)
    patch.write_text('{"workspaces": {"range-c": {"weight": -1}}}', encoding="utf-8")
    invalid = tool(*apply, one, "--base-version", "2")
    assert invalid.code == 2 and "/workspaces/range-c/weight" in invalid.err
    waited = tool("config", "wait", "2", "--host", one)
    assert waited.code == 0 and "host-1" in waited.out and "host-2" in waited.out
    late = tool("config", "wait", "9", "--host", one, "--timeout", "0.5")
    assert late.code == 1 and "host-2 is still at version 2" in late.err
    history = tool("config", "history", "--host", one)
    assert "ada" in history.out and "conflict with version 2" in history.out
    shown = tool("config", "show", "--fleet", "--host", one, "--json").document
    assert [a["document"]["version"] for a in shown["answers"]] == [2, 2]


def test_drain_commands(tool: Tool, listed_fleet: SmallFleet) -> None:
    """Guards against a drain that is reported and does not hold."""
    one = listed_fleet.daemons["host-1"].operator_address
    assert tool("drain", "upstream", "none", "--host", one).code == 1
    drained = tool("drain", "upstream", "engine-1", "--host", one, "--json")
    assert (drained.code, drained.document["version"]) == (0, 2)
    assert tool("config", "wait", "2", "--host", one).code == 0
    for _ in range(8):
        listed_fleet.complete("host-1", "aim", max_tokens=1)
    assert listed_fleet.engines["engine-1"].received == []
    assert "engine-1" in tool("upstreams", "--host", one).out
    assert tool("drain", "upstream", "engine-1", "--undo", "--host", one).code == 0
    host = tool("drain", "host", "--wait", "--host", one)
    assert (host.code, host.out) == (0, "host-1 is drained, 0 in flight\n")
    assert tool("drain", "host", "--undo", "--host", one).code == 0


def test_missing_hosts_are_named(tool: Tool, listed_fleet: SmallFleet) -> None:
    """Guards against a partial answer without the host that is missing."""
    one = listed_fleet.daemons["host-1"].operator_address
    list_entry_host(listed_fleet, "host-3", DEAD_ADDRESS)
    list_entry_host(listed_fleet, "host-4", "")
    wait_until(lambda: known_hosts(listed_fleet, "host-1") == 4)
    for line in (
        "hosts --fleet",
        "upstreams --fleet",
        "timeline",
        "config show --fleet",
    ):
        run = tool(*line.split(), "--host", one)
        assert run.code == 5, line
        assert f"{DEAD_ADDRESS} did not answer" in run.err
        assert "host-4 did not answer: no operators' address listed" in run.err
        assert "host-1" in run.out
        document = tool(*line.split(), "--host", one, "--json").document
        missing = [failure["address"] for failure in document["unreachable"]]
        assert sorted(missing) == sorted([DEAD_ADDRESS, "host-4"])
    wait = tool("config", "wait", "1", "--host", one, "--timeout", "0.6")
    assert wait.code == 5 and DEAD_ADDRESS in wait.err
    named = tool("hosts", "--host", DEAD_ADDRESS, "--host", one)
    assert (named.code, DEAD_ADDRESS in named.err) == (5, True)
    found = tool("timeline", "--host", DEAD_ADDRESS, "--host", one)
    assert (found.code, "host-2" in found.out) == (5, True)
    assert tool("config", "show", "--host", DEAD_ADDRESS).code == 4
    assert tool("timeline", "--host", DEAD_ADDRESS, "--json").code == 4


@pytest.mark.parametrize(
    ("answer", "close", "reason"),
    [
        (b"", False, "no answer"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", False, "no answer"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", True, "broke"),
        (b"\x16\x03\x01 not http", True, "broke"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf", True, "not JSON"),
        (json_answer([1]), True, "not a JSON object"),
    ],
)
def test_faulty_hosts_are_unreachable(
    tool: Tool, answer: bytes, close: bool, reason: str
) -> None:
    """Guards against a command that hangs or fails on what a broken host sends."""
    with raw_host(answer, close=close) as address:
        for command in ("hosts", "drain host", "timeline"):
            run = tool(*command.split(), "--host", address, "--timeout", "0.3")
            assert run.code == 4 and reason in run.err, command
        lost = tool("drain", "upstream", "e", "--host", address, "--timeout", "0.3")
        assert lost.code == 4
        send = tool(*SEND, "--to", address, "--timeout", "0.3")
        assert send.code == 4 and address in send.err


def test_answers_of_other_servers_are_no_traceback(tool: Tool) -> None:
    """Guards against a crash on JSON that another kind of server sends."""
    document = {"host": 5, "hosts": 3, "upstreams": [1, {"layers": 2}], "events": [{}]}
    with raw_host(json_answer(document)) as address:
        for command, code in (
            ("hosts", 0),
            ("upstreams", 0),
            ("drain host", 4),
            ("timeline", 5),
            ("config history", 0),
        ):
            run = tool(*command.split(), "--host", address, "--timeout", "2")
            assert run.code == code, (command, run)


def test_text_of_hosts_cannot_steer_the_terminal(tool: Tool) -> None:
    """Guards against escape sequences and cleo markup in a host's text."""
    row = {"host_id": "\x1b[2Jh\n<error>x</error>", "availability_zone": None}
    with raw_host(json_answer({"host": "h", "hosts": [row]})) as address:
        run = tool("hosts", "--host", address)
    assert "\\x1b[2Jh\\n<error>x</error>" in run.out and "\x1b" not in run.out


def test_send_states_the_outcome(tool: Tool, fleet: SmallFleet) -> None:
    """Guards against a status that hides a refused or broken answer."""
    caller = fleet.daemons["host-1"].caller_address
    whole = tool(*SEND, "--to", caller, "--max-tokens", "5", "--rank", "urgent")
    assert (whole.code, whole.out.rstrip("\n")) == (
        0,
        "".join(expected_tokens("aim", 5)),
    )
    assert "complete, request " in whole.err and "5 tokens" in whole.err
    document = tool(*SEND, "--to", caller, "--max-tokens", "5", "--json").document
    assert (document["outcome"], document["tokens"]) == ("complete", 5)
    wrong = ("send", "x", "--model", "none", "--workspace", "range-a", "--to", caller)
    refused = tool(*wrong)
    assert refused.code == 1 and "not-run" in refused.err and "'none'" in refused.err
    for engine in fleet.engines.values():
        engine.faults["fail_at"] = 3
    broken = tool(*SEND, "--to", caller, "--json")
    assert (broken.code, broken.document["outcome"]) == (5, "may-have-run")
    assert broken.document["tokens"] == 3


def test_credentials_and_tls(
    tool: Tool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a tool that skips the certificate or loses the token."""
    certificate, key = write_certificate(tmp_path)
    fleet = SmallFleet()
    fleet.log.start()
    fleet.hosts.start()
    document = fleet.settings_document("zone-1", "host-1")
    tls = {"certificate": certificate, "key": key}
    document["operators"].update(tls=tls, token="token-1")
    document["callers"].update(tls=tls)
    daemon = Daemon(parse_settings(document), seed=1)
    daemon.start()
    host = ("hosts", "--host", daemon.operator_address)
    token_file = tmp_path / "token"
    token_file.write_text("token-1\n", encoding="utf-8")
    try:
        trusted = (*host, "--ca-file", certificate)
        assert tool(*trusted, "--token-file", str(token_file)).code == 0
        assert tool(*trusted, "--token", "token-2").code == 1
        monkeypatch.setenv("PERSIMMONWELL_TOKEN", "token-1")
        assert tool(*trusted).code == 0
        untrusted = tool("hosts", "--host", f"https://{daemon.operator_address}")
        assert untrusted.code == 4 and "TLS failed" in untrusted.err
        assert tool(*host).code in (1, 4)
        bad_ca = tool(*host, "--ca-file", str(token_file))
        assert bad_ca.code == 4 and "Traceback" not in bad_ca.err
        sent = (*SEND, "--to", daemon.caller_address, "--ca-file", certificate)
        assert "not-run" in tool(*sent).err
    finally:
        daemon.close()
        fleet.close()


def test_settings_are_checked(tool: Tool, tmp_path: Path) -> None:
    """Guards against a check that accepts what the daemon refuses."""
    path = tmp_path / "settings.json"
    document = SmallFleet().settings_document("zone-1", "host-1")
    path.write_text(json.dumps(document), encoding="utf-8")
    assert tool("check-settings", str(path)).out == "settings are valid\n"
    document["callers"]["addres"] = document["log"]["level"] = "x"
    path.write_text(json.dumps(document), encoding="utf-8")
    run = tool("check-settings", str(path), "--json")
    faults = [fault["path"] for fault in run.document["faults"]]
    assert (run.code, faults) == (2, ["/callers/addres", "/log/level"])
