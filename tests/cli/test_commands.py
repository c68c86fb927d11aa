"""Tests of the commands with real daemons and faulty hosts."""

import json
from pathlib import Path

import pytest
import urllib3

from persimmonwell.cli import _config_commands
from persimmonwell.cli._exits import combine_exit_statuses
from persimmonwell.daemon import Daemon
from persimmonwell.daemon._operator_service import OperatorService
from persimmonwell.daemon._state_routes import (
    ClaimStatus,
    LimitStatus,
    QuarantineEntry,
    claims_routes,
    limits_routes,
    quarantine_routes,
)
from persimmonwell.front import HttpServer
from persimmonwell.settings import parse_settings
from standins.engine import expected_tokens
from tests.cli.conftest import count_known_hosts
from tests.cli.tool import (
    UNREACHABLE_ADDRESS,
    Tool,
    json_answer,
    list_entry_host,
    raw_host,
)
from tests.fleet import MODEL, SmallFleet, wait_until
from tests.tls import write_certificate

UNREACHABLE_URL = "http://127.0.0.1:1"
OPERATOR_PATHS = (
    *("/config", "/config/history", "/hosts", "/upstreams", "/drain"),
    *("/timeline", "/metrics"),
)
SEND = ("send", "aim", "--model", MODEL, "--workspace", "range-a")


# Each line is a command and, after the arrow, what its error message must contain.
BAD_INPUT = """
hosts --timeout abc -> --timeout
hosts --timeout nan -> --timeout
hosts --host nowhere -> --host
hosts --ca-file /none -> --ca-file
hosts --token-file /none -> --token-file
hosts --bogus -> --bogus
hosts extra -> extra
nothing -> nothing
config apply -> patch
config apply /none --base-version 1 -> /none
config apply {patch} -> --base-version
config apply {patch} --base-version 1_0 -> --base-version
config apply {list} --base-version 1 -> object
config apply {broken} --base-version 1 -> JSON
config wait x -> version
config history --limit 0 -> --limit
drain host --host 127.0.0.1:1 --host 127.0.0.1:2 -> one --host
timeline --since yesterday -> --since
timeline --last 5 --since 1 -> --last
timeline --format pdf -> --format
timeline --json --format html -> --json
timeline --limit 1e3 -> --limit
send x -> --model
send x --model m --workspace w --rank high -> --rank
send x --model m --workspace w --max-tokens 0 -> --max-tokens
send x --model m --workspace wä -> --workspace
check-settings /none -> /none
check-settings {patch} -> /host_id
"""


@pytest.mark.parametrize("line", BAD_INPUT.strip().splitlines())
def test_invalid_input_gives_an_error_message_and_status_2(
    tool: Tool, tmp_path: Path, line: str
) -> None:
    """Guards against a traceback or a wrong exit status on invalid input."""
    command, named = line.split(" -> ")
    for name, text in (("patch", "{}"), ("list", "[]"), ("broken", "{")):
        path = tmp_path / f"{name}.json"
        path.write_text(text, encoding="utf-8")
        command = command.replace(f"{{{name}}}", str(path))
    run = tool(*command.split())
    assert (run.code, run.out) == (2, "")
    assert named in run.err and "Traceback" not in run.err


def test_exit_statuses_of_several_hosts_are_combined() -> None:
    """Guards against an exit status that does not tell partial from full success."""
    whole = [combine_exit_statuses(e, 0) for e in ((0, 0), (1, 1), (3,), (0, 1))]
    missing = [combine_exit_statuses(e, 1) for e in ((0,), (1,), ())]
    assert (whole, missing) == ([0, 1, 3, 5], [5, 5, 4])


