"""A request crashes each replica just after the first events of its answer."""

import asyncio
import random
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
    now_s,
    route,
    run_case,
    stream_head,
)

FIRST_PART = "5c1e07a2"
SOUND_PARTS = [f"a{number:07x}" for number in range(8)]
POISON_BODY = b"the request that crashes replicas"
CALM_S = 8.0
TROUBLE_S = 40.0
SOUND_INTERVAL_S = 0.15
AGAIN_S = 1.5
"""Pause after which the request comes again."""
BACK_S = 4.0
READ_S = 0.08
EVENTS = 20
GAP_S = 0.03
CRASH_AFTER_EVENTS = 2


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    site = Site(record, host_zones=(ZONES[0], *ZONES))
    crashes: list[float] = []

    async def answer(replica: Replica, request: Request, writer: asyncio.StreamWriter):
        writer.write(stream_head(replica, request))
        await asyncio.sleep(READ_S)
        is_poison = has_trouble and request.body == POISON_BODY
        start = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(start, EVENTS + 1):
            if is_poison and number == start + CRASH_AFTER_EVENTS:
                crashes.append(now_s())
                replica.crash(BACK_S)
                return False
            event = f"id: {number}\ndata: {request.id} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")
        return True

    site.replicas = [
        Replica(
            site,
            f"i-model-{number}",
            service="coach-model",
            zone=ZONES[number % 3],
            slots=96,
            kind="whole",
            behave=answer,
        )
        for number in range(9)
    ]
    draw = random.Random(1)
    tasks: list[asyncio.Task[Answer]] = []
    sound: list[asyncio.Task[Answer]] = []

    def send(label: str, body: bytes, headers: dict[str, str]) -> asyncio.Task[Answer]:
        host = draw.choice(site.hosts)
        path = "/critique/2f" if label == "crash" else "/plan/2f"
        task = asyncio.create_task(
            site.send(host, "POST", path, headers, body=body, label=label)
        )
        tasks.append(task)
        return task

    def prompt() -> dict[str, str]:
        part, own = draw.choice(SOUND_PARTS), f"{draw.randrange(1 << 32):08x}"
        return {
            "Model": "m0",
            "Token-Count": "760,172",
            "Prompt-Prefix": f"{FIRST_PART}:40,{part}:200,{own}:520",
        }

    async def repeat(end_s: float) -> None:
        """Let the request come again, each time as a new client attempt."""
        headers = prompt()
        while now_s() < end_s:
            await send("crash", POISON_BODY, headers)
            await asyncio.sleep(AGAIN_S)

    try:
        routes = [
            route("critique", "stream", "coach-model"),
            route("plan", "stream", "coach-model", stream_resume=False),
        ]
        await site.start(config(1, routes))
        trouble_s = now_s() + CALM_S
        end_s = trouble_s + TROUBLE_S
        record.say(f"{trouble_s:.1f} s: the request comes for the first time")
        repeating = None
        while now_s() < end_s:
            sound.append(send("sound", f"{draw.random()}".encode(), prompt()))
            if repeating is None and now_s() >= trouble_s:
                repeating = asyncio.create_task(repeat(end_s))
            await asyncio.sleep(SOUND_INTERVAL_S)
        await asyncio.sleep(3.0)
        for task in tasks:
            task.cancel()
        answers = [task.result() for task in sound if not task.cancelled()]
        attempts = {
            request.id: at_s
            for at_s, _, request in reversed(site.runs)
            if request.body == POISON_BODY
        }
        late = 0
        if len(crashes) >= 3:
            record.say(f"crashes: {len(crashes)}, the third at {crashes[2]:.1f} s")
            late = sum(
                at_s > crashes[2] + STABLE_WINDOW_S for at_s in attempts.values()
            )
        record.say(f"retries at replicas later than 3 s after the third: {late}")
        for name, group in (
            ("before", [a for a in answers if a.sent_s < trouble_s - 2.0]),
            ("from then on", [a for a in answers if a.sent_s >= trouble_s]),
        ):
            whole = sum(a.is_served for a in group)
            cut = sum(a.status == 200 and not a.is_complete for a in group)
            record.say(
                f"sound streams {name}: {len(group)}, whole {whole},"
                f" begun and cut {cut}, not begun {len(group) - whole - cut}"
            )
        return int(late > 3)
    finally:
        await site.close()


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
