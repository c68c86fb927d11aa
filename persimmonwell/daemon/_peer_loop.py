"""Connect the control state to the other entry hosts and to the router."""

import threading
import time
from collections.abc import Callable

import attrs

from persimmonwell.core.control import (
    ApplyPeerBlame,
    ControlDecision,
    ControlEvent,
    ControlTick,
    InflightObserved,
    PeerMessageReceived,
    ReleaseDigest,
    ReportFault,
    SendToPeer,
    UpdatePeerInflight,
)
from persimmonwell.core.membership import Heartbeat, PeerMessage
from persimmonwell.core.router import (
    BlameReceived,
    InflightCount,
    PeerInflight,
    QuarantineCleared,
    RouterEvent,
)
from persimmonwell.observe import Recorder, part_logger
from persimmonwell.peers import CurveKeys, PeerLinks
from persimmonwell.settings import PeerSettings

CONTROL_TICK_S = 0.05
INFLIGHT_INTERVAL_S = 0.5

ReadInflight = Callable[[], tuple[InflightCount, ...]]


class PeerLoop:
    """Hold the links to other hosts and drive the control state's clock."""

    def __init__(
        self,
        settings: PeerSettings,
        *,
        tell_control: Callable[[ControlEvent], None],
        tell_router: Callable[[RouterEvent], None],
        recorder: Recorder,
        read_inflight: ReadInflight = lambda: (),
    ) -> None:
        self._tell_control = tell_control
        self._tell_router = tell_router
        self._recorder = recorder
        self._read_inflight = read_inflight
        self._links = PeerLinks(
            address=settings.address,
            on_message=self._received,
            curve=_curve_keys(settings),
        )

    @property
    def address(self) -> str:
        """Return the bound address of the peers' port."""
        return self._links.address

    @property
    def counts(self) -> dict[str, int]:
        """Return frames and bytes sent, received, dropped and refused by reason."""
        return self._links.counts

    def start(self) -> None:
        """Begin to exchange messages."""
        self._links.start()

    def close(self) -> None:
        """Release the peers' port."""
        self._links.close()

    def run(self, stopping: threading.Event) -> None:
        """Let the control state's time-driven work run until the event is set."""
        observed_s = float("-inf")
        while not stopping.wait(CONTROL_TICK_S):
            now_s = time.monotonic()
            if now_s - observed_s >= INFLIGHT_INTERVAL_S:
                observed_s = now_s
                counts = self._read_inflight()
                load = sum(count.requests for count in counts)
                self._tell_control(InflightObserved(counts, load))
            self._tell_control(ControlTick())

    def carry_out(self, decision: ControlDecision) -> None:
        """Carry out the decisions that concern peers, the router and reports."""
        match decision:
            case SendToPeer(host_id, address, message):
                if isinstance(message, Heartbeat):
                    stamp = self._recorder.next_stamp()
                    message = attrs.evolve(message, stamp=stamp)
                self._links.send(host_id, address, message)
            case UpdatePeerInflight(host_id, counts):
                self._tell_router(PeerInflight(host_id, counts))
            case ApplyPeerBlame(digest, upstream_id):
                self._tell_router(BlameReceived(digest, upstream_id))
            case ReleaseDigest(digest):
                self._tell_router(QuarantineCleared(digest))
            case ReportFault(part, kind, detail):
                part_logger(part).warning("{}, {}", kind, detail)
            case _:
                pass

    def _received(self, message: PeerMessage) -> None:
        if isinstance(message, Heartbeat):
            self._recorder.merge_remote_stamp(message.stamp)
        self._tell_control(PeerMessageReceived(message))


def _curve_keys(settings: PeerSettings) -> CurveKeys | None:
    curve = settings.curve
    if curve is None:
        return None
    return CurveKeys(curve.public_key, curve.secret_key, curve.peer_public_keys)
