"""Short soak test with real processes, and tests of the rules that it checks."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.replica import ReceivedRequest
from standins.soak import Soak
from standins.soak_checks import load_violations, request_violations
from standins.soak_load import REFUSALS, Answer, SoakLoad
from standins.soak_site import SoakSite

SECONDS = {1: 4.0, 4: 4.0, 1003: 6.0, 2001: 6.0, 3001: 8.0, 4001: 8.0, 5001: 6.0}
"""Duration of the faults by seed; it decides which of them are drawn."""
SEEDS_WITH_STARTS_WITHOUT_STORE = (2001,)
SEEDS_WITH_STATEMENTS = (3001,)
SEEDS_WITH_SPOILED_BYTES = (4001,)
SEEDS_WITH_SURGES = (5001,)


@pytest.mark.parametrize("seed", SECONDS)
def test_no_violations_under_overlapping_faults(tmp_path: Path, seed: int) -> None:
    """Guards against guarantees that fail only when faults overlap."""
    # Seed 4 sends SIGHUP to a host that is still importing its modules; without a
    # handler the signal ends it. Seed 1003 restores the store, and hosts that cannot
    # read it meanwhile have to serve the versions written since. Seed 2001 starts hosts
    # while the store is down; they have to be ready with their peers' state. Seed 3001
    # lets replicas state that they leave, and when to come back. Seed 4001 spoils bytes
    # of streams, and writes odd entries and headers. Seed 5001 adds workspaces with
    # very unequal load, load surges and callers that retry.
    soak = Soak(
        seed=seed,
        seconds=SECONDS[seed],
        folder=tmp_path,
        starts_without_store=seed in SEEDS_WITH_STARTS_WITHOUT_STORE,
        states=seed in SEEDS_WITH_STATEMENTS,
        spoils=seed in SEEDS_WITH_SPOILED_BYTES,
        surges=seed in SEEDS_WITH_SURGES,
    )
    assert soak.run() == []
    assert sum(answer.status == 200 for answer in soak.answers) > 50


@pytest.fixture
def site(tmp_path: Path) -> Iterator[SoakSite]:
    """Return a site whose processes do not run."""
    site = SoakSite(folder=tmp_path, host_count=1, has_surges=True)
    yield site
    for replica in site.replicas:
        replica.close()


def refused(route: str, status: int, **headers: str) -> Answer:
    return Answer("r-1", route, status, {"request-id": "r-1", **headers}, b"")


@pytest.mark.parametrize("status", REFUSALS)
@pytest.mark.parametrize("route", ["book", "look", "talk"])
def test_refused_request_that_ran_is_a_violation(
    site: SoakSite, route: str, status: int
) -> None:
    """Guards against a soak test that overlooks a refusal that was not true."""
    load = SoakLoad(seed=1, site=site, has_surges=True)
    load.answers.append(refused(route, status))
    assert request_violations(site, load) == []
    ran = ReceivedRequest("POST", f"/{route}/r-1", {"request-id": "r-1"}, b"x")
    site.replicas[0].received.append(ran)
    assert request_violations(site, load) == [
        "r-1: answered as not run but ran 1 times"
    ]


def test_refusal_with_the_mark_of_a_replica_may_have_run(site: SoakSite) -> None:
    """Guards against a violation where the replica that ran it answered itself."""
    load = SoakLoad(seed=1, site=site, has_surges=True)
    load.answers.append(refused("look", 503, **{"response-seal": "seal-desk-1"}))
    ran = ReceivedRequest("POST", "/look/r-1", {"request-id": "r-1"}, b"x")
    site.replicas[0].received.append(ran)
    assert request_violations(site, load) == []


def test_workspace_without_any_response_is_a_violation(site: SoakSite) -> None:
    """Guards against a soak test in which one workspace may be starved."""
    load = SoakLoad(seed=1, site=site, has_surges=True)
    load.steady_answers.append(refused("look", 503))
    assert len(load_violations(load)) == 1
    load.steady_answers.append(Answer("r-2", "look", 200, {}, b""))
    assert load_violations(load) == []
