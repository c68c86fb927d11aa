"""Test of the logged outcomes against what the replicas ran."""

from typing import Any

import pytest

from persimmonwell.core.timeline import (
    LandedOutcome,
    OutcomeFilter,
    list_outcomes,
    read_decision_lines,
)
from standins.platform_config import config
from tests.gateway.harness import GatewayTestbed

HAS_RUN = {LandedOutcome.ANSWERED, LandedOutcome.ANSWER_LOST}


def test_outcomes_from_the_log_agree_with_the_replicas(
    capfdbinary: pytest.CaptureFixture[bytes],
) -> None:
    """Guards against an operator who is told "not run" of a booking that ran."""
    testbed = GatewayTestbed()
    testbed.store.put_key("keyed.op", "config", config(3))
    replica = testbed.add_replica("desk-1", "desk")
    testbed.start()
    cases: list[tuple[dict[str, Any], LandedOutcome]] = [
        ({}, LandedOutcome.ANSWERED),
        ({"error": True}, LandedOutcome.ANSWERED),
        ({"shed": True}, LandedOutcome.NOT_RUN),
        ({"cut_body": True}, LandedOutcome.ANSWER_LOST),
        ({"reset": True}, LandedOutcome.MAY_HAVE_RUN),
        ({"garbage": True}, LandedOutcome.MAY_HAVE_RUN),
    ]
    try:
        for number, (faults, _) in enumerate(cases):
            replica.faults.clear()
            replica.faults.update(faults)
            testbed.send("/book/x", Request_Id=f"r{number}")
    finally:
        ran = {request.headers["request-id"] for request in replica.received}
        testbed.close()
    lines = read_decision_lines(capfdbinary.readouterr().out.decode().splitlines())
    found = {
        each.request_id: each.outcome for each in list_outcomes(lines, OutcomeFilter())
    }
    expected = {f"r{n}": outcome for n, (_, outcome) in enumerate(cases)}
    wrong = {name for name, outcome in expected.items() if found.get(name) != outcome}
    assert found == expected, (
        sorted(ran),
        [line for line in lines if line.get("id") in wrong or "replica" in line],
    )
    for request_id, outcome in found.items():
        if outcome in HAS_RUN:
            assert request_id in ran
        if outcome is LandedOutcome.NOT_RUN:
            assert request_id not in ran
