"""Handling of events about the fleet: load, health, membership, configuration."""

from persimmonwell._exceptions import NotReadyError
from persimmonwell.core.admission import AdmissionQueue
from persimmonwell.core.config import FleetConfig
from persimmonwell.core.router import _events as ev
from persimmonwell.core.router._active import Phase
from persimmonwell.core.router._decisions import Probe
from persimmonwell.core.router._endings import apply_verdict, refuse_request
from persimmonwell.core.router._state import (
    RouterState,
    TargetState,
    model_target,
    service_target,
)


def apply_fleet_event(state: RouterState, event: ev.RouterEvent, now_s: float) -> None:
    """Apply a fleet event; events of single requests are ignored."""
    match event:
        case ev.LoadReported(upstream_id, running, queued, age_s):
            state.chains.apply_load_report(
                upstream_id, running=running, queued=queued, age_s=age_s, now_s=now_s
            )
            _mark_model_dirty(state, upstream_id)
        case ev.CacheReported(upstream_id, sequence, stored, evicted):
            state.chains.apply_cache_event(
                upstream_id, sequence=sequence, stored=stored, evicted=evicted
            )
        case ev.PeerInflight(host_id, counts):
            state.chains.apply_peer_inflight(host_id, counts, now_s=now_s)
            state.mark_waiting_targets_dirty()
        case ev.FleetChanged():
            _change_fleet(state, event, now_s)
        case ev.ConfigChanged(config):
            _change_config(state, config, now_s)
        case ev.BlameReceived(digest, upstream_id):
            verdict = state.quarantine.record_peer_blame(digest, upstream_id, now_s)
            apply_verdict(state, verdict, now_s)
        case ev.QuarantineCleared(digest):
            state.quarantine.clear(digest)
            state.mark_waiting_targets_dirty()
        case ev.ProbeResult():
            _apply_probe_result(state, event, now_s)
        case ev.Tick():
            _tick(state, now_s)


def _mark_model_dirty(state: RouterState, upstream_id: str) -> None:
    upstream = state.upstreams.get(upstream_id)
    if upstream is not None:
        state.dirty_targets.add(model_target(upstream.model))


def _apply_probe_result(
    state: RouterState, event: ev.ProbeResult, now_s: float
) -> None:
    state.chains.apply_probe_result(
        event.upstream_id,
        succeeded=event.succeeded,
        latency_s=event.latency_s,
        now_s=now_s,
    )
    verdict = state.quarantine.resolve_loss(
        event.upstream_id, lost=not event.succeeded, now_s=now_s
    )
    apply_verdict(state, verdict, now_s)
    _mark_model_dirty(state, event.upstream_id)


def _tick(state: RouterState, now_s: float) -> None:
    apply_verdict(state, state.quarantine.expire(now_s), now_s)
    for upstream_id in state.chains.probes_due(now_s):
        upstream = state.upstreams.get(upstream_id)
        if upstream is not None:
            state.emit(Probe(upstream_id, upstream.address))
    for target, target_state in tuple(state.target_states.items()):
        if not target_state.active_count and not target_state.is_configured:
            del state.target_states[target]
    state.mark_waiting_targets_dirty()


def _change_fleet(state: RouterState, event: ev.FleetChanged, now_s: float) -> None:
    previous_upstreams = state.upstreams
    state.upstreams = {u.upstream_id: u for u in event.upstreams}
    state.live_hosts = event.live_hosts
    state.pool.set_replicas(event.replicas)
    _update_chains(state, now_s)
    _configure_limits(state)
    for upstream_id in state.quarantine.unconfirmed_losses():
        old, new = previous_upstreams.get(upstream_id), state.upstreams.get(upstream_id)
        if new is None or (old is not None and old.incarnation != new.incarnation):
            verdict = state.quarantine.resolve_loss(upstream_id, lost=True, now_s=now_s)
            apply_verdict(state, verdict, now_s)
    state.mark_waiting_targets_dirty()


def _change_config(state: RouterState, config: FleetConfig, now_s: float) -> None:
    state.config = config
    state.budget.configure(config.retry.ratio)
    _configure_targets(state, config)
    _update_chains(state, now_s)
    _configure_limits(state)
    for active in state.active_requests:
        waits = active.phase is not Phase.RUNNING
        if waits and not state.target_states[active.target].is_configured:
            error = NotReadyError(f"{active.target} was removed from the configuration")
            refuse_request(state, active, error, now_s)
    state.mark_waiting_targets_dirty()


def _configure_targets(state: RouterState, config: FleetConfig) -> None:
    targets = {model_target(name) for name in config.models}
    targets |= {service_target(name) for name in config.services}
    for target in sorted(targets - state.target_states.keys()):
        state.target_states[target] = TargetState(target, AdmissionQueue(state.limits))
    for target, target_state in state.target_states.items():
        target_state.is_configured = target in targets


def _update_chains(state: RouterState, now_s: float) -> None:
    layers = {name: model.layers for name, model in state.config.models.items()}
    upstreams = tuple(state.upstreams.values())
    state.chains.update_fleet(upstreams, state.config.links, layers, now_s)


def _configure_limits(state: RouterState) -> None:
    hosts = max(1, state.live_hosts, state.expected_hosts)
    state.limits.configure(state.config.workspaces, hosts)
    for target_state in state.target_states.values():
        target_state.queue.configure(state.config.ranks)