def test_config_commands_report_conflicts_faults_and_history(
    tool: Tool, listed_fleet: SmallFleet, tmp_path: Path
) -> None:
    """Guards against an unreported conflict, and a history with a workspace key."""
    address_1, address_2 = (d.operator_address for d in listed_fleet.daemons.values())
    patch = tmp_path / "patch.json"
    patch.write_text('{"workspaces": {"range-c": {"key": "secret"}}}', "utf-8")
    apply = ("config", "apply", str(patch), "--author", "ada", "--host")
    assert (
        tool(*apply, address_1, "--base-version", "1").out == "version 2 is accepted\n"
    )
    lost = tool(*apply, address_2, "--base-version", "1", "--json")
    assert (lost.code, lost.document["error"]["current_version"]) == (3, 2)
    patch.write_text('{"workspaces": {"range-c": {"weight": -1}}}', "utf-8")
    invalid = tool(*apply, address_1, "--base-version", "2")
    assert invalid.code == 2 and "/workspaces/range-c/weight" in invalid.err
    waited = tool("config", "wait", "2", "--host", address_1)
    assert waited.code == 0 and "host-1" in waited.out and "host-2" in waited.out
    late = tool("config", "wait", "9", "--host", address_1, "--timeout", "0.5")
    assert late.code == 1 and "host-2 is still at version 2" in late.err
    assert (
        "conflict with version 2" in tool("config", "history", "--host", address_1).out
    )
    history = tool("config", "history", "--host", address_1, "--json")
    patches = history.document["answers"][0]["document"]["patches"]
    results = ["accepted", "accepted", "conflict"]
    assert [p["result"] for p in patches[:3]] == results
    assert patches[3]["result"] == "invalid"
    assert patches[3]["faults"][0][0] == "/workspaces/range-c/weight"
    assert [p["author"] for p in patches] == ["test", "ada", "ada", "ada"]
    assert patches[1]["changed"] == ["/workspaces/range-c/key"]
    assert "secret" not in history.out
    shown = tool("config", "show", "--fleet", "--host", address_1, "--json").document
    assert [a["document"]["version"] for a in shown["answers"]] == [2, 2]


