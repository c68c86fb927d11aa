"""Experiment: requests with a prompt part that crashes replicas come at all hosts.

Gateway processes, each in one of three availability zones, forward to replicas of a
plain service. From one moment on, each host gets requests with the part beside sound
ones. No two of the former are alike; the sound ones share their caller and their other
parts. Counted are the requests with the part that reach replicas after the fifth crash,
and the sound requests that are answered at the first attempt.

Run: python -m standins.deadly_part --seed 1 --runs 50
"""

import argparse
import http.client
import itertools
import random
import signal
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import attrs

from standins.gateway_process import GatewayProcess
from standins.log import Log
from standins.platform_config import API_KEY, HOST, config, free_ports, route
from standins.replica import PlatformReplica

ZONES = ("za", "zb", "zc")
DEADLY_PART = "dead"
STABLE_WINDOW_S = 3.0
"""stable_window_ms of the sites with four hosts."""
MAX_LATE_ARRIVALS = 3
COUNTED_CRASH = 5
"""Late are arrivals more than STABLE_WINDOW_S after this crash."""
MIN_SOUND_SHARE = 0.5
"""Least share of first attempts, relative to the time before the first crash, from
twice STABLE_WINDOW_S after the fifth crash, or the last if there are fewer."""
RESTART_S = 4.0
MAX_HEARTBEAT_S = 1.2
"""Longest time from the restart of a replica to its new registry entry."""
CALM_S = 2.0
SOUND_INTERVAL_S = 0.08
DEADLY_INTERVAL_S = 0.4
FIRST_WAVE_S = 0.2
READY_TIMEOUT_S = 20.0
CALLER_TIMEOUT_S = 4.0
ANSWER_DELAY_S = 0.045


@attrs.frozen
class Outcome:
    """What callers and replicas saw in one run."""

    crashes: int
    first_wave_crashes: int
    """Crashes within FIRST_WAVE_S of the first one."""
    late_arrivals: int
    sound_before: float
    """Share of first attempts answered before the first request with the part."""
    sound_after: float
    """Share of first attempts answered once the rule on sound requests counts."""
    sound_requests_after: int

    @property
    def violations(self) -> list[str]:
        """Return what exceeds the bounds."""
        found = []
        if self.late_arrivals > MAX_LATE_ARRIVALS:
            found.append(f"{self.late_arrivals} late arrivals")
        if self.sound_after < MIN_SOUND_SHARE * self.sound_before:
            found.append(f"sound share {self.sound_after:.2f}")
        return found


@attrs.frozen
class _SoundAnswer:
    sent_s: float
    status: int


