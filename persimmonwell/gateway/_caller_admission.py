"""Callers' connections of a host: their number, their progress, the memory budget."""

import asyncio
import time
from collections.abc import Callable

from persimmonwell.core.forwarding import CallerLimits
from persimmonwell.core.resources import (
    BufferPlan,
    CallerPolicy,
    ConnectionTable,
    MemoryBudget,
    Pacer,
)
from persimmonwell.gateway._caller_connection import CallerConnection
from persimmonwell.gateway._caller_requests import RawRequest
from persimmonwell.gateway._exchange import Exchange
from persimmonwell.gateway._metrics import GatewayMetrics
from persimmonwell.gateway._request_body import UploadBuffers
from persimmonwell.observe import DecisionLog, RateLimitedLog

PROGRESS_CHECK_INTERVAL_S = 1.0
"""Interval at which the progress of all callers' connections is checked."""


class CallerAdmission:
    """Connected callers and what they may use of the process."""

    def __init__(
        self,
        *,
        bound: int,
        budget: MemoryBudget | None,
        policy: CallerPolicy | None,
        buffer_plan: BufferPlan,
        log: DecisionLog,
        metrics: GatewayMetrics,
        read_limits: Callable[[], CallerLimits],
        is_draining: Callable[[], bool],
        on_request: Callable[[CallerConnection, RawRequest], Exchange | None],
    ) -> None:
        self.policy = policy or CallerPolicy()
        self.budget = budget or MemoryBudget(policy=self.policy)
        self._buffers = UploadBuffers(may_keep=lambda: self.budget.waiting_count == 0)
        self._buffer_plan = buffer_plan
        self._pacer = Pacer()
        self._progress_checked_s = 0.0
        self._metrics = metrics
        self._client_log = RateLimitedLog(log, clock=time.monotonic)
        self._read_limits = read_limits
        self._is_draining = is_draining
        self._on_request = on_request
        self.callers = ConnectionTable[CallerConnection](
            bound=bound,
            is_idle=lambda caller: caller.is_idle,
            may_be_evicted=lambda caller: caller.may_be_evicted,
            address_of=lambda caller: caller.address,
        )

    def create_connection(self) -> CallerConnection:
        """Return the protocol instance of a new caller's connection."""
        return CallerConnection(
            limits=self._read_limits,
            on_request=self._on_request,
            is_draining=self._is_draining,
            on_open_change=self._caller_open_changed,
            budget=self.budget,
            policy=self.policy,
            buffers=self._buffers,
            socket_buffers=self._buffer_plan.sizes_for(len(self.callers)),
            pacer=self._pacer,
            on_progress=self.callers.record_progress,
            on_refused=self._record_refusal,
        )

    def set_policy(self, policy: CallerPolicy) -> None:
        """Change the limits for new connections and for what waits for memory."""
        self.policy = policy
        self.budget.policy = policy

    def _record_refusal(self, reason: str) -> None:
        self.record_client("refused", reason)

    def close_idle(self, *, min_idle_s: float) -> None:
        """Close the callers' connections that are idle.

        A connection without a request so far is closed only after min_idle_s.
        """
        for caller in list(self.callers):
            caller.close_idle(min_idle_s=min_idle_s)

    def _caller_open_changed(self, caller: CallerConnection, is_open: bool) -> None:
        if not is_open:
            self.callers.remove(caller)
            return
        admission = self.callers.add(caller, time.monotonic())
        if admission.evicted is not None:
            self.record_client("terminated", "callers_full")
            admission.evicted.evict()
        if admission.aborted is not None:
            self.record_client("terminated", "closing_full")
            admission.aborted.abort_answer()
        if not admission.is_admitted:
            self.record_client("refused", "callers_full")
            caller.refuse_at_accept()

    def record_client(self, action: str, reason: str) -> None:
        """Count a client's connection or request that was refused or terminated.

        One line per reason and minute goes to the log.
        """
        self._metrics.count_client(action, reason)
        self._client_log.write(
            "clients", action, cause=reason, callers=len(self.callers)
        )

    def log_suppressed(self) -> None:
        """Log how many lines about clients were not written."""
        self._client_log.flush()

    def tick(self) -> None:
        """Serve uploads that wait for memory, and end callers without progress."""
        now_s = asyncio.get_running_loop().time()
        self.budget.tick(now_s)
        if now_s - self._progress_checked_s >= PROGRESS_CHECK_INTERVAL_S:
            self._progress_checked_s = now_s
            for caller in list(self.callers):
                caller.check_progress(now_s)
