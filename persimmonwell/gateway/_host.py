"""Forwarding host: wires the gateway to the store, the peers and the platform."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import attrs

from persimmonwell.core.forwarding import ForwardingRouter
from persimmonwell.core.resources import (
    MemoryBudget,
    buffer_plan,
    buffered_connection_bound,
    caller_connection_bound,
    memory_budget_bytes,
    peer_load_bound,
)
from persimmonwell.gateway._error_log import ErrorLog
from persimmonwell.gateway._gateway import Gateway
from persimmonwell.gateway._host_gauges import add_gauges, process_limit
from persimmonwell.gateway._listeners import Listeners
from persimmonwell.gateway._peer_exchange import PeerExchange
from persimmonwell.gateway._placement_duty import PlacementDuty
from persimmonwell.gateway._state_handover import STATE_PATH, encode_state
from persimmonwell.gateway._status_server import Answer, RecentAnswer, answer_config
from persimmonwell.gateway._store_followers import (
    CONFIG_FOLLOWER,
    REPLICA_FOLLOWER,
    StoreCallbacks,
    StoreFollowers,
)
from persimmonwell.gateway._store_updates import StoreUpdates
from persimmonwell.observe import DecisionLog
from persimmonwell.platform import CONFIG_PATH
from persimmonwell.settings import DEREGISTRATION_S, ForwarderSettings

LAST_ANSWERS_S = 0.1
"""Part of the margin before the end of the grace time in which the callers'
connections take their last answers."""
DRAIN_CHECK_INTERVAL_S = 0.1
DRAIN_MIN_IDLE_S = 0.5
"""Time that a stopping host gives a new connection to send its first request."""
ARRIVALS_AFTER_STOP_S = 3.0
"""Time after the signal to stop from which requests that arrive are refused; a stream
that starts later may not end within the grace time."""
REFUSE_WAITING_S = 1.0
"""Time before the end of the grace time at which requests that wait are refused."""


class GatewayHost:
    """Forwarding host with its listening sockets, store followers and peers."""

    def __init__(self, settings: ForwarderSettings, *, seed: int) -> None:
        self._settings = settings
        self._log = DecisionLog(host_id=settings.host_id)
        self._router = ForwardingRouter(
            availability_zone=settings.availability_zone,
            seed=seed,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            retry_window_s=settings.retry_window_s,
        )
        self._router.host_count = max(1, len(settings.seeds))
        loads = self._router.loads
        loads.peer_load_bound = min(
            loads.peer_load_bound, peer_load_bound(settings.memory_mb)
        )
        caller_bound = min(
            caller_connection_bound(settings.max_fds, process_limit()),
            buffered_connection_bound(settings.memory_mb),
        )
        budget = MemoryBudget(
            memory_budget_bytes(settings.memory_mb), policy=settings.caller_policy
        )
        self._store_charge = budget.open_charge("store")
        self._response_bytes: dict[str, int] = {}
        """Bytes that each follower of the store holds."""
        self._gateway = Gateway(
            router=self._router,
            log=self._log,
            seed=seed,
            caller_bound=caller_bound,
            on_leaving=lambda: self._peers.send_to_zone(),
            budget=budget,
            caller_policy=settings.caller_policy,
            buffer_plan=buffer_plan(settings.memory_mb, caller_bound),
        )
        self._duty = PlacementDuty(
            router=self._router,
            pool=self._gateway.pool,
            log=self._log,
            availability_zone=settings.availability_zone,
            may_plan_without_store=lambda: self._exchange.may_plan_without_store(),
        )
        self._state_answer = RecentAnswer(self._encode_state, clock=time.monotonic)
        self._metrics_answer = RecentAnswer(
            lambda: self._gateway.metrics.render(), clock=time.monotonic
        )
        self._errors = ErrorLog(log=self._log, metrics=self._gateway.metrics)
        self._listeners = Listeners(
            settings,
            create_caller_connection=self._gateway.create_caller_connection,
            answer_readiness=self._answer_readiness,
            answer_control=self._answer_control,
            answer_peers_and_metrics=self._answer_peers_and_metrics,
            record_client=self._gateway.admission.record_client,
            budget=budget,
        )
        self._loop: asyncio.AbstractEventLoop | None = None
        self._store = StoreUpdates(
            router=self._router,
            gateway=self._gateway,
            log=self._log,
            notify_zone=lambda: self._exchange.notify_zone(),
            request_read=lambda follower: self._followers.request_read(follower),
        )
        self._followers = StoreFollowers(
            url=f"http://{settings.store}",
            member=f"{settings.host_id}/{settings.ip}/{time.time_ns()}",
            callbacks=StoreCallbacks(
                on_config=self._call_on_loop(self._store.apply_config),
                on_invalid_config=self._call_on_loop(self._store.log_rejected_config),
                on_invalid_entry=self._call_on_loop(self._store.log_rejected_entry),
                on_replicas=self._call_on_loop(self._store.apply_registry_records),
                on_duty=self._call_on_loop(self._duty.set_lease),
                on_store_status=self._call_on_loop(self._store.record_store_status),
                on_read_resumed=self._call_on_loop(self._store.log_resumed_read),
                on_error=self._call_on_loop(self._log_follower_error),
                on_received=self._call_on_loop(self._charge_response),
                on_read=self._call_on_loop(
                    lambda follower, started_s: self._exchange.announce_read(
                        follower, started_s
                    )
                ),
            ),
            unread_bounds_s=_unread_bounds_s(settings),
        )
        self._exchange = PeerExchange(
            settings,
            seed=seed,
            router=self._router,
            gateway=self._gateway,
            duty=self._duty,
            followers=self._followers,
            store=self._store,
            log=self._log,
            call_on_loop=self._call_on_loop,
        )
        self._peers = self._exchange.datagrams

    async def start(self) -> None:
        """Listen on all ports, follow the store and exchange state with peers."""
        self._loop = asyncio.get_running_loop()
        self._loop.set_exception_handler(self._errors.log_error)
        self._log.start()
        try:
            await self._listeners.open(self._peers)
        except OSError as error:
            self._log.write("host", "start_failed", reason=str(error))
            self.close()
            raise
        add_gauges(
            router=self._router,
            gateway=self._gateway,
            listeners=self._listeners,
            followers=self._followers,
            duty=self._duty,
        )
        self._followers.start()
        self._gateway.start()
        self._duty.start()
        self._exchange.start()
        self._log.write(
            "host",
            "started",
            zone=self._settings.availability_zone,
            callers=str(self._settings.callers),
            store=str(self._settings.store),
            memory_mb=self._settings.memory_mb,
            max_fds=self._settings.max_fds,
            process_fds=process_limit(),
            caller_bound=self._gateway.caller_bound,
        )

    async def drain(self) -> None:
        """Finish the requests in flight within the grace time, then close.

        The host accepts callers until the platform has deregistered it.
        """
        start_s = time.monotonic()
        self._gateway.is_draining = True
        self._followers.resign()
        self._log.write(
            "host", "stopping", open_requests=self._gateway.open_request_count
        )
        end_s = start_s + self._settings.stop_s
        is_listening = True
        while (now_s := time.monotonic()) < end_s:
            if is_listening and now_s - start_s > DEREGISTRATION_S:
                is_listening = False
                await self._listeners.stop_callers()
            is_ending = now_s > end_s - REFUSE_WAITING_S
            if is_ending or now_s - start_s > ARRIVALS_AFTER_STOP_S:
                self._router.stop_arrivals()
            if is_ending:
                self._gateway.refuse_waiting()
            if not is_listening:
                self._gateway.admission.close_idle(min_idle_s=DRAIN_MIN_IDLE_S)
                if (
                    not self._gateway.open_request_count
                    and not self._gateway.caller_connection_count
                ):
                    break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        if self._gateway.open_request_count:
            self._gateway.end_open_requests()
            await asyncio.sleep(LAST_ANSWERS_S)
        self.close()

    def close(self) -> None:
        """Stop at once; open requests are aborted."""
        self._log.write(
            "host", "stopped", open_requests=self._gateway.open_request_count
        )
        self._followers.close()
        self._duty.close()
        self._gateway.close()
        self._listeners.close()
        self._exchange.close()
        self._log.close()

    def reload(self, settings: ForwarderSettings) -> None:
        """Apply changed settings; changed addresses need a restart."""
        self._settings = attrs.evolve(
            self._settings,
            seeds=settings.seeds,
            grace_s=settings.grace_s,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            retry_window_s=settings.retry_window_s,
            caller_policy=settings.caller_policy,
            drain_s=settings.drain_s,
            config_apply_s=settings.config_apply_s,
        )
        self._exchange.set_unread_bounds(_unread_bounds_s(settings))
        self._gateway.admission.set_policy(settings.caller_policy)
        self._peers.set_seeds(frozenset(seed.host for seed in settings.seeds))
        self._router.set_retry_budget(
            ratio=settings.retry_ratio,
            slack=settings.retry_slack,
            window_s=settings.retry_window_s,
        )
        self._log.write(
            "host",
            "settings_read",
            seeds=len(settings.seeds),
            grace_s=settings.grace_s,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            callers_min_body_bytes_per_s=settings.caller_policy.min_body_bytes_per_s,
            callers_body_window_s=settings.caller_policy.body_window_s,
            callers_unread_answer_s=settings.caller_policy.unread_answer_s,
            callers_upload_wait_s=settings.caller_policy.upload_wait_s,
        )

    def reload_failed(self, reason: str) -> None:
        """Log that a reload was rejected; the previous settings stay in force."""
        self._log.write("host", "settings_rejected", reason=reason)

    def _log_follower_error(self, follower: str, error: Exception) -> None:
        assert self._loop is not None
        message = f"follower {follower} failed"
        self._errors.log_error(self._loop, {"message": message, "exception": error})

    def _charge_response(self, follower: str, count: int) -> None:
        self._response_bytes[follower] = count
        self._store_charge.force(sum(self._response_bytes.values()))

    def _call_on_loop(self, function: Callable[..., None]) -> Callable[..., None]:
        def call(*arguments: Any) -> None:
            assert self._loop is not None
            try:
                self._loop.call_soon_threadsafe(function, *arguments)
            except RuntimeError:
                # The loop is closed; the threads of the followers stop soon.
                return

        return call

    # Readiness and metrics

    def _is_ready(self) -> bool:
        return self._router.is_ready and not self._gateway.is_draining

    def _answer_readiness(self, target: str) -> tuple[int, bytes]:
        return (200, b"ready\n") if self._is_ready() else (503, b"not ready\n")

    def _answer_control(self, target: str) -> Answer:
        if target == CONFIG_PATH:
            return answer_config(self._store.config_document)
        return self._answer_readiness(target)

    def _answer_peers_and_metrics(self, target: str) -> tuple[int, bytes]:
        if target == STATE_PATH:
            return 200, self._state_answer.read()
        return 200, self._metrics_answer.read()

    def _encode_state(self) -> bytes:
        return encode_state(
            self._store.config_document, self._router.registry.snapshot()
        )


def _unread_bounds_s(settings: ForwarderSettings) -> dict[str, float]:
    return {
        CONFIG_FOLLOWER: settings.config_apply_s,
        REPLICA_FOLLOWER: settings.drain_s,
    }
