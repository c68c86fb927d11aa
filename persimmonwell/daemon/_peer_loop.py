"""Loop that connects the control state to peer hosts and to the router."""

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
    """Peer links of one host, and the timer of the control state."""

    def __init__(
        self,
        settings: PeerSettings,
        *,
        post_control_event: Callable[[ControlEvent], None],
        post_router_event: Callable[[RouterEvent], None],
        recorder: Recorder,
        read_inflight: ReadInflight = lambda: (),
    ) -> None:
        self._post_control_event = post_control_event
        self._post_router_event = post_router_event
        self._recorder = recorder
        self._read_inflight = read_inflight
        self._links = PeerLinks(
            address=settings.address,
            on_message=self._receive_message,
            curve=_curve_keys(settings),
        )

    @property
    def address(self) -> str:
        """Return the bound address of the peers' port."""
        return self._links.address

    @property
    def counts(self) -> dict[str, int]:
        """Return the counts of frames and bytes sent, received, dropped and refused."""
        return self._links.counts

    def start(self) -> None:
        """Start exchanging messages with peers."""
        self._links.start()

    def close(self) -> None:
        """Close the peers' port and all links."""
        self._links.close()

    def run(self, stopping: threading.Event) -> None:
        """Post ticks and request counts to the control state until the event is set."""
        last_observed_s = float("-inf")
        while not stopping.wait(CONTROL_TICK_S):
            now_s = time.monotonic()
            if now_s - last_observed_s >= INFLIGHT_INTERVAL_S:
                last_observed_s = now_s
                counts = self._read_inflight()
                load = sum(count.requests for count in counts)
                self._post_control_event(InflightObserved(counts, load))
            self._post_control_event(ControlTick())

    def execute_decision(self, decision: ControlDecision) -> None:
        """Execute a decision that concerns peers, the router or a fault report."""
        match decision:
            case SendToPeer(host_id, address, message):
                if isinstance(message, Heartbeat):
                    stamp = self._recorder.next_stamp()
                    message = attrs.evolve(message, stamp=stamp)
                self._links.send(host_id, address, message)
            case UpdatePeerInflight(host_id, counts):
                self._post_router_event(PeerInflight(host_id, counts))
            case ApplyPeerBlame(digest, upstream_id):
                self._post_router_event(BlameReceived(digest, upstream_id))
            case ReleaseDigest(digest):
                self._post_router_event(QuarantineCleared(digest))
            case ReportFault(part, kind, detail):
                part_logger(part).warning("{}, {}", kind, detail)
            case _:
                pass

    def _receive_message(self, message: PeerMessage) -> None:
        if isinstance(message, Heartbeat):
            self._recorder.merge_remote_stamp(message.stamp)
        self._post_control_event(PeerMessageReceived(message))


def _curve_keys(settings: PeerSettings) -> CurveKeys | None:
    curve = settings.curve
    if curve is None:
        return None
    return CurveKeys(curve.public_key, curve.secret_key, curve.peer_public_keys)