def test_config_wait_does_not_forget_hosts_that_answered(
    tool: Tool, listed_fleet: SmallFleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a last poll that is too short for any answer."""
    monkeypatch.setattr(_config_commands, "WAIT_POLL_S", 0.46)
    address_1 = listed_fleet.daemons["host-1"].operator_address
    late = tool("config", "wait", "9", "--host", address_1, "--timeout", "0.5")
    assert late.code == 1 and "did not answer" not in late.err
    assert "host-1 is still at" in late.err and "host-2 is still at" in late.err


def test_drained_hosts_and_upstreams_get_no_new_work(
    tool: Tool, listed_fleet: SmallFleet
) -> None:
    """Guards against a drain that is reported but not enforced."""
    address_1 = listed_fleet.daemons["host-1"].operator_address
    host = ("--host", address_1)
    assert tool("drain", "upstream", "none", *host).code == 1
    for version, name in ((2, "engine-1"), (3, "booking-1")):
        drained = tool("drain", "upstream", name, *host, "--json")
        assert (drained.code, drained.document["version"]) == (0, version)
    assert tool("config", "wait", "3", *host).code == 0
    for lane in range(8):
        listed_fleet.complete("host-1", "aim", max_tokens=1)
        listed_fleet.call("host-1", "/services/booking/lanes", {"lane": lane})
    made = [len(service.bookings) for service in listed_fleet.services.values()]
    assert (listed_fleet.engines["engine-1"].received, made) == ([], [0, 8])
    listed = tool("upstreams", *host).out.splitlines()
    drained_rows = [line.split()[1] for line in listed if line.endswith("yes")]
    assert drained_rows == ["engine-1", "booking-1"]
    assert tool("drain", "upstream", "engine-1", "--undo", *host).code == 0
    drained_host = tool("drain", "host", "--wait", *host)
    assert drained_host.out == "host-1 is drained, 0 in flight\n"
    assert tool("drain", "host", "--undo", *host).code == 0


def test_unreachable_hosts_are_reported_with_partial_answers(
    tool: Tool, listed_fleet: SmallFleet
) -> None:
    """Guards against a partial answer that does not name the unreachable hosts."""
    address_1 = listed_fleet.daemons["host-1"].operator_address
    list_entry_host(listed_fleet, "host-3", UNREACHABLE_ADDRESS)
    list_entry_host(listed_fleet, "host-4", "")
    wait_until(lambda: count_known_hosts(listed_fleet, "host-1") == 4)
    commands = ("hosts --fleet", "upstreams --fleet", "timeline", "config show --fleet")
    for line in (*commands, "config wait 1 --timeout 0.6"):
        run = tool(*line.split(), "--host", address_1)
        assert run.code == 5 and "host-1" in run.out, line
        assert f"{UNREACHABLE_ADDRESS} did not answer" in run.err
        assert "host-4 did not answer: no operators' address listed" in run.err
        document = tool(*line.split(), "--host", address_1, "--json").document
        missing = [failure["address"] for failure in document["unreachable"]]
        assert sorted(missing) == sorted([UNREACHABLE_ADDRESS, "host-4"])
    found = tool("timeline", "--host", UNREACHABLE_ADDRESS, "--host", address_1)
    assert (found.code, "host-2" in found.out) == (5, True)
    for line in ("config show", "timeline --json", "drain host", "config wait 1"):
        assert tool(*line.split(), "--host", UNREACHABLE_ADDRESS).code == 4, line


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
def test_host_with_a_faulty_answer_is_reported_as_unreachable(
    tool: Tool, answer: bytes, close: bool, reason: str
) -> None:
    """Guards against a command that hangs or crashes on a faulty host's answer."""
    with raw_host(answer, close=close) as address:
        for command in ("hosts", "drain host", "timeline"):
            run = tool(*command.split(), "--host", address, "--timeout", "0.3")
            assert run.code == 4 and reason in run.err, command
        lost = tool("drain", "upstream", "e", "--host", address, "--timeout", "0.3")
        assert lost.code == 4
        send = tool(*SEND, "--to", address, "--timeout", "0.3")
        assert send.code == 4 and address in send.err


def test_unexpected_json_and_escape_sequences_are_printed_safely(tool: Tool) -> None:
    """Guards against a crash on JSON of another server, and terminal injection.

    Escape sequences and cleo markup in a host's text must be printed as text.
    """
    row = {"host_id": "\x1b[2Jh\n<error>x</error>", "availability_zone": None}
    document = {"host": 5, "hosts": [row], "upstreams": [1, {}], "events": [{}]}
    expected = {"hosts": 0, "upstreams": 0, "drain host": 4, "timeline": 4}
    with raw_host(json_answer({**document, "patches": 3})) as address:
        for line, code in {**expected, "config history": 0}.items():
            run = tool(*line.split(), "--host", address, "--timeout", "2")
            assert (run.code, "\x1b" in run.out) == (code, False), line
        shown = tool("hosts", "--host", address).out
    assert "\\x1b[2Jh\\n<error>x</error>" in shown


def test_send_reports_the_outcome(tool: Tool, fleet: SmallFleet) -> None:
    """Guards against an exit status that hides a refused or broken-off answer."""
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


def test_operator_routes_require_token_and_verified_tls(
    tool: Tool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against unauthenticated operator routes and an unverified certificate."""
    certificate, key = write_certificate(tmp_path)
    tls = {"certificate": certificate, "key": key}
    document = SmallFleet().settings_document("zone-1", "host-1")
    document["platform"] = {
        "log_url": UNREACHABLE_URL,
        "host_list_url": UNREACHABLE_URL,
    }
    document["operators"].update(tls=tls, token="token-1")
    document["callers"].update(tls=tls)
    daemon = Daemon(parse_settings(document), seed=1)
    daemon.start()
    trusting = urllib3.PoolManager(ca_certs=certificate, retries=False)

    def status(address: str, path: str, token: str) -> int:
        sent = {"Authorization": f"Bearer {token}"}
        return trusting.request("GET", f"https://{address}{path}", headers=sent).status

    host = ("hosts", "--host", daemon.operator_address)
    trusted = (*host, "--ca-file", certificate)
    token_file = tmp_path / "token"
    token_file.write_text("token-1\n", encoding="utf-8")
    try:
        for path in OPERATOR_PATHS:
            assert status(daemon.operator_address, path, "token-1") == 200, path
            assert status(daemon.operator_address, path, "token-2") == 401, path
            assert status(daemon.caller_address, path, "token-1") in (404, 503), path
        assert status(daemon.operator_address, "/healthz", "") == 200
        assert tool(*trusted, "--token-file", str(token_file)).code == 0
        assert tool(*trusted, "--token", "token-2").code == 1
        monkeypatch.setenv("PERSIMMONWELL_TOKEN", "token-1")
        assert tool(*trusted).code == 0
        untrusted = tool("hosts", "--host", f"https://{daemon.operator_address}")
        assert untrusted.code == 4 and "TLS failed" in untrusted.err
        assert tool(*host, "--ca-file", str(token_file)).code == 4
        sent = (*SEND, "--to", daemon.caller_address, "--ca-file", certificate)
        assert "not-run" in tool(*sent).err
    finally:
        daemon.close()


class _Quarantine:
    def __init__(self) -> None:
        self.digests = {"d1"}

    def entries(self) -> tuple[QuarantineEntry, ...]:
        return tuple(QuarantineEntry(d, "quarantined", ("e",)) for d in self.digests)

    def clear(self, digest: str) -> bool:
        known = digest in self.digests
        self.digests.discard(digest)
        return known


def _find_claim(workspace: str, service: str, key: str) -> ClaimStatus | None:
    known = (workspace, service, key) == ("räume", "booking", "a/b %2F")
    return ClaimStatus("answered", "host-2", 7, 200) if known else None


def test_state_commands_show_limits_quarantine_and_claims(tool: Tool) -> None:
    """Guards against a claim, limit or quarantine entry shown for another name."""
    limit = LimitStatus("range-a", 100.0, 25.0, None, None, 3)
    routes = (
        *limits_routes(host_id="h", read_limits=lambda: (limit,)),
        *quarantine_routes(host_id="h", quarantine=_Quarantine()),
        *claims_routes(host_id="h", find_claim=_find_claim),
    )
    handle = OperatorService(token=None, open_routes=(), routes=routes).handle
    options = {"threads": 4, "max_body_bytes": 1000, "io_timeout_s": 5.0}
    server = HttpServer(address="127.0.0.1:0", handler=handle, **options)
    server.start()
    host = ("--host", server.address)
    try:
        assert "range-a    100.0     25.0" in tool("limits", *host).out
        assert "d1" in tool("quarantine", "list", *host).out
        assert tool("quarantine", "clear", "d1", *host).code == 0
        assert tool("quarantine", "clear", "d1", *host).code == 1
        claim = ("claims", "show", "räume", "booking")
        assert "answered  host-2  7" in tool(*claim, "a/b %2F", *host).out
        missing = tool(*claim, "a/b", *host)
        assert missing.code == 1 and "a/b' does not exist" in missing.err
        assert tool("claims", "show", "w", "", "k", *host).code == 2
    finally:
        server.close()


def test_check_settings_reports_all_faults(tool: Tool, tmp_path: Path) -> None:
    """Guards against settings that pass the check but are refused by the daemon."""
    path = tmp_path / "settings.json"
    document = SmallFleet().settings_document("zone-1", "host-1")
    path.write_text(json.dumps(document), encoding="utf-8")
    assert tool("check-settings", str(path)).out == "settings are valid\n"
    document["callers"]["addres"] = document["log"]["level"] = "x"
    path.write_text(json.dumps(document), encoding="utf-8")
    run = tool("check-settings", str(path), "--json")
    faults = [fault["path"] for fault in run.document["faults"]]
    assert (run.code, faults) == (2, ["/callers/addres", "/log/level"])
