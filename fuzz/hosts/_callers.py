"""Callers of a run, and what they saw."""

import http.client
import random
import threading
import time
from collections.abc import Callable
from hashlib import sha1

import attrs

from standins.platform_config import API_KEY, HOST
from standins.proxy import FaultyProxy
from standins.soak_load import Answer

CALLERS = 12
ROUTES = ("book", "look", "look", "short", "talk", "talk", "fixed")
STREAM_ROUTES = ("talk", "fixed")
WRONG_KEY = "no-such-key"
WRONG_KEY_SHARE = 0.1
DEADLINE_MS = 1500
PAUSE_S = 0.15
"""Pause between two requests of a caller, so that 300 requests last as long as the
changed records of a run."""
TIMEOUT_S = 6.0
"""Time without a byte of an answer after which a host counts as hanging. It is above
the deadline and above all time limits for callers."""


@attrs.frozen
class Sending:
    """Request of a run."""

    request_id: str
    route: str
    host: int
    has_key: bool

    @property
    def target(self) -> str:
        """Return the path of the request."""
        return f"/{self.route}/{self.request_id}"


@attrs.frozen
class Seen:
    """Request with the answer that its caller saw."""

    sending: Sending
    answer: Answer
    has_hung: bool = False
    """Whether the host neither answered nor closed the connection in time."""


def draw_sendings(seed: int, count: int, hosts: int) -> list[Sending]:
    """Return the requests of a run."""
    rng = random.Random(f"{seed} requests")
    return [
        Sending(
            request_id=f"{number}x{sha1(f'{seed} {number}'.encode()).hexdigest()[:8]}",
            route=rng.choice(ROUTES),
            host=rng.randrange(hosts),
            has_key=rng.random() >= WRONG_KEY_SHARE,
        )
        for number in range(count)
    ]


def send_all(
    sendings: list[Sending],
    fronts: list[FaultyProxy],
    is_altered: Callable[[str], bool],
    on_send: Callable[[int], None],
) -> list[Seen]:
    """Send all requests over the connections of some callers; return the answers.

    A connection ends with an altered request, after which more than one answer may
    come. on_send gets the number of each request before it is sent.
    """
    seen: list[Seen] = []

    def run(number: int) -> None:
        connections: dict[int, http.client.HTTPConnection] = {}
        for index, sending in enumerate(sendings[number::CALLERS]):
            on_send(number + index * CALLERS)
            seen.append(send(sending, fronts, connections))
            if is_altered(sending.request_id) and sending.host in connections:
                connections.pop(sending.host).close()
            time.sleep(PAUSE_S)
        for connection in connections.values():
            connection.close()

    threads = [threading.Thread(target=run, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return seen


def send(
    sending: Sending,
    fronts: list[FaultyProxy],
    connections: dict[int, http.client.HTTPConnection],
) -> Seen:
    """Send a request, on the kept connection to its host if there is one."""
    connection = connections.pop(sending.host, None)
    if connection is None:
        ip, _, port = fronts[sending.host].address.rpartition(":")
        connection = http.client.HTTPConnection(ip, int(port), timeout=TIMEOUT_S)
    headers = {
        "Host": HOST,
        "Request-Id": sending.request_id,
        "Deadline-Remaining": str(DEADLINE_MS),
        "Api-Key": API_KEY if sending.has_key else WRONG_KEY,
    }
    lost = Answer(sending.request_id, sending.route, 0, {}, b"", sending.target)
    try:
        body = sending.request_id.encode()
        connection.request("POST", sending.target, body=body, headers=headers)
        response = connection.getresponse()
        fields: dict[str, str] = {}
        for name, value in response.getheaders():
            name = name.lower()
            fields[name] = f"{fields[name]}, {value}" if name in fields else value
        answer = attrs.evolve(
            lost, status=response.status, headers=fields, body=response.read()
        )
    except TimeoutError:
        connection.close()
        return Seen(sending, lost, has_hung=True)
    except (OSError, http.client.HTTPException):
        connection.close()
        return Seen(sending, lost)
    if response.will_close:
        connection.close()
    else:
        connections[sending.host] = connection
    return Seen(sending, answer)
