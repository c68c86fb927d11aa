"""Callers of a soak run: three workspaces with very unequal load, and load surges."""

import http.client
import random
import threading
import time
from collections.abc import Mapping

import attrs

from standins.gateway_process import GatewayProcess
from standins.platform_config import API_KEY, HOST
from standins.soak_site import HEAVY_KEY, STEADY_KEY, SoakSite

CALLERS = 6
HEAVY_CALLERS = 6
"""Callers of the workspace that sends most."""
SURGE_CALLERS = 30
"""More callers of that workspace while a load surge lasts."""
HEAVY_PAUSE_S = 0.03
STEADY_PAUSE_S = 0.1
"""Pause between the requests of the only caller of the workspace that sends least."""
HEAVY_TIMEOUTS_S = (0.4, 1.5, 3.0)
"""Time limits that callers of the workspace that sends most state."""
MAX_RETRIES = 2
OBEYING_SHARE = 0.7
"""Share of the refused callers that obey Retry-After; the others retry at once."""
MAX_OBEYED_SHARE = 1 / 3
"""Part of the time left up to which callers obey Retry-After."""
REFUSALS = (408, 421, 429, 503)
"""Statuses that guarantee that the request has not run."""
MAX_IDLE_S = 1.6
"""Idle time of a connection that callers use again: four fifths of the limit."""


@attrs.frozen
class Answer:
    """Response to one request; status 0 for a broken connection."""

    request_id: str
    route: str
    status: int
    headers: dict[str, str]
    body: bytes
    target: str = ""


_Connections = dict[str, tuple[http.client.HTTPConnection, float]]
"""Open connections of one caller by host IP, each with the time of its last use."""


@attrs.frozen
class SentRequest:
    """Host to which a request was sent, and when."""

    host_ip: str
    at_s: float