class DeadlyPartRun:
    """One run, whose moments are drawn from the seed."""

    def __init__(
        self,
        *,
        seed: int,
        folder: Path,
        host_count: int = 4,
        replica_count: int = 6,
        seconds: float = 25.0,
        restart_after_s: float | None = None,
    ) -> None:
        self._restart_after_s = restart_after_s
        """Time from the first request with the part to the restart of a host."""
        self._random = random.Random(seed)
        self._seconds = seconds
        self._store = Log()
        ports = free_ports()
        self._hosts = [
            GatewayProcess(folder, number, ports) for number in range(1, host_count + 1)
        ]
        self._replicas = [
            PlatformReplica(
                f"desk-{number}", service="desk", zone=ZONES[number % len(ZONES)]
            )
            for number in range(replica_count)
        ]
        self._sound: list[_SoundAnswer] = []
        self._stop = threading.Event()
        self._numbers = itertools.count()

    def run(self) -> Outcome:
        """Play the run."""
        try:
            self._start()
            senders = [
                threading.Thread(target=self._send_sound, args=(host,))
                for host in self._hosts
            ]
            start_s = time.monotonic() + CALM_S
            senders += [
                threading.Thread(target=self._send_deadly, args=(host, start_s, offset))
                for host in self._hosts
                for offset in (0.0, FIRST_WAVE_S / 2)
            ]
            for sender in senders:
                sender.start()
            if self._restart_after_s is not None:
                self._stop.wait(CALM_S + self._restart_after_s)
                self._hosts[0].stop(signal.SIGKILL)
                self._hosts[0].start()
            self._stop.wait(start_s + self._seconds - time.monotonic())
            self._stop.set()
            for sender in senders:
                sender.join()
            return self._outcome(start_s)
        finally:
            self._close()

    def _start(self) -> None:
        self._store.start()
        document = config(1)
        document["routes"] = [route("look", "safe", "desk")]
        self._store.put_key("keyed.op", "config", document)
        for replica in self._replicas:
            replica.serves_reports = False
            replica.faults.update(
                deadly_part=DEADLY_PART, restart_s=RESTART_S, delay_s=ANSWER_DELAY_S
            )
            replica.on_restart = self._registration_of(replica)
            replica.start()
            self._register(replica)
        for number, host in enumerate(self._hosts):
            host.configure(
                self._store.server.address,
                zone=ZONES[number % len(ZONES)],
                seeds=",".join(
                    f"{each.ip}:{each.ports['ready']}" for each in self._hosts[:3]
                ),
            )
            host.start()
        end_s = time.monotonic() + READY_TIMEOUT_S
        while not all(host.is_ready() for host in self._hosts):
            if time.monotonic() > end_s:
                raise TimeoutError("the hosts are not ready")
            time.sleep(0.1)
        # The hosts hear of each other.
        time.sleep(1.0)

    def _registration_of(self, replica: PlatformReplica) -> Callable[[], None]:
        delay_s = self._random.uniform(0.0, MAX_HEARTBEAT_S)

        def register() -> None:
            threading.Timer(delay_s, self._register, (replica,)).start()

        return register

    def _register(self, replica: PlatformReplica) -> None:
        entry = replica.entry(born=replica.started_at_ms)
        self._store.put_key("keyed.servers", replica.replica_id, entry)

    def _close(self) -> None:
        self._stop.set()
        for host in self._hosts:
            host.close()
        for replica in self._replicas:
            replica.close()
        self._store.close()

    def _send_sound(self, host: GatewayProcess) -> None:
        rng = random.Random(self._random.random())
        while not self._stop.wait(rng.uniform(0.5, 1.5) * SOUND_INTERVAL_S):
            sent_s = time.monotonic()
            parts = ("root", "other", f"s{next(self._numbers)}")
            self._sound.append(_SoundAnswer(sent_s, self._send(host, parts)))

    def _send_deadly(
        self, host: GatewayProcess, start_s: float, offset_s: float
    ) -> None:
        rng = random.Random(self._random.random())
        self._stop.wait(start_s + offset_s - time.monotonic())
        while not self._stop.is_set():
            parts = ("root", "other", DEADLY_PART, f"d{next(self._numbers)}")
            self._send(host, parts)
            self._stop.wait(rng.uniform(0.5, 1.5) * DEADLY_INTERVAL_S)

    def _send(self, host: GatewayProcess, parts: Sequence[str]) -> int:
        """Send one request with prompt parts; return the status, 0 without one."""
        number = parts[-1]
        headers = {
            "Host": HOST,
            "Api-Key": API_KEY,
            "Request-Id": number,
            "Deadline-Remaining": "3000",
            "Prompt-Prefix": ",".join(f"{part}:100" for part in parts),
        }
        port = host.ports["front"]
        connection = http.client.HTTPConnection(host.ip, port, timeout=CALLER_TIMEOUT_S)
        try:
            connection.request("POST", f"/look/{number}", number.encode(), headers)
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def _outcome(self, start_s: float) -> Outcome:
        crashes_s = sorted(
            at_s for replica in self._replicas for at_s in replica.crashed_at_s
        )
        arrivals_s = [
            at_s
            for replica in self._replicas
            for request, at_s in zip(
                replica.received, replica.received_at_s, strict=True
            )
            if DEADLY_PART in request.headers.get("prompt-prefix", "")
        ]
        late = 0
        if len(crashes_s) >= COUNTED_CRASH:
            late_from_s = crashes_s[COUNTED_CRASH - 1] + STABLE_WINDOW_S
            late = sum(at_s > late_from_s for at_s in arrivals_s)
        counted_s = crashes_s[:COUNTED_CRASH]
        after_s = (counted_s[-1] if counted_s else start_s) + 2 * STABLE_WINDOW_S
        before = [each for each in self._sound if each.sent_s < start_s - 0.1]
        after = [each for each in self._sound if each.sent_s > after_s]
        return Outcome(
            crashes=len(crashes_s),
            first_wave_crashes=sum(
                at_s - crashes_s[0] <= FIRST_WAVE_S for at_s in crashes_s
            ),
            late_arrivals=late,
            sound_before=_answered_share(before),
            sound_after=_answered_share(after),
            sound_requests_after=len(after),
        )


def _answered_share(answers: Sequence[_SoundAnswer]) -> float:
    return sum(each.status == 200 for each in answers) / max(1, len(answers))


def main() -> int:
    """Play the seeds in order; return 1 if one exceeds the bounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--replicas", type=int, default=6)
    parser.add_argument("--restart-after", type=float, help="seconds")
    parser.add_argument("--logs", type=Path, help="folder for the hosts' logs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            if options.logs is not None:
                folder = options.logs / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            outcome = DeadlyPartRun(
                seed=seed,
                folder=folder,
                host_count=options.hosts,
                replica_count=options.replicas,
                seconds=options.seconds,
                restart_after_s=options.restart_after,
            ).run()
        violations = outcome.violations
        print(f"seed {seed}: {outcome}; violated: {violations or 'none'}", flush=True)
        failed += bool(violations)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
