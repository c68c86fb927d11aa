"""Hosts that restart do not know which request crashes replicas."""

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common3"))

from deployment import (
    STABLE_WINDOW_S,
    ZONES,
    Answer,
    Record,
    Replica,
    Request,
    Site,
    config,
    encode_answer,
    now_s,
    route,
    run_case,
)

POISON_PATH = "/lookup/2f"
BACK_S = 4.0
WORK_S = 0.045
CYCLE_S = 17.0
CYCLES = 5
IN_TOUCH_S = 4.0
"""Time after a restart from which the host is in touch, with a margin."""


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    site = Site(record, host_zones=(ZONES[0], *ZONES))
    crashes: list[float] = []
    reached: dict[str, float] = {}
    """First time at which each attempt of the request reached a replica."""

    async def answer(replica: Replica, request: Request, writer: asyncio.StreamWriter):
        if request.target == POISON_PATH:
            reached.setdefault(request.id, now_s())
            await asyncio.sleep(0.01)
            crashes.append(now_s())
            replica.crash(BACK_S)
            return False
        await asyncio.sleep(WORK_S)
        body = f"{replica.id} {request.id}".encode()
        writer.write(encode_answer(200, replica.sealed(request), body))
        return True

    site.replicas = [
        Replica(
            site,
            f"i-desk-{number}",
            service="lane-desk",
            zone=zone,
            slots=6,
            behave=answer,
        )
        for number, zone in enumerate(ZONES)
    ]
    tasks: list[asyncio.Task[Answer]] = []
    poison_hosts: dict[str, str] = {}
    ready_s: dict[str, float] = {}
    is_over = False

    async def book_on() -> None:
        while not is_over:
            host = random.choice(site.hosts)
            if host.name in ready_s:
                tasks.append(
                    asyncio.create_task(
                        site.send(
                            *(host, "POST", "/booking/2f", {}),
                            body=f"{random.random()}".encode(),
                            label="book",
                            patience_s=2.5,
                        )
                    )
                )
            await asyncio.sleep(0.1)

    async def wave(first: int) -> None:
        """Let the request come at every machine, one after the other."""
        for number in range(first, first + len(site.hosts)):
            host = site.hosts[number % len(site.hosts)]
            result = await site.send(
                host, "GET", POISON_PATH, {}, label="crash", patience_s=2.5
            )
            poison_hosts[result.request_id] = host.name
            record.say(
                f"{result.sent_s:.1f} s: the request comes at {host.name}:"
                f" status {result.status}, reached a replica:"
                f" {result.request_id in reached}"
            )
            await asyncio.sleep(0.3)

    try:
        routes = [
            route("booking", "unsafe", "lane-desk"),
            route("lookup", "safe", "lane-desk"),
        ]
        await site.start(config(1, routes))
        for host in site.hosts:
            ready_s[host.name] = now_s()
        booking = asyncio.create_task(book_on())
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        await wave(0)
        await asyncio.sleep(7.5)
        for cycle in range(CYCLES):
            begin_s = now_s()
            number = cycle % len(site.hosts)
            host = site.hosts[number]
            if has_trouble:
                del ready_s[host.name]
                host.send_signal(signal.SIGTERM)
                assert host.process is not None
                await asyncio.wait_for(host.process.wait(), 9.0)
                await host.start()
                while not await host.is_ready():
                    await asyncio.sleep(0.1)
                ready_s[host.name] = now_s()
                record.say(f"{now_s():.1f} s: {host.name} was stopped and started")
            await asyncio.sleep(max(IN_TOUCH_S, begin_s + 8.0 - now_s()))
            await wave(number)
            if cycle < CYCLES - 1:
                await asyncio.sleep(max(0.0, begin_s + CYCLE_S - now_s()))
        is_over = True
        await booking
        await asyncio.gather(*tasks)
        counted = 0
        if len(crashes) >= 3:
            third_s = crashes[2]
            record.say(f"third crash at {third_s:.1f} s, crashes: {len(crashes)}")
            counted = sum(at_s > third_s + STABLE_WINDOW_S for at_s in reached.values())
        record.say(f"retries at replicas later than 3 s after the third: {counted}")
        lost = sum(not task.result().is_served for task in tasks)
        record.say(f"bookings: {len(tasks)}, without a success: {lost}")
        return int(counted > 3)
    finally:
        await site.close()


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
