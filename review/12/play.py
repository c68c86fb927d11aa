"""A prompt part crashes each replica just after the first event of an answer on it."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common3"))

from deployment import (
    STABLE_WINDOW_S,
    ZONES,
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
DEADLY_PART = "d0d0d0d0"
SOUND_PARTS = [f"a{number:07x}" for number in range(8)]
CALM_S = 8.0
TROUBLE_S = 40.0
SOUND_INTERVAL_S = 0.15
DEADLY_INTERVAL_S = 0.8
BACK_S = 5.0
READ_S = 0.08
EVENTS = 20
GAP_S = 0.03
VARIANT = os.environ.get("VARIANT", "event")
"""When a replica crashes on the part: just after the first "event" of the answer,
before it has sent "nothing" of it, or, for comparison, between "head" and event."""
CRASH_S = 0.01


def has_deadly_part(request: Request) -> bool:
    """Return whether the prompt holds the part that crashes replicas."""
    return f"{DEADLY_PART}:" in request.headers.get("prompt-prefix", "")


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case."""
    site = Site(record, host_zones=(ZONES[0], *ZONES))
    crashes: list[float] = []

    async def answer(replica: Replica, request: Request, writer: asyncio.StreamWriter):
        head = stream_head(replica, request)
        if VARIANT != "nothing":
            writer.write(head)
            head = b""
        await asyncio.sleep(READ_S)
        is_deadly = has_trouble and has_deadly_part(request)
        if is_deadly and VARIANT != "event":
            crashes.append(now_s())
            replica.crash(BACK_S)
            return False
        start = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(start, EVENTS + 1):
            event = f"id: {number}\ndata: {request.id} {number}\n\n".encode()
            writer.write(head + b"%x\r\n%b\r\n" % (len(event), event))
            head = b""
            await writer.drain()
            if is_deadly:
                # It has begun to write the answer, and crashes.
                await asyncio.sleep(CRASH_S)
                crashes.append(now_s())
                replica.crash(BACK_S)
                return False
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
    draw = random.Random(int(os.environ.get("SEED", "1")))
    tasks: list[asyncio.Task] = []
    sound: list = []

    def prompt(part: str) -> dict[str, str]:
        own = f"{draw.randrange(1 << 32):08x}"
        return {
            "Model": "m0",
            "Token-Count": "760,172",
            "Prompt-Prefix": f"{FIRST_PART}:40,{part}:200,{own}:520",
        }

    def send(label: str, part: str) -> asyncio.Task:
        host = draw.choice(site.hosts)
        body = f"{draw.random()}".encode()
        task = asyncio.create_task(
            site.send(
                *(host, "POST", "/critique/2f", prompt(part)), body=body, label=label
            )
        )
        tasks.append(task)
        return task

    try:
        await site.start(config(1, [route("critique", "stream", "coach-model")]))
        begin_s = now_s()
        trouble_s = begin_s + CALM_S
        end_s = trouble_s + TROUBLE_S
        record.say(f"the requests with the part come from {trouble_s:.1f} s on")
        next_deadly_s = trouble_s
        while now_s() < end_s:
            sound.append(send("sound", draw.choice(SOUND_PARTS)))
            if now_s() >= next_deadly_s:
                next_deadly_s += DEADLY_INTERVAL_S
                send("part", DEADLY_PART)
            await asyncio.sleep(SOUND_INTERVAL_S)
        await asyncio.sleep(3.0)
        for task in tasks:
            if not task.done():
                task.cancel()
        answers = [
            task.result() for task in sound if task.done() and not task.cancelled()
        ]
        before = [a for a in answers if a.sent_s < trouble_s]
        share_before = sum(a.is_served for a in before) / len(before)
        record.say(f"sound requests before: {len(before)}, served {share_before:.2f}")
        record.say(f"crashes: {len(crashes)}")
        late = 0
        if len(crashes) >= 5:
            fifth_s = crashes[4]
            record.say(f"fifth crash at {fifth_s:.1f} s")
            late = sum(
                has_deadly_part(request)
                for at_s, _, request in site.runs
                if at_s > fifth_s + STABLE_WINDOW_S
            )
        last_s = crashes[4] if len(crashes) >= 5 else (crashes or [trouble_s])[-1]
        record.say(f"requests with the part at replicas after that + 3 s: {late}")
        after = [a for a in answers if a.sent_s >= last_s + 2 * STABLE_WINDOW_S]
        share_after = sum(a.status == 200 for a in after) / max(1, len(after))
        served = sum(a.is_served for a in after) / max(1, len(after))
        record.say(
            f"sound requests from 6 s after it on: {len(after)},"
            f" begun {share_after:.2f}, served whole {served:.2f}"
        )
        is_lost = len(after) >= 20 and share_after < 0.5 * share_before
        record.say(f"LOST broken: {is_lost}; BUDGET broken: {late > 3}")
        return int(is_lost or late > 3)
    finally:
        await site.close()


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent)