class SoakLoad:
    """Threads of the callers, and all answers that they received."""

    def __init__(self, *, seed: int, site: SoakSite, has_surges: bool) -> None:
        self._seed = seed
        self._site = site
        self._stop = threading.Event()
        self._surge_until_s = 0.0
        self._threads = [
            threading.Thread(target=self._run_caller, args=(number,))
            for number in range(CALLERS)
        ]
        if has_surges:
            self._threads += [
                threading.Thread(target=self._run_heavy_caller, args=(number,))
                for number in range(HEAVY_CALLERS + SURGE_CALLERS)
            ]
            self._threads.append(threading.Thread(target=self._run_steady_caller))
        self.answers: list[Answer] = []
        self.steady_answers: list[Answer] = []
        """Answers to the workspace that sends least; they are in answers too."""
        self.retry_count = 0
        """Approximate number of retries of refused callers."""
        self.sent: dict[str, SentRequest] = {}
        """Host and time of each request by its id."""
        self._served_versions: dict[tuple[str, int], int] = {}
        """Newest version whose route was served, by host IP and incarnation."""
        self.violations: list[str] = []
        """Violations that callers saw."""

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Let all callers finish their last request."""
        self._stop.set()
        for thread in self._threads:
            if thread.ident is not None:
                thread.join()

    def surge(self, seconds: float) -> None:
        """Let the callers of a load surge send for a time."""
        self._surge_until_s = time.monotonic() + seconds

    def _run_caller(self, number: int) -> None:
        rng = random.Random(self._seed * 100 + number)
        connections: _Connections = {}
        count = 0
        while not self._stop.is_set():
            count += 1
            name = rng.choice(("book", "look", "talk"))
            host = rng.choice(self._site.hosts)
            request_id = f"{number}-{count}"
            self.answers.append(self.send(host, name, request_id, connections))
            if number == 0:
                self._check_version(host, f"version-{count}")
            time.sleep(0.01)
        _close(connections)

    def _run_steady_caller(self) -> None:
        rng = random.Random(f"{self._seed} steady")
        connections: _Connections = {}
        count = 0
        while not self._stop.is_set():
            count += 1
            name = rng.choice(("book", "look", "talk"))
            host = rng.choice(self._site.hosts)
            headers = {"Api-Key": STEADY_KEY}
            answer = self.send(host, name, f"steady-{count}", connections, headers)
            self.answers.append(answer)
            self.steady_answers.append(answer)
            time.sleep(STEADY_PAUSE_S)
        _close(connections)

    def _run_heavy_caller(self, number: int) -> None:
        rng = random.Random(f"{self._seed} heavy {number}")
        connections: _Connections = {}
        count = 0
        while not self._stop.is_set():
            if number >= HEAVY_CALLERS and time.monotonic() > self._surge_until_s:
                time.sleep(HEAVY_PAUSE_S)
                continue
            count += 1
            self._send_with_retries(rng, f"heavy-{number}-{count}", connections)
            time.sleep(HEAVY_PAUSE_S)
        _close(connections)

    def _send_with_retries(
        self, rng: random.Random, target_id: str, connections: _Connections
    ) -> None:
        """Send a request, and again after a refusal while time is left.

        Each attempt has an id of its own, by which its runs are counted.
        """
        name = rng.choice(("book", "look", "talk"))
        end_s = time.monotonic() + rng.choice(HEAVY_TIMEOUTS_S)
        obeys_retry_after = rng.random() < OBEYING_SHARE
        for attempt in range(1 + MAX_RETRIES):
            left_s = end_s - time.monotonic()
            if left_s <= 0.0 or self._stop.is_set():
                return
            headers = {
                "Api-Key": HEAVY_KEY,
                "Deadline-Remaining": str(int(left_s * 1000)),
            }
            answer = self.send(
                rng.choice(self._site.hosts),
                name,
                f"{target_id}-{attempt}",
                connections,
                headers,
                target_id=target_id,
            )
            self.answers.append(answer)
            self.retry_count += attempt > 0
            if answer.status not in REFUSALS:
                return
            if obeys_retry_after:
                wait_s = float(answer.headers.get("retry-after", "0"))
                if wait_s > MAX_OBEYED_SHARE * (end_s - time.monotonic()):
                    return
                time.sleep(wait_s)

    def _check_version(self, host: GatewayProcess, request_id: str) -> None:
        """Record a violation if a host no longer serves a version it has served."""
        incarnation = (host.ip, self._site.incarnations[host.ip])
        version = self._site.version
        if version < 2:
            return
        served_version = self._served_versions.get(incarnation, 0)
        if self.send(host, f"v{version}", request_id).status == 200:
            self._served_versions[incarnation] = max(served_version, version)
        elif served_version >= 2:
            answer = self.send(host, f"v{served_version}", f"{request_id}-again")
            has_run_on = incarnation[1] == self._site.incarnations[host.ip]
            if answer.status == 404 and has_run_on:
                self.violations.append(
                    f"{host.ip} no longer serves version {served_version}"
                )

    def send(
        self,
        host: GatewayProcess,
        name: str,
        request_id: str,
        kept_connections: _Connections | None = None,
        headers: Mapping[str, str] | None = None,
        *,
        target_id: str | None = None,
    ) -> Answer:
        """Send one request, on the kept connection to the host if there is one.

        A caller's retry has its own request_id and the target_id of its first attempt.
        """
        connections = {} if kept_connections is None else kept_connections
        connection, used_s = connections.pop(host.ip, (None, 0.0))
        if connection is not None and time.monotonic() - used_s > MAX_IDLE_S:
            connection.close()
            connection = None
        if connection is None:
            port = host.ports["front"]
            connection = http.client.HTTPConnection(host.ip, port, timeout=4.0)
        values = {"Host": HOST, "Api-Key": API_KEY, "Request-Id": request_id}
        values = {**values, "Deadline-Remaining": "3000", **(headers or {})}
        self.sent[request_id] = SentRequest(host.ip, time.monotonic())
        try:
            path = f"/{name}/{target_id or request_id}"
            connection.request("POST", path, body=b"x", headers=values)
            answer = connection.getresponse()
            response_headers = {
                name.lower(): value for name, value in answer.getheaders()
            }
            received = Answer(
                request_id, name, answer.status, response_headers, answer.read(), path
            )
        except (OSError, http.client.HTTPException):
            connection.close()
            return Answer(request_id, name, 0, {}, b"")
        if kept_connections is None:
            connection.close()
        else:
            connections[host.ip] = (connection, time.monotonic())
        return received


def _close(connections: _Connections) -> None:
    for connection, _ in connections.values():
        connection.close()
