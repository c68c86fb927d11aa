"""Tests of claims whose log came back from an older copy."""

from persimmonwell.core import Outcome
from persimmonwell.core import claims as cl
from persimmonwell.core._documents import JsonObject
from persimmonwell.core.config import LogRecord

KEY = cl.ClaimKey("w", "booking", "k")
RESULT = cl.CallResult(200, Outcome.COMPLETE, (), b"done")
READ_INTERVAL_S = 0.1


class Cluster:
    """Hosts that share one log, which can lose its last records."""

    def __init__(self, *hosts: str) -> None:
        self.now_s = 0.0
        self.records: list[JsonObject] = []
        self.era = 1
        self.states = {
            host: cl.ClaimsState(host_id=host, incarnation=f"{host}-1")
            for host in hosts
        }
        self.offsets = {host: cl.ContinuedOffsets() for host in hosts}
        self.decisions: dict[str, list[cl.ClaimDecision]] = {h: [] for h in hosts}
        self.reading = set(hosts)

    def restore(self, kept: int) -> None:
        del self.records[kept:]
        self.era += 1

    def request(self, host: str, request_id: str) -> None:
        request = cl.ClaimRequested(
            request_id, KEY, "same", self.now_s + 60.0, first_attempt=False
        )
        self.apply(host, request)

    def apply(self, host: str, event: cl.ClaimsEvent) -> None:
        for decision in self.states[host].handle(event, self.now_s):
            if isinstance(decision, cl.AppendClaims):
                self.records.extend(decision.records)
                self.apply(host, cl.ClaimsAppended(decision.batch_id))
            else:
                self.decisions[host].append(decision)

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += READ_INTERVAL_S
            for host in self.states:
                if host in self.reading:
                    self.read(host)
                self.apply(host, cl.ClaimsTick())

    def read(self, host: str) -> None:
        offsets = self.offsets[host]
        records = tuple(
            LogRecord(number, self.records[number])
            for number in range(offsets.next_offset, len(self.records))
        )
        read = offsets.accept(0, len(self.records), records, self.era)
        if read is not None:
            event = cl.ClaimsRead(read.first_offset, read.records, self.now_s, self.era)
            self.apply(host, event)

    def won(self, host: str) -> list[str]:
        return [
            decision.request_id
            for decision in self.decisions[host]
            if isinstance(decision, cl.ClaimWon)
        ]


def cluster_with_a_lost_claim(*, is_finished: bool) -> Cluster:
    """Return hosts of which only h1 knows the claim that the log has lost."""
    cluster = Cluster("h1", "h2")
    cluster.run(0.2)
    cluster.reading.discard("h2")
    cluster.request("h1", "r1")
    cluster.run(0.5)
    (won,) = cluster.decisions["h1"]
    assert isinstance(won, cl.ClaimWon)
    if is_finished:
        cluster.apply("h1", cl.CallFinished(won.claim_id, RESULT))
        cluster.run(0.5)
    cluster.restore(0)
    cluster.reading.add("h2")
    return cluster


def test_call_whose_claim_was_lost_is_not_sent_again() -> None:
    """Guards against a second booking by a host that never saw the lost claim."""
    cluster = cluster_with_a_lost_claim(is_finished=True)
    cluster.run(0.1)
    cluster.request("h2", "r2")
    cluster.run(10.0)
    assert cluster.won("h2") == []
    assert cluster.decisions["h2"] == [cl.ClaimAnswered("r2", KEY.key, RESULT)]


def test_running_call_whose_claim_was_lost_is_not_sent_again() -> None:
    """Guards against a second booking while the first one runs."""
    cluster = cluster_with_a_lost_claim(is_finished=False)
    cluster.run(0.1)
    cluster.request("h2", "r2")
    cluster.run(10.0)
    assert cluster.won("h2") == []
    (won,) = cluster.decisions["h1"]
    assert isinstance(won, cl.ClaimWon)
    cluster.apply("h1", cl.CallFinished(won.claim_id, RESULT))
    cluster.run(1.0)
    assert cluster.decisions["h2"] == [cl.ClaimAnswered("r2", KEY.key, RESULT)]


def test_claim_stated_again_precedes_one_made_since() -> None:
    """Guards against a second booking when the first host reads the log later."""
    cluster = cluster_with_a_lost_claim(is_finished=True)
    cluster.reading.discard("h1")
    cluster.run(0.1)
    cluster.request("h2", "r2")
    cluster.run(1.0)
    assert len(cluster.records) == 1
    cluster.reading.add("h1")
    cluster.run(10.0)
    assert cluster.decisions["h2"] == [cl.ClaimAnswered("r2", KEY.key, RESULT)]


def test_host_that_starts_later_knows_the_claim_that_was_stated_again() -> None:
    """Guards against a second booking by a host that reads the restored log alone."""
    cluster = cluster_with_a_lost_claim(is_finished=True)
    cluster.run(5.0)
    cluster.states["h2"] = cl.ClaimsState(host_id="h2", incarnation="h2-2")
    cluster.offsets["h2"] = cl.ContinuedOffsets()
    cluster.request("h2", "r3")
    cluster.run(5.0)
    assert cluster.decisions["h2"] == [cl.ClaimAnswered("r3", KEY.key, RESULT)]


def test_free_key_is_won_after_the_time_to_settle() -> None:
    """Guards against keys that stay blocked after a restore."""
    cluster = Cluster("h1", "h2")
    cluster.run(0.2)
    cluster.restore(0)
    cluster.run(0.1)
    cluster.request("h2", "r1")
    cluster.run(1.0)
    assert cluster.won("h2") == []
    cluster.run(2.0)
    assert cluster.won("h2") == ["r1"]


def test_withdrawal_that_was_lost_is_appended_again() -> None:
    """Guards against a key that is blocked by a claim without a call."""
    cluster = Cluster("h1", "h2")
    cluster.request("h1", "r1")
    cluster.run(0.5)
    (won,) = cluster.decisions["h1"]
    assert isinstance(won, cl.ClaimWon)
    kept = len(cluster.records)
    cluster.apply("h1", cl.CallFinished(won.claim_id, None))
    cluster.run(0.5)
    cluster.restore(kept)
    cluster.run(1.0)
    cluster.request("h2", "r2")
    cluster.run(5.0)
    assert cluster.won("h2") == ["r2"]
