"""Runs of a seed, and the search for the fewest changes that show a violation."""

import json
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import attrs

from fuzz.hosts._callers import STREAM_ROUTES, Sending, draw_sendings, send, send_all
from fuzz.hosts._changes import Change, draw_changes, to_json
from fuzz.hosts._checks import Violation, request_violations
from fuzz.hosts._site import HOSTS, FuzzSite

REQUESTS = 300
READY_TIMEOUT_S = 20.0
MAX_REDUCTION_RUNS = 30
MAX_LOG_CHARACTERS = 600
MAX_ERROR_CHARACTERS = 3000


@attrs.frozen
class RunReport:
    """Result of one run."""

    seed: int
    statuses: dict[int, int]
    applied: tuple[Change, ...]
    violations: tuple[Violation, ...]


def changes_of(seed: int, requests: int) -> tuple[Change, ...]:
    """Return all changes of a seed."""
    sendings = draw_sendings(seed, requests, HOSTS)
    return draw_changes(seed, [each.route in STREAM_ROUTES for each in sendings])


def run_seed(
    seed: int, *, requests: int = REQUESTS, changes: tuple[Change, ...] | None = None
) -> RunReport:
    """Run the requests of a seed with its changes, or with some of them."""
    drawn = changes_of(seed, requests) if changes is None else changes
    sendings = draw_sendings(seed, requests, HOSTS)
    request_ids = [each.request_id for each in sendings]
    with tempfile.TemporaryDirectory() as folder:
        site = FuzzSite(folder=Path(folder), changes=drawn, request_ids=request_ids)
        try:
            return _run(site, seed, sendings)
        finally:
            site.close()


def _run(site: FuzzSite, seed: int, sendings: list[Sending]) -> RunReport:
    site.start()
    if not _wait_ready(site, "start", ("look", "talk")):
        violation = Violation("host not ready", "", "at the start" + _logs(site))
        return RunReport(seed, {}, (), (violation,))
    site.table.is_active = True
    writer = threading.Thread(target=site.write_changed_records)
    writer.start()
    seen = send_all(
        sendings, site.fronts, site.requests.is_altered, site.set_replica_fault
    )
    writer.join()
    site.restore()
    violations = []
    if not _wait_ready(site, "end", ("after", "talk")):
        detail = "after the changes" + _logs(site)
        violations.append(Violation("host not ready", "", detail))
    seals = frozenset(f"seal-{replica.replica_id}" for replica in site.replicas)
    statuses: dict[int, int] = {}
    for each in seen:
        request_id = each.sending.request_id
        statuses[each.answer.status] = statuses.get(each.answer.status, 0) + 1
        requests_of = site.requests.by_request.get(request_id, [])
        violations += request_violations(
            each,
            site.runs(request_id),
            requests_of[0] if requests_of else None,
            site.responses.by_request.get(request_id, []),
            seals,
        )
    violations += _process_violations(site)
    return RunReport(seed, statuses, tuple(site.table.applied), tuple(violations))


def _process_violations(site: FuzzSite) -> list[Violation]:
    violations = []
    for host in site.hosts:
        if host.process is not None and host.process.poll() is not None:
            detail = f"{host.ip} ended with {host.process.poll()}" + _logs(site)
            violations.append(Violation("host ended", "", detail))
        violations += _logged_errors(host.log.read_text("utf-8", errors="replace"))
    return violations


def _logged_errors(log: str) -> list[Violation]:
    """Return the unexpected errors in a log, each cause once."""
    causes: dict[str, str] = {}
    for line in log.splitlines():
        if line.startswith("Traceback"):
            causes.setdefault(line, log[log.index(line) :])
        elif "unexpected_error" in line:
            fields = json.loads(line)
            causes.setdefault(fields.get("error", line), line)
    return [
        Violation("unexpected error", "", text[:MAX_ERROR_CHARACTERS])
        for text in causes.values()
    ]


def _wait_ready(site: FuzzSite, name: str, routes: tuple[str, ...]) -> bool:
    """Wait until each host answers requests on some routes."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    count = 0
    while time.monotonic() < deadline_s:
        count += 1
        seen = [
            send(
                Sending(f"{name}{count}{route}{host}", route, host, True),
                site.fronts,
                {},
            )
            for host in range(HOSTS)
            for route in routes
        ]
        if all(each.answer.status == 200 for each in seen):
            return True
        time.sleep(0.1)
    return False


def _logs(site: FuzzSite) -> str:
    texts = [host.log.read_text("utf-8", errors="replace") for host in site.hosts]
    return "".join(f"; {text[-MAX_LOG_CHARACTERS:]}" for text in texts)


def reduce_changes(
    changes: tuple[Change, ...],
    fails: Callable[[tuple[Change, ...]], bool],
    max_runs: int = MAX_REDUCTION_RUNS,
) -> tuple[Change, ...]:
    """Return fewer changes with which a run still fails.

    Parts of half the changes are tried first, then ever smaller parts are left out.
    """
    runs, parts = 0, 2
    while len(changes) > 1 and runs < max_runs:
        size = -(-len(changes) // parts)
        pieces = [changes[i : i + size] for i in range(0, len(changes), size)]
        rests = [
            tuple(each for other in pieces if other is not piece for each in other)
            for piece in pieces
        ]
        for candidate in pieces + (rests if parts > 2 else []):
            runs += 1
            if fails(candidate):
                parts = 2 if len(candidate) <= size else max(2, parts - 1)
                changes = candidate
                break
            if runs >= max_runs:
                break
        else:
            if size == 1:
                break
            parts = min(len(changes), parts * 2)
    return changes


def keep_case(folder: Path, report: RunReport, requests: int, rule: str) -> Path:
    """Write the smallest case with its seed to a file; return its path."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{report.seed}-{rule.replace(' ', '-')}.json"
    document = {
        "seed": report.seed,
        "requests": requests,
        "rule": rule,
        "changes": [to_json(change) for change in report.applied],
    }
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")
    return path
