"""Rerouting of running requests off suspected stages."""

from collections.abc import Mapping

from persimmonwell.core.forwarding._active import ActiveRequest
from persimmonwell.core.forwarding._crash_reports import record_suspected_crash
from persimmonwell.core.forwarding._crashes import CrashTracker
from persimmonwell.core.forwarding._events import CancelAttempt, Decision, Reroute
from persimmonwell.core.forwarding._open_requests import OpenRequests
from persimmonwell.core.forwarding._sends import RequestSender
from persimmonwell.core.forwarding._stalls import StallDetector
from persimmonwell.core.forwarding._upstreams import UpstreamPool

REROUTE_SILENCE_S = 0.1
"""Silence after which a stream is rerouted; one with an event in the last few steps
does not wait for a dead stage."""
MIN_REROUTE_INTERVAL_S = 0.25
"""Minimum interval between two path changes of a request; each repeats its prefill. The
next stage may be lost too, which takes the same silence to find out."""


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

    def reroute_off_suspects(self, now_s: float) -> tuple[Decision, ...]:
        """Move the silent requests that have a later stage which is ejected."""
        decisions: list[Decision] = []
        for active in list(self._requests.active.values()):
            if active.path is None or active.replica_id is None:
                continue
            if active.silent_s(now_s) < REROUTE_SILENCE_S:
                continue
            later_stages = active.path.stages[1:]
            if any(
                self._upstreams.health.is_ejected(stage.replica_id, now_s)
                for stage in later_stages
            ):
                try:
                    decisions += self._move_off_stage(active, now_s)
                except Exception as error:
                    decisions += self._requests.end_faulted(active, error)
        return tuple(decisions)

    def _move_off_stage(
        self, active: ActiveRequest, now_s: float
    ) -> tuple[Decision, ...]:
        """Reroute a request within its zone, or else restart it in another zone.

        If neither is possible it stays where it is, since the stage may recover.
        """
        if now_s - active.rerouted_s < MIN_REROUTE_INTERVAL_S:
            return ()
        reroute = self._reroute(active, now_s)
        if reroute is not None:
            return (reroute,)
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
        active.path = path or active.path
        self._upstreams.reserve(active)
        if path is None:
            return None
        active.rerouted_s = now_s
        return Reroute(active.key, active.attempt, path.first_stage.address, path)
