"""Rerouting of running requests off suspected stages.

Load pattern: some replicas are lost at the peak, so that the stages that are left are
nearly full and refuse some of the path changes.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._crash_reports import record_suspected_crash
from persimmonwell.core.forwarding._crashes import CrashTracker
from persimmonwell.core.forwarding._events import (
    CancelAttempt,
    Decision,
    Reroute,
    RerouteFailure,
)
from persimmonwell.core.forwarding._model import RouteKind
from persimmonwell.core.forwarding._open_requests import OpenRequests
from persimmonwell.core.forwarding._paths import DEFAULT_SIZE
from persimmonwell.core.forwarding._sends import RequestSender
from persimmonwell.core.forwarding._stalls import StallDetector
from persimmonwell.core.forwarding._upstreams import UpstreamPool

REROUTE_SILENCE_S = 0.08
"""Silence after which a stream is rerouted; one with an event in the last few steps
does not wait for a dead stage."""
MIN_REROUTE_INTERVAL_S = 0.25
"""Minimum interval between two path changes of a request; each repeats its prefill. The
next stage may be lost too, which takes the same silence to find out."""
MAX_REFUSED_REROUTES = 4
"""Refused path changes after which a silent stream waits for MIN_REROUTE_INTERVAL_S.
Each names another stage without room, and none repeats a prefill."""
FIRST_STAGE_SILENCE_S = 0.25
"""Silence after which a stream leaves a suspected first replica. That ends the run, so
it has to be more than a pause under load."""
DEAD_FIRST_STAGE_SILENCE_S = 0.16
"""Silence after which a stream leaves a first replica that does not answer its probe.
The repeated prefill takes up to 90 ms, and a gap of 250 ms is late."""
LOST_ANSWER_SILENCE_S = 0.3
"""Time without a first event after which an overtaken stream is run again. 99.5 in 100
first events come within 0.13 s, and objectives begin at 0.5 s."""


class StreamRerouter:
    """Streams behind stages that are stalled, lost or suspected to be."""

    def __init__(
        self,
        *,
        requests: OpenRequests,
        sender: RequestSender,
        upstreams: UpstreamPool,
        crashes: CrashTracker,
        stalls: StallDetector,
    ) -> None:
        self._requests = requests
        self._sender = sender
        self._upstreams = upstreams
        self._crashes = crashes
        self._stalls = stalls

    def stall_report_received(
        self, first_replica_id: str, stalled: Mapping[str, str], now_s: float
    ) -> tuple[Decision, ...]:
        """Handle a first replica's report: addresses of stalled stages by request id.

        Every request that passes through such a stage is rerouted, including those
        that the report does not list yet.
        """
        decisions: tuple[Decision, ...] = ()
        for address in sorted(set(stalled.values())):
            for replica in self._upstreams.suspect_address(address, now_s):
                decisions += record_suspected_crash(
                    self._crashes, replica, self._requests.active.values(), now_s
                )
        if stalled:
            self._stalls.defer_query(first_replica_id, now_s)
            return decisions + self.reroute_off_suspects(now_s)
        return self._stalls.due_stage_probes(
            self._requests.active.values(), first_replica_id, now_s
        )

    def reroute_off_suspects(
        self, now_s: float, *, is_tick: bool = False
    ) -> tuple[Decision, ...]:
        """Move the silent requests that have a suspected replica on their path.

        Without news of a replica, the silence has to be unusual and the replica dead: a
        pause under load is no reason to leave one that is only full. The streams of a
        lost replica queue for the prefill of the same other ones, so those with short
        prompts go first: fewer of them are late then.
        """
        health = self._upstreams.health
        is_suspect = health.seems_dead if is_tick else health.is_ejected
        silent = [
            active
            for active in self._requests.active.values()
            if active.silent_s(now_s)
            >= (self._stalls.early_silence_s(active) if is_tick else REROUTE_SILENCE_S)
        ]
        return self._apply_to_each(
            sorted(silent, key=_prompt_tokens),
            partial(self._leave_suspects, now_s=now_s, is_suspect=is_suspect),
        )

    def restart_overtaken(self, now_s: float) -> tuple[Decision, ...]:
        """Run streams again whose answer is lost although their replica is alive.

        A first replica takes up prompts in their order. If a stream that was sent to it
        later has events, the answer to the earlier one will not come. A backlog delays
        both.
        """
        waiting = [
            active
            for active in self._requests.active.values()
            if not active.has_answer_part
            and active.silent_s(now_s) >= LOST_ANSWER_SILENCE_S
            and now_s - active.rerouted_s >= LOST_ANSWER_SILENCE_S
            and active.path is not None
            and active.replica_id is not None
            and active.route.kind is RouteKind.STREAM
        ]
        if not waiting:
            return ()
        answered_s: dict[str | None, float] = {}
        for active in self._requests.active.values():
            if active.has_answer_part:
                earlier_s = answered_s.get(active.replica_id, float("-inf"))
                answered_s[active.replica_id] = max(earlier_s, active.sent_s)
        overtaken = [
            active
            for active in waiting
            if answered_s.get(active.replica_id, float("-inf"))
            > max(active.sent_s, active.rerouted_s)
        ]
        return self._apply_to_each(overtaken, partial(self._restart, now_s=now_s))

    def reroute_failed(
        self,
        reroute: Reroute,
        failure: RerouteFailure,
        fault_address: str | None,
        now_s: float,
    ) -> tuple[Decision, ...]:
        """Handle a path change that was not carried out, fault_address if known.

        The request is still on the path before. If only a stage of the new path had no
        room, another path is tried at once, since nothing was prefilled again.
        """
        active = self._requests.running_attempt(reroute.key, reroute.attempt)
        if active is None or active.path is not reroute.path:
            return ()
        if failure is RerouteFailure.STAGE_UNAVAILABLE:
            self._upstreams.release(active)
            active.path = active.path_before
            self._upstreams.reserve(active)
            active.refused_reroutes += 1
            if fault_address is None:
                return ()
            self._upstreams.record_refusal_at(fault_address, now_s)
            if active.refused_reroutes <= MAX_REFUSED_REROUTES:
                active.rerouted_s = float("-inf")
            return self._leave_suspects(
                active, now_s, self._upstreams.health.is_ejected
            )
        if failure is RerouteFailure.NO_ANSWER:
            self._upstreams.suspect(reroute.path.first_stage.replica_id, now_s)
        if active.silent_s(now_s) < REROUTE_SILENCE_S:
            return ()
        return self._restart(active, now_s)

    def _apply_to_each(
        self,
        requests: Iterable[ActiveRequest],
        change: Callable[[ActiveRequest], tuple[Decision, ...]],
    ) -> tuple[Decision, ...]:
        """Change each request; one on which an error is raised ends alone."""
        decisions: list[Decision] = []
        for active in requests:
            try:
                decisions += change(active)
            except Exception as error:
                decisions += self._requests.end_faulted(active, error)
        return tuple(decisions)

    def _leave_suspects(
        self,
        active: ActiveRequest,
        now_s: float,
        is_suspect: Callable[[str, float], bool],
    ) -> tuple[Decision, ...]:
        """Move a silent request off the suspected replicas of its path."""
        if active.path is None or active.replica_id is None:
            return ()
        stages = active.path.stages
        if any(is_suspect(stage.replica_id, now_s) for stage in stages):
            active.is_trial = False
            if (cause := self._sender.quarantine_cause(active)) is not None:
                return self._end_quarantined(active, cause)
        if self._crashes.awaits_verdict(active):
            return ()
        first_stage, *later_stages = stages
        if self._may_leave_first(active, first_stage.replica_id, now_s, is_suspect):
            return self._restart(active, now_s)
        if any(is_suspect(stage.replica_id, now_s) for stage in later_stages):
            return self._move_off_stage(active, now_s)
        return ()

    def _end_quarantined(
        self, active: ActiveRequest, cause: str
    ) -> tuple[Decision, ...]:
        """End a stream that would crash the replicas that it is moved to."""
        cancel = CancelAttempt(active.key, active.attempt)
        active.possible_runs += 1
        return (cancel, self._sender.end_quarantined(active, cause))

    def _may_leave_first(
        self,
        active: ActiveRequest,
        replica_id: str,
        now_s: float,
        is_suspect: Callable[[str, float], bool],
    ) -> bool:
        """Return whether the first replica of a silent stream is to be left.

        That ends the run, so a probe that has only just become overdue is no reason.
        """
        health, silent_s = self._upstreams.health, active.silent_s(now_s)
        if health.may_answer_late(replica_id, now_s):
            return False
        if silent_s >= FIRST_STAGE_SILENCE_S and is_suspect(replica_id, now_s):
            return True
        return silent_s >= DEAD_FIRST_STAGE_SILENCE_S and health.seems_dead(
            replica_id, now_s
        )

    def _move_off_stage(
        self, active: ActiveRequest, now_s: float
    ) -> tuple[Decision, ...]:
        """Reroute a request within its zone, or else restart it in another zone.

        If neither is possible it stays where it is, since the stage may recover.
        """
        if now_s - active.rerouted_s < MIN_REROUTE_INTERVAL_S:
            return ()
        reroute = self._reroute(active, now_s)
        return (reroute,) if reroute is not None else self._restart(active, now_s)

    def _restart(self, active: ActiveRequest, now_s: float) -> tuple[Decision, ...]:
        """Run a request that may be repeated at another first replica, if possible."""
        state = self._requests.state_of(active)
        if not active.may_run_again or not active.has_attempts_left:
            return ()
        if len(state.queue) > 0:
            # The repeated prefill would take capacity that queued requests wait for.
            return ()
        if not state.budget.allows_retry(now_s, host_count=self._requests.host_count):
            return ()
        attempt, path, replica_id = active.attempt, active.path, active.replica_id
        self._upstreams.release(active)
        send = self._sender.try_send(active, now_s)
        if send is None:
            active.path, active.replica_id = path, replica_id
            self._upstreams.reserve(active)
            return ()
        state.budget.record_retry(now_s)
        active.possible_runs += 1
        active.rerouted_s = now_s
        return (CancelAttempt(active.key, attempt), send)

    def _reroute(self, active: ActiveRequest, now_s: float) -> Reroute | None:
        assert active.path is not None
        first_stage = active.path.first_stage
        replica = self._upstreams.registry.replicas.get(first_stage.replica_id)
        if replica is None:
            return None
        # The request's own reservation must not count as load.
        self._upstreams.release(active)
        path = self._upstreams.find_path_in_zone(
            active, replica.availability_zone, now_s, first_stage=first_stage
        )
        active.path_before = active.path
        active.path = path or active.path
        self._upstreams.reserve(active)
        if path is None:
            return None
        active.rerouted_s = now_s
        return Reroute(active.key, active.attempt, path.first_stage.address, path)


def _prompt_tokens(active: ActiveRequest) -> int:
    size = active.request.size or DEFAULT_SIZE
    return size.prompt_tokens
